"""What this host knows of configuration and upstreams, from the store and from other hosts.

Whichever source has the higher version is believed. A version never goes back, and while all
sources are away the last knowledge stands.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from logbook import Logger

from cherrylane.errors import SettingsError
from cherrylane.platform.configuration import CONFIG_NAME, decode_configuration
from cherrylane.platform.objects import ObjectList, PlatformObject, WatchEvents
from cherrylane.platform.upstreams import decode_upstream
from cherrylane.routing.routes import Configuration, RouteTable
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream

# Seconds after the store's return in which upstreams that are missing may still come back.
RETURN_GRACE_S = 2.0

log = Logger("cherrylane.knowledge")

SnapshotListener = Callable[[Snapshot], None]


@define
class Knowledge:
    """Holds the newest snapshot and tells a listener of each new one.

    ``read_grace_s`` returns for how many seconds more entries may be missing that are only not
    written again yet, since the store has come back lately.
    """

    listener: SnapshotListener
    read_grace_s: Callable[[], float] = lambda: 0.0
    snapshot: Snapshot = field(factory=Snapshot)
    # What other hosts are told, as the store has it.
    config_document: Any = None
    entries: dict[str, Any] = field(factory=dict)
    forget_upstream: Callable[[str], None] = lambda name: None
    _known: dict[str, KnownUpstream] = field(factory=dict)
    _missing: dict[str, asyncio.TimerHandle] = field(factory=dict)

    def take_config_list(self, listed: ObjectList) -> None:
        """Take in the list of configuration objects."""
        for item in listed.objects:
            self.take_config_object(item)

    def take_config_changes(self, changes: WatchEvents) -> None:
        """Take in changes of configuration objects; the configuration in force is never removed."""
        for event in changes.events:
            if not event.is_deleted:
                self.take_config_object(event.object)

    def take_config_object(self, item: PlatformObject) -> None:
        """Take in one configuration object."""
        if item.name == CONFIG_NAME:
            self.take_config(item.spec, source="store")

    def take_config(self, document: Any, *, source: str) -> None:
        """Put a configuration in force if it is newer than the present one."""
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

    def take_upstream_list(self, listed: ObjectList) -> None:
        """Take in the whole list of upstreams from the store."""
        entries = {item.name: item.spec for item in listed.objects}
        self._replace_entries(entries, int(listed.version), source="store")

    def take_upstream_changes(self, changes: WatchEvents) -> None:
        """Take in changes of upstreams from the store."""
        version = self.snapshot.upstreams_version
        for event in changes.events:
            name = event.object.name
            if event.is_deleted:
                self._miss(name)
                version = max(version, int(changes.version))
            else:
                self._take_entry(name, event.object.spec)
                version = max(version, int(event.object.version))
        self._publish_upstreams(version)

    def take_peer_entries(self, entries: dict[str, Any], version: int) -> None:
        """Take in the whole list of upstreams from another host, if it is newer."""
        if version > self.snapshot.upstreams_version:
            self._replace_entries(entries, version, source="peer")

    def _replace_entries(self, entries: dict[str, Any], version: int, *, source: str) -> None:
        for name in [name for name in self._known if name not in entries]:
            self._miss(name)
        for name, spec in entries.items():
            self._take_entry(name, spec)
        log.info(
            "upstreams listed",
            extra={"source": source, "version": version, "count": len(self._known)},
        )
        self._publish_upstreams(max(version, self.snapshot.upstreams_version))

    def _take_entry(self, name: str, spec: Any) -> None:
        self._cancel_miss(name)
        try:
            upstream = decode_upstream(name, spec)
        except SettingsError as error:
            log.error("upstream ignored", extra={"upstream": name, "reason": str(error)})
            self._known.pop(name, None)
            self.entries.pop(name, None)
            return
        self.entries[name] = spec
        known = self._known.get(name)
        if known is not None and known.upstream == upstream:
            return
        is_same_run = known is not None and known.upstream.incarnation == upstream.incarnation
        now = asyncio.get_running_loop().time()
        joined_at = known.joined_at if known is not None and is_same_run else now
        self._known[name] = KnownUpstream(upstream, joined_at)
        if not is_same_run:
            self.forget_upstream(name)
        if not is_same_run or (known is not None and known.upstream.state is not upstream.state):
            self._log_upstream(upstream)

    def _miss(self, name: str) -> None:
        """Take an upstream off, at once or when the time is over in which it may come back."""
        if name not in self._known or name in self._missing:
            return
        grace_s = self.read_grace_s()
        if grace_s <= 0:
            self._remove(name)
            return
        # Others may know already that it has left; they are not told that it is there.
        self.entries.pop(name, None)
        loop = asyncio.get_running_loop()
        self._missing[name] = loop.call_later(grace_s, self._give_up, name)
        log.info("upstream missing", extra={"upstream": name, "grace_s": round(grace_s, 3)})

    def _give_up(self, name: str) -> None:
        self._missing.pop(name, None)
        self._remove(name)
        self._publish_upstreams(self.snapshot.upstreams_version)

    def _remove(self, name: str) -> None:
        self._known.pop(name, None)
        self.entries.pop(name, None)
        self.forget_upstream(name)
        log.info("upstream gone", extra={"upstream": name})

    def _cancel_miss(self, name: str) -> None:
        timer = self._missing.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _publish_upstreams(self, version: int) -> None:
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
                upstreams_taken_at=asyncio.get_running_loop().time(),
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
