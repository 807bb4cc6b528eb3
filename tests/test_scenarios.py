"""Runs each script in ``tests/scenarios`` as a test, and tests the checker of histories."""

from pathlib import Path

from testtools import TestCase

from standins.fleet import open_fleet
from tests.scenarios.history import Call, History, find_violations
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
    def count_violations(self, *calls: Call, **executions: int) -> int:
        return len(find_violations(History(list(calls), executions)))

    def test_a_correct_history_has_no_violations(self) -> None:
        complete = Call(1, "a", expected="a", text="a")
        refused = Call(2, "b", execution="not_run")
        unknown = Call(3, "c", execution="outcome_unknown")
        self.assertEqual(0, self.count_violations(complete, refused, unknown, a=1, c=1))

    def test_each_violation_is_found(self) -> None:
        complete = Call(1, "a", expected="a", text="a")
        self.assertEqual(1, self.count_violations(complete, a=2), "executed twice")
        self.assertEqual(
            1, self.count_violations(Call(1, "a", execution="not_run"), a=1), "false refusal"
        )
        self.assertEqual(
            1, self.count_violations(Call(1, "a", expected="a", text="b"), a=1), "crossed"
        )
        self.assertEqual(
            1,
            self.count_violations(Call(1, "a", expected="ab", text="a"), a=1),
            "truncated response",
        )
        self.assertEqual(1, self.count_violations(complete), "success without an execution")

    def test_a_refused_repeat_of_an_executed_key_is_not_a_violation(self) -> None:
        first = Call(1, "a", expected="a", text="a")
        self.assertEqual(0, self.count_violations(first, Call(2, "a", execution="not_run"), a=1))
