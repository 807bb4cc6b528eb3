"""The call that lists what an engine has cached."""

from json import loads

from cherrylane.errors import UpstreamError
from cherrylane.relay.request import PromptPart

CACHE_LIST_PATH = b"/kv-list"


def decode_cache_list(body: bytes) -> tuple[PromptPart, ...]:
    """Decode the answer of an engine; raises :class:`UpstreamError` if it cannot be read.

    Each entry has the form [empty text, key, tokens, model].
    """
    try:
        return tuple(PromptPart(str(key), int(tokens)) for _, key, tokens, _ in loads(body)["held"])
    except (ValueError, KeyError, TypeError) as error:
        raise UpstreamError(
            f"list of cached parts not understood ({type(error).__name__}: {error})",
            remedy="caches are learnt from requests instead",
            sent=True,
        ) from error
