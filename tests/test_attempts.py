from socket import socket
from threading import Event
from time import sleep
from typing import Any

from result import Err, Ok, Result
from testtools import TestCase

from cherrylane.delivery.attempts import MAX_UNREACHABLE, AttemptRunner, DeliveryTask
from cherrylane.delivery.exchange import UpstreamClient, UpstreamRequest
from cherrylane.errors import Execution
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AdmissionRefusal, AdmissionRequest, Grant, GrantOutcome
from cherrylane.routing.view import FleetView
from cherrylane.settings.schema import UpstreamSettings
from cherrylane.telemetry.metrics import Metrics
from cherrylane.telemetry.traffic import TrafficCounter
from tests.builders import POOL, SERVICE, make_admission_request, make_runner, make_view_of
from tests.scripted import Script, ScriptedUpstream, send

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
REQUESTS = 60
DEAD_PORT = 1
# Seconds for which a sound upstream may say nothing.
SILENCE_S = 1.6
# Long enough for a busy machine: every upstream here responds or closes.
TIMEOUT_S = 30.0
PATIENT = UpstreamSettings(connect_timeout_s=TIMEOUT_S, first_byte_timeout_s=TIMEOUT_S)


class DirectAdmissionClient:
    """An admission client that calls the pool's home directly."""

    def __init__(self, view: FleetView) -> None:
        self.grants = 0
        self._home = PoolHome(
            POOL,
            view.services[SERVICE],
            awaited_holders=(),
            takeover_s=0.0,
            may_admit=lambda: True,
        )

    def admit(self, request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
        replies: list[Grant | AdmissionRefusal] = []
        self._home.submit(request, replies.append)
        match replies[0]:
            case Grant() as grant:
                self.grants += 1
                return Ok(grant)
            case AdmissionRefusal() as refusal:
                return Err(refusal)

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        self._home.release(grant.id, outcome)

    def load(self) -> float:
        return sum(self._home.loads().values())


class AttemptsTest(TestCase):
    def start(self, script: Script) -> int:
        upstream = ScriptedUpstream(script)
        self.addCleanup(upstream.close)
        return upstream.runner.port

    def alive(self, count: int) -> list[int]:
        return [self.start(send(RESPONSE)) for _ in range(count)]

    def make(
        self, *ports: int, settings: UpstreamSettings = PATIENT
    ) -> tuple[AttemptRunner, DirectAdmissionClient, FleetView]:
        runners = [make_runner(f"engine-{n}", port=port) for n, port in enumerate(ports)]
        view = make_view_of(runners)
        admission = DirectAdmissionClient(view)
        untyped_client: Any = admission
        client = UpstreamClient(settings)
        return AttemptRunner(untyped_client, client, Metrics(TrafficCounter())), admission, view

    def make_task(self, number: int, *, repeatable: bool = True) -> DeliveryTask:
        request = UpstreamRequest("POST", "/", {}, b"")
        return DeliveryTask(
            make_admission_request(f"a-{number}"), request, f"r-{number}", repeatable=repeatable
        )

    def test_retries_stay_few_when_half_of_the_engines_are_down(self) -> None:
        attempts, admission, view = self.make(*self.alive(3), DEAD_PORT, DEAD_PORT, DEAD_PORT)
        for number in range(REQUESTS):
            granted = attempts.run(self.make_task(number), view, view.services[SERVICE])
            granted.unwrap().finish()
        self.assertTrue(admission.grants <= REQUESTS + 2 * 3, str(admission.grants))
        self.assertEqual(0.0, admission.load())

    def test_engines_without_a_connection_do_not_use_up_the_attempts(self) -> None:
        """Three dead engines took all attempts of a request though live ones were left.

        In which order idle engines were tried depended on the hash seed of the process.
        """
        attempts, _admission, view = self.make(DEAD_PORT, DEAD_PORT, DEAD_PORT, *self.alive(1))
        attempts.run(self.make_task(1), view, view.services[SERVICE]).unwrap().finish()

    def test_the_search_ends_after_a_few_engines_without_a_connection(self) -> None:
        attempts, admission, view = self.make(*(DEAD_PORT for _ in range(MAX_UNREACHABLE + 2)))
        refusal = attempts.run(self.make_task(1), view, view.services[SERVICE]).unwrap_err()
        self.assertEqual(
            (Execution.NOT_RUN, MAX_UNREACHABLE), (refusal.execution, admission.grants)
        )

    def test_a_non_repeatable_request_is_retried_after_a_refused_connection(self) -> None:
        attempts, _admission, view = self.make(DEAD_PORT, self.start(send(RESPONSE)))
        for number in range(5):
            task = self.make_task(number, repeatable=False)
            attempts.run(task, view, view.services[SERVICE]).unwrap().finish()

    def test_a_request_that_may_have_run_is_retried_only_if_repeatable(self) -> None:
        upstream = ScriptedUpstream(send())
        self.addCleanup(upstream.close)
        attempts, admission, view = self.make(upstream.runner.port, upstream.runner.port)
        task = self.make_task(1, repeatable=False)
        refusal = attempts.run(task, view, view.services[SERVICE]).unwrap_err()
        self.assertEqual(Execution.UNKNOWN, refusal.execution)
        self.assertEqual((1, 0.0), (upstream.calls, admission.load()))
        attempts.run(self.make_task(2), view, view.services[SERVICE]).unwrap_err()
        self.assertEqual(3, upstream.calls)

    def test_a_503_to_a_repeatable_request_is_reported_as_not_run(self) -> None:
        attempts, _admission, view = self.make(self.start(send(UNAVAILABLE)))
        refusal = attempts.run(self.make_task(1), view, view.services[SERVICE]).unwrap_err()
        self.assertEqual(Execution.NOT_RUN, refusal.execution)
        self.assertIsNotNone(refusal.retry_after_s)

    # Guards against the time limit of connecting ending an attempt whose upstream pauses.
    def test_a_silent_upstream_is_not_given_up(self) -> None:
        def pause(connection: socket, _: Event) -> None:
            for part in (RESPONSE[:20], RESPONSE[20:-1], RESPONSE[-1:]):
                sleep(SILENCE_S)
                connection.sendall(part)

        declining = ScriptedUpstream(send(UNAVAILABLE))
        self.addCleanup(declining.close)
        attempts, _admission, view = self.make(
            self.start(pause), declining.runner.port, settings=UpstreamSettings()
        )
        granted = attempts.run(self.make_task(1), view, view.services[SERVICE]).unwrap()
        self.assertEqual(b"ok", granted.exchange.read_full_body())
        granted.finish()
        self.assertEqual(0, declining.calls)

    # Guards against "not run" for a request that an upstream may have run before another declined.
    def test_a_request_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        broken = self.start(send())
        for last in (self.start(send(UNAVAILABLE)), DEAD_PORT):
            attempts, _admission, view = self.make(broken, last)
            refusal = attempts.run(self.make_task(1), view, view.services[SERVICE]).unwrap_err()
            self.assertEqual((502, Execution.UNKNOWN), (refusal.status, refusal.execution))

    def test_a_503_to_a_non_repeatable_request_is_relayed_unchanged(self) -> None:
        """A 503 may follow a side effect, so it does not prove that the request was not run."""
        upstream = ScriptedUpstream(send(UNAVAILABLE))
        self.addCleanup(upstream.close)
        attempts, _admission, view = self.make(upstream.runner.port, upstream.runner.port)
        task = self.make_task(1, repeatable=False)
        granted = attempts.run(task, view, view.services[SERVICE]).unwrap()
        self.assertEqual((503, 1), (granted.exchange.status, upstream.calls))
