"""The command line of the daemon on the users' platform: ``python3 -m cherrylane.gateway``."""

import asyncio
from argparse import ArgumentParser, Namespace
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import exit as exit_process
from sys import stderr, stdout

from attrs import evolve
from logbook import Logger, lookup_level

from cherrylane.errors import SettingsError
from cherrylane.gateway.runtime import Gateway
from cherrylane.platform.bootfile import find_boot_file, read_boot_file
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.telemetry.output import BoundedHandler, LineWriter

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
# Seconds between looks whether the settings file has changed without a signal.
SETTINGS_POLL_S = 1.0

log = Logger("cherrylane.gateway")


def main() -> None:
    """Run the daemon until a signal comes."""
    options = _parse_arguments()
    path = options.settings or find_boot_file()
    try:
        settings = read_boot_file(path)
    except SettingsError as error:
        print(error, file=stderr)
        exit_process(EXIT_BAD_SETTINGS)
    if options.metrics_port is not None:
        settings = evolve(settings, metrics_port=options.metrics_port)
    if options.check:
        print(f"{path}: settings of host {settings.identity.name} are acceptable")
        exit_process(EXIT_OK)
    writer = LineWriter(stdout.fileno())
    level = lookup_level(options.log_level)
    with BoundedHandler(writer, settings.identity.name, level=level).applicationbound():
        asyncio.run(_serve(path, settings, writer))


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(
        prog="python3 -m cherrylane.gateway",
        description="The cherrylane daemon of an entry host on the users' platform.",
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


async def _serve(path: Path, settings: GatewaySettings, writer: LineWriter) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    changed = asyncio.Event()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(SIGHUP, changed.set)
    gateway = Gateway(settings, writer)
    await gateway.start()
    reloading = loop.create_task(_follow_settings(path, gateway, changed))
    await stopping.wait()
    reloading.cancel()
    await gateway.stop()


async def _follow_settings(path: Path, gateway: Gateway, changed: asyncio.Event) -> None:
    """Reload on a signal and when the file's text has changed; a bad file is not taken over."""
    seen = _read_text(path)
    while True:
        try:
            await asyncio.wait_for(changed.wait(), SETTINGS_POLL_S)
        except TimeoutError:
            text = _read_text(path)
            if text == seen:
                continue
            seen = text
        changed.clear()
        try:
            gateway.reload(read_boot_file(path))
        except SettingsError as error:
            log.error("settings not taken over", extra={"reason": str(error)})


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("settings file cannot be read", extra={"reason": str(error)})
        return ""


if __name__ == "__main__":
    main()
