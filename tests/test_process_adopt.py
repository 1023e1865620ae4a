"""Agents that are killed, and those that come after them: routers serve on, and are adopted."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from maplestile.agent.adopted_process import AdoptedProcess, ProcessGone, started_of
from maplestile.agent.log_reader import lines
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.supervisor import send_command
from tests.fleet import AGENTS, free_ports
from tests.policy_fleet import PolicyFleet, PolicyTest
from tests.rollout_fleet import Calls, HangingCall
from tests.standins import PATIENCE_S, ROOT, Program, eventually


class AdoptTest(PolicyTest):
    def made(self) -> PolicyFleet:
        return PolicyFleet(self, with_registry=True)

    def kill(self, number: int) -> None:
        """The agent alone: its routers are left behind."""
        self.fleet.agents[number].process.kill()
        self.fleet.agents[number].process.wait()

    def again(self, number: int) -> None:
        log = list(self.fleet.agents[number].log)
        self.fleet.agents[number] = self.fleet.start(number)
        self.fleet.agents[number].log[:0] = log

    def test_routers_serve_on_without_their_agent_and_the_next_one_has_them_whole(self) -> None:
        number = self.leader()
        other = self.agents(number)[0]
        mine = self.fleet.of(number)
        pids = {name: self.fleet.pid(name) for name in mine}
        calls = Calls(self.fleet, 14)
        self.kill(number)
        eventually(lambda: self.fleet.leader(self.agents(number)) is not None, "another leader")
        # Its routers hear nothing now: the change is made without them, and they learn it on their return.
        theirs = [name for name in self.fleet.names if name not in mine]
        eventually(lambda: self.fleet.propose(other, attempts=3)[0] == 0, "the change")
        self.fleet.until_all_at(other, 1, theirs)
        self.again(number)
        self.fleet.until_all_at(number, 1)
        self.assertEqual({name: self.fleet.pid(name) for name in mine}, pids)
        adopted = [line for line in self.fleet.agents[number].log if "adopted, pid" in line]
        self.assertEqual(len(adopted), len(mine))
        counters = self.fleet.command(number, "counters", mine[0])[0]["counters"][mine[0]]
        # Its log is read, and what it answers is found there.
        self.assertGreater(counters["requests.taken"], 0)
        reply = self.fleet.command(number, "reload", mine[0])[0]["reload"][mine[0]]
        self.assertTrue(reply["ok"])
        self.check(calls)
        # What was adopted is drained and started anew like any other.
        self.assertEqual(self.fleet.run(other, "rollout", "start", "--budget", "2", *mine)[0], 0)
        self.fleet.until_phase(other, "done")
        self.assertTrue(all(self.fleet.pid(name) != pids[name] for name in mine))
        self.assertEqual(self.fleet.run(number, "ready", *mine)[0], 0)
        self.assertEqual(self.fleet.figure(mine[0], "policy_epoch"), 1)

    def test_a_step_that_an_agent_left_in_its_midst_is_taken_up_by_the_next(self) -> None:
        number = 0
        name = "r0"
        pid = self.fleet.pid(name)
        hung = HangingCall(self.fleet.invoke[0])
        eventually(lambda: any(worker.ran for worker in self.fleet.workers), "the call that hangs")
        self.assertEqual(self.fleet.run(1, "rollout", "start", "--budget", "1", name)[0], 0)
        eventually(lambda: [event for _, event in self.fleet.events_of("begin")], "the step's begin")
        time.sleep(0.3)
        self.kill(number)  # the router drains, and owes one answer yet
        self.again(number)
        self.fleet.until_phase(1, "done")
        self.assertTrue(hung.answered.wait(PATIENCE_S))
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(1)["leases"] == [], "no lease")
        eventually(lambda: self.fleet.run(0, "ready", name)[0] == 0, "r0 ready")
        self.assertEqual(len([event for _, event in self.fleet.events_of("back")]), 1)

    def test_a_step_granted_to_an_agent_that_dies_before_it_begins_is_taken_by_the_next(self) -> None:
        number = next(n for n in self.agents() if n != self.leader())
        name = self.fleet.of(number)[0]
        peer = (number + 1) % AGENTS
        pid = self.fleet.pid(name)
        self.fleet.agents[number].process.send_signal(signal.SIGSTOP)
        self.agreed(self.fleet.run(peer, "rollout", "start", "--budget", "3", name))
        eventually(lambda: [one["stage"] for one in self.fleet.status(peer)["leases"]] == ["granted"], "it")
        self.kill(number)
        self.assertEqual(self.fleet.events_of("begin"), [])
        self.again(number)
        self.fleet.until_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(peer)["leases"] == [], "no lease")
        steps = [event["event"] for _, event in self.fleet.events_of("begin", "drained", "back")]
        self.assertEqual(steps, ["begin", "drained", "back"])
        self.assertLessEqual(self.fleet.worst_out(), 3)

    def test_an_adopted_router_that_is_killed_in_its_drain_is_not_called_drained(self) -> None:
        pid = self.fleet.pid("r0")
        self.kill(0)
        self.again(0)
        eventually(lambda: self.fleet.run(0, "ready", "r0", "r1")[0] == 0, "the adopted routers")
        HangingCall(self.fleet.invoke[0])
        eventually(lambda: any(worker.ran for worker in self.fleet.workers), "the call that hangs")
        self.leader()
        self.agreed(self.fleet.run(1, "rollout", "start", "--budget", "1", "r0", "r1"))
        eventually(lambda: [event for _, event in self.fleet.events_of("begin")], "the step's begin")
        time.sleep(0.3)
        os.kill(pid, signal.SIGKILL)
        self.fleet.until_phase(1, "done")
        ends = [(t["instance"], t["event"]) for _, t in self.fleet.events_of("drained", "unclean end")]
        self.assertEqual(ends, [("r0", "unclean end"), ("r1", "drained")])

    def test_of_two_agents_with_one_folder_the_second_does_not_start(self) -> None:
        second = Program("agent", str(self.fleet.agents[0].file))
        self.addCleanup(second.kill)
        self.assertEqual(second.process.wait(PATIENCE_S), 1)
        second.find("(another agent has the folder)")
        self.assertEqual(self.fleet.run(0, "ready", "r0")[0], 0)


class UnrecordedTest(unittest.TestCase):
    """An agent is killed after it has started a process, and before that is on record."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        ports = free_ports(4)
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for n, port in enumerate(ports[:3]):
            text = text.replace(f"127.0.0.1:808{n}", f"127.0.0.1:{port}")
        (self.folder / "r.toml").write_text(text)
        self.listen = ports[3]
        self.registry_file = self.folder / "kept" / "roster.json"
        text = f'[agent]\nlisten = "127.0.0.1:{self.listen}"\nfolder = "{self.folder / "kept"}"\n'
        (self.folder / "agent.toml").write_text(text + '[[instance]]\nname = "r"\nfile = "r.toml"\n')
        self.begin()

    def begin(self) -> None:
        self.agent = Program("agent", str(self.folder / "agent.toml"))
        self.addCleanup(self.end, self.agent)

    def end(self, program: Program) -> None:
        with contextlib.suppress(subprocess.TimeoutExpired):
            program.stop()
        program.kill()

    def end_left(self, pid: int) -> None:
        """The router, where no agent has it: by its number, while that is still its own."""
        with contextlib.suppress(OSError):
            if str(self.folder) in Path(f"/proc/{pid}/cmdline").read_text():
                os.kill(pid, signal.SIGKILL)

    def status(self) -> dict[str, Any]:
        try:
            reply = asyncio.run(send_command(("127.0.0.1", self.listen), "status", []))
        except OSError:
            return {"state": "", "pid": None}
        found: dict[str, Any] = reply["instances"]["r"]
        return found

    def test_process_that_is_not_on_record_is_adopted_and_not_started_again(self) -> None:
        pid = eventually(lambda: self.status()["pid"], "the router")
        self.addCleanup(self.end_left, pid)
        for content in (None, b"{", b'{"version": 1, "sum": "", "body": {"r": [1, 2]}}'):
            with self.subTest(content=content):
                self.agent.process.kill()
                self.agent.process.wait()
                self.registry_file.unlink()
                if content is not None:
                    self.registry_file.write_bytes(content)
                self.begin()
                self.agent.find("(adopted, pid)")
                status = self.status()
                self.assertEqual((status["state"], status["pid"]), ("running", pid))
        asyncio.run(send_command(("127.0.0.1", self.listen), "restart", ["r"]))
        eventually(lambda: self.status()["pid"] not in (None, pid), "another process")
        self.assertEqual(self.status()["state"], "running")


def sleeper() -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])


def test_a_process_is_adopted_by_its_number_and_its_start() -> None:
    folder = Path(tempfile.mkdtemp())
    child = sleeper()

    async def look() -> None:
        registry = ProcessRegistry(folder)
        registry.record("r", child.pid)
        orphan = ProcessRegistry(folder).orphan("r")
        assert orphan is not None and orphan.pid == child.pid and orphan.returncode is None
        assert ProcessRegistry(folder).orphan("other") is None
        for started in (started_of(child.pid) + 1, 0):
            try:
                AdoptedProcess(child.pid, started)
            except ProcessGone:
                continue
            raise AssertionError("another process passed for it")
        orphan.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE_S):
            assert await orphan.wait() == 0
        orphan.send_signal(signal.SIGTERM)  # nobody there: nothing happens
        child.wait()
        assert ProcessRegistry(folder).orphan("r") is None
        registry.record("r", None)
        for damaged in (b"", b"{}", b'{"version": 1, "sum": "", "body": {}}'):
            (folder / "roster.json").write_bytes(damaged)
            assert ProcessRegistry(folder).processes == {}

    try:
        asyncio.run(look())
    finally:
        child.kill()


def test_the_lines_of_a_log_are_read_to_its_writers_end_and_it_does_not_grow_for_good() -> None:
    path = Path(tempfile.mkdtemp()) / "r.log"
    path.write_bytes(b"old\n")

    async def look() -> list[bytes]:
        ended = asyncio.Event()
        found = list[bytes]()
        with path.open("ab", buffering=0) as writer:
            async for line in lines(path, 4, ended):
                found.append(line)
                if len(found) == 1:
                    writer.write(b"x" * (9 << 20) + b"\nthird\n")
                if line == b"third\n":
                    asyncio.get_running_loop().call_later(0.2, writer.write, b"last\n")
                    asyncio.get_running_loop().call_later(0.3, ended.set)
                if line == b"last\n":
                    assert path.stat().st_size < 100  # it was begun anew
        return found

    with path.open("ab") as file:
        file.write(b"first\n")
    found = asyncio.run(look())
    assert [found[0], *found[2:]] == [b"first\n", b"third\n", b"last\n"] and len(found[1]) == (9 << 20) + 1
    assert Path(path).exists()
