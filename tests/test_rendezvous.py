from collections import Counter

from testtools import TestCase

from cherrylane.routing.rendezvous import RendezvousTable, hash_text

KNOWN_HASH = 14882996451889066271
KEYS = [hash_text(f"chat-{index}") for index in range(3000)]


class RendezvousTableTest(TestCase):
    def test_ranking_does_not_depend_on_member_order(self) -> None:
        forward = RendezvousTable(["a", "b", "c", "d"])
        backward = RendezvousTable(["d", "c", "b", "a"])
        for key in KEYS[:100]:
            self.assertEqual(forward.rank(key, 3), backward.rank(key, 3))

    def test_removing_a_member_moves_only_its_own_keys(self) -> None:
        before = RendezvousTable(["a", "b", "c", "d"])
        after = RendezvousTable(["a", "b", "d"])
        for key in KEYS:
            ranked = before.rank(key, 4)
            self.assertEqual([name for name in ranked if name != "c"], after.rank(key, 3))

    def test_share_of_keys_is_proportional_to_weight(self) -> None:
        table = RendezvousTable(["a", "b", "c"], [1.0, 1.0, 2.0])
        owned = Counter(table.rank(key, 1)[0] for key in KEYS)
        self.assertAlmostEqual(0.5, owned["c"] / len(KEYS), delta=0.04)
        self.assertAlmostEqual(0.25, owned["a"] / len(KEYS), delta=0.04)

    def test_best_members_do_not_depend_on_the_requested_count(self) -> None:
        table = RendezvousTable([f"engine-{index}" for index in range(200)])
        for key in KEYS[:50]:
            self.assertEqual(table.rank(key, 200)[:3], table.rank(key, 3))

    def test_hash_is_stable_across_releases(self) -> None:
        self.assertEqual(KNOWN_HASH, hash_text("chat-7"))
        self.assertEqual([], RendezvousTable([]).rank(1, 3))
