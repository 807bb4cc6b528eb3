"""Incremental splitting of a stream of server-sent events, and reading of their ids.

Events end with an empty line (HTML standard, section 9.2); lines end with LF or CRLF. Only complete
events are relayed, so a stream that breaks off can be resumed after the last one.
"""

import re
from collections.abc import Iterator

from attrs import define, field

# Most digits of an id that is taken for a number, such as a time in nanoseconds.
MAX_ID_DIGITS = 19
EVENT_END = re.compile(rb"\n\r?\n")
# A line that is neither a comment nor empty.
FIELD_LINE = re.compile(rb"^(?!:)[^\n]*?[^\s]", re.MULTILINE)
# The common form of an event: lines of fields, of which one at most has an id, a plain number.
COMMON_EVENT = re.compile(
    rb"(?![:\s])(?:(?!id|\r).++\n)*+"
    rb"(?:id: ?(\d{1,%d})\r?\n(?:(?!id|\r).++\n)*+)?\r?\n" % MAX_ID_DIGITS
)
NUMBER = re.compile(rb"[ \t]*(\d{1,%d})[ \t]*" % MAX_ID_DIGITS)
ID_FIELD = b"id"
COMMENT = b":"
# Largest event that is buffered; an upstream that sends a longer one is in trouble.
MAX_EVENT_BYTES = 1024 * 1024


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    Example::

        splitter = EventSplitter()
        splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")  # b"id: 1\\ndata: a\\n\\n"
    """

    # The bytes after the last complete event.
    _rest: bytearray = field(factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Append ``data`` and return the bytes of all events that are now complete."""
        if not self._rest and data.endswith(b"\n\n"):
            return data
        # What ends an event has three bytes at the most, of which some may have arrived before.
        tail = bytes(self._rest[-2:])
        end = _find_last_event_end(tail + data) - len(tail)
        if end <= 0:
            self._rest += data
            return b""
        self._rest += data[:end]
        complete = bytes(self._rest)
        self._rest = bytearray(data[end:])
        return complete

    def clear(self) -> None:
        """Drop the buffered bytes."""
        self._rest = bytearray()

    @property
    def size(self) -> int:
        """The number of buffered bytes."""
        return len(self._rest)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return self.size > MAX_EVENT_BYTES

    @property
    def remainder(self) -> bytes:
        """The buffered bytes after the last complete event."""
        return bytes(self._rest)

    @property
    def is_inside_event(self) -> bool:
        """Whether more than empty lines and complete comments follow the last complete event."""
        if not self._rest:
            return False
        return not self._rest.endswith(b"\n") or FIELD_LINE.search(self._rest) is not None


def read_events(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end and the id of each complete event in ``data``; comments are no events.

    Only plain numbers can be compared: an event with another id, or several, has an empty one.

    Example::

        list(read_events(b": ping\\n\\nid: 4\\ndata: a\\n\\n"))  # [(23, b"4")]
    """
    start = 0
    # A carriage return alone ends a line too: there may be two events where this sees one.
    is_plain = data.count(b"\r") == data.count(b"\r\n")
    while start < len(data):
        if is_plain and (common := COMMON_EVENT.match(data, start)):
            start = common.end()
            yield start, common[1] or b""
            continue
        ending = EVENT_END.search(data, start)
        end = ending.end() if ending else len(data)
        lines = data[start:end].replace(b"\r\n", b"\n").split(b"\n")
        start = end
        if any(map(_is_field, lines)):
            yield end, _read_id(lines)


def _read_id(lines: list[bytes]) -> bytes:
    fields = [line.partition(b":") for line in lines]
    ids = [value for name, _, value in fields if name == ID_FIELD]
    number = NUMBER.fullmatch(ids[0]) if len(ids) == 1 else None
    if number is None or any(b"\r" in line for line in lines):
        return b""
    return number[1]


def _is_field(line: bytes) -> bool:
    return bool(line.strip()) and not line.startswith(COMMENT)


def _find_last_event_end(data: bytes) -> int:
    """Return the position after the last complete event, 0 if there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    short, long = data.rfind(b"\n\n"), data.rfind(b"\n\r\n")
    return max(short + 2 if short >= 0 else 0, long + 3 if long >= 0 else 0)
