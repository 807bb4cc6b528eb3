"""The log line of the first request that an evacuation has sent elsewhere."""

from attrs import define, field
from logbook import Logger

from cherrylane.placement.choice import Choice
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.snapshot import Snapshot

log = Logger("cherrylane.evacuations")


@define
class DiversionLog:
    """Logs, once for each evacuation, the first request that could not use its failure domain."""

    _logged: frozenset[str] = field(factory=frozenset)

    def record(self, request: CallerRequest, choice: Choice, snapshot: Snapshot) -> None:
        """Record that an upstream was chosen, in whatever failure domain."""
        evacuations = snapshot.evacuations
        if evacuations is None:
            return
        # A domain that is evacuated again later is logged again.
        self._logged &= evacuations.domains
        if self._logged == evacuations.domains:
            return
        listed = {known.upstream.zone for known in snapshot.list_upstreams(request.service)}
        for domain in sorted((evacuations.domains - self._logged) & listed):
            log.notice(
                "first request that went elsewhere for an evacuation",
                extra={
                    "domain": domain,
                    "version": str(evacuations.version),
                    "request": request.id,
                    "upstream": choice.upstream.name,
                },
            )
            self._logged |= {domain}
