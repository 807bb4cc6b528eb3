"""Formatting of results as an aligned text table or as JSON."""

from collections.abc import Sequence
from enum import Enum
from json import dumps
from typing import Any

from attrs import frozen

COLUMN_GAP = "  "


class OutputFormat(Enum):
    """The formats in which results can be printed."""

    TABLE = "table"
    JSON = "json"

    def __str__(self) -> str:
        return self.value


@frozen
class Table:
    """Rows of values with column headings."""

    headings: Sequence[str]
    rows: Sequence[Sequence[Any]]

    def to_data(self) -> list[dict[str, Any]]:
        """Return the rows as mappings from heading to value."""
        return [dict(zip(self.headings, row, strict=True)) for row in self.rows]


def print_table(table: Table, output: OutputFormat) -> None:
    """Write ``table`` to standard output."""
    match output:
        case OutputFormat.JSON:
            print(dumps(table.to_data(), indent=2))
        case OutputFormat.TABLE:
            print(render_table(table))


def render_table(table: Table) -> str:
    """Return ``table`` as text with aligned columns."""
    lines = [[heading.upper() for heading in table.headings]]
    lines += [[_format_cell(value) for value in row] for row in table.rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(table.headings))]
    return "\n".join(_render_line(line, widths) for line in lines)


def _render_line(line: list[str], widths: list[int]) -> str:
    cells = (text.ljust(width) for text, width in zip(line, widths, strict=True))
    return COLUMN_GAP.join(cells).rstrip()


def _format_cell(value: Any) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    return str(value) if value not in (None, "") else "-"
