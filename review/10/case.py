"""After discovery has moved, a process that takes over sends calls to a runner that drains."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from review.common_2.clients import Asked, Connection, ask, until_ready
from review.common_2.names import NameServer
from review.common_2.runners import Runner
from review.common_2.scene import Scene, free_port, play, until
from review.common_2.settings import TENANTS, ZONES, settings
from review.common_2.traffic import record_traffic
from review.common_2.web import call

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
SEED = 5303
RUNNERS = 12
FUNCTIONS = 24
RATE = 60.0
LIMIT_S = 5.0
WORK_S = (0.05, 0.15)
GRACE_S, SLACK_S = 2.0, 0.05
BINDS_AFTER_YES_S = 2.0
OUTAGE_S = 8.0
DRAIN_AT_S, MOVE_AT_S, UPGRADE_AT_S, END_AT_S = 3.0, 7.0, 12.0, 24.0
CONNECTION_S = 1.0  # how long a client keeps a connection


async def work(runner: Runner, message: dict[str, Any]) -> tuple[str, bytes]:
    """Run one call."""
    await asyncio.sleep(random.uniform(*WORK_S))
    return "200", f"score of {message['call']} at {runner.uid}".encode()


class Play:
    """The operators' and the clients' part of the case."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.rng = random.Random(SEED)
        self.runners = [Runner(f"s-{n:08x}", ZONES[n % 3], 1 + n % 3, work) for n in range(RUNNERS)]
        self.drains = self.runners[0]
        self.servers = [NameServer(), NameServer()]
        self.port = free_port()
        self.known: dict[str, Any] = {}
        self.told_s = 0.0
        self.yes_s = 0.0
        self.outage_s = 0.0

    def config(self, server: NameServer, operator: str) -> dict[str, Any]:
        """Return the router's configuration: the events of the start, and a name server."""
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"127.0.0.1:{server.port}",
            "operator": operator,
            "known": self.known,
            "settings": settings(),
        }

    def start(self, name: str, server: NameServer, operator: int) -> Any:
        """Start the router, or the process that takes over from it, in the folder that they share."""
        address = f"127.0.0.1:{operator}"
        file = self.scene.write_config(f"{name}.json", self.config(server, address))
        return self.scene.start(
            name,
            tmpdir=self.scene.folder / "tmp",
            NODE_NAME="n1",
            NODE_LISTEN=f"127.0.0.1:{self.port}",
            NODE_CONFIG=str(file),
            NODE_OPERATOR=address,
        )

    async def prepare(self) -> None:
        """Start runners and name servers."""
        for runner in self.runners:
            await runner.start()
        for server in self.servers:
            server.runners = self.runners
            await server.start()
        targets = [runner.target() for runner in self.runners]
        self.known = {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"rev": 1, "all": True, "targets": targets}}],
        }

    async def operate(self) -> None:
        """Drain a runner, move discovery, and replace the process."""
        scene, (old, new) = self.scene, self.servers
        operators = [free_port(), free_port()]
        first = self.start("first", old, operators[0])
        await until_ready(self.port)
        scene.note("the router is ready")
        start_s = time.monotonic()
        await asyncio.sleep(DRAIN_AT_S)
        self.drains = max(self.runners, key=lambda runner: len(runner.calls))  # one that is in use
        self.drains.state = "Terminating"
        old.serial = new.serial = 2
        await until(lambda: old.told.get(2), "answer that tells the drain")
        self.told_s = old.told[2]
        scene.note(f"the name server has told that {self.drains.uid} drains", self.told_s - scene.started_s)
        await asyncio.sleep(max(0.0, start_s + MOVE_AT_S - time.monotonic()))
        scene.write_config("first.json", self.config(new, f"127.0.0.1:{operators[0]}"))
        first.send_signal(signal.SIGHUP)
        old.silent_until_s = float("inf")
        scene.note("SIGHUP: another name server, with the same numbers; the one before answers no more")
        await until(lambda: new.told.get(2), "answer of the new name server")
        await asyncio.sleep(max(0.0, start_s + UPGRADE_AT_S - time.monotonic()))
        if scene.trouble:
            self.outage_s = time.monotonic()
            new.silent_until_s = self.outage_s + OUTAGE_S
            scene.note(f"the name server answers nothing for {OUTAGE_S:.0f} s")
        self.start("second", new, operators[1])
        await self._until_yes(operators[1])
        self.yes_s = time.monotonic()
        scene.note("the new process says yes; SIGTERM to the old one")
        first.send_signal(signal.SIGTERM)
        await until(lambda: first.poll() is not None, "end of the old process")
        scene.note(f"the old process has ended with {first.returncode}")
        await asyncio.sleep(max(0.0, start_s + END_AT_S - time.monotonic()))

    async def _until_yes(self, operator: int) -> None:
        async with asyncio.timeout(15.0):
            while True:
                reply = await call(operator, "GET", "/v1/readyz", patience_s=1.0)
                if reply is not None and reply.status < 300:
                    return
                await asyncio.sleep(0.05)

    async def client(self, number: int, asked: list[Asked], clients: int) -> None:
        """Call at a steady rate, on a new connection each second."""
        functions = [f"{n:016x}" for n in range(0xA1, 0xA1 + FUNCTIONS)]
        due_s = time.monotonic() + number / RATE
        connection: Connection | None = None
        opened_s, tasks = 0.0, set[asyncio.Task[None]]()
        while True:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            due_s += clients / RATE
            if connection is None or connection.ended or time.monotonic() - opened_s > CONNECTION_S:
                if connection is not None:
                    connection.retire()
                try:
                    connection, opened_s = await Connection(self.port).open(), time.monotonic()
                except OSError:
                    continue
            tasks.add(task := asyncio.create_task(self._ask(connection, self.rng.choice(functions), asked)))
            task.add_done_callback(tasks.discard)

    async def _ask(self, connection: Connection, function: str, asked: list[Asked]) -> None:
        team = self.rng.choices([t[0] for t in TENANTS], [t[1] for t in TENANTS])[0]
        params = {"team": team, "cpu": 100.0, "info": "memory_mb:2600;lanes:4"}
        asked.append(await ask(connection, "review", function, LIMIT_S, os.urandom(24), **params))

    def judge(self, asked: list[Asked]) -> list[str]:
        """Return the calls and orders to load that came to the draining runner too late."""
        scene = self.scene
        record_traffic(scene, self.runners, asked)
        ends = sorted({a.end for a in asked})
        counts = ", ".join(f"{end}: {sum(a.end == end for a in asked)}" for end in ends)
        scene.note(f"asked {len(asked)}; {counts}")
        sends = [(c.at_s, f"call {c.tag}") for c in self.drains.calls]
        sends += [(at_s, f"order to load {function}") for at_s, function in self.drains.loads]
        bound_s = self.told_s + GRACE_S + SLACK_S
        binds_s = self.yes_s + BINDS_AFTER_YES_S + SLACK_S
        late = sorted((at_s, what) for at_s, what in sends if at_s > bound_s)
        for at_s, what in late:
            after_s = at_s - self.told_s
            text = f"{what} came to {self.drains.uid}, {after_s:.2f} s after its drain was told"
            scene.note(text, at_s - scene.started_s)
        breaks = [
            f"{what} came to {self.drains.uid} {at_s - self.told_s:.2f} s after its drain was told, "
            f"{at_s - self.yes_s:.2f} s after the yes"
            for at_s, what in late
            if at_s < self.yes_s - 5.0 or at_s > binds_s
        ]
        scene.note(f"{len(late)} sends after the grace, {len(breaks)} of them where the rule binds")
        return breaks


async def main(scene: Scene) -> list[str]:
    """Play the case, and return the sends to the draining runner where the rule binds."""
    case = Play(scene)
    await case.prepare()
    asked = list[Asked]()
    operating = asyncio.create_task(case.operate())
    await until_ready(case.port)
    clients = [asyncio.create_task(case.client(n, asked, 6)) for n in range(6)]
    await operating
    for client in clients:
        client.cancel()
    await asyncio.sleep(0.5)
    return case.judge(asked)


if __name__ == "__main__":
    sys.exit(play(RECORD, main))
