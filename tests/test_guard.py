from concurrent.futures import ThreadPoolExecutor
from threading import Event

from result import Err, Ok
from testtools import TestCase

from cherrylane.delivery.responses import CallerResponse, StreamingBody
from cherrylane.errors import Execution, Refusal
from cherrylane.idempotency.claims import Claim, ClaimOutcome, ClaimRequest
from cherrylane.idempotency.guard import REPLAYED_HEADER, IdempotencyGuard
from cherrylane.idempotency.responses import FirstResponse
from standins.fleet import wait_until

TIMEOUT_S = 10.0


class FakeClaimClient:
    """Stores claims in memory; ``outcome`` overrides the result."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.outcome: ClaimOutcome | None = None

    def claim(self, request: ClaimRequest, wait_s: float) -> ClaimOutcome:
        if self.outcome is not None:
            return self.outcome
        if request.withdraw:
            self.claims.pop(request.claim.key, None)
            return ClaimOutcome.WITHDRAWN
        known = self.claims.setdefault(request.claim.key, request.claim)
        return ClaimOutcome.FRESH if known == request.claim else ClaimOutcome.TAKEN


class IdempotencyGuardTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = FakeClaimClient()
        self.guard = IdempotencyGuard(self.client)
        self.addCleanup(self.guard.stop)
        self.runs = 0

    def send(self) -> FirstResponse:
        self.runs += 1
        return Ok(CallerResponse(201, {}, b"filed"))

    def refuse(self) -> FirstResponse:
        self.runs += 1
        return Err(Refusal(503, "upstream_unreachable", "m", "r", Execution.NOT_RUN))

    def claim(self, claimant: str, digest: str = "d") -> Claim:
        return Claim(key="0" * 32, claimant=claimant, digest=digest)

    def test_a_repeat_gets_the_first_response(self) -> None:
        first = self.guard.run(self.claim("a"), self.send, site="s").unwrap()
        repeat = self.guard.run(self.claim("b"), self.send, site="s").unwrap()
        self.assertEqual((first.body, 1), (repeat.body, self.runs))
        self.assertIn(REPLAYED_HEADER, repeat.headers)
        self.assertNotIn(REPLAYED_HEADER, first.headers)

    def test_a_repeat_waits_for_the_request_in_progress(self) -> None:
        started, proceed = Event(), Event()

        def send_slowly() -> FirstResponse:
            started.set()
            proceed.wait(TIMEOUT_S)
            return self.send()

        with ThreadPoolExecutor(2) as pool:
            first = pool.submit(self.guard.run, self.claim("a"), send_slowly, site="s")
            self.assertTrue(started.wait(TIMEOUT_S))
            repeat = pool.submit(self.guard.run, self.claim("b"), self.send, site="s")
            proceed.set()
            self.assertEqual(first.result(TIMEOUT_S).unwrap().body, b"filed")
            self.assertEqual(repeat.result(TIMEOUT_S).unwrap().body, b"filed")
        self.assertEqual(1, self.runs)

    # Guards against two callers that each get a part of one large response.
    def test_a_waiting_repeat_gets_nothing_of_a_body_that_is_streamed(self) -> None:
        started, proceed = Event(), Event()

        def send_large() -> FirstResponse:
            started.set()
            proceed.wait(TIMEOUT_S)
            return Ok(CallerResponse(200, {}, StreamingBody(iter([b"a", b"b"]), lambda: None)))

        with ThreadPoolExecutor(2) as pool:
            first = pool.submit(self.guard.run, self.claim("a"), send_large, site="s")
            self.assertTrue(started.wait(TIMEOUT_S))
            repeat = pool.submit(self.guard.run, self.claim("b"), self.send, site="s")
            proceed.set()
            body = first.result(TIMEOUT_S).unwrap().body
            refusal = repeat.result(TIMEOUT_S).unwrap_err()
        self.assertIsInstance(body, StreamingBody)
        self.assertEqual(("already_sent", 0), (refusal.code, self.runs))
        self.assertEqual(Execution.UNKNOWN, refusal.execution)

    def test_a_different_body_with_the_same_key_is_refused(self) -> None:
        self.guard.run(self.claim("a"), self.send, site="s")
        refusal = self.guard.run(self.claim("b", "other"), self.send, site="s").unwrap_err()
        self.assertEqual(("idempotency_key_reused", 1), (refusal.code, self.runs))

    def test_a_key_used_on_another_host_is_never_sent_again(self) -> None:
        IdempotencyGuard(self.client).run(self.claim("a"), self.send, site="s")
        refusal = self.guard.run(self.claim("b"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.UNKNOWN, 1), (refusal.execution, self.runs))

    def test_nothing_is_sent_when_the_claim_is_unavailable(self) -> None:
        self.client.outcome = ClaimOutcome.UNAVAILABLE
        refusal = self.guard.run(self.claim("a"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.NOT_RUN, 0), (refusal.execution, self.runs))

    def test_a_request_that_was_not_run_can_be_retried_with_its_key(self) -> None:
        self.guard.start()
        refusal = self.guard.run(self.claim("a"), self.refuse, site="s").unwrap_err()
        self.assertEqual(Execution.NOT_RUN, refusal.execution)
        wait_until(lambda: not self.client.claims, "the claim to be withdrawn")
        self.guard.run(self.claim("b"), self.send, site="s").unwrap()
        self.assertEqual(2, self.runs)

    def test_an_exception_while_sending_leaves_the_outcome_unknown(self) -> None:
        def fail() -> FirstResponse:
            raise RuntimeError("the host fails")

        self.assertRaises(RuntimeError, self.guard.run, self.claim("a"), fail, site="s")
        refusal = self.guard.run(self.claim("b"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.UNKNOWN, 0), (refusal.execution, self.runs))

    def test_a_stop_withdraws_what_is_queued(self) -> None:
        """Withdrawals that were queued at a stop were dropped: the key could never be used."""
        self.guard.start()
        self.guard.run(self.claim("a"), self.refuse, site="s")
        self.guard.stop()
        self.assertEqual({}, self.client.claims)
