"""Parsing of callers' requests from the WSGI environment."""

from collections.abc import Mapping
from hashlib import sha256
from re import compile as compile_pattern
from secrets import token_hex
from socket import socket
from urllib.parse import parse_qs

from attrs import field, frozen
from result import Err, Ok, Result

from cherrylane.configuration.merging import FleetConfiguration, SiteAccount
from cherrylane.errors import Refusal
from cherrylane.fields import read_digits
from cherrylane.http.deadlines import DEADLINES
from cherrylane.http.server import Environ, caller_socket, close_after_response

REQUEST_ID_BYTES = 8
# Time limit in seconds for a whole body; the server's idle timeout is for the time between reads.
BODY_TIMEOUT_S = 60.0
BEARER_PREFIX = "bearer "
CHAT_HEADER = "Cherrylane-Chat"
IDEMPOTENCY_HEADER = "Idempotency-Key"
_IDENTIFIER_PATTERN = compile_pattern(r"[\x21-\x7e]{1,256}")


@frozen
class CallerRequest:
    """One complete request, with a new id under which it is logged."""

    id: str
    method: str
    path: str
    query: str
    headers: Mapping[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    caller: socket | None

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string if it is missing."""
        return self.headers.get(name.title(), "")

    def parameter(self, name: str) -> str:
        """Return a query parameter's first value, or an empty string if it is missing."""
        return parse_qs(self.query).get(name, [""])[0]


def read_request(environ: Environ, max_body_bytes: int) -> Result[CallerRequest, Refusal]:
    """Read a complete request; a body larger than ``max_body_bytes`` is refused.

    The body is not read at all if its Content-Length exceeds the limit.
    """
    match _read_body(environ, max_body_bytes):
        case Err(refusal):
            close_after_response(environ)
            return Err(refusal)
        case Ok(body):
            pass
    return Ok(
        CallerRequest(
            id=token_hex(REQUEST_ID_BYTES),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=_read_headers(environ),
            body=body,
            caller=caller_socket(environ),
        )
    )


def authenticate(
    request: CallerRequest, configuration: FleetConfiguration
) -> Result[SiteAccount, Refusal]:
    """Return the client account whose API key the request carries."""
    authorization = request.header("Authorization")
    if authorization.lower().startswith(BEARER_PREFIX):
        key = authorization[len(BEARER_PREFIX) :].strip()
        digest = sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        account = configuration.accounts_by_key.get(digest)
        if account is not None:
            return Ok(account)
    return Err(
        Refusal(
            status=401,
            code="invalid_api_key",
            message="API key missing or unknown",
            remedy="send 'Authorization: Bearer KEY' with the key of your client account",
        )
    )


def read_identifier(request: CallerRequest, header: str) -> Result[str, Refusal]:
    """Return the identifier in ``header``, or an empty string if the header is missing."""
    value = request.header(header)
    if not value or _IDENTIFIER_PATTERN.fullmatch(value):
        return Ok(value)
    return Err(
        Refusal(
            status=400,
            code="invalid_header",
            message=f"header {header} is not a valid identifier",
            remedy="use 1 to 256 visible ASCII characters",
        )
    )


def _read_body(environ: Environ, max_body_bytes: int) -> Result[bytes, Refusal]:
    too_large = Refusal(
        status=413,
        code="body_too_large",
        message=f"request body exceeds {max_body_bytes} bytes",
        remedy="send a smaller body",
    )
    length = environ.get("CONTENT_LENGTH", "")
    try:
        size = read_digits(length) if length else max_body_bytes + 1
    except ValueError as error:
        return Err(_make_incomplete_refusal(f"Content-Length {error}"))
    if length and size > max_body_bytes:
        return Err(too_large)
    try:
        body = _read_in_time(environ, size)
    except (OSError, ValueError) as error:
        return Err(_make_incomplete_refusal(type(error).__name__))
    if len(body) > max_body_bytes:
        return Err(too_large)
    if length and len(body) != size:
        return Err(_make_incomplete_refusal(f"got {len(body)} of {length} bytes"))
    return Ok(body)


def _read_in_time(environ: Environ, size: int) -> bytes:
    stream = environ["wsgi.input"]
    caller = caller_socket(environ)
    if caller is None:
        return bytes(stream.read(size))
    with DEADLINES.limit(caller, BODY_TIMEOUT_S, "body of a request"):
        return bytes(stream.read(size))


def _make_incomplete_refusal(reason: str) -> Refusal:
    return Refusal(
        status=400,
        code="incomplete_body",
        message=f"request body incomplete: {reason}",
        remedy="send exactly as many bytes as Content-Length announces",
    )


def _read_headers(environ: Environ) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
