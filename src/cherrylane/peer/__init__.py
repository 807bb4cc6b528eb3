"""The gRPC protocol between daemons; no other package uses its messages.

``peer_pb2.py`` and ``peer_pb2_grpc.py`` are generated from ``peer.proto`` by ``make generate``.
"""
