"""Detection of malformed and ambiguous requests."""

from http import HTTPStatus

from attrs import define, frozen

from cherrylane.http.messages import Head, RequestHead

# Bytes of framing tolerated for each byte of data; a chunk of one byte takes five.
FRAMING_PER_DATA_BYTE = 8


@define
class FramingMeter:
    """Counts the bytes of a body that are no data: chunk sizes, chunk extensions and trailers.

    A peer in trouble may send them without end; they never add up to a body that is too large.
    ``allowance`` is how many are tolerated in any case.

    Example::

        meter = FramingMeter(allowance=1024)
        meter.received += 5000  # bytes read from the connection
        meter.data += 20  # bytes of the body that were in them
        meter.is_excessive  # True
    """

    allowance: int
    received: int = 0
    data: int = 0

    @property
    def is_excessive(self) -> bool:
        """Whether more framing was received than a sound peer sends."""
        return self.received - self.data > self.allowance + FRAMING_PER_DATA_BYTE * self.data


@frozen
class ReadFailure:
    """A request that could not be read.

    If ``silent``, the connection is closed without a response. ``retry_after_s`` is when a retry
    makes sense, if that is known.
    """

    status: HTTPStatus
    reason: str
    silent: bool = False
    retry_after_s: float | None = None


def find_framing_problem(head: RequestHead) -> str:
    """Return why a request's framing or target is ambiguous or unsupported, or an empty string.

    The parser rejects most malformed heads itself; these checks cover those that it accepts.
    """
    if problem := find_length_problem(head):
        return problem
    if head.count(b"host") != 1:
        return "expected exactly one Host header"
    if head.method == b"CONNECT":
        return "CONNECT is not supported"
    if not head.target.startswith(b"/"):
        return "request target is not an absolute path"
    return ""


def find_length_problem(head: RequestHead) -> str:
    """Return why it is ambiguous where a request ends, or an empty string."""
    problem = find_coding_problem(head)
    if problem:
        return problem
    if head.find(b"transfer-encoding") is not None and (
        head.find(b"content-length") is not None or head.http_1_0
    ):
        return "Transfer-Encoding together with Content-Length or in HTTP/1.0"
    if head.count(b"content-length") > 1:
        return "more than one Content-Length header"
    return ""


def find_coding_problem(head: Head) -> str:
    """Return why the end of a body cannot be told by its transfer codings, or an empty string.

    A body with other codings than "chunked" would be taken to end when its connection does.
    """
    count = head.count(b"transfer-encoding")
    if count > 1 or (count and head.find_text(b"transfer-encoding").strip().lower() != "chunked"):
        return "unsupported Transfer-Encoding: only a single 'chunked' is accepted"
    return ""


def measure_field(name: bytes, value: bytes) -> int:
    """Return the least size in bytes of a header field as it was sent, with its line end."""
    return len(name) + len(value) + 3
