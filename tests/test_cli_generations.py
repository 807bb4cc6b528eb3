from json import loads
from pathlib import Path
from typing import Any

from testtools.matchers import Contains, Not

from cherrylane.cli.main import EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK, EXIT_UNAVAILABLE
from cherrylane.configuration.store import HISTORY_LENGTH, ConfigurationStore, Generation
from cherrylane.daemon.fleet import FleetWatcher
from cherrylane.membership.roster import HostRecord
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.routing.view import FleetView
from cherrylane.settings.documents import unstructure
from cherrylane.settings.schema import Endpoint, PlatformSettings
from standins.fleet import ROOT, CommandResult, wait_until
from tests.cases import FleetCase

BASE_FILE, TW_NORTH_FILE = (
    str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml")
)
GA_SOUTH_OVERLAY = """\
site: ga-south
hint_key: example-georgia-key-{key}
services:
  veneer-llm: {{kind: model, models: [veneer-8b]}}
accounts:
  - {{name: buyers, key_sha256: {digest}}}
"""
KEY_SHA256 = "ab" * 32


class GenerationsCase(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.settings = PlatformSettings(url=self.fleet.platform_url)
        self.store = ConfigurationStore(PlatformClient(self.settings))

    def run_command(self, *arguments: str) -> CommandResult:
        return self.fleet.try_cli("--output", "json", *arguments)

    def run_successfully(self, *arguments: str) -> list[dict[str, Any]]:
        result = self.run_command(*arguments)
        self.assertEqual(EXIT_OK, result.code, result.text)
        return list(loads(result.text))

    def write_ga_south_overlay(self, key: str) -> str:
        path = Path(self.fleet.directory) / f"ga-south-{key}.yaml"
        path.write_text(GA_SOUTH_OVERLAY.format(key=key, digest=KEY_SHA256), encoding="utf-8")
        return str(path)

    def read_current(self) -> Generation:
        return self.store.read_current_or_empty()


class PlanTest(GenerationsCase):
    def test_a_plan_shows_the_changes_without_applying_them(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        rows = self.run_successfully("plan", self.write_ga_south_overlay("one"))
        changed = {(row["document"], row["field"]): row["after"] for row in rows}
        self.assertEqual("model", changed["ga-south", "services.veneer-llm.kind"])
        self.assertEqual("(hidden)", changed["ga-south", "hint_key"])
        self.assertEqual({"ga-south"}, {row["document"] for row in rows})
        self.assertEqual(1, self.read_current().number)

    def test_a_plan_that_cannot_be_applied_reports_the_reason(self) -> None:
        result = self.run_command("plan", TW_NORTH_FILE)
        self.assertEqual(EXIT_BAD_INPUT, result.code)
        self.assertThat(result.text, Contains("apply the base file first"))


class HistoryTest(GenerationsCase):
    def test_past_generations_can_be_listed_compared_and_rolled_back_to(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        self.run_successfully("apply", self.write_ga_south_overlay("one"))
        self.run_successfully("apply", self.write_ga_south_overlay("two"))
        history = self.run_successfully("history")
        self.assertEqual([1, 2, 3], [row["generation"] for row in history])
        self.assertEqual(["ga-south"], history[2]["changed"])
        self.assertEqual([], self.run_successfully("diff", "3"))
        rows = self.run_successfully("diff", "2", "3")
        self.assertEqual(
            [("ga-south", "hint_key")], [(change["document"], change["field"]) for change in rows]
        )
        before = self.read_current().find(2).fragments
        self.run_successfully("rollback", "2")
        self.assertEqual(4, self.read_current().number)
        self.assertEqual(before, self.read_current().fragments)

    def test_the_error_names_a_generation_that_is_not_in_the_history(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        for arguments in (("rollback", "7"), ("diff", "7")):
            result = self.run_command(*arguments)
            self.assertEqual(EXIT_FAILED, result.code)
            self.assertThat(result.text, Contains("generation 7 is not in the history"))
            self.assertThat(result.text, Contains("choose one of: 1"))

    def test_a_rollback_whose_response_is_lost_can_be_retried(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        self.run_successfully("apply", self.write_ga_south_overlay("one"))
        self.fleet.set_faults(lose_answers=1)
        result = self.run_command("rollback", "1", "--apply-id", "back")
        self.assertEqual(EXIT_UNAVAILABLE, result.code)
        self.assertThat(result.text, Contains("--apply-id back"))
        self.run_successfully("rollback", "1", "--apply-id", "back")
        self.assertEqual(3, self.read_current().number)

    def test_the_history_length_is_bounded(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        for number in range(HISTORY_LENGTH + 3):
            self.store.roll_back(1 + number, apply_id=f"again-{number}")
        self.assertEqual(HISTORY_LENGTH, len(self.read_current().history))
        self.assertEqual(HISTORY_LENGTH + 4, self.read_current().number)


class WithdrawTest(GenerationsCase):
    """Withdrawing the site of one firm must not change the other firm's site."""

    def test_the_other_site_is_unchanged(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE, self.write_ga_south_overlay("one"))
        before = self.read_current().fragments["tw-north"]
        self.run_successfully("withdraw", "ga-south")
        after = self.read_current()
        self.assertEqual(before, after.fragments["tw-north"])
        self.assertEqual({"base", "tw-north"}, set(after.fragments))
        services = [row["service"] for row in self.run_successfully("get", "services")]
        self.assertThat(services, Not(Contains("veneer-llm")))
        self.assertEqual(
            ["tw-north"], [row["site"] for row in self.run_successfully("get", "sites")]
        )

    def test_an_unknown_site_is_rejected(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        result = self.run_command("withdraw", "nowhere")
        self.assertEqual(EXIT_FAILED, result.code)
        self.assertThat(result.text, Contains("site nowhere does not exist"))
        self.assertEqual(1, self.read_current().number)


class StatusWaitTest(GenerationsCase):
    def test_a_host_without_the_generation_in_force_is_named_after_the_wait(self) -> None:
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        self.assertEqual([], self.run_successfully("status", "--wait", "5"))
        unreachable = Endpoint("127.0.0.1", 1)
        host = HostRecord("hsinchu-1", "x", "tw-north", "a", unreachable, unreachable, unreachable)
        client = PlatformClient(PlatformSettings(url=self.fleet.platform_url))
        client.create(PlatformObject(Kind.HOSTS, host.name, unstructure(host)))
        result = self.run_command("status", "--wait", "0.1")
        self.assertEqual(EXIT_UNAVAILABLE, result.code)
        self.assertThat(result.text, Contains("generation not in force after 0.1 s on hsinchu-1"))


class RestoredStoreTest(GenerationsCase):
    """The store comes back from a copy without the generation that hosts serve."""

    def setUp(self) -> None:
        super().setUp()
        self.run_successfully("apply", BASE_FILE, TW_NORTH_FILE)
        self.first = self.read_current()
        self.run_successfully("apply", self.write_ga_south_overlay("one"))
        self.second = self.read_current()
        self.generations: list[int] = []
        self.hint_keys: list[str] = []
        fleet = FleetWatcher(PlatformClient(self.settings), self.record_view)
        fleet.start()
        self.addCleanup(fleet.stop)
        wait_until(lambda: self.generations[-1:] == [2], "the second generation")

    def record_view(self, view: FleetView) -> None:
        self.generations.append(view.configuration.generation)
        self.hint_keys.append(view.configuration.hint_keys.get("ga-south", ""))

    def restore(self, writes: int) -> None:
        self.fleet.request("POST", f"{self.fleet.platform_url}/restore", {"writes": writes})

    def test_a_host_puts_back_the_generation_that_it_serves(self) -> None:
        # The last write made it the current one; its documents are in the copy.
        self.restore(1)
        wait_until(lambda: self.read_current() == self.second, "the return of the generation")
        self.assertEqual({2}, set(self.generations[self.generations.index(2) :]))

    def test_a_later_apply_gets_the_same_number_and_is_in_force(self) -> None:
        self.restore(2)
        self.assertEqual(self.first, self.read_current())
        self.run_successfully("apply", self.write_ga_south_overlay("two"))
        applied = self.read_current()
        self.assertEqual(self.second.number, applied.number)
        wait_until(lambda: self.hint_keys[-1].endswith("two"), "the later apply to be in force")
        self.assertEqual({2}, set(self.generations[self.generations.index(2) :]))
