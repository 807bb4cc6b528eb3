"""Planned stops of thread daemons whose callers go on sending, as separate processes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from json import dumps
from time import sleep
from urllib.parse import urlsplit

from standins.example import ENGINES, HOSTS, UNION_KEY
from standins.fleet import ROOT, wait_until
from tests.cases import FleetCase

ENGINE = ENGINES[0]
STOPPED, OTHER = HOSTS[:2]
HEADERS = {"Authorization": f"Bearer {UNION_KEY}", "Content-Type": "application/json"}
TIMEOUT_S = 30.0
CALLERS = 4
# The lifetime of addresses is 1 s in these fleets; the host leaves the roster after it.
LEAVING_AFTER_S = 1.5
SLOW_PLATFORM_S = 2.0


class ThreadDaemonStopTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.fleet.start_engine(ENGINE)
        documents = [str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml")]
        self.fleet.run_cli("apply", *documents)
        for host in (STOPPED, OTHER):
            self.fleet.start_daemon(host)
        self.fleet.wait_until_serving()
        self.url = urlsplit(self.fleet.get_host_url(STOPPED.name))

    def connect(self) -> HTTPConnection:
        assert self.url.hostname is not None
        return HTTPConnection(self.url.hostname, self.url.port, timeout=TIMEOUT_S)

    def is_answered(self, connection: HTTPConnection, *, tokens: int, stream: bool) -> bool:
        """Send a chat and return whether its whole answer was received."""
        body = {
            "model": ENGINE.model,
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": tokens,
            "stream": stream,
        }
        try:
            connection.request("POST", "/v1/chat/completions", dumps(body), HEADERS)
            response = connection.getresponse()
            data = response.read()
        except (OSError, HTTPException):
            return False
        return response.status == 200 and (not stream or b"[DONE]" in data)

    def check_engine(self, answered: int) -> None:
        """Check that all that reached the engine was answered."""
        counts = self.fleet.get_engine_counts(ENGINE.name)
        self.assertEqual({"running": 0, "served": answered, "cancelled": 0}, counts)

    # Guards against a stop that waits for a moment without requests, which never comes.
    def test_a_stop_ends_while_callers_keep_their_connections_busy(self) -> None:
        def send_until_closed() -> int:
            connection = self.connect()
            answered = 0
            while self.is_answered(connection, tokens=40, stream=False):
                answered += 1
            connection.close()
            return answered

        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [pool.submit(send_until_closed) for _ in range(CALLERS)]
            wait_until(
                lambda: self.fleet.get_engine_counts(ENGINE.name)["served"] > CALLERS, "some chats"
            )
            code = self.fleet.daemons[STOPPED.name].terminate()
            answered = sum(caller.result(TIMEOUT_S) for caller in callers)
        self.assertEqual(0, code)
        self.check_engine(answered)

    # Guards against streams that are accepted while the host leaves the roster, and cut then.
    def test_streams_that_begin_while_the_host_leaves_are_not_cut(self) -> None:
        process = self.fleet.daemons[STOPPED.name].process

        def send_stream() -> bool:
            connection = self.connect()
            is_whole = self.is_answered(connection, tokens=400, stream=True)
            connection.close()
            return is_whole

        process.terminate()
        wait_until(
            lambda: bool((self.fleet.get_host_record(STOPPED.name) or {}).get("draining")),
            "the host to drain",
        )
        self.fleet.set_faults(slow_s=SLOW_PLATFORM_S)
        sleep(LEAVING_AFTER_S)
        with ThreadPoolExecutor(CALLERS) as pool:
            streams = []
            for _ in range(CALLERS):
                streams.append(pool.submit(send_stream))
                sleep(SLOW_PLATFORM_S / CALLERS)
            answered = sum(stream.result(TIMEOUT_S) for stream in streams)
        self.assertEqual(0, process.wait(TIMEOUT_S))
        self.check_engine(answered)
