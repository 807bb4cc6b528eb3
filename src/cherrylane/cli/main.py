"""Entry point and argument parser of the ``cherrylane`` command-line tool."""

from argparse import ArgumentParser, Namespace, RawDescriptionHelpFormatter, _SubParsersAction
from os import environ
from pathlib import Path
from sys import exit as exit_process
from sys import stderr

from cherrylane import __version__
from cherrylane.cli.apply import apply_documents, plan_documents, roll_back, withdraw_site
from cherrylane.cli.differences import show_difference, show_history
from cherrylane.cli.evacuations import DEFAULT_METRICS_PORT, evacuate_domain
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
  0  success
  1  other error
  2  invalid command line or file
  3  conflict with a concurrent change by another operator
  4  the platform or a daemon is unavailable
"""


def main() -> None:
    """Run the command given on the command line and exit with its exit code."""
    exit_process(run(make_parser().parse_args()))


def run(arguments: Namespace) -> int:
    """Run the parsed command and return its exit code."""
    try:
        arguments.run(arguments)
    except ConflictError as error:
        return _report_error(error, EXIT_CONFLICT)
    except PlatformUnavailableError as error:
        return _report_error(error, EXIT_UNAVAILABLE)
    except SettingsError as error:
        return _report_error(error, EXIT_BAD_INPUT)
    except CherrylaneError as error:
        return _report_error(error, EXIT_FAILED)
    return EXIT_OK


def make_parser() -> ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = ArgumentParser(
        prog="cherrylane",
        description="Configure sites, services and client accounts, and inspect the fleet.",
        epilog=EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"cherrylane {__version__}")
    parser.add_argument(
        "--platform",
        metavar="URL",
        default=environ.get("CHERRYLANE_PLATFORM", DEFAULT_PLATFORM_URL),
        help="URL of the platform's object store (default: $CHERRYLANE_PLATFORM or %(default)s)",
    )
    parser.add_argument(
        "--output",
        type=OutputFormat,
        choices=list(OutputFormat),
        default=OutputFormat.TABLE,
        help="output format: a text table (default) or json",
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    _add_plan(commands)
    _add_apply(commands)
    _add_history(commands)
    _add_diff(commands)
    _add_rollback(commands)
    _add_withdraw(commands)
    _add_evacuate(commands)
    _add_get(commands)
    _add_status(commands)
    _add_explain(commands)
    _add_trace(commands)
    _add_hash_key(commands)
    return parser


def _add_apply(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "apply",
        "apply a base file and overlays as one new generation",
        "cherrylane apply base.yaml tw-north.yaml ga-south.yaml",
    )
    command.add_argument("files", metavar="FILE", nargs="+", type=Path)
    _add_apply_id(command)
    command.set_defaults(run=apply_documents)


def _add_plan(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "plan",
        "show what applying these files would change",
        "cherrylane plan ga-south.yaml",
    )
    command.add_argument("files", metavar="FILE", nargs="+", type=Path)
    command.set_defaults(run=plan_documents)


def _add_history(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands, "history", "list the generations that can be rolled back to", "cherrylane history"
    )
    command.set_defaults(run=show_history)


def _add_diff(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "diff",
        "show what changed between two generations",
        "cherrylane diff 11 12",
    )
    command.add_argument("before", metavar="GENERATION", type=int)
    command.add_argument(
        "after", metavar="GENERATION", type=int, nargs="?", help="default: the generation in force"
    )
    command.set_defaults(run=show_difference)


def _add_rollback(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "rollback",
        "restore the documents of a past generation as a new generation",
        "cherrylane rollback 11",
    )
    command.add_argument("generation", metavar="GENERATION", type=int)
    _add_apply_id(command)
    command.set_defaults(run=roll_back)


def _add_withdraw(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "withdraw",
        "remove a site; all other sites are unaffected",
        "cherrylane withdraw ga-south",
    )
    command.add_argument("site", metavar="SITE")
    _add_apply_id(command)
    command.set_defaults(run=withdraw_site)


def _add_apply_id(command: ArgumentParser) -> None:
    command.add_argument(
        "--apply-id",
        default="",
        help="id of the change; a retry with the same id is not applied twice",
    )


def _add_evacuate(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "evacuate",
        "send no more requests to the upstreams of a failure domain",
        "cherrylane evacuate hsinchu-a",
    )
    command.add_argument("domain", metavar="DOMAIN", help="zone of the upstreams' entries")
    command.add_argument("--end", action="store_true", help="end the evacuation of DOMAIN")
    command.set_defaults(run=evacuate_domain)


def _add_metrics_port(command: ArgumentParser) -> None:
    command.add_argument(
        "--metrics-port",
        metavar="PORT",
        type=int,
        default=DEFAULT_METRICS_PORT,
        help="port of the hosts' metrics, which tell the evacuations (default: %(default)s)",
    )


def _add_get(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands, "get", "list configured or registered objects", "cherrylane get runners"
    )
    command.add_argument(
        "what", choices=["sites", "services", "accounts", "hosts", "runners", "evacuations"]
    )
    _add_metrics_port(command)
    command.set_defaults(run=get_objects)


def _add_status(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "status",
        "show the generation, home pools and load of each host, and evacuated failure domains",
        "cherrylane status",
    )
    command.add_argument(
        "--wait",
        metavar="SECONDS",
        type=float,
        default=0.0,
        help="wait up to this long until every host uses the generation in force",
    )
    _add_metrics_port(command)
    command.set_defaults(run=show_status)


def _add_explain(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "explain",
        "show where a chat would be routed, and why",
        "cherrylane explain case-117 --account tw-north/union-desk --model drafting-8b",
    )
    command.add_argument("chat", metavar="CHAT", help="id of the chat")
    command.add_argument("--account", required=True, help="client account as SITE/NAME")
    command.add_argument("--model", required=True)
    command.set_defaults(run=explain_chat)


def _add_trace(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "trace",
        "trace one request through the logs of all hosts",
        "cherrylane trace 9c41d07be2a35f68 host-1.log host-2.log",
    )
    command.add_argument("request", metavar="REQUEST", help="id of the request")
    command.add_argument(
        "files", metavar="FILE", nargs="*", type=Path, help="log files (default: standard input)"
    )
    command.set_defaults(run=trace_request)


def _add_hash_key(commands: "_SubParsersAction[ArgumentParser]") -> None:
    command = _add_command(
        commands,
        "hash-key",
        "print the SHA-256 digest of an API key read from standard input, for use in an overlay",
        "printf %s KEY | cherrylane hash-key",
    )
    command.set_defaults(run=hash_key)


def _add_command(
    commands: "_SubParsersAction[ArgumentParser]", name: str, summary: str, example: str
) -> ArgumentParser:
    return commands.add_parser(
        name,
        help=summary,
        description=summary[0].upper() + summary[1:] + ".",
        epilog=f"example:\n  {example.replace('%', '%%')}\n",
        formatter_class=RawDescriptionHelpFormatter,
    )


def _report_error(error: CherrylaneError, code: int) -> int:
    print(f"cherrylane: {error}", file=stderr)
    return code


if __name__ == "__main__":
    main()
