import asyncio
from typing import Any, cast

from testtools import TestCase

from cherrylane.gateway.peer_sync import PeerSync
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gateway.stream_registry import CARRY_OVER_S, StreamRegistry
from cherrylane.gossip.members import Members
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import LoadTracker
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.relay.stream_origins import (
    StreamBinder,
    StreamOrigin,
    UnknownOrigin,
    identify_stream,
)
from cherrylane.routing.routes import RequestKind
from tests.fake_platform import Fault
from tests.test_version_registry import AsyncFakePlatform
from tests.wire import make_request, make_route, run

V1 = StreamOrigin("desk", "v1")
ROUTE = make_route(RequestKind.STREAM, is_resumable=True)


class Host:
    """The part of a host that stores its running streams; a new one knows nothing."""

    def __init__(self, client: AsyncFakePlatform, name: str) -> None:
        self.binder = StreamBinder(versions=SoftwareVersions(knows_all=True))
        self.binder.versions.record_in_use("desk", ["v1", "v2"], 0.0)
        peer_sync = PeerSync(RoutingState(lambda snapshot: None), LoadTracker(), CacheMap(), 0)
        self.registry = StreamRegistry(
            cast(AsyncPlatformClient, client), name, Members("10.0.0.1"), peer_sync, self.binder
        )

    def begin(self, request_id: str) -> None:
        self.binder.record_begun(make_request(ROUTE, 0.0, id=request_id), V1, 0.0)

    def find(self, request_id: str) -> StreamOrigin | None:
        return self.binder.origins.find(identify_stream(request_id))


class StreamRegistryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = AsyncFakePlatform()
        self.host = Host(self.client, "h1")

    # Guards against streams that no host can bind after all were down at once (LOST).
    def test_running_streams_are_known_after_all_hosts_were_down(self) -> None:
        async def scenario() -> list[StreamOrigin | None]:
            other = Host(self.client, "h2")
            self.host.begin("a")
            other.begin("b")
            for host in (self.host, other):
                await host.registry._write_if_new(1.0)
            restarted = Host(self.client, "h1")
            self.assertTrue(await restarted.registry._load_earlier())
            return [restarted.find(request_id) for request_id in "abc"]

        self.assertEqual([V1, V1, None], run(scenario()))

    def test_nothing_is_written_without_new_streams(self) -> None:
        async def scenario() -> list[int]:
            writes = []
            for step in ("", "a", "", "b"):
                if step:
                    self.host.begin(step)
                await self.host.registry._write_if_new(1.0)
                writes.append(self.client.store.writes)
            return writes

        self.assertEqual([0, 1, 1, 2], run(scenario()))

    def test_nothing_is_written_while_one_version_has_begun_all_streams(self) -> None:
        async def scenario() -> None:
            self.host.binder.versions = SoftwareVersions(knows_all=True)
            self.host.binder.versions.record_in_use("desk", ["v1"], 0.0)
            self.host.begin("a")
            await self.host.registry._write_if_new(1.0)
            self.assertEqual(0, self.client.store.writes)

        run(scenario())

    # Guards against a host that restarts first replacing what the others have yet to read.
    def test_streams_of_the_process_before_stay_stored_for_a_while(self) -> None:
        async def scenario() -> tuple[StreamOrigin | None, StreamOrigin | None]:
            self.host.begin("a")
            await self.host.registry._write_if_new(1.0)
            restarted = Host(self.client, "h1")
            await restarted.registry._load_earlier()
            now = asyncio.get_running_loop().time()
            found = []
            for request_id, moment in (("b", now), ("c", now + CARRY_OVER_S + 1)):
                restarted.begin(request_id)
                await restarted.registry._write_if_new(moment)
                late = Host(self.client, "h3")
                await late.registry._load_earlier()
                found.append(late.find("a"))
            return found[0], found[1]

        self.assertEqual((V1, None), run(scenario()))

    def test_a_failed_write_is_repeated(self) -> None:
        async def scenario() -> None:
            faults = [Fault.LOST_CALL]
            self.client.store.next_fault = lambda: faults.pop() if faults else Fault.NONE
            self.host.begin("a")
            await self.host.registry._write_if_new(1.0)
            self.assertEqual({}, self.client.store.objects)
            await self.host.registry._write_if_new(2.0)
            self.assertIn("h1", self.client.store.objects)

        run(scenario())

    def test_all_is_written_again_to_a_restored_store(self) -> None:
        async def scenario() -> None:
            self.host.begin("a")
            await self.host.registry._write_if_new(1.0)
            self.client.store.restore(1)
            self.host.registry.record_restored()
            await self.host.registry._write_if_new(2.0)
            self.assertIn("h1", self.client.store.objects)

        run(scenario())

    def test_objects_that_cannot_be_read_are_ignored(self) -> None:
        spec: Any
        for number, spec in enumerate(
            (None, [], {"streams": 3}, {"streams": [["s"]]}, {"streams": [["s", "v", "short"]]})
        ):
            self.client.store.create(PlatformObject(Kind.STREAM_ORIGINS, f"x{number}", spec))
        self.assertTrue(run(self.host.registry._load_earlier()))
        self.assertEqual([], self.host.binder.origins.list_all())

    # Guards against a stream being refused since the host that began it was killed before it had
    # told all others (LOST).
    def test_a_stream_of_a_lost_host_is_found_when_it_is_taken_up(self) -> None:
        async def scenario() -> list[object]:
            self.host.begin("a")
            await self.host.registry._write_if_new(1.0)
            other = Host(self.client, "h2")
            other.binder.refresh = other.registry.refresh
            now = asyncio.get_running_loop().time()
            other.binder.versions.record_in_use("desk", ["v1", "v2"], now)
            return [
                await other.binder.bind(
                    make_request(ROUTE, now, resumes=resumes, resume_after="3"), now
                )
                for resumes in ("a", "unknown", "forged", "")
            ]

        unknown = UnknownOrigin()
        self.assertEqual([V1, unknown, unknown, unknown], run(scenario()))
        self.assertEqual(1, self.client.reads)

    def test_a_store_that_is_away_is_no_empty_one(self) -> None:
        self.client.store.down = True
        self.assertFalse(run(self.host.registry._load_earlier()))
