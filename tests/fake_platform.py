"""An object store in memory with the client's interface, which fails as a test says."""

from collections.abc import Callable
from enum import Enum
from threading import Lock

from cherrylane.errors import ConflictError, ObjectNotFoundError, PlatformUnavailableError
from cherrylane.platform.objects import Kind, PlatformObject


class Fault(Enum):
    """What goes wrong with one call."""

    NONE = "none"
    LOST_CALL = "lost call"
    LOST_ANSWER = "lost answer"
    LATE_WRITE = "late write"


class FakePlatform:
    """``next_fault`` is asked before each write.

    Late writes take effect on ``apply_late_writes``.
    """

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.down = False
        self.writes = 0
        self.next_fault: Callable[[], Fault] = lambda: Fault.NONE
        self._late: list[PlatformObject] = []
        self._version = 0
        self._lock = Lock()

    def get(self, kind: Kind, name: str) -> PlatformObject:
        with self._lock:
            self._check_up()
            if name not in self.objects:
                raise ObjectNotFoundError("no such object", remedy="none")
            return self.objects[name]

    def create(self, new: PlatformObject) -> PlatformObject:
        return self._write(new)

    def update(self, changed: PlatformObject) -> PlatformObject:
        return self._write(changed)

    def apply_late_writes(self) -> None:
        """Let late writes arrive; each is decided as a write of this moment."""
        with self._lock:
            late, self._late = self._late, []
            for write in late:
                try:
                    self._apply(write)
                except ConflictError:
                    pass

    def _write(self, changed: PlatformObject) -> PlatformObject:
        with self._lock:
            self._check_up()
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
        if (stored.version if stored else "") != changed.version:
            raise ConflictError("another writer came first", remedy="none")
        self._version += 1
        self.writes += 1
        accepted = PlatformObject(changed.kind, changed.name, changed.spec, str(self._version))
        self.objects[changed.name] = accepted
        return accepted

    def _check_up(self) -> None:
        if self.down:
            raise _unavailable()


def _unavailable() -> PlatformUnavailableError:
    return PlatformUnavailableError("no answer", remedy="none")
