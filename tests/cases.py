"""Test cases that run stand-ins and daemons as separate processes."""

from testtools import TestCase

from standins.fleet import Fleet, open_fleet


class FleetCase(TestCase):
    """A case with a fleet of its own, which is empty at first and stopped at the end."""

    fleet: Fleet

    def setUp(self) -> None:
        super().setUp()
        opened = open_fleet()
        self.fleet = opened.__enter__()
        self.addCleanup(opened.__exit__, None, None, None)
