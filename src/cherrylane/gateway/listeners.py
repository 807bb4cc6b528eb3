"""The HTTP servers of one gateway daemon."""

from attrs import frozen

from cherrylane.http.listener import InboundServer


@frozen
class Listeners:
    """The HTTP servers of one daemon."""

    callers: InboundServer
    readiness: InboundServer
    directory: InboundServer
    peers: InboundServer
    metrics: InboundServer

    def all(self) -> tuple[InboundServer, ...]:
        """Return all servers."""
        return (self.callers, self.readiness, self.directory, self.peers, self.metrics)
