from testtools import TestCase

from cherrylane.configuration.documents import HealthSettings
from cherrylane.limits.health import EngineHealth
from cherrylane.limits.work import GrantOutcome

SETTINGS = HealthSettings(aside_s=2.0, failures_tolerated=3, max_aside_share=0.5)
UNREACHABLE = GrantOutcome(unreachable=True)
FAILED = GrantOutcome(failed=True)
SUCCEEDED = GrantOutcome()
NAMES = ["a", "b", "c", "d"]


class EngineHealthTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.health = EngineHealth(SETTINGS)
        self.health.set_listed(NAMES, 0.0)

    def test_an_unreachable_engine_is_ejected_for_a_time_that_doubles(self) -> None:
        self.health.report("a", UNREACHABLE, 10.0)
        self.assertEqual({"b", "c", "d"}, self.health.available(11.9))
        self.assertEqual({"b", "c", "d"}, self.health.counted(11.9))
        self.assertIn("a", self.health.available(12.0))
        self.health.report("a", UNREACHABLE, 12.0)
        self.assertNotIn("a", self.health.available(15.9))
        self.assertIn("a", self.health.available(16.0))

    def test_an_engine_that_serves_well_for_long_starts_anew(self) -> None:
        """Ejections were never reset: each one of a long life was as long as the longest."""
        for now in (10.0, 20.0, 30.0):
            self.health.report("a", UNREACHABLE, now)
        self.health.report("a", SUCCEEDED, 40.0)
        self.health.report("a", UNREACHABLE, 50.0)
        self.assertNotIn("a", self.health.available(65.9))
        self.health.report("a", SUCCEEDED, 66.0 + SETTINGS.max_aside_s + 1.0)
        self.health.report("a", UNREACHABLE, 200.0)
        self.assertIn("a", self.health.available(202.0))

    def test_only_consecutive_failures_eject_an_engine(self) -> None:
        for outcome in (FAILED, FAILED, SUCCEEDED, FAILED, FAILED):
            self.health.report("a", outcome, 1.0)
        self.assertIn("a", self.health.available(1.0))
        self.health.report("a", FAILED, 1.0)
        self.assertNotIn("a", self.health.available(1.0))
        self.assertIn("a", self.health.counted(1.0))

    def test_at_most_a_share_of_engines_is_ejected(self) -> None:
        for name in NAMES:
            self.health.report(name, UNREACHABLE, 1.0)
        self.assertEqual(2, len(self.health.available(1.0)))

    def test_a_single_engine_is_never_ejected(self) -> None:
        health = EngineHealth(SETTINGS)
        health.set_listed(["only"], 0.0)
        health.report("only", UNREACHABLE, 1.0)
        self.assertEqual({"only"}, health.available(1.0))

    def test_a_flapping_engine_is_ejected(self) -> None:
        now = 100.0
        for _ in range(2):
            self.health.set_listed(["b", "c", "d"], now)
            now += 1.0
            self.health.set_listed(NAMES, now)
            now += 1.0
        self.assertNotIn("a", self.health.available(now))
        self.assertIn("a", self.health.counted(now))

    def test_an_engine_that_joins_starts_slowly(self) -> None:
        self.assertEqual(1.0, self.health.ramp("a", 0.0))
        self.health.set_listed([*NAMES, "new"], 50.0)
        self.assertEqual(SETTINGS.slow_start_share, self.health.ramp("new", 50.0))
        self.assertAlmostEqual(0.5, self.health.ramp("new", 50.0 + SETTINGS.slow_start_s / 2))
        self.assertEqual(1.0, self.health.ramp("new", 50.0 + SETTINGS.slow_start_s))
