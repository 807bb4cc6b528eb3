"""Runners: the replicas of engines and plain services that the platform lists."""

from enum import Enum

from attrs import Attribute, field, frozen
from attrs.validators import ge, gt, le
from logbook import Logger
from result import Err, Ok

from cherrylane.fields import read_name
from cherrylane.platform.objects import PlatformObject
from cherrylane.settings.documents import structure_document

# Highest capacity of a runner relative to others.
MAX_WEIGHT = 1_000_000
MAX_ERROR_CHARACTERS = 500

log = Logger("cherrylane.membership")


class RunnerState(Enum):
    """Whether a runner accepts new requests."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Runner:
    """One replica of an upstream; ``weight`` is its capacity relative to other replicas.

    An engine serves the ``models`` it lists; an empty list means every model of its service.
    """

    name: str
    service: str
    site: str
    zone: str
    address: str
    port: int
    state: RunnerState = RunnerState.LIVE
    weight: float = 1.0
    models: tuple[str, ...] = ()

    @property
    def endpoint(self) -> str:
        """The address and port, as ``<address>:<port>``."""
        return f"{self.address}:{self.port}"

    def serves(self, model: str) -> bool:
        """Return whether the runner serves ``model``, which is empty for plain services."""
        return not model or not self.models or model in self.models


def _check_name(instance: object, attribute: "Attribute[str]", value: str) -> None:
    read_name(value)


@frozen
class _RunnerSpec:
    service: str = field(validator=_check_name)
    site: str = field(validator=_check_name)
    zone: str = field(validator=_check_name)
    address: str = field(validator=_check_name)
    port: int = field(validator=[ge(1), le(65535)])
    state: RunnerState = RunnerState.LIVE
    weight: float = field(default=1.0, validator=[gt(0), le(MAX_WEIGHT)])
    models: list[str] = field(factory=list)


def read_runners(objects: dict[str, PlatformObject]) -> dict[str, Runner]:
    """Read the runners from the platform's objects; malformed entries are logged and skipped."""
    runners: dict[str, Runner] = {}
    for name, stored in objects.items():
        match structure_document(stored.spec, _RunnerSpec, source=f"runner {name}"):
            case Ok(spec):
                runners[name] = _make_runner(name, spec)
            case Err(error):
                log.error(f"runner ignored: {error}"[:MAX_ERROR_CHARACTERS])
    return runners


def _make_runner(name: str, spec: _RunnerSpec) -> Runner:
    return Runner(
        name=name,
        service=spec.service,
        site=spec.site,
        zone=spec.zone,
        address=spec.address,
        port=spec.port,
        state=spec.state,
        weight=spec.weight,
        models=tuple(spec.models),
    )
