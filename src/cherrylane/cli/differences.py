"""``cherrylane history`` and ``diff``: past generations and the changes between them."""

from argparse import Namespace
from collections.abc import Iterator
from typing import Any

from cherrylane.cli.connection import open_store
from cherrylane.cli.output import Table, print_table
from cherrylane.configuration.store import ConfigurationChange, RawDocuments

HISTORY_HEADINGS = ("generation", "apply_id", "documents", "changed")
DIFFERENCE_HEADINGS = ("document", "field", "before", "after")
# Fields with secret values; a difference shows that they changed, but not the values.
SECRET_FIELDS = frozenset({"hint_key"})
HIDDEN_VALUE = "(hidden)"


def show_history(arguments: Namespace) -> None:
    """List the retained generations, with the one in force last."""
    rows = []
    before: dict[str, str] = {}
    for past in open_store(arguments).read_current_or_empty().list_retained():
        names = sorted(past.fragments.keys() | before.keys())
        changed = [name for name in names if past.fragments.get(name) != before.get(name)]
        rows.append((past.number, past.apply_id, sorted(past.fragments), changed))
        before = past.fragments
    print_table(Table(HISTORY_HEADINGS, rows), arguments.output)


def show_difference(arguments: Namespace) -> None:
    """Show the changes from one generation to another, by default to the one in force."""
    store = open_store(arguments)
    current = store.read_current_or_empty()
    after = current.number if arguments.after is None else arguments.after
    change = ConfigurationChange(
        before=store.read_documents(current.find(arguments.before).fragments),
        after=store.read_documents(current.find(after).fragments),
    )
    print_table(make_difference_table(change), arguments.output)


def make_difference_table(change: ConfigurationChange) -> Table:
    """Return a table with a row for each field that differs; missing values are None."""
    before, after = dict(_flatten(change.before)), dict(_flatten(change.after))
    rows = [
        (document, name, before.get((document, name)), after.get((document, name)))
        for document, name in sorted(before.keys() | after.keys())
        if before.get((document, name)) != after.get((document, name))
    ]
    return Table(DIFFERENCE_HEADINGS, [_hide_secret(row) for row in rows])


def _hide_secret(row: tuple[str, str, Any, Any]) -> tuple[str, str, Any, Any]:
    document, name, before, after = row
    if name not in SECRET_FIELDS:
        return row
    return (
        document,
        name,
        None if before is None else HIDDEN_VALUE,
        None if after is None else HIDDEN_VALUE,
    )


def _flatten(documents: RawDocuments) -> Iterator[tuple[tuple[str, str], Any]]:
    for document, content in documents.items():
        for name, value in _flatten_value("", content):
            yield (document, name), value


def _flatten_value(prefix: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the leaf values by their dotted path.

    Items of a list are addressed by their ``name`` if they have one, else by their index.
    """
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _flatten_value(f"{prefix}.{key}" if prefix else str(key), item)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        for index, item in enumerate(value):
            key = item.get("name", index) if isinstance(item, dict) else index
            yield from _flatten_value(f"{prefix}.{key}", item)
    else:
        yield prefix, value
