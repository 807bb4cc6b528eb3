import os
from json import loads

from logbook import INFO, Logger
from testtools import TestCase

from cherrylane.telemetry import output
from cherrylane.telemetry.counters import Telemetry
from cherrylane.telemetry.output import (
    BUFFER_BYTES,
    BURST_LINES,
    SUMMARY_INTERVAL_S,
    LineWriter,
    RateLimitedHandler,
)

log = Logger("cherrylane.tests")


class LogOutputTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.writer = LineWriter(writer)
        self.handler = RateLimitedHandler(self.writer, "host-1", level=INFO)

    def read_lines(self) -> list[dict[str, object]]:
        self.writer.flush()
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
                self.writer.flush()
        except BlockingIOError:
            pass
        return [loads(line) for line in data.splitlines()]

    def test_a_line_contains_the_standard_and_extra_fields(self) -> None:
        with self.handler.applicationbound():
            log.info("request", extra={"request": "7", "outcome": "answered"})
        line = self.read_lines()[0]
        self.assertEqual(
            ("host-1", "INFO", "request", "7", "answered"),
            tuple(line[name] for name in ("host", "level", "message", "request", "outcome")),
        )

    def test_a_stopped_reader_does_not_block_logging(self) -> None:
        with self.handler.applicationbound():
            for _ in range(int(BURST_LINES)):
                log.info("x" * 1000)
        self.assertTrue(self.writer._buffered_bytes <= BUFFER_BYTES)
        self.assertTrue(self.handler.dropped["x" * 1000] > 0)
        for line in self.read_lines():
            self.assertEqual("x" * 1000, line["message"])

    def flood(self, lines: int) -> list[str]:
        """Log ``lines`` lines and return the messages that were written."""
        messages: list[str] = []
        with self.handler.applicationbound():
            for _ in range(lines):
                log.info("flood")
                if self.writer._buffer:
                    messages += [str(line["message"]) for line in self.read_lines()]
        return messages + [str(line["message"]) for line in self.read_lines()]

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self) -> None:
        """The clock is stopped, so that a slow machine does not affect the result."""
        now = self.handler._refilled_at
        self.patch(output, "monotonic", lambda: now)
        self.assertEqual(int(BURST_LINES), len(self.flood(int(BURST_LINES) + 500)))
        self.assertEqual(500, self.handler.dropped["flood"])

    def test_dropped_lines_are_summarized_after_the_interval(self) -> None:
        now = self.handler._refilled_at
        self.patch(output, "monotonic", lambda: now)
        self.flood(int(BURST_LINES) + 500)
        self.patch(output, "monotonic", lambda: now + 2 * SUMMARY_INTERVAL_S)
        self.assertEqual(["flood", "log lines dropped"], self.flood(1))
        self.assertEqual(0, self.handler.dropped["flood"])

    def test_a_closed_reader_is_not_an_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        self.assertTrue(LineWriter(writer).write(b"line\n"))


class TelemetryTest(TestCase):
    def test_metrics_are_rendered_as_text(self) -> None:
        telemetry = Telemetry()
        telemetry.count("requests", kind="safe", outcome="answered")
        telemetry.count("requests", kind="safe", outcome="answered")
        telemetry.add_gauge("config_version", lambda: 7)
        for milliseconds in range(1, 101):
            telemetry.observe("request", milliseconds / 1000, kind="safe")
        lines = telemetry.render().splitlines()
        self.assertIn('cherrylane_requests_total{kind="safe",outcome="answered"} 2', lines)
        self.assertIn("cherrylane_config_version 7", lines)
        self.assertIn('cherrylane_request_seconds_count{kind="safe"} 100', lines)
        median = next(line for line in lines if 'quantile="0.5"' in line)
        self.assertTrue(0.045 <= float(median.split()[-1]) <= 0.056, median)
