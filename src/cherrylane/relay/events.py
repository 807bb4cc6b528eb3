"""Incremental splitting of a stream of server-sent events.

Events end with an empty line (HTML standard, section 9.2); lines end with LF or CRLF. Only complete
events are relayed, so a stream that breaks off can be resumed after the last one.
"""

from attrs import define

EVENT_ENDS = (b"\n\n", b"\n\r\n")
ID_FIELD = b"id:"
COMMENT = b":"
# Largest event that is buffered; an upstream that sends a longer one is in trouble.
MAX_EVENT_BYTES = 1024 * 1024


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    Example::

        splitter = EventSplitter()
        splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")  # b"id: 1\\ndata: a\\n\\n"
        splitter.last_id  # "1"
    """

    last_id: str = ""
    _buffer: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Append ``data`` and return the bytes of all events that are now complete."""
        buffered = self._buffer + data
        end = _find_last_event_end(buffered)
        complete, self._buffer = buffered[:end], buffered[end:]
        self.last_id = _find_last_id(complete) or self.last_id
        return complete

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def remainder(self) -> bytes:
        """The buffered bytes after the last complete event."""
        return self._buffer

    @property
    def is_inside_event(self) -> bool:
        """Whether more than empty lines and complete comments follow the last complete event."""
        *lines, unfinished_line = self._buffer.split(b"\n")
        return bool(unfinished_line) or any(map(_is_field, lines))


def has_event(data: bytes) -> bool:
    """Return whether whole lines of a stream are more than empty lines and comments.

    Example::

        has_event(b": ping\\n\\n")  # False
    """
    return any(map(_is_field, data.split(b"\n")))


def _is_field(line: bytes) -> bool:
    return bool(line.strip()) and not line.startswith(COMMENT)


def _find_last_event_end(data: bytes) -> int:
    """Return the position after the last complete event, 0 if there is none."""
    positions = ((data.rfind(ending), len(ending)) for ending in EVENT_ENDS)
    return max((start + length for start, length in positions if start >= 0), default=0)


def _find_last_id(events: bytes) -> str:
    start = events.rfind(b"\n" + ID_FIELD)
    if start >= 0:
        start += 1
    elif events.startswith(ID_FIELD):
        start = 0
    else:
        return ""
    line = events[start + len(ID_FIELD) : events.find(b"\n", start)]
    return line.strip().decode("latin-1")
