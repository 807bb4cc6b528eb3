from testtools import TestCase

from cherrylane.membership.departures import MEMORY_S, Departures


class DeparturesTest(TestCase):
    """Guards against work for an upstream that has said that it leaves.

    An older list, a peer's list or an older copy of the store may still call it ready.
    """

    def test_leaving_is_final_for_an_incarnation_only(self) -> None:
        departures = Departures()
        departures.record_leaving("a", 5, now=0.0)
        self.assertTrue(departures.is_leaving("a", 5))
        self.assertFalse(departures.is_leaving("a", 6))
        self.assertFalse(departures.is_leaving("b", 5))

    def test_departures_of_long_ago_are_forgotten(self) -> None:
        departures = Departures()
        departures.record_leaving("a", 5, now=0.0)
        departures.record_deleted("a", 5, now=1.0)
        self.assertTrue(departures.was_deleted("a", 5))
        departures.record_deleted("b", 5, now=MEMORY_S + 2.0)
        self.assertFalse(departures.was_deleted("a", 5))
        self.assertFalse(departures.is_leaving("a", 5))
        self.assertTrue(departures.was_deleted("b", 5))
