"""Whether what a host knows of software versions is all that there is to know.

A version that came into use while a host was cut off, or stood still, is unknown to it, and nothing
on the host shows that: calls that are pending have not failed, and messages that waited in a buffer
look new. So only answers to a question that was asked now count. The store's answer is enough, and
so is that of a peer to which the store has answered. Otherwise all other hosts together know all,
and a store that is lost to all names no new versions to anybody, which is believed if most of the
fleet has lost it.
"""

from attrs import define, field, frozen


@frozen
class PeerStatement:
    """What a peer has answered to the question which versions it knows.

    ``is_confirmed`` says that the store has answered the peer since the question arrived,
    ``is_complete`` that the peer knows the versions from before its own start, and
    ``has_lost_store`` that its last call to the store has failed.
    """

    is_confirmed: bool
    is_complete: bool
    has_lost_store: bool


@define
class PeerPoll:
    """The answers of peers that were asked at the same time.

    ``asked`` is the number of peers that were asked, ``live`` of those that were heard of lately,
    and ``members`` of all that are known, each without this host.

    Example::

        poll = PeerPoll(asked=6, live=6, members=6)
        poll.record(PeerStatement(is_confirmed=True, is_complete=True, has_lost_store=False))
        poll.is_confirmed  # True
    """

    asked: int
    live: int
    members: int
    _statements: list[PeerStatement] = field(factory=list)

    def record(self, statement: PeerStatement) -> None:
        """Record the answer of a peer."""
        self._statements.append(statement)

    @property
    def is_confirmed(self) -> bool:
        """Whether a peer knows all versions that are in use now."""
        return any(one.is_confirmed and one.is_complete for one in self._statements)

    @property
    def is_unanimous(self) -> bool:
        """Whether all other hosts have told all versions that they know.

        A version that has begun a stream is known to the host that it began through, or, if that
        has just started again, to those that were there before.
        """
        complete = sum(1 for one in self._statements if one.is_complete)
        return bool(self.members) and complete == self.members

    @property
    def shows_outage(self) -> bool:
        """Whether most of the fleet has lost the store, this host being one that has.

        A host that knows no peer cannot tell an outage from being cut off.
        """
        lost = sum(1 for one in self._statements if one.has_lost_store and one.is_complete)
        is_heard_by_any = any(one.is_confirmed for one in self._statements)
        return (
            not is_heard_by_any
            and _is_majority(lost, self.asked)
            and _is_majority(self.live, self.members)
        )


def _is_majority(peers: int, of_peers: int) -> bool:
    """Return whether peers and this host are most of all, this host included."""
    return bool(of_peers) and 2 * (peers + 1) > of_peers + 1
