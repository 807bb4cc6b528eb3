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


class SelectTraceLinesTest(TestCase):
    def test_includes_state_changes_of_the_hosts_that_handled_the_request(self) -> None:
        lines = [
            line(0.0, "a", "upstream gone"),
            line(8.0, "b", "upstream gone"),
            line(9.0, "a", "store lost"),
            line(10.2, "a", "request", "7"),
            line(10.0, "a", "dispatch", "7"),
            line(10.1, "a", "request", "8"),
            line(11.0, "a", "store regained"),
        ]
        selected = [(item.host, item.message) for item in select_trace_lines(lines, "7")]
        self.assertEqual([("a", "store lost"), ("a", "dispatch"), ("a", "request")], selected)

    def test_an_unknown_request_selects_no_lines(self) -> None:
        self.assertEqual([], select_trace_lines([line(0.0, "a", "request", "7")], "9"))


class TraceCommandTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log = Path(directory.name) / "host.log"

    def trace(self, request: str) -> int:
        arguments = make_parser().parse_args(["trace", request, str(self.log)])
        return run(arguments)

    def format_line(self, **fields: Any) -> str:
        base = {"time": BEGIN.isoformat(), "host": "a", "message": "request", "request": "7"}
        return dumps(base | fields)

    def test_parses_prefixed_lines_and_skips_lines_that_are_not_json(self) -> None:
        text = f"  1.0 host-a {self.format_line(outcome='timed_out')}\nnot a log line\n{{broken\n"
        self.log.write_text(text, encoding="utf-8")
        self.assertEqual(EXIT_OK, self.trace("7"))
        self.assertEqual(EXIT_FAILED, self.trace("8"))

    def test_an_unreadable_log_file_is_bad_input(self) -> None:
        self.assertEqual(EXIT_BAD_INPUT, self.trace("7"))

    def test_the_help_lists_the_command(self) -> None:
        self.assertThat(make_parser().format_help(), Contains("trace"))
