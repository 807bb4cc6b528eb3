"""Requests that cannot be read, or could be read in two ways."""

from http import HTTPStatus

from attrs import frozen

from cherrylane.http.messages import RequestHead


@frozen
class ReadFailure:
    """A request that could not be read; ``silent`` failures are closed without an answer."""

    status: HTTPStatus
    reason: str
    silent: bool = False


def find_framing_problem(head: RequestHead) -> str:
    """Return why a request's framing or target is ambiguous or not acceptable, or nothing.

    The parser refuses most malformed heads itself; these are the ones that it lets pass.
    """
    coding = head.find_text(b"transfer-encoding").strip().lower()
    if head.count(b"transfer-encoding") > 1 or coding not in ("", "chunked"):
        return "transfer coding is not plain chunked"
    if coding and (head.find(b"content-length") is not None or head.http_1_0):
        return "both a length and a transfer coding"
    if head.count(b"content-length") > 1:
        return "more than one length"
    if head.count(b"host") != 1:
        return "not exactly one host"
    if not head.target.startswith(b"/"):
        return "target is not a path"
    return ""


def measure_head(head: RequestHead) -> int:
    """Return the bytes of a head, about as it was sent."""
    return len(head.target) + sum(len(name) + len(value) + 4 for name, value in head.headers)
