"""One odd entry among those of sound upstreams: without a network, and with real daemons.

Guards against a list, a batch of changes or a peer's state that is not followed any more, and
against requests that fail, because of one entry that another writer has left (users' report).
"""

import asyncio
from json import dumps
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from hypothesis import given, settings
from hypothesis.strategies import (
    binary,
    booleans,
    dictionaries,
    floats,
    integers,
    lists,
    none,
    recursive,
    sampled_from,
    text,
)
from testtools import TestCase

from cherrylane.gateway.peer_sync import UPSTREAMS_PATH, PeerSync
from cherrylane.gateway.registry import HostRegistry
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import Members
from cherrylane.http.messages import Request, RequestHead, ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.membership.runners import read_runners
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.choice import Candidate, Chooser
from cherrylane.placement.loads import Load, LoadTracker
from cherrylane.platform.calls import StoreResponse, read_era, read_events, read_page
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.headers import Dispatch, encode_dispatch
from cherrylane.platform.objects import Kind, ObjectList, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.relay.request import Prompt, PromptPart
from cherrylane.routing.upstreams import Upstream
from cherrylane.settings.gateway import HostIdentity
from cherrylane.settings.schema import PlatformSettings
from soak.callers import Callers, RequestKind
from soak.fleet import SERVICES, SoakFleet, SoakHost
from soak.upstreams import SoakUpstream
from tests.odd_entries import ODD_ENTRIES, ODD_NAMES, SOUND
from tests.test_out_of_step import wait_until_serving
from tests.test_responder import RecordedConnection
from tests.wire import run

SOUND_NAMES = ("i-1", "i-2", "i-3")
VALUES = recursive(
    none() | booleans() | integers() | floats() | text() | sampled_from(list(SOUND.values())),
    lambda inner: lists(inner, max_size=3) | dictionaries(text(), inner, max_size=3),
    max_leaves=4,
)
# Entries of which some fields are sound and others are anything.
ENTRIES = dictionaries(sampled_from([*SOUND, "extra"]), VALUES).map(lambda odd: SOUND | odd)


def encode_object(name: str, revision: int, spec: bytes) -> bytes:
    metadata = dumps({"name": name, "rev": revision}).encode()
    return b'{"metadata": %s, "spec": %s}' % (metadata, spec)


def encode_page(*items: bytes) -> bytes:
    return b'{"items": [%s], "more": false, "store_revision": 9}' % b", ".join(items)


def list_objects(body: bytes) -> ObjectList:
    page = read_page(Kind.UPSTREAMS, StoreResponse(200, body, 1))
    return ObjectList(page.objects, page.version)


def surround(odd: bytes) -> list[bytes]:
    """Return an odd object among those of sound upstreams."""
    first, second, third = (encode_object(name, 2, dumps(SOUND).encode()) for name in SOUND_NAMES)
    return [first, second, odd, third]


def apply(body: bytes) -> RoutingState:
    async def work() -> RoutingState:
        routing_state = RoutingState(lambda snapshot: None)
        routing_state.apply_upstream_list(list_objects(body))
        return routing_state

    return run(work())


def find(routing_state: RoutingState) -> dict[str, Upstream]:
    listed = routing_state.snapshot.upstreams_by_service.values()
    return {known.upstream.name: known.upstream for found in listed for known in found}


def fetch_state(routing_state: RoutingState) -> RoutingState:
    """Return the state of a host that has fetched the upstreams of a peer."""

    async def work() -> RoutingState:
        own = RoutingState(lambda snapshot: None)
        head = RequestHead((), target=UPSTREAMS_PATH)
        connection = RecordedConnection()
        responder = Responder(connection, head, is_draining=lambda: False)
        sender = PeerSync(routing_state, LoadTracker(), CacheMap(), 0)
        sender.handle_request(Request(head), responder)
        _, _, body = connection.written.partition(b"\r\n\r\n")
        receiver = PeerSync(own, LoadTracker(), CacheMap(), 0)
        receiver._apply_state(UPSTREAMS_PATH, body)
        return own

    return run(work())


class ListTest(TestCase):
    def assert_sound(self, routing_state: RoutingState, *, odd: str = "odd") -> None:
        found = find(routing_state)
        self.assertEqual(set(SOUND_NAMES), set(found) - {odd})
        self.assert_usable(list(found.values()))

    def assert_usable(self, upstreams: list[Upstream]) -> None:
        """Check that all that is done with upstreams works with these."""
        chooser = Chooser("a", 2.0)
        candidates = [Candidate(upstream, Load()) for upstream in upstreams]
        chosen = chooser.choose_by_load(candidates).upstream
        parts = (PromptPart("5c1e", 400), PromptPart("dead", 200), PromptPart("beef", 100))
        chooser.choose_for_chat(Prompt("m", parts, 700), candidates, upstreams)
        for upstream in {chosen, *upstreams}:
            for _, value in encode_dispatch([], Dispatch(upstream.name, 1.0, 1)):
                self.assertFalse(set(value) & set(b"\r\n\0"))

    def test_an_odd_entry_in_a_list_names_no_upstream_and_the_others_hold(self) -> None:
        for why, spec in ODD_ENTRIES.items():
            routing_state = apply(encode_page(*surround(encode_object("odd", 3, spec))))
            self.assert_sound(routing_state)
            self.assertNotIn("odd", find(routing_state), why)
            self.assertEqual(1, routing_state.ignored_count, why)

    def test_an_odd_name_in_a_list_names_no_upstream_and_the_others_hold(self) -> None:
        for name in ODD_NAMES:
            odd = encode_object(name, 3, dumps(SOUND).encode())
            routing_state = apply(encode_page(*surround(odd)))
            self.assertEqual(set(SOUND_NAMES), set(find(routing_state)), ascii(name))

    def test_odd_revisions_do_not_become_the_version_of_the_list(self) -> None:
        for revision in (b"9" * 4000, b"-1", b"1.5", b"true", b"null", b'"7"'):
            odd = b'{"metadata": {"name": "odd", "rev": %s}, "spec": null}' % revision
            routing_state = apply(encode_page(*surround(odd)))
            self.assert_sound(routing_state)
            self.assertEqual(StoreVersion(1, 9), routing_state.snapshot.upstreams_version)

    def test_odd_entries_in_changes_replace_theirs_and_the_other_changes_hold(self) -> None:
        for why, spec in ODD_ENTRIES.items():
            found = run(self.follow(spec))
            self.assertEqual({"i-1", "i-2", "i-4"}, set(found), why)

    async def follow(self, spec: bytes) -> dict[str, Upstream]:
        """Apply a list, and changes in which the entry of i-3 becomes odd and i-4 joins."""
        routing_state = RoutingState(lambda snapshot: None)
        routing_state.apply_upstream_list(list_objects(encode_page(*surround(b"7"))))
        items = (
            (encode_object("i-3", 10, spec), b"false"),
            (encode_object("i-4", 11, dumps(SOUND).encode()), b"false"),
            (encode_object("gone", 12, spec), b"true"),
        )
        events = b", ".join(b'{"object": %s, "deleted": %s}' % item for item in items)
        body = b'{"events": [%s], "store_revision": 12}' % events
        changes = read_events(Kind.UPSTREAMS, StoreResponse(200, body, 1))
        routing_state.apply_upstream_changes(changes)
        return find(routing_state)

    # Guards against an entry that is read at one depth of calls and cannot be sent on at another.
    def test_peers_get_what_was_read_of_each_entry(self) -> None:
        deep = dumps(SOUND).encode()[:-1] + b', "extra": ' + b"[" * 900 + b"]" * 900 + b"}"
        routing_state = apply(encode_page(*surround(encode_object("deep", 3, deep))))
        self.assertEqual(find(routing_state), find(fetch_state(routing_state)))
        self.assertLess(len(dumps(routing_state.entries)), 2000)

    @settings(max_examples=200, deadline=None)
    @given(ENTRIES)
    def test_whatever_an_entry_holds_the_choice_goes_on(self, entry: dict[str, Any]) -> None:
        spec = dumps(entry).encode()
        self.assert_sound(apply(encode_page(*surround(encode_object("odd", 3, spec)))))

    @settings(max_examples=200, deadline=None)
    @given(binary())
    def test_whatever_bytes_an_entry_holds_the_list_is_read_or_refused(self, spec: bytes) -> None:
        if not set(spec) & set(b'"[]{},\\'):
            routing_state = apply(encode_page(*surround(encode_object("odd", 3, spec))))
            self.assertEqual(set(SOUND_NAMES), set(find(routing_state)))

    def test_an_odd_era_is_ignored(self) -> None:
        for era in (b"9" * 5000, b"\xb2", b"-1", b"one"):
            self.assertEqual(0, read_era(ResponseHead(((b"Store-Era", era),))))
        self.assertEqual(3, read_era(ResponseHead(((b"Store-Era", b"3"),))))

    # Guards against an address that closes the socket of the heartbeats at all hosts that read it.
    def test_odd_entries_of_hosts_name_no_host(self) -> None:
        async def work() -> list[str]:
            odd: list[Any] = [None, [], {}, {"address": 7}, {"address": "a\0b"}, {"address": "b"}]
            specs: dict[str, Any] = {f"odd-{number}": spec for number, spec in enumerate(odd)}
            specs["host-b"] = {"address": "10.0.0.2"}
            objects = [PlatformObject(Kind.ENTRY_HOSTS, *item) for item in specs.items()]
            identity = HostIdentity("host-a", "10.0.0.1", "a", "north")
            registry = HostRegistry(ListedHosts(objects), identity, "boot", Members("10.0.0.1"))
            await registry._refresh()
            return registry.members.all_addresses()

        self.assertEqual(["10.0.0.2"], run(work()))

    def test_an_ignored_entry_is_logged_once_and_counted_until_it_goes(self) -> None:
        async def work() -> list[int]:
            routing_state = RoutingState(lambda snapshot: None)
            counts = []
            odd = encode_object("odd", 3, ODD_ENTRIES["null"])
            for items in (surround(odd), surround(odd), surround(b"{}")):
                routing_state.apply_upstream_list(list_objects(encode_page(*items)))
                counts.append(routing_state.ignored_count)
            return counts

        self.assertEqual([1, 1, 0], run(work()))


class ListedHosts(AsyncPlatformClient):
    """A store that lists these objects."""

    def __init__(self, objects: list[PlatformObject]) -> None:
        super().__init__(PlatformSettings(url="http://127.0.0.1:1"))
        self._objects = objects

    async def list(self, kind: Kind, *, stale: bool = False) -> ObjectList:
        return ObjectList(self._objects, StoreVersion(1, 1))


class ThreadDaemonTest(TestCase):
    # Guards against the thread daemon listing its runners again and again, without an end.
    def test_an_odd_runner_is_left_out_and_the_others_are_read(self) -> None:
        sound = {"service": "desk", "site": "s", "zone": "a", "address": "10.0.0.1", "port": 80}
        odd_fields: list[dict[str, Any]] = [
            {"port": 70000},
            {"port": 0},
            {"port": 10**400},
            {"weight": 10**400},
            {"weight": float("inf")},
            {"weight": float("nan")},
            {"zone": "\ud800"},
            {"address": "10.0.0.1\r\nX: y"},
            {"models": [["m"]]},
        ]
        for fields in odd_fields:
            objects = {
                name: PlatformObject(Kind.RUNNERS, name, spec)
                for name, spec in (("a", sound), ("odd", sound | fields), ("b", sound))
            }
            self.assertEqual({"a", "b"}, set(read_runners(objects)), str(fields)[:80])


class DaemonsTest(TestCase):
    """Real daemons: a list, a watch, a restart, and a host that follows a peer."""

    def test_a_fleet_goes_on_beside_odd_entries(self) -> None:
        run(self.play())

    async def play(self) -> None:
        with TemporaryDirectory() as work_dir:
            fleet = SoakFleet(Path(work_dir))
            upstreams = [
                await SoakUpstream(f"i-{number}", Random(number)).open() for number in range(4)
            ]
            try:
                await fleet.start(2, upstreams)
                callers = Callers(fleet, Random(1))
                await wait_until_serving(fleet, callers)
                for number, spec in enumerate(ODD_ENTRIES.values()):
                    await fleet.write_odd_entry(f"odd-{number}", spec)
                joining = await SoakUpstream("i-joins", Random(9)).open()
                await fleet.release(joining, SERVICES[0])
                await fleet.drain(upstreams[0])
                await self.wait_until_reached(fleet, callers, joining)
                before = len(upstreams[0].arrivals)
                await self.serve(fleet, callers, 20)
                self.assertEqual(before, len(upstreams[0].arrivals), "it was draining")
                for host in fleet.hosts:
                    host.kill()
                for host in fleet.hosts:
                    host.start()
                await wait_until_serving(fleet, callers)
                await self.serve(fleet, callers, 20)
            finally:
                await asyncio.to_thread(fleet.stop)

    async def wait_until_reached(
        self, fleet: SoakFleet, callers: Callers, upstream: SoakUpstream
    ) -> None:
        """Send requests to each host until it has sent one to an upstream."""
        for host in fleet.hosts:
            before = len(upstream.arrivals)
            while len(upstream.arrivals) == before:
                await callers.send_once(host, RequestKind.SAFE)

    async def serve(self, fleet: SoakFleet, callers: Callers, count: int) -> None:
        """Send requests to all hosts side by side, one after the other to each."""
        await asyncio.gather(*(self.serve_from(host, callers, count) for host in fleet.hosts))

    async def serve_from(self, host: SoakHost, callers: Callers, count: int) -> None:
        for number in range(count):
            kind = list(RequestKind)[number % 3]
            exchange = await callers.send_once(host, kind)
            self.assertEqual(200, exchange.response.status)
