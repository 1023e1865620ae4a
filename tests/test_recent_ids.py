"""Tests of the memory of the latest ids."""

import random

from hypothesis import given
from hypothesis import strategies as st

from maplestile.requests.recent_ids import RecentIds


@given(st.lists(st.integers(0, 2**64 - 1) | st.integers(0, 20), max_size=60))
def test_id_is_new_exactly_once(ids: list[int]) -> None:
    recent, expected = RecentIds(64), set[int]()
    for id_ in ids:
        assert recent.add(id_) is (id_ not in expected)
        expected.add(id_)


def test_keeps_at_least_capacity_and_at_most_twice_as_many() -> None:
    recent, source = RecentIds(64), random.Random(7)
    ids = [source.getrandbits(64) for _ in range(1000)]
    for number, id_ in enumerate(ids):
        assert recent.add(id_)
        assert not any(recent.add(known) for known in ids[max(0, number - 63) : number])
        assert len(list(recent)) <= 128
    assert set(ids[-64:]) <= set(recent)
    assert recent.add(ids[0])  # forgotten


def test_zero_is_an_id() -> None:
    recent = RecentIds(2)
    assert recent.add(0) and not recent.add(0)
