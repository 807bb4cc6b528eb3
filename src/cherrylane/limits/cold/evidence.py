"""Until when upstreams are cold, by what they say themselves and by signs of a restart.

Evidence is kept by name, with the incarnation that it is about: the list may still show an earlier
incarnation than the upstream has reported. Incarnations are start times on the upstream's clock,
which may jump, so they are only compared for equality.

An entry of the list may have been written seconds before it is read. So the period that it names
counts from the time of reading, and it never shortens what the upstream has said since.
"""

from collections.abc import Iterable

from attrs import define, field

from cherrylane.routing.upstreams import Upstream

# Seconds by which an entry of the list may be older than its reading.
MAX_ENTRY_AGE_S = 3.0
# Longest period that is believed; a longer one would keep an upstream out of use by a mistake.
MAX_COLD_S = 600.0
# Earlier incarnations of an upstream that are remembered, since entries with them may still arrive.
MAX_PAST = 8
# Most upstreams that are remembered, and the seconds for which those that are not listed are.
MAX_REMEMBERED = 32_768
MEMORY_S = 120.0
# Seconds by which the times may differ at which several peers date the same crash.
CRASH_DATING_S = 1.0

NEVER = float("-inf")


@define
class ColdState:
    """What is known of one upstream; times are in seconds of this host's clock.

    ``presumed_at`` is when it was last taken to be cold without its own word, and ``failed_at``
    when a connection last failed without a later sign of the same incarnation. ``reported_until``
    is the end of the period last reported, by a report made at ``heard_at`` or earlier.

    ``told_until`` and ``restarted_at`` are what this host has learned from the upstream itself or
    from a changed entry, and tells its peers. What it has from peers is not told again: each
    telling would lengthen the period by the time of its way. ``is_from_notice`` is set while only a
    peer's notice has named the incarnation, which may be a past one.
    """

    incarnation: int
    known_at: float
    listed: Upstream
    entry: Upstream | None = None
    presumed_at: float = NEVER
    failed_at: float = NEVER
    reported_until: float = NEVER
    heard_at: float = NEVER
    crashed_at: float = NEVER
    told_until: float = NEVER
    restarted_at: float = NEVER
    source: str = ""
    past: list[int] = field(factory=list)
    is_from_notice: bool = False

    def find_reported_end(self, start_s: float) -> float:
        """Return the end of its cold period, without regard to failed connections of this host."""
        return max(self.reported_until, self.presumed_at + start_s)

    def find_end(self, start_s: float) -> float:
        """Return the end of its cold period."""
        return max(self.find_reported_end(start_s), self.failed_at + start_s)

    def find_told_end(self, start_s: float) -> float:
        """Return the end of the period that peers are told of, in the past if there is none."""
        return max(self.told_until, self.restarted_at + start_s)

    def begin_incarnation(self, incarnation: int, now: float, source: str) -> None:
        """Take over a new incarnation, which is presumed cold."""
        if self.incarnation != incarnation and not self.is_from_notice:
            past = [one for one in self.past if one != incarnation]
            self.past = [*past, self.incarnation][-MAX_PAST:]
        elif incarnation in self.past:
            self.past.remove(incarnation)
        self.incarnation = incarnation
        self.is_from_notice = False
        self.presumed_at, self.source = now, source
        self.reported_until = self.heard_at = NEVER
        self.told_until = self.restarted_at = NEVER

    def is_past(self, entry: Upstream) -> bool:
        """Return whether an entry is about an earlier incarnation.

        An entry that has changed is believed rather than a notice.
        """
        if entry.incarnation not in self.past:
            return False
        return not self.is_from_notice or entry == self.listed

    def set_reported(self, remaining_s: float, made_at: float, now: float, source: str) -> None:
        """Record a report of the upstream; one that is not the latest can only lengthen."""
        until = now + min(remaining_s, MAX_COLD_S)
        is_later = made_at > self.heard_at
        if not is_later and until <= self.reported_until:
            return
        if until > self.reported_until:
            self.source = source
        self.reported_until = until
        self.heard_at = max(self.heard_at, made_at)
        if is_later and made_at >= self.presumed_at:
            self.presumed_at = NEVER


@define
class ColdEvidence:
    """The states of all upstreams.

    Example::

        evidence.record_entry(upstream, now=1.0)
        evidence.record_failure("i-7", now=9.0)
        evidence.record_incarnation("i-7", upstream.incarnation, sent_at=9.1, now=9.2)
        evidence.find("i-7").find_end(start_s=3.0)  # over: it has not restarted
    """

    _states: dict[str, ColdState] = field(factory=dict)

    def find(self, name: str) -> ColdState | None:
        """Return the state of an upstream, None if nothing is known of it."""
        return self._states.get(name)

    def list_states(self) -> Iterable[tuple[str, ColdState]]:
        """Return the names and states of all upstreams."""
        return self._states.items()

    def record_entry(self, upstream: Upstream, now: float) -> None:
        """Record an entry of the store's list; only one that has changed is new evidence."""
        state = self._states.get(upstream.name)
        if state is None:
            state = self._add(upstream, now)
        elif state.entry == upstream or state.is_past(upstream):
            return
        elif upstream.incarnation != state.incarnation:
            self._begin(state, upstream, now, "entry")
            if upstream.is_slow_start_known:
                state.told_until = state.reported_until
            else:
                state.restarted_at = now
        elif state.entry is None:
            # So far it was known from a peer, which had aged its copy.
            self._lengthen(state, upstream, now)
        elif upstream.is_slow_start_known:
            state.set_reported(upstream.slow_start_s, now - MAX_ENTRY_AGE_S, now, "entry")
            state.told_until = now + min(upstream.slow_start_s, MAX_COLD_S)
        state.entry = state.listed = upstream
        state.is_from_notice = False

    def record_peer_entry(self, upstream: Upstream, now: float) -> None:
        """Record a peer's copy of an entry, whose period the peer has reduced by its age.

        It tells of incarnations that are new to this host, and may lengthen a period.
        """
        state = self._states.get(upstream.name)
        if state is None:
            self._add(upstream, now)
        elif state.is_past(upstream):
            return
        elif upstream.incarnation != state.incarnation:
            self._begin(state, upstream, now, "peer")
        else:
            self._lengthen(state, upstream, now)
            state.listed = upstream
            state.is_from_notice = False

    def record_report(self, name: str, remaining_s: float, sent_at: float, now: float) -> None:
        """Record the period that an upstream names when it is asked at ``sent_at``.

        That it answers says nothing of its incarnation, so a failed connection still counts unless
        the upstream was asked after it.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.set_reported(remaining_s, sent_at, now, "health")
        state.told_until = state.reported_until
        if sent_at >= state.failed_at:
            state.failed_at = NEVER

    def record_answer(self, name: str, remaining_s: float, now: float) -> None:
        """Record a period named beside the answer to a request; 0 says nothing.

        The answer may have been on its way while the upstream restarted.
        """
        state = self._states.get(name)
        if state is not None and remaining_s > 0:
            state.set_reported(remaining_s, NEVER, now, "answer")
            state.told_until = state.reported_until

    def record_incarnation(self, name: str, incarnation: int, sent_at: float, now: float) -> None:
        """Record the incarnation that an upstream has reported when it was asked."""
        state = self._states.get(name)
        if state is None:
            return
        if incarnation != state.incarnation:
            state.begin_incarnation(incarnation, now, "report")
            state.restarted_at = now
        state.is_from_notice = False
        if sent_at >= state.failed_at:
            state.failed_at = NEVER

    def record_failure(self, name: str, now: float) -> None:
        """Record a refused, timed-out or reset connection: the upstream may have restarted."""
        state = self._states.get(name)
        if state is not None:
            state.failed_at = now
            state.source = "failed connection"

    def record_crash(self, name: str, incarnation: int, crashed_at: float, now: float) -> bool:
        """Record a crash that a peer has seen; returns whether this host did not know of it."""
        state = self._states.get(name)
        if state is None or incarnation != state.incarnation:
            return False
        if crashed_at <= state.crashed_at + CRASH_DATING_S:
            return False
        state.crashed_at, state.failed_at, state.source = crashed_at, now, "crash"
        return True

    def record_peer(self, name: str, incarnation: int, remaining_s: float, now: float) -> None:
        """Record that a peer has learned that an upstream is cold."""
        state = self._states.get(name)
        if state is None or incarnation in state.past:
            return
        if incarnation != state.incarnation:
            state.begin_incarnation(incarnation, now, "peer")
            state.presumed_at, state.is_from_notice = NEVER, True
        if now + remaining_s > state.reported_until:
            state.set_reported(remaining_s, now, now, "peer")

    def presume_domain(self, domain: str, now: float) -> list[str]:
        """Presume all upstreams of a failure domain cold, and return their names."""
        names = []
        for name, state in self._states.items():
            if state.listed.zone == domain:
                state.presumed_at, state.source = now, "evacuation"
                names.append(name)
        return names

    def forget_old(self, listed: set[str], now: float) -> list[str]:
        """Forget upstreams that have gone, and return their names."""
        for name in listed:
            state = self._states.get(name)
            if state is not None:
                state.known_at = now
        gone = [name for name, state in self._states.items() if now - state.known_at > MEMORY_S]
        for name in gone:
            del self._states[name]
        return gone

    def _add(self, upstream: Upstream, now: float) -> ColdState:
        while len(self._states) >= MAX_REMEMBERED:
            del self._states[next(iter(self._states))]
        state = ColdState(upstream.incarnation, now, upstream)
        self._states[upstream.name] = state
        self._begin(state, upstream, now, "entry")
        return state

    def _begin(self, state: ColdState, upstream: Upstream, now: float, source: str) -> None:
        """Begin an incarnation by its first entry, which may say that it is not cold.

        One that contradicts a notice is presumed cold all the same, since either may be the later.
        """
        contradicts_notice = state.is_from_notice
        state.begin_incarnation(upstream.incarnation, now, source)
        state.listed = upstream
        if upstream.is_slow_start_known:
            state.presumed_at = NEVER
            state.set_reported(upstream.slow_start_s, now - MAX_ENTRY_AGE_S, now, source)
        if contradicts_notice:
            state.presumed_at = now

    def _lengthen(self, state: ColdState, upstream: Upstream, now: float) -> None:
        if upstream.is_slow_start_known and upstream.slow_start_s > 0:
            state.set_reported(upstream.slow_start_s, NEVER, now, "peer")
