"""What hosts know of crashes: suspects, crashes, verdicts, and how many crashes are enough."""

from collections.abc import Collection, Iterable
from operator import attrgetter

from attrs import evolve, frozen

# Successive crashes after which a part is quarantined, and one that has been answered before.
MIN_CRASHES = 3
MIN_CRASHES_ANSWERED_BEFORE = 5
# Largest difference in seconds between the times at which hosts date one crash.
DATING_ERROR_S = 0.05
# Begins the name of a whole request; the names of parts of prompts begin otherwise.
WHOLE_REQUEST = "r:"


@frozen
class Suspect:
    """A part of a prompt, or a whole request, that was about to be answered at a crash.

    ``part`` names it; a whole request is named by its fingerprint. ``depth`` is the position of the
    part in its prompt, and ``lead_s`` how many seconds before the crash the request was sent.
    ``was_answered`` is whether a host that saw the crash knows of an earlier answer; it counts for
    whole requests only.
    """

    part: str
    depth: int
    lead_s: float
    was_answered: bool = False


@frozen
class UpstreamCrash:
    """A crash of one incarnation of an upstream, as one host saw it ``age_s`` seconds ago."""

    upstream: str
    incarnation: int
    age_s: float
    suspects: tuple[Suspect, ...]


@frozen
class Verdict:
    """What the fleet knows of a part; a higher generation replaces a lower one.

    Of one generation, a lifted verdict replaces one in force. ``age_s`` is the time since the last
    crash that the part caused.
    """

    part: str
    generation: int
    is_lifted: bool
    age_s: float

    @property
    def order(self) -> tuple[int, bool]:
        """The order in which verdicts on one part replace each other."""
        return self.generation, self.is_lifted


def merge_suspects(known: Suspect, told: Suspect) -> Suspect:
    """Return what two reports tell of one suspect of a crash."""
    # The request sent last is the least likely to be at another crash by chance.
    last = min(known, told, key=attrgetter("lead_s"))
    return evolve(last, was_answered=known.was_answered or told.was_answered)


def has_enough_crashes(
    part: str, spans: Collection[tuple[float, float]], was_answered: bool
) -> bool:
    """Return whether the crashes at which a part was a suspect suffice to quarantine it.

    ``spans`` are the times from the sending of a request with it to the crash.
    """
    if was_answered:
        return count_successive(spans) >= MIN_CRASHES_ANSWERED_BEFORE
    # The same request at several upstreams that crash is no chance, unless many callers send it.
    count = len(spans) if is_whole_request(part) else count_successive(spans)
    return count >= MIN_CRASHES


def is_whole_request(part: str) -> bool:
    """Return whether a suspect or a verdict names a whole request, not a part of a prompt."""
    return part.startswith(WHOLE_REQUEST)


def count_successive(spans: Iterable[tuple[float, float]]) -> int:
    """Return the largest number of time spans (start, end) that follow each other.

    Hosts date one crash differently by up to ``DATING_ERROR_S``, so spans may overlap by that, and
    ends that are no further apart count as one.

    Example::

        count_successive([(0.0, 1.0), (0.5, 1.0), (1.2, 1.5)])  # 2
    """
    count = 0
    last_end = float("-inf")
    for start, end in sorted(spans, key=lambda span: span[1]):
        if start >= last_end - DATING_ERROR_S and end > last_end + DATING_ERROR_S:
            count += 1
            last_end = end
    return count
