"""``make smoke``: an ordinary client's requests through the fleet that ``make run`` started."""

import sys
from collections.abc import Callable
from json import loads
from typing import Any

from openai import OpenAI
from urllib3 import request as http_request

from standins.example import MILL_KEY, UNION_KEY
from standins.launcher import RUN_FILE

MESSAGES: Any = [{"role": "user", "content": "Draft a reply to HR about unpaid overtime."}]
MODEL = "drafting-8b"


def main() -> None:
    """Run every check; exit with 0, or with 1 after saying what failed."""
    if not RUN_FILE.exists():
        sys.exit("no fleet is running; start one with: make run")
    hosts: dict[str, str] = loads(RUN_FILE.read_text(encoding="utf-8"))["hosts"]
    checks = (check_whole, check_stream, check_models, check_filing, check_addresses)
    failures = 0
    for name, url in hosts.items():
        for check in checks:
            failures += _run_check(check, name, url)
    failures += _run_check(check_same_engine, "all hosts", " ".join(hosts.values()))
    sys.exit(1 if failures else 0)


def check_whole(url: str) -> None:
    """A whole answer."""
    answer = make_client(url).chat.completions.create(model=MODEL, messages=MESSAGES)
    assert answer.choices[0].message.content, "the answer is empty"


def check_stream(url: str) -> None:
    """A streamed answer, which must equal the whole one."""
    client = make_client(url)
    whole = client.chat.completions.create(model=MODEL, messages=MESSAGES)
    stream = client.chat.completions.create(model=MODEL, messages=MESSAGES, stream=True)
    parts = [chunk.choices[0].delta.content or "" for chunk in stream]
    assert "".join(parts) == whole.choices[0].message.content, "stream and whole answer differ"


def check_models(url: str) -> None:
    """The list of models."""
    models = {model.id for model in make_client(url).models.list()}
    assert MODEL in models, f"{MODEL} is not among {models}"


def check_filing(url: str) -> None:
    """A call of a plain service that may not be repeated."""
    site, key = ("bid-floor", MILL_KEY) if url_belongs_to_mill(url) else ("case-service", UNION_KEY)
    response = http_request(
        "POST",
        f"{url}/{site}/filings",
        json={"key": f"smoke-{url}"},
        headers={"Authorization": f"Bearer {key}"},
    )
    assert response.status == 201, f"{response.status}: {response.data!r}"


def check_addresses(url: str) -> None:
    """The answer to which hosts to use."""
    headers = {"Authorization": f"Bearer {UNION_KEY}"}
    response = http_request("GET", f"{url}/v1/address?model={MODEL}", headers=headers)
    assert response.json()["addresses"], "no address was given"


def check_same_engine(urls: str) -> None:
    """A returning chat finds the same engine from every host."""
    engines = set()
    for url in urls.split():
        raw = make_client(url).chat.completions.with_raw_response.create(
            model=MODEL, messages=MESSAGES, extra_headers={"Cherrylane-Chat": "smoke-returning"}
        )
        engines.add(raw.headers["Cherrylane-Engine"])
    assert len(engines) == 1, f"the chat went to {engines}"


def make_client(url: str, key: str = UNION_KEY) -> OpenAI:
    """Return an ordinary client of the host at ``url``."""
    return OpenAI(base_url=f"{url}/v1", api_key=key, max_retries=0)


def url_belongs_to_mill(url: str) -> bool:
    """Say whether the host at ``url`` is one of Altamaha's."""
    hosts: dict[str, str] = loads(RUN_FILE.read_text(encoding="utf-8"))["hosts"]
    return any(name.startswith("altamaha") for name, known in hosts.items() if known == url)


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
