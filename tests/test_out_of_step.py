"""A host that is out of step during a release: real daemons and upstreams of two versions.

A stream has begun at a new version through another host, broke off, and is taken up here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from testtools import TestCase

from soak.callers import Callers, Exchange, RequestKind
from soak.fleet import SERVICES, SoakFleet
from soak.upstreams import EVENT_COUNT, SoakUpstream, make_event
from standins.links import LinkState
from tests.wire import run

LAST_EVENT = 3
# Seconds until the last take-up after the cut: before and after the first probe of the store.
TAKE_UP_AFTER_S = (0.0, 0.5, 2.5)

Disturb = Callable[[SoakFleet], Awaitable[None]]


async def cut_from_store(fleet: SoakFleet) -> None:
    """Let the store's answers to the first host be lost, without a reset."""
    fleet.hosts[0].store_link.set_state(LinkState.SILENT)


async def reset_store(fleet: SoakFleet) -> None:
    fleet.hosts[0].store_link.set_state(LinkState.RESET)


async def release(fleet: SoakFleet) -> None:
    """Let an upstream of a new version join the service of the streams."""
    upstream = await SoakUpstream("i-new", Random(9), software="v2").open()
    await fleet.release(upstream, SERVICES[0])


class OutOfStepTest(TestCase):
    def take_up(self, hosts: int, *disturbances: Disturb) -> list[Exchange]:
        """Disturb a fleet of one version, and take a stream up at its first host."""

        async def scenario() -> list[Exchange]:
            with TemporaryDirectory() as work_dir:
                fleet = SoakFleet(Path(work_dir))
                upstreams = [
                    await SoakUpstream(f"i-{number}", Random(number)).open() for number in range(2)
                ]
                try:
                    await fleet.start(hosts, upstreams)
                    callers = Callers(fleet, Random(1))
                    await wait_until_serving(fleet, callers)
                    for disturb in disturbances:
                        await disturb(fleet)
                    return await take_up_after(fleet, callers)
                finally:
                    await asyncio.to_thread(fleet.stop)

        return run(scenario())

    def assert_refused(self, exchanges: list[Exchange]) -> None:
        for exchange in exchanges:
            self.assertEqual((503, True), (exchange.response.status, exchange.response.complete))

    def assert_continued(self, exchanges: list[Exchange]) -> None:
        rest = b"".join(make_event(number) for number in range(LAST_EVENT + 1, EVENT_COUNT + 1))
        for exchange in exchanges:
            self.assertEqual((200, rest), (exchange.response.status, exchange.response.body))

    # Guards against a pending watch that counts as the store's confirmation: the stream went on at
    # the only version that the host knew (ORDER, users' report beside a release).
    def test_a_host_that_is_cut_off_does_not_take_the_version_that_it_knows_for_the_only_one(
        self,
    ) -> None:
        for cut in (cut_from_store, reset_store):
            self.assert_refused(self.take_up(1, cut, release))

    # Guards against a host that is cut off from the store only, and that its peers could tell.
    def test_a_host_that_hears_its_peers_learns_of_a_version_from_them(self) -> None:
        self.assert_refused(self.take_up(3, cut_from_store, release))

    # Guards against refusing what is sound: no other version is in use.
    def test_a_stream_of_the_only_version_goes_on(self) -> None:
        self.assert_continued(self.take_up(1))
        self.assert_continued(self.take_up(3, cut_from_store))


async def wait_until_serving(fleet: SoakFleet, callers: Callers) -> None:
    """Wait until each host serves, and has heard of the others."""
    hosts = len(fleet.hosts)
    for host in fleet.hosts:
        while True:
            exchange = await callers.send_once(host, RequestKind.STREAM)
            if exchange.response.status == 200 and len(await fleet.resolve(host)) == hosts:
                break
            await asyncio.sleep(0.05)


async def take_up_after(fleet: SoakFleet, callers: Callers) -> list[Exchange]:
    """Take up a stream that the first host does not know, after each of ``TAKE_UP_AFTER_S``."""
    began = asyncio.get_running_loop().time()
    exchanges = []
    for seconds in TAKE_UP_AFTER_S:
        await asyncio.sleep(max(0.0, began + seconds - asyncio.get_running_loop().time()))
        exchange = callers._record_exchange(fleet.hosts[0], RequestKind.STREAM, 0)
        exchange.resumes, exchange.last_event = "elsewhere", LAST_EVENT
        await callers._send_alone(fleet.hosts[0], [exchange])
        exchanges.append(exchange)
    return exchanges
