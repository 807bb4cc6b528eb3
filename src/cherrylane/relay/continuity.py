"""Whether the events of an answer go on where a stream has got to.

The ids of a stream increase. An upstream that is asked to go on after an event may begin again,
skip events, or write an error; nothing of that belongs to the stream.
"""

from attrs import define, field

from cherrylane.relay.events import MAX_ID_DIGITS, read_events


@define
class StreamProgress:
    """The progress of a stream over all the upstreams that it was relayed from.

    ``last_id`` is the id of the last event, empty if it has none to go by, and ``last_number`` the
    last one that is a number. ``is_counting`` says whether ids have risen by one each time, None if
    that is not known.
    """

    last_id: str = ""
    first_at: float | None = None
    last_number: int | None = field(init=False)
    is_counting: bool | None = None

    @last_number.default
    def _read_last_number(self) -> int | None:
        return _read_number(self.last_id)

    @property
    def can_go_on(self) -> bool:
        """Whether another upstream can be asked for what is missing."""
        return self.first_at is None or bool(self.last_id)

    def advance(self, event_id: bytes, number: int | None) -> None:
        """Record an event; its id is empty, and ``number`` None, if it has none to go by."""
        self.last_id = event_id.decode()
        if number is None:
            return
        last = self.last_number
        if last is None:
            self.is_counting = True if number == 1 else None
        elif number != last + 1:
            self.is_counting = False
        elif self.is_counting is None:
            self.is_counting = True
        self.last_number = number


@define
class SoundEvents:
    """The bytes of the events that may be relayed, and what is wrong with the next one, if any."""

    data: bytes
    has_event: bool
    offence: str = ""


@define
class ContinuityCheck:
    """Checks the events of one answer against the progress of its stream.

    The ids of any answer must increase. If the stream goes on, each event must have one, and no
    event may be missing where the parts of two upstreams meet (``is_joined``), as far as the ids
    show. What a single upstream writes between its ids is its own.

    Example::

        check = ContinuityCheck(StreamProgress("3"), is_joined=False)
        check.take(b"id: 4\\n\\nid: 4\\n\\n")  # the first event, "event 4 after event 4"
    """

    progress: StreamProgress
    is_joined: bool
    goes_on: bool = field(init=False)

    @goes_on.default
    def _read_goes_on(self) -> bool:
        return self.is_joined or self.progress.last_number is not None

    def take(self, events: bytes) -> SoundEvents:
        """Return the part of these complete events that may be relayed, and record it."""
        sound_end = 0
        for end, event_id in read_events(events):
            number = int(event_id) if event_id else None
            offence = self._find_offence(number)
            if offence:
                return SoundEvents(events[:sound_end], sound_end > 0, offence)
            self.progress.advance(event_id, number)
            self.is_joined = False
            sound_end = end
        return SoundEvents(events, sound_end > 0)

    def _find_offence(self, number: int | None) -> str:
        last = self.progress.last_number
        if number is None:
            return f"an event without a plain id after event {last}" if self.goes_on else ""
        if last is None or number == last + 1:
            return ""
        if number <= last:
            return f"event {number} after event {last}"
        if self.is_joined and self.progress.is_counting:
            return f"event {number} after event {last} of ids that rise by one"
        return ""


def _read_number(event_id: str) -> int | None:
    is_plain = event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_plain else None
