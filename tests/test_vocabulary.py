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
STANDARD = {b"Authorization", b"Last-Event-Id", b"Retry-After"}


class VocabularyTest(TestCase):
    def test_the_platforms_names_stay_in_its_adapter(self) -> None:
        own = {
            value.decode()
            for value in vars(headers).values()
            if isinstance(value, bytes) and value not in STANDARD
        }
        found = [
            (str(path.relative_to(SOURCE)), name)
            for path in SOURCE.rglob("*.py")
            if ADAPTER not in path.parents
            for name in (*own, *FIELDS)
            if f'"{name}"' in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], found)
