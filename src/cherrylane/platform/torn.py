"""Reading of lists in which the text of an item breaks off.

An item that ends within a string, or without its closing brackets, changes the meaning of all that
follows: a reader of the whole document takes the items behind it for a part of that string. So each
item is looked for by how items begin, and read for itself.
"""

import re
from json import JSONDecoder
from typing import Any

from attrs import define, frozen

from cherrylane.errors import DECODING_ERRORS
from cherrylane.platform.partial import Unreadable

DECODER = JSONDecoder()
KEY = re.compile(r'\s*("[^"\\\x00-\x1f]*")\s*:\s*')
COMMA = re.compile(r"\s*,")
# What follows an item: another one, or the end of the list.
NEXT_ITEM = re.compile(r"\s*,\s*\{")
END_OF_LIST = re.compile(r"\s*\]")
# Bytes that are no UTF-8, as they are decoded here.
NO_TEXT = re.compile("[\udc80-\udcff]")
# Items that break off, after which a document is given up.
MAX_BROKEN_ITEMS = 1000


@frozen
class ListLayout:
    """The member of a document that is the list, the members of its items, and those beside it.

    The values of ``scalars`` are whole numbers or booleans. Members are read down to ``levels`` if
    the item cannot be read as a whole.
    """

    array: str
    item_members: tuple[str, ...]
    scalars: tuple[str, ...]
    levels: int

    def find_starts(self) -> re.Pattern[str]:
        """Return the pattern of the begin of an item."""
        names = "|".join(map(re.escape, self.item_members))
        return re.compile(rf'\{{\s*"(?:{names})"\s*:')


@define
class _Reader:
    """Reads values from ``text`` one by one."""

    text: str
    position: int = 0
    # Whether the value that was read last is incomplete.
    is_broken: bool = False

    def read(self, levels: int) -> Any:
        """Read the value at the position; of one that breaks off, the members before that."""
        start = self.position
        try:
            value, end = DECODER.raw_decode(self.text, start)
            if NO_TEXT.search(self.text, start, end):
                raise ValueError("bytes that are no text")
        except DECODING_ERRORS as error:
            self.is_broken = True
            if levels == 0 or not self.text.startswith("{", start):
                return Unreadable(f"{type(error).__name__}: {error}")
            return self._read_members(levels)
        self.position, self.is_broken = end, False
        return value

    def _read_members(self, levels: int) -> dict[str, Any]:
        members: dict[str, Any] = {}
        self.position += 1
        while key := KEY.match(self.text, self.position):
            value_at = self.position = key.end()
            members[key[1][1:-1]] = self.read(levels - 1)
            if self.is_broken:
                return members
            comma = COMMA.match(self.text, self.position)
            if comma is None:
                # A string that seems to end here may have taken in the begin of the next item.
                self.position = value_at
                break
            self.position = comma.end()
        self.is_broken = True
        trusted: dict[str, Any] = _distrust(members, levels)
        return trusted


def load_torn(data: bytes, layout: ListLayout) -> dict[str, Any]:
    """Decode a list with items that break off; what of these comes before that is kept.

    Raises ``ValueError`` if more than ``MAX_BROKEN_ITEMS`` do.

    Example::

        layout = ListLayout("items", ("name", "spec"), ("revision",), levels=1)
        load_torn(b'{"items": [{"name": "a", "spec": "x}, {"name": "b"}], "revision": 7}', layout)
        # {"items": [{"name": "a", "spec": Unreadable(...)}, {"name": "b"}], "revision": 7}
    """
    text = data.decode("utf-8", "surrogateescape")
    reader = _Reader(text)
    starts = layout.find_starts()
    items: list[Any] = []
    outside = []
    broken = 0
    is_at_end = False
    while start := starts.search(text, reader.position):
        outside.append(text[reader.position : start.start()])
        if is_at_end:
            # The bracket was the item's own.
            items[-1] = _distrust(items[-1], layout.levels)
        reader.position = start.start()
        item = reader.read(layout.levels)
        is_at_end = not reader.is_broken and bool(END_OF_LIST.match(text, reader.position))
        if not (reader.is_broken or is_at_end or NEXT_ITEM.match(text, reader.position)):
            item, reader.is_broken = _distrust(item, layout.levels), True
        items.append(item)
        broken += reader.is_broken
        if broken > MAX_BROKEN_ITEMS:
            raise ValueError(f"more than {MAX_BROKEN_ITEMS} items that break off")
    outside.append(text[reader.position :])
    scalars = {name: _find_scalar(name, "".join(outside)) for name in layout.scalars}
    found = {name: value for name, value in scalars.items() if value is not None}
    return {layout.array: items} | found


def _distrust(value: Any, levels: int) -> Any:
    """Return the part of an item that holds though the item ends elsewhere than it seems to.

    That is its first member, by which items name what they describe, at each level.
    """
    if levels == 0 or not isinstance(value, dict) or not value:
        return value
    first, *others = value
    unreadable = Unreadable("the item does not end where it seems to")
    kept: dict[str, Any] = {first: _distrust(value[first], levels - 1)}
    return kept | dict.fromkeys(others, unreadable)


def count_starts(data: bytes, layout: ListLayout) -> int:
    """Return how many items begin in a document, with those that look so in the items."""
    text = data.decode("utf-8", "surrogateescape")
    return sum(1 for _ in layout.find_starts().finditer(text))


def _find_scalar(name: str, text: str) -> int | bool | None:
    """Return the last value of a member in ``text``, None if there is none."""
    found = re.findall(rf'"{re.escape(name)}"\s*:\s*(true|false|\d{{1,19}})(?!\d)', text)
    match found[-1:]:
        case []:
            return None
        case ["true" | "false" as value]:
            return bool(value == "true")
        case [number]:
            return int(number)
    return None
