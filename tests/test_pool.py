from testtools import TestCase

from cherrylane.configuration.documents import BoundSettings, Priority, QueueSettings
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, GrantOutcome
from cherrylane.routing.view import FleetView
from tests.builders import POOL, SERVICE, FakeClock, Replies, make_ask, make_view

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

    def test_a_returning_chat_goes_where_it_ran(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_ask("a", chat=7, prompt_tokens=300), self.replies)
        home.release("a")
        home.submit(make_ask("b", chat=7, prompt_tokens=350), self.replies)
        first, second = self.replies.grants
        self.assertEqual(first.engine, second.engine)
        self.assertEqual(300, second.cached_tokens)

    def test_no_engine_exceeds_the_multiple_while_another_choice_would_not(self) -> None:
        view = make_view(engines=5, bound=BoundSettings(load_multiple=1.25))
        home = make_home(view, self.clock)
        for index in range(400):
            home.submit(make_ask(f"ask-{index}", chat=index % 3), self.replies)
        loads = home.loads().values()
        self.assertTrue(max(loads) <= 1.25 * sum(loads) / 5, loads)

    def test_asks_wait_for_capacity_and_are_refused_in_time(self) -> None:
        view = make_view(engines=1, bound=BoundSettings(capacity_tokens=100.0))
        home = make_home(view, self.clock)
        home.submit(make_ask("a"), self.replies)
        home.submit(make_ask("b", wait_s=5.0), self.replies)
        home.submit(make_ask("c", wait_s=5.0), self.replies)
        self.assertEqual(1, len(self.replies.all))
        home.release("a")
        self.assertEqual(["a", "b"], [grant.id for grant in self.replies.grants])
        self.clock.now += 5.0
        home.tick()
        self.assertEqual(["c"], [busy.id for busy in self.replies.refusals])
        self.assertTrue(self.replies.refusals[0].retry_after_s > 0)

    def test_a_surging_account_pushes_out_only_itself(self) -> None:
        view = make_view(
            engines=1,
            bound=BoundSettings(capacity_tokens=100.0),
            queue=QueueSettings(max_waiting=10),
        )
        home = make_home(view, self.clock)
        for index in range(50):
            home.submit(make_ask(f"surge-{index}"), self.replies)
        modest = Replies()
        home.submit(make_ask("modest", account=AccountShare(name="modest")), modest)
        self.assertEqual([], modest.all)
        home.release("surge-0")
        self.assertEqual(["modest"], [grant.id for grant in modest.grants])
        refused = {busy.id for busy in self.replies.refusals}
        self.assertEqual(40, len(refused))

    def test_interactive_asks_go_before_batch(self) -> None:
        view = make_view(engines=1, bound=BoundSettings(capacity_tokens=100.0))
        home = make_home(view, self.clock)
        batch = AccountShare(name="night", priority=Priority.BATCH)
        home.submit(make_ask("running"), self.replies)
        home.submit(make_ask("batch", account=batch), self.replies)
        home.submit(make_ask("interactive"), self.replies)
        home.release("running")
        self.assertEqual(["running", "interactive"], [grant.id for grant in self.replies.grants])

    def test_a_new_home_admits_only_after_all_hosts_reported(self) -> None:
        home = make_home(make_view(), self.clock, awaited=(OWN, "host-2/x"))
        home.submit(make_ask("a"), self.replies)
        home.take_holdings(OWN, [])
        self.assertEqual([], self.replies.all)
        home.take_holdings("host-2/x", [])
        self.assertEqual(["a"], [grant.id for grant in self.replies.grants])

    def test_a_new_home_stops_waiting_for_a_host_that_is_silent(self) -> None:
        home = make_home(make_view(), self.clock, awaited=("host-2/x",))
        home.submit(make_ask("a"), self.replies)
        self.clock.now += 3.0
        home.tick()
        self.assertEqual(["a"], [grant.id for grant in self.replies.grants])

    def test_reported_holdings_count_as_load_and_replace_what_was_known(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_ask("a"), self.replies)
        home.take_holdings("host-2/x", self.replies.grants)
        self.assertEqual(100.0, sum(home.loads().values()))
        home.take_holdings(OWN, [])
        self.assertEqual(0.0, sum(home.loads().values()))

    def test_a_host_that_is_gone_gives_back_its_load(self) -> None:
        home = make_home(make_view(), self.clock)
        home.submit(make_ask("a"), self.replies)
        home.drop_holder(OWN)
        self.assertEqual(0.0, sum(home.loads().values()))

    def test_without_a_lease_nothing_is_admitted(self) -> None:
        home = PoolHome(
            POOL,
            make_view().services[SERVICE],
            awaited_holders=(),
            takeover_s=3.0,
            may_admit=lambda: False,
            clock=self.clock,
        )
        home.submit(make_ask("a"), self.replies)
        self.assertEqual([], self.replies.all)
        home.close()
        self.assertEqual("home_moved", self.replies.refusals[0].code)

    def test_when_every_engine_was_tried_the_ask_is_refused_at_once(self) -> None:
        home = make_home(make_view(engines=2), self.clock)
        home.submit(make_ask("a", excluded=("engine-0", "engine-1")), self.replies)
        self.assertEqual("no_engine", self.replies.refusals[0].code)

    def test_a_hint_counts_until_the_home_has_seen_the_cache_overflow(self) -> None:
        """Found by the plot of reuse: old hints drew chats to caches that had dropped them."""
        home = make_home(make_view(), self.clock)
        home.submit(make_ask("a", chat=7, prompt_tokens=300, hinted="engine-2"), self.replies)
        self.assertEqual("engine-2", self.replies.grants[0].engine)
        home.release("a")
        home.submit(make_ask("b", chat=7, prompt_tokens=300), self.replies)
        home.release("b", GrantOutcome(found_tokens=0))
        home.submit(make_ask("c", chat=8, prompt_tokens=300), self.replies)
        home.submit(make_ask("d", chat=9, prompt_tokens=300, hinted="engine-2"), self.replies)
        self.assertNotEqual("returning", self.replies.grants[-1].reason)

    def test_among_engines_of_equal_load_the_askers_zone_comes_first(self) -> None:
        view = make_view(engines=4, zones=("hsinchu-a", "taoyuan-b", "taipei-c", "keelung-d"))
        home = make_home(view, self.clock)
        home.submit(make_ask("a", zone="taipei-c"), self.replies)
        self.assertEqual("engine-2", self.replies.grants[0].engine)

    def test_an_engine_that_cannot_be_reached_gets_nothing_for_a_while(self) -> None:
        home = make_home(make_view(engines=4), self.clock)
        home.submit(make_ask("a"), self.replies)
        lost = self.replies.grants[0].engine
        home.release("a", GrantOutcome(unreachable=True))
        for index in range(30):
            home.submit(make_ask(f"ask-{index}"), self.replies)
        self.assertNotIn(lost, {grant.engine for grant in self.replies.grants[1:]})
        self.clock.now += 60.0
        home.tick()
        home.submit(make_ask("later"), self.replies)
        self.assertEqual(lost, self.replies.grants[-1].engine)
