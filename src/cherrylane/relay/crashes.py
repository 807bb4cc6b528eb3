"""Detection of upstreams that crash, and of the requests that may have caused it.

A broken connection alone is no crash: upstreams in trouble break single answers. One that has
crashed refuses new connections, so this host opens one to find out.
"""

import asyncio
from collections.abc import Callable, Sequence
from operator import attrgetter

from attrs import define, field, frozen
from logbook import Logger
from xxhash import xxh3_64_hexdigest

from cherrylane.errors import ConnectError
from cherrylane.http.outbound import open_connection
from cherrylane.limits.crash_evidence import WHOLE_REQUEST, Suspect, UpstreamCrash, is_whole_request
from cherrylane.limits.quarantine import Quarantined, RequestQuarantine
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.upstreams import Upstream

# Seconds after the first event of an answer in which a crash still counts as one at its beginning.
BEGINNING_S = 1.0
# Time limit in seconds for the connection that tells whether an upstream has crashed.
PROBE_TIMEOUT_S = 0.15
# Bounds on what callers choose and hosts log and exchange: the longest key of a part that is used
# as it is, and the number of parts of a prompt that are considered.
MAX_KEY_CHARACTERS = 32
MAX_PARTS = 64

log = Logger("cherrylane.relay")


@frozen
class BrokenAttempt:
    """An attempt whose connection broke; times are in seconds of the event loop's clock."""

    request: CallerRequest
    upstream: Upstream
    sent_at: float
    answered_at: float | None


@define
class _Probe:
    task: asyncio.Task[None]
    suspects: dict[str, Suspect] = field(factory=dict)


@define
class CrashGuard:
    """Notes crashes of upstreams, and refuses requests that would cause the next.

    ``on_crash`` is called with each crash that this host has seen, and ``on_cleared`` with a part
    that was suspected of one and the time from which it was answered since, to tell the peers.
    An upstream that nothing ``may_send_to`` is not probed, and its breakdown is no crash: a failure
    domain that loses its power would make suspects of all requests there.
    """

    quarantine: RequestQuarantine = field(factory=RequestQuarantine)
    on_crash: Callable[[UpstreamCrash], None] = lambda crash: None
    on_cleared: Callable[[str, float], None] = lambda part, answered_at: None
    may_send_to: Callable[[Upstream], bool] = lambda upstream: True
    _probes: dict[tuple[str, int], _Probe] = field(factory=dict)

    def find_refusal(self, request: CallerRequest, now: float) -> Quarantined | None:
        """Return why a request may not be sent to any upstream, None if it may."""
        return self.quarantine.find(identify_suspects(request), now)

    def may_retry(self, request: CallerRequest) -> bool:
        """Return whether a request that an upstream may have run can be sent to another one."""
        return self.quarantine.may_retry(identify_suspects(request))

    def record_complete(self, request: CallerRequest, answered_at: float | None) -> None:
        """Record a complete answer, of which the beginning may not have been noted."""
        if answered_at is None and not request.prompt.shared_parts:
            answered_at = asyncio.get_running_loop().time()
        if answered_at is not None:
            self._record_answered(identify_suspects(request), answered_at)

    def record_under_way(self, request: CallerRequest, answered_at: float) -> None:
        """Record that an answer which began at ``answered_at`` has gone on.

        That tells of the parts of the prompt; the request itself may still crash the upstream.
        """
        self._record_answered(identify_parts(request), answered_at)

    def _record_answered(self, parts: Sequence[str], answered_at: float) -> None:
        for part in parts:
            if self.quarantine.record_answered(part, answered_at):
                self.on_cleared(part, answered_at)

    def record_broken(self, attempt: BrokenAttempt) -> None:
        """Find out in the background whether the upstream of a broken attempt has crashed."""
        now = asyncio.get_running_loop().time()
        if attempt.answered_at is not None and now - attempt.answered_at > BEGINNING_S:
            return
        if not self.may_send_to(attempt.upstream):
            return
        key = (attempt.upstream.name, attempt.upstream.incarnation)
        probe = self._probes.get(key)
        if probe is None:
            task = asyncio.get_running_loop().create_task(self._probe(attempt.upstream, now))
            probe = self._probes[key] = _Probe(task)
        for depth, part in enumerate(identify_suspects(attempt.request)):
            suspect = Suspect(part, depth, now - attempt.sent_at)
            other = probe.suspects.get(part, suspect)
            probe.suspects[part] = min(suspect, other, key=attrgetter("lead_s"))

    async def wait_for_probe(self, upstream: Upstream) -> None:
        """Wait until it is known whether an upstream has crashed, if that is being found out."""
        probe = self._probes.get((upstream.name, upstream.incarnation))
        if probe is not None:
            await asyncio.wait([probe.task])

    async def _probe(self, upstream: Upstream, broke_at: float) -> None:
        key = (upstream.name, upstream.incarnation)
        try:
            connection = await open_connection(upstream.endpoint, PROBE_TIMEOUT_S)
            connection.close()
        except ConnectError as error:
            if error.was_refused:
                self._record_crash(upstream, broke_at, self._probes[key].suspects)
        finally:
            del self._probes[key]

    def _record_crash(
        self, upstream: Upstream, broke_at: float, suspects: dict[str, Suspect]
    ) -> None:
        now = asyncio.get_running_loop().time()
        crash = UpstreamCrash(
            upstream.name, upstream.incarnation, now - broke_at, tuple(suspects.values())
        )
        log.warning(
            "upstream crashed",
            extra={
                "upstream": upstream.name,
                "incarnation": upstream.incarnation,
                "suspects": [suspect.part for suspect in crash.suspects],
            },
        )
        self.quarantine.record_crash(crash, now)
        self.on_crash(crash)


def identify_suspects(request: CallerRequest) -> list[str]:
    """Return the parts of a prompt that others may share, and at last the whole request."""
    return [*identify_parts(request), WHOLE_REQUEST + request.fingerprint]


def identify_parts(request: CallerRequest) -> list[str]:
    """Return the parts of a prompt that others may share, by their keys or a hash of long ones.

    Of a prompt with very many parts these are the first ``MAX_PARTS``.
    """
    return [_identify_part(part.key) for part in request.prompt.shared_parts[:MAX_PARTS]]


def _identify_part(key: str) -> str:
    if len(key) <= MAX_KEY_CHARACTERS and not is_whole_request(key):
        return key
    return xxh3_64_hexdigest(key.encode())
