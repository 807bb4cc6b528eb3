"""A local copy of all objects of one kind, kept current by list and watch."""

from collections.abc import Callable
from random import Random
from threading import Event, Lock, Thread

from logbook import Logger

from cherrylane.errors import PlatformError, WatchExpiredError
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject, WatchEvent

RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0

log = Logger("cherrylane.platform")


class Watcher:
    """Keeps the latest known objects of one kind and calls a listener after every change.

    ``listener`` is called on the watcher's own thread with all objects, keyed by name. While the
    platform is unavailable, the last copy stays in use.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: Kind,
        listener: Callable[[dict[str, PlatformObject]], None],
    ) -> None:
        self._client = client
        self._kind = kind
        self._listener = listener
        self._objects: dict[str, PlatformObject] = {}
        self._lock = Lock()
        self._stopping = Event()
        self._listed = Event()
        self._random = Random()
        self._thread = Thread(target=self._run, name=f"watch-{kind.value}", daemon=True)

    def start(self) -> None:
        """Start the thread that lists and watches."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching; does not wait for the thread or the connection to end."""
        self._stopping.set()

    def wait_until_listed(self, timeout_s: float) -> bool:
        """Wait for the first complete list; return False if it did not come in ``timeout_s``."""
        return self._listed.wait(timeout_s)

    def _run(self) -> None:
        delay_s = RETRY_MIN_S
        while not self._stopping.is_set():
            try:
                version = self._list()
                delay_s = RETRY_MIN_S
                self._watch(version)
            except WatchExpiredError:
                continue
            except PlatformError as error:
                log.warning(f"watch of {self._kind.value} failed and will be retried: {error}")
                delay_s = self._wait_before_retry(delay_s)
            except Exception:
                # Keep the thread alive; without it, this host would receive no further changes.
                log.exception(f"handling a change of {self._kind.value} failed; listing again")
                delay_s = self._wait_before_retry(delay_s)

    def _wait_before_retry(self, delay_s: float) -> float:
        self._stopping.wait(delay_s * self._random.uniform(0.5, 1.0))
        return min(RETRY_MAX_S, delay_s * 2)

    def _list(self) -> str:
        listed = self._client.list(self._kind)
        with self._lock:
            self._objects = {item.name: item for item in listed.objects}
            self._notify()
        self._listed.set()
        return listed.version

    def _watch(self, version: str) -> None:
        while not self._stopping.is_set():
            for change in self._client.watch(self._kind, version):
                if self._stopping.is_set():
                    return
                match change:
                    case WatchEvent():
                        self._apply(change)
                    case reached:
                        version = reached

    def _apply(self, event: WatchEvent) -> None:
        with self._lock:
            if event.is_deleted:
                self._objects.pop(event.object.name, None)
            else:
                self._objects[event.object.name] = event.object
            self._notify()

    def _notify(self) -> None:
        self._listener(dict(self._objects))
