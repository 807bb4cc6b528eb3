"""The upstreams of a service that may take a request now, and the choice among them."""

from attrs import define

from cherrylane.limits.suspicion import Suspicion
from cherrylane.placement.choice import Candidate, Choice, Chooser
from cherrylane.placement.loads import LoadBoard
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.snapshot import KnownUpstream, Snapshot


@define
class Selection:
    """Chooses by what this host knows: the list, its own experience, and loads."""

    chooser: Chooser
    board: LoadBoard
    suspicion: Suspicion

    def choose(
        self, request: CallerRequest, snapshot: Snapshot, tried: set[str], now: float
    ) -> Choice | None:
        """Return the upstream for the next attempt, or None if there is none left."""
        listed = snapshot.upstreams_of(request.service)
        candidates = self._find_candidates(listed, tried, now)
        if not candidates:
            return None
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
        working = [known for known in listed if known.upstream.takes_work]
        untried = [known for known in working if known.upstream.name not in tried]
        trusted = [
            known for known in untried if not self.suspicion.is_avoided(known.upstream.name, now)
        ]
        # Where all are suspect, the fault is likely not theirs.
        chosen = trusted or untried
        loads = self.board.read([known.upstream.name for known in chosen], now)
        return [Candidate(known.upstream, loads[known.upstream.name]) for known in chosen]
