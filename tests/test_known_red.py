"""Tests that are known to fail are expected to, and printed; all other failures count."""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.standins import ROOT

RED = "test_a.py::test_fails | it is broken | Issue nine"
TESTS = "def test_fails():\n    assert False\n\ndef test_passes():\n    pass\n"


class PytestRun(NamedTuple):
    """The exit code of pytest, and its output on both streams."""

    exit_code: int
    output: str


def run_pytest(folder: Path, lines: list[str]) -> PytestRun:
    """Run pytest with a test that fails, one that passes, and these lines as known failures."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "known_red.py").read_text())
    (folder / "test_a.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    found = subprocess.run(command, cwd=folder, text=True, capture_output=True)
    return PytestRun(found.returncode, found.stdout + found.stderr)


def test_known_failure_is_expected_and_printed(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, [RED])
    assert code == 0 and "1 passed, 1 xfailed" in output
    assert "known red: test_a.py::test_fails: it is broken (Issue nine)" in output


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        ([], "1 failed"),
        ([RED, "test_a.py::test_passes | mended | Issue nine"], "XPASS(strict)"),
        ([RED] * 4, "4 lines, 3 at most"),
        (["test_a.py::test_gone | x | y"], "no test test_a.py::test_gone"),
        (["test_gone.py::test_fails | x | y"], "no test test_gone.py::test_fails"),
        (["test_a.py::test_fails | x"], "line 1: must be test | cause | issue"),
    ],
)
def test_everything_else_fails_the_run(tmp_path: Path, lines: list[str], why: str) -> None:
    code, output = run_pytest(tmp_path, lines)
    assert code != 0 and why in output
