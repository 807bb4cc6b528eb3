from datetime import datetime, timedelta
from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains

from cherrylane.cli.main import EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK, make_parser, run
from cherrylane.cli.trace import LogLine, select_trace_lines

BEGIN = datetime(2026, 12, 4, 3, 0)


def line(seconds: float, host: str, message: str, request: str = "") -> LogLine:
    return LogLine(BEGIN + timedelta(seconds=seconds), host, message, request, {})


class StoryTest(TestCase):
    def test_a_story_has_the_beliefs_of_the_hosts_that_it_touched(self) -> None:
        lines = [
            line(0.0, "a", "upstream gone"),
            line(8.0, "b", "upstream gone"),
            line(9.0, "a", "store lost"),
            line(10.2, "a", "request", "7"),
            line(10.0, "a", "dispatch", "7"),
            line(10.1, "a", "request", "8"),
            line(11.0, "a", "store regained"),
        ]
        story = [(one.host, one.message) for one in select_trace_lines(lines, "7")]
        self.assertEqual([("a", "store lost"), ("a", "dispatch"), ("a", "request")], story)

    def test_an_unknown_request_has_none(self) -> None:
        self.assertEqual([], select_trace_lines([line(0.0, "a", "request", "7")], "9"))


class TraceCommandTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "host.log"

    def trace(self, request: str) -> int:
        options = make_parser().parse_args(["trace", request, str(self.log)])
        return run(options)

    def write(self, **fields: Any) -> str:
        base = {"time": BEGIN.isoformat(), "host": "a", "message": "request", "request": "7"}
        return dumps(base | fields)

    def test_lines_behind_a_prefix_and_lines_that_are_no_log(self) -> None:
        text = f"  1.0 host-a {self.write(outcome='timed_out')}\nnot a log line\n{{broken\n"
        self.log.write_text(text, encoding="utf-8")
        self.assertEqual(EXIT_OK, self.trace("7"))
        self.assertEqual(EXIT_FAILED, self.trace("8"))

    def test_a_file_that_cannot_be_read_is_named(self) -> None:
        self.assertEqual(EXIT_BAD_INPUT, self.trace("7"))

    def test_the_command_is_listed(self) -> None:
        self.assertThat(make_parser().format_help(), Contains("trace"))
