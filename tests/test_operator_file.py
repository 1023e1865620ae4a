"""Tests of the error messages for a wrong operator's file or command line."""

import subprocess
import sys

import pytest

from maplestile.invoke.operator_file import OperatorError, parse_settings
from tests.standins import ROOT

OPERATOR_FILE = (ROOT / "deploy" / "operator.toml").read_text()


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('class = "review"', 'class = "x"', r"function\[0\].class: must be one of review"),
        ("memory_mb = 2400", 'memory_mb = "a"', r"function\[0\].memory_mb: must be a number"),
        ("lanes = 4", "lanes = 0", r"function\[0\].lanes: must be 1 or more"),
        ("lanes = 4", "lane = 4", r"function\[0\].lane: is not known here"),
        ('id = "w2"', 'id = "w1"', r"worker\[1\].id: 'w1' stands twice"),
        ("127.0.0.1:8080", "8080", "invoke.listen: must be host:port"),
        ("deadline_ms = 5000", "deadline_ms = 5", r"class\[0\].deadline_ms: must be 1000 or more"),
        ("records = 1000", "records = true", "limits.records: must be a whole number"),
    ],
)
def test_wrong_value_in_operators_file_is_reported_with_its_field(old: str, new: str, message: str) -> None:
    assert parse_settings(OPERATOR_FILE).functions["make-cards"].lanes == 2
    with pytest.raises(OperatorError, match=message):
        parse_settings(OPERATOR_FILE.replace(old, new, 1))


def test_command_line_reports_errors_without_a_traceback() -> None:
    for arguments in (["serve", "no-file"], ["status", "--agent", "127.0.0.1:1"], ["agent", "no-file"]):
        command = [sys.executable, "-m", "maplestile", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=False)
        assert done.returncode == 1 and "maplestile: " in done.stderr and "Traceback" not in done.stderr
