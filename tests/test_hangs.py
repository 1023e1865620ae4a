"""Tests that the timeout in this project's pytest configuration ends and reports a test that hangs."""

import subprocess
import sys
import tomllib
from pathlib import Path

from tests.standins import ROOT

TESTS = """import asyncio

async def ignores_its_cancellation():
    while True:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            pass

def test_hangs():
    asyncio.run(ignores_its_cancellation())

def test_passes():
    pass
"""


def test_reports_hanging_test_that_ignores_cancellation_and_runs_the_others(tmp_path: Path) -> None:
    options = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["pytest"]["ini_options"]
    assert options["timeout"] > 0
    (tmp_path / "pytest.ini").write_text(
        f"[pytest]\ntimeout = 1\ntimeout_method = {options['timeout_method']}\n"
    )
    (tmp_path / "test_a.py").write_text(TESTS)
    command = [sys.executable, "-m", "pytest", "-q", "-n", "1", "-p", "no:cacheprovider"]
    result = subprocess.run(command, cwd=tmp_path, text=True, capture_output=True, timeout=60)
    assert result.returncode == 1 and "1 failed, 1 passed" in result.stdout
    assert "FAILED test_a.py::test_hangs" in result.stdout
