"""Which hosts the platform's store has served without a break, as they tell in heartbeats.

A host that has lost the store cannot tell an outage from its own cut. After an outage, entries that
lapsed meanwhile return within a while, so what is missing is kept for that long. A host that was
only cut off itself must not do so: what is missing then has left.
"""

from attrs import define, field

# Seconds for which what a peer has told counts; it tells it several times a second.
STATEMENT_LIFETIME_S = 1.1


@define
class StoreContacts:
    """The peers that the store serves, with the begin of their contact and when they told it.

    Times are in seconds of the loop's clock.

    Example::

        contacts = StoreContacts()
        contacts.record("host-b", contact_s=60.0, now=100.0)
        contacts.was_serving(since=95.0, now=100.2)  # True
    """

    _by_host: dict[str, tuple[float, float]] = field(factory=dict)

    def record(self, host: str, contact_s: float, now: float) -> None:
        """Record for how long a peer has been in contact with the store, 0 if it is not."""
        if contact_s > 0:
            self._by_host[host] = (now - contact_s, now)
        else:
            self._by_host.pop(host, None)

    def was_serving(self, since: float, now: float) -> bool:
        """Return whether the store has served a peer without a break from ``since`` until now."""
        return any(
            began_at <= since and now - told_at <= STATEMENT_LIFETIME_S
            for began_at, told_at in self._by_host.values()
        )
