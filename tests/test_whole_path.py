"""End-to-end test: clients send requests to the example fleet, which runs as processes."""

from concurrent.futures import ThreadPoolExecutor
from json import dumps
from socket import create_connection
from typing import Any

from openai import OpenAI
from urllib3 import request

from standins.example import HOSTS, MILL_KEY, UNION_KEY, start_example
from standins.fleet import wait_until
from tests.cases import FleetCase

TAIWAN_HOSTS = tuple(host for host in HOSTS if host.site == "tw-north")
MESSAGES: Any = [{"role": "user", "content": "Draft a reply to HR about unpaid overtime. " * 40}]
MODEL = "drafting-8b"
AUTHORIZED = {"Authorization": f"Bearer {UNION_KEY}"}


def send_chat(url: str, chat: str, **options: Any) -> Any:
    client = OpenAI(base_url=f"{url}/v1", api_key=UNION_KEY, max_retries=0)
    return client.chat.completions.with_raw_response.create(
        model=MODEL, messages=MESSAGES, extra_headers={"Cherrylane-Chat": chat}, **options
    )


class EndToEndTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        start_example(self.fleet, TAIWAN_HOSTS)

    def test_example_fleet(self) -> None:
        urls = {host.name: self.fleet.get_host_url(host.name) for host in TAIWAN_HOSTS}
        self.check_chat_affinity(urls)
        self.check_refusals(urls["hsinchu-1"])
        self.check_plain_service(urls["hsinchu-2"])
        self.check_disconnecting_callers(urls["hsinchu-1"])
        self.check_killed_host(urls)
        self.check_graceful_stop()

    def check_chat_affinity(self, urls: dict[str, str]) -> None:
        """A chat returns to its engine through any host, once its last request is released.

        Until then the request counts as load, and the load bound may send the chat elsewhere. The
        release reaches the pool's home by the link of the host that relayed the response, which
        the caller may overtake with a request to another host.
        """
        engines = set()
        for url in urls.values():
            engines.add(send_chat(url, "case-117").headers["Cherrylane-Engine"])
            self.wait_until_released()
        raw = send_chat(urls["hsinchu-1"], "case-117")
        engines.add(raw.headers["Cherrylane-Engine"])
        self.assertEqual(1, len(engines))
        repeated = raw.parse()
        self.assertTrue(repeated.usage.prompt_tokens_details.cached_tokens > 0)
        self.wait_until_released()
        stream = send_chat(urls["hsinchu-3"], "case-117", stream=True).parse()
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        self.assertEqual(repeated.choices[0].message.content, "".join(parts))
        self.wait_until_released()

    def wait_until_released(self) -> None:
        """Wait until the pool's home counts no load on any of the three engines."""
        wait_until(
            lambda: list(self.fleet.get_engine_loads("drafting-llm").values()) == [0.0, 0.0, 0.0],
            "the home to count every grant as released",
        )

    def check_refusals(self, url: str) -> None:
        for status, code, headers, body in (
            (401, "invalid_api_key", {"Authorization": "Bearer nobody"}, b"{}"),
            (400, "invalid_json", AUTHORIZED, b"{"),
            (400, "invalid_json", AUTHORIZED, b'{"seed": %s}' % (b"9" * 5000)),
            (400, "invalid_json", AUTHORIZED, b"[" * 5000),
            (400, "invalid_request", AUTHORIZED, b'{"model": "drafting-8b", "messages": []}'),
            (404, "model_not_found", AUTHORIZED, b'{"model": "other", "messages": []}'),
            (400, "invalid_header", {**AUTHORIZED, "Cherrylane-Chat": "a b"}, b"{}"),
            (413, "body_too_large", AUTHORIZED, b" " * (9 * 1024 * 1024)),
        ):
            response = request("POST", f"{url}/v1/chat/completions", headers=headers, body=body)
            error = response.json()["error"]
            self.assertEqual((status, code), (response.status, error["code"]))
            self.assertEqual("not_run", error["execution"])

    def check_plain_service(self, url: str) -> None:
        path = f"{url}/case-service/filings"
        filed = request("POST", path, headers=AUTHORIZED, json={"key": "grievance-1"})
        self.assertEqual((201, {"key": "grievance-1", "run": 1}), (filed.status, filed.json()))
        other_account = {"Authorization": f"Bearer {MILL_KEY}"}
        refused = request("POST", path, headers=other_account, json={"key": "grievance-2"})
        self.assertEqual("service_not_found", refused.json()["error"]["code"])

    def check_disconnecting_callers(self, url: str) -> None:
        """Requests of callers that disconnect are cancelled at the engine, and grants released."""
        self.check_disconnecting_caller(url, stream=True)
        self.check_disconnecting_caller(url, stream=False)
        loads = self.fleet.get_engine_loads("drafting-llm")
        self.assertEqual([0.0, 0.0, 0.0], list(loads.values()))

    def check_disconnecting_caller(self, url: str, *, stream: bool) -> None:
        before = self.count_cancelled()
        body = dumps({"model": MODEL, "messages": MESSAGES, "stream": stream, "max_tokens": 4000})
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {UNION_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with create_connection(("127.0.0.1", int(url.rsplit(":", 1)[1]))) as caller:
            caller.sendall(f"{head}{body}".encode())
            wait_until(lambda: self.count_grants("hsinchu-1") == 1, "a grant")
        wait_until(lambda: self.count_grants("hsinchu-1") == 0, "the grant to be released")
        wait_until(lambda: self.count_cancelled() > before, "the engine to cancel the request")

    def count_grants(self, name: str) -> int:
        status = self.fleet.get_host_status(name)
        return -1 if status is None else int(status["grants_held"])

    def count_cancelled(self) -> int:
        counts = [self.fleet.get_engine_counts(name) for name in self.fleet.engines]
        return sum(count["cancelled"] for count in counts)

    def check_killed_host(self, urls: dict[str, str]) -> None:
        home = next(name for name in urls if self.is_home(name))
        remaining = {name: url for name, url in urls.items() if name != home}
        self.fleet.daemons[home].kill()
        with ThreadPoolExecutor(8) as pool:
            responses = pool.map(
                lambda index: send_chat(list(remaining.values())[index % 2], f"chat-{index}"),
                range(16),
            )
            self.assertEqual(16, len([response.parse() for response in responses]))
        self.fleet.wait_until_serving()

    def check_graceful_stop(self) -> None:
        managed = next(m for m in self.fleet.daemons.values() if m.is_running())
        self.assertEqual(0, managed.terminate())
        wait_until(
            lambda: self.fleet.get_host_record(managed.name) is None,
            f"{managed.name} to leave the roster",
        )

    def is_home(self, name: str) -> bool:
        status = self.fleet.get_host_status(name)
        return status is not None and "drafting-llm/0" in status["home_of"]
