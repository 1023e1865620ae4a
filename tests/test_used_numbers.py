"""Tests of the set of numbers that the calls of a connection have had."""

from hypothesis import given
from hypothesis import strategies as st

from maplestile.wire.used_numbers import MAX_RANGES, UsedNumbers


@given(st.lists(st.integers(1, 30)))
def test_number_is_new_exactly_once(numbers: list[int]) -> None:
    used, expected = UsedNumbers(), set[int]()
    for number in numbers:
        assert used.add(number) is (number not in expected)
        expected.add(number)


def test_numbers_that_only_grow_are_always_new_and_take_bounded_memory() -> None:
    used = UsedNumbers()
    for number in range(1, 10_000, 3):
        assert used.add(number)
        assert not used.add(number)
    assert len(used._firsts) == len(used._lasts) == MAX_RANGES
    assert not used.add(4)
