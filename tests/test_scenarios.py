"""Every script under ``tests/scenarios`` is one test; the checker of histories has its own."""

from pathlib import Path

from testtools import TestCase

from standins.fleet import open_fleet
from tests.scenarios.history import Call, History, find_breaches
from tests.scenarios.language import parse_scenario
from tests.scenarios.runner import ScenarioRunner

SCRIPTS = Path(__file__).parent / "scenarios"


class ScenarioTest(TestCase):
    def run_script(self, name: str) -> None:
        commands = parse_scenario((SCRIPTS / f"{name}.scenario").read_text(encoding="utf-8"))
        with open_fleet() as fleet:
            ScenarioRunner(fleet).run(commands)

    def test_stop_under_load(self) -> None:
        self.run_script("stop_under_load")

    def test_old_address(self) -> None:
        self.run_script("old_address")

    def test_leaving_engine(self) -> None:
        self.run_script("leaving_engine")

    def test_home_killed_under_load(self) -> None:
        self.run_script("home_killed_under_load")

    def test_frozen_host(self) -> None:
        self.run_script("frozen_host")

    def test_engine_killed(self) -> None:
        self.run_script("engine_killed")

    def test_platform_away(self) -> None:
        self.run_script("platform_away")


class HistoryTest(TestCase):
    def breaches(self, *calls: Call, **executions: int) -> int:
        return len(find_breaches(History(list(calls), executions)))

    def test_a_good_history_has_no_breach(self) -> None:
        whole = Call(1, "a", expected="a", words="a")
        refused = Call(2, "b", execution="not_run")
        unknown = Call(3, "c", execution="outcome_unknown")
        self.assertEqual(0, self.breaches(whole, refused, unknown, a=1, c=1))

    def test_each_rule_is_seen_to_break(self) -> None:
        whole = Call(1, "a", expected="a", words="a")
        self.assertEqual(1, self.breaches(whole, a=2), "run twice")
        self.assertEqual(1, self.breaches(Call(1, "a", execution="not_run"), a=1), "false refusal")
        self.assertEqual(1, self.breaches(Call(1, "a", expected="a", words="b"), a=1), "crossed")
        self.assertEqual(1, self.breaches(Call(1, "a", expected="ab", words="a"), a=1), "cut")
        self.assertEqual(1, self.breaches(whole), "answered but never run")

    def test_a_repeat_that_is_refused_does_not_deny_the_first(self) -> None:
        first = Call(1, "a", expected="a", words="a")
        self.assertEqual(0, self.breaches(first, Call(2, "a", execution="not_run"), a=1))
