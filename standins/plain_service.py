"""Simulates a plain service that has an operation which is not idempotent.

``POST /filings`` files a document and counts executions by key, so that tests can detect a
request that was executed twice. ``GET /filings/KEY`` is safe to repeat.
"""

import asyncio
from argparse import ArgumentParser
from collections import Counter

from aiohttp import web
from attrs import define, field

from standins.registration import Registration
from standins.serving import serve_until_signal


@define
class PlainService:
    """Execution counts and HTTP handlers of the service."""

    delay_s: float = 0.0
    executions: Counter[str] = field(factory=Counter)

    def make_app(self) -> web.Application:
        """Create the web application with all routes."""
        app = web.Application()
        app.router.add_post("/filings", self.create_filing)
        app.router.add_get("/filings/{key}", self.read_filing)
        app.router.add_get("/executions", self.read_executions)
        return app

    async def create_filing(self, request: web.Request) -> web.Response:
        """Execute a filing and count the execution."""
        body = await request.json()
        key = str(body["key"])
        self.executions[key] += 1
        await asyncio.sleep(self.delay_s)
        return web.json_response({"key": key, "run": self.executions[key]}, status=201)

    async def read_filing(self, request: web.Request) -> web.Response:
        """Return whether a filing was executed."""
        key = request.match_info["key"]
        return web.json_response({"key": key, "filed": self.executions[key] > 0})

    async def read_executions(self, request: web.Request) -> web.Response:
        """Return the number of executions of each key."""
        return web.json_response(dict(self.executions))


def main() -> None:
    """Serve until SIGINT or SIGTERM."""
    parser = ArgumentParser(description="Simulates a plain service.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--platform", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--delay-s", type=float, default=0.0)
    arguments = parser.parse_args()
    registration = Registration(
        platform_url=arguments.platform,
        name=arguments.name,
        service=arguments.service,
        site=arguments.site,
        zone=arguments.zone,
    )
    asyncio.run(
        serve_until_signal(
            PlainService(delay_s=arguments.delay_s).make_app(),
            arguments.port,
            arguments.name,
            on_listening=registration.add if arguments.platform else None,
            on_stopping=registration.remove if arguments.platform else None,
        )
    )


if __name__ == "__main__":
    main()
