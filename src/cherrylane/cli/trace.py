"""``cherrylane trace``: the log lines of one request from all hosts that handled it.

The output also has the state changes that these hosts logged shortly before and during the
request: added and removed upstreams, new configurations, and lost or regained dependencies.
"""

from argparse import Namespace
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from json import loads
from pathlib import Path
from sys import stdin
from typing import Any

from attrs import frozen

from cherrylane.cli.output import Table, print_table
from cherrylane.errors import DECODING_ERRORS, ObjectNotFoundError, SettingsError

# State changes are included from this long before the first line of the request.
CONTEXT_WINDOW = timedelta(seconds=5)
# Messages of the log lines that report a state change of a host.
CONTEXT_MESSAGES = frozenset(
    {
        "configuration in force",
        "configuration ignored",
        "host silent",
        "started",
        "stopping",
        "store lost",
        "store regained",
        "upstream gone",
        "upstream listed",
        "upstream missing",
    }
)
COMMON_FIELDS = frozenset({"time", "level", "host", "channel", "message", "request"})


@frozen
class LogLine:
    """A parsed log line; ``fields`` holds the fields that not every line has."""

    time: datetime
    host: str
    message: str
    request: str
    fields: dict[str, Any]


def trace_request(arguments: Namespace) -> None:
    """Print the log lines of the given request and the state changes around it."""
    lines = list(_read_files(arguments.files))
    selected = select_trace_lines(lines, arguments.request)
    if not selected:
        raise ObjectNotFoundError(
            f"request {arguments.request} not found in {len(lines)} log lines",
            remedy="give the logs of all hosts from the time of the request",
        )
    begin = selected[0].time
    rows = [_make_row(line, begin) for line in selected]
    print_table(Table(("ms", "host", "message", "request", "fields"), rows), arguments.output)


def select_trace_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of ``request`` and the state changes of its hosts, ordered by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.request == request]
    if not request_lines:
        return []
    begin, end = request_lines[0].time - CONTEXT_WINDOW, request_lines[-1].time
    hosts = {line.host for line in request_lines}
    return [
        line
        for line in ordered
        if line.request == request
        or (line.message in CONTEXT_MESSAGES and line.host in hosts and begin <= line.time <= end)
    ]


def _read_files(files: list[Path]) -> Iterator[LogLine]:
    if not files:
        yield from _parse_lines(stdin)
    for path in files:
        try:
            with path.open(encoding="utf-8") as file:
                yield from _parse_lines(file)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(
                f"cannot read {path} ({error})", remedy="give a readable log file"
            ) from error


def _parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse JSON log lines, with or without a log collector's prefix; skips all other lines."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            record = loads(text[start:])
            yield LogLine(
                time=datetime.fromisoformat(record["time"]),
                host=str(record["host"]),
                message=str(record["message"]),
                request=str(record.get("request", "")),
                fields={name: record[name] for name in record if name not in COMMON_FIELDS},
            )
        except DECODING_ERRORS:
            continue


def _make_row(line: LogLine, begin: datetime) -> tuple[Any, ...]:
    offset_ms = (line.time - begin) / timedelta(milliseconds=1)
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    return (round(offset_ms, 1), line.host, line.message, line.request, fields)
