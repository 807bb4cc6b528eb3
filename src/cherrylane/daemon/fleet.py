"""The daemon's view of the fleet, kept up to date by watches of the platform."""

from collections.abc import Callable
from random import Random
from threading import Lock
from time import sleep

from logbook import Logger
from result import Err, Ok

from cherrylane.configuration.merging import FleetConfiguration
from cherrylane.configuration.store import (
    CURRENT_GENERATION,
    EMPTY_GENERATION,
    ConfigurationStore,
    Generation,
    read_generation_spec,
)
from cherrylane.errors import SettingsError
from cherrylane.membership.roster import Roster, read_roster
from cherrylane.membership.runners import Runner, read_runners
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.platform.watcher import Watcher
from cherrylane.routing.view import EMPTY_VIEW, FleetView, build_view

# Seconds over which the hosts put a lost generation back, of which one suffices.
RESTORE_SPREAD_S = 0.5

log = Logger("cherrylane.daemon")


class FleetWatcher:
    """Builds a new view whenever the configuration, the roster or the runners change.

    ``on_restored`` is called when the store has come back from an older copy.
    """

    def __init__(
        self,
        client: PlatformClient,
        listener: Callable[[FleetView], None],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = ConfigurationStore(client)
        self._listener = listener
        self._lock = Lock()
        self._configuration = FleetConfiguration(generation=0)
        self._generation = EMPTY_GENERATION
        self._generation_version: StoreVersion | None = None
        self._random = Random()
        self._roster = Roster()
        self._runners: dict[str, Runner] = {}
        self._view = EMPTY_VIEW
        self._watchers = [
            Watcher(client, Kind.GENERATIONS, self._update_generation, self._restore_generation),
            Watcher(client, Kind.RUNNERS, self._update_runners),
            Watcher(client, Kind.HOSTS, self._update_hosts, on_restored),
        ]

    @property
    def view(self) -> FleetView:
        """The newest view."""
        return self._view

    def start(self) -> None:
        """Start the watches."""
        for watcher in self._watchers:
            watcher.start()

    def stop(self) -> None:
        """Stop the watches."""
        for watcher in self._watchers:
            watcher.stop()

    def wait_until_listed(self, timeout_s: float) -> bool:
        """Wait until each kind has been listed once; returns False on timeout."""
        return all(watcher.wait_until_listed(timeout_s) for watcher in self._watchers)

    def _update_generation(self, objects: dict[str, PlatformObject]) -> None:
        stored = objects.get(CURRENT_GENERATION)
        if stored is None:
            return
        try:
            generation = read_generation_spec(stored.spec)
        except SettingsError as error:
            log.error(f"invalid generation object ignored: {error}")
            return
        if not self._is_later(generation, stored.version):
            return
        match self._store.load(generation):
            case Ok(configuration):
                with self._lock:
                    self._configuration = configuration
                    self._generation, self._generation_version = generation, stored.version
                    self._publish()
                log.notice(f"generation {generation.number} is in force on this host")
            case Err(problem):
                log.error(f"generation {generation.number} could not be loaded: {problem}")

    def _is_later(self, generation: Generation, version: StoreVersion | None) -> bool:
        """Return whether a stored generation was applied after the one in force.

        After the store has lost the generation in force, a later apply may get its number again.
        """
        current, current_version = self._generation, self._generation_version
        if generation.number > current.number or current_version is None or version is None:
            return generation.number > current.number
        return (
            version.era > current_version.era
            and generation.apply_id != current.apply_id
            and not generation.precedes(current)
        )

    def _restore_generation(self) -> None:
        """Put the generation in force back into a store that came back from an older copy."""
        generation = self._generation
        if not generation.number:
            return
        # Another host may put it back meanwhile.
        sleep(self._random.uniform(0.0, RESTORE_SPREAD_S))
        if not self._store.restore(generation):
            log.error(
                f"the store has lost generation {generation.number}, which is in force here, and "
                "some of its documents; apply the files again"
            )

    def _update_runners(self, objects: dict[str, PlatformObject]) -> None:
        with self._lock:
            self._runners = read_runners(objects)
            self._publish()

    def _update_hosts(self, objects: dict[str, PlatformObject]) -> None:
        with self._lock:
            self._roster = read_roster(objects)
            self._publish()

    def _publish(self) -> None:
        self._view = build_view(self._configuration, self._roster, self._runners)
        self._listener(self._view)
