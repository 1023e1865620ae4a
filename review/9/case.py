"""A policy that the fleet has agreed on is forgotten when the agents are restarted as planned."""

import asyncio
import json
import re
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Any

from review.common_2.runners import Runner
from review.common_2.scene import ROOT, CannotRunError, Scene, free_port, play, until
from review.common_2.traffic import record_traffic
from review.common_2.web import call

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
AGENTS = 3  # with a vote and a router each, as in examples/policy
FURTHER_AGENTS = 100  # without a vote: the rest of a fleet of 200 routers
READ_EVERY_S, BEAT_EVERY_S = 1.0, 2.0  # what an agent without a vote submits, by docs/policy-change.md
FUNCTION = "score-bangla"
BODY_LIMIT = 1_000  # of the agreed policy; the routers' own files have 16,384
LONG_BODY = b"x" * 4_000
QUIET_S = 6.0
GROWTH_S = 70.0  # in which the log has to grow; it takes about 33 s


async def work(_runner: Runner, message: dict[str, Any]) -> tuple[str, bytes]:
    """Run one call."""
    await asyncio.sleep(0.05)
    return "200", f"answer to {message['call']}".encode()


class Fleet:
    """Three agents that agree by the replicated log, and the load of the agents without a vote."""

    def __init__(self, scene: Scene, runner: Runner) -> None:
        self.scene = scene
        self.runner = runner
        self.invoke_ports = [free_port() for _ in range(AGENTS)]
        self.operator_ports = [free_port() for _ in range(AGENTS)]
        self.agent_ports = [free_port() for _ in range(AGENTS)]
        self.voter_ports = [free_port() for _ in range(AGENTS)]
        self.agents: list[Any] = []
        self.commands = 0
        self.unanswered = 0

    def write_files(self) -> None:
        """Write the files of agents and routers, by those under examples/policy and deploy/policy."""
        folder = self.scene.folder
        for n in range(AGENTS):
            text = (ROOT / "deploy" / "policy" / "r1.toml").read_text()
            text = re.sub(r"\[peers\].*?(?=\[\[class\]\])", "", text, flags=re.DOTALL)
            text = text.replace('name = "r1"', f'name = "r{n + 1}"')
            text = text.replace("127.0.0.1:8110", f"127.0.0.1:{self.invoke_ports[n]}")
            text = text.replace("127.0.0.1:8112", f"127.0.0.1:{self.operator_ports[n]}")
            text = text.replace("/tmp/maplestile-policy-r1", str(folder / f"r{n + 1}-policy"))
            text = text[: text.index("[[worker]]")]
            text += f'[[worker]]\nid = "w1"\naddress = "127.0.0.1:{self.runner.port}"\nzone = "a"\ncell = 1\n'
            (folder / f"r{n + 1}.toml").write_text(text)
            (folder / f"a{n + 1}.toml").write_text(self._agent_file(n))
        policy = (ROOT / "examples" / "policy" / "policy.toml").read_text()
        policy = policy.replace("[limits]\n", f"[limits]\nbody_bytes = {BODY_LIMIT}\n")
        (folder / "policy.toml").write_text(policy)

    def _agent_file(self, n: int) -> str:
        folder, name = self.scene.folder, f"a{n + 1}"
        text = f'[agent]\nlisten = "127.0.0.1:{self.agent_ports[n]}"\nfolder = "{folder / name}"\n'
        text += f'[control]\nname = "{name}"\nlisten = "127.0.0.1:{self.voter_ports[n]}"\n'
        text += f'folder = "{folder / name}-log"\nbudget = 1\n'
        for m in range(AGENTS):
            text += f'[[voter]]\nname = "a{m + 1}"\naddress = "127.0.0.1:{self.voter_ports[m]}"\n'
        return text + f'[[instance]]\nname = "r{n + 1}"\nfile = "r{n + 1}.toml"\n'

    def start(self, n: int) -> None:
        """Start an agent on its folders."""
        agent = self.scene.start(f"agent{n + 1}", "agent", str(self.scene.folder / f"a{n + 1}.toml"))
        self.agents[n : n + 1] = [agent]

    async def until_ready(self) -> None:
        """Wait until all routers are ready."""
        for port in self.operator_ports:
            async with asyncio.timeout(40.0):
                while not await self._is_ready(port):  # noqa: ASYNC110 - asked over a socket
                    await asyncio.sleep(0.1)

    async def _is_ready(self, port: int) -> bool:
        reply = await call(port, "GET", "/v1/readyz")
        return reply is not None and reply.status == 200

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the program's command line."""
        process = await asyncio.create_subprocess_shell(
            " ".join([self.scene.run_command, *arguments]),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        text = output.decode().strip()
        self.scene.note(f"maplestile {' '.join(arguments)}: {process.returncode}: {text[:400]}")
        return process.returncode or 0, text

    async def status(self, n: int) -> str:
        """Return what an agent says of the agreed policy."""
        return (await self.command("policy", "status", f"--agent 127.0.0.1:{self.agent_ports[n]}"))[1]

    async def further_agent(self, number: int) -> None:
        """Submit what an agent without a vote submits: a read each second, a heartbeat every two."""
        name, port = f"b{number}", self.agent_ports[number % AGENTS]
        await asyncio.sleep(number / FURTHER_AGENTS)
        reads, next_s = 0, time.monotonic()
        while True:
            await self._submit(port, {"do": "policy read", "agent": name, "instances": []})
            reads += 1
            if reads % int(BEAT_EVERY_S / READ_EVERY_S) == 0:
                await self._submit(port, {"do": "word", "agent": name, "words": {}})
            next_s += READ_EVERY_S
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    async def _submit(self, port: int, command: dict[str, Any]) -> None:
        line = json.dumps({"do": "control", "instances": [], "command": command}).encode() + b"\n"
        try:
            async with asyncio.timeout(6.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
                writer.write(line)
                answer = json.loads(await reader.readline() or b"{}")
                writer.close()
        except (OSError, TimeoutError, ValueError):
            answer = {}
        if answer.get("control", {}).get("reply", {}).get("ok"):
            self.commands += 1
        else:
            self.unanswered += 1

    async def post(self, n: int) -> int:
        """Send a router a body that the agreed policy does not allow, and return the status of the answer."""
        reply = await call(
            self.invoke_ports[n], "POST", f"/v1/functions/{FUNCTION}/invocations", {}, LONG_BODY, 6.0
        )
        status = 0 if reply is None else reply.status
        self.scene.note(f"r{n + 1}: POST of {len(LONG_BODY)} bytes: {status}")
        return status

    def has_compacted(self) -> bool:
        """Return whether every voter has a snapshot."""
        return all((self.scene.folder / f"a{n + 1}-log" / "snapshot").exists() for n in range(AGENTS))


async def main(scene: Scene) -> list[str]:
    """Play the case, and return what has become of the agreed policy."""
    runner = Runner("w1", "a", 1, work)
    await runner.start()
    fleet = Fleet(scene, runner)
    fleet.write_files()
    for n in range(AGENTS):
        fleet.start(n)
    await fleet.until_ready()
    agent = f"--agent 127.0.0.1:{fleet.agent_ports[0]}"
    code, _ = await fleet.command("policy", "propose", str(scene.folder / "policy.toml"), agent)
    await asyncio.sleep(1.0)
    before = [await fleet.post(n) for n in range(AGENTS)]
    if code or set(before) != {413}:
        raise CannotRunError(f"the policy was not agreed on, or is not in force: {before}")
    await _grow_log(scene, fleet)
    if scene.trouble:
        await _restart(scene, fleet)
    await asyncio.sleep(QUIET_S)
    breaks = await _judge(fleet)
    record_traffic(scene, [runner], [])
    return breaks


async def _grow_log(scene: Scene, fleet: Fleet) -> None:
    """Have the fleet's other agents submit their commands until every voter has compacted its log."""
    load = [asyncio.create_task(fleet.further_agent(number)) for number in range(FURTHER_AGENTS)]
    end_s = time.monotonic() + GROWTH_S
    while not fleet.has_compacted() and time.monotonic() < end_s:  # noqa: ASYNC110 - files
        await asyncio.sleep(0.5)
    for task in load:
        task.cancel()
    scene.note(
        f"{fleet.commands} commands of further agents are in the log, {fleet.unanswered} got no answer"
    )
    if not fleet.has_compacted():
        raise CannotRunError("the voters have not compacted their logs")
    scene.note("every voter has compacted its log")
    await asyncio.sleep(1.0)


async def _restart(scene: Scene, fleet: Fleet) -> None:
    """Restart the agents, with their routers, as planned; r3 comes back on a new machine."""
    for agent in fleet.agents:
        agent.send_signal(signal.SIGTERM)
    scene.note("SIGTERM to the agents")
    for agent in fleet.agents:
        await until(lambda agent=agent: agent.poll() is not None, "end of the agents")
    scene.note("the agents have ended; they are started again on their folders")
    shutil.rmtree(scene.folder / "r3-policy", ignore_errors=True)
    scene.note("r3 starts from nothing: its machine was replaced")
    for n in range(AGENTS):
        fleet.start(n)
    await fleet.until_ready()


async def _judge(fleet: Fleet) -> list[str]:
    breaks = list[str]()
    for n in range(AGENTS):
        text = await fleet.status(n)
        if not text.startswith("epoch 1"):
            breaks.append(
                f"agent a{n + 1} says of the policy that was agreed on as epoch 1: {text.splitlines()[0]}"
            )
    for n in range(AGENTS):
        if (status := await fleet.post(n)) != 413:
            breaks.append(f"r{n + 1} does not serve by the agreed policy: {status} to a body that it refuses")
    return breaks


if __name__ == "__main__":
    sys.exit(play(RECORD, main))
