import asyncio
from random import Random

from testtools import TestCase

from cherrylane.gateway import recovery
from cherrylane.gateway.peer_sync import PeerSync
from cherrylane.gateway.recovery import LISTING_HOSTS, CacheRecovery
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import Members
from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.messages import Request
from cherrylane.http.responder import Responder
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import LoadTracker
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.versions import StoreVersion
from cherrylane.relay.request import PromptPart
from tests.test_gossip import make_heartbeat
from tests.test_platform_documents import CONFIG
from tests.wire import LOOPBACK, TEST_TIMEOUT_S, Call, ScriptedUpstream, open_listener, run

PARTS = (PromptPart("desk", 30), PromptPart("chat", 20))


async def list_parts(call: Call) -> None:
    call.answer(b'{"epoch":"e","next":3,"held":[["","desk",30,"m"],["","chat",20,"m"]]}')


async def send_invalid_list(call: Call) -> None:
    call.answer(b'{"held":[["only one"]]}')


class Host:
    """The routing state and caches of one host, with its connections to peers."""

    def __init__(self, address: str) -> None:
        self.caches = CacheMap()
        self.routing_state = RoutingState(lambda snapshot: None)
        self.routing_state.apply_config(CONFIG, source="test")
        self.peer_sync = PeerSync(self.routing_state, LoadTracker(), self.caches, 0)
        self.members = Members(address)
        # All hosts draw the same random delay, so their attempts are one STAGGER_S apart.
        self.recovery = CacheRecovery(
            self.routing_state, self.members, self.peer_sync, random=Random(1)
        )
        self.recovery.registry_loaded.set()

    def add_engine(self, engine: ScriptedUpstream) -> None:
        self.routing_state.apply_peer_entries(
            {"engine": engine.make_entry("s")}, StoreVersion(1, 1)
        )

    async def listen(self, port: int = 0) -> int:
        async def handle(request: Request, responder: Responder) -> None:
            self.peer_sync.handle_request(request, responder)

        server = InboundServer(handle, InboundLimits())
        await server.listen(open_listener(self.members.own_address, port))
        self.peer_sync.peers_port = server.port
        return server.port


class CacheRecoveryTest(TestCase):
    """All hosts were killed at once; the engines still hold their caches."""

    def setUp(self) -> None:
        super().setUp()
        # Longer than a call takes on a busy machine.
        self.patch(recovery, "STAGGER_S", 2.0)

    def test_engine_is_listed_once_and_the_list_sent_to_peers(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            other, first = Host(LOOPBACK), Host("127.0.0.9")
            await first.listen(await other.listen())
            other.add_engine(engine)
            first.add_engine(engine)
            # Dated in the future, so that the hosts stay live on a busy machine.
            now = asyncio.get_running_loop().time() + TEST_TIMEOUT_S
            first.members.record_heartbeat(LOOPBACK, make_heartbeat(), now)
            other.members.record_heartbeat("127.0.0.9", make_heartbeat(), now)
            await asyncio.gather(first.recovery.run(), other.recovery.run())
            self.assertEqual(1, len(engine.calls))
            self.assertTrue(
                first.peer_sync.has_full_cache_map and other.peer_sync.has_full_cache_map
            )
            for host in (first, other):
                self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        run(work())

    def test_single_host_lists_its_engines(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            host = Host(LOOPBACK)
            recovering = asyncio.create_task(host.recovery.run())
            await asyncio.sleep(0.1)
            host.add_engine(engine)
            await recovering
            self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        run(work())

    def test_only_a_few_hosts_of_a_large_fleet_list(self) -> None:
        """All hosts start at once and know each other from the host registry only."""
        addresses = [f"127.0.0.{number}" for number in range(1, 74)]

        async def work() -> list[list[str]]:
            hosts = [Host(address) for address in addresses]
            for host in hosts:
                for address in addresses:
                    host.members.add(address)
            return [host.recovery._find_listing_hosts() for host in hosts]

        found = run(work())
        self.assertEqual([found[0]] * len(addresses), found)
        self.assertEqual(LISTING_HOSTS, len(set(found[0])))

    def test_no_engine_is_listed_before_the_registry_is_loaded(self) -> None:
        """Seventy hosts start at once, and each knows only the seeds: all would list."""

        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            addresses = [f"127.0.0.{number}" for number in range(1, 74)]
            listing_hosts = rank_names(recovery.LISTING_HOSTS_KEY, addresses)[:LISTING_HOSTS]
            host = Host(next(one for one in addresses if one not in listing_hosts))
            host.recovery.registry_loaded.clear()
            host.add_engine(engine)
            recovering = asyncio.create_task(host.recovery.run())
            await asyncio.sleep(0.3)
            for address in addresses:
                host.members.add(address)
            host.recovery.registry_loaded.set()
            await asyncio.sleep(0.3)
            self.assertEqual([], engine.calls)
            recovering.cancel()

        self.patch(recovery, "REGISTRY_WAIT_S", TEST_TIMEOUT_S)
        self.patch(recovery, "FALLBACK_DELAY_S", TEST_TIMEOUT_S)
        run(work())

    def test_other_host_lists_when_no_peer_has_reported(self) -> None:
        """The hosts that should list the engines are unreachable."""

        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            addresses = [f"127.0.0.{number}" for number in range(1, 74)]
            listing_hosts = rank_names(recovery.LISTING_HOSTS_KEY, addresses)[:LISTING_HOSTS]
            host = Host(next(one for one in addresses if one not in listing_hosts))
            for address in addresses:
                host.members.add(address)
            host.add_engine(engine)
            await host.recovery.run()
            self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        self.patch(recovery, "FALLBACK_DELAY_S", 0.05)
        self.patch(recovery, "STAGGER_S", 0.01)
        run(work())

    def test_engine_is_not_listed_when_the_map_came_from_a_peer(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            host = Host(LOOPBACK)
            host.add_engine(engine)
            host.peer_sync.has_full_cache_map = True
            await host.recovery.run()
            self.assertEqual([], engine.calls)

        run(work())

    def test_invalid_list_of_an_engine_changes_nothing(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(send_invalid_list).start()
            host = Host(LOOPBACK)
            host.add_engine(engine)
            await host.recovery.run()
            self.assertEqual([], host.caches.list_all())

        run(work())
