"""Which answers of peers show that a host knows all software versions, without a network."""

from testtools import TestCase

from cherrylane.membership.confirmation import PeerPoll, PeerStatement

CONFIRMED = PeerStatement(is_confirmed=True, is_complete=True, has_lost_store=False)
LOST = PeerStatement(is_confirmed=False, is_complete=True, has_lost_store=True)
# The store has not answered this peer yet.
WAITING = PeerStatement(is_confirmed=False, is_complete=True, has_lost_store=False)
# This peer has started lately, and does not know which versions there were before.
STARTED = PeerStatement(is_confirmed=True, is_complete=False, has_lost_store=False)


def poll(*statements: PeerStatement, asked: int = 6, live: int = 6, members: int = 6) -> PeerPoll:
    found = PeerPoll(asked, live, members)
    for statement in statements:
        found.record(statement)
    return found


class PeerPollTest(TestCase):
    def test_one_peer_that_the_store_has_answered_is_enough(self) -> None:
        self.assertTrue(poll(LOST, LOST, CONFIRMED).is_confirmed)
        self.assertFalse(poll(LOST, WAITING).is_confirmed)

    # Guards against a host that has just started vouching for what it cannot know.
    def test_a_peer_that_does_not_know_what_was_before_confirms_nothing(self) -> None:
        self.assertFalse(poll(STARTED, STARTED).is_confirmed)
        self.assertFalse(poll(LOST, LOST, LOST, STARTED).shows_outage)

    def test_an_outage_is_shown_by_most_of_the_fleet(self) -> None:
        self.assertTrue(poll(LOST, LOST, LOST).shows_outage)
        self.assertFalse(poll(LOST, LOST).shows_outage)
        self.assertFalse(poll(LOST, LOST, WAITING, WAITING, WAITING, WAITING).shows_outage)

    # Guards against refusing what is sound in the first seconds of an outage, before calls fail.
    def test_what_all_hosts_know_is_all_that_there_is(self) -> None:
        self.assertTrue(poll(*[WAITING] * 6).is_unanimous)
        self.assertTrue(poll(WAITING, LOST, asked=2, live=2, members=2).is_unanimous)
        self.assertFalse(poll(*[WAITING] * 5).is_unanimous)
        self.assertFalse(poll(*[WAITING] * 5, STARTED).is_unanimous)
        self.assertFalse(poll(*[WAITING] * 12, asked=12, live=40, members=40).is_unanimous)
        self.assertFalse(poll(asked=0, live=0, members=0).is_unanimous)

    # Guards against a part of the fleet that hears only itself taking its part for the whole.
    def test_a_minority_that_has_lost_the_store_is_cut_off(self) -> None:
        self.assertFalse(poll(LOST, LOST, asked=2, live=2, members=6).shows_outage)
        self.assertTrue(poll(LOST, LOST, LOST, asked=3, live=3, members=6).shows_outage)

    # Guards against a fleet of one that counts as a majority.
    def test_a_host_that_knows_no_peer_cannot_tell_an_outage_from_a_cut(self) -> None:
        self.assertFalse(poll(asked=0, live=0, members=0).shows_outage)
        self.assertFalse(poll(asked=0, live=0, members=6).shows_outage)
