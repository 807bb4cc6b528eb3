"""The protocol between daemons, over gRPC; nothing else of cherrylane knows its messages.

``peer_pb2.py`` and ``peer_pb2_grpc.py`` are generated from ``peer.proto`` by ``make generate``.
"""
