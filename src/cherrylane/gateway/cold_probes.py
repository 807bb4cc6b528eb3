"""Probes by which this host learns whether an upstream has restarted, and whether it is cold.

After a failed connection it asks the upstream for its incarnation, until it answers. While
no connection to it can be opened, each probe is a further failure: it may return at any moment,
and all hosts that stopped avoiding it would send at once. Reports and health answers are no
requests that a cold upstream counts.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import ConnectError, IncompleteResponseError, UpstreamError
from cherrylane.gateway.calls import call_with_head
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.http.limits import ResponseLimits
from cherrylane.limits.cold.admission import ColdUpstreams
from cherrylane.platform.headers import read_cold
from cherrylane.platform.reports import REPORT_PATH, decode_incarnation
from cherrylane.routing.upstreams import Upstream

# Seconds over which the first probe after a failure is spread, and those between probes. The
# latter is well below the cold start of 3 seconds, in which an upstream is found to be back.
FIRST_PROBE_S = 0.1
PROBE_INTERVAL_S = 1.0
# Seconds between the probes to an upstream that answers them while other connections fail. With
# 1 s, links that lose packets kept sound upstreams cold most of the time: of 200 requests a second
# of one host, of which 5% found no connection, 46% were refused, with 0.25 s 0.1%.
REPEAT_INTERVAL_S = 0.25
# Probes in a row without an answer after which a host leaves an upstream to those that are
# assigned to it, and every how many rounds it still asks by itself. When each of 59 hosts went on
# asking, 2,014 reports reached upstreams on a day with four returns of failure domains.
OWN_PROBES = 2
OWN_EVERY = 5
# Time limits in seconds of the connection and of a whole probe.
CONNECT_TIMEOUT_S = 0.15
ANSWER_TIMEOUT_S = 0.5

# Many upstreams are probed at once, and a report is a few kilobytes.
PROBE_LIMITS = ResponseLimits(max_body_bytes=256 * 1024)

log = Logger("cherrylane.limits")


class ProbeResult(Enum):
    """What came of a probe; ``UNCLEAR`` if something accepts connections, but tells nothing."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    UNCLEAR = "unclear"


@define
class ColdProbes:
    """Probes upstreams in the background, each at most once at a time.

    ``may_probe`` says whether anything may be sent to an upstream, and ``on_news`` is called with
    the name of one that has restarted or turned cold. An upstream that does not answer is soon left
    to the hosts for which ``is_assigned`` holds; the others learn of its return from these, or by
    its entry.
    """

    upstreams: ColdUpstreams
    routing_state: RoutingState
    on_news: Callable[[str], None] = lambda name: None
    may_probe: Callable[[Upstream], bool] = lambda upstream: True
    is_assigned: Callable[[str], bool] = lambda name: True
    random: Random = field(factory=Random, repr=False)
    _probed_at: dict[str, float] = field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(factory=dict)

    def probe(self, name: str, *, with_health: bool = False) -> None:
        """Probe a listed upstream whose service has a cold start, unless that is under way.

        That is for its incarnation, and ``with_health`` also whether it is cold.
        """
        if name not in self._tasks and self._find(name) is not None:
            work = self._probe_until_known(name, with_health=with_health)
            self._tasks[name] = asyncio.get_running_loop().create_task(work)

    def _find(self, name: str) -> Upstream | None:
        upstream = self.routing_state.find_upstream(name)
        if upstream is None or not self.upstreams.has_rule(upstream):
            return None
        return upstream

    async def _probe_until_known(self, name: str, *, with_health: bool) -> None:
        unreachable = 0
        try:
            await asyncio.sleep(self._find_delay_s(name, with_health=with_health))
            while (upstream := self._find(name)) is not None:
                # After a stall, nothing may be asked until the evacuations are known again.
                is_left = self._is_left_to_others(name, unreachable)
                may_probe = self.may_probe(upstream)
                if not may_probe:
                    result = ProbeResult.UNCLEAR
                elif is_left:
                    self.upstreams.record_no_report(name, asyncio.get_running_loop().time())
                    result = ProbeResult.UNREACHABLE
                else:
                    result = await self._probe_once(upstream, with_health=with_health)
                if not self._has_failed(upstream):
                    return
                # Only what refuses connections is kept in presumption by others' probes: a report
                # that tells nothing would otherwise keep a sound upstream out of use for ever.
                unreachable = unreachable + 1 if result is ProbeResult.UNREACHABLE else 0
                is_soon = not may_probe or unreachable == 1
                interval_s = REPEAT_INTERVAL_S if is_soon else PROBE_INTERVAL_S
                await asyncio.sleep(interval_s * self.random.uniform(0.7, 1.3))
                if not self._has_failed(upstream):
                    return
        finally:
            del self._tasks[name]

    async def _probe_once(self, upstream: Upstream, *, with_health: bool) -> ProbeResult:
        result = await self._probe(upstream, REPORT_PATH)
        if result is ProbeResult.ANSWERED and with_health:
            health_path = self.routing_state.snapshot.get_health_path(upstream)
            await self._probe(upstream, health_path)
        return result

    def _is_left_to_others(self, name: str, unreachable: int) -> bool:
        if unreachable < OWN_PROBES or unreachable % OWN_EVERY == 0:
            return False
        return not self.is_assigned(name)

    def _find_delay_s(self, name: str, *, with_health: bool) -> float:
        """Return the seconds until the first probe.

        An upstream that breaks connections over and over is asked once each REPEAT_INTERVAL_S.
        """
        now = asyncio.get_running_loop().time()
        for other in [one for one, at in self._probed_at.items() if now - at > REPEAT_INTERVAL_S]:
            del self._probed_at[other]
        spread_s = self.random.uniform(0.0, FIRST_PROBE_S)
        if with_health or name not in self._probed_at:
            return spread_s
        return spread_s + self._probed_at[name] + REPEAT_INTERVAL_S - now

    def _has_failed(self, upstream: Upstream) -> bool:
        return self.upstreams.has_failed(upstream, asyncio.get_running_loop().time())

    async def _probe(self, upstream: Upstream, path: bytes) -> ProbeResult:
        """Send one request, and record what the upstream answers."""
        loop = asyncio.get_running_loop()
        sent_at = self._probed_at[upstream.name] = loop.time()
        try:
            head, body = await call_with_head(
                upstream.endpoint,
                path,
                timeout_s=ANSWER_TIMEOUT_S,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                may_send=lambda: self.may_probe(upstream),
                limits=PROBE_LIMITS,
            )
            incarnation = decode_incarnation(body) if path == REPORT_PATH else None
        except TimeoutError:
            # Something accepts connections there; that is no sign of a restart.
            return ProbeResult.UNCLEAR
        except (ConnectError, IncompleteResponseError):
            # If nothing may be sent to it any more, that is no sign of a restart.
            if self.may_probe(upstream):
                self.upstreams.record_no_report(upstream.name, loop.time())
                return ProbeResult.UNREACHABLE
            return ProbeResult.UNCLEAR
        except UpstreamError as error:
            reason = f"{type(error).__name__}: {error}"
            log.info(
                "upstream does not report", extra={"upstream": upstream.name, "reason": reason}
            )
            return ProbeResult.UNCLEAR
        self._record(upstream, incarnation, read_cold(head), sent_at)
        return ProbeResult.ANSWERED

    def _record(
        self, upstream: Upstream, incarnation: int | None, cold_s: float | None, sent_at: float
    ) -> None:
        name, now = upstream.name, asyncio.get_running_loop().time()
        is_news = bool(cold_s) and not self.upstreams.is_cold(upstream, now)
        # A list without incarnations has nothing to compare a report with.
        if incarnation is not None and upstream.incarnation:
            is_news |= not self.upstreams.is_current(name, incarnation)
            self.upstreams.record_incarnation(name, incarnation, sent_at, now)
        if cold_s is not None:
            self.upstreams.record_report(name, cold_s, sent_at, now)
        if is_news:
            self.on_news(name)
