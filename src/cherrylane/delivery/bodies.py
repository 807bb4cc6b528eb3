"""Framing of responses from upstreams: which heads are accepted, and where a body ends."""

from socket import socket

from attrs import frozen
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from cherrylane.http.framing import find_coding_problem
from cherrylane.http.messages import Header, ResponseHead


@frozen
class DetachedBody:
    """The unread rest of a response body, with its socket.

    ``head`` is a response head with the upstream's framing header, to set up a parser for the
    body. ``leftover`` are bytes of the body that were read from the socket already. A body without
    ``Content-Length`` or chunked framing is ``close_delimited``: it ends when the connection does.
    ``failure`` is what went wrong if nothing can be read from the connection any more.
    """

    connection: socket
    head: bytes
    leftover: bytes
    close_delimited: bool = False
    failure: str = ""


class BodyDecoder:
    """Removes the HTTP framing of a body; ``httptools`` calls the ``on_`` methods.

    What follows the end of the body, such as a second response, is no part of it.
    """

    def __init__(self, body: DetachedBody) -> None:
        self.complete = False
        self.broken = False
        self.close_delimited = body.close_delimited
        self._parts: list[bytes] = []
        self._parser = HttpResponseParser(self)
        self._parser.feed_data(body.head)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if not self.complete:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Record that the body is complete."""
        self.complete = True

    def decode(self, data: bytes) -> bytes:
        """Return the body bytes in ``data``, up to the point where its framing is invalid."""
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self.broken = not self.complete
        if len(self._parts) == 1:
            return self._parts.pop()
        body = b"".join(self._parts)
        self._parts.clear()
        return body


class _HeadCheck:
    """Collects the headers of the last head that is parsed."""

    def __init__(self) -> None:
        self.headers: list[Header] = []

    def on_message_begin(self) -> None:
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))


def find_head_problem(data: bytes) -> str:
    """Return why a response must not be read on behind its head, or an empty string.

    ``data`` is the whole head, with the interim ones before it. ``http.client`` leaves out headers
    that it cannot read, so that those which are left may frame another body.
    """
    check = _HeadCheck()
    try:
        HttpResponseParser(check).feed_data(data)
    except HttpParserError as error:
        return str(error)
    return find_coding_problem(ResponseHead(tuple(check.headers)))
