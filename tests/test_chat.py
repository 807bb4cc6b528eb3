"""Reading of chat requests whose bodies are JSON but hold odd values."""

from json import loads
from typing import Any

from hypothesis import given, settings
from hypothesis.strategies import dictionaries, floats, integers, lists, none, recursive, text
from result import Err, Ok
from testtools import TestCase

from cherrylane.routing.chat import read_chat_call

VALUES = recursive(
    none() | integers() | floats() | text(),
    lambda inner: lists(inner, max_size=3) | dictionaries(text(), inner, max_size=3),
    max_leaves=5,
)


def read(body: Any) -> Any:
    return read_chat_call(body, account="union", chat_id=None, expected_answer_tokens=100)


class OddChatTest(TestCase):
    # Guards against a message of one caller that ends in an internal error.
    def test_half_of_a_surrogate_pair_is_text_like_any_other(self) -> None:
        for content in (r'"\ud800"', r'[{"type": "text", "text": "\udfff"}]'):
            message = {"role": "user", "content": loads(content)}
            body: dict[str, Any] = {"model": "m", "messages": [message]}
            self.assertIsInstance(read(body), Ok)
            self.assertIsInstance(read(body | {"metadata": {"chat_id": "\ud800"}}), Ok)

    def test_a_message_that_cannot_be_read_through_is_refused(self) -> None:
        deep: list[Any] = []
        for _ in range(5000):
            deep = [deep]
        for content in (deep, 10**5000):
            match read({"model": "m", "messages": [{"role": "user", "content": content}]}):
                case Err(refusal):
                    self.assertEqual(400, refusal.status)
                case other:
                    self.fail(f"{other!r} is no refusal")

    @settings(deadline=None)
    @given(VALUES, VALUES)
    def test_whatever_a_message_holds_it_is_read_or_refused(self, content: Any, more: Any) -> None:
        message = {"role": "user", "content": content, "more": more}
        result = read({"model": "m", "messages": [message], "max_tokens": 5})
        self.assertIsInstance(result, (Ok, Err))
