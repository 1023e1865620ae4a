"""A real agent whose machine's wall clock is stepped."""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

from maplestile.agent.command_client import send_command
from tests.shims.stepped_clock import SteppedClock
from tests.standins import Program

HOUR_S = 3600.0


# Guards against an age of an instance's state that is an hour off after a step.
def test_status_tells_how_long_an_instance_runs_by_real_time() -> None:
    folder = Path(tempfile.mkdtemp())
    clock = SteppedClock(folder / "clock")
    file = folder / "agent.toml"
    file.write_text(f"""[agent]
listen = "127.0.0.1:0"
[[instance]]
name = "lasting"
command = ["{sys.executable}", "-c", "import time; time.sleep(600)"]
""")
    agent = Program("agent", str(file), clock=clock)
    try:
        address = ("127.0.0.1", int(agent.find(r"agent listens on 127\.0\.0\.1:(\d+)")))
        agent.find(r"lasting: (started)")
        for step_s in (-HOUR_S, 2 * HOUR_S):
            clock.step(step_s)
            status: dict[str, Any] = asyncio.run(send_command(address, "status", []))
            for_s = status["instances"]["lasting"]["for_s"]
            assert 0 <= for_s < HOUR_S / 2
        asyncio.run(send_command(address, "stop", []))
        agent.process.wait(20)
    finally:
        agent.kill()
