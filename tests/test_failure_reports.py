"""Tests that a failing test does not take the report of the others with it."""

import subprocess
import sys
from pathlib import Path

from tests.standins import ROOT

# Finalizers that parse source, as the formatting of a traceback does, and that the garbage collector runs
# within the parse of the failing test's source: each leaves another one behind until the report is made.
FAILING_TEST = """
import ast
import gc

import pytest

class Cycle:
    has_successor = True

    def __init__(self):
        self.itself = self

    def __del__(self):
        ast.parse("x = [1]")
        if Cycle.has_successor:
            Cycle()

@pytest.fixture
def finalizers():
    yield
    Cycle.has_successor = False
    gc.set_threshold(700)
    gc.collect()

def test_fails(finalizers):
    gc.set_threshold(200)
    Cycle()
    assert False, "expected"

def test_passes():
    pass
"""


def test_failure_is_reported_although_a_finalizer_fails_meanwhile(tmp_path: Path) -> None:
    """Guards against a SystemError in the report of a failure, which ended the whole run."""
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "conftest.py").write_text((ROOT / "tests" / "failure_reports.py").read_text())
    padding = "".join(
        f"\ndef helper_{number}():\n    return [{number}, {{'a': 1}}]\n" for number in range(400)
    )
    (tmp_path / "test_a.py").write_text(FAILING_TEST + padding)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    finished = subprocess.run(command, cwd=tmp_path, text=True, capture_output=True)
    assert finished.returncode == 1, finished.stdout + finished.stderr
    assert "1 failed, 1 passed" in finished.stdout
