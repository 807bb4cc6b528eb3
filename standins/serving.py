"""Runs the web application of a stand-in until a signal arrives."""

import asyncio
from collections.abc import Awaitable, Callable
from signal import SIGINT, SIGTERM

from aiohttp import web

LOOPBACK = "127.0.0.1"

PortCallback = Callable[[int], Awaitable[None]]


async def serve_until_signal(
    app: web.Application,
    port: int,
    name: str,
    *,
    on_listening: PortCallback | None = None,
    on_stopping: PortCallback | None = None,
) -> None:
    """Serve ``app`` on the loopback address until SIGINT or SIGTERM; port 0 picks a free port.

    Prints ``listening NAME PORT`` once it accepts connections. ``on_listening`` is awaited before
    that and ``on_stopping`` before the listener closes, both with the port.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    if on_listening is not None:
        await on_listening(bound_port)
    print(f"listening {name} {bound_port}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stop.set)
    await stop.wait()
    if on_stopping is not None:
        await on_stopping(bound_port)
    await runner.cleanup()
