from testtools import TestCase

from cherrylane.limits.caches import CachedChat, CacheTracker, Certainty


class CacheTrackerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = CacheTracker()

    def use_chats(self, engine: str, chats: range) -> None:
        for chat in chats:
            self.tracker.use(chat, engine, tokens=100)

    def test_find_returns_the_longest_entry_first(self) -> None:
        self.tracker.use(1, "a", tokens=500)
        self.tracker.use(1, "b", tokens=900)
        self.assertEqual([CachedChat("b", 900), CachedChat("a", 500)], self.tracker.find(1))

    def test_capacity_follows_the_engines_reports(self) -> None:
        self.use_chats("a", range(100))
        for _ in range(20):
            self.tracker.record_lookup("a", Certainty.KEPT, expected_tokens=100, found_tokens=0)
        self.use_chats("a", range(100, 110))
        [newest] = self.tracker.find(109)
        self.assertEqual(Certainty.KEPT, newest.certainty)
        self.assertEqual([], self.tracker.find(0))
        doubtful = [chat for chat in range(110) if self.find_certainty(chat) is Certainty.DOUBTFUL]
        self.assertTrue(doubtful)
        for _ in range(200):
            self.tracker.record_lookup(
                "a", Certainty.DOUBTFUL, expected_tokens=100, found_tokens=100
            )
        self.use_chats("a", range(110, 150))
        self.assertEqual(Certainty.KEPT, self.find_certainty(110))

    def test_a_prompt_found_by_more_than_half_counts_as_found(self) -> None:
        self.use_chats("a", range(10))
        self.tracker.record_lookup("a", Certainty.KEPT, expected_tokens=100, found_tokens=60)
        self.use_chats("a", range(10, 100))
        self.assertEqual(Certainty.KEPT, self.find_certainty(0))

    def test_the_number_of_entries_is_limited(self) -> None:
        tracker = CacheTracker(entry_limit=50)
        for chat in range(1000):
            tracker.use(chat, f"engine-{chat % 2}", tokens=10)
        self.assertTrue(len(tracker) <= 50)
        self.assertTrue(tracker.find(999))

    def test_forget_drops_all_entries_of_an_engine(self) -> None:
        self.use_chats("a", range(3))
        self.tracker.forget("a")
        self.assertEqual([], self.tracker.find(1))

    def find_certainty(self, chat: int) -> Certainty | None:
        found = self.tracker.find(chat)
        return found[0].certainty if found else None
