"""Headers of the platform's protocol: decoding from messages and encoding for upstreams."""

from enum import Enum
from http import HTTPStatus
from math import ceil

from attrs import frozen

from cherrylane.fields import MAX_NUMBER, read_digits, read_name
from cherrylane.http.messages import Head, Header, RequestHead, ResponseHead
from cherrylane.limits.rate_limits import InvalidLimit, NoLimit, RateLimit, RateStatement
from cherrylane.relay.request import Prompt, PromptPart

REQUEST_ID = b"Attempt-Id"
DEADLINE = b"Deadline-Ms"
LAST_EVENT_ID = b"Last-Event-Id"
# The request that brought the first event of a stream which the caller takes up again.
RESUMES = b"Resumes"
# The upstream's signature of its response, which the platform calls a seal.
SIGNATURE = b"Server-Seal"
ACCOUNT = b"Tenant"
EXPECTED_UPSTREAM = b"Expect-Instance"
UPSTREAM = b"Instance-Id"
# Running requests, waiting requests and slots of an upstream, separated by commas, and optionally
# the present duration of work on its machine in percent of the usual one.
LOAD = b"Server-Load"
NOT_EXECUTED = b"Not-Executed"
# Sent by an upstream that leaves, with all its responses.
LEAVING = b"Server-Leaving"
# The requests a second that an upstream takes from all hosts together.
RATE_LIMIT = b"Server-Limit"
# For how many milliseconds the upstream is still cold.
COLD = b"Cold-Ms"
PRIORITY = b"Request-Priority"
# The address of the upstream from which the cached parts of a prompt are fetched.
CACHE_SOURCE = b"Kv-Fetch"
RETRY_AFTER = b"Retry-After"
MODEL = b"Model"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = b"Token-Usage"
PROMPT_PARTS = b"Prompt-Prefix"
LENGTH_HINT = b"Length-Hint"
AUTHORIZATION = b"Authorization"
AUTH_SCHEME = "bearer"
LOWEST_PRIORITY = 9
# Most tokens that a request is taken to have; what all requests add up to has to fit as well.
MAX_TOKENS = 10**9
# Characters of a request's id that are compared.
MAX_ID_CHARACTERS = 128
# Characters of an invalid value that are logged.
MAX_LOGGED_CHARACTERS = 40
# Longest duration of work, in percent of the usual one, that is taken for a measurement.
MAX_WORK_PERCENT = 10_000

# Headers that only the router may send to upstreams; values from callers are dropped.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        PRIORITY,
        CACHE_SOURCE,
        LAST_EVENT_ID,
        AUTHORIZATION,
        b"Expect-Version",
        b"Hold",
        b"Pin-Ms",
        b"Kv-Backup",
        b"Kv-From",
    )
)


class Addressee(Enum):
    """To which request a response belongs, by the ids that it names.

    A response that names none or several, or the id in another spelling, is ``UNCLEAR``.
    """

    THIS_REQUEST = "this_request"
    ANOTHER_REQUEST = "another_request"
    UNCLEAR = "unclear"


@frozen
class UpstreamLoad:
    """The load that an upstream reported in a response.

    ``work_percent`` is the present duration of work on its machine, 100 if it is as usual; None if
    the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None


@frozen
class Dispatch:
    """The values that the router adds to the headers of a request for one upstream."""

    upstream: str
    remaining_s: float
    priority: int
    account: str = ""
    resume_after: str = ""
    cache_source: str = ""


def read_request_id(head: Head) -> str:
    """Return the id of a request, or the id that a response repeats; empty if there is none."""
    return head.find_text(REQUEST_ID.lower()).strip()


def read_answered_ids(head: ResponseHead) -> list[str]:
    """Return the ids of requests that a response names; usually there is one."""
    name = REQUEST_ID.lower()
    return [value.decode("latin-1").strip() for key, value in head.headers if key.lower() == name]


def find_addressee(answered_ids: list[str], request_id: str) -> Addressee:
    """Return to which request a response belongs that names ``answered_ids``.

    Upstreams repeat the id of a request in all responses to it; only that identifies a response.

    Example::

        find_addressee(["a1"], "a1")  # Addressee.THIS_REQUEST
        find_addressee(["b2"], "a1")  # Addressee.ANOTHER_REQUEST
        find_addressee([], "a1")  # Addressee.UNCLEAR, as with ["A1"], ["a1", "b2"] and ["a1, b2"]
    """
    match answered_ids:
        case [answered_id] if answered_id == request_id:
            return Addressee.THIS_REQUEST
        case [answered_id] if _is_other_id(answered_id, request_id):
            return Addressee.ANOTHER_REQUEST
    return Addressee.UNCLEAR


def read_caller_timeout(head: RequestHead) -> float | None:
    """Return how many seconds the caller waits for the response, or None if it does not say."""
    milliseconds = _read_number(head.find_text(DEADLINE.lower()))
    return None if milliseconds is None else milliseconds / 1000


def read_key(head: RequestHead) -> str:
    """Return the API key of a request, empty if there is none."""
    scheme, _, key = head.find_text(AUTHORIZATION.lower()).strip().partition(" ")
    return key.strip() if scheme.lower() == AUTH_SCHEME else ""


def read_last_event(head: RequestHead) -> str:
    """Return the id of the last event that the caller has received, empty if there is none."""
    return head.find_text(LAST_EVENT_ID.lower()).strip()


def read_resumed_request(head: RequestHead) -> str:
    """Return the id of the request that began the stream which the caller takes up again."""
    return head.find_text(RESUMES.lower()).strip()[:MAX_ID_CHARACTERS]


def read_prompt(head: RequestHead) -> Prompt:
    """Return the description of the prompt; malformed parts are skipped, malformed counts are 0."""
    fields = head.find_text(TOKEN_COUNTS.lower()).split(",")
    token_counts = [*map(_read_tokens, fields), 0, 0]
    return Prompt(
        model=head.find_text(MODEL.lower()).strip(),
        parts=tuple(_read_parts(head.find_text(PROMPT_PARTS.lower()))),
        input_tokens=token_counts[0],
        max_output_tokens=token_counts[1],
        expected_output_tokens=_read_tokens(head.find_text(LENGTH_HINT.lower())),
    )


def read_signature(head: ResponseHead) -> str:
    """Return the signature of a response, empty if it has none."""
    return head.find_text(SIGNATURE.lower())


def read_load(head: ResponseHead) -> UpstreamLoad | None:
    """Return the load in a response, or None if it is missing or malformed.

    Figures after the fourth are ignored, and so is a fourth one that is no duration of work.

    Example::

        read_load(head)  # "3,0,8": UpstreamLoad(running=3, waiting=0, slots=8)
        read_load(head)  # "3,0,8,250": UpstreamLoad(3, 0, 8, work_percent=250)
    """
    text = head.find_text(LOAD.lower())
    if not text:
        return None
    fields = text.split(",")
    try:
        running, waiting, slots = (read_digits(value.strip()) for value in fields[:3])
    except ValueError:
        return None
    return UpstreamLoad(running, waiting, slots, _read_work_percent(fields[3:]))


def find_malformed_load(head: ResponseHead) -> str:
    """Return the load header if a figure of it cannot be used, shortened; empty otherwise."""
    text = head.find_text(LOAD.lower())
    if not text:
        return ""
    load = read_load(head)
    is_malformed = load is None or (load.work_percent is None and text.count(",") > 2)
    return text[:MAX_LOGGED_CHARACTERS] if is_malformed else ""


def is_not_executed(head: ResponseHead) -> bool:
    """Return whether the upstream states that it did not execute the request and never will."""
    return head.find(NOT_EXECUTED.lower()) is not None or is_misdirected(head)


def is_misdirected(head: ResponseHead) -> bool:
    """Return whether another upstream than the expected one responded, executing nothing."""
    return head.status == 421


def is_leaving(head: ResponseHead) -> bool:
    """Return whether the upstream says that it leaves and wants no new requests."""
    return head.find_text(LEAVING.lower()).strip() not in ("", "0")


def read_backoff(head: ResponseHead) -> float | None:
    """Return for how many seconds the upstream wants nothing from this host, None if it accepts."""
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return _read_number(head.find_text(RETRY_AFTER.lower()))


def read_rate_limit(head: ResponseHead) -> RateStatement:
    """Return what a response says of the upstream's request limit.

    If it names several limits, the lowest one that can be read holds.
    """
    name = RATE_LIMIT.lower()
    texts = [value.decode("latin-1") for key, value in head.headers if key.lower() == name]
    if not texts:
        return NoLimit()
    rates = [rate for rate in map(_read_number, texts) if rate is not None]
    return RateLimit(min(rates)) if rates else InvalidLimit(texts[0][:MAX_LOGGED_CHARACTERS])


def read_cold(head: ResponseHead) -> float | None:
    """Return for how many seconds the upstream says that it is cold, None if it does not say."""
    milliseconds = _read_number(head.find_text(COLD.lower()))
    return None if milliseconds is None else milliseconds / 1000


def encode_dispatch(headers: list[Header], dispatch: Dispatch) -> list[Header]:
    """Return the headers for an upstream.

    These are the caller's end-to-end ``headers``, without those that only the router may send,
    and the router's own.
    """
    forwarded = [(name, value) for name, value in headers if name.lower() not in ROUTER_HEADERS]
    forwarded.append((DEADLINE, b"%d" % max(1, int(dispatch.remaining_s * 1000))))
    forwarded.append((EXPECTED_UPSTREAM, dispatch.upstream.encode()))
    forwarded.append((PRIORITY, b"%d" % min(max(dispatch.priority, 0), LOWEST_PRIORITY)))
    if dispatch.account:
        forwarded.append((ACCOUNT, dispatch.account.encode()))
    if dispatch.resume_after:
        forwarded.append((LAST_EVENT_ID, dispatch.resume_after.encode()))
    if dispatch.cache_source:
        forwarded.append((CACHE_SOURCE, dispatch.cache_source.encode()))
    return forwarded


def encode_retry_after(seconds: float) -> Header:
    """Return the header that tells the caller after how many seconds to retry, rounded up."""
    return (RETRY_AFTER, f"{ceil(seconds * 100) / 100:.2f}".encode())


def _is_other_id(answered_id: str, request_id: str) -> bool:
    """Return whether an id is a single one that differs in more than letter case and blanks."""
    if not answered_id or "," in answered_id:
        return False
    return "".join(answered_id.split()).lower() != "".join(request_id.split()).lower()


def _read_parts(text: str) -> list[PromptPart]:
    parts: list[PromptPart] = []
    for entry in text.split(","):
        key, _, tokens = entry.strip().rpartition(":")
        try:
            parts.append(PromptPart(read_name(key), min(read_digits(tokens), MAX_TOKENS)))
        except ValueError:
            continue
    return parts


def _read_work_percent(fields: list[str]) -> int | None:
    number = _read_number(fields[0]) if fields else None
    if number is None or not 1 <= number <= MAX_WORK_PERCENT:
        return None
    return round(number)


def _read_tokens(text: str) -> int:
    return int(min(_read_number(text) or 0, MAX_TOKENS))


def _read_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_NUMBER else None
