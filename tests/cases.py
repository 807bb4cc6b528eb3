"""Base class of test cases that run stand-ins and daemons as separate processes."""

from testtools import TestCase

from standins.fleet import Fleet, open_fleet


class FleetCase(TestCase):
    """A test case with its own fleet, which starts empty and is stopped after the test."""

    fleet: Fleet

    def setUp(self) -> None:
        super().setUp()
        fleet_context = open_fleet()
        self.fleet = fleet_context.__enter__()
        self.addCleanup(fleet_context.__exit__, None, None, None)
