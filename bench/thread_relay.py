"""Baseline for streaming: one ``cheroot`` thread per stream, which reads with ``urllib3``."""

from argparse import ArgumentParser
from collections.abc import Iterable, Iterator
from typing import Any

from cheroot.wsgi import Server

from cherrylane.delivery.exchange import Exchange, UpstreamClient, UpstreamRequest
from cherrylane.membership.runners import Runner
from cherrylane.settings.schema import UpstreamSettings

THREADS = 800


class ThreadRelay:
    """WSGI application that relays requests to the engines in round-robin order."""

    def __init__(self, ports: list[int]) -> None:
        self._client = UpstreamClient(UpstreamSettings(max_connections=THREADS))
        self._runners = [
            Runner(
                name=f"engine-{port}",
                service="-",
                site="-",
                zone="-",
                address="127.0.0.1",
                port=port,
            )
            for port in ports
        ]
        self._turn = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Relay one request and stream its answer."""
        self._turn += 1
        runner = self._runners[self._turn % len(self._runners)]
        body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        request = UpstreamRequest("POST", environ["PATH_INFO"], {}, body)
        exchange = self._client.open(runner, request)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._relay(exchange)

    def _relay(self, exchange: Exchange) -> Iterator[bytes]:
        try:
            yield from exchange.chunks()
        finally:
            exchange.close()


def main() -> None:
    """Print the port, and serve until killed."""
    parser = ArgumentParser()
    parser.add_argument("ports", type=int, nargs="+")
    server = Server(
        ("127.0.0.1", 0),
        ThreadRelay(parser.parse_args().ports),
        numthreads=THREADS,
        max=THREADS,
        request_queue_size=1024,
    )
    server.prepare()
    print(server.bind_addr[1], flush=True)
    server.serve()


if __name__ == "__main__":
    main()
