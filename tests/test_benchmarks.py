"""Tests of the scale benchmarks at small sizes: how the counts of operations and messages grow."""

import asyncio
from statistics import median

import pytest

from benchmarks.agreed_reads import measure as measure_reads
from benchmarks.data_path import Router
from benchmarks.fit import Series, fit
from benchmarks.hollow import HollowFleet
from benchmarks.name_lists import ANSWER_BYTES, NameServer, max_listed_workers
from benchmarks.policy_changes import experiment, run_seeds
from tests.standins import name_bytes

# Long enough for acks to arrive in time even if the process gets only part of a core. If an ack is late,
# members ping through others, which raises the counts.
PERIOD_US = 500_000
POLL_S = 0.05
TIMEOUT_S = 30.0


def test_fit_returns_line_and_standard_error_of_slope() -> None:
    exact = fit([1, 2, 4, 8], [5, 7, 11, 19])
    assert (round(exact.intercept, 9), round(exact.slope, 9), round(exact.slope_error, 9)) == (3, 2, 0)
    assert fit([1, 2, 3, 4], [1, 3, 2, 4]).slope_error > 0
    with pytest.raises(ValueError, match="at least two sizes that differ"):
        fit([3, 3], [1, 2])


def test_series_row_has_the_points_and_the_fitted_line() -> None:
    series = Series("list bytes", "workers", "B a second", [(10, 100.0), (20, 200.0), (40, 400.0)])
    assert series.rows() == ["| list bytes (B a second) | workers | 10: 100, 20: 200, 40: 400 | 0 | 10 ± 0 |"]


def test_calls_cost_no_more_passes_over_workers_in_a_larger_fleet() -> None:
    """Compare passes over all workers and ranking lengths at 60 and 600 workers, with a list each second."""
    passes = list[int]()
    ranking_lengths = list[float]()
    for workers in (60, 600):
        router = Router(workers, 400, seed=1)
        router.run(500)
        passes_before = router.dispatcher.fleet.index.passes
        router.run(500)
        passes.append(router.dispatcher.fleet.index.passes - passes_before)
        ranking_lengths.append(
            median(len(function.ranking) for function in router.dispatcher.tiers.functions.values())
        )
    assert passes[1] <= 1.2 * passes[0]
    assert ranking_lengths[1] <= 2 * ranking_lengths[0]
    assert router.dispatcher.tiers.functions


def count_pings(fleet: HollowFleet) -> int:
    """Return the number of pings that all routers have sent."""
    return sum(router.counters["peers.out.ping"] for router in fleet.routers)


def count_messages(fleet: HollowFleet) -> int:
    """Return the number of messages that all routers have sent."""
    return sum(router.sent() for router in fleet.routers)


async def wait_for_pings(fleet: HollowFleet, count: int) -> None:
    """Wait until the routers have sent more than this number of pings."""
    while count_pings(fleet) <= count:
        await asyncio.sleep(POLL_S)


async def messages_per_ping(members: int) -> float:
    """Return the messages per ping in a group of this many members, once it has formed."""
    fleet = HollowFleet(members, PERIOD_US)
    try:
        await fleet.start()
        async with asyncio.timeout(TIMEOUT_S):
            await wait_for_pings(fleet, 4 * members)  # until the updates about the joins have been sent
            pings_before = count_pings(fleet)
            messages_before = count_messages(fleet)
            await wait_for_pings(fleet, pings_before + 12 * members - 1)
        return (count_messages(fleet) - messages_before) / (count_pings(fleet) - pings_before)
    finally:
        await fleet.stop()


def test_messages_per_member_do_not_grow_with_the_fleet() -> None:
    few, many = (asyncio.run(messages_per_ping(members)) for members in (4, 16))
    assert many <= 1.5 * few
    assert few <= 3


def test_name_server_answer_exceeds_limit_only_beyond_max_listed_workers() -> None:
    query = b"\0\1" + bytes(10) + name_bytes("_app._tcp.cluster.lan") + b"\0\x21\0\1"
    sizes = [len(NameServer(workers).answer(query)) for workers in (20, 60, max_listed_workers())]
    assert max(sizes) <= ANSWER_BYTES < len(NameServer(max_listed_workers() + 10).answer(query))


def test_every_read_is_committed_in_time_and_is_longer_with_more_routers() -> None:
    few, many = (asyncio.run(measure_reads(2, routers, 1.5)) for routers in (1, 8))
    assert few.late == many.late == 0
    assert many.log_bytes / many.reads > 3 * few.log_bytes / few.reads


def test_all_policy_changes_are_committed_without_faults() -> None:
    for routers in (10, 40):
        (metrics,) = run_seeds(experiment(routers), 1)
        assert (metrics.committed, metrics.behind_at_the_end) == (10, 0)
