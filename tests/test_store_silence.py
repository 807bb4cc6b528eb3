"""Moments in which the store answers nothing, and which calls before and after do not show."""

import asyncio
from collections.abc import Callable
from json import dumps
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field, frozen
from testtools import TestCase

from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient, PlatformClient
from cherrylane.platform.objects import Kind
from cherrylane.platform.versions import StoreVersion
from cherrylane.platform.watcher import Watcher
from cherrylane.settings.schema import PlatformSettings
from tests.wire import LOOPBACK, Call, ScriptedUpstream, run, wait_for

# Seconds between the changes of a test.
CHANGE_INTERVAL_S = 0.2


@frozen
class Loss:
    """The call that is lost: whether it is a watch, and the number of such calls before it.

    ``is_executed`` if it is the response that is lost.
    """

    is_watch: bool
    number: int
    is_executed: bool = False


@define
class LossyStore:
    """A store with one object that never answers the calls in ``losses``, nor any while silent."""

    losses: tuple[Loss, ...] = ()
    is_silent: bool = False
    revision: int = 1
    watches: int = 0
    lists: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)

    async def start(self) -> PlatformSettings:
        """Serve on loopback; returns the settings of its clients."""
        upstream = await ScriptedUpstream(self._answer).start()
        return PlatformSettings(url=f"http://{LOOPBACK}:{upstream.port}", timeout_s=1.0)

    def write(self) -> None:
        """Change the object."""
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, call: Call) -> None:
        query = parse_qs(urlsplit(call.lines[0].split()[1]).query)
        is_watch = "watch" in query
        number = self.watches if is_watch else self.lists
        self.watches += is_watch
        self.lists += not is_watch
        if self.is_silent or Loss(is_watch, number) in self.losses:
            await asyncio.Event().wait()
        since = int(query["watch"][0]) if is_watch else 0
        if is_watch:
            await self._wait_for_change(since, int(query["wait_ms"][0]) / 1000)
        if Loss(is_watch, number, is_executed=True) in self.losses:
            await asyncio.Event().wait()
        item = {"metadata": {"name": "main", "rev": self.revision}, "spec": {}}
        body: dict[str, Any] = {"store_revision": self.revision, "items": [item]}
        body["events"] = [{"object": item}] if self.revision > since else []
        call.answer(dumps(body).encode(), extra="Connection: close\r\n")

    async def _wait_for_change(self, since: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= since:
                    await self._changed.wait()
        except TimeoutError:
            pass


LOSSES = {
    "the watch after the list": Loss(is_watch=True, number=0),
    "the watch after a change": Loss(is_watch=True, number=1),
    "the response to a watch": Loss(is_watch=True, number=0, is_executed=True),
    "the list": Loss(is_watch=False, number=0),
    "the response to the list": Loss(is_watch=False, number=0, is_executed=True),
}


class GatewayTest(TestCase):
    """Guards against hosts that keep an old configuration after a short silence of the store.

    Their watches were lost in it, and each was awaited for 27 s (review/7, CONFIG).
    """

    def watch(self, settings: PlatformSettings) -> tuple[AsyncWatcher, Callable[[], int]]:
        """Start a watcher; returns it with a function that returns the revision that it knows."""
        seen = [0]
        watcher = AsyncWatcher(
            AsyncPlatformClient(settings),
            Kind.CONFIG,
            lambda listed: seen.append(listed.version.revision),
            lambda changes: seen.append(changes.version.revision),
        )
        watcher.set_watching(True)
        return watcher, lambda: seen[-1]

    async def change_after(self, loss: Loss) -> None:
        store = LossyStore((loss,))
        watcher, find_known = self.watch(await store.start())
        for _ in range(4):
            await asyncio.sleep(CHANGE_INTERVAL_S)
            store.write()
        await wait_for(lambda: find_known() == store.revision)
        watcher.set_watching(False)

    def test_a_lost_call_does_not_hide_the_next_changes(self) -> None:
        async def work() -> None:
            await asyncio.gather(*(self.change_after(loss) for loss in LOSSES.values()))

        run(work())

    def test_a_silence_that_loses_the_watches_of_all_hosts_does_not_hide_a_change(self) -> None:
        async def work() -> None:
            store = LossyStore()
            settings = await store.start()
            hosts = [self.watch(settings) for _ in range(7)]
            await wait_for(lambda: store.watches == len(hosts))
            store.is_silent = True
            store.write()
            await wait_for(lambda: store.watches >= 2 * len(hosts))
            store.is_silent = False
            store.write()
            await wait_for(lambda: all(find_known() == store.revision for _, find_known in hosts))
            for watcher, _ in hosts:
                watcher.set_watching(False)

        run(work())


class ThreadDaemonTest(TestCase):
    # Guards against the same in the thread daemon, whose watches waited up to 32 s.
    def test_a_lost_call_does_not_hide_the_next_changes(self) -> None:
        async def change_after(loss: Loss) -> None:
            store = LossyStore((loss,))
            settings = await store.start()
            seen = [StoreVersion(0, 0)]
            watcher = Watcher(
                PlatformClient(settings),
                Kind.GENERATIONS,
                lambda objects: seen.extend(
                    item.version for item in objects.values() if item.version is not None
                ),
            )
            watcher.start()
            for _ in range(4):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                store.write()
            await wait_for(lambda: seen[-1].revision == store.revision)
            watcher.stop()

        async def work() -> None:
            await asyncio.gather(*(change_after(loss) for loss in LOSSES.values()))

        run(work())
