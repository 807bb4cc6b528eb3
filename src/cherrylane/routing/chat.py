"""What routing needs to know of a chat request, read from its body once."""

from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from cherrylane.errors import Refusal
from cherrylane.routing.rendezvous import hash_text

CHARACTERS_PER_TOKEN = 4
MAX_CHAT_ID_CHARACTERS = 256
PREFIX_MESSAGES = 2


@frozen
class ChatCall:
    """One chat request, reduced to what decides where it goes.

    ``key`` is the hash of the client account and the chat, so that chats of two accounts never
    meet. Token counts are estimates from the number of characters.
    """

    model: str
    key: int
    prompt_tokens: int
    answer_tokens: int


def read_chat_call(
    body: Any, *, account: str, chat_id: str | None, expected_answer_tokens: int
) -> Result[ChatCall, Refusal]:
    """Read a parsed request body; a malformed one is refused with what is wrong and the remedy."""
    problem = _find_problem(body)
    if problem is not None:
        return Err(_refuse(problem))
    messages: list[dict[str, Any]] = body["messages"]
    name = chat_id or _body_chat_id(body) or _prefix_of(messages)
    if len(name) > MAX_CHAT_ID_CHARACTERS:
        return Err(_refuse(f"the chat id is longer than {MAX_CHAT_ID_CHARACTERS} characters"))
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    answer_tokens = min(limit, expected_answer_tokens) if limit else expected_answer_tokens
    return Ok(
        ChatCall(
            model=body["model"],
            key=hash_chat(account, name),
            prompt_tokens=_count_tokens(messages),
            answer_tokens=answer_tokens,
        )
    )


def hash_chat(account: str, name: str) -> int:
    """Return the key of an account's chat; chats of two accounts never share one."""
    return hash_text(f"{account}\n{name}")


def _find_problem(body: Any) -> str | None:
    if not isinstance(body, dict):
        return "the body is not a JSON object"
    if not isinstance(body.get("model"), str):
        return "the key 'model' is missing or not a text"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "the key 'messages' is missing or not a list with at least one message"
    if not all(isinstance(message, dict) and "role" in message for message in messages):
        return "every message must be an object with a role"
    if body.get("stream") not in (None, True, False):
        return "the key 'stream' must be true or false"
    for key in ("max_tokens", "max_completion_tokens"):
        limit = body.get(key)
        if limit is not None and (type(limit) is not int or limit < 1):
            return f"the key '{key}' must be a whole number above 0"
    return None


def _body_chat_id(body: dict[str, Any]) -> str | None:
    metadata = body.get("metadata")
    chat_id = metadata.get("chat_id") if isinstance(metadata, dict) else None
    return chat_id if isinstance(chat_id, str) else None


def _prefix_of(messages: list[dict[str, Any]]) -> str:
    """Name a chat without an id by its first messages, which stay the same as it grows."""
    prefix = messages[:PREFIX_MESSAGES]
    text = "\n".join(f"{message['role']}:{message.get('content')}" for message in prefix)
    return f"{hash_text(text):016x}"


def _count_tokens(messages: list[dict[str, Any]]) -> int:
    characters = sum(_content_length(message.get("content")) for message in messages)
    return max(1, characters // CHARACTERS_PER_TOKEN)


def _content_length(content: Any) -> int:
    if isinstance(content, str):
        return len(content)
    if isinstance(content, list):
        return sum(len(str(part.get("text", ""))) for part in content if isinstance(part, dict))
    return 0


def _refuse(problem: str) -> Refusal:
    return Refusal(
        status=400,
        code="invalid_request",
        message=problem,
        remedy="correct the body; see the OpenAI chat completions format",
    )
