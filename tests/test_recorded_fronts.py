"""Tests that fronts, files and protocol lines are as recorded: statuses, headers, bodies, values, errors."""

import pytest

from tests.record_fronts import RECORDERS
from tests.recording import recorded
from tests.standins import ROOT


@pytest.mark.parametrize("name", RECORDERS)
def test_output_equals_recorded_file(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert RECORDERS[name]() == recorded(name)
