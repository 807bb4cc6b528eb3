"""The same as the day, with real processes: the store is silent for a moment right after a change.

The store answers no call that comes in that time. Later a key is taken away and another one added.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from harness import (
    Fleet,
    Runner,
    Store,
    make_config,
    make_request,
    make_route,
    run_case,
    send,
    with_trouble,
)

GATEWAYS = 3
# From the bounds of the settings.
STABLE_S = 3.0
CONFIG_APPLY_S = 2.0
# The silence begins so long after a change, and lasts so long.
SILENT_AFTER_S = 0.06
SILENT_S = 0.1
# Changes with a silence behind them, if need be, and for how long each change behind one is watched.
ROUNDS = 5
ASKED_S = 8.0


async def case(record):
    """Return whether the rule was broken."""
    store = Store()

    async def run(call):
        record.write(f"{call.runner.name} runs {call.id} for tenant {call.headers.get('tenant')}")
        await asyncio.sleep(0.01)
        call.answer(b"status of the case")

    for number in range(3):
        await Runner(store, f"i-{number}", "case", run, zone="ab"[number % 2]).open()
    routes = [make_route("status", "safe", "case")]
    services = [{"name": "case", "max_connections": 100, "health_path": "/health"}]
    version = 0

    async def write_config(*keys):
        nonlocal version
        version += 1
        tenants = [{"name": "union", "api_keys": ["k0", *keys]}]
        await store.write("config", "main", make_config(version, routes, tenants, services))
        record.write(f"the store acknowledges version {version} with the keys k0 {' '.join(keys)}")
        return time.monotonic()

    await write_config("old-0")
    fleet = Fleet(GATEWAYS, [await store.open_port()])
    asked = 0

    async def ask(number, key):
        nonlocal asked
        asked += 1
        request = make_request("/status/7", f"{asked:016x}", key=key)
        return await send((fleet.addresses[number], fleet.front), request, 3.5)

    try:
        for number in range(GATEWAYS):
            fleet.start(number)
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_S + 1)
        late = {number: [] for number in range(GATEWAYS)}
        for turn in range(1, ROUNDS + 1):
            old, new = f"old-{turn}", f"new-{turn}"
            await write_config(old)
            await asyncio.sleep(SILENT_AFTER_S)
            store.is_silent = with_trouble()
            record.write(f"the store is silent: {store.is_silent}")
            await asyncio.sleep(SILENT_S)
            store.is_silent = False
            record.write("the store answers")
            await asyncio.sleep(STABLE_S + 0.5)
            acknowledged_at = await write_config(new)
            while time.monotonic() < acknowledged_at + ASKED_S:
                for number in range(GATEWAYS):
                    for key, status in ((old, 401), (new, 200)):
                        sent_after = time.monotonic() - acknowledged_at
                        answer = await ask(number, key)
                        record.write(
                            f"{sent_after:.2f} s after that gateway {number + 1} answers {key}: {answer}"
                        )
                        if sent_after > CONFIG_APPLY_S and answer.status != status:
                            late[number].append(sent_after)
                await asyncio.sleep(0.2)
            if any(late.values()):
                break
        for number, times in late.items():
            text = f"{len(times)} requests by the old config, the last {max(times, default=0):.1f} s"
            record.write(f"CONFIG: gateway {number + 1}: {text} after the acknowledgement")
            print(f"silence {turn}, gateway {number + 1}: {text} after the acknowledgement")
        return any(late.values())
    finally:
        fleet.stop()


run_case(case, Path(__file__).parent)
