"""The platform's names stay in the adapter."""

import re
from pathlib import Path

from testtools import TestCase

from cherrylane.platform import headers

SOURCES = Path(headers.__file__).parent.parent
# Names that the field uses as well.
STANDARD = frozenset({"retry-after", "last-event-id", "authorization"})
# Names of fields, calls and kinds that the field has other words for.
NAMES = (
    "store_revision",
    "create_rev",
    "finalizers",
    "kv_capacity_tokens",
    "kv-list",
    "kv-events",
    "gap_aim_ms",
    "target_latency_ms",
    "traffic_split",
    "port_range",
    "config_apply_ms",
    "budget_slack",
    "cold_remaining_ms",
    "api_keys",
    "tenant",
    "payoff",
    "check-in",
)


def list_wire_names() -> set[str]:
    """Return the platform's headers that have a hyphen, and the names above."""
    constants = (value for value in vars(headers).values() if isinstance(value, bytes))
    found = {value.decode().lower() for value in constants if b"-" in value}
    found |= {name.decode() for name in headers.ROUTER_HEADERS if b"-" in name}
    return (found | set(NAMES)) - STANDARD


class WireNamesTest(TestCase):
    def test_no_module_outside_the_adapter_names_them(self) -> None:
        names = list_wire_names()
        self.assertTrue(len(names) > len(NAMES) + 8, str(names))
        pattern = re.compile("|".join(re.escape(name) for name in sorted(names)))
        found = [
            f"{path.relative_to(SOURCES)}: {match.group()}"
            for path in sorted(SOURCES.rglob("*.py"))
            if "platform" not in path.relative_to(SOURCES).parts[:1]
            for match in pattern.finditer(path.read_text(encoding="utf-8").lower())
        ]
        self.assertEqual([], found)
