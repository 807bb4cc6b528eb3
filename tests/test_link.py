from threading import Semaphore

from testtools import TestCase

from cherrylane.peer.identity import PeerIdentity
from cherrylane.peer.link import HomeLink
from cherrylane.telemetry.traffic import TrafficCounter
from tests.builders import make_admission_request

WAIT_S = 10.0


class HomeLinkTest(TestCase):
    def test_a_request_on_a_closed_link_fails_at_once(self) -> None:
        """Otherwise a request can wait in vain for a reply.

        This happens if a killed home leaves the roster while its link waits to reconnect.
        """
        downs = Semaphore(0)
        link = HomeLink(
            "127.0.0.1:1",
            PeerIdentity("host-1", "run"),
            "a-key",
            list_holdings=dict,
            on_reply=lambda reply: None,
            on_down=downs.release,
            traffic=TrafficCounter(),
        )
        self.assertTrue(downs.acquire(timeout=WAIT_S), "the first connection must fail")
        link.close()
        link._thread.join(WAIT_S)
        while downs.acquire(blocking=False):
            pass
        link.request_admission(make_admission_request("late"))
        self.assertTrue(downs.acquire(timeout=WAIT_S), "the request after the close must fail")
