from typing import Any

import grpc
from testtools import TestCase

from bench.wire import SHARED_KEY, WireBench
from cherrylane.peer import peer_pb2 as wire
from cherrylane.peer.identity import PeerIdentity, make_metadata, read_metadata
from cherrylane.peer.peer_pb2_grpc import PeerStub

HOST = PeerIdentity("host-1", "run")
WAIT_S = 10.0


class PeerServerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peer = WireBench()
        self.addCleanup(self.peer.__exit__, None, None, None)
        self.channel = grpc.insecure_channel(f"127.0.0.1:{self.peer.port}")
        self.addCleanup(self.channel.close)

    def probe(self, metadata: Any) -> Any:
        return PeerStub(self.channel).Probe(
            wire.ProbeRequest(host="host-1"), timeout=WAIT_S, metadata=metadata
        )

    def test_a_peer_with_the_shared_key_is_accepted(self) -> None:
        self.assertTrue(self.probe(make_metadata(HOST, SHARED_KEY)).acknowledged)

    def test_a_probe_without_the_shared_key_is_rejected(self) -> None:
        for metadata in ([], make_metadata(HOST, "wrong-key-of-a-stranger")):
            error = self.assertRaises(grpc.RpcError, self.probe, metadata)
            self.assertEqual(grpc.StatusCode.UNAUTHENTICATED, error.code())

    def test_a_stream_without_the_shared_key_is_rejected(self) -> None:
        messages = iter([wire.ToHome(ask=wire.Ask(id="x"))])
        replies = PeerStub(self.channel).Converse(messages, metadata=make_metadata(HOST, "wrong"))
        error = self.assertRaises(grpc.RpcError, next, replies)
        self.assertEqual(grpc.StatusCode.UNAUTHENTICATED, error.code())

    def test_metadata_without_key_or_names_has_no_identity(self) -> None:
        metadata = make_metadata(HOST, SHARED_KEY)
        self.assertEqual(HOST, read_metadata(metadata, SHARED_KEY))
        self.assertIsNone(read_metadata(metadata[:2], SHARED_KEY))
        self.assertIsNone(read_metadata([("cherrylane-key", b"binary")], SHARED_KEY))
