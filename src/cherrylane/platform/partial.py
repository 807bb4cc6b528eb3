"""Reading of JSON of which single values cannot be read.

A list or a batch of changes holds what many writers have written. One of them may have left what no
decoder takes: nesting without end, a number of very many digits, bytes that are no text. The whole
is read at once where that works; where it does not, each item is read for itself, and so are the
members of an item that cannot be read. So an item keeps its name, and only that is lost which
cannot be read.
"""

import re
from json import loads
from typing import Any

from attrs import define, field, frozen

from cherrylane.errors import DECODING_ERRORS

# Strings, runs of brackets of one kind, commas, and a quote that begins a string without an end.
# Scanning takes no recursion.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|"|\[+|\]+|{+|}+|,', re.DOTALL)
KEY = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)
COMMA = b","
QUOTE = b'"'
OPENING = (b"[", b"{")
CLOSING = (b"]", b"}")


@frozen
class Unreadable:
    """Stands for a value that cannot be read."""

    reason: str


@define
class _Container:
    """The positions of an array or object in a document: its brackets, commas and containers."""

    start: int
    is_object: bool
    end: int = -1
    commas: list[int] = field(factory=list)
    inner: list["_Container"] = field(factory=list)


def load_partly(data: bytes, depth: int) -> Any:
    """Decode JSON; of what cannot be read, decode the parts down to ``depth`` levels.

    A value that cannot be read even so is an :class:`Unreadable`. Raises one of
    ``DECODING_ERRORS`` if the document cannot be taken apart.

    Example::

        load_partly(b'{"name": "i-7", "spec": {"slots": 1e}}', depth=1)
        # {"name": "i-7", "spec": Unreadable(reason="...")}
    """
    try:
        return loads(data)
    except DECODING_ERRORS:
        return _load_parts(data, _outline(data, depth))


def _load_parts(data: bytes, container: _Container) -> Any:
    """Decode the elements or members of a container, each for itself."""
    positions = [container.start, *container.commas, container.end]
    pieces = [(start + 1, end) for start, end in zip(positions, positions[1:], strict=False)]
    if not container.commas and not data[container.start + 1 : container.end].strip():
        pieces = []
    if not container.is_object:
        return [_load_piece(data, start, end, container) for start, end in pieces]
    members = {}
    for start, end in pieces:
        key = KEY.match(data, start, end)
        if key is None:
            raise ValueError("a member without a key")
        members[str(loads(key.group(1)))] = _load_piece(data, key.end(), end, container)
    return members


def _load_piece(data: bytes, start: int, end: int, container: _Container) -> Any:
    try:
        return loads(data[start:end])
    except DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
    for inner in container.inner:
        if start <= inner.start < end:
            return _load_parts(data, inner)
    return Unreadable(reason)


def _outline(data: bytes, levels: int) -> _Container:
    """Return the outermost container of a document, with those in it down to ``levels``."""
    root = _Container(-1, is_object=False)
    open_containers = [root]
    depth = 0
    for token in TOKEN.finditer(data):
        mark = token.group()[:1]
        if mark in OPENING:
            for position in range(token.start(), min(token.end(), token.start() + levels - depth)):
                container = _Container(position, is_object=mark == b"{")
                open_containers[-1].inner.append(container)
                open_containers.append(container)
            depth += token.end() - token.start()
        elif mark in CLOSING:
            depth -= token.end() - token.start()
            if depth < 0:
                break
            while len(open_containers) > depth + 1:
                closed = open_containers.pop()
                closed.end = token.end() - 1 - (len(open_containers) - 1 - depth)
        elif token.group() == QUOTE:
            # What follows is a part of the string: the document breaks off in it.
            raise ValueError("a string without an end")
        elif mark == COMMA and 0 < depth <= levels:
            open_containers[-1].commas.append(token.start())
    if depth != 0 or len(root.inner) != 1:
        raise ValueError("brackets that do not match")
    return root.inner[0]
