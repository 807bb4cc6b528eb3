"""Reading of single fields that others have written: types, bounds, and texts that can be sent on.

What passes here does not fail where it is used: numbers fit into a float and into a datagram, texts
into a header and a log line. Each function raises ``ValueError`` or ``TypeError`` otherwise.
"""

from functools import lru_cache
from ipaddress import IPv4Address
from math import isfinite
from typing import Any

from cherrylane.settings.schema import Endpoint

# Largest number of any kind: up to it, integers and floats of 64 bits are exact.
MAX_NUMBER = 2**53
MAX_NUMBER_DIGITS = len(str(MAX_NUMBER))
# Longest name of anything, as in the domain name system.
MAX_NAME_CHARACTERS = 253
# Names and addresses whose checks are remembered.
CACHED_TEXTS = 8192
# Characters of a malformed value that an error shows.
MAX_SHOWN_CHARACTERS = 60


def read_name(value: Any) -> str:
    """Return a text that can be the value of a header.

    Example::

        read_name("hsinchu-a")  # "hsinchu-a"
        read_name("a\\r\\nHost: b")  # raises ValueError
    """
    if type(value) is not str:
        raise TypeError(f"{show(value)} is not a string")
    return _check_name(value)


# Heartbeats repeat the same names several times a second.
@lru_cache(maxsize=CACHED_TEXTS)
def _check_name(value: str) -> str:
    if not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise ValueError(f"{show(value)} does not have 1 to {MAX_NAME_CHARACTERS} characters")
    # Lone halves of surrogate pairs are not printable either.
    if not value.isprintable() or value != value.strip():
        raise ValueError(f"{show(value)} has characters that no header can carry")
    return value


def read_count(value: Any, most: int = MAX_NUMBER) -> int:
    """Return a whole number from 0 to ``most``."""
    if type(value) is int and 0 <= value <= most:
        return value
    return int(read_number(value, most=most))


def read_number(value: Any, *, most: float = MAX_NUMBER) -> int | float:
    """Return a finite number from 0 to ``most``."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{show(value)} is not a number")
    if isinstance(value, float) and not isfinite(value) or not 0 <= value <= most:
        raise ValueError(f"{show(value)} is not a number from 0 to {most}")
    return value


def read_digits(text: str) -> int:
    """Return the whole number that a text of decimal digits stands for."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise ValueError(f"{show(text)} is not a number of up to {MAX_NUMBER_DIGITS} digits")
    return int(text)


def read_address(value: Any) -> str:
    """Return an IPv4 address."""
    return _check_address(read_name(value))


@lru_cache(maxsize=CACHED_TEXTS)
def _check_address(value: str) -> str:
    return str(IPv4Address(value))


def read_endpoint(value: Any) -> Endpoint:
    """Return an IPv4 address and port, as in ``10.0.0.1:8227``."""
    address, _, port = read_name(value).rpartition(":")
    number = read_digits(port)
    if not 0 < number < 65536:
        raise ValueError(f"{show(value)} has no port from 1 to 65535")
    return Endpoint(read_address(address), number)


def show(value: Any) -> str:
    """Return a short description of a malformed value, of whatever size it is."""
    match value:
        case str():
            shown = ascii(value[:MAX_SHOWN_CHARACTERS])
            return shown if len(value) <= MAX_SHOWN_CHARACTERS else f"{shown} (cut)"
        case bool() | float() | None:
            return repr(value)
        case int():
            is_short = value.bit_length() <= MAX_NUMBER.bit_length() * 2
            return str(value) if is_short else f"a number of {value.bit_length()} bits"
        case _:
            return f"a {type(value).__name__}"
