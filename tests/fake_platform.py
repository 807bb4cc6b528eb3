"""An in-memory object store with the client's interface and injectable faults."""

from collections.abc import Callable
from enum import Enum
from threading import Lock

from attrs import evolve

from cherrylane.errors import ConflictError, ObjectNotFoundError, PlatformUnavailableError
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import NO_VERSION, StoreVersion


class Fault(Enum):
    """How one write fails."""

    NONE = "none"
    LOST_CALL = "lost call"
    LOST_ANSWER = "lost answer"
    LATE_WRITE = "late write"


class FakePlatform:
    """Calls ``next_fault`` before each write; all calls fail while ``down`` is set.

    Late writes take effect when ``apply_late_writes`` is called.
    """

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.down = False
        self.writes = 0
        self.next_fault: Callable[[], Fault] = lambda: Fault.NONE
        self._late: list[PlatformObject] = []
        self._revision = 0
        self._era = 0
        self._log: list[PlatformObject] = []
        self._lock = Lock()

    def get(self, kind: Kind, name: str) -> PlatformObject:
        with self._lock:
            self._check_available()
            if name not in self.objects:
                raise ObjectNotFoundError("object not found", remedy="none")
            return self.objects[name]

    def create(self, new: PlatformObject) -> PlatformObject:
        return self._write(new)

    def update(self, changed: PlatformObject) -> PlatformObject:
        return self._write(changed)

    def apply_late_writes(self) -> None:
        """Apply the late writes now; those that conflict with a newer version are dropped."""
        with self._lock:
            pending, self._late = self._late, []
            for write in pending:
                try:
                    self._apply(write)
                except ConflictError:
                    pass

    def restore(self, writes: int) -> None:
        """Come back in a new era without the last ``writes`` writes."""
        with self._lock:
            self._era += 1
            self._log = self._log[: len(self._log) - writes]
            self._revision = len(self._log)
            self.objects = {}
            for written in self._log:
                version = evolve(written.version or NO_VERSION, era=self._era)
                self.objects[written.name] = evolve(written, version=version)

    def _write(self, changed: PlatformObject) -> PlatformObject:
        with self._lock:
            self._check_available()
            match self.next_fault():
                case Fault.LOST_CALL:
                    raise _unavailable()
                case Fault.LATE_WRITE:
                    self._late.append(changed)
                    raise _unavailable()
                case Fault.LOST_ANSWER:
                    self._apply(changed)
                    raise _unavailable()
                case Fault.NONE:
                    return self._apply(changed)

    def _apply(self, changed: PlatformObject) -> PlatformObject:
        stored = self.objects.get(changed.name)
        if (stored.version if stored else None) != changed.version:
            raise ConflictError("conflict with another write", remedy="none")
        self._revision += 1
        self.writes += 1
        version = StoreVersion(self._era, self._revision)
        written = PlatformObject(changed.kind, changed.name, changed.spec, version)
        self._log.append(written)
        self.objects[changed.name] = written
        return written

    def _check_available(self) -> None:
        if self.down:
            raise _unavailable()


def _unavailable() -> PlatformUnavailableError:
    return PlatformUnavailableError("no response", remedy="none")
