from json import loads
from pathlib import Path
from typing import Any

from testtools.matchers import Contains, Not

from cherrylane.cli.main import EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK, EXIT_UNAVAILABLE
from cherrylane.configuration.store import HISTORY_LENGTH, ConfigurationStore, Generation
from cherrylane.membership.roster import HostRecord
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.documents import unstructure
from cherrylane.settings.schema import Endpoint, PlatformSettings
from standins.fleet import ROOT, CommandResult
from tests.cases import FleetCase

BASE, HSINCHU = (str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml"))
GEORGIA = """\
site: ga-south
hint_key: example-georgia-key-{key}
services:
  veneer-llm: {{kind: model, models: [veneer-8b]}}
accounts:
  - {{name: buyers, key_sha256: {digest}}}
"""
DIGEST = "ab" * 32


class GenerationsCase(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        settings = PlatformSettings(url=self.fleet.platform_url)
        self.store = ConfigurationStore(PlatformClient(settings))

    def run_command(self, *words: str) -> CommandResult:
        return self.fleet.try_cli("--output", "json", *words)

    def succeed(self, *words: str) -> list[dict[str, Any]]:
        result = self.run_command(*words)
        self.assertEqual(EXIT_OK, result.code, result.text)
        return list(loads(result.text))

    def write_georgia(self, key: str) -> str:
        path = Path(self.fleet.directory) / f"ga-south-{key}.yaml"
        path.write_text(GEORGIA.format(key=key, digest=DIGEST), encoding="utf-8")
        return str(path)

    def present(self) -> Generation:
        return self.store.read_current_or_empty()


class PlanTest(GenerationsCase):
    def test_a_plan_shows_what_changes_and_changes_nothing(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        rows = self.succeed("plan", self.write_georgia("one"))
        changed = {(row["document"], row["field"]): row["after"] for row in rows}
        self.assertEqual("model", changed["ga-south", "services.veneer-llm.kind"])
        self.assertEqual("(hidden)", changed["ga-south", "hint_key"])
        self.assertEqual({"ga-south"}, {row["document"] for row in rows})
        self.assertEqual(1, self.present().number)

    def test_a_plan_that_could_not_be_applied_says_why(self) -> None:
        result = self.run_command("plan", HSINCHU)
        self.assertEqual(EXIT_BAD_INPUT, result.code)
        self.assertThat(result.text, Contains("apply the base file first"))


class HistoryTest(GenerationsCase):
    def test_past_generations_are_listed_compared_and_put_back(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        self.succeed("apply", self.write_georgia("one"))
        self.succeed("apply", self.write_georgia("two"))
        history = self.succeed("history")
        self.assertEqual([1, 2, 3], [row["generation"] for row in history])
        self.assertEqual(["ga-south"], history[2]["changed"])
        self.assertEqual([], self.succeed("diff", "3"))
        rows = self.succeed("diff", "2", "3")
        self.assertEqual([("ga-south", "hint_key")], [(r["document"], r["field"]) for r in rows])
        before = self.present().find(2).fragments
        self.succeed("rollback", "2")
        self.assertEqual(4, self.present().number)
        self.assertEqual(before, self.present().fragments)

    def test_a_generation_that_is_not_remembered_is_named_in_the_error(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        for words in (("rollback", "7"), ("diff", "7")):
            result = self.run_command(*words)
            self.assertEqual(EXIT_FAILED, result.code)
            self.assertThat(result.text, Contains("generation 7 is not in the history"))
            self.assertThat(result.text, Contains("choose one of: 1"))

    def test_a_rollback_whose_answer_is_lost_can_be_repeated(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        self.succeed("apply", self.write_georgia("one"))
        self.fleet.set_faults(lose_answers=1)
        result = self.run_command("rollback", "1", "--apply-id", "back")
        self.assertEqual(EXIT_UNAVAILABLE, result.code)
        self.assertThat(result.text, Contains("--apply-id back"))
        self.succeed("rollback", "1", "--apply-id", "back")
        self.assertEqual(3, self.present().number)

    def test_the_history_is_bounded(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        for number in range(HISTORY_LENGTH + 3):
            self.store.roll_back(1 + number, apply_id=f"again-{number}")
        self.assertEqual(HISTORY_LENGTH, len(self.present().history))
        self.assertEqual(HISTORY_LENGTH + 4, self.present().number)


class WithdrawTest(GenerationsCase):
    """Two firms share the fleet; one leaves."""

    def test_the_other_site_stays_as_it_is(self) -> None:
        self.succeed("apply", BASE, HSINCHU, self.write_georgia("one"))
        before = self.present().fragments["tw-north"]
        self.succeed("withdraw", "ga-south")
        after = self.present()
        self.assertEqual(before, after.fragments["tw-north"])
        self.assertEqual({"base", "tw-north"}, set(after.fragments))
        services = [row["service"] for row in self.succeed("get", "services")]
        self.assertThat(services, Not(Contains("veneer-llm")))
        self.assertEqual(["tw-north"], [row["site"] for row in self.succeed("get", "sites")])

    def test_an_unknown_site_is_refused(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        result = self.run_command("withdraw", "nowhere")
        self.assertEqual(EXIT_FAILED, result.code)
        self.assertThat(result.text, Contains("site nowhere does not exist"))
        self.assertEqual(1, self.present().number)


class StatusWaitTest(GenerationsCase):
    def test_a_host_that_does_not_follow_is_named_when_the_wait_is_over(self) -> None:
        self.succeed("apply", BASE, HSINCHU)
        self.assertEqual([], self.succeed("status", "--wait", "5"))
        nowhere = Endpoint("127.0.0.1", 1)
        host = HostRecord("hsinchu-1", "x", "tw-north", "a", nowhere, nowhere, nowhere)
        client = PlatformClient(PlatformSettings(url=self.fleet.platform_url))
        client.create(PlatformObject(Kind.HOSTS, host.name, unstructure(host)))
        result = self.run_command("status", "--wait", "0.1")
        self.assertEqual(EXIT_UNAVAILABLE, result.code)
        self.assertThat(result.text, Contains("not in force after 0.1 s at hsinchu-1"))
