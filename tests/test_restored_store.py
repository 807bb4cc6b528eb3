"""A store that comes back from an older copy, over real sockets: header, watches and writes."""

import asyncio
from typing import Any

from testtools import ExpectedException

from cherrylane.errors import ConflictError, ObjectNotFoundError, WatchExpiredError
from cherrylane.gateway.registry import HostRegistry
from cherrylane.gossip.members import Members
from cherrylane.membership.roster import HostRecord, RosterEntry
from cherrylane.platform import watcher
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient, PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.platform.watcher import Watcher
from cherrylane.settings.gateway import HostIdentity
from cherrylane.settings.schema import Endpoint, PlatformSettings
from standins.fleet import wait_until
from tests.cases import FleetCase
from tests.wire import LOOPBACK, run, wait_for


class RestoredStoreCase(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.settings = PlatformSettings(url=self.fleet.platform_url, timeout_s=1.0, watch_s=5.0)

    def restore(self, writes: int) -> None:
        """Bring the store back without its last ``writes`` writes."""
        self.fleet.request("POST", f"{self.fleet.platform_url}/restore", {"writes": writes})


class ClientTest(RestoredStoreCase):
    def test_versions_carry_the_era(self) -> None:
        async def work() -> tuple[StoreVersion | None, StoreVersion]:
            client = AsyncPlatformClient(self.settings)
            first = await client.create(PlatformObject(Kind.HOSTS, "a", {}))
            self.restore(0)
            return first.version, (await client.list(Kind.HOSTS)).version

        before, after = run(work())
        assert before is not None
        self.assertEqual((1, 2), (before.era, after.era))
        self.assertEqual(before.revision, after.revision)

    def test_a_write_by_a_version_of_an_earlier_era_is_a_conflict(self) -> None:
        """The new era has given the same revision to another write of the same object."""

        async def work() -> Any:
            client, other = (AsyncPlatformClient(self.settings) for _ in range(2))
            await client.create(PlatformObject(Kind.HOSTS, "a", {"n": 1}))
            lost = await client.update(PlatformObject(Kind.HOSTS, "a", {"n": 2}))
            self.restore(1)
            await other.update(PlatformObject(Kind.HOSTS, "a", {"n": 3}))
            await client.list(Kind.CONFIG)
            with ExpectedException(ConflictError):
                await client.update(PlatformObject(Kind.HOSTS, "a", {"n": 4}, lost.version))
            with ExpectedException(ConflictError):
                await client.delete(Kind.HOSTS, "a", version=lost.version)
            return (await client.get(Kind.HOSTS, "a")).spec

        self.assertEqual({"n": 3}, run(work()))

    def test_a_watch_from_an_earlier_era_expires_though_its_revision_exists(self) -> None:
        async def work() -> None:
            client = AsyncPlatformClient(self.settings)
            await client.create(PlatformObject(Kind.HOSTS, "a", {}))
            version = (await client.list(Kind.HOSTS)).version
            self.restore(1)
            await client.create(PlatformObject(Kind.HOSTS, "b", {}))
            await client.create(PlatformObject(Kind.HOSTS, "c", {}))
            with ExpectedException(WatchExpiredError):
                await client.watch(Kind.HOSTS, version, wait_s=5.0)

        run(work())

    def test_two_eras_in_quick_succession_are_one_change(self) -> None:
        async def work() -> list[int]:
            eras: list[int] = []
            client = AsyncPlatformClient(self.settings)
            client.on_new_era = eras.append
            await client.create(PlatformObject(Kind.HOSTS, "a", {}))
            self.restore(0)
            self.restore(1)
            with ExpectedException(ObjectNotFoundError):
                await client.get(Kind.HOSTS, "a")
            return eras

        self.assertEqual([3], run(work()))


class WatcherTest(RestoredStoreCase):
    def test_a_watch_goes_on_from_a_new_list(self) -> None:
        async def work() -> tuple[set[str], bool]:
            client = AsyncPlatformClient(self.settings)
            listed: list[set[str]] = []
            followed = AsyncWatcher(
                client,
                Kind.HOSTS,
                lambda found: listed.append({item.name for item in found.objects}),
                lambda changes: None,
            )
            await client.create(PlatformObject(Kind.HOSTS, "kept", {}))
            await client.create(PlatformObject(Kind.HOSTS, "lost", {}))
            followed.set_watching(True)
            await wait_for(lambda: bool(listed))
            self.restore(1)
            await wait_for(lambda: len(listed) == 2)
            followed.set_watching(False)
            return listed[-1], followed.recovered_at > 0

        self.assertEqual(({"kept"}, True), run(work()))

    def test_a_host_lists_again_when_a_peer_tells_of_the_era(self) -> None:
        """A watch that has gone silent would report the restoration only at its end."""

        async def work() -> int:
            client = AsyncPlatformClient(self.settings)
            lists = 0

            def count_list(found: object) -> None:
                nonlocal lists
                lists += 1

            followed = AsyncWatcher(client, Kind.HOSTS, count_list, lambda changes: None)
            followed.set_watching(True)
            await wait_for(lambda: lists == 1)
            followed.record_era(1)
            followed.record_era(2)
            await wait_for(lambda: lists == 2)
            followed.set_watching(False)
            return lists

        self.assertEqual(2, run(work()))

    def test_objects_that_the_copy_lacks_are_kept_until_they_may_be_written_again(self) -> None:
        client = PlatformClient(self.settings)
        client.create(PlatformObject(Kind.RUNNERS, "kept", {}))
        client.create(PlatformObject(Kind.RUNNERS, "returning", {}))
        client.create(PlatformObject(Kind.RUNNERS, "gone", {}))
        seen: list[set[str]] = []
        restorations: list[bool] = []
        watched = Watcher(
            client,
            Kind.RUNNERS,
            lambda objects: seen.append(set(objects)),
            lambda: restorations.append(True),
        )
        self.patch(watcher, "RESTORE_GRACE_S", 1.0)
        watched.start()
        self.addCleanup(watched.stop)
        wait_until(lambda: len(seen) == 1, "the first list")
        self.restore(2)
        wait_until(lambda: bool(restorations), "the list of the restored store")
        client.create(PlatformObject(Kind.RUNNERS, "returning", {}))
        wait_until(lambda: seen[-1] == {"kept", "returning"}, "the end of the grace period")
        self.assertEqual([True], restorations)
        for names in seen:
            self.assertTrue(names >= {"kept", "returning"}, seen)


class WritersTest(RestoredStoreCase):
    def test_a_host_writes_its_registry_entry_again(self) -> None:
        async def work() -> str:
            client = AsyncPlatformClient(self.settings)
            identity = HostIdentity("host-a", LOOPBACK, "a", "north")
            registry = HostRegistry(client, identity, "boot-1", Members(LOOPBACK))
            client.on_new_era = lambda era: registry.record_restored()
            task = asyncio.get_running_loop().create_task(registry.run())
            await registry.loaded.wait()
            self.restore(1)
            await client.list(Kind.CONFIG)
            while True:
                try:
                    found = await client.get(Kind.ENTRY_HOSTS, "host-a")
                    break
                except ObjectNotFoundError:
                    await asyncio.sleep(0.01)
            task.cancel()
            return str(found.spec["boot"])

        self.assertEqual("boot-1", run(work()))

    def test_a_roster_entry_is_written_again_unless_the_host_has_left(self) -> None:
        client = PlatformClient(self.settings)
        endpoint = Endpoint(LOOPBACK, 1)
        record = HostRecord("host-a", "1", "tw-north", "a", endpoint, endpoint, endpoint)
        entry = RosterEntry(client, record)
        entry.join()
        self.restore(1)
        entry.restore()
        self.assertEqual("1", client.get(Kind.HOSTS, "host-a").spec["incarnation"])
        entry.leave()
        entry.restore()
        with ExpectedException(ObjectNotFoundError):
            client.get(Kind.HOSTS, "host-a")
