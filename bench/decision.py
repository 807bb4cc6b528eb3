"""Duration of a routing decision with 10,000 engines; memory per engine, chat and account."""

import tracemalloc
from collections.abc import Callable
from time import perf_counter

from result import Err, Ok, Result

from bench.figures import Figure, Target
from bench.services import SERVICE, make_service
from cherrylane.configuration.documents import (
    Base,
    BoundSettings,
    ClientAccount,
    Overlay,
    QueueSettings,
    SiteEntry,
)
from cherrylane.configuration.merging import merge_documents
from cherrylane.delivery.pools import request_grant
from cherrylane.limits.caches import CacheTracker
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, AdmissionRefusal, AdmissionRequest, Grant
from cherrylane.membership.runners import Runner
from cherrylane.routing.homes import PoolKey, find_pool
from cherrylane.routing.rendezvous import hash_text
from cherrylane.routing.view import ServiceView
from cherrylane.telemetry.metrics import DurationHistogram

ENGINES = 10_000
POOLS = 1_700
DECISIONS = 5_000
CONCURRENT_GRANTS = 60
ACCOUNTS = 47_000
MEDIAN_TARGET = Target(50.0)
P99_TARGET = Target(200.0)
MEMORY_TARGET = Target(64.0)
MICROSECONDS = 1e6
MEGABYTE = 1e6


class DecisionBench:
    """One service's view, with one home that decides for every pool.

    In a fleet each home runs on its own host. A process that held all homes would measure the
    cost of its memory instead of a decision.
    """

    def __init__(self, engines: int, pools: int) -> None:
        bound = BoundSettings(pools=pools, capacity_tokens=1e12)
        self.service = make_view(engines, bound)
        self._home = make_home(self.service.pools["engine-0"], self.service)

    def decide(self, number: int, hinted: str = "") -> Grant | None:
        """Decide one request as an entry host and a home do; return None if it is refused."""
        request = AdmissionRequest(
            id=str(number),
            pool=PoolKey(SERVICE, 0),
            account=AccountShare(name="account", max_concurrent=10**9),
            chat=hash_text(f"chat-{number}"),
            model="",
            prompt_tokens=4000,
            answer_tokens=250,
            holder="host",
            hinted=hinted,
        )
        result = request_grant(request, self.service, self._admit)
        return result.ok_value if isinstance(result, Ok) else None

    def release(self, grant: Grant) -> None:
        """Release a grant."""
        self._home.release(grant.id)

    def _admit(self, request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
        replies: list[Grant | AdmissionRefusal] = []
        self._home.submit(request, replies.append)
        match replies[0]:
            case Grant() as grant:
                return Ok(grant)
            case AdmissionRefusal() as refusal:
                return Err(refusal)


def make_view(engines: int, bound: BoundSettings) -> ServiceView:
    """Return the view of a service with ``engines`` engines."""
    runners = {
        f"engine-{index}": Runner(
            name=f"engine-{index}", service=SERVICE, site="s", zone="z", address="-", port=1
        )
        for index in range(engines)
    }
    pools = {name: find_pool(SERVICE, name, bound.pools) for name in runners}
    entry = make_service(bound, QueueSettings())
    return ServiceView(entry=entry, runners=runners, pools=pools, homes={})


def make_home(pool: PoolKey, service: ServiceView) -> PoolHome:
    """Return a home that may admit requests at once, without a takeover period."""
    return PoolHome(pool, service, awaited_holders=(), takeover_s=0.0, may_admit=lambda: True)


def measure_decision() -> list[Figure]:
    """Measure decision times, and the memory per engine, chat and account."""
    large_fleet = DecisionBench(ENGINES, POOLS)
    time_decisions(large_fleet, returning=True)
    new_chats = time_decisions(large_fleet)
    returning = time_decisions(large_fleet, returning=True)
    small = time_decisions(DecisionBench(6, 1))
    plain = time_plain_scoring()
    per_engine = (
        measure_retained_bytes(lambda: make_view(ENGINES, BoundSettings(pools=POOLS))) / ENGINES
    )
    per_chat = measure_retained_bytes(lambda: fill_caches(20_000)) / 20_000
    accounts = measure_retained_bytes(lambda: make_accounts(ACCOUNTS))
    name = f"decision, {ENGINES} engines"
    return [
        Figure(
            f"{name}: median",
            new_chats.quantile(50.0) * MICROSECONDS,
            "us",
            "score all in Python",
            plain * MICROSECONDS,
            MEDIAN_TARGET,
        ),
        Figure(f"{name}: 99th", new_chats.quantile(99.0) * MICROSECONDS, "us", target=P99_TARGET),
        Figure(
            f"{name}, returning to its home: median",
            returning.quantile(50.0) * MICROSECONDS,
            "us",
            target=MEDIAN_TARGET,
        ),
        Figure(
            f"{name}, returning to its home: 99th",
            returning.quantile(99.0) * MICROSECONDS,
            "us",
            target=P99_TARGET,
        ),
        Figure("decision, 6 engines: median", small.quantile(50.0) * MICROSECONDS, "us"),
        Figure("decision, 6 engines: 99th", small.quantile(99.0) * MICROSECONDS, "us"),
        Figure("memory: an engine in a view", per_engine, "bytes"),
        Figure("memory: a chat at its home", per_chat, "bytes"),
        Figure("memory: a client account", accounts / ACCOUNTS, "bytes"),
        Figure(f"memory: {ACCOUNTS} accounts", accounts / MEGABYTE, "MB", target=MEMORY_TARGET),
    ]


def time_decisions(bench: DecisionBench, *, returning: bool = False) -> DurationHistogram:
    """Return the durations of decisions, while up to ``CONCURRENT_GRANTS`` grants are held.

    A ``returning`` chat sends back the hint of its last answer, and its caller has been directed
    to the host that is the home of the engine's pool, so all these requests reach one home.
    """
    times = DurationHistogram()
    runners_at_home = list(bench.service.get_pool_runners(bench.service.pools["engine-0"]))
    running: list[Grant] = []
    for number in range(DECISIONS):
        hinted = runners_at_home[number % len(runners_at_home)] if returning else ""
        started = perf_counter()
        grant = bench.decide(number, hinted)
        times.record(perf_counter() - started)
        if grant is not None:
            running.append(grant)
        if len(running) > CONCURRENT_GRANTS:
            bench.release(running.pop(0))
    return times


def time_plain_scoring() -> float:
    """Return the seconds that a Python loop takes to score every engine for one chat."""
    names = [f"engine-{index}" for index in range(ENGINES)]
    started = perf_counter()
    max(names, key=lambda name: hash_text(f"chat{name}"))
    return perf_counter() - started


def fill_caches(chats: int) -> CacheTracker:
    """Return a home's cache tracker with ``chats`` chats on six engines."""
    tracker = CacheTracker(entry_limit=chats)
    for number in range(chats):
        tracker.use(hash_text(str(number)), f"engine-{number % 6}", tokens=4000)
    return tracker


def make_accounts(count: int) -> object:
    """Return a configuration with ``count`` client accounts, merged as a daemon holds it."""
    accounts = [
        ClientAccount(name=f"account-{number}", key_sha256=f"{number:064x}")
        for number in range(count)
    ]
    overlay = Overlay(site="s", hint_key="a-hint-key-for-bench", accounts=accounts)
    base = Base(sites={"s": SiteEntry(firm="f")})
    return merge_documents(base, [overlay], generation=1).unwrap()


def measure_retained_bytes(make: Callable[[], object]) -> float:
    """Return the traced bytes that are allocated while the result of ``make`` is alive."""
    tracemalloc.start()
    retained = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(size)
