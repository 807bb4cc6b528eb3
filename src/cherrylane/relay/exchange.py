"""One request sent to one upstream, and what came of it."""

from attrs import define, frozen

from cherrylane.errors import AnswerBrokenError, ConnectError
from cherrylane.http.messages import ResponseHead, encode_request
from cherrylane.http.outbound import ConnectionPool, OutboundConnection
from cherrylane.platform.headers import (
    Dispatch,
    encode_dispatch,
    is_misdirected,
    is_not_executed,
    read_request_id,
    read_signature,
)
from cherrylane.relay.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.upstreams import Upstream

# Statuses that promise that a request was not run; an upstream has to say so besides.
PROMISES = frozenset({408, 421, 429, 503})
SERVER_ERRORS = 500


@frozen
class OpenAnswer:
    """An answer of which only the head was read."""

    connection: OutboundConnection
    head: ResponseHead


@define
class Exchanges:
    """Sends requests over pooled connections.

    A request that may run at most once always gets a new connection: a kept one may have been
    closed from the other side just then, which cannot be told from a run that broke off.
    """

    pool: ConnectionPool

    async def begin(
        self, request: CallerRequest, upstream: Upstream, dispatch: Dispatch
    ) -> OpenAnswer | Outcome:
        """Send the request and wait for the head of its answer."""
        connection = self.pool.take_idle(upstream.name) if request.route.is_idempotent else None
        is_reused = connection is not None
        if connection is None:
            try:
                connection = await self.pool.open(upstream.endpoint)
            except ConnectError as error:
                return NotRun(error.problem, was_sent=False)
        try:
            connection.send(_encode(request, dispatch))
            head = await _read_own_head(connection, request.id, is_reused=is_reused)
        except AnswerBrokenError as error:
            connection.close()
            if not error.sent:
                return NotRun(error.problem, was_sent=False)
            return Unknown(f"no answer: {error.problem}")
        except BaseException:
            connection.close()
            raise
        return OpenAnswer(connection, head)

    async def finish(
        self, request: CallerRequest, upstream: Upstream, answer: OpenAnswer
    ) -> Outcome:
        """Read the rest of an answer and say what it means."""
        if request.method == b"HEAD":
            # The length in such an answer is that of a body that does not follow.
            answer.connection.close()
            return classify_answer(answer.head, b"")
        try:
            body = await answer.connection.read_body()
        except AnswerBrokenError as error:
            answer.connection.close()
            if is_not_executed(answer.head):
                return classify_answer(answer.head, b"")
            return Unknown(f"answer cut off: {error.problem}")
        except BaseException:
            answer.connection.close()
            raise
        self.release(upstream, answer)
        return classify_answer(answer.head, body)

    def release(self, upstream: Upstream, answer: OpenAnswer) -> None:
        """Keep the connection of an answer that was read to its end, if it may be kept."""
        if answer.connection.release(answer.head):
            self.pool.put(upstream.name, answer.connection)


def is_success(head: ResponseHead) -> bool:
    """Say whether an answer counts as served, if it is whole: a 2xx that its upstream signed."""
    return 200 <= head.status < 300 and bool(read_signature(head))


def classify_answer(head: ResponseHead, body: bytes) -> Outcome:
    """Say what a whole answer means for its request."""
    if is_not_executed(head):
        is_gone = is_misdirected(head)
        return NotRun(f"refused with {head.status}", was_sent=True, is_gone=is_gone)
    if head.status in PROMISES:
        return Unknown(f"answered {head.status} without saying that it was not run")
    if head.status < 300 and not is_success(head):
        return Unknown("answer without the upstream's signature")
    if head.status >= SERVER_ERRORS:
        return Failed(head, body)
    return Answered(head, body)


async def _read_own_head(
    connection: OutboundConnection, request_id: str, *, is_reused: bool
) -> ResponseHead:
    while True:
        head = await connection.read_head()
        if head.status < 200:
            continue
        answered_id = read_request_id(head)
        if answered_id == request_id or (not answered_id and not is_reused):
            return head
        # A late answer to an earlier request; ours may follow, but no other request will.
        connection.is_reusable = False
        await connection.read_body()


def _encode(request: CallerRequest, dispatch: Dispatch) -> bytes:
    headers = encode_dispatch(list(request.headers), dispatch)
    return encode_request(
        request.method, request.target, headers, request.body, has_body=request.has_body
    )
