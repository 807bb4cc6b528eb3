"""``cherrylane``: the operators' command line."""

from argparse import ArgumentParser, Namespace, RawDescriptionHelpFormatter, _SubParsersAction
from os import environ
from pathlib import Path
from sys import exit as exit_process
from sys import stderr

from cherrylane import __version__
from cherrylane.cli.apply import apply_documents
from cherrylane.cli.inspect import explain_chat, get_objects, show_status
from cherrylane.cli.keys import hash_key
from cherrylane.cli.output import OutputFormat
from cherrylane.cli.trace import trace_request
from cherrylane.errors import (
    CherrylaneError,
    ConflictError,
    PlatformUnavailableError,
    SettingsError,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
DEFAULT_PLATFORM = "http://127.0.0.1:7000"

EPILOG = """\
example:
  cherrylane --platform http://10.0.0.1:7000 apply base.yaml tw-north.yaml

exit codes:
  0  done
  1  failed for another reason
  2  the command line or a file is not acceptable
  3  another operator's change came first
  4  the platform or a daemon did not answer
"""


def main() -> None:
    """Run one command and exit with its code."""
    exit_process(run(make_parser().parse_args()))


def run(arguments: Namespace) -> int:
    """Run the parsed command; returns the exit code."""
    try:
        arguments.run(arguments)
    except ConflictError as error:
        return _fail(error, EXIT_CONFLICT)
    except PlatformUnavailableError as error:
        return _fail(error, EXIT_UNAVAILABLE)
    except SettingsError as error:
        return _fail(error, EXIT_BAD_INPUT)
    except CherrylaneError as error:
        return _fail(error, EXIT_FAILED)
    return EXIT_OK


def make_parser() -> ArgumentParser:
    """Return the parser of the whole command line."""
    parser = ArgumentParser(
        prog="cherrylane",
        description="Create sites, services and client accounts, and see what the fleet does.",
        epilog=EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"cherrylane {__version__}")
    parser.add_argument(
        "--platform",
        metavar="URL",
        default=environ.get("CHERRYLANE_PLATFORM", DEFAULT_PLATFORM),
        help="the platform's object service (default: $CHERRYLANE_PLATFORM or %(default)s)",
    )
    parser.add_argument(
        "--output",
        type=OutputFormat,
        choices=list(OutputFormat),
        default=OutputFormat.TABLE,
        help="table for people (default) or json for programs",
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    _add_apply(commands)
    _add_get(commands)
    _add_status(commands)
    _add_explain(commands)
    _add_trace(commands)
    _add_hash_key(commands)
    return parser


def _add_apply(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "apply",
        "put a base file and overlays in force as one new generation",
        "cherrylane apply base.yaml tw-north.yaml ga-south.yaml",
    )
    command.add_argument("files", metavar="FILE", nargs="+", type=Path)
    command.add_argument(
        "--apply-id",
        default="",
        help="repeat an apply whose answer was lost under its id; it is not done twice",
    )
    command.set_defaults(run=apply_documents)


def _add_get(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands, "get", "list what is configured or registered", "cherrylane get runners"
    )
    command.add_argument("what", choices=["sites", "services", "accounts", "hosts", "runners"])
    command.set_defaults(run=get_objects)


def _add_status(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands, "status", "show each host's generation, homes and load", "cherrylane status"
    )
    command.set_defaults(run=show_status)


def _add_explain(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "explain",
        "show where a chat would go, and why",
        "cherrylane explain case-117 --account tw-north/union-desk --model drafting-8b",
    )
    command.add_argument("chat", metavar="CHAT", help="the chat's id")
    command.add_argument("--account", required=True, help="the account as SITE/NAME")
    command.add_argument("--model", required=True)
    command.set_defaults(run=explain_chat)


def _add_trace(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "trace",
        "show the story of one request from the logs of all hosts",
        "cherrylane trace 9c41d07be2a35f68 host-1.log host-2.log",
    )
    command.add_argument("request", metavar="REQUEST", help="the request's id")
    command.add_argument(
        "files", metavar="FILE", nargs="*", type=Path, help="logs; standard input if none"
    )
    command.set_defaults(run=trace_request)


def _add_hash_key(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "hash-key",
        "print the SHA-256 of an API key read from standard input, for an overlay",
        "printf %s KEY | cherrylane hash-key",
    )
    command.set_defaults(run=hash_key)


def _add(
    commands: "_SubParsersAction[ArgumentParser]", name: str, title: str, example: str
) -> ArgumentParser:
    return commands.add_parser(
        name,
        help=title,
        description=title[0].upper() + title[1:] + ".",
        epilog=f"example:\n  {example.replace('%', '%%')}\n",
        formatter_class=RawDescriptionHelpFormatter,
    )


def _fail(error: CherrylaneError, code: int) -> int:
    print(f"cherrylane: {error}", file=stderr)
    return code


if __name__ == "__main__":
    main()
