"""The upstreams of a service that may take a request now, and the choice among them."""

from attrs import define, field, frozen

from cherrylane.limits.overload import Demand, Pace, has_room
from cherrylane.limits.suspicion import Suspicion
from cherrylane.placement.choice import Candidate, Choice, Chooser
from cherrylane.placement.loads import LoadBoard
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.snapshot import KnownUpstream, Snapshot


@frozen
class Overloaded:
    """No upstream is expected to begin the request in time."""

    upstreams: int
    least_requests: int
    least_unread_tokens: int


@define
class Selection:
    """Chooses by what this host knows: the list, its own experience, and loads."""

    chooser: Chooser
    board: LoadBoard
    suspicion: Suspicion
    _paces: dict[str, Pace] = field(factory=dict)

    def pace_of(self, service: str) -> Pace:
        """Return how fast the upstreams of a service work."""
        return self._paces.setdefault(service, Pace())

    def choose(
        self, request: CallerRequest, snapshot: Snapshot, tried: set[str], now: float
    ) -> Choice | Overloaded | None:
        """Return the upstream for the next attempt, or None if there is none left.

        A request that was tried already goes on, since work was spent on it. Room decides only
        whether a request is refused: a chat that is moved for it has to be read anew.
        """
        listed = snapshot.list_upstreams(request.service)
        candidates = self._find_candidates(listed, tried, now)
        if not candidates:
            return None
        if not tried and not self._find_room(request, candidates):
            return _describe_overload(candidates)
        if not request.prompt.chat_key:
            return self.chooser.choose_by_load(candidates)
        holders = [
            known.upstream
            for known in listed
            if not self.suspicion.is_avoided(known.upstream.name, now)
        ]
        return self.chooser.choose_for_chat(request.prompt, candidates, holders)

    def _find_candidates(
        self, listed: tuple[KnownUpstream, ...], tried: set[str], now: float
    ) -> list[Candidate]:
        working = [known for known in listed if known.upstream.accepts_requests]
        untried = [known for known in working if known.upstream.name not in tried]
        trusted = [
            known for known in untried if not self.suspicion.is_avoided(known.upstream.name, now)
        ]
        # Where all are suspect, the fault is likely not theirs.
        chosen = trusted or untried
        loads = self.board.read([known.upstream.name for known in chosen], now)
        return [Candidate(known.upstream, loads[known.upstream.name]) for known in chosen]

    def _find_room(self, request: CallerRequest, candidates: list[Candidate]) -> bool:
        """Say whether any candidate is expected to begin the request early enough."""
        demand = Demand(request.rank, request.route.target_s, request.waited_s)
        pace = self.pace_of(request.service)
        return any(has_room(demand, one.load, one.upstream.slots, pace) for one in candidates)


def _describe_overload(candidates: list[Candidate]) -> Overloaded:
    loads = [candidate.load for candidate in candidates]
    return Overloaded(
        upstreams=len(candidates),
        least_requests=min(load.requests for load in loads),
        least_unread_tokens=min(load.unread_tokens for load in loads),
    )
