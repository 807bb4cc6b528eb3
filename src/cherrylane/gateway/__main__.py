"""Command line of the gateway daemon: ``python3 -m cherrylane.gateway``."""

from argparse import ArgumentParser, Namespace
from pathlib import Path
from signal import SIG_IGN, SIGHUP, SIGTERM, signal
from sys import exit as exit_process
from sys import stderr

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run the daemon until it receives a termination signal."""
    # In force until the event loop installs its own handlers. SIGHUP can be ignored because the
    # settings are read below; SIGTERM can exit at once because no socket is open yet.
    signal(SIGHUP, SIG_IGN)
    signal(SIGTERM, lambda signal_number, frame: exit_process(EXIT_OK))
    from attrs import evolve

    from cherrylane.errors import SettingsError
    from cherrylane.gateway.sockets import open_sockets
    from cherrylane.platform.bootfile import find_boot_file, read_boot_file

    options = _parse_arguments()
    path = options.settings or find_boot_file()
    early_signals: list[int] = []
    try:
        settings = read_boot_file(path)
        if options.metrics_port is not None:
            settings = evolve(settings, metrics_port=options.metrics_port)
        if options.check:
            print(f"{path}: settings of host {settings.identity.name} are valid")
            exit_process(EXIT_OK)
        # Requests may wait at open sockets, so the daemon starts and stops as it does later.
        signal(SIGTERM, lambda signal_number, frame: early_signals.append(signal_number))
        sockets = open_sockets(settings)
    except SettingsError as error:
        print(error, file=stderr)
        exit_process(EXIT_BAD_SETTINGS)
    # Imported only now: the open sockets accept callers' connections during the slow import.
    from cherrylane.gateway.serving import serve

    serve(path, settings, sockets, early_signals, log_level=options.log_level)


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(
        prog="python3 -m cherrylane.gateway",
        description="Run the cherrylane gateway daemon of an entry host.",
        epilog="exit codes: 0 stopped by a signal, 2 invalid settings",
    )
    parser.add_argument("--settings", metavar="FILE", type=Path, help="read settings from FILE")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument(
        "--metrics-port", type=int, help="override the metrics port; 0 disables metrics"
    )
    parser.add_argument(
        "--log-level", default="INFO", choices=["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"]
    )
    return parser.parse_args()


if __name__ == "__main__":
    main()
