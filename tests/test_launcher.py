"""``make run``: Ctrl-C reaches the launcher alone, which stops the fleet in order."""

import sys
from os import killpg
from signal import SIGINT
from subprocess import PIPE, Popen
from threading import Thread

from testtools import TestCase
from testtools.matchers import Contains, MatchesAll, Not

from standins.fleet import ROOT, wait_until

STARTED = "stop with Ctrl-C"
STOPPING = "waiting for daemons"


class LauncherTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[str] = []
        self.process = Popen(
            [sys.executable, "-m", "standins.launcher"],
            stdout=PIPE,
            text=True,
            cwd=ROOT,
            process_group=0,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.reader = Thread(target=self.read, daemon=True)
        self.reader.start()
        self.wait_for_line(STARTED)

    def read(self) -> None:
        assert self.process.stdout is not None
        self.lines.extend(iter(self.process.stdout.readline, ""))

    def wait_for_line(self, text: str) -> None:
        wait_until(lambda: any(text in line for line in list(self.lines)), f"the line {text!r}")

    def press_ctrl_c(self) -> None:
        killpg(self.process.pid, SIGINT)

    def wait_for_exit(self) -> str:
        wait_until(lambda: self.process.poll() is not None, "the launcher to end")
        self.reader.join()
        return "".join(self.lines)

    def test_ctrl_c_stops_the_daemons_first_and_the_platform_last(self) -> None:
        """The platform got the signal as well and was gone before daemons deregistered."""
        self.press_ctrl_c()
        text = self.wait_for_exit()
        self.assertEqual(0, self.process.returncode)
        self.assertThat(
            text, MatchesAll(Contains("stopped all processes"), Not(Contains("at once\nstopped")))
        )
        order = [text.index(kind) for kind in (STOPPING, "waiting for engines", "for platform")]
        self.assertEqual(sorted(order), order)

    def test_a_second_ctrl_c_ends_all_processes_at_once(self) -> None:
        self.press_ctrl_c()
        self.wait_for_line(STOPPING)
        self.press_ctrl_c()
        self.assertThat(self.wait_for_exit(), Contains("ending all processes at once"))
        self.assertEqual(0, self.process.returncode)
