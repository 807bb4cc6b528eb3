from threading import Event

from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.watcher import Watcher
from cherrylane.settings.schema import PlatformSettings
from standins.fleet import wait_until
from tests.cases import FleetCase


class WatcherTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.client = PlatformClient(PlatformSettings(url=self.fleet.platform_url, timeout_s=1.0))
        self.seen: dict[str, PlatformObject] = {}

    def watch(self) -> Watcher:
        watcher = Watcher(self.client, Kind.HOSTS, lambda objects: self.seen.update(objects))
        self.addCleanup(watcher.stop)
        watcher.start()
        return watcher

    def create(self, name: str) -> None:
        self.client.create(PlatformObject(Kind.HOSTS, name, {"zone": "a"}))

    def test_changes_after_the_list_are_received(self) -> None:
        self.create("first")
        self.assertTrue(self.watch().wait_until_listed(10.0))
        self.create("second")
        wait_until(lambda: set(self.seen) == {"first", "second"}, "the second object")

    def test_watch_continues_after_an_outage(self) -> None:
        self.watch().wait_until_listed(10.0)
        self.fleet.set_faults(down=True)
        self.fleet.set_faults(down=False)
        self.create("after")
        wait_until(lambda: "after" in self.seen, "the object that was created after the outage")

    def test_failing_listener_does_not_end_the_watch(self) -> None:
        """Guards against a watch thread that dies of an error in its listener.

        It occurred when an empty list of runners made the building of a rendezvous table fail.
        """
        failed = Event()

        def listener(objects: dict[str, PlatformObject]) -> None:
            if not failed.is_set():
                failed.set()
                raise ValueError("the first list cannot be handled")
            self.seen.update(objects)

        watcher = Watcher(self.client, Kind.HOSTS, listener)
        self.addCleanup(watcher.stop)
        watcher.start()
        self.create("later")
        wait_until(
            lambda: "later" in self.seen, "the object that was created after the listener failed"
        )
