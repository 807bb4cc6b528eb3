from collections import Counter

from testtools import TestCase

from cherrylane.routing.rendezvous import RendezvousTable, hash_text

KNOWN_HASH = 14882996451889066271
KEYS = [hash_text(f"chat-{index}") for index in range(3000)]


class RendezvousTableTest(TestCase):
    def test_order_does_not_depend_on_the_order_of_members(self) -> None:
        forward = RendezvousTable(["a", "b", "c", "d"])
        backward = RendezvousTable(["d", "c", "b", "a"])
        for key in KEYS[:100]:
            self.assertEqual(forward.rank(key, 3), backward.rank(key, 3))

    def test_only_keys_of_a_member_that_leaves_move(self) -> None:
        before = RendezvousTable(["a", "b", "c", "d"])
        after = RendezvousTable(["a", "b", "d"])
        for key in KEYS:
            old = before.rank(key, 4)
            self.assertEqual([name for name in old if name != "c"], after.rank(key, 3))

    def test_weights_set_the_share_of_keys(self) -> None:
        table = RendezvousTable(["a", "b", "c"], [1.0, 1.0, 2.0])
        wins = Counter(table.rank(key, 1)[0] for key in KEYS)
        self.assertAlmostEqual(0.5, wins["c"] / len(KEYS), delta=0.04)
        self.assertAlmostEqual(0.25, wins["a"] / len(KEYS), delta=0.04)

    def test_first_members_are_the_same_whatever_count_is_asked(self) -> None:
        table = RendezvousTable([f"engine-{index}" for index in range(200)])
        for key in KEYS[:50]:
            self.assertEqual(table.rank(key, 200)[:3], table.rank(key, 3))

    def test_hash_is_the_same_in_every_release(self) -> None:
        self.assertEqual(KNOWN_HASH, hash_text("chat-7"))
        self.assertEqual([], RendezvousTable([]).rank(1, 3))
