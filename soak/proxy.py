"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

import asyncio
from enum import Enum

from attrs import define, field

from tests.wire import reset_connection

# Bytes that are passed on at once.
CHUNK_BYTES = 16 * 1024
# Seconds between looks whether a silenced link speaks again.
POLL_S = 0.02
# Seconds by which a slow link delays each part.
DELAY_S = 0.15


class LinkState(Enum):
    """What a link does to the connections through it."""

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    NO_REQUESTS = "no requests"


@define
class Link:
    """One proxy, from an address of its own to ``port`` on loopback."""

    target_port: int
    state: LinkState = LinkState.PASS
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def open(self) -> "Link":
        """Begin to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def change(self, state: LinkState) -> None:
        """Do something else from now on, also to open connections."""
        self.state = state
        if state is LinkState.RESET:
            for writer in list(self._writers):
                reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self.state is LinkState.SILENT:
                await asyncio.sleep(POLL_S)
            if self.state is LinkState.RESET:
                reset_connection(writer)
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            self._writers.add(far_writer)
            try:
                there = self._pump(reader, far_writer, LinkState.NO_REQUESTS)
                back = self._pump(far_reader, writer, LinkState.NO_ANSWERS)
                await asyncio.gather(there, back)
            finally:
                self._writers.discard(far_writer)
                far_writer.close()
        except OSError:
            reset_connection(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: LinkState
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SLOW:
                await asyncio.sleep(DELAY_S)
            while self.state in (LinkState.SILENT, cut):
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
