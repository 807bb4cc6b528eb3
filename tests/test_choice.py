from random import Random

from testtools import TestCase

from cherrylane.placement.caches import MIN_GOSSIP_ROUNDS, CachedPart, CacheMap
from cherrylane.placement.choice import Candidate, Chooser
from cherrylane.placement.loads import Load
from cherrylane.placement.ranking import rank_names
from cherrylane.relay.request import Prompt, PromptPart
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.schema import Endpoint

NAMES = [f"i{number}" for number in range(6)]
MEMORY = 100_000


def make_upstream(name: str, zone: str = "a") -> Upstream:
    return Upstream(name, "s", Endpoint("10.0.0.1", 80), zone, 64, UpstreamState.READY)


def make_prompt(chat: str) -> Prompt:
    parts = (PromptPart("desk", 500), PromptPart(chat, 10_000), PromptPart(f"own-{chat}", 100))
    return Prompt("m", parts)


def candidates(loads: dict[str, int]) -> list[Candidate]:
    return [Candidate(make_upstream(name), Load(load)) for name, load in loads.items()]


class ChatChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.caches = CacheMap()
        self.chooser = Chooser("a", 2.0, self.caches, Random(1))
        self.holders = [make_upstream(name) for name in NAMES]

    def choose(self, chat: str, loads: dict[str, int]) -> tuple[str, str]:
        prompt = make_prompt(chat)
        choice = self.chooser.choose_for_chat(prompt, candidates(loads), self.holders)
        self.caches.note_run(choice.upstream.name, prompt.shared_parts, MEMORY)
        return choice.upstream.name, choice.cache_source.name if choice.cache_source else ""

    def test_every_host_names_the_same_home_for_a_new_chat(self) -> None:
        for chat in ("a", "b", "c"):
            home = rank_names(chat, NAMES)[0]
            for names in (NAMES, list(reversed(NAMES))):
                self.caches = CacheMap()
                self.chooser = Chooser("a", 2.0, self.caches, Random(1))
                self.assertEqual((home, ""), self.choose(chat, dict.fromkeys(names, 5)))

    def test_a_returning_chat_stays_where_it_is_cached(self) -> None:
        """Engines join while a chat is away; its order changes, its cache does not move."""
        elsewhere = rank_names("chat", NAMES)[-1]
        self.caches.note_run(elsewhere, make_prompt("chat").shared_parts, MEMORY)
        self.assertEqual((elsewhere, ""), self.choose("chat", dict.fromkeys(NAMES, 5)))

    def test_a_hot_chat_spills_over_and_its_cache_is_fetched(self) -> None:
        """One chat gets a quarter of the traffic: its home fills up before the others do."""
        first, second, *_ = rank_names("hot", NAMES)
        self.choose("hot", dict.fromkeys(NAMES, 10))
        loads = dict.fromkeys(NAMES, 10) | {first: 40}
        self.assertEqual((second, first), self.choose("hot", loads))
        self.assertEqual((second, ""), self.choose("hot", loads))

    def test_the_chats_of_a_drained_engine_fetch_from_it(self) -> None:
        first, second, *_ = rank_names("chat", NAMES)
        self.choose("chat", dict.fromkeys(NAMES, 1))
        left = {name: 1 for name in NAMES if name != first}
        self.assertEqual((second, first), self.choose("chat", left))

    def test_the_part_that_all_chats_share_is_read_once(self) -> None:
        """The first part of every prompt is the same; only one engine reads it."""
        home, source = self.choose("one", dict.fromkeys(NAMES, 1))
        self.assertEqual("", source)
        other = next(chat for chat in "abcdefghij" if rank_names(chat, NAMES)[0] != home)
        loads = {name: 1 for name in NAMES if name != home}
        self.assertEqual(home, self.choose(other, loads)[1])

    def test_new_chats_spread_though_one_engine_has_what_they_share(self) -> None:
        """The start of a day: a first engine has read the part that all chats begin with."""
        loads = dict.fromkeys(NAMES, 0)
        homes = [self.choose(f"chat-{number}", loads)[0] for number in range(60)]
        for name in NAMES:
            self.assertTrue(4 <= homes.count(name) <= 20, f"{name}: {homes.count(name)}")

    def test_no_engine_is_filled_beyond_the_bound(self) -> None:
        """All requests are of two chats; the loads known are exact."""
        loads = dict.fromkeys(NAMES, 0)
        for number in range(200):
            name, _ = self.choose(f"chat-{number % 2}", loads)
            loads[name] += 1
            mean = sum(loads.values()) / len(loads)
            self.assertTrue(max(loads.values()) <= 2.0 * mean + 3)


class CacheMapTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.caches = CacheMap()
        self.parts = make_prompt("chat").shared_parts

    def test_a_part_helps_only_with_all_before_it(self) -> None:
        self.caches.note_run("i", self.parts[1:], MEMORY)
        self.assertEqual(0, self.caches.count_cached("i", self.parts))
        self.caches.note_run("i", self.parts, MEMORY)
        self.assertEqual(10_500, self.caches.count_cached("i", self.parts))

    def test_the_parts_used_longest_ago_are_dropped_first(self) -> None:
        for number in range(10):
            self.caches.note_run("i", (PromptPart(str(number), 10_000),), MEMORY)
            self.caches.note_run("i", (PromptPart("0", 10_000),), MEMORY)
        cached = [
            number
            for number in range(10)
            if self.caches.count_cached("i", (PromptPart(str(number), 10_000),))
        ]
        self.assertEqual([0, 3, 4, 5, 6, 7, 8, 9], cached)

    def test_each_piece_of_news_is_told_a_few_times(self) -> None:
        self.caches.note_run("i", self.parts, MEMORY)
        self.caches.note_run("i", self.parts, MEMORY)
        told = [self.caches.take_updates() for _ in range(MIN_GOSSIP_ROUNDS + 1)]
        expected = tuple(CachedPart("i", part.key, part.tokens) for part in self.parts)
        self.assertEqual([expected] * MIN_GOSSIP_ROUNDS + [()], told)

    def test_what_a_peer_tells_is_not_told_on(self) -> None:
        self.caches.note_peer(CachedPart("i", "k", 5), MEMORY)
        self.assertEqual((), self.caches.take_updates())
        self.assertEqual([CachedPart("i", "k", 5)], self.caches.list_all())

    def test_an_engine_that_is_gone_has_nothing(self) -> None:
        self.caches.note_run("i", self.parts, MEMORY)
        self.caches.forget("i")
        self.assertEqual(0, self.caches.count_cached("i", self.parts))


class LoadChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.chooser = Chooser("a", 2.0, random=Random(1))

    def test_the_least_loaded_takes_the_request(self) -> None:
        choice = self.chooser.choose_by_load(candidates({"i0": 30, "i1": 2, "i2": 30}))
        self.assertEqual("i1", choice.upstream.name)

    def test_the_own_failure_domain_goes_first_until_it_is_loaded(self) -> None:
        near, far = make_upstream("near"), make_upstream("far", zone="b")
        calm = self.chooser.choose_by_load([Candidate(far, Load()), Candidate(near, Load(3))])
        busy = self.chooser.choose_by_load([Candidate(far, Load()), Candidate(near, Load(20))])
        self.assertEqual(("near", "far"), (calm.upstream.name, busy.upstream.name))

    def test_equal_upstreams_share_the_work(self) -> None:
        loads = dict.fromkeys(NAMES, 5)
        chosen = {self.chooser.choose_by_load(candidates(loads)).upstream.name for _ in range(100)}
        self.assertEqual(set(NAMES), chosen)
