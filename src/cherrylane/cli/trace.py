"""The story of one request, from the logs of all hosts that it touched.

Besides the request's own lines it shows what the hosts came to believe shortly before and during
it: upstreams that came or went, configurations, and dependencies that were lost.
"""

from argparse import Namespace
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from json import JSONDecodeError, loads
from pathlib import Path
from sys import stdin
from typing import Any

from attrs import frozen

from cherrylane.cli.output import Table, print_table
from cherrylane.errors import ObjectNotFoundError, SettingsError

# Beliefs that are shown: those that changed within this time before the request's first line.
CONTEXT_WINDOW = timedelta(seconds=5)
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
    """One line of a log."""

    time: datetime
    host: str
    message: str
    request: str
    fields: dict[str, Any]


def trace_request(options: Namespace) -> None:
    """Print the story of the request that the options name."""
    lines = list(_read_files(options.files))
    story = select_trace_lines(lines, options.request)
    if not story:
        raise ObjectNotFoundError(
            f"no line of request {options.request} in {len(lines)} lines",
            remedy="give the logs of all hosts for the time of the request",
        )
    begin = story[0].time
    rows = [_make_row(line, begin) for line in story]
    print_table(Table(("ms", "host", "message", "request", "fields"), rows), options.output)


def select_trace_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, and the beliefs of its hosts around it, by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.request == request]
    if not own:
        return []
    begin, end = own[0].time - CONTEXT_WINDOW, own[-1].time
    hosts = {line.host for line in own}
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
            with path.open(encoding="utf-8") as opened:
                yield from _parse_lines(opened)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(
                f"cannot read {path} ({error})", remedy="name a log file"
            ) from error


def _parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse lines of JSON, which may stand behind a collector's prefix; others are passed over."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            wire = loads(text[start:])
            yield LogLine(
                time=datetime.fromisoformat(wire["time"]),
                host=str(wire["host"]),
                message=str(wire["message"]),
                request=str(wire.get("request", "")),
                fields={name: wire[name] for name in wire if name not in COMMON_FIELDS},
            )
        except (JSONDecodeError, KeyError, TypeError, ValueError):
            continue


def _make_row(line: LogLine, begin: datetime) -> tuple[Any, ...]:
    offset_ms = (line.time - begin) / timedelta(milliseconds=1)
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    return (round(offset_ms, 1), line.host, line.message, line.request, fields)
