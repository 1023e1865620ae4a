"""Tests of the budgets of cold runners at real routers, while a release replaces the runners of a fleet."""

import pytest

from tests.release.scenarios import (
    LONG_OUTAGE,
    RELEASE,
    RELEASE_WITH_NEW_ROUTERS,
    SURGE,
    WHOLE_FLEET,
    Scenario,
    draw,
)
from tests.release.trial import play

SEED = 1


RANDOM_SEEDS = (1, 8, 20, 23)
SCENARIOS = (RELEASE, WHOLE_FLEET, RELEASE_WITH_NEW_ROUTERS, SURGE, LONG_OUTAGE)


# Guards against cold runners that get the demand of the whole fleet, once the warm ones have been drained.
@pytest.mark.parametrize("scenario", SCENARIOS, ids=str)
def test_cold_runner_gets_no_more_than_its_budget(scenario: Scenario) -> None:
    record = play(scenario, SEED)
    assert record.fullest.fullness <= 1, str(record.fullest)
    assert any(window.calls for window in record.windows), "no cold runner got anything"


# Guards against the same with restarts, hangs, resets and lists that are lost or late beside a release.
@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_cold_runners_get_no_more_than_their_budgets_in_random_releases(seed: int) -> None:
    record = play(draw(seed), seed)
    assert record.fullest.fullness <= 1, str(record.fullest)
