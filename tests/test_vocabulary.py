import re
from collections.abc import Iterator
from pathlib import Path

from testtools import TestCase

from cherrylane.platform import headers

SOURCE = Path(headers.__file__).parent.parent
ADAPTER = SOURCE / "platform"
# Fields and paths of the platform that may be string constants only in its adapter.
PLATFORM_FIELDS = (
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
# Names that must not occur outside the adapter at all, in any case and even within other words.
PLATFORM_WORDS = (
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
STANDARD_HEADERS = {b"Authorization", b"Last-Event-Id", b"Retry-After"}


def list_headers() -> list[bytes]:
    """Return the headers that are specific to the platform."""
    constants = [value for value in vars(headers).values() if isinstance(value, bytes)]
    return [value for value in constants if value not in STANDARD_HEADERS]


def read_sources() -> Iterator[tuple[str, str]]:
    """Yield the path and the text of each module outside the adapter."""
    for path in SOURCE.rglob("*.py"):
        if ADAPTER not in path.parents:
            yield str(path.relative_to(SOURCE)), path.read_text(encoding="utf-8")


class VocabularyTest(TestCase):
    def test_platform_names_are_constants_only_in_the_adapter(self) -> None:
        header_names = {value.decode() for value in list_headers()}
        found = [
            (path, name)
            for path, text in read_sources()
            for name in (*header_names, *PLATFORM_FIELDS)
            if f'"{name}"' in text
        ]
        self.assertEqual([], found)

    def test_platform_specific_names_do_not_occur_outside_the_adapter(self) -> None:
        standard = {value.lower() for value in STANDARD_HEADERS}
        all_headers = {value.lower() for value in (*list_headers(), *headers.ROUTER_HEADERS)}
        hyphenated = {value.decode() for value in all_headers - standard if b"-" in value}
        names = hyphenated | set(PLATFORM_WORDS)
        self.assertTrue(len(names) > len(PLATFORM_WORDS) + 8, str(names))
        pattern = re.compile("|".join(re.escape(name) for name in sorted(names)))
        found = [
            (path, match.group())
            for path, text in read_sources()
            for match in pattern.finditer(text.lower())
        ]
        self.assertEqual([], found)
