"""``cherrylane hash-key``."""

from argparse import Namespace
from hashlib import sha256
from sys import stdin

from cherrylane.errors import SettingsError


def hash_key(arguments: Namespace) -> None:
    """Print the SHA-256 digest of the API key read from standard input."""
    key = stdin.read().strip()
    if not key:
        raise SettingsError("no API key on standard input", remedy="pipe one key into the command")
    print(sha256(key.encode()).hexdigest())
