"""Admission: resolves the route, client account and service of a request, or rejects it."""

from random import Random

from attrs import define, field

from cherrylane.http.messages import Request, RequestHead
from cherrylane.limits.overload import WaitEstimator
from cherrylane.platform.headers import (
    read_caller_timeout,
    read_key,
    read_last_event,
    read_prompt,
    read_request_id,
    read_resumed_request,
)
from cherrylane.relay.outcomes import Cause, Rejection
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.routes import Account, RequestKind, Route, choose_share
from cherrylane.routing.snapshot import Snapshot

# Retry-After, in seconds, from a host that has no configuration yet.
RETRY_UNCONFIGURED_S = 0.3


@define
class Admission:
    """Resolves the route, client account and service of requests."""

    random: Random = field(factory=Random)
    wait_estimator: WaitEstimator = field(factory=WaitEstimator)

    def admit(self, request: Request, snapshot: Snapshot, now: float) -> CallerRequest | Rejection:
        """Return the request to relay, or the rejection to answer at once."""
        head = request.head
        request_id = read_request_id(head)
        if not request_id:
            return Rejection(Cause.NO_REQUEST_ID, "every request needs an id of its own")
        if snapshot.table is None:
            return Rejection(Cause.NO_CONFIGURATION, retry_after_s=RETRY_UNCONFIGURED_S)
        route = snapshot.table.find(head.find_text(b"host"), head.path)
        if route is None:
            return Rejection(Cause.NO_ROUTE)
        account = snapshot.table.find_account(read_key(head))
        if account is None and snapshot.table.has_accounts and not route.is_public:
            return Rejection(Cause.BAD_KEY)
        return self._make_request(request, request_id, route, account, now)

    def _make_request(
        self, request: Request, request_id: str, route: Route, account: Account | None, now: float
    ) -> CallerRequest:
        head = request.head
        remaining_s = read_caller_timeout(head)
        if remaining_s is None:
            remaining_s = route.timeout_s
        return CallerRequest(
            id=request_id,
            method=head.method,
            target=head.target,
            headers=tuple(head.end_to_end()),
            body=request.body,
            has_body=_has_body(head),
            received=now,
            caller_deadline=now + remaining_s,
            route=route,
            service=choose_share(route.shares, self.random.random()),
            prompt=read_prompt(head),
            account=account,
            resume_after=read_last_event(head) if route.is_resumable else "",
            resumes=read_resumed_request(head) if route.is_resumable else "",
            waited_s=self.wait_estimator.estimate_waited(route.name, remaining_s),
        )


def is_stream(request: CallerRequest) -> bool:
    """Return whether the answer is a stream of events."""
    return request.route.kind is RequestKind.STREAM


def _has_body(head: RequestHead) -> bool:
    return head.find(b"content-length") is not None or head.find(b"transfer-encoding") is not None
