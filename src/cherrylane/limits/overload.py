"""Load shedding: which requests are admitted when more arrive than upstreams can start.

Two situations cause overload: bursts of many times the usual traffic, and the loss of most
engines, after which the prompts of many chats have to be prefilled again. Without a limit every
request would queue at its engine behind requests that are already late, and nearly all would miss
their target time or time out.

A request is admitted if its expected wait is within a fraction of the time left until its target.
The fraction is larger for urgent requests, since upstreams start these first. A request retried
after its target time has passed can no longer be served in time; it is admitted only where nearly
no wait is expected, so that it uses capacity that new requests leave. All others are refused at
once with a Retry-After at which the overload is likely over.

The expected wait follows Little's law: requests beyond an upstream's slots start at the rate at
which its slots are freed, and prompts are prefilled one after another.
"""

from random import Random

from attrs import define, field, frozen

from cherrylane.placement.loads import Load
from cherrylane.placement.speeds import USUAL_SPEED

# Maximum expected wait as a fraction of the time left until the target, by rank; the last entry
# applies to all higher ranks. Upstreams start urgent requests first, so these wait less than
# expected.
WAIT_SHARES = (0.8, 0.7, 0.5, 0.35, 0.25)
# Expected wait, in seconds, up to which requests past their target time are admitted.
NEGLIGIBLE_WAIT_S = 0.1
# Weight of the newest sample in the moving averages, which cover about the last ten samples.
EWMA_WEIGHT = 0.1
# Prefill rate, in tokens per second, assumed before the first sample.
INITIAL_TOKENS_PER_S = 50_000.0
# Minimum unread tokens for a sample of the prefill rate; with fewer, the time to the first event
# consists mostly of other delays.
MIN_SAMPLE_TOKENS = 4_000
# Minimum retry delay, in seconds, for a refused request.
MIN_RETRY_DELAY_S = 0.3
# Maximum retry delay as a fraction of the time that the caller has left.
MAX_RETRY_SHARE = 0.33
# Seconds without a refusal after which an overload is considered over.
QUIET_S = 1.0
# Factor by which the longest timeout seen on a route decays with each request, so that one caller
# with a far longer timeout than the others does not make these look late for long.
LONGEST_TIMEOUT_DECAY = 0.999


@define
class Throughput:
    """The measured speed of one service's upstreams, as exponentially weighted averages.

    ``seconds_per_request`` is how long a request occupies a slot, ``tokens_per_s`` is the prefill
    rate, ``refused_at`` when a request was last refused because no upstream was expected to start
    it in time.
    """

    seconds_per_request: float = 0.0
    tokens_per_s: float = INITIAL_TOKENS_PER_S
    refused_at: float = float("-inf")

    def record_end(self, seconds: float, *, load: int = 0, slots: int = 1) -> None:
        """Add a sample: the seconds of one request from its dispatch to its end.

        ``load`` is how many requests its upstream had, of which those beyond its ``slots`` were
        waited for. With that wait counted as work, a queue would make itself look longer.
        """
        seconds *= slots / max(slots, load + 1)
        if not self.seconds_per_request:
            self.seconds_per_request = seconds
        self.seconds_per_request += EWMA_WEIGHT * (seconds - self.seconds_per_request)

    def record_refusal(self, now: float) -> None:
        """Record that a request was refused."""
        self.refused_at = now

    def is_overloaded(self, now: float) -> bool:
        """Return whether requests queue, so that a silent upstream is likely a busy one."""
        return now - self.refused_at <= QUIET_S

    def record_first_event(self, unread_tokens: int, seconds: float) -> None:
        """Add a sample: the seconds to the first event, with ``unread_tokens`` to prefill."""
        if unread_tokens >= MIN_SAMPLE_TOKENS and seconds > 0:
            self.tokens_per_s += EWMA_WEIGHT * (unread_tokens / seconds - self.tokens_per_s)


@frozen
class RequestUrgency:
    """The rank, target time and age of a request.

    ``rank`` combines the priorities of account and route; 0 is the most urgent. ``waited_s`` is
    the time since the caller's first attempt.
    """

    rank: int
    target_s: float
    waited_s: float = 0.0

    @property
    def longest_wait_s(self) -> float:
        """The highest expected wait, in seconds, at which the request is admitted."""
        rank = min(max(self.rank, 0), len(WAIT_SHARES) - 1)
        return max(NEGLIGIBLE_WAIT_S, (self.target_s - self.waited_s) * WAIT_SHARES[rank])


def estimate_wait(
    load: Load, slots: int, throughput: Throughput, speed: float = USUAL_SPEED
) -> float:
    """Return the expected seconds until an upstream of this speed starts another request.

    Example::

        estimate_wait(Load(requests=95), 64, Throughput(seconds_per_request=2.0))  # 1.0
        estimate_wait(Load(requests=95), 64, Throughput(seconds_per_request=2.0), 0.4)  # 2.5
    """
    slots = max(1, slots)
    excess = max(0, load.requests + 1 - slots)
    usual_wait_s = (
        excess / slots * throughput.seconds_per_request
        + load.unread_tokens / throughput.tokens_per_s
    )
    return usual_wait_s / speed


def can_start_in_time(
    urgency: RequestUrgency,
    load: Load,
    slots: int,
    throughput: Throughput,
    speed: float = USUAL_SPEED,
) -> bool:
    """Return whether an upstream is expected to start a request within ``longest_wait_s``."""
    return estimate_wait(load, slots, throughput, speed) <= urgency.longest_wait_s


@define
class RetryDelays:
    """Chooses the Retry-After delays of refused requests.

    An overload is expected to last as long again as it has lasted. Delays are spread around that
    time, so that callers do not all retry at once. Times are in seconds.
    """

    random: Random = field(factory=Random)
    _overload_start: float = float("-inf")
    _last_refusal: float = float("-inf")

    def choose_delay(self, remaining_s: float, now: float) -> float:
        """Return the retry delay for a request refused at ``now`` with ``remaining_s`` left."""
        if now - self._last_refusal > QUIET_S:
            self._overload_start = now
        self._last_refusal = now
        latest = max(MIN_RETRY_DELAY_S, remaining_s * MAX_RETRY_SHARE)
        expected = max(MIN_RETRY_DELAY_S, now - self._overload_start)
        return min(latest, expected * self.random.uniform(0.8, 1.6))


@define
class WaitEstimator:
    """Estimates how long callers have waited already, from their remaining time.

    All callers of a route are assumed to start with the same timeout and to send the remaining
    time with each retry.
    """

    _longest: dict[str, float] = field(factory=dict)

    def estimate_waited(self, route: str, remaining_s: float) -> float:
        """Return the likely seconds since the first attempt of a caller with ``remaining_s``."""
        longest = max(remaining_s, self._longest.get(route, 0.0) * LONGEST_TIMEOUT_DECAY)
        self._longest[route] = longest
        return longest - remaining_s
