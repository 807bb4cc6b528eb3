"""Who is let in, who waits and who is refused when more work comes than upstreams can begin.

This answers two patterns of load: bursts of many times the usual traffic, and the loss of most
engines, after which the prompts of many chats have to be read anew. Without a limit every request
waits in its engine's queue behind work that is late already, and nearly all are late or give up.

A request is let in where it is expected to begin within a part of its target time; the more urgent
it is, the longer it may wait, since upstreams take urgent ones first. A caller that comes back
after its target time has passed cannot be served in time any more; it is let in where nobody
waits, so that it uses what new requests leave. Everybody else is refused at once and told to come
back when the overload is likely over.

The expected wait follows Little's law: requests beyond an upstream's slots leave at the rate at
which its slots are freed, and prompts are read one after another.
"""

from random import Random

from attrs import define, field, frozen

from cherrylane.placement.loads import Load

# Parts of the target time that a request may be expected to wait, by rank; the last one stands for
# all that follow. Upstreams take urgent requests first, so these begin sooner than expected.
WAIT_SHARES = (0.8, 0.7, 0.5, 0.35, 0.25)
# Seconds of expected wait up to which hardly anybody waits, so that late callers are let in.
NO_WAIT_S = 0.1
# Weight of the newest sample in a learnt pace; the last ten or so count.
NEWEST_WEIGHT = 0.1
# Tokens per second that an engine is expected to read before any of its kind was seen to.
FIRST_TOKENS_PER_S = 50_000.0
# Unread tokens from which on the time to the first event tells how fast engines read; with fewer
# it is mostly other delays.
MIN_SAMPLE_TOKENS = 4_000
# Seconds after which a refused caller may come back at the earliest.
MIN_RETRY_S = 0.3
# Part of what is left of its time that a refused caller is asked to wait at most.
RETRY_SHARE = 0.33
# An overload is over after this many seconds without a refusal.
QUIET_S = 1.0
# Part of the longest patience seen on a route that is kept from one request to the next, so that a
# single caller with far more of it than all others does not make these look late for long.
PATIENCE_KEPT = 0.999


@define
class Throughput:
    """How fast the upstreams of one service work, learnt from requests that they have served."""

    seconds_per_request: float = 0.0
    tokens_per_s: float = FIRST_TOKENS_PER_S

    def note_end(self, seconds: float) -> None:
        """Take in how long a request took from its dispatch to its end."""
        if not self.seconds_per_request:
            self.seconds_per_request = seconds
        self.seconds_per_request += NEWEST_WEIGHT * (seconds - self.seconds_per_request)

    def note_first_event(self, unread_tokens: int, seconds: float) -> None:
        """Take in how long the first event took, with ``unread_tokens`` to read before it."""
        if unread_tokens >= MIN_SAMPLE_TOKENS and seconds > 0:
            self.tokens_per_s += NEWEST_WEIGHT * (unread_tokens / seconds - self.tokens_per_s)


@frozen
class RequestUrgency:
    """What matters of a request here.

    ``rank`` 0 is the most urgent, of account and route together. ``waited_s`` is how long ago its
    caller began to ask.
    """

    rank: int
    target_s: float
    waited_s: float = 0.0

    @property
    def longest_wait_s(self) -> float:
        """The longest wait for its begin with which the request is let in."""
        rank = min(max(self.rank, 0), len(WAIT_SHARES) - 1)
        return max(NO_WAIT_S, (self.target_s - self.waited_s) * WAIT_SHARES[rank])


def estimate_wait(load: Load, slots: int, pace: Throughput) -> float:
    """Return the seconds until an upstream is expected to begin another request.

    Example::

        estimate_wait(Load(requests=95), 64, Throughput(seconds_per_request=2.0))  # 1.0
    """
    slots = max(1, slots)
    beyond = max(0, load.requests + 1 - slots)
    return beyond / slots * pace.seconds_per_request + load.unread_tokens / pace.tokens_per_s


def can_start_in_time(demand: RequestUrgency, load: Load, slots: int, pace: Throughput) -> bool:
    """Say whether an upstream is expected to begin a request early enough."""
    return estimate_wait(load, slots, pace) <= demand.longest_wait_s


@define
class RetryDelays:
    """When refused callers are asked to come back.

    An overload is expected to last as long again as it has lasted. Callers are spread over that
    time, so that they do not come back at once; times are in seconds.
    """

    random: Random = field(factory=Random)
    _since: float = float("-inf")
    _last: float = float("-inf")

    def choose_delay(self, remaining_s: float, now: float) -> float:
        """Return the seconds to wait for a caller that is refused now, with so much time left."""
        if now - self._last > QUIET_S:
            self._since = now
        self._last = now
        latest = max(MIN_RETRY_S, remaining_s * RETRY_SHARE)
        expected = max(MIN_RETRY_S, now - self._since)
        return min(latest, expected * self.random.uniform(0.8, 1.6))


@define
class WaitEstimator:
    """How long callers have waited already, from the time that they have left.

    Callers begin with a time that is the same for all requests of a route, and come back with what
    is left of it.
    """

    _longest: dict[str, float] = field(factory=dict)

    def estimate_waited(self, route: str, patience_s: float) -> float:
        """Return how long ago a caller with ``patience_s`` left is likely to have begun."""
        longest = max(patience_s, self._longest.get(route, 0.0) * PATIENCE_KEPT)
        self._longest[route] = longest
        return longest - patience_s
