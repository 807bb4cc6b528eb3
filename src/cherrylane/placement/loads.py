"""Work at each upstream: this host's own, exactly, and the peers' as they last said."""

from collections.abc import Iterable

from attrs import define, field, frozen

# Seconds after which what a peer said of its requests no longer counts, at least.
PEER_LOADS_LIFETIME_S = 1.5


@frozen
class Load:
    """Requests in work at an upstream, and how many tokens of their prompts it has yet to read."""

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
    """One peer's work by upstream, and when it said so."""

    loads: dict[str, Load]
    at: float


@define
class InFlightRequest:
    """One request of this host at an upstream, from its dispatch to its end."""

    board: "LoadTracker"
    upstream: str
    load: Load

    def note_answer_started(self) -> None:
        """Note that the upstream has begun to answer, so that it has read the prompt."""
        self._become(Load(requests=1))

    def end(self) -> None:
        """Note that the request has ended."""
        self._become(NO_LOAD)

    def _become(self, load: Load) -> None:
        self.board.change(self.upstream, load - self.load)
        self.load = load


@define
class LoadTracker:
    """The load of upstreams as far as this host knows.

    What a peer said counts for ``lifetime_s`` seconds; in a large fleet it is heard less often.

    Example::

        work = board.begin("i-7", Load(1, unread_tokens=1200))
        ...
        work.note_answer_started()
        ...
        work.end()
    """

    lifetime_s: float = PEER_LOADS_LIFETIME_S
    own: dict[str, Load] = field(factory=dict)
    _peers: dict[str, PeerLoads] = field(factory=dict)

    def begin(self, upstream: str, load: Load = ONE_REQUEST) -> InFlightRequest:
        """Note that a request is sent, and what it adds to the load."""
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
        """Take in what a peer says of its own requests."""
        self._peers[peer] = PeerLoads(loads, now)

    def read(self, upstreams: Iterable[str], now: float) -> dict[str, Load]:
        """Return the known load of each of ``upstreams``."""
        totals = {name: self.own.get(name, NO_LOAD) for name in upstreams}
        for peer in self._peers.values():
            if now - peer.at > self.lifetime_s:
                continue
            for name, load in peer.loads.items():
                if name in totals:
                    totals[name] += load
        return totals
