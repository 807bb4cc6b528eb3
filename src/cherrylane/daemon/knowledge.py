"""What the daemon knows of the fleet, kept up to date by watches of the platform."""

from collections.abc import Callable
from threading import Lock

from logbook import Logger
from result import Err, Ok

from cherrylane.configuration.merging import FleetConfiguration
from cherrylane.configuration.store import (
    CURRENT_GENERATION,
    ConfigurationStore,
    read_generation_spec,
)
from cherrylane.errors import SettingsError
from cherrylane.membership.roster import Roster, read_roster
from cherrylane.membership.runners import Runner, read_runners
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.watcher import Watcher
from cherrylane.routing.view import EMPTY_VIEW, FleetView, build_view

log = Logger("cherrylane.daemon")


class FleetKnowledge:
    """Builds a new view whenever configuration, roster or runners change."""

    def __init__(self, client: PlatformClient, listener: Callable[[FleetView], None]) -> None:
        self._store = ConfigurationStore(client)
        self._listener = listener
        self._lock = Lock()
        self._configuration = FleetConfiguration(generation=0)
        self._roster = Roster()
        self._runners: dict[str, Runner] = {}
        self._view = EMPTY_VIEW
        self._watchers = [
            Watcher(client, Kind.GENERATIONS, self._take_generations),
            Watcher(client, Kind.RUNNERS, self._take_runners),
            Watcher(client, Kind.HOSTS, self._take_hosts),
        ]

    @property
    def view(self) -> FleetView:
        """The newest view."""
        return self._view

    def start(self) -> None:
        """Begin to watch."""
        for watcher in self._watchers:
            watcher.start()

    def stop(self) -> None:
        """End the watches."""
        for watcher in self._watchers:
            watcher.stop()

    def wait_until_listed(self, timeout_s: float) -> bool:
        """Wait until each kind was listed once; False when that took too long."""
        return all(watcher.wait_until_listed(timeout_s) for watcher in self._watchers)

    def _take_generations(self, objects: dict[str, PlatformObject]) -> None:
        stored = objects.get(CURRENT_GENERATION)
        if stored is None:
            return
        try:
            generation = read_generation_spec(stored.spec)
        except SettingsError as error:
            log.error(f"generation ignored: {error}")
            return
        if generation.number <= self._configuration.generation:
            return
        match self._store.load(generation):
            case Ok(configuration):
                with self._lock:
                    self._configuration = configuration
                    self._publish()
                log.notice(f"generation {generation.number} is in force here")
            case Err(problem):
                log.error(f"generation {generation.number} not taken: {problem}")

    def _take_runners(self, objects: dict[str, PlatformObject]) -> None:
        with self._lock:
            self._runners = read_runners(objects)
            self._publish()

    def _take_hosts(self, objects: dict[str, PlatformObject]) -> None:
        with self._lock:
            self._roster = read_roster(objects)
            self._publish()

    def _publish(self) -> None:
        self._view = build_view(self._configuration, self._roster, self._runners)
        self._listener(self._view)
