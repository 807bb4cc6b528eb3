import asyncio
from typing import Any, cast

from attrs import evolve
from testtools import TestCase

from cherrylane.errors import ObjectNotFoundError
from cherrylane.gateway.version_registry import WRITER_DELAY_S, WRITERS, VersionRegistry
from cherrylane.gossip.members import Members
from cherrylane.membership.software_versions import STREAM_LIFETIME_S, SoftwareVersions
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, PlatformObject
from cherrylane.platform.versions import StoreVersion
from tests.fake_platform import FakePlatform, Fault
from tests.test_gossip import make_heartbeat
from tests.wire import run

HOSTS = [f"10.0.0.{number}" for number in range(1, 6)]


class AsyncFakePlatform:
    """The calls of the asynchronous client, to a store in memory; ``reads`` counts lists."""

    def __init__(self) -> None:
        self.store = FakePlatform()
        self.reads = 0

    async def list(self, kind: Kind) -> ObjectList:
        self.reads += 1
        if self.store.down:
            self.store.get(kind, "")
        return ObjectList(list(self.store.objects.values()), StoreVersion(0, 1))

    async def get(self, kind: Kind, name: str) -> PlatformObject:
        return self.store.get(kind, name)

    async def create(self, new: PlatformObject) -> PlatformObject:
        return self.store.create(new)

    async def update(self, changed: PlatformObject) -> PlatformObject:
        stored = self.store.objects.get(changed.name)
        if changed.version is None:
            if stored is None:
                raise ObjectNotFoundError("object not found", remedy="none")
            # A write without a version does not depend on it.
            changed = evolve(changed, version=stored.version)
        return self.store.update(changed)


class Fleet:
    """The registries of some hosts that know each other, and their store."""

    def __init__(self) -> None:
        self.client = AsyncFakePlatform()
        ranked = rank_names("writers of software versions", HOSTS)
        self.hosts = [self.make_host(address) for address in ranked]

    def make_host(self, address: str) -> VersionRegistry:
        members = Members(address)
        for other in HOSTS:
            members.record_heartbeat(other, make_heartbeat(other), 0.0)
            for member in members.live(0.0):
                member.last_heard_at = float("inf")
        client = cast(AsyncPlatformClient, self.client)
        return VersionRegistry(client, members, SoftwareVersions())

    def use(self, now: float, *versions: str) -> None:
        for host in self.hosts:
            host.versions.record_in_use("desk", versions, now)

    async def check(self, now: float) -> None:
        for host in self.hosts:
            await host._write_if_due("desk", now)

    @property
    def stored(self) -> Any:
        return self.client.store.objects["desk"].spec


class VersionRegistryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.store = self.fleet.client.store

    # Guards against nobody knowing, after all hosts were down, which versions had served.
    def test_the_first_host_writes_each_change_once(self) -> None:
        async def scenario() -> None:
            self.fleet.use(0.0, "v1")
            for tenths in range(10):
                await self.fleet.check(tenths / 10)
            self.assertEqual(({"versions": ["v1"]}, 1), (self.fleet.stored, self.store.writes))
            self.fleet.use(1.0, "v2", "v1")
            await self.fleet.check(1.0)
            self.assertEqual({"versions": ["v1", "v2"]}, self.fleet.stored)
            self.fleet.use(STREAM_LIFETIME_S + 2, "v2")
            await self.fleet.check(STREAM_LIFETIME_S + 2)
            self.assertEqual(({"versions": ["v2"]}, 3), (self.fleet.stored, self.store.writes))

        run(scenario())

    def test_the_next_host_writes_if_the_first_one_cannot(self) -> None:
        async def scenario() -> None:
            self.fleet.use(0.0, "v1")
            others = self.fleet.hosts[1:]
            for now in (0.0, WRITER_DELAY_S, 2 * WRITER_DELAY_S):
                for host in others:
                    await host._write_if_due("desk", now)
            self.assertEqual(({"versions": ["v1"]}, 1), (self.fleet.stored, self.store.writes))

        run(scenario())

    def test_only_a_few_hosts_write(self) -> None:
        async def scenario() -> None:
            self.fleet.use(0.0, "v1")
            for host in self.fleet.hosts[WRITERS:]:
                for now in (0.0, 100.0):
                    await host._write_if_due("desk", now)
            self.assertEqual(0, self.store.writes)

        run(scenario())

    def test_what_another_host_has_written_is_not_lost(self) -> None:
        async def scenario() -> None:
            self.store.create(PlatformObject(Kind.SOFTWARE_VERSIONS, "desk", {"versions": ["v0"]}))
            self.fleet.use(0.0, "v1")
            host = self.fleet.hosts[0]
            await host._load()
            await host._write_if_due("desk", 0.1)
            self.assertEqual({"versions": ["v0", "v1"]}, self.fleet.stored)

        run(scenario())

    def test_a_host_that_has_not_read_does_not_overwrite(self) -> None:
        async def scenario() -> None:
            self.store.create(PlatformObject(Kind.SOFTWARE_VERSIONS, "desk", {"versions": ["v0"]}))
            self.fleet.use(0.0, "v1")
            host = self.fleet.hosts[0]
            await host._write_if_due("desk", 0.0)
            self.assertEqual({"versions": ["v0"]}, self.fleet.stored)
            await host._write_if_due("desk", 0.1)
            self.assertEqual({"versions": ["v0", "v1"]}, self.fleet.stored)

        run(scenario())

    def test_all_is_written_again_to_a_restored_store(self) -> None:
        async def scenario() -> None:
            self.fleet.use(0.0, "v1")
            await self.fleet.check(0.0)
            self.store.restore(1)
            self.assertEqual({}, self.store.objects)
            for host in self.fleet.hosts:
                host.record_restored()
            await self.fleet.check(1.0)
            self.assertEqual({"versions": ["v1"]}, self.fleet.stored)

        run(scenario())

    def test_a_host_that_starts_reads_what_is_stored(self) -> None:
        async def scenario() -> None:
            self.store.create(
                PlatformObject(Kind.SOFTWARE_VERSIONS, "desk", {"versions": ["v1", "v2"]})
            )
            self.store.create(PlatformObject(Kind.SOFTWARE_VERSIONS, "odd", ["v1"]))
            host = self.fleet.hosts[3]
            self.assertTrue(await host._load())
            now = asyncio.get_running_loop().time()
            self.assertEqual({"v1", "v2"}, host.versions.find_recent("desk", now))
            self.assertEqual(
                (True, False), (host.versions.is_known("desk"), host.versions.is_known("odd"))
            )

        run(scenario())

    def test_a_store_that_is_away_is_no_empty_one(self) -> None:
        async def scenario() -> None:
            self.store.down = True
            host = self.fleet.hosts[0]
            self.assertFalse(await host._load())
            self.assertFalse(host.versions.is_known("desk"))

        run(scenario())

    def test_a_lost_answer_to_a_write_is_not_written_twice(self) -> None:
        async def scenario() -> None:
            faults = [Fault.LOST_ANSWER]
            self.store.next_fault = lambda: faults.pop() if faults else Fault.NONE
            self.fleet.use(0.0, "v1")
            host = self.fleet.hosts[0]
            for now in (0.0, 1.0, 2.0):
                await host._write_if_due("desk", now)
            self.assertEqual(({"versions": ["v1"]}, 1), (self.fleet.stored, self.store.writes))

        run(scenario())
