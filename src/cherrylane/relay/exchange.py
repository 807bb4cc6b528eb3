"""One request to one upstream, and the classification of its outcome."""

from collections.abc import Callable

from attrs import define, frozen
from logbook import Logger

from cherrylane.errors import ConnectError, IncompleteResponseError
from cherrylane.http.connection_pool import ConnectionPool
from cherrylane.http.memory import HeldMemory
from cherrylane.http.messages import EVENT_STREAM_TYPE, ResponseHead, encode_request_head
from cherrylane.http.outbound import OutboundConnection
from cherrylane.platform.headers import (
    MAX_ID_CHARACTERS,
    Addressee,
    Dispatch,
    encode_dispatch,
    find_addressee,
    is_misdirected,
    is_not_executed,
    read_answered_ids,
    read_signature,
)
from cherrylane.relay.answer_trace import AnswerTrace
from cherrylane.relay.filled_bodies import contains_answer
from cherrylane.relay.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.upstreams import Upstream

# Statuses of requests that were not run; the upstream must also say so in a header.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FIRST_SERVER_ERROR = 500
# Bytes of a body that is read for the sake of its connection only.
MAX_DISCARDED_BYTES = 64 * 1024
# Number of answers to other requests after which the answer to this one is no longer awaited.
MAX_FOREIGN_ANSWERS = 32

log = Logger("cherrylane.relay")


@frozen
class OpenAnswer:
    """An answer whose body has not been read yet."""

    connection: OutboundConnection
    head: ResponseHead


def _confirm_all(dispatch: Dispatch) -> Dispatch | NotRun:
    return dispatch


@define
class ExchangeClient:
    """Sends requests over pooled connections.

    A non-idempotent request always gets a new connection. The upstream may be closing an idle one
    at that moment, which cannot be distinguished from a failure while the request runs.
    """

    pool: ConnectionPool

    async def begin(
        self,
        request: CallerRequest,
        upstream: Upstream,
        dispatch: Dispatch,
        trace: AnswerTrace,
        confirm: Callable[[Dispatch], Dispatch | NotRun] = _confirm_all,
        received: HeldMemory | None = None,
    ) -> OpenAnswer | Outcome:
        """Send the request and wait for the head of its answer; ``trace`` records what comes.

        ``confirm`` is called once there is a connection, right before anything is sent. It returns
        the dispatch as it is due by then, or why the request is not sent. ``received`` counts what
        comes until the exchange ends.
        """
        connection = None
        if request.route.is_idempotent:
            connection = self.pool.take_idle(upstream.name, request.id)
        if connection is None:
            try:
                connection = await self.pool.open(upstream.endpoint)
            except ConnectError as error:
                return NotRun(error.problem, was_sent=False)
        confirmed = confirm(dispatch)
        if isinstance(confirmed, NotRun):
            connection.close()
            return confirmed
        try:
            if received is not None:
                connection.count_in(received)
            head_bytes = _encode_head(request, confirmed)
            connection.send(head_bytes, request.body, request_id=request.id)
            trace.exchange = connection.exchanges
            head = await _read_matching_head(connection, request.id, upstream.name, trace)
        except IncompleteResponseError as error:
            connection.close()
            if not error.sent:
                return NotRun(error.problem, was_sent=False)
            return Unknown(f"no answer: {error.problem}")
        except BaseException:
            connection.close()
            raise
        return OpenAnswer(connection, head)

    async def finish(
        self, request: CallerRequest, upstream: Upstream, answer: OpenAnswer, held: HeldMemory
    ) -> Outcome:
        """Read the rest of an answer, which ``held`` grows by, and classify it."""
        if 200 <= answer.head.status < 300 and not is_success(answer.head):
            # Whatever follows is not passed on, and it may have no end.
            answer.connection.close()
            return classify_answer(answer.head, b"")
        if request.method == b"HEAD":
            # Content-Length gives the length of a body that is not sent.
            answer.connection.close()
            return classify_answer(answer.head, b"")
        try:
            body = await answer.connection.read_body(held, _find_body_limit(answer.head))
        except IncompleteResponseError as error:
            answer.connection.close()
            if is_not_executed(answer.head):
                return classify_answer(answer.head, b"")
            return Unknown(f"answer incomplete: {error.problem}")
        except BaseException:
            answer.connection.close()
            raise
        if contains_answer(body, request.id, is_surplus=answer.connection.has_surplus):
            answer.connection.close()
            return Unknown("answer incomplete: another answer inside its body")
        self.release(upstream, answer)
        return classify_answer(answer.head, body)

    def release(self, upstream: Upstream, answer: OpenAnswer) -> None:
        """Return the connection of a fully read answer to the pool, if it can be reused."""
        if answer.connection.release(answer.head):
            self.pool.put(upstream.name, answer.connection)


def is_success(head: ResponseHead) -> bool:
    """Return whether a complete answer with this head is a success: a 2xx with a signature."""
    return 200 <= head.status < 300 and bool(read_signature(head))


def may_be_events(head: ResponseHead) -> bool:
    """Return whether an answer is a stream of events, as far as its head says."""
    media_type = head.find_text(b"content-type").partition(";")[0].strip().lower()
    return media_type in ("", EVENT_STREAM_TYPE)


def classify_answer(head: ResponseHead, body: bytes) -> Outcome:
    """Return the outcome that a complete answer stands for."""
    if is_not_executed(head):
        was_misdirected = is_misdirected(head)
        return NotRun(
            f"refused with status {head.status}", was_sent=True, was_misdirected=was_misdirected
        )
    if head.status in NOT_RUN_STATUSES:
        reason = f"status {head.status} without a header that says the request was not run"
        return Unknown(reason, was_answered=True)
    if head.status < 300 and not is_success(head):
        return Unknown("answer without the upstream's signature", was_answered=True)
    if head.status >= FIRST_SERVER_ERROR:
        return Failed(head, body)
    return Answered(head, body)


def _find_body_limit(head: ResponseHead) -> int | None:
    """Return how much of a body is read at the most, None if it may be passed on."""
    match classify_answer(head, b""):
        case Answered() | Failed():
            return None
        case _:
            return MAX_DISCARDED_BYTES


async def _read_matching_head(
    connection: OutboundConnection, request_id: str, upstream: str, trace: AnswerTrace
) -> ResponseHead:
    """Return the head of the answer that names this request, and skip those that name another.

    A faulty upstream may send an answer again, late, on any connection, so the place of an answer
    says nothing. After one that names no single request, it is not known what the upstream has
    answered, and whatever follows on the connection answers nothing: that is raised as an error.
    """
    while trace.skipped <= MAX_FOREIGN_ANSWERS:
        head = await connection.read_head()
        answered_ids = read_answered_ids(head)
        addressee = find_addressee(answered_ids, request_id)
        if addressee is not Addressee.ANOTHER_REQUEST:
            trace.record_answer(head.status, read_signature(head))
            if addressee is Addressee.THIS_REQUEST:
                return head
            raise _make_unclear_error(head, answered_ids)
        # The answer to this request may follow, but the connection is not reused afterwards.
        connection.is_reusable = False
        answered_id = answered_ids[0][:MAX_ID_CHARACTERS]
        trace.record_skipped(head.status, answered_id)
        log.info(
            "answer to another request skipped",
            extra={
                "request": request_id,
                "upstream": upstream,
                "status": head.status,
                "answered": answered_id,
                "exchange": trace.exchange,
            },
        )
        await connection.skip_body()
    raise IncompleteResponseError(
        f"{trace.skipped} answers to other requests", remedy="use another connection", sent=True
    )


def _make_unclear_error(head: ResponseHead, answered_ids: list[str]) -> IncompleteResponseError:
    named = repr(", ".join(answered_ids)[:MAX_ID_CHARACTERS]) if answered_ids else "no request"
    return IncompleteResponseError(
        f"an answer with status {head.status} that names {named}",
        remedy="use another connection",
        sent=True,
    )


def _encode_head(request: CallerRequest, dispatch: Dispatch) -> bytes:
    headers = encode_dispatch(list(request.headers), dispatch)
    body_bytes = len(request.body) if request.has_body else None
    return encode_request_head(request.method, request.target, headers, body_bytes)
