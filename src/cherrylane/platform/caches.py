"""The call that lists the prompt parts cached by an engine."""

from json import loads

from cherrylane.errors import DECODING_ERRORS, UpstreamError
from cherrylane.relay.request import PromptPart

CACHE_LIST_PATH = b"/kv-list"


def decode_cache_list(body: bytes) -> tuple[PromptPart, ...]:
    """Decode an engine's response; raises :class:`UpstreamError` if it is malformed.

    Each entry has the form [empty string, key, tokens, model].
    """
    try:
        return tuple(PromptPart(str(key), int(tokens)) for _, key, tokens, _ in loads(body)["held"])
    except DECODING_ERRORS as error:
        raise UpstreamError(
            f"malformed list of cached prompt parts ({type(error).__name__}: {error})",
            remedy="none needed; cached parts are recorded from requests instead",
            sent=True,
        ) from error
