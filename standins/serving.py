"""Serving of one stand-in's application until a signal comes."""

import asyncio
from collections.abc import Awaitable, Callable
from signal import SIGINT, SIGTERM

from aiohttp import web

LOOPBACK = "127.0.0.1"

Hook = Callable[[int], Awaitable[None]]


async def serve_until_signal(
    app: web.Application,
    port: int,
    name: str,
    *,
    on_listening: Hook | None = None,
    on_stopping: Hook | None = None,
) -> None:
    """Serve ``app`` on loopback; print ``listening NAME PORT`` once it accepts connections."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port)
    await site.start()
    actual = runner.addresses[0][1]
    if on_listening is not None:
        await on_listening(actual)
    print(f"listening {name} {actual}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stop.set)
    await stop.wait()
    if on_stopping is not None:
        await on_stopping(actual)
    await runner.cleanup()
