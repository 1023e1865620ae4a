"""Tests that the Python example of the README runs."""

import os
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_ends_with_send_attempt() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code is not None
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    finished = subprocess.run(
        [sys.executable, "-c", code.group(1)], capture_output=True, text=True, cwd=ROOT, env=env, check=True
    )
    assert "SendAttempt(call=1, worker='10.0.0.1:80'" in finished.stdout.splitlines()[-1]
