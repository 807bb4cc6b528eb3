from testtools import TestCase

from cherrylane.delivery.budget import MAX_SAVED_RETRIES, RetryBudget
from cherrylane.delivery.usage import find_cached_tokens


class RetryBudgetTest(TestCase):
    def test_retries_are_limited_to_a_share_of_requests(self) -> None:
        budget = RetryBudget()
        allowed = 0
        for _ in range(1000):
            budget.deposit()
            allowed += budget.withdraw()
        self.assertTrue(allowed <= 0.1 * 1000 + MAX_SAVED_RETRIES, str(allowed))
        self.assertTrue(allowed >= 0.1 * 1000 - 1, str(allowed))


class UsageTest(TestCase):
    def test_the_last_cached_tokens_count_is_returned(self) -> None:
        response = b'..."x": {"cached_tokens" : 3}, "prompt_tokens_details": {"cached_tokens": 64}}'
        self.assertEqual(64, find_cached_tokens(response))

    def test_a_response_without_usage_returns_none(self) -> None:
        for response in (b"", b"data: [DONE]", b'"cached_tokens": null', b'"cached_tokens": -4'):
            self.assertIsNone(find_cached_tokens(response))
