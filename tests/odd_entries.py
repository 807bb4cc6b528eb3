"""Entries of upstreams that another writer may leave, as the bytes of their specs."""

from json import dumps
from typing import Any

SOUND: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}


def change(**fields: object) -> bytes:
    """Return a sound entry with changed fields."""
    return dumps(SOUND | fields).encode()


def extend(raw: bytes) -> bytes:
    """Return a sound entry with another field, whose value is ``raw``."""
    return dumps(SOUND).encode()[:-1] + b', "extra": ' + raw + b"}"


def replace(field: str, raw: bytes) -> bytes:
    """Return a sound entry with ``raw`` as the value of a field."""
    marked = dumps(SOUND | {field: "@"}).encode()
    return marked.replace(b'"@"', raw)


# By what is odd about each. None of them names an upstream to use.
ODD_ENTRIES: dict[str, bytes] = {
    "nested 2,000 arrays deep": extend(b"[" * 2000 + b"]" * 2000),
    "nested 100,000 objects deep": extend(b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "a number of 5,000 digits": extend(b"9" * 5000),
    "no JSON": b'{"service": desk}',
    "bytes that are no text": replace("zone", b'"\xff\xfe"'),
    "no mapping": b"[1, 2]",
    "null": b"null",
    "slots of 400 digits": replace("slots", b"9" * 400),
    "slots of 4,000 digits": replace("slots", b"9" * 4000),
    "slots Infinity": replace("slots", b"Infinity"),
    "slots NaN": replace("slots", b"NaN"),
    "slots below zero": change(slots=-1),
    "slots as text": change(slots="4"),
    "slots missing": dumps({key: SOUND[key] for key in SOUND if key != "slots"}).encode(),
    "born of 4,000 digits": replace("born", b"9" * 4000),
    "cold of 400 digits": replace("cold_remaining_ms", b"9" * 400),
    "port out of range": change(address="127.0.0.1:70000"),
    "port of 5,000 digits": change(address="127.0.0.1:" + "9" * 5000),
    "port of no decimal digit": change(address="127.0.0.1:\u00b2"),
    "address out of range": change(address="999.1.2.3:80"),
    "address of another script": change(address="\u0661.1.1.1:80"),
    "half of a surrogate pair as zone": change(zone="\ud800"),
    "half of a surrogate pair as version": change(version="\ud800"),
    "half of a surrogate pair as service": change(service="\ud800"),
    "a line break in the version": change(version="v1\r\nTenant: other"),
    "version of 70,000 characters": change(version="v" * 70_000),
    "unknown state": change(state="resting"),
    "state as a list": change(state=["ready"]),
    "breaks off within a text": b'{"service": "desk", "address": "127.0',
    "breaks off within a key": b'{"service": "desk", "addr',
    "breaks off behind a colon": b'{"service": "desk", "address":',
    "breaks off within an escape": b'{"service": "desk", "address": "\\',
    "breaks off within an object": b'{"service": "desk", "slots": {',
    "breaks off within arrays": b'{"service": "desk", "slots": [[[',
    "a quote": b'"',
    "nothing": b"",
    "a comma": b",",
    "a bracket too many": dumps(SOUND).encode() + b"}",
    "brackets too many": dumps(SOUND).encode() + b"}]",
    "brackets and a comma too many": dumps(SOUND).encode() + b"}],",
    "an array's end too many": dumps(SOUND).encode() + b"]",
}
# Names under which no entry names an upstream to use.
ODD_NAMES = ("\ud800", "i-\r\nTenant: other", "i" * 3000, " i", "i\0", "")
