"""``cherrylane hash-key``."""

from argparse import Namespace
from hashlib import sha256
from sys import stdin

from cherrylane.errors import SettingsError


def hash_key(arguments: Namespace) -> None:
    """Print the SHA-256 of the API key on standard input."""
    key = stdin.read().strip()
    if not key:
        raise SettingsError("found no key on standard input", remedy="pipe one key in")
    print(sha256(key.encode()).hexdigest())
