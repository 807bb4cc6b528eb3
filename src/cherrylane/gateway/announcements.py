"""What a host tells its peers in heartbeats of upstreams and caches, and takes from theirs."""

from math import ceil

from attrs import define, evolve, field, frozen

from cherrylane.gateway.evacuation_sync import EvacuationSync
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.messages import (
    CrashReport,
    Heartbeat,
    HostState,
    PartAnswered,
    PartVerdict,
    UpstreamBackoff,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamRate,
    VersionUse,
)
from cherrylane.gossip.updates import UpdateQueue
from cherrylane.limits.backoff import BackoffTracker
from cherrylane.limits.cold.admission import ColdUpstreams
from cherrylane.limits.crash_evidence import Suspect, UpstreamCrash, Verdict, is_whole_request
from cherrylane.limits.quarantine import RequestQuarantine
from cherrylane.limits.rate_limits import KnownLimit, UpstreamRateLimits
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import LoadTracker
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.versions import NO_VERSION, StoreVersion
from cherrylane.relay.stream_origins import StreamBinder, StreamOrigin, group_streams
from cherrylane.routing.upstreams import Upstream
from cherrylane.settings.gateway import HostIdentity
from cherrylane.settings.schema import Endpoint

# Sweeps of heartbeats to all hosts in which an update is sent, such as a newly cached part.
UPDATE_SWEEPS = 2
# Streams in one heartbeat.
MAX_STREAMS = 48
# Request limits in one heartbeat.
MAX_RATES = 6
# Cold upstreams in one heartbeat; a whole failure domain of them may return at once.
MAX_COLD = 16
# Crashes in one heartbeat, suspects of one crash that are parts and that are whole requests,
# answered parts and verdicts in one heartbeat.
MAX_CRASHES = 2
MAX_SUSPECTS = 8
MAX_WHOLE_REQUESTS = 6
MAX_ANSWERED = 8
MAX_VERDICTS = 6


@frozen
class _NotedCrash:
    crash: UpstreamCrash
    noted_at: float


@define
class Announcements:
    """Makes the heartbeats of a host, and takes over what those of its peers announce."""

    identity: HostIdentity
    boot_id: str
    store: AsyncPlatformClient
    routing_state: RoutingState
    load_tracker: LoadTracker
    caches: CacheMap
    backoffs: BackoffTracker
    quarantine: RequestQuarantine
    rate_limits: UpstreamRateLimits
    stream_binder: StreamBinder
    cold: ColdUpstreams | None = None
    evacuations: EvacuationSync | None = None
    _leaving: UpdateQueue[UpstreamLeaving] = field(factory=UpdateQueue)
    _crashes: UpdateQueue[_NotedCrash] = field(factory=UpdateQueue)
    _answered: UpdateQueue[tuple[str, float]] = field(factory=UpdateQueue)
    _streams: UpdateQueue[tuple[str, StreamOrigin]] = field(
        factory=lambda: UpdateQueue(newest_first=True)
    )
    # The newest list of a peer that knows all versions before it.
    _vouched_version: StoreVersion = NO_VERSION
    _turn: int = 0
    _rates_turn: int = 0
    _cold_turn: int = 0
    _heartbeats: int = 0

    def record_leaving(self, upstream: Upstream) -> None:
        """Send nothing more to an upstream that says that it leaves, and tell the peers."""
        if self.routing_state.record_leaving(upstream.name, upstream.incarnation, source="answer"):
            self._leaving.add(UpstreamLeaving(upstream.name, upstream.incarnation))

    def record_crash(self, crash: UpstreamCrash, now: float) -> None:
        """Tell the peers of a crash, with the suspects that were at most other crashes."""

        def rank(suspect: Suspect) -> tuple[int, int, float]:
            # Of whole requests, what ends an upstream as it begins is the one sent last, however
            # many parts its prompt has.
            depth = 0 if is_whole_request(suspect.part) else suspect.depth
            return -self.quarantine.count_crashes(suspect.part), -depth, suspect.lead_s

        ranked = sorted(crash.suspects, key=rank)
        parts = [suspect for suspect in ranked if not is_whole_request(suspect.part)]
        whole = [
            evolve(suspect, was_answered=self.quarantine.was_answered(suspect.part))
            for suspect in ranked
            if is_whole_request(suspect.part)
        ]
        reported = evolve(crash, suspects=(*parts[:MAX_SUSPECTS], *whole[:MAX_WHOLE_REQUESTS]))
        self._crashes.add(_NotedCrash(reported, now))

    def record_stream(self, key: str, origin: StreamOrigin) -> None:
        """Tell the peers of a stream that its caller may take up at any of them."""
        self._streams.add((key, origin))

    def record_answered(self, part: str, answered_at: float) -> None:
        """Tell the peers that a part that was suspected of a crash has been answered since."""
        self._answered.add((part, answered_at))

    def make_heartbeat(
        self,
        state: HostState,
        callers: Endpoint,
        *,
        rounds_to_reach_all: int,
        has_full_cache_map: bool,
        confirmation_age_ms: int,
        contact_ms: int = 0,
        now: float,
    ) -> Heartbeat:
        """Return the next heartbeat, without the list of hosts."""
        snapshot = self.routing_state.snapshot
        rounds = rounds_to_reach_all * UPDATE_SWEEPS
        # Of what doesn't fit a datagram the last is left out, so the order changes with each sweep.
        order = -1 if self._heartbeats // max(1, rounds_to_reach_all) % UPDATE_SWEEPS else 1
        self._heartbeats += 1
        return Heartbeat(
            host=self.identity.name,
            boot_id=self.boot_id,
            zone=self.identity.zone,
            state=state,
            callers=callers,
            config_version=snapshot.config_version,
            upstreams_version=snapshot.upstreams_version,
            loads=tuple(self.load_tracker.own.items()),
            cached=self.caches.take_updates(rounds),
            leaving=self._leaving.take(rounds),
            backing_off=tuple(
                UpstreamBackoff(name, round(remaining_s * 1000))
                for name, remaining_s in self.backoffs.list_active(now)
            ),
            rates=tuple(_report_rate(known, now) for known in self._take_rates()),
            streams=group_streams(self._streams.take(rounds_to_reach_all, MAX_STREAMS)),
            versions=tuple(
                VersionUse(service, software, round(age_s * 1000))
                for service, ages in self.stream_binder.versions.list_mixed(now).items()
                for software, age_s in ages.items()
            ),
            knows_versions=self.stream_binder.versions.knows_all,
            crashes=tuple(
                _report_crash(noted, now)
                for noted in self._crashes.take(rounds, MAX_CRASHES)[::order]
            ),
            answered=tuple(
                PartAnswered(part, round((now - answered_at) * 1000))
                for part, answered_at in self._answered.take(rounds, MAX_ANSWERED)[::order]
            ),
            verdicts=tuple(
                PartVerdict(
                    verdict.part, verdict.generation, verdict.is_lifted, round(verdict.age_s * 1000)
                )
                for verdict in self._take_verdicts(now)
            ),
            cold=self._take_cold(now),
            evacuations=self.evacuations.newest if self.evacuations is not None else None,
            has_full_cache_map=has_full_cache_map,
            confirmation_age_ms=confirmation_age_ms,
            contact_ms=contact_ms,
        )

    def _take_rates(self) -> list[KnownLimit]:
        """Return the limits that changed last, and in turn the others: a new host hears of all."""
        known = self.rate_limits.list_known(self.routing_state.list_incarnations())
        first, others = known[: MAX_RATES // 2], known[MAX_RATES // 2 :]
        self._rates_turn = (self._rates_turn + MAX_RATES // 2) % max(1, len(others))
        turn = self._rates_turn
        return first + (others[turn:] + others[:turn])[: MAX_RATES // 2]

    def _take_cold(self, now: float) -> tuple[UpstreamCold, ...]:
        """Return cold upstreams, in turn if there are many."""
        if self.cold is None:
            return ()
        notices = self.cold.list_notices(now)
        turn = self._cold_turn % max(1, len(notices))
        self._cold_turn = turn + MAX_COLD
        return tuple(
            UpstreamCold(notice.name, notice.incarnation, ceil(notice.remaining_s * 1000))
            for notice in (notices[turn:] + notices[:turn])[:MAX_COLD]
        )

    def _take_verdicts(self, now: float) -> list[Verdict]:
        """Return the first verdicts, and in turn the others: a host that starts hears of all."""
        verdicts = self.quarantine.list_verdicts(now)
        first, others = verdicts[: MAX_VERDICTS // 2], verdicts[MAX_VERDICTS // 2 :]
        self._turn = (self._turn + MAX_VERDICTS // 2) % max(1, len(others))
        return first + (others[self._turn :] + others[: self._turn])[: MAX_VERDICTS // 2]

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take over a newer era of the store, evacuations, and what a peer has heard."""
        if heartbeat.upstreams_version != NO_VERSION:
            self.store.record_era(heartbeat.upstreams_version.era)
        if heartbeat.evacuations is not None and self.evacuations is not None:
            self.store.record_era(heartbeat.evacuations.version.era)
            known_at = now - heartbeat.confirmation_age_ms / 1000
            self.evacuations.apply_peer(heartbeat.evacuations, known_at)
        for upstream in heartbeat.leaving:
            self.routing_state.record_leaving(upstream.name, upstream.incarnation, source="peer")
        for backoff in heartbeat.backing_off:
            self.backoffs.record_peer(backoff.name, backoff.remaining_ms / 1000, now)
        for rate in heartbeat.rates:
            heard_at = now - rate.age_ms / 1000
            self.rate_limits.record_peer(
                rate.name, rate.incarnation, rate.requests_per_s, heard_at, now
            )
        if self.cold is not None:
            _take_over_cold(self.cold, heartbeat, now)
        self._take_over_streams(heartbeat, now)
        for report in heartbeat.crashes:
            self.quarantine.record_crash(_read_report(report), now)
        for answered in heartbeat.answered:
            self.quarantine.record_answered(answered.part, now - answered.age_ms / 1000)
        for told in heartbeat.verdicts:
            verdict = Verdict(told.part, told.generation, told.is_lifted, told.age_ms / 1000)
            self.quarantine.apply_verdict(verdict, now)

    def _take_over_streams(self, heartbeat: Heartbeat, now: float) -> None:
        binder = self.stream_binder
        for begun in heartbeat.streams:
            origin = StreamOrigin(begun.service, begun.software)
            for key in begun.keys:
                binder.origins.record(key, origin, now)
        for use in heartbeat.versions:
            binder.versions.record_in_use(use.service, [use.software], now - use.age_ms / 1000)
        if heartbeat.knows_versions:
            self._vouched_version = max(self._vouched_version, heartbeat.upstreams_version)
            self.accept_vouched_versions()

    def accept_vouched_versions(self) -> None:
        """Take a peer's word that it knows all earlier versions, if it has seen this host's list.

        What has come into use and gone between the list of such a peer and a later one of this host
        would be known to neither. Called when a list of this host has arrived as well.
        """
        own_version = self.routing_state.snapshot.upstreams_version
        if NO_VERSION != own_version <= self._vouched_version:
            self.stream_binder.versions.knows_all = True


def _take_over_cold(upstreams: ColdUpstreams, heartbeat: Heartbeat, now: float) -> None:
    for cold in heartbeat.cold:
        upstreams.record_peer(cold.name, cold.incarnation, cold.remaining_ms / 1000, now)
    for crash in heartbeat.crashes:
        crashed_at = now - crash.age_ms / 1000
        upstreams.record_crash(crash.upstream, crash.incarnation, crashed_at, now)


def _report_rate(known: KnownLimit, now: float) -> UpstreamRate:
    age_ms = round((now - known.heard_at) * 1000)
    return UpstreamRate(known.name, known.incarnation, known.requests_per_s, age_ms)


def _report_crash(noted: _NotedCrash, now: float) -> CrashReport:
    crash = noted.crash
    return CrashReport(
        upstream=crash.upstream,
        incarnation=crash.incarnation,
        age_ms=round((crash.age_s + now - noted.noted_at) * 1000),
        suspects=tuple(
            (suspect.part, suspect.depth, round(suspect.lead_s * 1000))
            for suspect in crash.suspects
        ),
        answered=tuple(
            index for index, suspect in enumerate(crash.suspects) if suspect.was_answered
        ),
    )


def _read_report(report: CrashReport) -> UpstreamCrash:
    suspects = tuple(
        Suspect(part, depth, lead_ms / 1000, was_answered=index in report.answered)
        for index, (part, depth, lead_ms) in enumerate(report.suspects)
    )
    return UpstreamCrash(report.upstream, report.incarnation, report.age_ms / 1000, suspects)
