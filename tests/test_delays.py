"""Heartbeats that waited in a buffer, without a network."""

import asyncio

from testtools import TestCase

from cherrylane.gossip import node as node_module
from cherrylane.gossip.delays import WINDOW_MS, ArrivalDelays
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat
from cherrylane.gossip.node import GossipNode
from cherrylane.settings.schema import Endpoint
from tests.test_gossip import make_heartbeat
from tests.wire import run

INTERVAL_MS = 250
# The difference between the clocks of two hosts.
OFFSET_MS = 65_000


class ArrivalDelaysTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.delays = ArrivalDelays()

    def send(self, sent_ms: int, delay_ms: int = 0, *, drift: float = 0.0) -> int:
        arrived_ms = round((sent_ms + delay_ms) * (1 + drift)) + OFFSET_MS
        return self.delays.estimate_ms("b", sent_ms, arrived_ms)

    # Guards against datagrams that waited while a host stood still passing for new ones.
    def test_what_waited_while_this_host_stood_still_is_late(self) -> None:
        for number in range(10):
            self.assertEqual(0, self.send(number * INTERVAL_MS))
        woken_ms = 10 * INTERVAL_MS + 5000
        for number in range(10, 30):
            sent_ms = number * INTERVAL_MS
            self.assertEqual(woken_ms - sent_ms, self.send(sent_ms, woken_ms - sent_ms))
        self.assertEqual(0, self.send(woken_ms))

    def test_clocks_that_drift_make_nothing_late(self) -> None:
        for drift in (-1e-4, 1e-4):
            self.delays = ArrivalDelays()
            for sent_ms in range(0, 100 * WINDOW_MS, INTERVAL_MS):
                self.assertTrue(self.send(sent_ms, drift=drift) <= 15)

    def test_a_long_stand_still_is_seen(self) -> None:
        self.send(0)
        self.assertEqual(3 * WINDOW_MS, self.send(INTERVAL_MS, 3 * WINDOW_MS))

    def test_senders_are_told_apart_and_bounded(self) -> None:
        for number in range(100_000):
            self.assertEqual(0, self.delays.estimate_ms(str(number), number * 7, 5))


class UnconnectedNode(GossipNode):
    """A node that sends nothing."""

    def _send(self, data: bytes, address: str) -> None:
        pass


class LateHeartbeatTest(TestCase):
    # Guards against a woken host that believes what its peers said before it stood still.
    def test_a_late_heartbeat_tells_of_no_contact_and_of_an_older_state(self) -> None:
        async def scenario() -> tuple[list[Heartbeat], list[bool]]:
            received: list[Heartbeat] = []
            members = Members("10.0.0.9")
            node = UnconnectedNode(
                Endpoint("10.0.0.9", 1),
                members,
                make_heartbeat,
                lambda address, heartbeat, is_new: received.append(heartbeat),
            )
            lives = []
            for stamp_ms, arrived_ms in ((1000, 1000), (1250, 6250), (6300, 6300)):
                self.patch(node_module, "read_stamp_ms", lambda now_ms=arrived_ms: now_ms)
                heartbeat = make_heartbeat(
                    contact_ms=9000, confirmation_age_ms=10, stamp_ms=stamp_ms
                )
                now = asyncio.get_running_loop().time()
                members._by_address.clear()
                node.receive(heartbeat.encode(), "10.0.0.1")
                lives.append(bool(members.live(now)))
            return received, lives

        received, lives = run(scenario())
        self.assertEqual([9000, 0, 9000], [one.contact_ms for one in received])
        self.assertEqual([10, 5010, 10], [one.confirmation_age_ms for one in received])
        self.assertEqual([True, False, True], lives)
