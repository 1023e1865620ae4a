"""A runner that an operator has taken out gets calls again after a release of all runners."""

import asyncio
import json
import re
import sys
import time
from pathlib import Path
from typing import Any

from review.common_2.scene import ROOT, Scene, free_port, play, until
from review.common_2.web import Web, call

AGENTS = 3  # with a router each, as in examples/control
RUNNERS = {"w1": "a1", "w2": "a1", "w3": "a2", "w4": "a3"}  # which agent manages which
BANNED = "w1"
FUNCTIONS = 12
RATE = 45.0  # calls a second, over all routers
GRACE_S, SLACK_S = 2.0, 0.05
BAN_AT_S, RELEASE_AT_S, END_AT_S = 4.0, 9.0, 45.0


class Fleet:
    """Three agents with a router each, and four runners that they manage."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.python = str(ROOT / ".venv" / "bin" / "python")
        self.runner_ports = {name: free_port() for name in RUNNERS}
        self.invoke_ports = [free_port() for _ in range(AGENTS)]
        self.operator_ports = [free_port() for _ in range(AGENTS)]
        self.agent_ports = [free_port() for _ in range(AGENTS)]
        self.voter_ports = [free_port() for _ in range(AGENTS)]
        self.answers: dict[str, int] = {}
        self.banned_s = 0.0

    def notes(self, runner: str) -> list[list[Any]]:
        """Return what a runner has noted so far."""
        path = self.scene.folder / f"{runner}.notes"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def write_files(self) -> None:
        """Write the files of agents and routers, by those under examples/control and deploy/fleet."""
        for n in range(AGENTS):
            (self.scene.folder / f"r{n + 1}.toml").write_text(self._router_file(n))
            (self.scene.folder / f"a{n + 1}.toml").write_text(self._agent_file(n))

    def _router_file(self, n: int) -> str:
        text = (ROOT / "deploy" / "fleet" / "r1.toml").read_text()
        text = re.sub(r"\[peers\].*?(?=\[\[class\]\])", "", text, flags=re.DOTALL)
        text = text.replace('name = "r1"', f'name = "r{n + 1}"')
        text = text.replace("127.0.0.1:8110", f"127.0.0.1:{self.invoke_ports[n]}")
        text = text.replace("127.0.0.1:8112", f"127.0.0.1:{self.operator_ports[n]}")
        text = text[: text.index("[[worker]]")]
        text += f"[rules]\nrouters = {AGENTS}\n"
        for number in range(FUNCTIONS):
            text += f'[[function]]\nname = "f{number}"\nclass = "review"\nmemory_mb = 2400\nlanes = 4\n'
        for name, port in self.runner_ports.items():
            text += (
                f'[[worker]]\nid = "{name}"\naddress = "127.0.0.1:{port}"\n'
                'zone = "north-block"\ncell = 1\nweight = 4\n'
            )
        return text

    def _agent_file(self, n: int) -> str:
        folder, name = self.scene.folder, f"a{n + 1}"
        text = f'[agent]\nlisten = "127.0.0.1:{self.agent_ports[n]}"\nfolder = "{folder / name}"\n'
        text += f'[control]\nname = "{name}"\nlisten = "127.0.0.1:{self.voter_ports[n]}"\n'
        text += f'folder = "{folder / name}-log"\nbudget = 1\n'
        for m in range(AGENTS):
            text += f'[[voter]]\nname = "a{m + 1}"\naddress = "127.0.0.1:{self.voter_ports[m]}"\n'
        text += f'[[instance]]\nname = "r{n + 1}"\nfile = "r{n + 1}.toml"\n'
        script = ROOT / "review" / "common_2" / "runner_process.py"
        for runner, agent in RUNNERS.items():
            if agent == name:
                command = [self.python, str(script), "--port", str(self.runner_ports[runner])]
                command += ["--notes", str(folder / f"{runner}.notes")]
                text += f'[[instance]]\nname = "{runner}"\ncommand = {json.dumps(command)}\n'
        return text

    async def command(self, *arguments: str) -> str:
        """Run a command of the program's command line, and return what it prints."""
        process = await asyncio.create_subprocess_shell(
            " ".join([self.scene.run_command, *arguments]),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        self.scene.note(
            f"maplestile {' '.join(arguments)}: {process.returncode}: {output.decode().strip()[:300]}"
        )
        return output.decode()

    async def until_ready(self) -> None:
        """Wait until all routers are ready."""
        for port in self.operator_ports:
            while not await self._is_ready(port):  # noqa: ASYNC110 - asked over a socket
                await asyncio.sleep(0.1)

    async def _is_ready(self, port: int) -> bool:
        reply = await call(port, "GET", "/v1/readyz")
        return reply is not None and reply.status == 200

    async def client(self, router: int) -> None:
        """Call one router at a steady rate, each call on a connection of its own."""
        number, due_s = 0, time.monotonic()
        tasks = set[asyncio.Task[None]]()
        while True:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            due_s += AGENTS / RATE
            number += 1
            tasks.add(
                task := asyncio.create_task(self._call(router, f"f{(7 * number + router) % FUNCTIONS}"))
            )
            task.add_done_callback(tasks.discard)

    async def _call(self, router: int, function: str) -> None:
        path, sent_s = f"/v1/functions/{function}/invocations", self.scene.now_s()
        reply = await call(self.invoke_ports[router], "POST", path, {}, b"answer", 6.0)
        end = "no answer" if reply is None else str(reply.status)
        self.answers[end] = self.answers.get(end, 0) + 1
        self.scene.note(f"r{router + 1}: POST {function}: {end}", sent_s)

    async def operate(self) -> None:
        """Take a runner out, and release all runners meanwhile."""
        scene, start_s = self.scene, time.monotonic()
        await asyncio.sleep(BAN_AT_S)
        for port in self.operator_ports:
            reply = await Web(port).request("PUT", f"/v1/runners/{BANNED}/suspend")
            scene.note(f"PUT /v1/runners/{BANNED}/suspend: {reply.status}")
            self.banned_s = time.monotonic()
        await asyncio.sleep(max(0.0, start_s + RELEASE_AT_S - time.monotonic()))
        agent = f"--agent 127.0.0.1:{self.agent_ports[0]}"
        if scene.trouble:
            await self.command("rollout", "start", "--runners", "--action", "restart", "--budget", "1", agent)
        await asyncio.sleep(max(0.0, start_s + END_AT_S - time.monotonic()))
        await self.command("rollout", "status", agent)

    def judge(self) -> list[str]:
        """Return the calls and orders to load that came to the runner in its ban."""
        scene = self.scene
        scene.note(f"answers to the clients: {self.answers}")
        for runner in RUNNERS:
            notes = self.notes(runner)
            starts = [f"{at_s - scene.started_s:.2f}" for at_s, kind, _ in notes if kind == "START"]
            calls = sum(kind == "CALL" for _, kind, _ in notes)
            for at_s, kind, tag in notes:
                scene.note(f"{runner} got {kind} {tag}", at_s - scene.started_s)
            scene.note(f"{runner}: {calls} calls, started at {', '.join(starts)}")
        bound_s = self.banned_s + GRACE_S + SLACK_S
        late = [n for n in self.notes(BANNED) if n[1] in ("CALL", "LOAD") and n[0] > bound_s]
        for at_s, kind, tag in late[:40]:
            scene.note(f"{kind} {tag} came to {BANNED} in its ban", at_s - scene.started_s)
        return [
            f"{kind} {tag} came to {BANNED} {at_s - self.banned_s:.2f} s after it was taken out; "
            "nobody had put it back"
            for at_s, kind, tag in late
        ]


async def main(scene: Scene) -> list[str]:
    """Play the case, and return what came to the runner in its ban."""
    fleet = Fleet(scene)
    fleet.write_files()
    for n in range(AGENTS):
        scene.start(f"agent{n + 1}", "agent", str(scene.folder / f"a{n + 1}.toml"))
    async with asyncio.timeout(30.0):
        await fleet.until_ready()
    scene.note("all routers are ready")
    clients = [asyncio.create_task(fleet.client(router)) for router in range(AGENTS)]
    await fleet.operate()
    for client in clients:
        client.cancel()
    await until(lambda: fleet.notes(BANNED), "notes of the runner")
    return fleet.judge()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, main))
