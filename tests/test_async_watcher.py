import asyncio

from testtools import TestCase

from cherrylane.platform import async_watcher
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, PlatformObject, WatchEvent, WatchEvents
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.schema import PlatformSettings
from tests.wire import run, wait_for

CHANGES = 10


class FakeStore(AsyncPlatformClient):
    """Responds to a watch with all changes since its version, as soon as there are any."""

    def __init__(self) -> None:
        super().__init__(PlatformSettings(url="http://127.0.0.1:1"))
        self.version = 1
        self.watches = 0

    async def list(self, kind: Kind, *, stale: bool = False) -> ObjectList:
        return ObjectList([], StoreVersion(1, self.version))

    async def watch(self, kind: Kind, version: StoreVersion, *, wait_s: float) -> WatchEvents:
        self.watches += 1
        while self.version == version.revision:
            await asyncio.sleep(0.001)
        changed = range(version.revision + 1, self.version + 1)
        events = [WatchEvent(PlatformObject(kind, str(n), {}, StoreVersion(1, n))) for n in changed]
        return WatchEvents(tuple(events), StoreVersion(1, self.version))


class CoalescingTest(TestCase):
    def test_burst_of_changes_costs_one_watch_after_the_first(self) -> None:
        """Guards against one call per change when many objects change at once.

        This happens when many upstreams are released together or configurations follow closely.
        """

        async def work() -> tuple[list[str], int]:
            store = FakeStore()
            received: list[str] = []

            def make_change() -> None:
                store.version += 1

            def receive(changes: WatchEvents) -> None:
                if not received:
                    for number in range(1, CHANGES):
                        asyncio.get_running_loop().call_later(number / 1000, make_change)
                received.extend(event.object.name for event in changes.events)

            watcher = AsyncWatcher(store, Kind.UPSTREAMS, lambda listed: None, receive)
            watcher.set_watching(True)
            await wait_for(lambda: store.watches == 1)
            make_change()
            await wait_for(lambda: len(received) == CHANGES)
            watches = store.watches
            watcher.set_watching(False)
            return received, watches

        self.patch(async_watcher, "COALESCE_S", 1.0)
        received, watches = run(work())
        self.assertEqual([str(number) for number in range(2, CHANGES + 2)], received)
        self.assertEqual(2, watches)
