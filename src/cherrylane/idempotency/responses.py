"""First answers, kept for a while so that a repeat gets the same one."""

from collections import OrderedDict
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from threading import Lock

from attrs import define, field, frozen
from result import Result

from cherrylane.delivery.responses import CallerResponse
from cherrylane.errors import Refusal
from cherrylane.idempotency.claims import Claim

MAX_ANSWERS = 2_000
MAX_ANSWER_BYTES = 64 * 1024

FirstResponse = Result[CallerResponse, Refusal]


@frozen
class ClaimedRequest:
    """A claimed request that this host runs or ran, with its answer once there is one."""

    digest: str
    answer: "Future[FirstResponse]" = field(factory=Future)

    def wait(self, wait_s: float) -> FirstResponse | None:
        """Return the first answer, None when it did not come within ``wait_s``."""
        try:
            return self.answer.result(timeout=wait_s)
        except FutureTimeoutError:
            return None


@define
class ResponseCache:
    """The claimed requests of this host by key; the oldest are forgotten above ``limit``."""

    limit: int = MAX_ANSWERS
    _requests: OrderedDict[str, ClaimedRequest] = field(factory=OrderedDict)
    _lock: Lock = field(factory=Lock, repr=False)

    def reserve(self, claim: Claim) -> ClaimedRequest | None:
        """Return the request that has this key here already; None makes ``claim`` the first."""
        with self._lock:
            known = self._requests.get(claim.key)
            if known is None:
                self._requests[claim.key] = ClaimedRequest(claim.digest)
                while len(self._requests) > self.limit:
                    self._requests.popitem(last=False)
            return known

    def finish(self, claim: Claim, answer: FirstResponse, *, keep: bool) -> None:
        """Give ``answer`` to whoever waits for it, and keep it unless it is too large."""
        with self._lock:
            request = self._requests.get(claim.key)
            if request is not None and not (keep and _is_small(answer)):
                del self._requests[claim.key]
        if request is not None:
            request.answer.set_result(answer)


def _is_small(answer: FirstResponse) -> bool:
    if answer.is_err():
        return True
    body = answer.unwrap().body
    return isinstance(body, bytes) and len(body) <= MAX_ANSWER_BYTES
