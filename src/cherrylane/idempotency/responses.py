"""In-memory cache of responses, so that a repeated request gets the same response."""

from collections import OrderedDict
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from threading import Lock

from attrs import define, field, frozen
from result import Result

from cherrylane.delivery.responses import CallerResponse
from cherrylane.errors import Refusal
from cherrylane.idempotency.claims import Claim

MAX_CACHED_REQUESTS = 2_000
MAX_CACHED_BODY_BYTES = 64 * 1024

FirstResponse = Result[CallerResponse, Refusal]


@frozen
class ClaimedRequest:
    """A claimed request that this host runs or has run, and the future of its response.

    The future's result is None if the response cannot be sent to a second caller.
    """

    digest: str
    response: "Future[FirstResponse | None]" = field(factory=Future)

    def wait(self, wait_s: float) -> FirstResponse | None:
        """Return the first response, or None if there is none to be had in ``wait_s`` seconds."""
        try:
            return self.response.result(timeout=wait_s)
        except FutureTimeoutError:
            return None


@define
class ResponseCache:
    """The claimed requests of this host by key; evicts the oldest when above ``limit``."""

    limit: int = MAX_CACHED_REQUESTS
    _requests: OrderedDict[str, ClaimedRequest] = field(factory=OrderedDict)
    _lock: Lock = field(factory=Lock, repr=False)

    def reserve(self, claim: Claim) -> ClaimedRequest | None:
        """Return the earlier request with this key, or add ``claim`` and return None."""
        with self._lock:
            known = self._requests.get(claim.key)
            if known is None:
                self._requests[claim.key] = ClaimedRequest(claim.digest)
                while len(self._requests) > self.limit:
                    self._requests.popitem(last=False)
            return known

    def finish(self, claim: Claim, response: FirstResponse, *, keep: bool) -> None:
        """Pass ``response`` to the waiting repeats, and keep it if ``keep`` is set and it is small.

        Otherwise the request is removed from the cache. A body that is still being received can be
        sent only once, so the repeats get none of it.
        """
        with self._lock:
            request = self._requests.get(claim.key)
            if request is not None and not (keep and _is_cacheable(response)):
                del self._requests[claim.key]
        if request is not None:
            request.response.set_result(response if _is_shareable(response) else None)


def _is_shareable(response: FirstResponse) -> bool:
    return response.is_err() or isinstance(response.unwrap().body, bytes)


def _is_cacheable(response: FirstResponse) -> bool:
    if response.is_err():
        return True
    body = response.unwrap().body
    return isinstance(body, bytes) and len(body) <= MAX_CACHED_BODY_BYTES
