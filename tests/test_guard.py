from concurrent.futures import ThreadPoolExecutor
from threading import Event

from result import Err, Ok
from testtools import TestCase

from cherrylane.delivery.responses import CallerResponse
from cherrylane.errors import Execution, Refusal
from cherrylane.idempotency.claims import Claim, ClaimOutcome, ClaimRequest
from cherrylane.idempotency.guard import REPLAYED_HEADER, IdempotencyGuard
from cherrylane.idempotency.responses import FirstResponse
from standins.fleet import wait_until

WAIT_S = 10.0


class FakeDesk:
    """Claims in memory; ``outcome`` overrides what is answered."""

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


class RepeatGuardTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.desk = FakeDesk()
        self.guard = IdempotencyGuard(self.desk)
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

    def test_a_repeat_gets_the_first_answer(self) -> None:
        first = self.guard.run(self.claim("a"), self.send, site="s").unwrap()
        repeat = self.guard.run(self.claim("b"), self.send, site="s").unwrap()
        self.assertEqual((first.body, 1), (repeat.body, self.runs))
        self.assertIn(REPLAYED_HEADER, repeat.headers)
        self.assertNotIn(REPLAYED_HEADER, first.headers)

    def test_a_repeat_waits_for_the_one_under_way(self) -> None:
        began, go_on = Event(), Event()

        def send_slowly() -> FirstResponse:
            began.set()
            go_on.wait(WAIT_S)
            return self.send()

        with ThreadPoolExecutor(2) as pool:
            first = pool.submit(self.guard.run, self.claim("a"), send_slowly, site="s")
            self.assertTrue(began.wait(WAIT_S))
            repeat = pool.submit(self.guard.run, self.claim("b"), self.send, site="s")
            go_on.set()
            self.assertEqual(first.result(WAIT_S).unwrap().body, b"filed")
            self.assertEqual(repeat.result(WAIT_S).unwrap().body, b"filed")
        self.assertEqual(1, self.runs)

    def test_another_body_under_the_same_key_is_refused(self) -> None:
        self.guard.run(self.claim("a"), self.send, site="s")
        refusal = self.guard.run(self.claim("b", "other"), self.send, site="s").unwrap_err()
        self.assertEqual(("idempotency_key_reused", 1), (refusal.code, self.runs))

    def test_a_key_that_another_host_has_used_is_never_sent_again(self) -> None:
        IdempotencyGuard(self.desk).run(self.claim("a"), self.send, site="s")
        refusal = self.guard.run(self.claim("b"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.UNKNOWN, 1), (refusal.execution, self.runs))

    def test_without_a_claim_nothing_is_sent(self) -> None:
        self.desk.outcome = ClaimOutcome.UNAVAILABLE
        refusal = self.guard.run(self.claim("a"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.NOT_RUN, 0), (refusal.execution, self.runs))

    def test_a_request_that_was_not_run_may_be_sent_again_under_its_key(self) -> None:
        self.guard.start()
        refusal = self.guard.run(self.claim("a"), self.refuse, site="s").unwrap_err()
        self.assertEqual(Execution.NOT_RUN, refusal.execution)
        wait_until(lambda: not self.desk.claims, "the claim to be withdrawn")
        self.guard.run(self.claim("b"), self.send, site="s").unwrap()
        self.assertEqual(2, self.runs)

    def test_a_failure_under_way_leaves_the_outcome_unknown(self) -> None:
        def fail() -> FirstResponse:
            raise RuntimeError("the host fails")

        self.assertRaises(RuntimeError, self.guard.run, self.claim("a"), fail, site="s")
        refusal = self.guard.run(self.claim("b"), self.send, site="s").unwrap_err()
        self.assertEqual((Execution.UNKNOWN, 0), (refusal.execution, self.runs))
