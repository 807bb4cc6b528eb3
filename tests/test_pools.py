from result import Err, Ok, Result
from testtools import TestCase

from cherrylane.configuration.documents import BoundSettings
from cherrylane.delivery.pools import MAX_POOLS, ask_pools, rank_pools
from cherrylane.limits.work import Ask, Busy, Grant
from cherrylane.routing.view import ServiceView
from tests.builders import SERVICE, make_ask, make_runner, make_view, make_view_of


class AskPoolsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        view = make_view(engines=24, bound=BoundSettings(pools=8))
        self.service: ServiceView = view.services[SERVICE]
        self.asked: list[Ask] = []

    def refuse_with(self, loads: list[float]) -> Result[Grant, Busy]:
        """Request a grant from pools that all refuse and report ``loads``, in the order asked."""

        def admit(ask: Ask) -> Result[Grant, Busy]:
            self.asked.append(ask)
            if ask.may_exceed_bound:
                return Ok(Grant(ask.id, ask.holder, ask.pool, "e", "a", 1.0))
            load = loads[len(self.asked) - 1]
            return Err(Busy(ask.id, "over_bound", "", 0.0, least_load=load))

        return ask_pools(make_ask("a", chat=5), self.service, admit)

    def test_the_pool_of_the_hinted_engine_is_first(self) -> None:
        for engine in self.service.runners:
            pools = list(rank_pools(self.service, make_ask("a", chat=5, hinted=engine)))
            self.assertEqual(self.service.pools[engine], pools[0])
            self.assertTrue(len(pools) <= MAX_POOLS)

    def test_a_hint_of_an_unknown_engine_is_ignored(self) -> None:
        unhinted = list(rank_pools(self.service, make_ask("a", chat=5)))
        hinted = list(rank_pools(self.service, make_ask("a", chat=5, hinted="gone")))
        self.assertEqual(unhinted, hinted)

    def test_a_hint_of_an_excluded_engine_is_ignored(self) -> None:
        unhinted = list(rank_pools(self.service, make_ask("a", chat=5)))
        for engine in self.service.runners:
            ask = make_ask("a", chat=5, hinted=engine, excluded=(engine,))
            self.assertEqual(unhinted, list(rank_pools(self.service, ask)))

    def test_pools_without_the_model_are_skipped(self) -> None:
        ask = make_ask("a", chat=5, model="another-model")
        runners = [make_runner("engine-0", models=("another-model",)), make_runner("engine-1")]
        view = make_view_of(runners, bound=BoundSettings(pools=64))
        service = view.services[SERVICE]
        self.assertEqual(2, len(list(rank_pools(service, ask))))
        ask = make_ask("a", chat=5, model="drafting-8b")
        self.assertEqual([service.pools["engine-1"]], list(rank_pools(service, ask)))

    def test_when_all_pools_refuse_the_least_loaded_one_is_asked_again(self) -> None:
        result = self.refuse_with([300.0, 100.0, 200.0])
        self.assertEqual(self.asked[1].pool, result.unwrap().pool)
        self.assertEqual([False, False, False, True], [ask.may_wait for ask in self.asked])

    def test_a_single_pool_is_asked_once_and_may_queue_the_request(self) -> None:
        def admit(ask: Ask) -> Result[Grant, Busy]:
            self.asked.append(ask)
            return Err(Busy(ask.id, "overloaded", "", 1.0))

        ask_pools(make_ask("a"), make_view().services[SERVICE], admit)
        self.assertEqual([True], [ask.may_wait for ask in self.asked])
