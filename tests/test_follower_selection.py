import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from testtools import TestCase

from cherrylane.gateway.follower_selection import (
    CONFIRMATION_TIMEOUT_S,
    FOLLOWER_COUNT,
    FollowerSelection,
)
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import UNCONFIRMED_MS
from tests.test_gossip import make_heartbeat
from tests.wire import run

HOSTS = [f"10.0.{number // 200}.{number % 200 + 1}" for number in range(73)]


@contextmanager
def frozen_clock() -> Iterator[float]:
    """Freeze the clock of the event loop and yield its time; nothing may be awaited meanwhile."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    loop.time = lambda: now  # type: ignore[method-assign]
    try:
        yield now
    finally:
        del loop.time


class Host:
    """The follower selection of one host that has received heartbeats from all others."""

    def __init__(self, address: str, hosts: list[str], now: float) -> None:
        self.members = Members(address)
        for other in hosts:
            self.members.record_heartbeat(other, make_heartbeat(other), now)
        self.selection = FollowerSelection(self.members, [])

    def is_needed(self, now: float, confirmation_age_ms: int = 0) -> bool:
        self.selection.handle_heartbeat(make_heartbeat(confirmation_age_ms=confirmation_age_ms))
        return self.selection._is_needed(now)


class FollowerSelectionTest(TestCase):
    def count_needed(self, hosts: list[str], confirmation_age_ms: int = 0) -> int:
        async def work() -> int:
            with frozen_clock() as now:
                fleet = [Host(address, hosts, now) for address in hosts]
                return sum(host.is_needed(now, confirmation_age_ms) for host in fleet)

        return run(work())

    def test_all_hosts_of_a_small_fleet_follow(self) -> None:
        self.assertEqual(7, self.count_needed(HOSTS[:7]))

    def test_only_a_few_hosts_of_a_large_fleet_follow(self) -> None:
        self.assertEqual(FOLLOWER_COUNT, self.count_needed(HOSTS))

    def test_hosts_follow_themselves_when_confirmations_are_overdue(self) -> None:
        late = round(CONFIRMATION_TIMEOUT_S * 1000) + 100
        self.assertEqual(len(HOSTS), self.count_needed(HOSTS, confirmation_age_ms=late))

    def test_other_hosts_replace_followers_that_have_left(self) -> None:
        self.assertEqual(FOLLOWER_COUNT, self.count_needed(HOSTS[FOLLOWER_COUNT:]))

    def test_confirmation_age_is_taken_from_heartbeats(self) -> None:
        async def work() -> tuple[int, int]:
            with frozen_clock() as now:
                host = Host(HOSTS[0], HOSTS, now)
                host.selection.watchers = [_Unconfirmed()]  # type: ignore[list-item]
                before = host.selection.get_state_age_ms(now)
                host.selection.handle_heartbeat(make_heartbeat(confirmation_age_ms=500))
                return before, host.selection.get_state_age_ms(now)

        self.assertEqual((UNCONFIRMED_MS, 500), run(work()))


class _Unconfirmed:
    is_confirmed = False
