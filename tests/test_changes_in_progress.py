"""Requests in progress while the routing data that they were admitted by changes."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import evolve
from testtools import TestCase

from cherrylane.http.limits import InboundLimits
from cherrylane.routing.routes import Account, RouteTable, ServiceShare
from cherrylane.routing.snapshot import Snapshot
from tests.relay_fixture import RESUMABLE, SAFE, STREAM, UNSAFE, RelayFixture, events, succeed
from tests.wire import Call, make_configuration, run, wait_for

KEY = "Authorization: Bearer k1\r\n"


def reconfigure(snapshot: Snapshot, **changes: Any) -> Snapshot:
    """Return a snapshot with a changed configuration."""
    assert snapshot.table is not None
    configuration = evolve(snapshot.table.configuration, version=2, **changes)
    return evolve(snapshot, table=RouteTable(configuration))


def drop_route_and_service(snapshot: Snapshot) -> Snapshot:
    return reconfigure(snapshot, routes=(), services={})


def drop_account(snapshot: Snapshot) -> Snapshot:
    return reconfigure(snapshot, accounts=(Account("other", frozenset({"k2"})),))


def move_route_and_shorten_its_timeout(snapshot: Snapshot) -> Snapshot:
    assert snapshot.table is not None
    route = snapshot.table.configuration.routes[0]
    shares = (ServiceShare("elsewhere"),)
    return reconfigure(snapshot, routes=(evolve(route, timeout_s=0.001, shares=shares),))


def drop_upstreams(snapshot: Snapshot) -> Snapshot:
    return evolve(snapshot, upstreams_by_service={}, service_by_upstream={})


CHANGES: tuple[Callable[[Snapshot], Snapshot], ...] = (
    drop_route_and_service,
    drop_account,
    move_route_and_shorten_its_timeout,
    drop_upstreams,
    lambda snapshot: Snapshot(),
)


class ChangesInProgressTest(TestCase):
    # A request whose route, service, account, time limits or upstreams go away is cut.
    def test_requests_in_progress_are_answered_whatever_changes(self) -> None:
        async def scenario(change: Callable[[Snapshot], Snapshot]) -> list[bytes]:
            is_released = asyncio.Event()

            async def answer(call: Call) -> None:
                await is_released.wait()
                call.answer(b"done")

            async def answer_stream(call: Call) -> None:
                call.start_events()
                call.write_event(1)
                await is_released.wait()
                call.write_event(2)
                call.end_events()

            fixtures = [
                await RelayFixture((script,), make_configuration(route, keys="k1")).open()
                for route, script in (
                    (SAFE, answer),
                    (UNSAFE, answer),
                    (RESUMABLE, answer_stream),
                    (STREAM, answer_stream),
                )
            ]
            answers = [asyncio.create_task(fixture.fetch(extra=KEY)) for fixture in fixtures]
            await wait_for(lambda: all(fixture.calls == [1] for fixture in fixtures))
            for fixture in fixtures:
                fixture.snapshot = change(fixture.snapshot)
                assert fixture.server is not None
                fixture.server.limits = InboundLimits(10, 1, 0.001, 0.001)
            await asyncio.sleep(0.1)
            is_released.set()
            return list(await asyncio.gather(*answers))

        for change in CHANGES:
            safe, unsafe, resumable, stream = run(scenario(change))
            self.assertEqual([b"done", b"done"], [safe[-4:], unsafe[-4:]])
            self.assertEqual([[1, 2], [1, 2]], [events(resumable), events(stream)])
            self.assertEqual([b"0\r\n\r\n"] * 2, [resumable[-5:], stream[-5:]])

    # A request that has to go to another upstream after such a change gets no answer at all.
    def test_requests_that_fail_after_a_change_are_answered(self) -> None:
        async def scenario(change: Callable[[Snapshot], Snapshot]) -> bytes:
            is_released = asyncio.Event()

            async def reset(call: Call) -> None:
                await is_released.wait()
                call.reset()

            configuration = make_configuration(SAFE, keys="k1")
            fixture = await RelayFixture((reset, succeed), configuration).open()
            answer = asyncio.create_task(fixture.fetch(extra=KEY))
            await wait_for(lambda: fixture.calls == [1, 0])
            fixture.snapshot = change(fixture.snapshot)
            is_released.set()
            return await answer

        statuses = [run(scenario(change))[9:12] for change in CHANGES]
        self.assertEqual([b"200", b"200", b"200", b"502", b"502"], statuses)
