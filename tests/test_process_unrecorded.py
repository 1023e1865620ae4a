"""Tests of an agent that is killed after it has started a process, before it records it in the registry."""

import asyncio
import contextlib
import os
import signal
import subprocess
import tempfile
import unittest
from pathlib import Path
from typing import Any

from maplestile.agent.supervisor import send_command
from tests.free_ports import free_ports
from tests.standins import ROOT, Program, eventually


class UnrecordedProcessTest(unittest.TestCase):
    """An agent with one router; when the agent is started again, its registry is missing or damaged."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        ports = free_ports(4)
        self.agent_port = ports.pop()
        router_text = (ROOT / "deploy" / "operator.toml").read_text()
        for digit, port in enumerate(ports):
            router_text = router_text.replace(f"127.0.0.1:808{digit}", f"127.0.0.1:{port}")
        (self.folder / "r.toml").write_text(router_text)
        agent_folder = self.folder / "agent"
        self.registry_file = agent_folder / "roster.json"
        (self.folder / "agent.toml").write_text(
            f'[agent]\nlisten = "127.0.0.1:{self.agent_port}"\nfolder = "{agent_folder}"\n'
            '[[instance]]\nname = "r"\nfile = "r.toml"\n'
        )
        self.start_agent()

    def start_agent(self) -> None:
        """Start the agent, or start it again."""
        self.agent = Program("agent", str(self.folder / "agent.toml"))
        self.addCleanup(self.end_program, self.agent)

    def end_program(self, program: Program) -> None:
        """Stop an agent and its router."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            program.stop()
        program.kill()

    def end_orphan(self, pid: int) -> None:
        """Kill the router if it still runs; another process that has reused its pid is left alone."""
        with contextlib.suppress(OSError):
            if str(self.folder) in Path(f"/proc/{pid}/cmdline").read_text():
                os.kill(pid, signal.SIGKILL)

    def status(self) -> dict[str, Any]:
        """Return the router's status as the agent reports it; the pid is None if no agent answers."""
        try:
            reply = asyncio.run(send_command(("127.0.0.1", self.agent_port), "status", []))
        except OSError:
            return {"state": "", "pid": None}
        router_status: dict[str, Any] = reply["instances"]["r"]
        return router_status

    def test_adopts_running_process_that_is_not_in_registry(self) -> None:
        pid = eventually(lambda: self.status()["pid"], "the router to run")
        self.addCleanup(self.end_orphan, pid)
        for content in (None, b"{", b'{"version": 1, "sum": "", "body": {"r": [1, 2]}}'):
            with self.subTest(content=content):
                self.agent.process.kill()
                self.agent.process.wait()
                self.registry_file.unlink()
                if content is not None:
                    self.registry_file.write_bytes(content)
                self.start_agent()
                self.agent.find("(adopted, pid)")
                status = self.status()
                self.assertEqual((status["state"], status["pid"]), ("running", pid))
        asyncio.run(send_command(("127.0.0.1", self.agent_port), "restart", ["r"]))
        eventually(lambda: self.status()["pid"] not in (None, pid), "another process to run")
        self.assertEqual(self.status()["state"], "running")


if __name__ == "__main__":
    unittest.main()
