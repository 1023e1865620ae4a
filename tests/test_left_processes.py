"""Tests of the fixture that reports tests which leave processes behind, and kills these processes."""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.standins import ROOT

# Test modules that are run by pytest in a process of its own.
HEAD = "import os, subprocess, sys\nSLEEP = [sys.executable, '-c', 'import time; time.sleep(600)']\n"
LEAVES_CHILD = "def test_starts_process():\n    write_pid(subprocess.Popen(SLEEP).pid)\n"
LEAVES_CHILD_WITHOUT_ENVIRONMENT = (
    "def test_starts_process():\n    write_pid(subprocess.Popen(SLEEP, env={}).pid)\n"
)
LEAVES_ORPHAN = """def test_starts_process():
    start = f"import subprocess; print(subprocess.Popen({SLEEP!r}, stdout=subprocess.DEVNULL).pid)"
    write_pid(subprocess.run([sys.executable, "-c", start], stdout=subprocess.PIPE, text=True).stdout)
"""
ENDS_CHILD = """def test_starts_process():
    child = subprocess.Popen(SLEEP)
    write_pid(child.pid)
    child.kill()
    child.wait()
"""


class PytestRun(NamedTuple):
    """The result of a run of pytest."""

    exit_code: int
    output: str
    pid: int  # of the process that the test started


def run_pytest(folder: Path, test: str) -> PytestRun:
    """Run pytest on a module with the given test and one more that passes."""
    pid_file = folder / "pid"
    write_pid = f"def write_pid(pid):\n    open({str(pid_file)!r}, 'w').write(str(pid))\n"
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "left_processes.py").read_text())
    (folder / "test_a.py").write_text(f"{HEAD}{write_pid}{test}\ndef test_passes():\n    pass\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    result = subprocess.run(command, cwd=folder, text=True, capture_output=True, timeout=60)
    return PytestRun(result.returncode, result.stdout, int(pid_file.read_text()))


def is_running(pid: int) -> bool:
    """Return whether a process runs; a zombie does not count as running."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state not in "ZX"


@pytest.mark.parametrize(
    "test",
    [LEAVES_CHILD, LEAVES_CHILD_WITHOUT_ENVIRONMENT, LEAVES_ORPHAN],
    ids=["child", "child without environment", "orphan"],
)
def test_reports_test_that_leaves_process_and_kills_process(tmp_path: Path, test: str) -> None:
    code, output, pid = run_pytest(tmp_path, test)
    assert code == 1 and "2 passed, 1 error" in output and "ERROR test_a.py::test_starts_process" in output
    assert f"processes were left behind: pid {pid}: " in output
    assert not is_running(pid)


def test_accepts_test_that_ends_its_process(tmp_path: Path) -> None:
    code, output, pid = run_pytest(tmp_path, ENDS_CHILD)
    assert code == 0 and "2 passed" in output
    assert not is_running(pid)
