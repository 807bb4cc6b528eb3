"""Which failure domains are evacuated, as of a version of the store.

An operator evacuates a failure domain with an object of its name. All hosts derive the same state
from the store's objects, and pass it on whole, so the newer of two states always replaces the
other. Nothing here uses a network or a clock.
"""

from collections.abc import Iterable
from json import dumps

from attrs import define, evolve, field, frozen
from logbook import Logger

from cherrylane.fields import read_name
from cherrylane.platform.objects import ObjectList, WatchEvents
from cherrylane.platform.versions import NO_VERSION, StoreVersion

# Bound on the names of a state in a datagram, in bytes. A larger one would not be sent at all
# (a datagram has at most 65,507 bytes); a fleet has 8 failure domains.
MAX_NAMES_BYTES = 16_000

log = Logger("cherrylane.evacuations")


@frozen
class Evacuations:
    """The evacuated failure domains as of a version of the store."""

    domains: frozenset[str] = frozenset()
    version: StoreVersion = NO_VERSION


@define
class EvacuationHolder:
    """Holds the newest state, from whatever source it comes.

    A store that was restored from an older copy may lack what operators had written, so a domain
    that is missing in the first state of a new era stays evacuated for ``grace_s`` seconds.

    Example::

        holder = EvacuationHolder(grace_s=2.0)
        holder.accept(Evacuations(frozenset({"hsinchu-a"}), StoreVersion(1, 7)), now=0.0)
        holder.accept(Evacuations(frozenset(), StoreVersion(2, 5)), now=10.0)
        holder.in_force.domains  # {"hsinchu-a"}
        holder.end_grace(12.0)
        holder.in_force.domains  # empty
    """

    grace_s: float
    # What peers are told: the state of the store, without the domains that are kept for a while.
    newest: Evacuations | None = None
    grace_ends_at: float | None = None
    _kept: frozenset[str] = frozenset()

    @property
    def in_force(self) -> Evacuations | None:
        """The domains that no request may be sent to, None if that is not known."""
        if self.newest is None or not self._kept:
            return self.newest
        return evolve(self.newest, domains=self.newest.domains | self._kept)

    def accept(self, state: Evacuations, now: float) -> bool:
        """Take over a state if it is newer; returns whether it is."""
        newest = self.newest
        if newest is not None and state.version <= newest.version:
            return False
        kept = self._kept
        if newest is not None and state.version.era > newest.version.era:
            kept |= newest.domains
            self.grace_ends_at = now + self.grace_s
        # What was written again counts by its object from now on.
        self._kept = kept - state.domains
        if not self._kept:
            self.grace_ends_at = None
        self.newest = state
        return True

    def end_grace(self, confirmed_at: float) -> None:
        """End the time in which missing domains are kept, if the state was current after it.

        ``confirmed_at`` is when this host last knew its state to be the store's. A host that was
        cut off meanwhile may not know what operators have written again.
        """
        if self.grace_ends_at is not None and confirmed_at >= self.grace_ends_at:
            self._kept = frozenset()
            self.grace_ends_at = None


@define
class StoredEvacuations:
    """The names of the store's objects, kept up to date by one list and the changes after it.

    This is apart from the holder's state, which a peer may have brought to a later version than
    the one that the changes follow.
    """

    _names: set[str] = field(factory=set)
    _skipped: frozenset[str] = frozenset()

    def replace(self, listed: ObjectList) -> Evacuations:
        """Return the state as of a list."""
        self._names = {item.name for item in listed.objects}
        return self._make_state(listed.version)

    def change(self, changes: WatchEvents) -> Evacuations:
        """Return the state as of a batch of changes, which may change an object repeatedly."""
        for event in changes.events:
            if event.is_deleted:
                self._names.discard(event.object.name)
            else:
                self._names.add(event.object.name)
        return self._make_state(changes.version)

    def _make_state(self, version: StoreVersion) -> Evacuations:
        domains = select_usable(self._names)
        skipped = frozenset(self._names - domains)
        for name in sorted(skipped - self._skipped):
            log.error(
                "evacuation ignored: unusable as the name of a failure domain, or too many names",
                extra={"domain": name},
            )
        self._skipped = skipped
        return Evacuations(domains, version)


def select_usable(names: Iterable[str]) -> frozenset[str]:
    """Return the names that failure domains can have, up to ``MAX_NAMES_BYTES`` in all.

    Every host selects the same ones.
    """
    usable = []
    size = 0
    for name in sorted(names):
        try:
            size += len(dumps(read_name(name)))
        except ValueError:
            continue
        if size > MAX_NAMES_BYTES:
            break
        usable.append(name)
    return frozenset(usable)
