from testtools import TestCase

from cherrylane.limits.caches import CachedChat, CacheTracker, Certainty


class CacheKnowledgeTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = CacheTracker()

    def fill(self, engine: str, chats: range) -> None:
        for chat in chats:
            self.knowledge.use(chat, engine, tokens=100)

    def test_the_longest_copy_comes_first(self) -> None:
        self.knowledge.use(1, "a", tokens=500)
        self.knowledge.use(1, "b", tokens=900)
        self.assertEqual([CachedChat("b", 900), CachedChat("a", 500)], self.knowledge.find(1))

    def test_capacity_is_learned_from_what_engines_say(self) -> None:
        self.fill("a", range(100))
        for _ in range(20):
            self.knowledge.learn("a", Certainty.KEPT, expected_tokens=100, found_tokens=0)
        self.fill("a", range(100, 110))
        [newest] = self.knowledge.find(109)
        self.assertEqual(Certainty.KEPT, newest.certainty)
        self.assertEqual([], self.knowledge.find(0))
        doubtful = [chat for chat in range(110) if self.certainty_of(chat) is Certainty.DOUBTFUL]
        self.assertTrue(doubtful)
        for _ in range(200):
            self.knowledge.learn("a", Certainty.DOUBTFUL, expected_tokens=100, found_tokens=100)
        self.fill("a", range(110, 150))
        self.assertEqual(Certainty.KEPT, self.certainty_of(110))

    def test_a_partly_found_prompt_counts_as_found(self) -> None:
        self.fill("a", range(10))
        self.knowledge.learn("a", Certainty.KEPT, expected_tokens=100, found_tokens=60)
        self.fill("a", range(10, 100))
        self.assertEqual(Certainty.KEPT, self.certainty_of(0))

    def test_entries_are_limited(self) -> None:
        knowledge = CacheTracker(entry_limit=50)
        for chat in range(1000):
            knowledge.use(chat, f"engine-{chat % 2}", tokens=10)
        self.assertTrue(len(knowledge) <= 50)
        self.assertTrue(knowledge.find(999))

    def test_a_lost_cache_is_forgotten(self) -> None:
        self.fill("a", range(3))
        self.knowledge.forget("a")
        self.assertEqual([], self.knowledge.find(1))

    def certainty_of(self, chat: int) -> Certainty | None:
        found = self.knowledge.find(chat)
        return found[0].certainty if found else None
