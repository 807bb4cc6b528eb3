"""Whether a host knows all software versions: it asks a scripted store, and peers on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from attrs import define, field
from testtools import TestCase

from cherrylane.errors import PlatformError, PlatformUnavailableError, WatchExpiredError
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gateway.shared_question import SharedQuestion
from cherrylane.gateway.version_confirmation import VersionConfirmation
from cherrylane.gateway.version_registry import VersionRegistry
from cherrylane.gossip.members import Members
from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.messages import Request
from cherrylane.http.responder import Responder
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, PlatformObject, WatchEvent, WatchEvents
from cherrylane.platform.versions import StoreVersion
from cherrylane.routing.snapshot import Snapshot
from tests.test_gossip import make_heartbeat
from tests.wire import open_listener, run

LISTED = StoreVersion(1, 10)
ADDRESSES = [f"127.0.3.{number}" for number in range(1, 8)]


def make_entry(version: str) -> PlatformObject:
    spec = {
        "service": "desk",
        "address": "127.0.0.1:7",
        "zone": "a",
        "version": version,
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
    return PlatformObject(Kind.UPSTREAMS, f"i-{version}", spec, LISTED)


LOST = PlatformUnavailableError("no response", remedy="none")
EXPIRED = WatchExpiredError("history is gone", remedy="none")


@define
class ScriptedStore:
    """The calls of a client to a store that does as ``error`` and ``changed`` say."""

    error: PlatformError | None = None
    is_silent: bool = False
    changed: list[PlatformObject] = field(factory=list)
    stored: list[PlatformObject] = field(factory=list)
    watched: list[StoreVersion] = field(factory=list)

    async def watch(self, kind: Kind, version: StoreVersion, *, wait_s: float) -> WatchEvents:
        self.watched.append(version)
        await self._fail()
        events = tuple(WatchEvent(item, is_deleted=True) for item in self.changed)
        return WatchEvents(events, StoreVersion(1, 11))

    async def list(self, kind: Kind) -> ObjectList:
        if isinstance(self.error, WatchExpiredError):
            return ObjectList(self.stored if kind is not Kind.UPSTREAMS else self.changed, LISTED)
        await self._fail()
        return ObjectList(self.stored, LISTED)

    async def _fail(self) -> None:
        if self.is_silent:
            await asyncio.sleep(60)
        if self.error is not None:
            raise self.error


@define
class Host:
    """The confirmation of one host, which answers the questions of its peers."""

    address: str
    store: ScriptedStore = field(factory=ScriptedStore)
    versions: SoftwareVersions = field(factory=lambda: SoftwareVersions(knows_all=True))
    confirmation: VersionConfirmation = field(init=False)

    def open(self, port: int) -> None:
        members = Members(self.address)
        client = cast(AsyncPlatformClient, self.store)
        now = asyncio.get_running_loop().time()
        self.versions.record_in_use("desk", ["v1"], now)
        self.confirmation = VersionConfirmation(
            client,
            members,
            RoutingState(lambda snapshot: None, snapshot=Snapshot(upstreams_version=LISTED)),
            VersionRegistry(client, members, self.versions),
            self.versions,
            port,
        )

    async def handle(self, request: Request, responder: Responder) -> None:
        await self.confirmation.handle_request(responder)

    def hear_of(self, *addresses: str) -> None:
        now = asyncio.get_running_loop().time()
        for address in addresses:
            self.confirmation.members.record_heartbeat(address, make_heartbeat(address), now)

    def find(self) -> frozenset[str]:
        return self.versions.find_recent("desk", asyncio.get_running_loop().time())


async def open_hosts(*stores: ScriptedStore) -> list[Host]:
    """Return hosts that know each other and have these stores."""
    hosts: list[Host] = []
    port = 0
    for address, store in zip(ADDRESSES, stores, strict=False):
        host = Host(address, store)
        server = InboundServer(host.handle, InboundLimits())
        await server.listen(open_listener(address, port))
        port = server.port
        host.open(port)
        hosts.append(host)
    addresses = [host.address for host in hosts]
    for host in hosts:
        host.hear_of(*addresses)
    return hosts


def ask(*stores: ScriptedStore, change: Callable[[list[Host]], Any] = lambda hosts: None) -> Any:
    """Let the first of some hosts ask; return the answer and the versions that it knows then."""

    async def scenario() -> tuple[bool, set[str]]:
        hosts = await open_hosts(*stores)
        change(hosts)
        return await hosts[0].confirmation.confirm(), set(hosts[0].find())

    return run(scenario())


def lose() -> ScriptedStore:
    return ScriptedStore(error=LOST)


class StoreTest(TestCase):
    def test_the_answer_of_the_store_confirms_and_brings_new_versions(self) -> None:
        store = ScriptedStore(changed=[make_entry("v2")])
        self.assertEqual((True, {"v1", "v2"}), ask(store))
        self.assertEqual([LISTED], store.watched)

    # Guards against a pending call that counts as a confirmed one (ORDER beside a release).
    def test_a_store_that_does_not_answer_confirms_nothing(self) -> None:
        for store in (lose(), ScriptedStore(is_silent=True)):
            self.assertEqual((False, {"v1"}), ask(store))

    def test_a_lost_history_is_made_up_for_by_the_stored_versions(self) -> None:
        spec = {"versions": ["v1", "v2"]}
        stored = PlatformObject(Kind.SOFTWARE_VERSIONS, "desk", spec, LISTED)
        store = ScriptedStore(error=EXPIRED, changed=[make_entry("v3")], stored=[stored])
        self.assertEqual((True, {"v1", "v2", "v3"}), ask(store))

    def test_an_entry_that_names_no_upstream_brings_nothing(self) -> None:
        odd = PlatformObject(Kind.UPSTREAMS, "odd", {"service": 7}, LISTED)
        self.assertEqual((True, {"v1"}), ask(ScriptedStore(changed=[odd])))

    def test_a_host_without_a_list_confirms_nothing(self) -> None:
        def drop_list(hosts: list[Host]) -> None:
            hosts[0].confirmation.routing_state.snapshot = Snapshot()

        self.assertEqual(False, ask(ScriptedStore(), change=drop_list)[0])

    def test_a_question_without_an_answer_is_not_put_again_at_once(self) -> None:
        async def scenario() -> tuple[list[bool], int]:
            store = lose()
            (host,) = await open_hosts(store)
            answers = [await host.confirmation.confirm() for _ in range(3)]
            return answers, len(store.watched)

        self.assertEqual(([False] * 3, 1), run(scenario()))


class PeersTest(TestCase):
    # Guards against a host that is cut off from the store, but not from its peers, going on with
    # the version that it knows (ORDER), or refusing what a peer could tell it.
    def test_a_peer_that_the_store_answers_confirms_and_brings_new_versions(self) -> None:
        released = ScriptedStore(changed=[make_entry("v2")])
        for store in (lose(), ScriptedStore(is_silent=True)):
            self.assertEqual((True, {"v1", "v2"}), ask(store, released, lose(), lose()))
            self.assertEqual((True, {"v1"}), ask(store, lose(), ScriptedStore()))

    def test_an_outage_that_most_hosts_have_noticed_brings_no_new_versions(self) -> None:
        def notice(hosts: list[Host]) -> None:
            for host in hosts:
                host.confirmation.has_lost_store = True

        self.assertEqual((True, {"v1"}), ask(*(lose() for _ in range(5))))
        silent = [ScriptedStore(is_silent=True) for _ in range(5)]
        self.assertEqual((False, {"v1"}), ask(*silent, change=know_another))
        self.assertEqual((True, {"v1"}), ask(*silent, change=both(notice, know_another)))

    # Guards against refusing what is sound in the first seconds of an outage.
    def test_a_pending_store_is_not_waited_for_if_all_hosts_tell_what_they_know(self) -> None:
        def release(hosts: list[Host]) -> None:
            hosts[4].versions.record_in_use("desk", ["v2"], asyncio.get_running_loop().time())

        silent = [ScriptedStore(is_silent=True) for _ in range(5)]
        self.assertEqual((True, {"v1"}), ask(*silent))
        self.assertEqual((True, {"v1", "v2"}), ask(*silent, change=release))

    def test_a_minority_that_hears_only_itself_is_not_confirmed(self) -> None:
        self.assertEqual((False, {"v1"}), ask(lose(), lose(), lose(), change=know_seven))

    def test_a_peer_that_has_just_started_does_not_vouch_for_the_versions_before(self) -> None:
        def start(hosts: list[Host]) -> None:
            hosts[1].versions.knows_all = False

        self.assertEqual((False, {"v1"}), ask(lose(), ScriptedStore(), change=start))

    def test_what_a_peer_knows_counts_though_it_confirms_nothing(self) -> None:
        def release(hosts: list[Host]) -> None:
            hosts[1].versions.record_in_use("desk", ["v2"], asyncio.get_running_loop().time())

        change = both(release, know_seven)
        self.assertEqual((False, {"v1", "v2"}), ask(lose(), lose(), change=change))


def know_seven(hosts: list[Host]) -> None:
    """Let the first host know of all addresses, also of hosts that are silent."""
    for address in ADDRESSES:
        hosts[0].confirmation.members.add(address)


def know_another(hosts: list[Host]) -> None:
    """Let the first host know of one host that is silent."""
    hosts[0].confirmation.members.add("127.0.3.99")


def both(*changes: Callable[[list[Host]], None]) -> Callable[[list[Host]], None]:
    def change(hosts: list[Host]) -> None:
        for one in changes:
            one(hosts)

    return change


class SharedQuestionTest(TestCase):
    # Guards against an answer that was under way when a stream was taken up.
    def test_a_yes_is_the_answer_to_a_question_that_was_put_later(self) -> None:
        self.assertEqual(([True] * 3, 2), run(self.play(True, True)))

    def test_a_no_is_shared_at_once(self) -> None:
        self.assertEqual(([False] * 3, 1), run(self.play(False, True)))

    def test_one_that_leaves_does_not_end_the_question_of_others(self) -> None:
        async def scenario() -> bool:
            question = SharedQuestion(self.make_put([True], asyncio.Event()))
            first = asyncio.ensure_future(question.ask())
            await asyncio.sleep(0)
            first.cancel()
            return await question.ask()

        self.assertTrue(run(scenario()))

    def make_put(
        self, answers: list[bool], is_open: asyncio.Event
    ) -> Callable[[], Awaitable[bool]]:
        async def put() -> bool:
            is_open.set()
            await asyncio.sleep(0.01)
            return answers.pop(0) if len(answers) > 1 else answers[0]

        return put

    async def play(self, *answers: bool) -> tuple[list[bool], int]:
        """Ask once, and twice more while that question is open; return how many were put."""
        is_open = asyncio.Event()
        put = self.make_put(list(answers), is_open)
        count = 0

        async def count_and_put() -> bool:
            nonlocal count
            count += 1
            return await put()

        question = SharedQuestion(count_and_put)
        first = asyncio.ensure_future(question.ask())
        await is_open.wait()
        return list(await asyncio.gather(first, question.ask(), question.ask())), count
