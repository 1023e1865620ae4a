"""The fronts, files and lines are as recorded: statuses, headers, bodies, values read, and errors."""

import pytest

from tests.record_fronts import RECORDERS
from tests.recording import recorded
from tests.standins import ROOT


@pytest.mark.parametrize("name", RECORDERS)
def test_the_fronts_files_and_lines_are_as_recorded(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert RECORDERS[name]() == recorded(name)
