"""Lists in which the text of items breaks off."""

from json import dumps
from random import Random
from typing import Any

from hypothesis import given
from hypothesis.strategies import integers
from testtools import TestCase

from cherrylane.errors import PlatformUnavailableError, WatchExpiredError
from cherrylane.platform.calls import StoreResponse, read_events, read_page
from cherrylane.platform.objects import Kind
from tests.odd_entries import SOUND

ENTRY = dumps(SOUND | {"note": 'a "quoted" [text], {"spec": 1} and \\ more'}).encode()


def encode_items(specs: list[bytes]) -> list[bytes]:
    return [
        b'{"metadata": {"name": "i-%d", "rev": %d}, "spec": %s, "status": null}'
        % (number, number + 1, spec)
        for number, spec in enumerate(specs)
    ]


def read_list(specs: list[bytes]) -> dict[str, Any]:
    """Return the specs that are read of a list, by name."""
    items = b", ".join(encode_items(specs))
    body = b'{"items": [%s], "more": true, "store_revision": 77}' % items
    page = read_page(Kind.UPSTREAMS, StoreResponse(200, body, 1))
    assert (page.has_more, page.version.revision) == (True, 77)
    return {item.name: item.spec for item in page.objects}


def read_changes(specs: list[bytes]) -> dict[str, Any]:
    items = b", ".join(b'{"object": %s, "deleted": false}' % one for one in encode_items(specs))
    body = b'{"events": [%s], "store_revision": 77}' % items
    changes = read_events(Kind.UPSTREAMS, StoreResponse(200, body, 1))
    assert changes.version.revision == 77
    return {event.object.name: event.object.spec for event in changes.events}


class TornTest(TestCase):
    # Guards against one entry that breaks off making the whole list unreadable (review/6, DRAIN).
    @given(integers(0, 10**9))
    def test_entries_that_break_off_leave_the_others_as_they_are(self, seed: int) -> None:
        random = Random(seed)
        specs = [ENTRY] * 6
        torn = set(random.sample(range(len(specs)), random.randint(1, 3)))
        for number in torn:
            specs[number] = ENTRY[: random.randint(1, len(ENTRY) - 1)]
        for read in (read_list, read_changes):
            found = read(specs)
            sound = {f"i-{number}" for number in range(len(specs)) if number not in torn}
            self.assertEqual(sound, {name for name, spec in found.items() if spec == found_sound()})
            self.assertEqual({f"i-{number}" for number in range(len(specs))}, set(found))

    # Guards against an evacuation that stays in force because its entry breaks off.
    def test_the_deletion_of_an_entry_that_breaks_off_is_not_missed(self) -> None:
        for length in range(1, len(ENTRY)):
            (item,) = encode_items([ENTRY[:length]])
            body = b'{"events": [{"object": %s, "deleted": true}], "store_revision": 7}' % item
            try:
                changes = read_events(Kind.EVACUATIONS, StoreResponse(200, body, 1))
            except WatchExpiredError:
                continue  # The list that follows shows it.
            self.assertTrue(all(event.is_deleted for event in changes.events), ENTRY[:length])

    def test_a_list_without_its_revision_is_malformed(self) -> None:
        for body in (b'{"items": [{"metadata": {"name": "a', b'{"items": [', b"", b"[1]", b"nope"):
            self.assertRaises(
                PlatformUnavailableError, read_page, Kind.CONFIG, StoreResponse(200, body, 1)
            )

    # Guards against a list that broke off with its connection taken for one whose entry did.
    def test_a_list_that_ends_with_its_connection_is_not_mended(self) -> None:
        body = b'{"store_revision": 7, "items": [%s, {"meta' % encode_items([ENTRY])[0]
        cut = StoreResponse(200, body, 1, is_delimited=False)
        self.assertRaises(PlatformUnavailableError, read_page, Kind.CONFIG, cut)

    def test_very_many_broken_items_are_given_up(self) -> None:
        body = b'{"items": [' + b'{"spec":' * 100_000 + b'], "store_revision": 7}'
        self.assertRaises(
            PlatformUnavailableError, read_page, Kind.CONFIG, StoreResponse(200, body, 1)
        )


def found_sound() -> dict[str, Any]:
    return SOUND | {"note": 'a "quoted" [text], {"spec": 1} and \\ more'}
