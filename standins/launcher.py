"""``make run``: runs the example fleet on this machine until Ctrl-C, which stops it in order.

The launcher is not part of the product: daemons start no processes and do not depend on it.
"""

from json import dumps
from queue import Empty, SimpleQueue
from signal import SIGINT, SIGTERM, signal
from threading import Thread

from standins.example import HOSTS, UNION_KEY, start_example
from standins.fleet import POLL_INTERVAL_S, ROOT, Fleet, open_fleet

RUN_FILE = ROOT / ".run" / "fleet.json"


def main() -> None:
    """Start the fleet, print how to use it, and stop it on SIGINT or SIGTERM."""
    signals: SimpleQueue[int] = SimpleQueue()
    for number in (SIGINT, SIGTERM):
        signal(number, lambda received, _: signals.put(received))
    with open_fleet() as fleet:
        print("starting the platform, engines, plain services and daemons ...", flush=True)
        start_example(fleet)
        _write_run_file(fleet)
        _print_usage(fleet)
        signals.get()
        print("stopping; press Ctrl-C again to end all processes at once", flush=True)
        RUN_FILE.unlink(missing_ok=True)
        _stop(fleet, signals)
    print("stopped all processes", flush=True)


def _stop(fleet: Fleet, signals: SimpleQueue[int]) -> None:
    """Stop the fleet; a further signal kills it."""
    stopper = Thread(target=fleet.stop, args=(lambda text: print(text, flush=True),))
    stopper.start()
    while stopper.is_alive():
        try:
            signals.get(timeout=POLL_INTERVAL_S)
        except Empty:
            continue
        print("ending all processes at once", flush=True)
        fleet.kill()


def _write_run_file(fleet: Fleet) -> None:
    RUN_FILE.parent.mkdir(exist_ok=True)
    hosts = {host.name: fleet.get_host_url(host.name) for host in HOSTS}
    RUN_FILE.write_text(dumps({"platform": fleet.platform_url, "hosts": hosts}), encoding="utf-8")


def _print_usage(fleet: Fleet) -> None:
    url = fleet.get_host_url(HOSTS[0].name)
    print(
        f"""
The fleet is running. Send a chat request with:

  curl -s {url}/v1/chat/completions \\
    -H 'Authorization: Bearer {UNION_KEY}' -H 'Cherrylane-Chat: case-117' \\
    -d '{{"model": "drafting-8b", "messages": [{{"role": "user", "content": "Hello"}}]}}'

Show its status with:

  .venv/bin/cherrylane --platform {fleet.platform_url} status

Logs are in {fleet.directory}. Run `make smoke` in another terminal; stop with Ctrl-C.
""",
        flush=True,
    )


if __name__ == "__main__":
    main()
