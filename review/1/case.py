"""A stream is taken up again of which its client has every event: what follows its answer?"""

import asyncio
import re
import sys
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.harness import (  # noqa: E402
    Answer,
    Call,
    Runner,
    System,
    chunk,
    encode_request,
    has_trouble,
    make_config,
    make_route,
    play,
    read_answer,
)

STREAMS = 72
EVENTS = 8
# Seconds between two events of a stream, and between the last one and the end.
STEP_S = 0.1
# Seconds between the starts of two streams, so that a kill meets them at all their stages.
STAGGER_S = 0.013
EVENT = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def find_last_event(body: bytes) -> int:
    """Return the id of the last whole event, 0 if there is none."""
    found = EVENT.findall(body.rpartition(b"\n\n")[0])
    return int(found[-1]) if found else 0


def make_runner(name: str, system: System) -> Runner:
    async def script(call: Call) -> bool:
        if call.method == "GET":
            call.answer(name, b"state of " + call.id.encode())
            return True
        after = int(call.headers.get("last-event-id", 0))
        system.record(f"{name} runs {call.id}, from event {after + 1}")
        call.start(name, "Transfer-Encoding: chunked\r\n")
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(STEP_S)
            call.writer.write(chunk(f"id: {number}\ndata: {number}\n\n".encode()))
            await call.writer.drain()
        await asyncio.sleep(STEP_S)
        call.writer.write(b"0\r\n\r\n")
        return True

    runner = Runner(name, "pool", script)
    runner.slots = 64
    return runner


class Client:
    """Reads one stream, and takes it up again on another machine after a broken channel."""

    def __init__(self, system: System, number: int) -> None:
        self.system = system
        self.number = number
        self.is_broken = False

    async def run(self) -> None:
        system, id_ = self.system, f"a{self.number:03d}"
        first = system.gateways[0]
        answer = await self._ask(first.address, first.front, id_, 0)
        if answer.is_whole:
            system.record(f"client: {id_} whole, events up to {find_last_event(answer.body)}")
            return
        last = find_last_event(answer.body)
        system.record(f"client: {id_} broke off after event {last}: {answer.problem}")
        other = system.gateways[1]
        await self._ask(other.address, other.front, f"b{self.number:03d}", last)

    async def _ask(self, address: str, port: int, id_: str, last: int) -> Answer:
        reader, writer = await asyncio.open_connection(address, port)
        resumed = (f"Last-Event-Id: {last}",) if last else ()
        writer.write(
            encode_request("POST", "/desc/1", id_, body=b"{}", headers=(
                *resumed, "Model: m", "Token-Usage: 900,80",
                f"Prompt-Prefix: 5c1e07a2:500,{self.number + 4096:x}:400",
            ))
        )
        answer = await read_answer(reader)
        if answer.is_whole and answer.status == 200:
            await self._look_behind(reader, writer, id_, last)
        writer.close()
        return answer

    async def _look_behind(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id_: str, last: int
    ) -> None:
        """Look for bytes on the kept channel, on which no request waits; then use it again."""
        try:
            extra = await asyncio.wait_for(reader.read(1000), 0.3)
        except TimeoutError:
            extra = b""
        if extra:
            self.is_broken = True
            self.system.record(
                f"client: {id_} (taken up after event {last}) had its whole answer; then, with no"
                f" request waiting, the channel brought {extra!r}"
            )
            return
        writer.write(encode_request("GET", "/state/1", f"c{id_}", deadline_ms=3000))
        follower = await read_answer(reader)
        is_foreign = follower.status == 200 and follower.body != b"state of c" + id_.encode()
        if follower.problem.startswith("bytes that are no answer") or is_foreign:
            self.system.record(f"client: request c{id_} got {follower.status} {follower.problem}")
            self.is_broken = True


async def work(system: System) -> bool:
    config = make_config(1, [
        make_route("desc", "streaming", "pool", resumable=True, gap_aim_ms=200, sticky=True),
        make_route("state", "safe", "pool", timeout_ms=3000, target_latency_ms=400),
    ])
    await system.start(config, [make_runner(f"i-{number}", system) for number in range(3)])
    clients = [Client(system, number) for number in range(STREAMS)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(STAGGER_S)
    if has_trouble():
        system.gateways[0].send_signal(SIGKILL)
    await asyncio.gather(*tasks)
    broken = sum(client.is_broken for client in clients)
    system.record(f"{broken} of {STREAMS} clients got bytes that are no answer")
    return broken > 0


if __name__ == "__main__":
    play(__file__, 3, work)
