import re
from collections.abc import Iterator
from pathlib import Path

from testtools import TestCase

from cherrylane.platform import headers

SOURCE = Path(headers.__file__).parent.parent
ADAPTER = SOURCE / "platform"
# Names of the platform's documents and calls, and headers that no standard knows.
FIELDS = (
    "api_keys",
    "cold_remaining_ms",
    "gap_aim_ms",
    "header_timeout_ms",
    "kv_capacity_tokens",
    "serializable",
    "store_revision",
    "target_latency_ms",
    "traffic_split",
    "/kv-list",
    "/objects/",
    "/resolve",
)
# Names that nothing of ours contains, in quotes or not, in whatever case.
FOREIGN = (
    "api_keys",
    "budget_slack",
    "check-in",
    "cold_remaining_ms",
    "config_apply_ms",
    "create_rev",
    "finalizers",
    "gap_aim_ms",
    "kv-events",
    "kv-list",
    "kv_capacity_tokens",
    "payoff",
    "port_range",
    "store_revision",
    "target_latency_ms",
    "tenant",
    "traffic_split",
)
STANDARD = {b"Authorization", b"Last-Event-Id", b"Retry-After"}


def list_headers() -> list[bytes]:
    """Return the platform's headers that no standard knows."""
    constants = [value for value in vars(headers).values() if isinstance(value, bytes)]
    return [value for value in constants if value not in STANDARD]


def read_sources() -> Iterator[tuple[str, str]]:
    """Yield the name and the text of each module outside the adapter."""
    for path in SOURCE.rglob("*.py"):
        if ADAPTER not in path.parents:
            yield str(path.relative_to(SOURCE)), path.read_text(encoding="utf-8")


class VocabularyTest(TestCase):
    def test_the_platforms_names_stay_in_its_adapter(self) -> None:
        own = {value.decode() for value in list_headers()}
        found = [
            (path, name)
            for path, text in read_sources()
            for name in (*own, *FIELDS)
            if f'"{name}"' in text
        ]
        self.assertEqual([], found)

    def test_names_that_are_not_the_fields_stand_nowhere_else_at_all(self) -> None:
        standard = {value.lower() for value in STANDARD}
        sent = {value.lower() for value in (*list_headers(), *headers.ROUTER_HEADERS)}
        hyphened = {value.decode() for value in sent - standard if b"-" in value}
        names = hyphened | set(FOREIGN)
        self.assertTrue(len(names) > len(FOREIGN) + 8, str(names))
        pattern = re.compile("|".join(re.escape(name) for name in sorted(names)))
        found = [
            (path, match.group())
            for path, text in read_sources()
            for match in pattern.finditer(text.lower())
        ]
        self.assertEqual([], found)
