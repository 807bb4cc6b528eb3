"""At-most-once execution of filings, with daemons as separate processes."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import evolve
from urllib3 import Retry, request
from urllib3.exceptions import HTTPError

from standins.example import ENGINES, HOSTS, PLAIN_SERVICES, UNION_KEY
from standins.fleet import ROOT, wait_until
from tests.cases import FleetCase

TAIWAN = tuple(host for host in HOSTS if host.site == "tw-north")
DELAY_S = "1.0"
SERVICE = evolve(PLAIN_SERVICES[0], options=("--delay-s", DELAY_S))


class FilingsTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.fleet.start_engine(ENGINES[0])
        self.fleet.start_plain_service(SERVICE)
        documents = [str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml")]
        self.fleet.run_cli("apply", *documents)
        for host in TAIWAN:
            self.fleet.start_daemon(host)
        self.fleet.wait_until_serving()
        self.urls = {host.name: self.fleet.get_host_url(host.name) for host in TAIWAN}

    def send_filing(self, host: str, key: str) -> Any:
        return request(
            "POST",
            f"{self.urls[host]}/case-service/filings",
            headers={"Authorization": f"Bearer {UNION_KEY}", "Idempotency-Key": key},
            json={"key": key},
            retries=Retry(False),
            timeout=30.0,
        )

    def executions(self, key: str) -> int:
        port = self.fleet.plain_services[SERVICE.name].port
        counts = self.fleet.request("GET", f"http://127.0.0.1:{port}/executions")
        return 0 if counts is None else int(counts.get(key, 0))

    def test_a_filing_is_executed_at_most_once(self) -> None:
        self.check_repeats_on_all_hosts()
        self.check_platform_down()
        self.check_killed_host()

    def check_repeats_on_all_hosts(self) -> None:
        hosts = list(self.urls)
        with ThreadPoolExecutor(9) as pool:
            answers = list(
                pool.map(lambda n: self.send_filing(hosts[n % 3], "grievance-1"), range(9))
            )
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual(1, self.executions("grievance-1"))
        self.assertEqual([201, 201, 201], statuses[:3])
        for answer in answers:
            if answer.status != 201:
                error = answer.json()["error"]
                self.assertEqual((409, "outcome_unknown"), (answer.status, error["execution"]))

    def check_platform_down(self) -> None:
        self.fleet.set_faults(down=True)
        unavailable = self.send_filing("hsinchu-1", "grievance-2")
        self.assertEqual(
            (503, "not_run"), (unavailable.status, unavailable.json()["error"]["execution"])
        )
        self.assertEqual(0, self.executions("grievance-2"))
        self.fleet.set_faults(down=False)
        self.assertTrue(int(unavailable.headers["Retry-After"]) > 0)

        def is_accepted() -> bool:
            return bool(self.send_filing("hsinchu-1", "grievance-2").status == 201)

        wait_until(is_accepted, "the filing to be accepted")
        self.assertEqual(1, self.executions("grievance-2"))

    def check_killed_host(self) -> None:
        with ThreadPoolExecutor(1) as pool:
            sent = pool.submit(self.send_filing, "hsinchu-1", "grievance-3")
            wait_until(lambda: self.executions("grievance-3") == 1, "the filing to be run")
            self.fleet.daemons["hsinchu-1"].kill()
            self.assertRaises(HTTPError, sent.result, 30.0)
        wait_until(
            lambda: self.send_filing("hsinchu-2", "grievance-3").status == 409,
            "the repeat to be refused",
        )
        self.assertEqual(1, self.executions("grievance-3"))
