"""Property tests of the load bound over random sequences of admissions and releases."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from cherrylane.configuration.documents import BoundSettings
from cherrylane.limits.choice import Candidate, choose_engine
from cherrylane.limits.ledger import Ledger, LoadTotals
from cherrylane.limits.work import Grant, estimate_work
from tests.builders import POOL, make_admission_request

TOLERANCE = 1e-6
weights = st.lists(st.sampled_from([0.5, 1.0, 2.0]), min_size=1, max_size=7)
operation_lists = st.lists(
    st.tuples(st.booleans(), st.integers(1, 2000), st.integers(0, 30)), min_size=1, max_size=80
)


def make_ledger(engine_weights: list[float], multiple: float) -> Ledger:
    ledger = Ledger(bound=BoundSettings(load_multiple=multiple, capacity_tokens=1e9))
    ledger.set_engines({f"e{index}": weight for index, weight in enumerate(engine_weights)})
    return ledger


def admit(ledger: Ledger, number: int, answer_tokens: int, first: int) -> Grant | None:
    """Admit one request that prefers engine ``first``, then the others in a fixed order."""
    request = make_admission_request(f"ask-{number}", answer_tokens=answer_tokens)
    names = sorted(ledger.engines)
    order = names[first % len(names) :] + names[: first % len(names)]
    choice = choose_engine(ledger, request, [Candidate(name) for name in order])
    if choice is None:
        return None
    grant = Grant(request.id, request.holder, POOL, choice.engine, "account", choice.work)
    ledger.add(grant)
    return grant


class LedgerTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(weights, st.sampled_from([1.1, 1.25, 1.5]), operation_lists)
    def test_the_bound_holds_at_every_admission_where_any_engine_could_keep_it(
        self, engine_weights: list[float], multiple: float, operations: list[tuple[bool, int, int]]
    ) -> None:
        ledger = make_ledger(engine_weights, multiple)
        running: list[Grant] = []
        for number, (is_release, tokens, first) in enumerate(operations):
            if is_release and running:
                ledger.remove(running.pop(first % len(running)).id)
                continue
            before = {name: engine.load for name, engine in ledger.engines.items()}
            grant = admit(ledger, number, tokens, first)
            assert grant is not None
            running.append(grant)
            self.check_admission(ledger, grant, before, multiple)
            self.check_sums(ledger, running)

    def check_admission(
        self, ledger: Ledger, grant: Grant, before: dict[str, float], multiple: float
    ) -> None:
        mean = ledger.load / ledger.weight
        chosen = ledger.engines[grant.engine]
        if chosen.load / chosen.weight <= multiple * mean + TOLERANCE:
            return
        for name, engine in ledger.engines.items():
            other = (before[name] + grant.work) / engine.weight
            self.assertTrue(
                other >= chosen.load / chosen.weight - TOLERANCE, f"{name} had a lower load"
            )

    def check_sums(self, ledger: Ledger, running: list[Grant]) -> None:
        self.assertAlmostEqual(sum(grant.work for grant in running), ledger.load, places=3)
        for name, engine in ledger.engines.items():
            own = sum(grant.work for grant in running if grant.engine == name)
            self.assertAlmostEqual(own, engine.load, places=3)

    def test_stale_loads_break_the_bound_and_exact_loads_keep_it(self) -> None:
        """Compares the ledger with the baseline, where load reports are one second old.

        With stale reports routers send work to engines that others have filled meanwhile.
        """
        exact = make_ledger([1.0] * 5, 1.25)
        stale = make_ledger([1.0] * 5, 1.25)
        true_loads = dict.fromkeys(stale.engines, 0.0)
        stale_ratios: list[float] = []
        for number in range(200):
            admit(exact, number, 100, first=number % 2)
            request = make_admission_request(f"ask-{number}")
            order = [Candidate(f"e{(number % 2 + step) % 5}") for step in range(5)]
            choice = choose_engine(stale, request, order)
            assert choice is not None
            true_loads[choice.engine] += estimate_work(request, None)
            if number % 50 == 49:
                stale_ratios.append(max_over_mean(list(true_loads.values())))
                self.report(stale, true_loads, number)
        self.assertTrue(stale_ratios[-2] > 1.25, str(stale_ratios))
        loads = [engine.load for engine in exact.engines.values()]
        self.assertTrue(max_over_mean(loads) <= 1.25 + TOLERANCE, str(loads))

    def report(self, stale: Ledger, true_loads: dict[str, float], number: int) -> None:
        for grant_id in list(stale.grants):
            stale.remove(grant_id)
        for name, load in true_loads.items():
            stale.add(Grant(f"{name}-{number}", "h", POOL, name, "account", load))

    def test_load_of_other_pools_counts_less_a_margin(self) -> None:
        ledger = make_ledger([1.0, 1.0], 1.5)
        ledger.other_pools = LoadTotals(load=1000.0, weight=8.0)
        engine = ledger.engines["e0"]
        expected = 1.5 * (1 - ledger.bound.estimate_margin) * (950.0 + 50.0) / 10.0
        self.assertAlmostEqual(expected, ledger.limit_of(engine, 50.0))

    def test_an_idle_engine_takes_a_request_of_any_size(self) -> None:
        ledger = make_ledger([1.0], 1.5)
        ledger.bound = BoundSettings(capacity_tokens=10.0)
        self.assertIsNotNone(admit(ledger, 1, 500, 0))
        self.assertIsNone(admit(ledger, 2, 1, 0))


def max_over_mean(loads: list[float]) -> float:
    return max(loads) / (sum(loads) / len(loads))
