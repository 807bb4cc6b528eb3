"""The process of the gateway daemon: signals, log output and reload of settings."""

import asyncio
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import stdout

from attrs import evolve
from logbook import Logger, lookup_level

from cherrylane.errors import SettingsError
from cherrylane.gateway.allocator import reduce_fragmentation
from cherrylane.gateway.runtime import Gateway
from cherrylane.gateway.sockets import ListeningSockets
from cherrylane.platform.bootfile import read_boot_file
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.telemetry.output import LineWriter, RateLimitedHandler

# Polling interval for changes of the settings file, in seconds; SIGHUP is handled at once.
SETTINGS_POLL_S = 1.0

log = Logger("cherrylane.gateway")


def serve(
    path: Path,
    settings: GatewaySettings,
    sockets: ListeningSockets,
    early_signals: list[int],
    *,
    log_level: str,
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    ``early_signals`` are those that have arrived before the event loop handles signals.
    """
    writer = LineWriter(stdout.fileno())
    level = lookup_level(log_level)
    with RateLimitedHandler(writer, settings.identity.name, level=level).applicationbound():
        asyncio.run(_serve(path, settings, sockets, early_signals, writer))
        # All tasks have ended; what remains is the end of the interpreter.
        log.notice("event loop closed")
        writer.flush()


async def _serve(
    path: Path,
    settings: GatewaySettings,
    sockets: ListeningSockets,
    early_signals: list[int],
    writer: LineWriter,
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(SIGHUP, reload_requested.set)
    if early_signals:
        stop_requested.set()
    reduce_fragmentation()
    gateway = Gateway(settings, writer)
    await gateway.start(sockets)
    settings_task = loop.create_task(_watch_settings(path, gateway, reload_requested))
    await stop_requested.wait()
    settings_task.cancel()
    await gateway.stop()


async def _watch_settings(path: Path, gateway: Gateway, reload_requested: asyncio.Event) -> None:
    """Reload on a signal or when the file has changed; an invalid file is logged and ignored."""
    last_text = _read_text(path)
    while True:
        try:
            await asyncio.wait_for(reload_requested.wait(), SETTINGS_POLL_S)
        except TimeoutError:
            text = _read_text(path)
            if text == last_text:
                continue
            last_text = text
        reload_requested.clear()
        try:
            settings = read_boot_file(path)
        except SettingsError as error:
            log.error("settings not taken over", extra={"reason": str(error)})
            continue
        # The command line may have overridden the metrics port, so the current one is kept.
        gateway.reload(evolve(settings, metrics_port=gateway.settings.metrics_port))


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("cannot read settings file", extra={"reason": str(error)})
        return ""
