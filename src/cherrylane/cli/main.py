"""``cherrylane``: the operators' command line."""

from argparse import ArgumentParser, Namespace, RawDescriptionHelpFormatter, _SubParsersAction
from os import environ
from pathlib import Path
from sys import exit as exit_process
from sys import stderr

from cherrylane import __version__
from cherrylane.cli.apply import apply_documents, plan_documents, roll_back, withdraw_site
from cherrylane.cli.differences import show_difference, show_history
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
DEFAULT_PLATFORM_URL = "http://127.0.0.1:7000"

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
        default=environ.get("CHERRYLANE_PLATFORM", DEFAULT_PLATFORM_URL),
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
    _add_plan(commands)
    _add_apply(commands)
    _add_history(commands)
    _add_diff(commands)
    _add_rollback(commands)
    _add_withdraw(commands)
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
    _add_apply_id(command)
    command.set_defaults(run=apply_documents)


def _add_plan(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "plan",
        "show what an apply of these files would change",
        "cherrylane plan ga-south.yaml",
    )
    command.add_argument("files", metavar="FILE", nargs="+", type=Path)
    command.set_defaults(run=plan_documents)


def _add_history(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands, "history", "list the generations that can be put back", "cherrylane history"
    )
    command.set_defaults(run=show_history)


def _add_diff(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "diff",
        "show what changed between two generations",
        "cherrylane diff 11 12",
    )
    command.add_argument("before", metavar="GENERATION", type=int)
    command.add_argument(
        "after", metavar="GENERATION", type=int, nargs="?", help="the one in force if left out"
    )
    command.set_defaults(run=show_difference)


def _add_rollback(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "rollback",
        "put a past generation's documents in force as a new generation",
        "cherrylane rollback 11",
    )
    command.add_argument("generation", metavar="GENERATION", type=int)
    _add_apply_id(command)
    command.set_defaults(run=roll_back)


def _add_withdraw(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add(
        commands,
        "withdraw",
        "take a site off and leave all others as they are",
        "cherrylane withdraw ga-south",
    )
    command.add_argument("site", metavar="SITE")
    _add_apply_id(command)
    command.set_defaults(run=withdraw_site)


def _add_apply_id(command: ArgumentParser) -> None:
    command.add_argument(
        "--apply-id",
        default="",
        help="repeat a change whose answer was lost under its id; it is not done twice",
    )


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
    command.add_argument(
        "--wait",
        metavar="SECONDS",
        type=float,
        default=0.0,
        help="wait so long until every host serves by the generation in force",
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
