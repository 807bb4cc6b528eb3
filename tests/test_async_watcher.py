import asyncio

from testtools import TestCase

from cherrylane.platform import async_watcher
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, PlatformObject, WatchEvent, WatchEvents
from cherrylane.settings.schema import PlatformSettings
from tests.wire import run, wait_for

CHANGES = 10


class Store(AsyncPlatformClient):
    """Answers a watch with all changes since its version, as soon as there is one."""

    def __init__(self) -> None:
        super().__init__(PlatformSettings(url="http://127.0.0.1:1"))
        self.version = 1
        self.watches = 0

    async def list(self, kind: Kind, *, stale: bool = False) -> ObjectList:
        return ObjectList([], str(self.version))

    async def watch(self, kind: Kind, version: str, *, wait_s: float) -> WatchEvents:
        self.watches += 1
        while self.version == int(version):
            await asyncio.sleep(0.001)
        changed = range(int(version) + 1, self.version + 1)
        events = [WatchEvent(PlatformObject(kind, str(n), {}, str(n))) for n in changed]
        return WatchEvents(tuple(events), str(self.version))


class CoalescingTest(TestCase):
    def test_changes_in_quick_succession_cost_one_call_after_the_first(self) -> None:
        """A release of many upstreams, or a storm of configurations."""

        async def work() -> tuple[list[str], int]:
            store = Store()
            taken: list[str] = []

            def change() -> None:
                store.version += 1

            def take(changes: WatchEvents) -> None:
                if not taken:
                    for number in range(1, CHANGES):
                        asyncio.get_running_loop().call_later(number / 1000, change)
                taken.extend(event.object.name for event in changes.events)

            following = AsyncWatcher(store, Kind.UPSTREAMS, lambda listed: None, take)
            following.set_watching(True)
            await wait_for(lambda: store.watches == 1)
            change()
            await wait_for(lambda: len(taken) == CHANGES)
            watches = store.watches
            following.set_watching(False)
            return taken, watches

        self.patch(async_watcher, "COALESCE_S", 1.0)
        taken, watches = run(work())
        self.assertEqual([str(number) for number in range(2, CHANGES + 2)], taken)
        self.assertEqual(2, watches)
