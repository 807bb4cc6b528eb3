"""The load of each upstream: exact for this host, and as last reported for its peers."""

from collections.abc import Iterable

from attrs import define, field, frozen

# Minimum seconds after which a peer's reported loads expire.
PEER_LOADS_LIFETIME_S = 1.5


@frozen
class Load:
    """The requests in progress at an upstream, and their prompt tokens still to be prefilled."""

    requests: int = 0
    unread_tokens: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(self.requests + other.requests, self.unread_tokens + other.unread_tokens)

    def __sub__(self, other: "Load") -> "Load":
        return Load(self.requests - other.requests, self.unread_tokens - other.unread_tokens)


NO_LOAD = Load()
ONE_REQUEST = Load(1)


@define
class PeerLoads:
    """One peer's loads by upstream, and the time of its report."""

    loads: dict[str, Load]
    received_at: float


@define
class InFlightRequest:
    """One request of this host at an upstream, from its dispatch to its end."""

    tracker: "LoadTracker"
    upstream: str
    load: Load
    answered_at: float | None = None

    def record_answer_started(self, now: float) -> None:
        """Record that the upstream has started its answer, so it has prefilled the prompt."""
        self.answered_at = now
        self._set_load(Load(requests=1))

    def end(self) -> None:
        """Record that the request has ended."""
        self._set_load(NO_LOAD)

    def _set_load(self, load: Load) -> None:
        self.tracker.change(self.upstream, load - self.load)
        self.load = load


@define
class LoadTracker:
    """The known load of each upstream.

    A peer's report expires after ``lifetime_s`` seconds; in a large fleet reports come less often.

    Example::

        in_flight = tracker.begin("i-7", Load(1, unread_tokens=1200))
        ...
        in_flight.record_answer_started(now=2.5)
        ...
        in_flight.end()
    """

    lifetime_s: float = PEER_LOADS_LIFETIME_S
    own: dict[str, Load] = field(factory=dict)
    _peers: dict[str, PeerLoads] = field(factory=dict)

    def begin(self, upstream: str, load: Load = ONE_REQUEST) -> InFlightRequest:
        """Record that a request is sent which adds ``load``."""
        self.change(upstream, load)
        return InFlightRequest(self, upstream, load)

    def change(self, upstream: str, difference: Load) -> None:
        """Add to this host's own load of an upstream."""
        load = self.own.get(upstream, NO_LOAD) + difference
        if load.requests > 0:
            self.own[upstream] = load
        else:
            self.own.pop(upstream, None)

    def update_peer(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Replace the loads reported by a peer."""
        self._peers[peer] = PeerLoads(loads, now)

    def read(self, upstreams: Iterable[str], now: float) -> dict[str, Load]:
        """Return the known load of each of ``upstreams``."""
        totals = {name: self.own.get(name, NO_LOAD) for name in upstreams}
        for peer in self._peers.values():
            if now - peer.received_at > self.lifetime_s:
                continue
            for name, load in peer.loads.items():
                if name in totals:
                    totals[name] += load
        return totals
