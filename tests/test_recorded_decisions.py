"""Tests that generated traces give the same actions at the same times as when they were recorded.

After an intended change of decisions, record them again with `python -m tests.decision_trace --write`, and
explain the change in the commit message.
"""

import json
from typing import Any

import pytest

from tests.decision_trace import EVENTS, EVENTS_PER_CHUNK, FIXTURE, SEEDS, run_trace
from tests.trace_variants import VARIANTS

RECORDED: list[dict[str, Any]] = json.loads(FIXTURE.read_text())
ACTIONS = {"AFTER", "CALL_OUT", "ENSURE", "TURN_AWAY", "FINISH_ERROR", "RECALL", "HEALTH_CHECK", "LOG"}


def test_recording_is_complete() -> None:
    recorded = {(trace["variant"], trace["seed"]) for trace in RECORDED}
    assert recorded == {(variant, seed) for variant in VARIANTS for seed in SEEDS}
    assert all(trace["events"] == EVENTS for trace in RECORDED)
    assert all(len(trace["chunks"]) == EVENTS // EVENTS_PER_CHUNK for trace in RECORDED)


def test_traces_contain_every_kind_of_action() -> None:
    assert {name for trace in RECORDED for name in trace["actions"]} == ACTIONS | {"SUBSCRIBE"}


@pytest.mark.parametrize("trace", RECORDED, ids=lambda trace: f"{trace['variant']}-{trace['seed']}")
def test_decisions_match_the_recording(trace: dict[str, Any]) -> None:
    replay = run_trace(trace["variant"], trace["seed"])
    for number, (current, recorded) in enumerate(zip(replay.chunks, trace["chunks"], strict=True)):
        first, end = number * EVENTS_PER_CHUNK, (number + 1) * EVENTS_PER_CHUNK
        assert current == recorded, (
            f"decisions first differ from the recording between events {first} and {end}"
        )
    assert replay.as_json(trace["variant"], trace["seed"]) == trace
