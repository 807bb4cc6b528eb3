"""The command line of the daemon on the users' platform: ``python3 -m cherrylane.gateway``."""

from argparse import ArgumentParser, Namespace
from pathlib import Path
from signal import SIG_IGN, SIGHUP, SIGTERM, signal
from sys import exit as exit_process
from sys import stderr

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run the daemon until a signal comes."""
    # Until the loop handles the signals: settings are read below, so that a reload may be ignored,
    # and nothing is in work, so that a stop may end the process in order.
    signal(SIGHUP, SIG_IGN)
    signal(SIGTERM, lambda number, frame: exit_process(EXIT_OK))
    from attrs import evolve

    from cherrylane.errors import SettingsError
    from cherrylane.gateway.sockets import open_sockets
    from cherrylane.platform.bootfile import find_boot_file, read_boot_file

    options = _parse_arguments()
    path = options.settings or find_boot_file()
    try:
        settings = read_boot_file(path)
        if options.metrics_port is not None:
            settings = evolve(settings, metrics_port=options.metrics_port)
        if options.check:
            print(f"{path}: settings of host {settings.identity.name} are acceptable")
            exit_process(EXIT_OK)
        sockets = open_sockets(settings)
    except SettingsError as error:
        print(error, file=stderr)
        exit_process(EXIT_BAD_SETTINGS)
    # Loaded only now, so that callers are accepted meanwhile.
    from cherrylane.gateway.serving import serve

    serve(path, settings, sockets, log_level=options.log_level)


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(
        prog="python3 -m cherrylane.gateway",
        description="The cherrylane daemon of an entry host on the users' platform.",
        epilog="exit codes: 0 stopped after a signal, 2 the settings are not acceptable",
    )
    parser.add_argument("--settings", metavar="FILE", type=Path, help="read settings from FILE")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--metrics-port", type=int, help="serve metrics there instead, 0 for nowhere"
    )
    parser.add_argument(
        "--log-level", default="INFO", choices=["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"]
    )
    return parser.parse_args()


if __name__ == "__main__":
    main()
