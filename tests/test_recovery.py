import asyncio
from random import Random

from testtools import TestCase

from cherrylane.gateway import recovery
from cherrylane.gateway.knowledge import Knowledge
from cherrylane.gateway.peers import PeerKnowledge
from cherrylane.gateway.recovery import LISTERS, CacheRecovery
from cherrylane.gossip.members import Members
from cherrylane.http.inbound import InboundServer
from cherrylane.http.limits import InboundLimits
from cherrylane.http.messages import Request
from cherrylane.http.responder import Responder
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import LoadBoard
from cherrylane.placement.ranking import rank_names
from cherrylane.relay.request import PromptPart
from tests.test_gossip import make_heartbeat
from tests.test_platform_documents import CONFIG
from tests.wire import LOOPBACK, TEST_TIMEOUT_S, Call, ScriptedUpstream, open_listener, run

PARTS = (PromptPart("desk", 30), PromptPart("chat", 20))


async def list_parts(call: Call) -> None:
    call.answer(b'{"epoch":"e","next":3,"held":[["","desk",30,"m"],["","chat",20,"m"]]}')


async def answer_nonsense(call: Call) -> None:
    call.answer(b'{"held":[["only one"]]}')


class Host:
    """What a host knows of caches, and its side towards the others."""

    def __init__(self, address: str) -> None:
        self.caches = CacheMap()
        self.knowledge = Knowledge(lambda snapshot: None)
        self.knowledge.take_config(CONFIG, source="test")
        self.peers = PeerKnowledge(self.knowledge, LoadBoard(), self.caches, 0)
        self.members = Members(address)
        # All hosts draw the same, so their turns are one TURN_S apart.
        self.recovery = CacheRecovery(self.knowledge, self.members, self.peers, random=Random(1))
        self.recovery.roster_read.set()

    def list_engine(self, engine: ScriptedUpstream) -> None:
        self.knowledge.take_peer_entries({"engine": engine.make_entry("s")}, 1)

    async def listen(self, port: int = 0) -> int:
        async def handle(request: Request, responder: Responder) -> None:
            self.peers.answer(request, responder)

        server = InboundServer(handle, InboundLimits())
        await server.listen(open_listener(self.members.own_address, port))
        self.peers.peers_port = server.port
        return server.port


class CacheRecoveryTest(TestCase):
    """All hosts were killed at once; the engines still have what they cached."""

    def setUp(self) -> None:
        super().setUp()
        # Longer than a busy machine takes for a call.
        self.patch(recovery, "TURN_S", 2.0)

    def test_an_engine_is_listed_once_and_the_others_are_told(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            other, first = Host(LOOPBACK), Host("127.0.0.9")
            await first.listen(await other.listen())
            other.list_engine(engine)
            first.list_engine(engine)
            # Heard in time to come, so that a busy machine does not make them silent.
            now = asyncio.get_running_loop().time() + TEST_TIMEOUT_S
            first.members.hear(LOOPBACK, make_heartbeat(), now)
            other.members.hear("127.0.0.9", make_heartbeat(), now)
            await asyncio.gather(first.recovery.run(), other.recovery.run())
            self.assertEqual(1, len(engine.calls))
            self.assertTrue(first.peers.knows_caches and other.peers.knows_caches)
            for host in (first, other):
                self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        run(work())

    def test_a_lone_host_lists_its_engines(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            host = Host(LOOPBACK)
            recovering = asyncio.create_task(host.recovery.run())
            await asyncio.sleep(0.1)
            host.list_engine(engine)
            await recovering
            self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        run(work())

    def test_in_a_large_fleet_a_few_hosts_list_for_all(self) -> None:
        """All hosts start at once and know each other from the roster only."""
        addresses = [f"127.0.0.{number}" for number in range(1, 74)]

        async def work() -> list[list[str]]:
            hosts = [Host(address) for address in addresses]
            for host in hosts:
                for address in addresses:
                    host.members.add(address)
            return [host.recovery._find_listers() for host in hosts]

        found = run(work())
        self.assertEqual([found[0]] * len(addresses), found)
        self.assertEqual(LISTERS, len(set(found[0])))

    def test_nothing_is_listed_before_the_roster_tells_who_else_there_is(self) -> None:
        """Seventy hosts start at once, and each knows only the seeds."""

        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            addresses = [f"127.0.0.{number}" for number in range(1, 74)]
            listers = rank_names(recovery.LISTERS_KEY, addresses)[:LISTERS]
            host = Host(next(one for one in addresses if one not in listers))
            host.recovery.roster_read.clear()
            host.list_engine(engine)
            recovering = asyncio.create_task(host.recovery.run())
            await asyncio.sleep(0.3)
            for address in addresses:
                host.members.add(address)
            host.recovery.roster_read.set()
            await asyncio.sleep(0.3)
            self.assertEqual([], engine.calls)
            recovering.cancel()

        self.patch(recovery, "WAIT_FOR_ROSTER_S", TEST_TIMEOUT_S)
        self.patch(recovery, "LISTERS_LATE_S", TEST_TIMEOUT_S)
        run(work())

    def test_a_host_that_lists_for_nobody_does_so_when_nobody_told_it(self) -> None:
        """The hosts that should list are cut off."""

        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            addresses = [f"127.0.0.{number}" for number in range(1, 74)]
            listers = rank_names(recovery.LISTERS_KEY, addresses)[:LISTERS]
            host = Host(next(one for one in addresses if one not in listers))
            for address in addresses:
                host.members.add(address)
            host.list_engine(engine)
            await host.recovery.run()
            self.assertEqual(50, host.caches.count_cached("engine", PARTS))

        self.patch(recovery, "LISTERS_LATE_S", 0.05)
        self.patch(recovery, "TURN_S", 0.01)
        run(work())

    def test_an_engine_is_not_listed_where_another_host_can_tell(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(list_parts).start()
            host = Host(LOOPBACK)
            host.list_engine(engine)
            host.peers.knows_caches = True
            await host.recovery.run()
            self.assertEqual([], engine.calls)

        run(work())

    def test_a_list_that_cannot_be_read_changes_nothing(self) -> None:
        async def work() -> None:
            engine = await ScriptedUpstream(answer_nonsense).start()
            host = Host(LOOPBACK)
            host.list_engine(engine)
            await host.recovery.run()
            self.assertEqual([], host.caches.list_all())

        run(work())
