"""Tests of the slow-start limit for the sum of the calls of 3, 30 and 200 simulated routers."""

import pytest

from tests.slow_start import Scenario, fullest_window

SIZES = ((3, 6, 5.0), (30, 12, 10.0), (200, 36, 12.0))  # routers, workers, calls per second at each worker


@pytest.mark.parametrize("hot_share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("restarted", [False, True])
def test_calls_of_all_routers_stay_within_cold_worker_limit(restarted: bool, hot_share: float) -> None:
    """The limit holds even if all calls are of one function and three in four routers have just restarted.

    Each of 200 routers used to let one call of the hot function through: 40 in two seconds, with 34 allowed.
    """
    for routers, workers, calls_per_s in SIZES:
        scenario = Scenario(routers, workers, calls_per_s, hot_share=hot_share, restarted=restarted)
        fraction, calls, at_us = fullest_window(scenario)
        assert fraction <= 1, f"{calls} calls of {routers} routers in the window up to {at_us / 1e6:.2f} s"


def test_cold_worker_gets_some_calls_however_many_routers_share_it() -> None:
    """The slow-start limit reduces the calls to a cold worker, but does not stop them."""
    for routers, workers, calls_per_s in SIZES:
        assert fullest_window(Scenario(routers, workers, calls_per_s))[1] > 1
