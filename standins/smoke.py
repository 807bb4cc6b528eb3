"""``make smoke``: sends client requests through the fleet that ``make run`` started."""

import sys
from collections.abc import Callable
from json import loads
from typing import Any

from openai import OpenAI
from urllib3 import request as http_request

from standins.example import MILL_KEY, UNION_KEY
from standins.fleet import wait_until
from standins.launcher import RUN_FILE

MESSAGES: Any = [{"role": "user", "content": "Draft a reply to HR about unpaid overtime."}]
MODEL = "drafting-8b"
SERVICE = "drafting-llm"


def main() -> None:
    """Run all checks and print their results; exit with 1 if any failed."""
    if not RUN_FILE.exists():
        sys.exit(f"no fleet is running ({RUN_FILE} does not exist); start one with: make run")
    hosts: dict[str, str] = loads(RUN_FILE.read_text(encoding="utf-8"))["hosts"]
    checks = (check_completion, check_stream, check_models, check_filing, check_addresses)
    failures = 0
    for name, url in hosts.items():
        for check in checks:
            failures += _run_check(check, name, url)
    failures += _run_check(check_chat_affinity, "all hosts", " ".join(hosts.values()))
    sys.exit(1 if failures else 0)


def check_completion(url: str) -> None:
    """Check a chat completion without streaming."""
    completion = make_client(url).chat.completions.create(model=MODEL, messages=MESSAGES)
    assert completion.choices[0].message.content, "the completion is empty"


def check_stream(url: str) -> None:
    """Check that a streamed completion equals the one without streaming."""
    client = make_client(url)
    completion = client.chat.completions.create(model=MODEL, messages=MESSAGES)
    stream = client.chat.completions.create(model=MODEL, messages=MESSAGES, stream=True)
    parts = [chunk.choices[0].delta.content or "" for chunk in stream]
    assert "".join(parts) == completion.choices[0].message.content, "streamed completion differs"


def check_models(url: str) -> None:
    """Check that the list of models contains the example model."""
    models = {model.id for model in make_client(url).models.list()}
    assert MODEL in models, f"{MODEL} is not in the list of models: {models}"


def check_filing(url: str) -> None:
    """Check a request to a plain service that is not idempotent."""
    service, key = ("bid-floor", MILL_KEY) if is_altamaha_host(url) else ("case-service", UNION_KEY)
    response = http_request(
        "POST",
        f"{url}/{service}/filings",
        json={"key": f"smoke-{url}"},
        headers={"Authorization": f"Bearer {key}"},
    )
    assert response.status == 201, f"expected status 201, got {response.status}: {response.data!r}"


def check_addresses(url: str) -> None:
    """Check that the host returns addresses for a model."""
    headers = {"Authorization": f"Bearer {UNION_KEY}"}
    response = http_request("GET", f"{url}/v1/address?model={MODEL}", headers=headers)
    assert response.json()["addresses"], "the list of addresses is empty"


def check_chat_affinity(urls: str) -> None:
    """Check that all hosts route a chat to the same engine once its last request is released.

    Until then the request counts as load, and the load bound may send the chat elsewhere.
    """
    engines = set()
    for url in urls.split():
        raw = make_client(url).chat.completions.with_raw_response.create(
            model=MODEL, messages=MESSAGES, extra_headers={"Cherrylane-Chat": "smoke-returning"}
        )
        engines.add(raw.headers["Cherrylane-Engine"])
        wait_until(lambda: not any(read_loads()), "the home to count every grant as released")
    assert len(engines) == 1, f"the chat was routed to several engines: {engines}"


def read_loads() -> list[float]:
    """Return the load of each engine of the service as its home counts it."""
    run: dict[str, Any] = loads(RUN_FILE.read_text(encoding="utf-8"))
    found: list[float] = []
    for name in run["hosts"]:
        record = http_request("GET", f"{run['platform']}/objects/hosts/{name}").json()["spec"]
        operators = f"http://{record['operators']['address']}:{record['operators']['port']}"
        status = http_request("GET", f"{operators}/status").json()
        found.extend(status["loads"].get(SERVICE, {}).values())
    assert found, f"no host is the home of {SERVICE}"
    return found


def make_client(url: str, key: str = UNION_KEY) -> OpenAI:
    """Create an OpenAI client of the host at ``url``."""
    return OpenAI(base_url=f"{url}/v1", api_key=key, max_retries=0)


def is_altamaha_host(url: str) -> bool:
    """Return whether the host at ``url`` belongs to Altamaha's site."""
    hosts: dict[str, str] = loads(RUN_FILE.read_text(encoding="utf-8"))["hosts"]
    return any(name.startswith("altamaha") for name, host_url in hosts.items() if host_url == url)


def _run_check(check: Callable[[str], None], name: str, url: str) -> int:
    try:
        check(url)
    except Exception as error:  # noqa: BLE001
        print(f"FAILED  {check.__name__} at {name}: {type(error).__name__}: {error}")
        return 1
    print(f"ok      {check.__name__} at {name}")
    return 0


if __name__ == "__main__":
    main()
