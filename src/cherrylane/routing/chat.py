"""The routing inputs of a chat request, parsed once from its body."""

from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from cherrylane.errors import DECODING_ERRORS, Refusal
from cherrylane.routing.rendezvous import hash_text

CHARACTERS_PER_TOKEN = 4
MAX_CHAT_ID_CHARACTERS = 256
PREFIX_MESSAGES = 2


@frozen
class ChatCall:
    """The fields of a chat request that decide its routing.

    ``key`` hashes the client account together with the chat id, so that accounts do not share
    chats. ``prompt_tokens`` is estimated from the number of characters; ``answer_tokens`` is the
    answer length that the service expects, or the request's own limit if that is lower.
    """

    model: str
    key: int
    prompt_tokens: int
    answer_tokens: int


def read_chat_call(
    body: Any, *, account: str, chat_id: str | None, expected_answer_tokens: int
) -> Result[ChatCall, Refusal]:
    """Read a chat request from its body, which is decoded JSON.

    A malformed body gives a refusal with status 400 that names the problem and the remedy.
    """
    problem = _find_problem(body)
    if problem is not None:
        return Err(_refuse(problem))
    messages: list[dict[str, Any]] = body["messages"]
    try:
        effective_id = chat_id or _read_body_chat_id(body) or _hash_prefix(messages)
        prompt_tokens = _estimate_tokens(messages)
    except DECODING_ERRORS:
        return Err(_refuse("a message is nested too deeply, or has a number of too many digits"))
    if len(effective_id) > MAX_CHAT_ID_CHARACTERS:
        return Err(_refuse(f"the chat id is longer than {MAX_CHAT_ID_CHARACTERS} characters"))
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    answer_tokens = min(limit, expected_answer_tokens) if limit else expected_answer_tokens
    return Ok(
        ChatCall(
            model=body["model"],
            key=hash_chat(account, effective_id),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
        )
    )


def hash_chat(account: str, chat_id: str) -> int:
    """Return the routing key of a chat, which differs between accounts with the same chat id."""
    return hash_text(f"{account}\n{chat_id}")


def _find_problem(body: Any) -> str | None:
    if not isinstance(body, dict):
        return "the request body is not a JSON object"
    if not isinstance(body.get("model"), str):
        return "field 'model' is missing or not a string"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "field 'messages' is missing or not a list of at least one message"
    if not all(isinstance(message, dict) and "role" in message for message in messages):
        return "every item of 'messages' must be an object with the field 'role'"
    if body.get("stream") not in (None, True, False):
        return "field 'stream' must be true or false"
    for key in ("max_tokens", "max_completion_tokens"):
        limit = body.get(key)
        if limit is not None and (type(limit) is not int or limit < 1):
            return f"field '{key}' must be a positive integer"
    return None


def _read_body_chat_id(body: dict[str, Any]) -> str | None:
    metadata = body.get("metadata")
    chat_id = metadata.get("chat_id") if isinstance(metadata, dict) else None
    return chat_id if isinstance(chat_id, str) else None


def _hash_prefix(messages: list[dict[str, Any]]) -> str:
    """Return an id for a chat without one: a hash of its first messages.

    They stay the same as the chat grows, so that all its requests get the same id.
    """
    prefix = messages[:PREFIX_MESSAGES]
    text = "\n".join(f"{message['role']}:{message.get('content')}" for message in prefix)
    return f"{hash_text(text):016x}"


def _estimate_tokens(messages: list[dict[str, Any]]) -> int:
    characters = sum(_count_characters(message.get("content")) for message in messages)
    return max(1, characters // CHARACTERS_PER_TOKEN)


def _count_characters(content: Any) -> int:
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
        remedy="correct the request body; see the OpenAI API reference for chat completions",
    )
