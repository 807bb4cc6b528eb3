"""A local copy of all objects of one kind, kept current by list and watch."""

from collections.abc import Callable
from random import Random
from threading import Event, Lock, Thread
from time import monotonic

from logbook import Logger

from cherrylane.errors import PlatformError, WatchExpiredError
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject, WatchEvent
from cherrylane.platform.versions import StoreVersion

RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
# Seconds after a restoration of the store in which objects are written again by their writers.
RESTORE_GRACE_S = 2.0

log = Logger("cherrylane.platform")


class Watcher:
    """Keeps the latest known objects of one kind and calls a listener after every change.

    ``listener`` is called on the watcher's own thread with all objects, keyed by name. While the
    platform is unavailable, the last copy stays in use. When the store comes back from an older
    copy, ``on_restored`` is called after the listener, and objects that the copy lacks are kept for
    ``RESTORE_GRACE_S``, in which their writers write them again.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: Kind,
        listener: Callable[[dict[str, PlatformObject]], None],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._client = client
        self._kind = kind
        self._listener = listener
        self._on_restored = on_restored
        self._version: StoreVersion | None = None
        self._missing: dict[str, PlatformObject] = {}
        self._missing_until = 0.0
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

    def _list(self) -> StoreVersion:
        listed = self._client.list(self._kind)
        was_restored = self._version is not None and listed.version.era > self._version.era
        self._version = listed.version
        objects = {item.name: item for item in listed.objects}
        kept = self._objects if was_restored else self._missing
        self._missing = {name: item for name, item in kept.items() if name not in objects}
        if was_restored:
            self._missing_until = monotonic() + RESTORE_GRACE_S
            log.warning(
                f"the store was restored from an older copy (version {listed.version}) that lacks "
                f"{len(self._missing)} objects of {self._kind.value}; keeping them for "
                f"{RESTORE_GRACE_S:g} s"
            )
        with self._lock:
            self._objects = self._missing | objects
            self._notify()
        self._listed.set()
        if was_restored:
            self._on_restored()
        return listed.version

    def _watch(self, version: StoreVersion) -> None:
        while not self._stopping.is_set():
            wait_s = max(0.0, self._missing_until - monotonic()) if self._missing else None
            changes = self._client.watch(self._kind, version, wait_s=wait_s)
            if self._stopping.is_set():
                return
            for event in changes.events:
                self._apply(event)
            self._drop_missing()
            version = self._version = changes.version

    def _apply(self, event: WatchEvent) -> None:
        with self._lock:
            self._missing.pop(event.object.name, None)
            if event.is_deleted:
                self._objects.pop(event.object.name, None)
            else:
                self._objects[event.object.name] = event.object
            self._notify()

    def _drop_missing(self) -> None:
        """Drop the objects that a restored store lacks and that were not written again in time."""
        if not self._missing or monotonic() < self._missing_until:
            return
        log.warning(f"{len(self._missing)} objects of {self._kind.value} did not return")
        with self._lock:
            for name in self._missing:
                self._objects.pop(name, None)
            self._missing = {}
            self._notify()

    def _notify(self) -> None:
        self._listener(dict(self._objects))
