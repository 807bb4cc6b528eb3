"""A caller's request, with everything about it that decisions need."""

from attrs import frozen

from cherrylane.http.messages import Header
from cherrylane.routing.routes import Account, Route


@frozen
class PromptPart:
    """A part of a prompt, which requests may share; its cache is found by ``key``."""

    key: str
    tokens: int


@frozen
class Prompt:
    """What a model engine is asked to read and to generate; counts are in tokens."""

    model: str
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too: all but the last."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The tokens of the shared parts together."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def chat_key(self) -> str:
        """The key of the longest part that other requests may share, empty if there is none."""
        return self.parts[-2].key if len(self.parts) > 1 else ""


@frozen
class CallerRequest:
    """One attempt of a caller.

    ``deadline`` and ``received`` are in seconds of the loop's clock. ``resume_after`` is the id of
    the last event that the caller has seen of a stream that broke off. ``waited_s`` is for how long
    its caller has been asking, as far as can be told.
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
    waited_s: float = 0.0

    @property
    def deadline(self) -> float:
        """When the answer is due: the caller's deadline or the route's timeout."""
        return min(self.caller_deadline, self.received + self.route.timeout_s)

    @property
    def rank(self) -> int:
        """How urgent the request is by its account and its route together, 0 first."""
        account = self.account
        own = account.priority if account is not None and account.priority is not None else 0
        return own + self.route.priority

    @property
    def priority(self) -> int:
        """The rank by which upstreams take requests; the account's own goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
