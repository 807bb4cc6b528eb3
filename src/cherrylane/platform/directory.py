"""Responses with the addresses and the readiness that callers and the platform request."""

from json import dumps

from cherrylane.http.messages import Response
from cherrylane.settings.schema import Endpoint

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
# Callers use at most this many addresses of one response.
MAX_ADDRESSES = 64


def encode_addresses(addresses: list[Endpoint], lifetime_s: float) -> Response:
    """Encode the addresses to connect to and the seconds for which callers may cache them."""
    body = {
        "addresses": [str(address) for address in addresses[:MAX_ADDRESSES]],
        "ttl_s": lifetime_s,
    }
    return Response(200, ((b"Content-Type", b"application/json"),), dumps(body).encode())


def encode_readiness(is_ready: bool) -> Response:
    """Encode whether this host accepts callers: status 200 if so, else 503."""
    return Response(200 if is_ready else 503)
