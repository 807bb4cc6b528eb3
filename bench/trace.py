"""Seeded traces of chat requests, and of engines that are added and removed."""

from enum import Enum

import numpy as np
from attrs import field, frozen

TOKEN_S = 0.029
MAX_PREFIX_TOKENS = 32_000
GROWTH_TOKENS_PER_TURN = 300
MAX_TURNS = 20
MIN_TOKENS = 16.0
MIN_PAUSE_S = 5.0
PAUSE_SIGMA = 1.0


@frozen
class Workload:
    """Parameters of a trace.

    ``return_rate_sigma`` is the sigma of the lognormal distribution of the chats' return rates, by
    which some chats return far more often than others.
    ``concurrency`` is the mean number of requests that run on an engine at once. ``views`` is the
    number of separately delayed engine lists.
    """

    name: str
    engines: int
    views: int
    chats: int
    duration_s: float
    concurrency: float = 16.0
    return_rate_sigma: float = 0.8
    prefix_tokens: float = 4000.0
    prefix_sigma: float = 0.6
    answer_tokens: float = 250.0
    answer_sigma: float = 0.5
    cached_chats: float = 450.0
    replace_every_s: float = 60.0
    flap_every_s: float = 0.0
    batch_share: float = 0.0
    pools: int = 1
    seed: int = 7

    @property
    def cache_tokens(self) -> float:
        """Number of prefix tokens that one engine's cache holds."""
        return self.cached_chats * self.prefix_tokens

    @property
    def answer_s(self) -> float:
        """Mean duration of an answer in seconds."""
        return self.answer_tokens * TOKEN_S

    @property
    def requests_per_s(self) -> float:
        """Chat requests per second, without batch requests."""
        return self.engines * self.concurrency / self.answer_s


class EngineChange(Enum):
    """How the engine of a slot changes."""

    REPLACED = "replaced"
    LEFT = "left"
    RETURNED = "returned"


@frozen
class Arrival:
    """A request of a chat, with the lengths of its prefix so far and of its answer in tokens."""

    time_s: float
    chat: int
    view: int
    prefix_tokens: int
    answer_tokens: int
    returning: bool
    batch: bool = False


@frozen
class Churn:
    """A slot's engine is replaced, leaves, or returns; a new or returned one has an empty cache."""

    time_s: float
    slot: int
    change: EngineChange


@frozen
class Trace:
    """All events of a replay, in order of time."""

    workload: Workload
    events: list[Arrival | Churn] = field(repr=False)


def make_trace(workload: Workload) -> Trace:
    """Return the trace of ``workload``; the same seed gives the same trace."""
    random = np.random.default_rng(workload.seed)
    events: list[Arrival | Churn] = [*_make_arrivals(workload, random)]
    events += _make_batch(workload, random)
    events += _make_churn(workload, random)
    events.sort(key=lambda event: event.time_s)
    return Trace(workload, events)


def _make_arrivals(workload: Workload, random: np.random.Generator) -> list[Arrival]:
    """Return the requests of chats that each repeat request, answer and pause.

    Each pass of the loop computes one turn of all chats.
    """
    shares = random.lognormal(0.0, workload.return_rate_sigma, workload.chats)
    shares /= shares.mean()
    mean_cycle_s = workload.chats / workload.requests_per_s
    pauses = np.maximum(mean_cycle_s / shares - workload.answer_s, MIN_PAUSE_S)
    prefixes = _lognormal(random, workload.prefix_tokens, workload.prefix_sigma, workload.chats)
    times = random.uniform(0.0, mean_cycle_s / shares)
    arrivals: list[Arrival] = []
    turn = 0
    while np.any(times < workload.duration_s):
        answers = _lognormal(random, workload.answer_tokens, workload.answer_sigma, workload.chats)
        views = random.integers(0, workload.views, workload.chats)
        prefix_lengths = np.minimum(prefixes + GROWTH_TOKENS_PER_TURN * turn, MAX_PREFIX_TOKENS)
        for chat in np.flatnonzero(times < workload.duration_s):
            arrivals.append(
                Arrival(
                    time_s=float(times[chat]),
                    chat=int(chat),
                    view=int(views[chat]),
                    prefix_tokens=int(prefix_lengths[chat]),
                    answer_tokens=int(answers[chat]),
                    returning=turn > 0,
                )
            )
        pause_factors = random.lognormal(-(PAUSE_SIGMA**2) / 2, PAUSE_SIGMA, workload.chats)
        times = times + answers * TOKEN_S + pause_factors * pauses
        turn = min(turn + 1, MAX_TURNS)
    return arrivals


def _make_batch(workload: Workload, random: np.random.Generator) -> list[Arrival]:
    """Return batch requests, whose prompts occur only once."""
    count = int(workload.batch_share * workload.requests_per_s * workload.duration_s)
    times = random.uniform(0.0, workload.duration_s, count)
    prefixes = _lognormal(random, workload.prefix_tokens, workload.prefix_sigma, count)
    answers = _lognormal(random, workload.answer_tokens, workload.answer_sigma, count)
    return [
        Arrival(
            time_s=float(times[index]),
            chat=workload.chats + index,
            view=index % workload.views,
            prefix_tokens=int(min(prefixes[index], MAX_PREFIX_TOKENS)),
            answer_tokens=int(answers[index]),
            returning=False,
            batch=True,
        )
        for index in range(count)
    ]


def _make_churn(workload: Workload, random: np.random.Generator) -> list[Churn]:
    churn: list[Churn] = []
    if workload.replace_every_s:
        for time_s in np.arange(
            workload.replace_every_s, workload.duration_s, workload.replace_every_s
        ):
            slot = int(random.integers(workload.engines))
            churn.append(Churn(float(time_s), slot, EngineChange.REPLACED))
    if workload.flap_every_s:
        slot = int(random.integers(workload.engines))
        for time_s in np.arange(workload.flap_every_s, workload.duration_s, workload.flap_every_s):
            churn.append(Churn(float(time_s), slot, EngineChange.LEFT))
            churn.append(Churn(float(time_s) + 2.0, slot, EngineChange.RETURNED))
    return churn


def _lognormal(
    random: np.random.Generator, mean: float, sigma: float, count: int
) -> "np.ndarray[tuple[int], np.dtype[np.float64]]":
    values = random.lognormal(np.log(mean) - sigma**2 / 2, sigma, count)
    return np.maximum(values, MIN_TOKENS)
