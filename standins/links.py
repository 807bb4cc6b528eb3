"""Free ports on loopback, and a proxy that delays, resets or blocks connections there."""

import asyncio
from enum import Enum
from socket import AF_INET, SO_LINGER, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket
from struct import pack

from attrs import define, field

# Maximum number of bytes that are forwarded at once.
CHUNK_BYTES = 16 * 1024
# Interval at which a blocked link checks whether it is unblocked.
POLL_INTERVAL_S = 0.02
# Delay of each chunk on a slow link.
SLOW_DELAY_S = 0.15
# The linger option that makes a close a reset.
RESET_ON_CLOSE = pack("ii", 1, 0)


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP on the loopback address."""
    ports: list[int] = []
    sockets = []
    while len(ports) < count:
        stream, datagram = socket(AF_INET, SOCK_STREAM), socket(AF_INET, SOCK_DGRAM)
        sockets += [stream, datagram]
        stream.bind(("127.0.0.1", 0))
        port = stream.getsockname()[1]
        try:
            datagram.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for opened in sockets:
        opened.close()
    return ports


class LinkState(Enum):
    """How a link treats its connections.

    ``NO_RESPONSES`` and ``NO_REQUESTS`` block one direction, ``SILENT`` both; blocked data is
    delivered later.
    """

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_RESPONSES = "no responses"
    NO_REQUESTS = "no requests"


@define
class Link:
    """A proxy that listens on ``port`` and forwards to ``target_port``, both on loopback."""

    target_port: int
    state: LinkState = LinkState.PASS
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def open(self) -> "Link":
        """Start listening on a free port, and return the link itself."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def set_state(self, state: LinkState) -> None:
        """Change the state, which applies to open connections too."""
        self.state = state
        if state is LinkState.RESET:
            for writer in list(self._writers):
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self.state is LinkState.SILENT:
                await asyncio.sleep(POLL_INTERVAL_S)
            if self.state is LinkState.RESET:
                _reset(writer)
                return
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            self._writers.add(target_writer)
            try:
                requests = self._forward(reader, target_writer, LinkState.NO_REQUESTS)
                responses = self._forward(target_reader, writer, LinkState.NO_RESPONSES)
                await asyncio.gather(requests, responses)
            finally:
                self._writers.discard(target_writer)
                target_writer.close()
        except OSError:
            _reset(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocking_state: LinkState
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SLOW:
                await asyncio.sleep(SLOW_DELAY_S)
            while self.state in (LinkState.SILENT, blocking_state):
                await asyncio.sleep(POLL_INTERVAL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
