"""Running the daemon: signals, its log, and settings that change."""

import asyncio
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import stdout

from attrs import evolve
from logbook import Logger, lookup_level

from cherrylane.errors import SettingsError
from cherrylane.gateway.runtime import Gateway
from cherrylane.gateway.sockets import ListeningSockets
from cherrylane.platform.bootfile import read_boot_file
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.telemetry.output import LineWriter, RateLimitedHandler

# Seconds between looks whether the settings file has changed without a signal.
SETTINGS_POLL_S = 1.0

log = Logger("cherrylane.gateway")


def serve(
    path: Path, settings: GatewaySettings, sockets: ListeningSockets, *, log_level: str
) -> None:
    """Serve until SIGTERM or SIGINT, and until what runs then is finished."""
    writer = LineWriter(stdout.fileno())
    level = lookup_level(log_level)
    with RateLimitedHandler(writer, settings.identity.name, level=level).applicationbound():
        asyncio.run(_serve(path, settings, sockets, writer))


async def _serve(
    path: Path, settings: GatewaySettings, sockets: ListeningSockets, writer: LineWriter
) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    changed = asyncio.Event()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(SIGHUP, changed.set)
    gateway = Gateway(settings, writer)
    await gateway.start(sockets)
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
            settings = read_boot_file(path)
        except SettingsError as error:
            log.error("settings not taken over", extra={"reason": str(error)})
            continue
        # The port may come from the command line, which does not change.
        gateway.reload(evolve(settings, metrics_port=gateway.settings.metrics_port))


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("settings file cannot be read", extra={"reason": str(error)})
        return ""
