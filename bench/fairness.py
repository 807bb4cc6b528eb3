"""Effect of one account's surge on the others, compared with a first-come, first-served queue."""

from collections import deque

import numpy as np
from attrs import define, field, frozen

from bench.decision import make_view
from bench.figures import Figure, Target
from bench.services import SERVICE
from bench.stream_load import percentile_95
from cherrylane.configuration.documents import BoundSettings
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, AdmissionRefusal, AdmissionRequest, Grant
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.rendezvous import hash_text

ENGINES = 4
ANSWER_TOKENS = 100
SLOTS = ENGINES * 10
SERVICE_S = 5.0
DURATION_S = 300.0
STEP_S = 0.05
MODEST_ACCOUNTS = tuple(f"modest-{number}" for number in range(9))
MODEST_LOAD = 0.5
SURGE_LOAD = 5.0
REFUSAL_TARGET = Target(0.0)
WAIT_TARGET = Target(0.72)


@frozen
class Request:
    """One request of a client account."""

    time_s: float
    account: str
    number: int


@define
class ModestAccountStats:
    """Waits in seconds, and refusals, of the accounts that do not surge."""

    waits: list[float] = field(factory=list)
    refused: int = 0


def measure_fairness() -> list[Figure]:
    """Measure modest accounts' waits without and with a surge, and with a plain queue."""
    without_surge = replay_pool(make_requests(0.0))
    surge = replay_pool(make_requests(SURGE_LOAD))
    plain = replay_first_come(make_requests(SURGE_LOAD))
    return [
        Figure(
            "fairness: modest accounts' wait in a surge, 95th",
            percentile_95(surge.waits),
            "s",
            "first come first served",
            percentile_95(plain.waits),
            WAIT_TARGET,
        ),
        Figure(
            "fairness: modest accounts' wait without a surge, 95th",
            percentile_95(without_surge.waits),
            "s",
        ),
        Figure(
            "fairness: modest accounts refused in a surge",
            surge.refused,
            "requests",
            "first come first served",
            plain.refused,
            REFUSAL_TARGET,
        ),
    ]


def make_requests(surge: float) -> list[Request]:
    """Return requests in order of time.

    The modest accounts together request ``MODEST_LOAD`` times the capacity; one more account
    requests ``surge`` times the capacity.
    """
    random = np.random.default_rng(11)
    capacity = SLOTS / SERVICE_S
    rates = dict.fromkeys(MODEST_ACCOUNTS, MODEST_LOAD * capacity / len(MODEST_ACCOUNTS))
    rates["surging"] = surge * capacity
    requests: list[Request] = []
    for account, rate in rates.items():
        for time_s in random.uniform(0.0, DURATION_S, int(rate * DURATION_S)):
            requests.append(Request(float(time_s), account, len(requests)))
    return sorted(requests, key=lambda request: request.time_s)


def replay_pool(requests: list[Request]) -> ModestAccountStats:
    """Replay requests through a :class:`PoolHome`; return the statistics of modest accounts."""
    clock = [0.0]
    bound = BoundSettings(load_multiple=4.0, capacity_tokens=SLOTS / ENGINES * ANSWER_TOKENS)
    pool = PoolKey(SERVICE, 0)
    home = PoolHome(
        pool,
        make_view(ENGINES, bound),
        awaited_holders=(),
        takeover_s=0.0,
        may_admit=lambda: True,
        clock=lambda: clock[0],
    )
    stats = ModestAccountStats()
    completions: deque[tuple[float, str]] = deque()

    def submit(request: Request) -> None:
        def reply(outcome: Grant | AdmissionRefusal) -> None:
            if isinstance(outcome, Grant):
                completions.append((clock[0] + SERVICE_S, outcome.id))
            if request.account != "surging":
                record_outcome(stats, request, clock[0], granted=isinstance(outcome, Grant))

        home.submit(make_admission_request(request, pool), reply)

    waiting = deque(requests)
    while clock[0] < DURATION_S:
        clock[0] += STEP_S
        while completions and completions[0][0] <= clock[0]:
            home.release(completions.popleft()[1])
        while waiting and waiting[0].time_s <= clock[0]:
            submit(waiting.popleft())
        home.tick()
    return stats


def replay_first_come(requests: list[Request]) -> ModestAccountStats:
    """Replay requests through one first-come, first-served queue with the same bound."""
    stats = ModestAccountStats()
    queue: deque[Request] = deque()
    completions: deque[float] = deque()
    waiting = deque(requests)
    now = 0.0
    while now < DURATION_S:
        now += STEP_S
        while completions and completions[0] <= now:
            completions.popleft()
        while waiting and waiting[0].time_s <= now:
            request = waiting.popleft()
            if len(queue) < 512:
                queue.append(request)
            elif request.account != "surging":
                record_outcome(stats, request, now, granted=False)
        while queue and len(completions) < SLOTS:
            request = queue.popleft()
            completions.append(now + SERVICE_S)
            if request.account != "surging":
                record_outcome(stats, request, now, granted=True)
    return stats


def record_outcome(
    stats: ModestAccountStats, request: Request, now: float, *, granted: bool
) -> None:
    """Record the wait of a modest account's request, or its refusal."""
    if granted:
        stats.waits.append(now - request.time_s)
    else:
        stats.refused += 1


def make_admission_request(request: Request, pool: PoolKey) -> AdmissionRequest:
    """Return the admission request for ``request``."""
    return AdmissionRequest(
        id=str(request.number),
        pool=pool,
        account=AccountShare(name=request.account),
        chat=hash_text(str(request.number)),
        model="",
        prompt_tokens=0,
        answer_tokens=ANSWER_TOKENS,
        holder="host",
    )
