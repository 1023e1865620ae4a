"""Tests of the list of known failures: listed tests must fail and are printed; others must pass."""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.standins import ROOT

LISTED_FAILURE = "test_a.py::test_fails | it is broken | Issue nine"
TEST_FILE = "def test_fails():\n    assert False\n\ndef test_passes():\n    pass\n"


class PytestRun(NamedTuple):
    """The exit code of pytest, and its standard output followed by its standard error."""

    exit_code: int
    output: str


def run_pytest(folder: Path, lines: list[str]) -> PytestRun:
    """Run pytest on one test that fails and one that passes, with these lines in `KNOWN-RED.txt`."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "known_red.py").read_text())
    (folder / "test_a.py").write_text(TEST_FILE)
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    finished = subprocess.run(command, cwd=folder, text=True, capture_output=True)
    return PytestRun(finished.returncode, finished.stdout + finished.stderr)


def test_listed_failure_is_expected_and_printed(tmp_path: Path) -> None:
    exit_code, output = run_pytest(tmp_path, [LISTED_FAILURE])
    assert exit_code == 0 and "1 passed, 1 xfailed" in output
    assert "known red: test_a.py::test_fails: it is broken (Issue nine)" in output


@pytest.mark.parametrize(
    ("lines", "expected_output"),
    [
        ([], "1 failed"),
        ([LISTED_FAILURE, "test_a.py::test_passes | fixed | Issue nine"], "XPASS(strict)"),
        ([LISTED_FAILURE] * 4, "4 entries, at most 3 are allowed"),
        (["test_a.py::test_gone | x | y"], "test test_a.py::test_gone does not exist"),
        (["test_gone.py::test_fails | x | y"], "test test_gone.py::test_fails does not exist"),
        (["test_a.py::test_fails | x"], "entry 1: expected test | cause | issue"),
    ],
)
def test_unlisted_failure_or_bad_entry_fails_run(
    tmp_path: Path, lines: list[str], expected_output: str
) -> None:
    exit_code, output = run_pytest(tmp_path, lines)
    assert exit_code != 0 and expected_output in output
