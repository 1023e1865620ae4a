"""Decisions stay what they were recorded to be: generated traces give the same actions at the same times.

Where decisions are meant to change, `python -m tests.decision_trace --write` records them anew, and the
commit says why.
"""

import json
from typing import Any

import pytest

from tests.decision_trace import EVENTS, EVENTS_PER_CHUNK, FIXTURE, SEEDS, replayed
from tests.trace_variants import VARIANTS

RECORDED: list[dict[str, Any]] = json.loads(FIXTURE.read_text())
ACTIONS = {"AFTER", "CALL_OUT", "ENSURE", "TURN_AWAY", "FINISH_ERROR", "RECALL", "HEALTH_CHECK", "LOG"}


def test_each_variant_and_seed_is_recorded_whole() -> None:
    recorded = {(trace["variant"], trace["seed"]) for trace in RECORDED}
    assert recorded == {(variant, seed) for variant in VARIANTS for seed in SEEDS}
    assert all(trace["events"] == EVENTS for trace in RECORDED)
    assert all(len(trace["chunks"]) == EVENTS // EVENTS_PER_CHUNK for trace in RECORDED)


def test_traces_meet_every_kind_of_action() -> None:
    assert {name for trace in RECORDED for name in trace["actions"]} == ACTIONS | {"SUBSCRIBE"}


@pytest.mark.parametrize("trace", RECORDED, ids=lambda trace: f"{trace['variant']}-{trace['seed']}")
def test_decisions_are_as_recorded(trace: dict[str, Any]) -> None:
    played = replayed(trace["variant"], trace["seed"])
    for number, (now, then) in enumerate(zip(played.chunks, trace["chunks"], strict=True)):
        first, end = number * EVENTS_PER_CHUNK, (number + 1) * EVENTS_PER_CHUNK
        assert now == then, f"decisions first differ between the events {first} and {end}"
    assert played.as_json(trace["variant"], trace["seed"]) == trace
