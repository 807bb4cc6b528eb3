"""What a surging account does to the others, beside a queue that is first come first served."""

from collections import deque

import numpy as np
from attrs import define, field, frozen

from bench.decision import make_view
from bench.figures import Figure, Target
from bench.services import SERVICE
from bench.stream_load import percentile
from cherrylane.configuration.documents import BoundSettings
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, Ask, Busy, Grant
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.rendezvous import hash_text

ENGINES = 4
WORK = 100
SLOTS = ENGINES * 10
SERVICE_S = 5.0
DURATION_S = 300.0
STEP_S = 0.05
MODEST = tuple(f"modest-{number}" for number in range(9))
MODEST_SHARE = 0.5
SURGE = 5.0
NO_REFUSAL = Target(0.0)
WAIT = Target(0.72)


@frozen
class Call:
    """One request of an account."""

    time_s: float
    account: str
    number: int


@define
class Seen:
    """What modest accounts saw."""

    waits: list[float] = field(factory=list)
    refused: int = 0


def measure_fairness() -> list[Figure]:
    """Modest accounts' waits without and with a surge, and with a plain queue."""
    calm = replay_pool(make_calls(0.0))
    surge = replay_pool(make_calls(SURGE))
    plain = replay_plain(make_calls(SURGE))
    return [
        Figure(
            "fairness: modest accounts' wait in a surge, 95th",
            percentile(surge.waits),
            "s",
            "first come first served",
            percentile(plain.waits),
            WAIT,
        ),
        Figure(
            "fairness: modest accounts' wait without a surge, 95th", percentile(calm.waits), "s"
        ),
        Figure(
            "fairness: modest accounts refused in a surge",
            surge.refused,
            "requests",
            "first come first served",
            plain.refused,
            NO_REFUSAL,
        ),
    ]


def make_calls(surge: float) -> list[Call]:
    """Return calls: modest accounts use half of the capacity, one more asks for ``surge`` of it."""
    random = np.random.default_rng(11)
    capacity = SLOTS / SERVICE_S
    rates = dict.fromkeys(MODEST, MODEST_SHARE * capacity / len(MODEST))
    rates["surging"] = surge * capacity
    calls: list[Call] = []
    for account, rate in rates.items():
        for time_s in random.uniform(0.0, DURATION_S, int(rate * DURATION_S)):
            calls.append(Call(float(time_s), account, len(calls)))
    return sorted(calls, key=lambda call: call.time_s)


def replay_pool(calls: list[Call]) -> Seen:
    """Return what modest accounts see through a :class:`PoolHome`."""
    clock = [0.0]
    bound = BoundSettings(load_multiple=4.0, capacity_tokens=SLOTS / ENGINES * WORK)
    pool = PoolKey(SERVICE, 0)
    home = PoolHome(
        pool,
        make_view(ENGINES, bound),
        awaited_holders=(),
        takeover_s=0.0,
        may_admit=lambda: True,
        clock=lambda: clock[0],
    )
    seen = Seen()
    ends: deque[tuple[float, str]] = deque()

    def submit(call: Call) -> None:
        def reply(answer: Grant | Busy) -> None:
            if isinstance(answer, Grant):
                ends.append((clock[0] + SERVICE_S, answer.id))
            if call.account != "surging":
                note(seen, call, clock[0], granted=isinstance(answer, Grant))

        home.submit(make_ask(call, pool), reply)

    waiting = deque(calls)
    while clock[0] < DURATION_S:
        clock[0] += STEP_S
        while ends and ends[0][0] <= clock[0]:
            home.release(ends.popleft()[1])
        while waiting and waiting[0].time_s <= clock[0]:
            submit(waiting.popleft())
        home.tick()
    return seen


def replay_plain(calls: list[Call]) -> Seen:
    """Return what modest accounts see in one queue of the same bound, first come first served."""
    seen = Seen()
    queue: deque[Call] = deque()
    ends: deque[float] = deque()
    waiting = deque(calls)
    now = 0.0
    while now < DURATION_S:
        now += STEP_S
        while ends and ends[0] <= now:
            ends.popleft()
        while waiting and waiting[0].time_s <= now:
            call = waiting.popleft()
            if len(queue) < 512:
                queue.append(call)
            elif call.account != "surging":
                note(seen, call, now, granted=False)
        while queue and len(ends) < SLOTS:
            call = queue.popleft()
            ends.append(now + SERVICE_S)
            if call.account != "surging":
                note(seen, call, now, granted=True)
    return seen


def note(seen: Seen, call: Call, now: float, *, granted: bool) -> None:
    """Keep what became of a modest account's call."""
    if granted:
        seen.waits.append(now - call.time_s)
    else:
        seen.refused += 1


def make_ask(call: Call, pool: PoolKey) -> Ask:
    """Return the ask of one call."""
    return Ask(
        id=str(call.number),
        pool=pool,
        account=AccountShare(name=call.account),
        chat=hash_text(str(call.number)),
        model="",
        prompt_tokens=0,
        answer_tokens=WORK,
        holder="host",
    )
