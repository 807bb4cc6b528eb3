"""Reading of an answer's usage, without parsing the whole answer."""

from re import compile as compile_pattern

_CACHED_PATTERN = compile_pattern(rb'"cached_tokens"\s*:\s*(\d{1,9})')


def find_cached_tokens(answer_end: bytes) -> int | None:
    """Return the prompt tokens that an OpenAI-style answer says were cached, None if it doesn't.

    Example::

        find_cached_tokens(b'"prompt_tokens_details": {"cached_tokens": 64}}}')  # 64
    """
    found = _CACHED_PATTERN.findall(answer_end)
    return int(found[-1]) if found else None
