from random import Random

from testtools import TestCase

from cherrylane.placement.choice import WARM_UP_S, Candidate, Chooser
from cherrylane.placement.ranking import rank_names
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.schema import Endpoint

NAMES = [f"i{number}" for number in range(6)]


def make_upstream(name: str, zone: str = "a") -> Upstream:
    return Upstream(name, "s", Endpoint("10.0.0.1", 80), zone, 64, UpstreamState.READY)


def candidates(loads: dict[str, int], joined_at: float = float("-inf")) -> list[Candidate]:
    return [Candidate(make_upstream(name), load, joined_at) for name, load in loads.items()]


class ChatChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.chooser = Chooser("a", 2.0, Random(1))
        self.holders = [make_upstream(name) for name in NAMES]

    def test_every_host_names_the_same_home(self) -> None:
        for key in ("a", "b", "c"):
            home = rank_names(key, NAMES)[0]
            for loads in ({name: 5 for name in NAMES}, {name: 5 for name in reversed(NAMES)}):
                choice = self.chooser.choose_for_chat(key, candidates(loads), self.holders, 0.0)
                self.assertEqual(home, choice.upstream.name)
                self.assertIsNone(choice.cache_source)

    def test_a_hot_chat_goes_to_its_second_upstream_which_fetches_from_the_first(self) -> None:
        """One chat gets a quarter of the traffic: its home fills up before the others do."""
        first, second, *_ = rank_names("hot", NAMES)
        loads = {name: 10 for name in NAMES} | {first: 40}
        choice = self.chooser.choose_for_chat("hot", candidates(loads), self.holders, 0.0)
        self.assertEqual(second, choice.upstream.name)
        assert choice.cache_source is not None
        self.assertEqual(first, choice.cache_source.name)

    def test_no_upstream_is_filled_beyond_the_bound(self) -> None:
        """All requests are of two chats; the loads known are exact."""
        loads = dict.fromkeys(NAMES, 0)
        for number in range(200):
            key = f"chat-{number % 2}"
            choice = self.chooser.choose_for_chat(key, candidates(loads), self.holders, 0.0)
            loads[choice.upstream.name] += 1
            mean = sum(loads.values()) / len(loads)
            self.assertTrue(max(loads.values()) <= 2.0 * mean + 3)

    def test_the_chats_of_a_drained_upstream_fetch_from_it(self) -> None:
        first, second, *_ = rank_names("chat", NAMES)
        left = {name: 1 for name in NAMES if name != first}
        choice = self.chooser.choose_for_chat("chat", candidates(left), self.holders, 0.0)
        self.assertEqual(second, choice.upstream.name)
        assert choice.cache_source is not None
        self.assertEqual(first, choice.cache_source.name)

    def test_an_upstream_that_joined_fetches_for_a_while(self) -> None:
        first, second, *_ = rank_names("chat", NAMES)
        fresh = [
            Candidate(make_upstream(name), 1, 0.0 if name == first else float("-inf"))
            for name in NAMES
        ]
        soon = self.chooser.choose_for_chat("chat", fresh, self.holders, 1.0)
        assert soon.cache_source is not None
        self.assertEqual((first, second), (soon.upstream.name, soon.cache_source.name))
        later = self.chooser.choose_for_chat("chat", fresh, self.holders, WARM_UP_S + 1.0)
        self.assertIsNone(later.cache_source)


class LoadChoiceTest(TestCase):
    def test_the_least_loaded_takes_the_request(self) -> None:
        loads = {"i0": 30, "i1": 2, "i2": 30}
        choice = Chooser("a", 2.0, Random(1)).choose_by_load(candidates(loads))
        self.assertEqual("i1", choice.upstream.name)

    def test_the_own_failure_domain_goes_first_until_it_is_loaded(self) -> None:
        near, far = make_upstream("near"), make_upstream("far", zone="b")
        chooser = Chooser("a", 2.0, Random(1))
        calm = chooser.choose_by_load([Candidate(far, 0), Candidate(near, 3)])
        busy = chooser.choose_by_load([Candidate(far, 0), Candidate(near, 20)])
        self.assertEqual(("near", "far"), (calm.upstream.name, busy.upstream.name))

    def test_equal_upstreams_share_the_work(self) -> None:
        chooser = Chooser("a", 2.0, Random(1))
        loads = dict.fromkeys(NAMES, 5)
        chosen = {chooser.choose_by_load(candidates(loads)).upstream.name for _ in range(100)}
        self.assertEqual(set(NAMES), chosen)
