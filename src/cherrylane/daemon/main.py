"""``cherrylaned``: the daemon's command line."""

from argparse import ArgumentParser, RawDescriptionHelpFormatter
from pathlib import Path
from queue import Empty, SimpleQueue
from signal import SIGINT, SIGTERM, signal
from sys import exit as exit_process
from sys import stderr
from threading import Thread

from logbook import Logger
from result import Err, Ok

from cherrylane import __version__
from cherrylane.daemon.runtime import Daemon
from cherrylane.errors import CherrylaneError
from cherrylane.settings.documents import read_document
from cherrylane.settings.schema import DaemonSettings
from cherrylane.telemetry.logs import make_handler

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
STOP_POLL_S = 0.1

log = Logger("cherrylane.daemon")

EPILOG = """\
example:
  cherrylaned --settings /etc/cherrylane/host.yaml

exit codes:
  0  stopped after a signal, with every request finished
  1  could not start or failed
  2  the settings are invalid
"""


def main() -> None:
    """Run the daemon until it receives a signal."""
    arguments = make_parser().parse_args()
    if arguments.check_settings is not None:
        exit_process(check_settings(arguments.check_settings))
    exit_process(serve(arguments.settings))


def make_parser() -> ArgumentParser:
    """Return the parser of the daemon's command line."""
    parser = ArgumentParser(
        prog="cherrylaned",
        description="The cherrylane daemon that runs on every entry host.",
        epilog=EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"cherrylaned {__version__}")
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--settings", metavar="FILE", type=Path, help="run with this settings file")
    mode.add_argument(
        "--check-settings", metavar="FILE", type=Path, help="check this settings file and exit"
    )
    return parser


def check_settings(path: Path) -> int:
    """Print whether the settings file is valid; returns the exit code."""
    match read_document(path, DaemonSettings):
        case Ok(settings):
            print(f"{path}: settings of host {settings.host.name} are valid")
            return EXIT_OK
        case Err(error):
            print(error, file=stderr)
            return EXIT_BAD_SETTINGS


def serve(path: Path) -> int:
    """Serve with the settings file until a signal arrives; returns the exit code."""
    match read_document(path, DaemonSettings):
        case Err(error):
            print(error, file=stderr)
            return EXIT_BAD_SETTINGS
        case Ok(settings):
            pass
    with make_handler(settings.log, settings.host.name).applicationbound():
        try:
            daemon = Daemon(settings)
        except CherrylaneError as error:
            print(error, file=stderr)
            return EXIT_FAILED
        return _run_until_signal(daemon)


def _run_until_signal(daemon: Daemon) -> int:
    # A signal handler may interrupt another one: SimpleQueue.put is reentrant, Event.set is not.
    signals: SimpleQueue[int] = SimpleQueue()
    for number in (SIGINT, SIGTERM):
        signal(number, lambda received, _: signals.put(received))
    Thread(target=daemon.start, name="start", daemon=True).start()
    signals.get()
    stopper = Thread(target=daemon.stop, name="stop")
    stopper.start()
    while stopper.is_alive():
        try:
            signals.get(timeout=STOP_POLL_S)
        except Empty:
            continue
        log.warning(
            f"still stopping; SIGKILL would interrupt {daemon.admission.count_held_grants()} "
            "running requests"
        )
    return EXIT_OK


if __name__ == "__main__":
    main()
