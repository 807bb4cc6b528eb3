"""Quarantine of what crashes each upstream that begins to answer it.

That is a part of a prompt, or a whole request. Other requests are in progress at an upstream that
crashes, so one crash says little about a part. A part is quarantined after several successive
crashes: each of a request that was sent after the crash before. Upstreams that end together, for a
reason of their own, count once. An answer that began after a crash and went on clears the parts of
its prompt. The deepest part of a prompt that explains the crashes is taken, since the parts before
it are shared with sound requests.

A whole request comes again faster than hosts can tell each other of its crashes. Of one that was
never answered each crash counts, and after enough of them it is held until they can be judged. A
part all of whose crashes are also those of such requests is not quarantined for them.
"""

from collections import Counter
from collections.abc import Callable, Collection, Sequence

from attrs import define, field, frozen
from logbook import Logger

from cherrylane.limits.crash_evidence import (
    DATING_ERROR_S,
    Suspect,
    UpstreamCrash,
    Verdict,
    has_enough_crashes,
    is_whole_request,
    merge_suspects,
)

# Seconds until the first trial of a quarantined part; they double with each trial that fails.
FIRST_TRIAL_S = 30.0
MAX_TRIAL_INTERVAL_S = 3600.0
# Seconds that a trial may take before another one is allowed.
TRIAL_TIMEOUT_S = 10.0
# Seconds for which a crash counts, and for which a verdict is kept after the last crash.
EVIDENCE_LIFETIME_S = 600.0
VERDICT_LIFETIME_S = 2 * MAX_TRIAL_INTERVAL_S
# Number of crashes and verdicts that are remembered; those that tell nothing any more, and then the
# oldest ones, are dropped.
MAX_CRASHES = 64
MAX_VERDICTS = 64
# Number of suspects of one crash that are parts, and that are whole requests; callers choose how
# many parts their prompts have.
MAX_SUSPECTS = 256
# Number of parts, and of whole requests, of which it is remembered when they were answered.
MAX_ANSWERED = 4096
# Crashes at which a request that was never answered may have been and still be retried, by whether
# it has parts: many of those are in progress at an engine.
MAX_CRASHES_RETRIED = 0
MAX_CRASHES_RETRIED_WITH_PARTS = 1
# Seconds in which all hosts hear of a new verdict.
NEWS_S = 30.0

log = Logger("cherrylane.limits")


@frozen
class Quarantined:
    """A part for which a request is refused, and the seconds until its next trial."""

    part: str
    retry_after_s: float


@define
class _Crash:
    at: float
    noted_at: float
    suspects: dict[str, Suspect] = field(factory=dict)


@define
class _VerdictState:
    generation: int
    is_lifted: bool
    crashed_at: float
    since: float
    trial_at: float


@define
class RequestQuarantine:
    """The crashes that this host knows of, and the parts that it refuses because of them.

    ``settle_s`` is the time in which the crashes that peers have seen arrive; a crash is judged
    after it. ``is_trial_host`` returns whether this host tries a quarantined part for all.
    Times are in seconds of the clock that gives ``now``.

    Example::

        quarantine.record_crash(UpstreamCrash("i-7", 1, 0.0, (Suspect("5c1e", 2, 0.3),)), now=10.0)
        quarantine.find(["91bd", "5c1e"], now=10.0)  # None until the part has crashed three
    """

    settle_s: float = 0.0
    is_trial_host: Callable[[str], bool] = lambda part: True
    _crashes: dict[tuple[str, int], _Crash] = field(factory=dict)
    _verdicts: dict[str, _VerdictState] = field(factory=dict)
    # The begin of the last known answer to each part, the part answered last at the end, and the
    # same for whole requests, which are many more.
    _answered: dict[str, float] = field(factory=dict)
    _answered_requests: dict[str, float] = field(factory=dict)
    _next_judgement: float = float("inf")
    # When the last of the known crashes can be judged.
    _settled_at: float = float("-inf")
    # The whole requests that would be quarantined by all crashes; None once these have changed.
    _held: set[str] | None = None

    def record_crash(self, crash: UpstreamCrash, now: float) -> None:
        """Record a crash that this host or a peer has seen; repeated reports change nothing."""
        known = self._crashes.setdefault(
            (crash.upstream, crash.incarnation), _Crash(now - crash.age_s, now)
        )
        counts = Counter(map(is_whole_request, known.suspects))
        for suspect in crash.suspects:
            verdict = self._verdicts.get(suspect.part)
            if self._was_answered_since(suspect.part, known.at):
                continue
            if verdict is not None and verdict.is_lifted and known.at <= verdict.since:
                continue
            other = known.suspects.get(suspect.part)
            if other is None:
                is_whole = is_whole_request(suspect.part)
                if counts[is_whole] >= MAX_SUSPECTS:
                    continue
                counts[is_whole] += 1
            merged = suspect if other is None else merge_suspects(other, suspect)
            if merged != other:
                known.suspects[suspect.part] = merged
                self._held = None
                settles_at = known.noted_at + self.settle_s
                self._settled_at = max(self._settled_at, settles_at)
                self._next_judgement = min(self._next_judgement, settles_at)
            if other is None and verdict is not None and not verdict.is_lifted:
                self._record_further_crash(suspect, known, verdict, now)
        while len(self._crashes) > MAX_CRASHES:
            self._held = None
            del self._crashes[min(self._crashes, key=lambda key: bool(self._crashes[key].suspects))]

    def record_answered(self, part: str, answered_at: float) -> bool:
        """Record that a prompt with this part was answered, from ``answered_at`` on.

        Returns whether it was a suspect of a crash before.
        """
        answered = self._get_answered(part)
        answered[part] = max(answered_at, answered.pop(part, answered_at))
        if self._held and part in self._held:
            self._held = None
        if len(answered) > MAX_ANSWERED:
            del answered[next(iter(answered))]
        verdict = self._verdicts.get(part)
        if verdict is not None and not verdict.is_lifted and verdict.since < answered_at:
            self._lift(part, verdict, answered_at)
        return self._clear(part, answered_at)

    def find(self, parts: Sequence[str], now: float) -> Quarantined | None:
        """Return the quarantined part for which a prompt is refused, None if it may be sent."""
        if now >= self._next_judgement:
            self._judge(now)
        for part in parts:
            if is_whole_request(part) and now < self._settled_at and part in self._list_held():
                return Quarantined(part, self._settled_at - now)
        if not self._verdicts:
            return None
        in_force = [
            (part, verdict)
            for part in parts
            if (verdict := self._verdicts.get(part)) is not None and not verdict.is_lifted
        ]
        for part, verdict in in_force:
            if now < verdict.trial_at:
                return Quarantined(part, max(verdict.trial_at - now, TRIAL_TIMEOUT_S))
        # One host tries all that is in force of a request: the one for the part that most share.
        if in_force and not self.is_trial_host(in_force[0][0]):
            return Quarantined(in_force[0][0], TRIAL_TIMEOUT_S)
        for part, verdict in in_force:
            verdict.trial_at = now + TRIAL_TIMEOUT_S
            log.notice("trial of a quarantined part", extra={"part": part})
        return None

    def may_retry(self, parts: Sequence[str]) -> bool:
        """Return whether a request that an upstream may have run can be sent to another one.

        A whole request that was at crashes and was never answered may have caused them.
        """
        limit = MAX_CRASHES_RETRIED if len(parts) == 1 else MAX_CRASHES_RETRIED_WITH_PARTS
        return not any(
            is_whole_request(part)
            and not self.was_answered(part)
            and self.count_crashes(part) > limit
            for part in parts
        )

    def was_answered(self, part: str) -> bool:
        """Return whether this host knows of an answer to a part."""
        return part in self._get_answered(part)

    def _get_answered(self, part: str) -> dict[str, float]:
        return self._answered_requests if is_whole_request(part) else self._answered

    def apply_verdict(self, verdict: Verdict, now: float) -> None:
        """Take over a peer's verdict if it replaces the known one."""
        known = self._verdicts.get(verdict.part)
        if verdict.age_s > VERDICT_LIFETIME_S:
            return
        if known is not None and verdict.order <= (known.generation, known.is_lifted):
            return
        if verdict.is_lifted:
            if known is not None and self._has_crashed_since(known, verdict, now):
                known.generation = verdict.generation + 1
                return
            self._clear(verdict.part, now)
        self._set_verdict(verdict, now)
        if not verdict.is_lifted and self._was_answered_since(verdict.part, now - verdict.age_s):
            self._lift(verdict.part, self._verdicts[verdict.part], now)
        log.notice(
            "verdict of a peer on a part of prompts",
            extra={
                "part": verdict.part,
                "generation": verdict.generation,
                "is_lifted": verdict.is_lifted,
            },
        )

    def _has_crashed_since(self, known: _VerdictState, lifted: Verdict, now: float) -> bool:
        """Return whether a verdict in force rests on crashes that a lifted one does not know."""
        last_crash_at = now - lifted.age_s
        return not known.is_lifted and known.crashed_at > last_crash_at + DATING_ERROR_S

    def list_verdicts(self, now: float) -> list[Verdict]:
        """Return the verdicts to tell peers, and drop those that have expired.

        Those of the last ``NEWS_S`` come first, then those in force.
        """
        self._verdicts = {
            part: verdict
            for part, verdict in self._verdicts.items()
            if now - verdict.crashed_at <= VERDICT_LIFETIME_S
        }

        def rank(item: tuple[str, _VerdictState]) -> tuple[bool, bool, float]:
            _, verdict = item
            return now - verdict.since > NEWS_S, verdict.is_lifted, -verdict.since

        return [
            Verdict(part, verdict.generation, verdict.is_lifted, now - verdict.crashed_at)
            for part, verdict in sorted(self._verdicts.items(), key=rank)
        ]

    def count_crashes(self, part: str) -> int:
        """Return at how many crashes a part is a suspect."""
        return sum(part in crash.suspects for crash in self._crashes.values())

    def count_in_force(self) -> int:
        """Return how many parts are quarantined."""
        return sum(not verdict.is_lifted for verdict in self._verdicts.values())

    def _judge(self, now: float) -> None:
        self._crashes = {
            key: crash
            for key, crash in self._crashes.items()
            if now - crash.at <= EVIDENCE_LIFETIME_S
        }
        self._held = None
        settles_at = [crash.noted_at + self.settle_s for crash in self._crashes.values()]
        self._next_judgement = min((at for at in settles_at if at > now), default=float("inf"))
        settled = [
            crash for crash in self._crashes.values() if crash.noted_at + self.settle_s <= now
        ]
        for part in self._find_causes(settled):
            self._condemn(part, settled, now)

    def _list_held(self) -> set[str]:
        """Return the whole requests that will be quarantined if no peer has more to report."""
        if self._held is None:
            causes = self._find_causes(self._crashes.values())
            self._held = {part for part in causes if is_whole_request(part)}
        return self._held

    def _find_causes(self, crashes: Collection[_Crash]) -> list[str]:
        """Return the whole requests and parts that explain crashes which no verdict explains.

        Whole requests are taken first, then the deepest parts; of these the ones with most crashes.
        """
        causes: list[str] = []
        for are_whole in (True, False):
            while guilty := self._find_guilty(crashes, causes, are_whole=are_whole):
                most = max(guilty.values())
                causes.extend(part for part, rank in guilty.items() if rank == most)
        return causes

    def _find_guilty(
        self, crashes: Collection[_Crash], causes: Collection[str], *, are_whole: bool
    ) -> dict[str, tuple[int, int]]:
        """Return whole requests or parts with enough crashes, with their depth and that number.

        Leaves out the crashes that a verdict or one of the ``causes`` explains. For parts, those of
        whole requests count if one at least is not explained.
        """
        times: dict[str, list[tuple[float, float]]] = {}
        depths: dict[str, int] = {}
        unexplained: set[str] = set()
        answered: set[str] = set()
        for crash in crashes:
            known = [part for part in crash.suspects if part in causes or self._is_in_force(part)]
            has_whole_cause = any(map(is_whole_request, known))
            if known and (are_whole or not all(map(is_whole_request, known))):
                continue
            for part, suspect in crash.suspects.items():
                if is_whole_request(part) is not are_whole:
                    continue
                times.setdefault(part, []).append((crash.at - suspect.lead_s, crash.at))
                depths[part] = max(suspect.depth, depths.get(part, 0))
                if not has_whole_cause:
                    unexplained.add(part)
                if self.was_answered(part) or (are_whole and suspect.was_answered):
                    answered.add(part)
        return {
            part: (0 if are_whole else depths[part], len(spans))
            for part, spans in times.items()
            if part in unexplained and has_enough_crashes(part, spans, part in answered)
        }

    def _condemn(self, part: str, crashes: list[_Crash], now: float) -> None:
        caused = [crash for crash in crashes if part in crash.suspects]
        known = self._verdicts.get(part)
        generation = known.generation + 1 if known is not None else 1
        age_s = now - max(crash.at for crash in caused)
        self._set_verdict(Verdict(part, generation, is_lifted=False, age_s=age_s), now)
        log.warning(
            "part of prompts quarantined: upstreams crash when they begin to answer it",
            extra={"part": part, "crashes": len(caused), "generation": generation},
        )

    def _record_further_crash(
        self, suspect: Suspect, crash: _Crash, verdict: _VerdictState, now: float
    ) -> None:
        """Put off the next trial; a request sent since the verdict was a trial that has failed."""
        if crash.at - suspect.lead_s > verdict.since:
            age_s = now - crash.at
            self._set_verdict(Verdict(suspect.part, verdict.generation + 1, False, age_s), now)
            log.warning(
                "part of prompts stays quarantined: its trial crashed an upstream",
                extra={"part": suspect.part, "generation": verdict.generation + 1},
            )
        elif crash.at > verdict.crashed_at:
            verdict.crashed_at = crash.at
            verdict.trial_at = crash.at + _find_trial_interval(verdict.generation)

    def _set_verdict(self, verdict: Verdict, now: float) -> None:
        crashed_at = now - verdict.age_s
        self._held = None
        self._verdicts[verdict.part] = _VerdictState(
            generation=verdict.generation,
            is_lifted=verdict.is_lifted,
            crashed_at=crashed_at,
            since=now,
            trial_at=crashed_at + _find_trial_interval(verdict.generation),
        )
        while len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[min(self._verdicts, key=self._rank_for_eviction)]

    def _rank_for_eviction(self, part: str) -> tuple[bool, float]:
        """Order lifted verdicts before those in force, and old ones before new ones."""
        verdict = self._verdicts[part]
        return not verdict.is_lifted, verdict.since

    def _lift(self, part: str, verdict: _VerdictState, answered_at: float) -> None:
        self._held = None
        verdict.is_lifted = True
        verdict.since = answered_at
        log.notice(
            "quarantine of a part of prompts lifted: an upstream has answered it",
            extra={"part": part, "generation": verdict.generation},
        )

    def _clear(self, part: str, until: float) -> bool:
        """Drop a part from the suspects of earlier crashes; returns whether it was one."""
        suspected = [
            crash for crash in self._crashes.values() if part in crash.suspects and crash.at < until
        ]
        for crash in suspected:
            del crash.suspects[part]
        # What explains no crash changes nothing for the others.
        if suspected and ((self._held and part in self._held) or self._is_in_force(part)):
            self._held = None
        return bool(suspected)

    def _was_answered_since(self, part: str, at: float) -> bool:
        return self._get_answered(part).get(part, at) > at + DATING_ERROR_S

    def _is_in_force(self, part: str) -> bool:
        verdict = self._verdicts.get(part)
        return verdict is not None and not verdict.is_lifted


def _find_trial_interval(generation: int) -> float:
    return min(MAX_TRIAL_INTERVAL_S, FIRST_TRIAL_S * 2.0 ** (generation - 1))
