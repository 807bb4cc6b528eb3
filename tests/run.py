"""Runs every test; passes over and prints those that KNOWN-RED.txt lists."""

import sys
from pathlib import Path
from unittest import TestLoader, TestSuite, TextTestRunner

from testtools import iterate_tests

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail: each entry begins with its test."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def main() -> None:
    known_red = read_known_red()
    loader = TestLoader()
    selected = TestSuite()
    for test in iterate_tests(loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))):
        if test.id() in known_red:
            print(f"KNOWN RED, passed over: {test.id()}")
        else:
            selected.addTest(test)
    result = TextTestRunner(verbosity=1, buffer=True).run(selected)
    sys.exit(0 if result.wasSuccessful() else 1)


if __name__ == "__main__":
    main()
