"""The README's example runs as printed."""

import os
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example_runs_and_ends_with_a_send() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code is not None
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, "-c", code.group(1)], capture_output=True, text=True, cwd=ROOT, env=env, check=True
    )
    assert "SendAttempt(call=1, worker='10.0.0.1:80'" in done.stdout.splitlines()[-1]
