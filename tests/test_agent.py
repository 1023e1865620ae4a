"""An agent that supervises real processes."""

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


STAYING_PROGRAM = """import signal, sys
def tell(*_):
    print('{"counters": {"n": 3}}', file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, tell)
print("up", file=sys.stderr, flush=True)
while True:
    signal.pause()
"""


class AgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent with a process that stays, one that fails at once, and a router."""

    def setUp(self) -> None:
        folder = Path(tempfile.mkdtemp())
        (folder / "stays.py").write_text(STAYING_PROGRAM)
        self.operator = folder / "operator.toml"
        self.operator.write_text(re.sub(r"127.0.0.1:808\d", "127.0.0.1:0", OPERATOR_FILE))
        file = folder / "agent.toml"
        file.write_text(f"""[agent]
listen = "127.0.0.1:0"
backoff_s = 0.05
backoff_most_s = 0.1
[[instance]]
name = "stays"
command = ["{sys.executable}", "{folder / "stays.py"}"]
[[instance]]
name = "falls"
command = ["{sys.executable}", "-c", "raise SystemExit(3)"]
[[instance]]
name = "router"
file = "operator.toml"
""")
        self.agent = Program("agent", str(file))
        self.addCleanup(self.agent.kill)

    async def test_agent_restarts_what_ends_and_stops_what_runs(self) -> None:
        address = ("127.0.0.1", int(self.agent.find(r"agent listens on 127\.0\.0\.1:(\d+)")))
        self.agent.find(r"\[stays\] (up)")
        self.agent.find(r"falls: (ended with 3; starts again in 0\.10 s)")  # doubled
        status = await send_command(address, "status", [])
        stays = status["instances"]["stays"]
        falls = status["instances"]["falls"]
        self.assertEqual((stays["state"], stays["starts"]), ("running", 1))
        self.assertGreaterEqual(falls["starts"], 2)
        self.assertEqual(
            await send_command(address, "counters", ["stays"]), {"counters": {"stays": {"n": 3}}}
        )
        self.agent.find(r"\[router\] (.*platform front listens)")
        self.operator.write_text(self.operator.read_text().replace("shapla", "padma"))
        reloaded = (await send_command(address, "reload", ["router", "stays"]))["reload"]
        self.assertEqual((reloaded["router"]["taken"], reloaded["stays"]), (["invoke"], None))
        self.agent.process.send_signal(signal.SIGHUP)
        self.agent.find(r"SIGHUP passed on to (router)$")
        again = await send_command(address, "restart", ["stays"])
        self.assertEqual(again["instances"]["stays"]["starts"], 2)
        self.assertIn("error", await send_command(address, "status", ["nobody"]))
        stopped = await send_command(address, "stop", ["falls"])
        self.assertEqual(stopped["instances"]["falls"]["state"], "stopped")
        self.agent.process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.agent.process.wait, 20), 0)
