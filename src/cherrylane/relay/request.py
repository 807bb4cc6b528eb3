"""A caller's request, with all data needed for admission, placement and retries."""

from functools import cached_property

from attrs import frozen
from xxhash import xxh3_64

from cherrylane.http.messages import Header
from cherrylane.routing.routes import Account, Route


@frozen
class PromptPart:
    """A part of a prompt that several requests may share; ``key`` identifies it in caches."""

    key: str
    tokens: int


@frozen
class Prompt:
    """The prompt of a model request and its expected output; counts are in tokens."""

    model: str
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The total tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def chat_key(self) -> str:
        """The key of the part that ends the longest shareable prefix, empty if there is none."""
        return self.parts[-2].key if len(self.parts) > 1 else ""


@frozen
class CallerRequest:
    """One request of a caller; a retry by the caller is a new request.

    ``deadline`` and ``received`` are in seconds of the event loop's clock. ``resume_after`` is the
    id of the last event that the caller received of a stream that broke off, and ``resumes`` the id
    of the request that began it. ``waited_s`` is the estimated time since the caller's first
    attempt.
    """

    id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    has_body: bool
    received: float
    caller_deadline: float
    route: Route
    service: str
    prompt: Prompt
    account: Account | None = None
    resume_after: str = ""
    resumes: str = ""
    waited_s: float = 0.0

    @property
    def deadline(self) -> float:
        """When the answer is due: the earlier of the caller's deadline and the route's timeout."""
        return min(self.caller_deadline, self.received + self.route.timeout_s)

    @property
    def rank(self) -> int:
        """The sum of the account's and the route's priority; 0 is the most urgent."""
        account = self.account
        own = account.priority if account is not None and account.priority is not None else 0
        return own + self.route.priority

    @property
    def priority(self) -> int:
        """The priority sent to upstreams; the account's takes precedence over the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @cached_property
    def fingerprint(self) -> str:
        """A hash of what a request has in common with its repeats: all but ids and times."""
        host = next((value for name, value in self.headers if name.lower() == b"host"), b"")
        account = self.account.name.encode() if self.account is not None else b""
        # No field of the first ones contains a line feed.
        digest = xxh3_64(b"\n".join((host.lower(), self.method, self.target, account, b"")))
        digest.update(self.body)
        return digest.hexdigest()
