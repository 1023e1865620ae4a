"""Tests of an agent that supervises real processes."""

import asyncio
import re
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from maplestile.agent.supervisor import send_command
from tests.standins import ROOT, Program

OPERATOR_FILE = (ROOT / "deploy" / "operator.toml").read_text()


LASTING_PROGRAM = """import signal, sys, time
def print_counters(*_):
    time.sleep(0.3)
    print('{"counters": {"n": 3}}', file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, print_counters)
print("up", file=sys.stderr, flush=True)
while True:
    signal.pause()
"""


class AgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent with a process that keeps running, one that fails at once, and a router."""

    def setUp(self) -> None:
        folder = Path(tempfile.mkdtemp())
        (folder / "lasting.py").write_text(LASTING_PROGRAM)
        self.operator_file = folder / "operator.toml"
        self.operator_file.write_text(re.sub(r"127.0.0.1:808\d", "127.0.0.1:0", OPERATOR_FILE))
        file = folder / "agent.toml"
        file.write_text(f"""[agent]
listen = "127.0.0.1:0"
backoff_s = 0.05
backoff_most_s = 0.1
[[instance]]
name = "lasting"
command = ["{sys.executable}", "{folder / "lasting.py"}"]
[[instance]]
name = "failing"
command = ["{sys.executable}", "-c", "raise SystemExit(3)"]
[[instance]]
name = "router"
file = "operator.toml"
""")
        self.agent = Program("agent", str(file))
        self.addCleanup(self.agent.kill)

    async def test_agent_restarts_failed_process_and_executes_commands(self) -> None:
        """Also covers the commands `counters`, `reload`, `restart` and `stop`, and SIGHUP to the agent."""
        address = ("127.0.0.1", int(self.agent.find(r"agent listens on 127\.0\.0\.1:(\d+)")))
        self.agent.find(r"\[lasting\] (up)")
        self.agent.find(r"failing: (ended with 3; restarting in 0\.10 s)")  # twice backoff_s
        status = await send_command(address, "status", [])
        lasting = status["instances"]["lasting"]
        failing = status["instances"]["failing"]
        self.assertEqual((lasting["state"], lasting["starts"]), ("running", 1))
        self.assertGreaterEqual(failing["starts"], 2)
        self.assertEqual(
            await send_command(address, "counters", ["lasting"]), {"counters": {"lasting": {"n": 3}}}
        )
        # The answer to one command must not be lost to another that asks for the same at the same time.
        answers = await asyncio.gather(*(send_command(address, "counters", ["lasting"]) for _ in range(3)))
        self.assertEqual(answers, 3 * [{"counters": {"lasting": {"n": 3}}}])
        self.agent.find(r"\[router\] (.*platform front listens)")
        self.operator_file.write_text(self.operator_file.read_text().replace("shapla", "padma"))
        reports = (await send_command(address, "reload", ["router", "lasting"]))["reload"]
        self.assertEqual((reports["router"]["taken"], reports["lasting"]), (["invoke"], None))
        self.agent.process.send_signal(signal.SIGHUP)
        self.agent.find(r"SIGHUP passed on to (router)$")
        restarted = await send_command(address, "restart", ["lasting"])
        self.assertEqual(restarted["instances"]["lasting"]["starts"], 2)
        self.assertIn("error", await send_command(address, "status", ["unknown"]))
        stopped = await send_command(address, "stop", ["failing"])
        self.assertEqual(stopped["instances"]["failing"]["state"], "stopped")
        self.agent.process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.agent.process.wait, 20), 0)
