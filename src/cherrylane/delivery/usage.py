"""Reads token usage from a response without parsing all of it."""

from re import compile as compile_pattern

_CACHED_PATTERN = compile_pattern(rb'"cached_tokens"\s*:\s*(\d{1,9})')


def find_cached_tokens(response_end: bytes) -> int | None:
    """Return the number of cached prompt tokens that an OpenAI-style response reports.

    ``response_end`` is the end of the response body. Returns the last count in it, or None if there
    is none.

    Example::

        find_cached_tokens(b'"prompt_tokens_details": {"cached_tokens": 64}}}')  # 64
    """
    found = _CACHED_PATTERN.findall(response_end)
    return int(found[-1]) if found else None
