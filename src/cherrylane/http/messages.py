"""Heads of HTTP/1.1 messages as plain values, and their text on a connection."""

from http import HTTPStatus

from attrs import field, frozen

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1: fields that concern one connection only.
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
_REASONS = {status.value: status.phrase for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"


@frozen
class Head:
    """The headers that requests and responses have in common."""

    headers: tuple[Header, ...]
    _first: dict[bytes, bytes] = field(init=False, eq=False, repr=False)

    @_first.default
    def _index(self) -> dict[bytes, bytes]:
        first: dict[bytes, bytes] = {}
        for name, value in self.headers:
            first.setdefault(name.lower(), value)
        return first

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (in lower case), or None."""
        return self._first.get(name)

    def find_text(self, name: bytes) -> str:
        """Return the first value of a header as text, empty when it is missing."""
        return self._first.get(name, b"").decode("latin-1")

    def count(self, name: bytes) -> int:
        """Return how often the header ``name`` (in lower case) stands in the head."""
        return sum(1 for own, _ in self.headers if own.lower() == name)

    def end_to_end(self) -> list[Header]:
        """Return the headers that concern more than one connection, without the framing."""
        dropped = CONNECTION_HEADERS | FRAMING_HEADERS | self._named_by_connection()
        return [(name, value) for name, value in self.headers if name.lower() not in dropped]

    def _named_by_connection(self) -> set[bytes]:
        named = self._first.get(b"connection", b"").lower()
        return {token.strip() for token in named.split(b",") if token.strip()}


@frozen
class RequestHead(Head):
    """A request's first line and headers."""

    method: bytes = b"GET"
    target: bytes = b"/"
    keep_alive: bool = True
    http_1_0: bool = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class Request:
    """A whole request as it was read from a connection."""

    head: RequestHead
    body: bytes = b""


@frozen
class ResponseHead(Head):
    """A response's status and headers; ``has_length`` is False when only its end frames it."""

    status: int = 200
    keep_alive: bool = True
    has_length: bool = True


@frozen
class Response:
    """A whole response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


def encode_request(
    method: bytes, target: bytes, headers: list[Header], body: bytes, *, has_body: bool
) -> bytes:
    """Return the bytes of a request whose body, if any, is framed by its length.

    Example::

        encode_request(b"GET", b"/ready", [(b"Host", b"10.0.0.1")], b"", has_body=False)
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if has_body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(status: int, headers: list[Header]) -> bytes:
    """Return the bytes of a response's head."""
    reason = _REASONS.get(status, "Status").encode()
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)
