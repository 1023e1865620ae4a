"""Tests that help texts, exit codes, errors, output and decoded files of the command line are as recorded."""

import pytest

from tests.record_command_line import RECORDERS
from tests.recording import recorded
from tests.standins import ROOT


@pytest.mark.parametrize("name", RECORDERS)
def test_command_line_behaves_as_recorded(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    assert RECORDERS[name]() == recorded(name)
