"""Whether this host may send a request to a cold upstream now.

A cold upstream takes few requests from all hosts together, and crashes well above that. A few hosts
share its rate, see :mod:`cherrylane.limits.cold.shares`. Each has a token bucket that holds one
request and starts empty, so that it never sends more than one request at once.
"""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen
from logbook import Logger

from cherrylane.limits.cold.evidence import NEVER, ColdEvidence, ColdState
from cherrylane.limits.cold.rules import ColdBounds, ColdRule
from cherrylane.limits.cold.shares import ColdShares
from cherrylane.limits.demand import RecentDemand
from cherrylane.limits.rate_shares import TokenBucket
from cherrylane.routing.routes import Service
from cherrylane.routing.upstreams import Upstream

# Seconds for which a token is kept for the requests with the most demand. A bucket is full
# meanwhile, so that a longer time would leave more of the rate unused.
HOLD_S = 0.02

log = Logger("cherrylane.limits")


@frozen
class ColdNotice:
    """An incarnation of an upstream that has turned cold, and for how many seconds."""

    name: str
    incarnation: int
    remaining_s: float


@define
class _Tokens:
    """The bucket of one cold upstream; ``free_at`` is when its next token is there."""

    bucket: TokenBucket
    free_at: float
    demand: RecentDemand = field(factory=RecentDemand)


@define
class ColdUpstreams:
    """What this host knows of cold upstreams, and what it may send them.

    ``on_failure`` is called with an upstream after a failed connection, to find out whether it has
    restarted.

    Example::

        cold = ColdUpstreams(ColdBounds(1.5, 5.0), ColdShares("10.0.0.1"))
        cold.set_services({"desk": service}, now=0.0)
        cold.record_entry(upstream, now=0.0)
        if cold.is_cold(upstream, now=1.0) and cold.find_wait(upstream, now=1.0) <= 0:
            cold.withdraw(upstream, now=1.0)
    """

    bounds: ColdBounds
    shares: ColdShares
    evidence: ColdEvidence = field(factory=ColdEvidence)
    on_failure: Callable[[Upstream], None] = lambda upstream: None
    _rules: dict[str, ColdRule] = field(factory=dict)
    _tokens: dict[str, _Tokens] = field(factory=dict)

    def set_services(self, services: Mapping[str, Service], now: float) -> None:
        """Take over the services of a configuration; those without a cold start are left out."""
        rules = {
            name: ColdRule(service.cold_start_s, service.cold_per_s, self.bounds)
            for name, service in services.items()
            if service.cold_start_s > 0 and service.cold_per_s > 0
        }
        if rules != self._rules:
            self._rules = rules
            self._set_rates(now)
            for name, _ in self.evidence.list_states():
                self._note(name, was_cold=name in self._tokens, now=now)

    def set_hosts(self, known: Iterable[str], now: float) -> None:
        """Add hosts that this one has heard of to those that share the rates."""
        if self.shares.record_known(known):
            self._set_rates(now)

    def record_registry(self, listed: Iterable[str], live: Iterable[str], now: float) -> None:
        """Take over a read of the host registry, with the hosts that are live then."""
        self.shares.record_registry(listed, live, now)
        self._set_rates(now)

    def record_entry(self, upstream: Upstream, now: float, *, is_from_peer: bool = False) -> None:
        """Record an entry as it is read from the store, or a peer's copy of it."""
        was_cold = self._is_cold(upstream.name, now)
        if is_from_peer:
            self.evidence.record_peer_entry(upstream, now)
        else:
            self.evidence.record_entry(upstream, now)
        self._note(upstream.name, was_cold=was_cold, now=now)

    def record_report(self, name: str, remaining_s: float, sent_at: float, now: float) -> None:
        """Record the period that an upstream names when it is asked."""
        was_cold = self._is_cold(name, now)
        self.evidence.record_report(name, remaining_s, sent_at, now)
        self._note(name, was_cold=was_cold, now=now)

    def record_answer(self, name: str, remaining_s: float, now: float) -> None:
        """Record the period that an upstream names beside the answer to a request."""
        was_cold = self._is_cold(name, now)
        self.evidence.record_answer(name, remaining_s, now)
        self._note(name, was_cold=was_cold, now=now)

    def record_incarnation(self, name: str, incarnation: int, sent_at: float, now: float) -> None:
        """Record the incarnation that an upstream reports when it is asked."""
        was_cold = self._is_cold(name, now)
        self.evidence.record_incarnation(name, incarnation, sent_at, now)
        self._note(name, was_cold=was_cold, now=now)

    def record_failure(self, upstream: Upstream, now: float) -> None:
        """Record a refused, timed-out or reset connection to an upstream."""
        if upstream.service not in self._rules:
            return
        self.record_no_report(upstream.name, now)
        self.on_failure(upstream)

    def record_silence(self, upstream: Upstream) -> None:
        """Ask an upstream that was silent on an open connection whether it has restarted.

        It is not presumed cold, since it may just be slow: an overloaded service would lose the
        capacity that it lacks.
        """
        if upstream.service in self._rules:
            self.on_failure(upstream)

    def record_no_report(self, name: str, now: float) -> None:
        """Record that an upstream does not answer when it is asked for its incarnation."""
        was_cold = self._is_cold(name, now)
        self.evidence.record_failure(name, now)
        self._note(name, was_cold=was_cold, now=now)

    def record_crash(self, name: str, incarnation: int, crashed_at: float, now: float) -> None:
        """Record a crash of an upstream that a peer has seen."""
        state, rule = self._find(name)
        if state is None or rule is None:
            return
        was_cold = self._is_cold(name, now)
        if self.evidence.record_crash(name, incarnation, crashed_at, now):
            self._note(name, was_cold=was_cold, now=now)
            self.on_failure(state.listed)

    def record_peer(self, name: str, incarnation: int, remaining_s: float, now: float) -> None:
        """Record that a peer has learned that an upstream is cold."""
        was_cold = self._is_cold(name, now)
        self.evidence.record_peer(name, incarnation, remaining_s, now)
        self._note(name, was_cold=was_cold, now=now)

    def presume_domain(self, domain: str, now: float) -> None:
        """Presume all upstreams of a failure domain cold, since its evacuation has ended."""
        before = {name for name in self._tokens if self._is_cold(name, now)}
        for name in self.evidence.presume_domain(domain, now):
            self._note(name, was_cold=name in before, now=now)

    def has_rule(self, upstream: Upstream) -> bool:
        """Return whether an upstream's service has a cold start."""
        return upstream.service in self._rules

    def is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is cold, as far as this host knows."""
        # Whatever turns cold gets tokens, so for most upstreams one look-up is enough.
        return upstream.name in self._tokens and self._is_cold(upstream.name, now)

    def has_failed(self, upstream: Upstream, now: float) -> bool:
        """Return whether it is open if an upstream has restarted after a failed connection."""
        state, rule = self._find(upstream.name)
        return state is not None and rule is not None and state.failed_at + rule.start_s > now

    def is_current(self, name: str, incarnation: int) -> bool:
        """Return whether this is the last known incarnation of an upstream."""
        state = self.evidence.find(name)
        return state is not None and state.incarnation == incarnation

    def record_demand(self, upstream: Upstream, shared_tokens: int, now: float) -> None:
        """Record a request that has a cold upstream first in its order.

        ``shared_tokens`` are those of its prompt that other requests may share.
        """
        tokens = self._tokens.get(upstream.name)
        if tokens is not None:
            tokens.demand.record(shared_tokens, now)

    def is_preferred(self, upstream: Upstream, shared_tokens: int, now: float) -> bool:
        """Return whether a request is among those that have the most demand for an upstream."""
        tokens = self._tokens.get(upstream.name)
        if tokens is None:
            return True
        return tokens.demand.is_preferred(shared_tokens, tokens.bucket.rate, now)

    def find_wait(self, upstream: Upstream, now: float, *, hold_s: float = 0.0) -> float:
        """Return the seconds until this host may send a request to a cold upstream.

        Infinite if it has no share. A request that others precede waits ``hold_s`` longer.
        """
        tokens = self._tokens.get(upstream.name)
        if tokens is None or tokens.bucket.rate <= 0:
            return float("inf")
        return max(0.0, tokens.free_at + hold_s - now)

    def find_room_wait(self, upstream: Upstream, now: float) -> float:
        """Return the seconds until this host may send a request, since the upstream may be warm.

        Infinite if it has no share: another host may have one at once.
        """
        wait_s = self.find_wait(upstream, now)
        if wait_s == float("inf"):
            return wait_s
        return min(wait_s, max(0.0, self._find_end(upstream.name) - now))

    def withdraw(self, upstream: Upstream, now: float) -> None:
        """Count a request that this host sends; only a cold upstream takes a token."""
        tokens = self._tokens.get(upstream.name)
        if tokens is not None and self.is_cold(upstream, now):
            tokens.bucket.withdraw(now)
            tokens.free_at = now + tokens.bucket.find_wait(now)

    def find_remaining_s(self, name: str, now: float) -> float:
        """Return for how many seconds an upstream is cold by what it has said, for peers."""
        state, rule = self._find(name)
        if state is None:
            return 0.0
        start_s = 0.0 if rule is None else rule.start_s
        return max(0.0, state.find_reported_end(start_s) - now)

    def list_notices(self, now: float) -> list[ColdNotice]:
        """Return the upstreams that have turned cold as this host has learned at first hand."""
        notices = []
        for name in self._tokens:
            state, rule = self._find(name)
            if state is None or rule is None:
                continue
            remaining_s = state.find_told_end(rule.start_s) - now
            if remaining_s > 0:
                notices.append(ColdNotice(name, state.incarnation, remaining_s))
        return notices

    def count_cold(self) -> int:
        """Return how many upstreams are cold."""
        return len(self._tokens)

    def sum_share(self) -> float:
        """Return how many requests a second this host may send to cold upstreams."""
        return sum(tokens.bucket.rate for tokens in self._tokens.values())

    def update(self, listed: Iterable[str], now: float) -> None:
        """Note which upstreams are warm again, and forget those that have gone; called often."""
        for name in [name for name in self._tokens if not self._is_cold(name, now)]:
            del self._tokens[name]
            log.info("upstream is warm", extra={"upstream": name})
        for name in self.evidence.forget_old(set(listed), now):
            self._tokens.pop(name, None)

    def _find(self, name: str) -> tuple[ColdState | None, ColdRule | None]:
        state = self.evidence.find(name)
        return state, None if state is None else self._rules.get(state.listed.service)

    def _find_end(self, name: str) -> float:
        state, rule = self._find(name)
        return NEVER if state is None or rule is None else state.find_end(rule.start_s)

    def _is_cold(self, name: str, now: float) -> bool:
        return self._find_end(name) > now

    def _note(self, name: str, *, was_cold: bool, now: float) -> None:
        """Give an upstream that has just turned cold an empty bucket."""
        end = self._find_end(name)
        state, rule = self._find(name)
        if end <= now or state is None or rule is None or (was_cold and name in self._tokens):
            return
        bucket = TokenBucket(
            self.shares.find_rate(name, rule), now, reserved_tokens=0.0, burst_s=0.0
        )
        was_logged = name in self._tokens
        self._tokens[name] = _Tokens(bucket, now + bucket.find_wait(now))
        if was_logged:
            return
        log.info(
            "upstream is cold",
            extra={
                "upstream": name,
                "incarnation": state.incarnation,
                "source": state.source,
                "seconds": round(end - now, 3),
                "own_share": round(bucket.rate, 3),
            },
        )

    def _set_rates(self, now: float) -> None:
        for name, tokens in self._tokens.items():
            _, rule = self._find(name)
            tokens.bucket.set_rate(0.0 if rule is None else self.shares.find_rate(name, rule), now)
            tokens.free_at = now + tokens.bucket.find_wait(now)
