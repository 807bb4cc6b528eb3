"""The planned stop of a gateway daemon, from its last calls to its last answers."""

import asyncio

from attrs import asdict, define
from logbook import Logger

from cherrylane.gateway.draining import DRAIN_POLL_S, CallerDrain
from cherrylane.gateway.endpoints import ADDRESS_LIFETIME_S
from cherrylane.gateway.listeners import Listeners
from cherrylane.gateway.registry import HostRegistry
from cherrylane.gateway.upkeep import Upkeep
from cherrylane.gossip.node import GossipNode
from cherrylane.relay.service import RelayService

# Seconds of the grace period reserved for the last answers and the exit of the process, before it
# is killed; at most half of it.
GRACE_MARGIN_S = 0.7
# Share of the margin in which the last answers may leave.
FLUSH_SHARE = 0.6

log = Logger("cherrylane.gateway")


@define
class Shutdown:
    """Deregisters a host, serves callers for as long as they may know its address, and drains."""

    listeners: Listeners
    relay: RelayService
    gossip: GossipNode
    registry: HostRegistry
    upkeep: Upkeep

    async def run(self, grace_s: float) -> None:
        """Return once nothing runs any more, or shortly before ``grace_s`` seconds have passed.

        The host already counts as leaving, as its heartbeats say.
        """
        loop = asyncio.get_running_loop()
        margin_s = min(GRACE_MARGIN_S, grace_s / 2)
        deadline = loop.time() + grace_s - margin_s
        stop = self.relay.stop
        stop.ends_at = deadline
        callers = self.listeners.callers
        drain = CallerDrain(callers, stop)
        self.upkeep.share_rate_limits(loop.time(), takes_part=False)
        log.notice("stopping", extra={"busy": callers.busy, "idle": len(callers.connections)})
        self.gossip.send_round(to_all=True)
        deregistration = loop.create_task(self.registry.deregister())
        callers.draining = True
        time_left_s = deadline - loop.time()
        await asyncio.sleep(max(0.0, min(ADDRESS_LIFETIME_S, time_left_s)))
        self.relay.close()
        await drain.wait(deadline)
        self.gossip.send_round(to_all=True)
        for server in self.listeners.all():
            server.stop_accepting()
        # The connections accepted last may bring requests.
        await asyncio.sleep(DRAIN_POLL_S)
        await drain.wait(deadline)
        await drain.end_requests(margin_s * FLUSH_SHARE)
        log.notice("stopped", extra={**asdict(stop.tally), "cut": callers.unfinished})
        deregistration.cancel()
