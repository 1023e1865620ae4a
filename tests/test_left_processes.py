"""A test that leaves processes behind is reported by name as an error, and they are killed."""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.standins import ROOT

HEAD = "import os, subprocess, sys\nSLEEP = [sys.executable, '-c', 'import time; time.sleep(600)']\n"
CHILD = "def test_leaves():\n    print_pid(subprocess.Popen(SLEEP).pid)\n"
BARE_CHILD = "def test_leaves():\n    print_pid(subprocess.Popen(SLEEP, env={}).pid)\n"
ORPHAN = """def test_leaves():
    start = f"import subprocess; print(subprocess.Popen({SLEEP!r}, stdout=subprocess.DEVNULL).pid)"
    print_pid(subprocess.run([sys.executable, "-c", start], stdout=subprocess.PIPE, text=True).stdout)
"""
ENDED = """def test_leaves():
    child = subprocess.Popen(SLEEP)
    print_pid(child.pid)
    child.kill()
    child.wait()
"""


class PytestRun(NamedTuple):
    """The exit code and output of pytest, and the process that the test started."""

    exit_code: int
    output: str
    pid: int


def run_pytest(folder: Path, test: str) -> PytestRun:
    """Run pytest with that test and one more that passes."""
    pid_file = folder / "pid"
    print_pid = f"def print_pid(pid):\n    open({str(pid_file)!r}, 'w').write(str(pid))\n"
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "left_processes.py").read_text())
    (folder / "test_a.py").write_text(f"{HEAD}{print_pid}{test}\ndef test_passes():\n    pass\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    found = subprocess.run(command, cwd=folder, text=True, capture_output=True, timeout=60)
    return PytestRun(found.returncode, found.stdout, int(pid_file.read_text()))


def is_running(pid: int) -> bool:
    """Whether a process runs; a zombie does not."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state not in "ZX"


@pytest.mark.parametrize("test", [CHILD, BARE_CHILD, ORPHAN], ids=["child", "bare child", "orphan"])
def test_process_that_is_left_behind_is_reported_by_name_and_killed(tmp_path: Path, test: str) -> None:
    code, output, pid = run_pytest(tmp_path, test)
    assert code == 1 and "2 passed, 1 error" in output and "ERROR test_a.py::test_leaves" in output
    assert f"processes were left behind: pid {pid}: " in output
    assert not is_running(pid)


def test_process_that_its_test_ends_is_not_left_behind(tmp_path: Path) -> None:
    code, output, pid = run_pytest(tmp_path, ENDED)
    assert code == 0 and "2 passed" in output
    assert not is_running(pid)
