"""Log handlers and formatters: one JSON object per line, or human-readable text."""

from json import dumps
from sys import stderr
from typing import Any

from logbook import LogRecord, StreamHandler, lookup_level

from cherrylane.settings.schema import LogFormat, LogSettings


def make_handler(settings: LogSettings, host: str) -> StreamHandler:
    """Return a handler that writes the log of ``host`` to standard error."""
    handler = StreamHandler(stderr, level=lookup_level(settings.level))
    handler.formatter = (
        _TextFormatter() if settings.format is LogFormat.TEXT else JsonFormatter(host)
    )
    return handler


class JsonFormatter:
    """Formats a record as one line of JSON; its extra fields become keys of the object."""

    def __init__(self, host: str) -> None:
        self._host = host

    def __call__(self, record: LogRecord, handler: Any) -> str:
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="microseconds"),
            "level": record.level_name,
            "host": self._host,
            "channel": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return dumps(line, default=str)


class _TextFormatter:
    def __call__(self, record: LogRecord, handler: Any) -> str:
        fields = "".join(f" {key}={value}" for key, value in record.extra.items())
        text = f"{record.time:%Y-%m-%d %H:%M:%S.%f} {record.level_name:7} {record.channel}: "
        exception = f"\n{record.formatted_exception}" if record.exc_info else ""
        return f"{text}{record.message}{fields}{exception}"
