from testtools import TestCase

from cherrylane.http.messages import ResponseHead
from cherrylane.http.received_parts import END, JOINED_BYTES, ReceivedParts


class ReceivedPartsTest(TestCase):
    # Guards against chunks of a few bytes that are kept each as an object of three times its size.
    def test_small_parts_of_a_body_are_joined(self) -> None:
        received = ReceivedParts()
        head = ResponseHead(())
        received.put(head)
        for number in range(1000):
            received.put(b"%03d" % number)
        self.assertEqual((2, 3000), (len(received.parts), received.queued_bytes))
        self.assertIs(head, received.take())
        self.assertEqual(b"".join(b"%03d" % number for number in range(1000)), received.take())
        self.assertEqual(0, received.queued_bytes)

    def test_large_parts_are_not_copied_and_bodies_stay_apart(self) -> None:
        received = ReceivedParts()
        large = bytes(JOINED_BYTES)
        for part in (b"a", large, b"b", b"c", END, b"d"):
            received.put(part)
        taken = [received.take() for _ in range(5)]
        self.assertEqual([b"a", large, b"bc", END, b"d"], taken)
        self.assertIs(large, taken[1])
