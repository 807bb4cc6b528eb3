"""The identity of this host, which changes when its daemon has to rejoin the roster."""

from cherrylane.peer.identity import PeerIdentity


class LocalIdentity:
    """The name of this host and its current incarnation, as sent to its peers."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.current = PeerIdentity(name, incarnation)

    @property
    def name(self) -> str:
        """This host's name."""
        return self.current.name

    @property
    def holder(self) -> str:
        """The ``<name>/<incarnation>`` text that identifies this host in grants."""
        return self.current.holder

    def renew(self, incarnation: str) -> None:
        """Replace the incarnation."""
        self.current = PeerIdentity(self.name, incarnation)
