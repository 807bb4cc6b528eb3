from random import Random

from testtools import TestCase

from cherrylane.gossip.updates import MIN_GOSSIP_ROUNDS
from cherrylane.placement.caches import CachedPart, CacheMap
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


def make_candidates(loads: dict[str, int]) -> list[Candidate]:
    return [Candidate(make_upstream(name), Load(load)) for name, load in loads.items()]


class ChatChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.caches = CacheMap()
        self.chooser = Chooser("a", 2.0, self.caches, Random(1))
        self.holders = [make_upstream(name) for name in NAMES]

    def choose(self, chat: str, loads: dict[str, int]) -> tuple[str, str]:
        prompt = make_prompt(chat)
        choice = self.chooser.choose_for_chat(prompt, make_candidates(loads), self.holders)
        self.caches.record_run(choice.upstream.name, prompt.shared_parts, MEMORY)
        return choice.upstream.name, choice.cache_source.name if choice.cache_source else ""

    def test_every_host_chooses_the_same_engine_for_a_new_chat(self) -> None:
        for chat in ("a", "b", "c"):
            home = rank_names(chat, NAMES)[0]
            for names in (NAMES, list(reversed(NAMES))):
                self.caches = CacheMap()
                self.chooser = Chooser("a", 2.0, self.caches, Random(1))
                self.assertEqual((home, ""), self.choose(chat, dict.fromkeys(names, 5)))

    def test_a_returning_chat_goes_to_the_engine_that_has_it_cached(self) -> None:
        """Guards against lost caches when engines join between two requests of a chat.

        The chat's rendezvous order changes then, but its cache does not move.
        """
        elsewhere = rank_names("chat", NAMES)[-1]
        self.caches.record_run(elsewhere, make_prompt("chat").shared_parts, MEMORY)
        self.assertEqual((elsewhere, ""), self.choose("chat", dict.fromkeys(NAMES, 5)))

    def test_a_hot_chat_overflows_to_another_engine_that_fetches_its_cache(self) -> None:
        """One chat gets a quarter of the traffic, so its first engine fills before the others."""
        first, second, *_ = rank_names("hot", NAMES)
        self.choose("hot", dict.fromkeys(NAMES, 10))
        loads = dict.fromkeys(NAMES, 10) | {first: 40}
        self.assertEqual((second, first), self.choose("hot", loads))
        self.assertEqual((second, ""), self.choose("hot", loads))

    def test_a_chat_that_all_hosts_get_at_once_is_spread_over_the_engines_it_needs(self) -> None:
        """An engine at the mean can take 10 more within the bound; 25 come from other hosts."""
        expected = set(rank_names("hot", NAMES)[:4])
        for heat, engines in ((0, 1), (25, 4)):
            drawn = {
                Chooser("a", 2.0, CacheMap(), Random(seed))
                .choose_for_chat(
                    make_prompt("hot"),
                    make_candidates(dict.fromkeys(NAMES, 10)),
                    self.holders,
                    heat=heat,
                )
                .upstream.name
                for seed in range(50)
            }
            self.assertEqual(engines, len(drawn))
            self.assertTrue(drawn <= expected, str(drawn))

    def test_the_less_loaded_of_two_engines_takes_a_hot_chat(self) -> None:
        first, second, third, *_ = rank_names("hot", NAMES)
        loads = dict.fromkeys(NAMES, 10) | {first: 12, second: 5}
        for seed in range(50):
            chooser = Chooser("a", 2.0, CacheMap(), Random(seed))
            candidates = make_candidates(loads)
            choice = chooser.choose_for_chat(make_prompt("hot"), candidates, self.holders, heat=15)
            self.assertIn(choice.upstream.name, (second, third))

    def test_chats_of_a_draining_engine_fetch_their_cache_from_it(self) -> None:
        first, second, *_ = rank_names("chat", NAMES)
        self.choose("chat", dict.fromkeys(NAMES, 1))
        left = {name: 1 for name in NAMES if name != first}
        self.assertEqual((second, first), self.choose("chat", left))

    def test_the_part_that_all_chats_share_is_prefilled_once(self) -> None:
        """The first part of every prompt is the same; other engines fetch it from the first."""
        home, source = self.choose("one", dict.fromkeys(NAMES, 1))
        self.assertEqual("", source)
        other = next(chat for chat in "abcdefghij" if rank_names(chat, NAMES)[0] != home)
        loads = {name: 1 for name in NAMES if name != home}
        self.assertEqual(home, self.choose(other, loads)[1])

    def test_new_chats_spread_although_one_engine_has_their_shared_part(self) -> None:
        """Guards against sending every new chat to one engine.

        At the start of a day, the first engine that is used has cached the part that all chats
        begin with.
        """
        loads = dict.fromkeys(NAMES, 0)
        homes = [self.choose(f"chat-{number}", loads)[0] for number in range(60)]
        for name in NAMES:
            self.assertTrue(4 <= homes.count(name) <= 20, f"{name}: {homes.count(name)}")

    def test_no_engine_exceeds_the_load_bound(self) -> None:
        """All requests belong to two chats, and all loads are known exactly."""
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

    def test_a_part_counts_only_if_all_parts_before_it_are_cached(self) -> None:
        self.caches.record_run("i", self.parts[1:], MEMORY)
        self.assertEqual(0, self.caches.count_cached("i", self.parts))
        self.caches.record_run("i", self.parts, MEMORY)
        self.assertEqual(10_500, self.caches.count_cached("i", self.parts))

    def test_the_least_recently_used_parts_are_evicted_first(self) -> None:
        for number in range(10):
            self.caches.record_run("i", (PromptPart(str(number), 10_000),), MEMORY)
            self.caches.record_run("i", (PromptPart("0", 10_000),), MEMORY)
        cached = [
            number
            for number in range(10)
            if self.caches.count_cached("i", (PromptPart(str(number), 10_000),))
        ]
        self.assertEqual([0, 3, 4, 5, 6, 7, 8, 9], cached)

    def test_each_update_is_sent_in_several_rounds(self) -> None:
        self.caches.record_run("i", self.parts, MEMORY)
        self.caches.record_run("i", self.parts, MEMORY)
        batches = [self.caches.take_updates() for _ in range(MIN_GOSSIP_ROUNDS + 1)]
        expected = tuple(CachedPart("i", part.key, part.tokens) for part in self.parts)
        self.assertEqual([expected] * MIN_GOSSIP_ROUNDS + [()], batches)

    def test_updates_from_peers_are_not_forwarded(self) -> None:
        self.caches.record_peer(CachedPart("i", "k", 5), MEMORY)
        self.assertEqual((), self.caches.take_updates())
        self.assertEqual([CachedPart("i", "k", 5)], self.caches.list_all())

    def test_forget_drops_all_parts_of_an_engine(self) -> None:
        self.caches.record_run("i", self.parts, MEMORY)
        self.caches.forget("i")
        self.assertEqual(0, self.caches.count_cached("i", self.parts))


class LoadChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.chooser = Chooser("a", 2.0, random=Random(1))

    def test_the_least_loaded_upstream_is_chosen(self) -> None:
        choice = self.chooser.choose_by_load(make_candidates({"i0": 30, "i1": 2, "i2": 30}))
        self.assertEqual("i1", choice.upstream.name)

    def test_the_own_failure_domain_is_preferred_until_it_is_loaded(self) -> None:
        near, far = make_upstream("near"), make_upstream("far", zone="b")
        at_low_load = self.chooser.choose_by_load(
            [Candidate(far, Load()), Candidate(near, Load(3))]
        )
        at_high_load = self.chooser.choose_by_load(
            [Candidate(far, Load()), Candidate(near, Load(20))]
        )
        self.assertEqual(("near", "far"), (at_low_load.upstream.name, at_high_load.upstream.name))

    def test_equally_loaded_upstreams_share_the_requests(self) -> None:
        loads = dict.fromkeys(NAMES, 5)
        chosen = {
            self.chooser.choose_by_load(make_candidates(loads)).upstream.name for _ in range(100)
        }
        self.assertEqual(set(NAMES), chosen)
