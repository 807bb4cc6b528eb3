"""Odd answers of faulty upstreams: two to one request, heads that stop, and false rests of streams.

What they consist of is drawn from a random source, so a seed gives the same answers again.
"""

from collections.abc import Callable
from enum import Enum
from random import Random

# Ids by which a response does not name the request that it follows; a failure may answer it with
# them all the same.
FOREIGN_IDS = (
    "Attempt-Id: r000000\r\n",
    "",
    "Attempt-Id: \r\n",
    "Attempt-Id: {id}\r\nAttempt-Id: r000000\r\n",
)
OWN_ID = "Attempt-Id: {id}\r\n"
FAILURE_IDS = (*[OWN_ID] * 3, *FOREIGN_IDS[1:])
FAILURE_STATUSES = (500, 503)


class OddAnswer(Enum):
    """How a faulty upstream answers a request.

    ``TWICE`` is a failure and, behind it, a success. ``STOP_IN_HEAD`` and ``BREAK_OFF`` end the
    connection, the latter within an event. The others stand where a stream goes on after an event:
    something that is no event of it, events that the caller has, or none.
    """

    TWICE = "a failure first"
    STOP_IN_HEAD = "stopped in the head"
    BREAK_OFF = "broken off"
    TEXT = "a text as a rest"
    WHOLE_HEAD = "a whole head as a rest"
    NO_ID = "an event without an id as a rest"
    FROM_START = "events from the start as a rest"
    OVERLAP = "the last event again"
    GAP = "a rest behind a gap"
    EMPTY = "an empty rest"
    NO_BODY = "an empty rest of length 0"


# Shares of requests that are answered oddly, at the begin of a stream and where it goes on.
ODD_SHARE = 0.05
REST_SHARE = 0.4
WHOLE_ANSWERS = (OddAnswer.TWICE, OddAnswer.STOP_IN_HEAD)
STREAMS = (*WHOLE_ANSWERS, OddAnswer.BREAK_OFF)
# What a host can't tell from a sound rest if it has nothing of the stream but the last event's id:
# ids need not rise by one, and nothing may be left.
PLAUSIBLE_RESTS = (OddAnswer.GAP, OddAnswer.EMPTY, OddAnswer.NO_BODY)
RESTS = tuple(answer for answer in OddAnswer if answer not in STREAMS)


def draw_odd_answer(
    random: Random, is_stream: bool, last_event: int, event_count: int
) -> OddAnswer | None:
    """Draw the odd answer to a request that may ask for what follows an event, or None."""
    if last_event == event_count or random.random() >= (REST_SHARE if last_event else ODD_SHARE):
        return None
    if not last_event:
        return random.choice(STREAMS if is_stream else WHOLE_ANSWERS)
    odd = random.choice(RESTS)
    return OddAnswer.EMPTY if odd is OddAnswer.GAP and last_event + 1 == event_count else odd


def make_failure(random: Random, request_id: str) -> bytes:
    """Return a failure that answers a request, whose id it may not bear, or not alone."""
    ids = random.choice(FAILURE_IDS).format(id=request_id)
    status = random.choice(FAILURE_STATUSES)
    head = f"HTTP/1.1 {status} X\r\n{ids}Server-Seal: s\r\nContent-Length: 6\r\n\r\n"
    return head.encode() + b"failed"


def make_stopped_head(random: Random, request_id: str, framing: str) -> bytes:
    """Return the begin of a head of a success, with the header line ``framing`` for its body."""
    ends = random.choice(("\r\n", "\n"))
    lines = ("HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", "Server-Seal: s", framing, "", "")
    head = ends.join(lines).encode()
    return head[: random.randrange(1, len(head))]


def make_rest(
    answer: OddAnswer, first: int, last: int, make_event: Callable[[int], bytes]
) -> list[bytes]:
    """Return what stands in a stream in place of the events ``first`` to ``last``."""
    match answer:
        case OddAnswer.TEXT:
            return [b"internal error\n\n"]
        case OddAnswer.WHOLE_HEAD:
            return [b"HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed\n\n"]
        case OddAnswer.NO_ID:
            return [b"event: error\ndata: failed\n\n"]
        case OddAnswer.FROM_START:
            first = 1
        case OddAnswer.OVERLAP:
            first -= 1
        case OddAnswer.GAP:
            first += 1
        case _:
            return []
    return [make_event(number) for number in range(first, last + 1)]
