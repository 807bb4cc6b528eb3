from pathlib import Path
from re import search

from testtools import TestCase

from cherrylane.platform.versions import NO_VERSION, StoreVersion

SOURCES = Path(__file__).parent.parent / "src" / "cherrylane"
ADAPTER = SOURCES / "platform"
# Comparisons of the number in a revision, which says nothing across eras.
BARE_COMPARISON = r"\.revision\s*(<|>|==|!=)|(<|>|==|!=)\s*\S+\.revision\b"


class StoreVersionTest(TestCase):
    def test_an_era_orders_before_a_revision(self) -> None:
        """After a restoration, revisions go back and are given out again."""
        self.assertTrue(StoreVersion(2, 40) > StoreVersion(1, 57))
        self.assertTrue(StoreVersion(2, 41) > StoreVersion(2, 40))
        self.assertNotEqual(StoreVersion(2, 40), StoreVersion(1, 40))
        self.assertTrue(NO_VERSION < StoreVersion(0, 1))

    def test_nothing_compares_a_bare_revision(self) -> None:
        for path in SOURCES.rglob("*.py"):
            if ADAPTER not in path.parents:
                found = search(BARE_COMPARISON, path.read_text(encoding="utf-8"))
                self.assertIsNone(found, str(path))
