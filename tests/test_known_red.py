"""Tests that are known to fail: they are passed over and printed, and nothing else is."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.standins import ROOT

RED = "test_a.py::test_fails | it is broken | Issue nine"
TESTS = "def test_fails():\n    assert False\n\ndef test_passes():\n    pass\n"


def played(folder: Path, lines: list[str]) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "known_red.py").read_text())
    (folder / "test_a.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    found = subprocess.run(command, cwd=folder, text=True, capture_output=True)
    return found.returncode, found.stdout + found.stderr


def test_known_red_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, output = played(tmp_path, [RED])
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
def test_all_else_is_red(tmp_path: Path, lines: list[str], why: str) -> None:
    code, output = played(tmp_path, lines)
    assert code != 0 and why in output
