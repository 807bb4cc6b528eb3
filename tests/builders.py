"""Factories for values that many tests need."""

from typing import Any

from cherrylane.configuration.documents import (
    Base,
    BoundSettings,
    Overlay,
    QueueSettings,
    ServiceKind,
    ServiceOverlay,
    SiteEntry,
)
from cherrylane.configuration.merging import merge_documents
from cherrylane.limits.work import AccountShare, AdmissionRefusal, AdmissionRequest, Grant
from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.membership.runners import Runner
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.rendezvous import hash_text
from cherrylane.routing.view import FleetView, build_view
from cherrylane.settings.schema import Endpoint

SITE = "tw-north"
SERVICE = "drafting-llm"
MODEL = "drafting-8b"
POOL = PoolKey(SERVICE, 0)


def make_host(name: str, **changes: Any) -> HostRecord:
    values: dict[str, Any] = {
        "name": name,
        "incarnation": f"run-of-{name}",
        "site": SITE,
        "zone": "hsinchu-a",
        "callers": Endpoint("127.0.0.1", 1),
        "operators": Endpoint("127.0.0.1", 2),
        "peers": Endpoint("127.0.0.1", 3),
    }
    return HostRecord(**{**values, **changes})


def make_roster(*names: str) -> Roster:
    return Roster(hosts={name: make_host(name) for name in names})


def make_runner(name: str, **changes: Any) -> Runner:
    values: dict[str, Any] = {
        "name": name,
        "service": SERVICE,
        "site": SITE,
        "zone": "hsinchu-a",
        "address": "127.0.0.1",
        "port": 1,
    }
    return Runner(**{**values, **changes})


def make_view(
    *,
    engines: int = 3,
    zones: tuple[str, ...] = ("hsinchu-a",),
    bound: BoundSettings | None = None,
    queue: QueueSettings | None = None,
) -> FleetView:
    runners = [
        make_runner(f"engine-{index}", zone=zones[index % len(zones)]) for index in range(engines)
    ]
    return make_view_of(runners, bound=bound, queue=queue)


def make_view_of(
    runners: list[Runner],
    *,
    bound: BoundSettings | None = None,
    queue: QueueSettings | None = None,
) -> FleetView:
    overlay = ServiceOverlay(
        kind=ServiceKind.MODEL,
        models=[MODEL],
        bound=bound or BoundSettings(),
        queue=queue or QueueSettings(),
    )
    configuration = merge_documents(
        Base(sites={SITE: SiteEntry(firm="hsinchu")}),
        [Overlay(site=SITE, hint_key="a-hint-key-for-tests", services={SERVICE: overlay})],
        generation=1,
    ).unwrap()
    return build_view(
        configuration, make_roster("host-1"), {runner.name: runner for runner in runners}
    )


def make_admission_request(request_id: str, *, chat: int = 0, **changes: Any) -> AdmissionRequest:
    values: dict[str, Any] = {
        "id": request_id,
        "pool": POOL,
        "account": AccountShare(name="union-desk"),
        "chat": chat or hash_text(request_id),
        "model": MODEL,
        "prompt_tokens": 0,
        "answer_tokens": 100,
        "holder": "host-1/run-of-host-1",
    }
    return AdmissionRequest(**{**values, **changes})


class Replies:
    """Collects the replies of a home."""

    def __init__(self) -> None:
        self.all: list[Grant | AdmissionRefusal] = []

    def __call__(self, reply: Grant | AdmissionRefusal) -> None:
        self.all.append(reply)

    @property
    def grants(self) -> list[Grant]:
        return [reply for reply in self.all if isinstance(reply, Grant)]

    @property
    def refusals(self) -> list[AdmissionRefusal]:
        return [reply for reply in self.all if isinstance(reply, AdmissionRefusal)]


class FakeClock:
    """A clock that changes only when a test sets ``now``."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now
