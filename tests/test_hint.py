from testtools import TestCase

from cherrylane.routing.hint import MAX_HINT_CHARACTERS, Hint, read_hint, sign_hint

KEY = "a-hint-key-for-tests"
HINT = Hint(chat=0xABC, engine="engine-1", cached_tokens=900)


class HintTest(TestCase):
    def test_signed_hint_is_decoded(self) -> None:
        text = sign_hint(HINT, KEY)
        self.assertEqual(HINT, read_hint(text, KEY, chat=0xABC))
        self.assertTrue(len(text) <= MAX_HINT_CHARACTERS)

    def test_hint_signed_with_another_key_is_ignored(self) -> None:
        self.assertIsNone(read_hint(sign_hint(HINT, "other-firms-hint-key"), KEY, chat=0xABC))

    def test_hint_of_another_chat_is_ignored(self) -> None:
        self.assertIsNone(read_hint(sign_hint(HINT, KEY), KEY, chat=0xABD))

    def test_forged_and_malformed_hints_are_ignored(self) -> None:
        valid = sign_hint(HINT, KEY)
        for text in ("", "x", valid[:-1], valid.replace("900", "901"), "é" * 10, "a" * 10_000):
            self.assertIsNone(read_hint(text, KEY, chat=0xABC))
