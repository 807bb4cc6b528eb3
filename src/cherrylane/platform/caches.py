"""The call that lists the prompt parts cached by an engine."""

from typing import Any

from logbook import Logger

from cherrylane.errors import DECODING_ERRORS, UpstreamError
from cherrylane.fields import read_count, read_name
from cherrylane.platform.partial import load_partly
from cherrylane.relay.request import PromptPart

CACHE_LIST_PATH = b"/kv-list"
# Levels down to which a list is taken apart if it cannot be read as a whole: to its entries.
LIST_LEVELS = 2

log = Logger("cherrylane.platform")


def decode_cache_list(body: bytes) -> tuple[PromptPart, ...]:
    """Decode an engine's response; raises :class:`UpstreamError` if it is malformed.

    Each entry has the form [empty string, key, tokens, model]; malformed entries are left out.
    """
    try:
        items = list(load_partly(body, LIST_LEVELS)["held"])
    except DECODING_ERRORS as error:
        raise UpstreamError(
            f"malformed list of cached prompt parts ({type(error).__name__}: {error})",
            remedy="none needed; cached parts are recorded from requests instead",
            sent=True,
        ) from error
    parts = [part for part in map(_decode_part, items) if part is not None]
    if len(parts) < len(items):
        log.warning(
            "malformed cached prompt parts left out", extra={"count": len(items) - len(parts)}
        )
    return tuple(parts)


def _decode_part(item: Any) -> PromptPart | None:
    try:
        _, key, tokens, _ = item
        return PromptPart(read_name(key), read_count(tokens))
    except DECODING_ERRORS:
        return None
