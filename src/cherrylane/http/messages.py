"""HTTP/1.1 messages as plain values, and their encoding."""

from http import HTTPStatus

from attrs import field, frozen

from cherrylane.http.memory import HeldMemory

Header = tuple[bytes, bytes]

# Hop-by-hop headers, which apply to a single connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"expect"})
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
EVENT_STREAM_TYPE = "text/event-stream"
LAST_CHUNK = b"0\r\n\r\n"
# Responses with these statuses end with their head (RFC 9110, section 6.4.1).
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value})


@frozen
class Head:
    """The headers of a request or a response."""

    headers: tuple[Header, ...]
    _first_values: dict[bytes, bytes] = field(init=False, eq=False, repr=False)

    @_first_values.default
    def _index(self) -> dict[bytes, bytes]:
        first_values: dict[bytes, bytes] = {}
        for name, value in self.headers:
            first_values.setdefault(name.lower(), value)
        return first_values

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (in lower case), or None."""
        return self._first_values.get(name)

    def find_text(self, name: bytes) -> str:
        """Return the first value of a header as text, or an empty string if it is missing."""
        return self._first_values.get(name, b"").decode("latin-1")

    def count(self, name: bytes) -> int:
        """Return how many times the header ``name`` (in lower case) occurs."""
        return sum(1 for header_name, _ in self.headers if header_name.lower() == name)

    def end_to_end(self) -> list[Header]:
        """Return the end-to-end headers, without those that frame the body."""
        dropped = CONNECTION_HEADERS | FRAMING_HEADERS | self._list_connection_options()
        return [(name, value) for name, value in self.headers if name.lower() not in dropped]

    def _list_connection_options(self) -> set[bytes]:
        options = self._first_values.get(b"connection", b"").lower()
        return {token.strip() for token in options.split(b",") if token.strip()}


@frozen
class RequestHead(Head):
    """The request line and headers of a request."""

    method: bytes = b"GET"
    target: bytes = b"/"
    keep_alive: bool = True
    http_1_0: bool = False

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class Request:
    """A complete request as read from a connection, and the memory that its body holds."""

    head: RequestHead
    body: bytes = b""
    held: HeldMemory | None = field(default=None, eq=False, repr=False)


@frozen
class ResponseHead(Head):
    """The status and headers of a response.

    ``has_length`` is False if the body ends when the connection is closed.
    """

    status: int = 200
    keep_alive: bool = True
    has_length: bool = True

    @property
    def framing(self) -> str:
        """What tells the end of the body: ``close``, ``chunked`` or ``length``."""
        if not self.has_length:
            return "close"
        return "length" if self.find(b"transfer-encoding") is None else "chunked"


@frozen
class Response:
    """A complete response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


def encode_request(
    method: bytes, target: bytes, headers: list[Header], body: bytes, *, has_body: bool
) -> bytes:
    """Return the bytes of a request; its body, if any, is framed by Content-Length.

    Example::

        encode_request(b"GET", b"/ready", [(b"Host", b"10.0.0.1")], b"", has_body=False)
    """
    return encode_request_head(method, target, headers, len(body) if has_body else None) + body


def encode_request_head(
    method: bytes, target: bytes, headers: list[Header], body_bytes: int | None
) -> bytes:
    """Return the head of a request whose body has ``body_bytes`` bytes, None without a body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body_bytes is not None:
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(status: int, headers: list[Header]) -> bytes:
    """Return the status line and headers of a response as bytes."""
    reason = _REASON_PHRASES.get(status, "Status").encode()
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of the chunked transfer coding (RFC 9112, section 7.1).

    Without data there is no chunk, since one of length zero ends the body: that is ``LAST_CHUNK``.

    Example::

        encode_chunk(b"abc")  # b"3\\r\\nabc\\r\\n"
        encode_chunk(b"")  # b""
    """
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def has_body(method: bytes, status: int) -> bool:
    """Return whether the response to a request with ``method`` has a body, even an empty one."""
    return method != b"HEAD" and status not in BODILESS_STATUSES
