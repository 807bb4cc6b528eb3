from testtools import TestCase

from cherrylane.configuration.documents import BoundSettings, Priority, QueueSettings
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, GrantOutcome
from cherrylane.routing.view import FleetView
from tests.builders import POOL, SERVICE, FakeClock, Replies, make_admission_request, make_view

OWN = "host-1/run-of-host-1"


def make_home(view: FleetView, clock: FakeClock, *, awaited: tuple[str, ...] = ()) -> PoolHome:
    return PoolHome(
        POOL,
        view.services[SERVICE],
        awaited_holders=awaited,
        takeover_s=3.0,
        may_admit=lambda: True,
        clock=clock,
    )


class PoolHomeTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = FakeClock()
        self.replies = Replies()

    def test_a_returning_chat_goes_to_the_engine_that_served_it(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_admission_request("a", chat=7, prompt_tokens=300), self.replies)
        home.release("a")
        home.submit(make_admission_request("b", chat=7, prompt_tokens=350), self.replies)
        first, second = self.replies.grants
        self.assertEqual(first.engine, second.engine)
        self.assertEqual(300, second.cached_tokens)

    def test_a_chat_returns_to_a_cached_engine_once_its_grant_is_released(self) -> None:
        """Until then the grant counts as load, and the bound sends the chat to an idle engine."""
        home = make_home(make_view(), self.clock)
        home.submit(make_admission_request("a", chat=7, prompt_tokens=300), self.replies)
        home.submit(make_admission_request("b", chat=7, prompt_tokens=300), self.replies)
        home.release("b")
        home.release("a")
        home.submit(make_admission_request("c", chat=7, prompt_tokens=350), self.replies)
        first, second, third = self.replies.grants
        self.assertNotEqual(first.engine, second.engine)
        self.assertIn(third.engine, (first.engine, second.engine))
        self.assertEqual([0, 0, 300], [grant.cached_tokens for grant in self.replies.grants])

    def test_no_engine_exceeds_the_bound_while_another_would_not(self) -> None:
        view = make_view(engines=5, bound=BoundSettings(load_multiple=1.25))
        home = make_home(view, self.clock)
        for index in range(400):
            home.submit(make_admission_request(f"ask-{index}", chat=index % 3), self.replies)
        loads = home.loads().values()
        self.assertTrue(max(loads) <= 1.25 * sum(loads) / 5, loads)

    def test_engines_stand_in_the_order_of_the_list(self) -> None:
        """Idle engines were tried in the order of a set, which differs between processes."""
        view = make_view(engines=12)
        loads = make_home(view, self.clock).loads()
        self.assertEqual(list(view.services[SERVICE].get_pool_runners(POOL)), list(loads))

    def test_requests_wait_for_capacity_until_their_wait_expires(self) -> None:
        view = make_view(engines=1, bound=BoundSettings(capacity_tokens=100.0))
        home = make_home(view, self.clock)
        home.submit(make_admission_request("a"), self.replies)
        home.submit(make_admission_request("b", wait_s=5.0), self.replies)
        home.submit(make_admission_request("c", wait_s=5.0), self.replies)
        self.assertEqual(1, len(self.replies.all))
        home.release("a")
        self.assertEqual(["a", "b"], [grant.id for grant in self.replies.grants])
        self.clock.now += 5.0
        home.tick()
        self.assertEqual(["c"], [refusal.id for refusal in self.replies.refusals])
        self.assertTrue(self.replies.refusals[0].retry_after_s > 0)

    def test_a_burst_from_one_account_evicts_only_its_own_requests(self) -> None:
        view = make_view(
            engines=1,
            bound=BoundSettings(capacity_tokens=100.0),
            queue=QueueSettings(max_waiting=10),
        )
        home = make_home(view, self.clock)
        for index in range(50):
            home.submit(make_admission_request(f"surge-{index}"), self.replies)
        other_replies = Replies()
        home.submit(
            make_admission_request("modest", account=AccountShare(name="modest")), other_replies
        )
        self.assertEqual([], other_replies.all)
        home.release("surge-0")
        self.assertEqual(["modest"], [grant.id for grant in other_replies.grants])
        refused = {refusal.id for refusal in self.replies.refusals}
        self.assertEqual(40, len(refused))

    # Guards against requests without a reply when a host's old link ends after its new one began.
    def test_the_end_of_a_link_drops_only_the_requests_that_came_by_it(self) -> None:
        view = make_view(engines=1, bound=BoundSettings(capacity_tokens=100.0))
        home = make_home(view, self.clock)
        old_link, new_link = Replies(), Replies()
        home.submit(make_admission_request("running"), self.replies)
        home.submit(make_admission_request("by-old"), old_link)
        home.submit(make_admission_request("by-new"), new_link)
        home.drop_waiters(old_link)
        home.release("running")
        self.assertEqual([], old_link.all)
        self.assertEqual(["by-new"], [grant.id for grant in new_link.grants])

    def test_interactive_requests_precede_batch_requests(self) -> None:
        view = make_view(engines=1, bound=BoundSettings(capacity_tokens=100.0))
        home = make_home(view, self.clock)
        batch = AccountShare(name="night", priority=Priority.BATCH)
        home.submit(make_admission_request("running"), self.replies)
        home.submit(make_admission_request("batch", account=batch), self.replies)
        home.submit(make_admission_request("interactive"), self.replies)
        home.release("running")
        self.assertEqual(["running", "interactive"], [grant.id for grant in self.replies.grants])

    def test_a_new_home_admits_only_after_all_hosts_have_reported(self) -> None:
        home = make_home(make_view(), self.clock, awaited=(OWN, "host-2/x"))
        home.submit(make_admission_request("a"), self.replies)
        home.replace_holdings(OWN, [])
        self.assertEqual([], self.replies.all)
        home.replace_holdings("host-2/x", [])
        self.assertEqual(["a"], [grant.id for grant in self.replies.grants])

    def test_a_new_home_stops_waiting_for_a_silent_host_after_the_takeover_time(self) -> None:
        home = make_home(make_view(), self.clock, awaited=("host-2/x",))
        home.submit(make_admission_request("a"), self.replies)
        self.clock.now += 3.0
        home.tick()
        self.assertEqual(["a"], [grant.id for grant in self.replies.grants])

    def test_reported_holdings_replace_the_counted_grants(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_admission_request("a"), self.replies)
        home.replace_holdings("host-2/x", self.replies.grants)
        self.assertEqual(100.0, sum(home.loads().values()))
        home.replace_holdings(OWN, [])
        self.assertEqual(0.0, sum(home.loads().values()))

    def test_the_load_of_a_host_that_left_is_released(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_admission_request("a"), self.replies)
        home.drop_holder(OWN)
        self.assertEqual(0.0, sum(home.loads().values()))

    def test_nothing_is_admitted_without_a_lease(self) -> None:
        home = PoolHome(
            POOL,
            make_view().services[SERVICE],
            awaited_holders=(),
            takeover_s=3.0,
            may_admit=lambda: False,
            clock=self.clock,
        )
        home.submit(make_admission_request("a"), self.replies)
        self.assertEqual([], self.replies.all)
        home.close()
        self.assertEqual("home_moved", self.replies.refusals[0].code)

    def test_a_request_that_excludes_every_engine_is_refused_at_once(self) -> None:
        home = make_home(make_view(engines=2), self.clock)
        home.submit(make_admission_request("a", excluded=("engine-0", "engine-1")), self.replies)
        self.assertEqual("no_engine", self.replies.refusals[0].code)

    def test_a_hint_counts_until_the_cache_has_been_seen_to_overflow(self) -> None:
        """Guards against outdated hints that send chats to engines which have evicted them."""
        home = make_home(make_view(), self.clock)
        home.submit(
            make_admission_request("a", chat=7, prompt_tokens=300, hinted="engine-2"), self.replies
        )
        self.assertEqual("engine-2", self.replies.grants[0].engine)
        home.release("a")
        home.submit(make_admission_request("b", chat=7, prompt_tokens=300), self.replies)
        home.release("b", GrantOutcome(found_tokens=0))
        home.submit(make_admission_request("c", chat=8, prompt_tokens=300), self.replies)
        home.submit(
            make_admission_request("d", chat=9, prompt_tokens=300, hinted="engine-2"), self.replies
        )
        self.assertNotEqual("returning", self.replies.grants[-1].reason)

    def test_among_equally_loaded_engines_the_callers_zone_comes_first(self) -> None:
        view = make_view(engines=4, zones=("hsinchu-a", "taoyuan-b", "taipei-c", "keelung-d"))
        home = make_home(view, self.clock)
        home.submit(make_admission_request("a", zone="taipei-c"), self.replies)
        self.assertEqual("engine-2", self.replies.grants[0].engine)

    def test_an_unreachable_engine_gets_no_requests_while_ejected(self) -> None:
        home = make_home(make_view(engines=4), self.clock)
        home.submit(make_admission_request("a"), self.replies)
        ejected = self.replies.grants[0].engine
        home.release("a", GrantOutcome(unreachable=True))
        for index in range(30):
            home.submit(make_admission_request(f"ask-{index}"), self.replies)
        self.assertNotIn(ejected, {grant.engine for grant in self.replies.grants[1:]})
        self.clock.now += 60.0
        home.tick()
        home.submit(make_admission_request("later"), self.replies)
        self.assertEqual(ejected, self.replies.grants[-1].engine)
