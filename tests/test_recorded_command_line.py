"""The command line does as it was recorded: helps, exit codes, errors, files read, and answers printed."""

import pytest

from tests.record_command_line import RECORDERS
from tests.recording import recorded
from tests.standins import ROOT


@pytest.mark.parametrize("name", RECORDERS)
def test_the_command_line_does_as_recorded(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert RECORDERS[name]() == recorded(name)
