"""The host's copy of the configuration and the upstream list, from the store and from peers.

The source with the higher version wins. Versions never decrease, and while no source is reachable
the last copy stays in force.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from logbook import Logger

from cherrylane.errors import SettingsError
from cherrylane.membership.departures import Departures
from cherrylane.membership.evacuations import Evacuations
from cherrylane.platform.configuration import CONFIG_NAME, decode_configuration
from cherrylane.platform.objects import ObjectList, PlatformObject, WatchEvents
from cherrylane.platform.upstreams import decode_upstream, encode_upstream
from cherrylane.platform.versions import NO_VERSION, StoreVersion
from cherrylane.routing.routes import Configuration, RouteTable
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream, UpstreamState

# Seconds after the store is reachable again during which missing upstreams may register again.
REMOVAL_GRACE_S = 2.0

log = Logger("cherrylane.knowledge")

SnapshotListener = Callable[[Snapshot], None]


@define
class RoutingState:
    """Holds the newest snapshot and passes each new one to ``listener``.

    ``get_grace_s`` returns how many seconds are left in which a missing upstream is kept: after an
    outage of the store, upstreams whose entries have expired take a moment to register again.
    ``on_upstream_reset`` is called with the name of an upstream that is new, has restarted or was
    removed, and ``on_upstream_listed`` with each entry as it is read, also one that is replaced
    before the next snapshot; ``on_entry`` is called with the same and its source, ``store`` or
    ``peer``. ``find_slow_start`` returns for how many more seconds an upstream is slow after its
    start, by which copies of entries for peers are corrected. ``on_gap`` is called when a list
    replaces another one, since the changes between them are not known.
    """

    listener: SnapshotListener
    get_grace_s: Callable[[], float] = lambda: 0.0
    snapshot: Snapshot = field(factory=Snapshot)
    # Sent to peers on request, in the format of the store; of entries, what was read.
    config_document: Any = None
    entries: dict[str, Any] = field(factory=dict)
    on_upstream_reset: Callable[[str], None] = lambda name: None
    on_upstream_listed: Callable[[Upstream], None] = lambda upstream: None
    on_gap: Callable[[], None] = lambda: None
    on_entry: Callable[[Upstream, str], None] = lambda upstream, source: None
    find_slow_start: Callable[[str], float] | None = None
    _known: dict[str, KnownUpstream] = field(factory=dict)
    # Upstreams that had gone and that an older copy of the store lists again.
    _returned: dict[str, Any] = field(factory=dict)
    # Ends of the grace periods of missing and of returned upstreams.
    _timers: dict[str, asyncio.TimerHandle] = field(factory=dict)
    _departures: Departures = field(factory=Departures)
    # Why entries are ignored, by the name under which they are listed.
    _ignored: dict[str, str] = field(factory=dict)
    # When missing and returned upstreams are trusted again after the store was restored.
    _restored_until: float = float("-inf")

    def apply_config_list(self, listed: ObjectList) -> None:
        """Apply a full list of the configuration objects."""
        for item in listed.objects:
            self.apply_config_object(item)

    def apply_config_changes(self, changes: WatchEvents) -> None:
        """Apply changes of configuration objects; a deletion leaves the one in force."""
        for event in changes.events:
            if not event.is_deleted:
                self.apply_config_object(event.object)

    def apply_config_object(self, item: PlatformObject) -> None:
        """Apply a configuration object, if it is the one that this host uses."""
        if item.name == CONFIG_NAME:
            self.apply_config(item.spec, source="store")

    def apply_config(self, document: Any, *, source: str) -> None:
        """Put a configuration in force if it is valid and newer than the current one."""
        try:
            configuration = decode_configuration(document)
        except SettingsError as error:
            log.error("configuration ignored", extra={"reason": str(error), "source": source})
            return
        if configuration.version <= self.snapshot.config_version:
            return
        self.config_document = document
        self._log_config(configuration, source)
        self._publish(evolve(self.snapshot, table=RouteTable(configuration)))

    def apply_upstream_list(self, listed: ObjectList) -> None:
        """Apply a full list of upstreams from the store."""
        entries = {item.name: item.spec for item in listed.objects}
        self._replace_entries(entries, listed.version, source="store")

    def apply_upstream_changes(self, changes: WatchEvents) -> None:
        """Apply changes of upstreams from the store; those of an earlier era are ignored."""
        version = self.snapshot.upstreams_version
        if changes.version.era < version.era:
            return
        for event in changes.events:
            name = event.object.name
            if event.is_deleted:
                self._ignored.pop(name, None)
                self._schedule_removal(name)
                version = max(version, changes.version)
            else:
                self._apply_entry(name, event.object.spec)
                if event.object.version is not None:
                    version = max(version, event.object.version)
        self._publish_upstreams(version)

    def apply_peer_entries(self, entries: dict[str, Any], version: StoreVersion) -> None:
        """Apply a peer's full list of upstreams, if it is newer."""
        if version > self.snapshot.upstreams_version:
            self._replace_entries(entries, version, source="peer")

    def list_entries(self) -> dict[str, Any]:
        """Return the entries for a peer, which may be long after they were read."""
        if self.find_slow_start is None:
            return self.entries
        return {
            name: encode_upstream(
                evolve(self._known[name].upstream, slow_start_s=self.find_slow_start(name))
            )
            for name in self.entries
        }

    def find_upstream(self, name: str) -> Upstream | None:
        """Return an upstream as it is listed, None if it is not."""
        known = self._known.get(name)
        return None if known is None else known.upstream

    def apply_evacuations(self, evacuations: Evacuations) -> None:
        """Put evacuations in force; a new version of the same ones is not passed on."""
        before = self.snapshot.evacuations
        self.snapshot = evolve(self.snapshot, evacuations=evacuations)
        if before is None or before.domains != evacuations.domains:
            self.listener(self.snapshot)

    def list_incarnations(self) -> list[tuple[str, int]]:
        """Return the name and incarnation of each upstream."""
        return [(name, known.upstream.incarnation) for name, known in self._known.items()]

    def record_leaving(self, name: str, incarnation: int, *, source: str) -> bool:
        """Send nothing more to an upstream that has said that it leaves.

        Returns whether that is new. Its running requests continue.
        """
        now = asyncio.get_running_loop().time()
        if self._departures.is_leaving(name, incarnation):
            return False
        self._departures.record_leaving(name, incarnation, now)
        log.info("upstream says that it leaves", extra={"upstream": name, "source": source})
        known = self._known.get(name)
        if known is not None and known.upstream.incarnation == incarnation:
            draining = evolve(known.upstream, state=UpstreamState.DRAINING)
            self._known[name] = evolve(known, upstream=draining)
            if name in self.entries:
                self.entries[name] = encode_upstream(draining)
            self._publish_upstreams(self.snapshot.upstreams_version)
        return True

    def _replace_entries(
        self, entries: dict[str, Any], version: StoreVersion, *, source: str
    ) -> None:
        known_version = self.snapshot.upstreams_version
        if version.era < known_version.era:
            return
        if known_version != NO_VERSION and version.era > known_version.era:
            self._record_restored(known_version, version, source)
        if known_version not in (NO_VERSION, version):
            self.on_gap()
        for name in [name for name in self._known if name not in entries]:
            self._schedule_removal(name)
        self._ignored = {name: why for name, why in self._ignored.items() if name in entries}
        for name, spec in entries.items():
            self._apply_entry(name, spec, source)
        log.info(
            "upstream list applied",
            extra={"source": source, "version": str(version), "count": len(self._known)},
        )
        self._publish_upstreams(max(version, known_version))

    def _record_restored(self, known: StoreVersion, version: StoreVersion, source: str) -> None:
        """Distrust what the older copy of a restored store lacks or lists again, for a while."""
        self._restored_until = asyncio.get_running_loop().time() + REMOVAL_GRACE_S
        log.warning(
            "upstreams of an older copy of the store",
            extra={
                "before": str(known),
                "version": str(version),
                "source": source,
                "count": len(self._known),
                "grace_s": REMOVAL_GRACE_S,
            },
        )

    def _apply_entry(self, name: str, spec: Any, source: str = "store") -> None:
        self._cancel_timers(name)
        try:
            upstream = decode_upstream(name, spec)
        except SettingsError as error:
            self._ignore_entry(name, error)
            return
        self._ignored.pop(name, None)
        self.on_upstream_listed(upstream)
        self.on_entry(upstream, source)
        if self._hold_back_if_returned(upstream):
            return
        upstream = self._apply_departure(upstream)
        self.entries[name] = encode_upstream(upstream)
        known = self._known.get(name)
        if known is not None and known.upstream == upstream:
            return
        is_same_incarnation = (
            known is not None and known.upstream.incarnation == upstream.incarnation
        )
        now = asyncio.get_running_loop().time()
        joined_at = known.joined_at if known is not None and is_same_incarnation else now
        self._known[name] = KnownUpstream(upstream, joined_at)
        if not is_same_incarnation:
            self.on_upstream_reset(name)
        if not is_same_incarnation or (
            known is not None and known.upstream.state is not upstream.state
        ):
            self._log_upstream(upstream)

    @property
    def ignored_count(self) -> int:
        """The number of listed entries that are ignored because they are invalid."""
        return len(self._ignored)

    def _ignore_entry(self, name: str, error: SettingsError) -> None:
        """Ignore an invalid entry, and drop the upstream that it replaces; logged once a change."""
        reason = str(error)
        if self._ignored.get(name) != reason:
            log.error("invalid upstream entry ignored", extra={"upstream": name, "reason": reason})
        self._ignored[name] = reason
        if name in self._known:
            self._remove(name)

    def _apply_departure(self, upstream: Upstream) -> Upstream:
        """Return an upstream that leaves as draining, whatever its entry says."""
        name, incarnation = upstream.name, upstream.incarnation
        if not upstream.accepts_requests:
            self._departures.record_leaving(name, incarnation, asyncio.get_running_loop().time())
            return upstream
        if incarnation and self._departures.is_leaving(name, incarnation):
            return evolve(upstream, state=UpstreamState.DRAINING)
        return upstream

    def _hold_back_if_returned(self, upstream: Upstream) -> bool:
        """Hold back an upstream that had gone and that an older copy of the store lists again.

        If it is alive it is still listed after the grace period; if not, its entry is deleted anew.
        """
        loop = asyncio.get_running_loop()
        name = upstream.name
        if (
            name in self._known
            or loop.time() >= self._restored_until
            or not self._departures.was_deleted(name, upstream.incarnation)
        ):
            return False
        self._returned[name] = encode_upstream(upstream)
        self._timers[name] = loop.call_at(self._restored_until, self._accept_returned, name)
        log.info("upstream listed again by an older copy", extra={"upstream": name})
        return True

    def _accept_returned(self, name: str) -> None:
        self._apply_entry(name, self._returned[name])
        self._publish_upstreams(self.snapshot.upstreams_version)

    def _schedule_removal(self, name: str) -> None:
        """Remove an upstream, either at once or when the grace period has passed."""
        if name in self._returned:
            self._cancel_timers(name)
        if name not in self._known or name in self._timers:
            return
        loop = asyncio.get_running_loop()
        grace_s = max(self.get_grace_s(), self._restored_until - loop.time())
        if grace_s <= 0:
            self._remove(name)
            return
        # Peers may already know that it has left, so its entry is no longer sent to them.
        self.entries.pop(name, None)
        self._timers[name] = loop.call_later(grace_s, self._finish_removal, name)
        log.info("upstream missing", extra={"upstream": name, "grace_s": round(grace_s, 3)})

    def _finish_removal(self, name: str) -> None:
        self._timers.pop(name, None)
        self._remove(name)
        self._publish_upstreams(self.snapshot.upstreams_version)

    def _remove(self, name: str) -> None:
        incarnation = self._known.pop(name).upstream.incarnation
        self.entries.pop(name, None)
        self._departures.record_deleted(name, incarnation, asyncio.get_running_loop().time())
        self.on_upstream_reset(name)
        log.info("upstream gone", extra={"upstream": name})

    def _cancel_timers(self, name: str) -> None:
        self._returned.pop(name, None)
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _publish_upstreams(self, version: StoreVersion) -> None:
        services: dict[str, list[KnownUpstream]] = {}
        for known in self._known.values():
            services.setdefault(known.upstream.service, []).append(known)
        self._publish(
            evolve(
                self.snapshot,
                upstreams_by_service={name: tuple(found) for name, found in services.items()},
                service_by_upstream={
                    name: known.upstream.service for name, known in self._known.items()
                },
                upstreams_version=version,
                upstreams_updated_at=asyncio.get_running_loop().time(),
            )
        )

    def _publish(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.listener(snapshot)

    def _log_config(self, configuration: Configuration, source: str) -> None:
        log.notice(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": self.snapshot.config_version,
                "source": source,
                "routes": len(configuration.routes),
                "accounts": len(configuration.accounts),
            },
        )

    def _log_upstream(self, upstream: Upstream) -> None:
        log.info(
            "upstream listed",
            extra={
                "upstream": upstream.name,
                "service": upstream.service,
                "endpoint": str(upstream.endpoint),
                "state": upstream.state.value,
            },
        )
