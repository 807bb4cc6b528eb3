from result import Err, Ok, Result
from testtools import TestCase

from cherrylane.configuration.documents import BoundSettings
from cherrylane.delivery.pools import MAX_POOLS, rank_pools, request_grant
from cherrylane.limits.work import AdmissionRefusal, AdmissionRequest, Grant
from cherrylane.routing.view import ServiceView
from tests.builders import SERVICE, make_admission_request, make_runner, make_view, make_view_of


class AskPoolsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        view = make_view(engines=24, bound=BoundSettings(pools=8))
        self.service: ServiceView = view.services[SERVICE]
        self.requests: list[AdmissionRequest] = []

    def refuse_with(self, loads: list[float]) -> Result[Grant, AdmissionRefusal]:
        """Request a grant from pools that all refuse and report ``loads``, in the order tried."""

        def admit(request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
            self.requests.append(request)
            if request.may_exceed_bound:
                return Ok(Grant(request.id, request.holder, request.pool, "e", "a", 1.0))
            load = loads[len(self.requests) - 1]
            return Err(AdmissionRefusal(request.id, "over_bound", "", 0.0, least_load=load))

        return request_grant(make_admission_request("a", chat=5), self.service, admit)

    def test_the_pool_of_the_hinted_engine_is_first(self) -> None:
        for engine in self.service.runners:
            pools = list(
                rank_pools(self.service, make_admission_request("a", chat=5, hinted=engine))
            )
            self.assertEqual(self.service.pools[engine], pools[0])
            self.assertTrue(len(pools) <= MAX_POOLS)

    def test_a_hint_of_an_unknown_engine_is_ignored(self) -> None:
        unhinted = list(rank_pools(self.service, make_admission_request("a", chat=5)))
        hinted = list(rank_pools(self.service, make_admission_request("a", chat=5, hinted="gone")))
        self.assertEqual(unhinted, hinted)

    def test_a_hint_of_an_excluded_engine_is_ignored(self) -> None:
        unhinted = list(rank_pools(self.service, make_admission_request("a", chat=5)))
        for engine in self.service.runners:
            request = make_admission_request("a", chat=5, hinted=engine, excluded=(engine,))
            self.assertEqual(unhinted, list(rank_pools(self.service, request)))

    def test_pools_without_the_model_are_skipped(self) -> None:
        request = make_admission_request("a", chat=5, model="another-model")
        runners = [make_runner("engine-0", models=("another-model",)), make_runner("engine-1")]
        view = make_view_of(runners, bound=BoundSettings(pools=64))
        service = view.services[SERVICE]
        self.assertEqual(2, len(list(rank_pools(service, request))))
        request = make_admission_request("a", chat=5, model="drafting-8b")
        self.assertEqual([service.pools["engine-1"]], list(rank_pools(service, request)))

    def test_when_all_pools_refuse_the_least_loaded_one_is_tried_again(self) -> None:
        result = self.refuse_with([300.0, 100.0, 200.0])
        self.assertEqual(self.requests[1].pool, result.unwrap().pool)
        self.assertEqual(
            [False, False, False, True], [request.may_wait for request in self.requests]
        )

    def test_a_single_pool_is_tried_once_and_may_queue_the_request(self) -> None:
        def admit(request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
            self.requests.append(request)
            return Err(AdmissionRefusal(request.id, "overloaded", "", 1.0))

        request_grant(make_admission_request("a"), make_view().services[SERVICE], admit)
        self.assertEqual([True], [request.may_wait for request in self.requests])
