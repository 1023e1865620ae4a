"""Rule 4 for the sum over a fleet: three, thirty and two hundred routers drawn together, by seed."""

import pytest

from tests.slow_start import Scenario, worst_window

SIZES = ((3, 6, 5.0), (30, 12, 10.0), (200, 36, 12.0))  # routers, workers, calls a second at each worker


@pytest.mark.parametrize("hot_share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("restarted", [False, True])
def test_cold_worker_gets_no_more_than_its_budget_from_all_routers_together(
    restarted: bool, hot_share: float
) -> None:
    """Also where all of them send the calls of one function there, and three in four have just started: each
    of 200 let through one call of the hot function, 40 in two seconds where 34 may come."""
    for routers, workers, calls_per_s in SIZES:
        scenario = Scenario(routers, workers, calls_per_s, hot_share=hot_share, restarted=restarted)
        part, calls, at_us = worst_window(scenario)
        assert part <= 1, f"{calls} calls of {routers} routers up to {at_us / 1e6:.2f} s"


def test_cold_worker_gets_some_calls_however_many_routers_share_it() -> None:
    """The gate holds back, and does not bar: a fleet's ordinary calls come to a cold worker, too."""
    for routers, workers, calls_per_s in SIZES:
        assert worst_window(Scenario(routers, workers, calls_per_s))[1] > 1
