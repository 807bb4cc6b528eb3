"""This host's own identity, which changes when its daemon has to join the roster anew."""

from cherrylane.peer.identity import PeerIdentity


class LocalIdentity:
    """The name of this host and the current run under which peers know it."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.current = PeerIdentity(name, incarnation)

    @property
    def name(self) -> str:
        """This host's name."""
        return self.current.name

    @property
    def holder(self) -> str:
        """The text by which grants name the current run."""
        return self.current.holder

    def renew(self, incarnation: str) -> None:
        """Go on under a new run."""
        self.current = PeerIdentity(self.name, incarnation)
