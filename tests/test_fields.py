"""Reading of single fields that others have written."""

from json import dumps
from math import inf, nan

from hypothesis import given
from hypothesis.strategies import characters, floats, integers, text
from testtools import TestCase

from cherrylane.fields import (
    MAX_NAME_CHARACTERS,
    MAX_NUMBER,
    read_address,
    read_count,
    read_digits,
    read_endpoint,
    read_name,
    read_number,
    show,
)
from cherrylane.settings.schema import Endpoint

ERRORS = (ValueError, TypeError)


class FieldsTest(TestCase):
    # Guards against a name that no header, log line or hash takes, found only when it is used.
    @given(text(characters(), max_size=300))
    def test_a_name_can_be_sent_in_a_header(self, value: str) -> None:
        try:
            name = read_name(value)
        except ERRORS:
            return
        self.assertEqual(value, name.encode().decode())
        self.assertEqual(name, name.strip())
        self.assertTrue(0 < len(name) <= MAX_NAME_CHARACTERS)
        self.assertFalse(set(name) & set("\r\n\0"))

    # Guards against a number that fits no float, datagram or limit of digits.
    @given(integers() | floats(), integers(0, MAX_NUMBER))
    def test_a_number_is_within_its_bounds(self, value: float, most: int) -> None:
        try:
            number = read_number(value, most=most)
        except ERRORS:
            self.assertFalse(0 <= value <= most)
            return
        self.assertTrue(0 <= float(number) <= most)
        self.assertEqual(int(number), read_count(value, most=most))

    @given(integers(0, 10**30))
    def test_digits_stand_for_a_number(self, value: int) -> None:
        try:
            self.assertEqual(value, read_digits(str(value)))
        except ERRORS:
            self.assertTrue(value > MAX_NUMBER)

    def test_odd_values_are_refused(self) -> None:
        for value in ("\ud800", "a\nb", " a", "", "a" * 254, 7, None, ["a"]):
            self.assertRaises(ERRORS, read_name, value)
        for number in (-1, True, "1", None, inf, nan, 10**400, MAX_NUMBER + 1):
            self.assertRaises(ERRORS, read_count, number)
        for digits in ("", "\u00b2", "\u0661", "+1", "1_0", "9" * 5000):
            self.assertRaises(ERRORS, read_digits, digits)
        for address in ("999.1.2.3", "1.2.3", "::1", "host", "1.2.3.4\n", "\u0661.1.1.1"):
            self.assertRaises(ERRORS, read_address, address)
        for endpoint in ("1.2.3.4", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3.4:\u00b2", ":80", 80):
            self.assertRaises(ERRORS, read_endpoint, endpoint)
        self.assertEqual(Endpoint("1.2.3.4", 80), read_endpoint("1.2.3.4:80"))

    def test_what_is_shown_of_a_malformed_value_is_short(self) -> None:
        for value in ("\ud800" * 10_000, 10**4000, -(10**4000), ["a"] * 1000, inf, None, "a"):
            shown = show(value)
            self.assertTrue(0 < len(shown) < 500, shown)
            dumps(shown).encode("ascii")
