"""Opens concurrent streams from a separate process and prints a summary as JSON."""

import asyncio
from argparse import ArgumentParser
from json import dumps
from time import perf_counter

from attrs import asdict, define, field, frozen

TOKEN_INTERVAL_S = 0.029
PERCENTILE = 0.95
ANSWER_TOKENS = 395
RAMP_S = ANSWER_TOKENS * TOKEN_INTERVAL_S


@frozen
class Load:
    """Target and number of the streams, and the seconds to measure after the ramp."""

    address: str
    port: int
    key: str
    model: str
    streams: int
    measured_s: float
    name: str


@define
class Measurements:
    """Times in seconds that the streams measured; first events and gaps from ``counts_from`` on."""

    counts_from: float = 0.0

    first: list[float] = field(factory=list)
    gaps: list[float] = field(factory=list)
    durations: list[float] = field(factory=list)
    failures: int = 0


@frozen
class Summary:
    """95th percentiles in seconds, and counts."""

    first_95_s: float
    gap_95_s: float
    events: int
    whole: int
    failures: int


async def run_load(load: Load) -> Measurements:
    """Start streams evenly over ``RAMP_S``, keep them running, and measure after the ramp."""
    measurements = Measurements(counts_from=perf_counter() + RAMP_S)
    ends_at = measurements.counts_from + load.measured_s
    workers = [_run_worker(load, number, ends_at, measurements) for number in range(load.streams)]
    await asyncio.gather(*workers)
    return measurements


async def _run_worker(load: Load, number: int, ends_at: float, measurements: Measurements) -> None:
    await asyncio.sleep(RAMP_S * number / max(1, load.streams))
    request_number = 0
    while perf_counter() < ends_at:
        request_number += 1
        try:
            await _stream_once(load, f"{load.name}-{number}-{request_number}", measurements)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            measurements.failures += 1
            await asyncio.sleep(0.2)


async def _stream_once(load: Load, chat: str, measurements: Measurements) -> None:
    body = dumps(
        {
            "model": load.model,
            "stream": True,
            "max_tokens": ANSWER_TOKENS,
            "messages": [{"role": "user", "content": f"{chat} " * 20}],
        }
    )
    started = perf_counter()
    reader, writer = await asyncio.open_connection(load.address, load.port)
    try:
        writer.write(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {load.key}\r\n"
            f"Cherrylane-Chat: {chat}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise ValueError(f"expected status 200 for the stream, got {head!r}")
        await _read_events(reader, started, measurements)
        measurements.durations.append(perf_counter() - started)
    finally:
        writer.close()


async def _read_events(
    reader: asyncio.StreamReader, started: float, measurements: Measurements
) -> None:
    previous = 0.0
    tail = b""
    while data := await reader.read(65536):
        now = perf_counter()
        if now >= measurements.counts_from:
            if previous:
                measurements.gaps.append(now - previous)
            else:
                measurements.first.append(now - started)
        previous = now
        tail = (tail + data)[-256:]
        if tail.endswith(b"0\r\n\r\n"):
            break
    if b"[DONE]" not in tail:
        raise ValueError("the stream ended without [DONE]")


def summarize(measurements: Measurements) -> Summary:
    """Return the percentiles and counts of the measurements."""
    return Summary(
        first_95_s=percentile_95(measurements.first),
        gap_95_s=percentile_95(measurements.gaps),
        events=len(measurements.gaps) + len(measurements.first),
        whole=len(measurements.durations),
        failures=measurements.failures,
    )


def percentile_95(values: list[float]) -> float:
    """Return the 95th percentile, 0 if there are no values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(PERCENTILE * len(values)))]


def main() -> None:
    """Run one load and print its summary."""
    parser = ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--measured-s", type=float, required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--name", required=True)
    options = parser.parse_args()
    load = Load(
        address="127.0.0.1",
        port=options.port,
        key=options.key,
        model=options.model,
        streams=options.streams,
        measured_s=options.measured_s,
        name=options.name,
    )
    print(dumps(asdict(summarize(asyncio.run(run_load(load))))))


if __name__ == "__main__":
    main()
