"""A keyed request is sent on to another rack once the name server's answers went missing for 3 s."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path
from typing import Any

from review.common_2.clients import Asked, Connection, ask, until_ready
from review.common_2.names import NameServer
from review.common_2.runners import Received, Runner
from review.common_2.scene import Scene, free_port, play
from review.common_2.settings import TENANTS, ZONES, settings
from review.common_2.traffic import record_traffic

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
SEED = 5301
RUNNERS = 60  # the fleet of FLEET.md
RACK = 5  # runners of one rack, which share what keys they have seen (the site file: 4 to 8)
CLASS = "deck-make"
LIMIT_S = 6.0
WINDOW_S, SLACK_S = 4.0, 0.05
FUNCTIONS = 24
RATE = 30.0  # requests a second
LOAD_S = 0.9
USUAL_S = (0.03, 0.10)
HEAVY_SHARE, HEAVY_S = 0.08, (1.1, 1.7)  # mean work of 0.17 s a request
SILENCE_S = 3.0
DRAIN_AT_S, GONE_AT_S, END_AT_S = 4.0, 8.0, 32.0
NEVER_RAN = ("404", "503", "504")


class Models:
    """What the runners hold: a copy is loaded by the first call, and then stays in use."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loading: dict[tuple[str, str], asyncio.Future[None]] = {}
        self.seen: dict[tuple[int, str], tuple[str, float]] = {}  # by rack and key: who ran it, and when

    async def work(self, runner: Runner, message: dict[str, Any]) -> tuple[str, bytes]:
        """Run one call, after the load of its function if need be."""
        held = self.loading.get((runner.uid, message["head"]["key"]))
        if held is None:
            held = asyncio.get_running_loop().create_future()
            self.loading[runner.uid, message["head"]["key"]] = held
            asyncio.get_running_loop().call_later(LOAD_S, held.set_result, None)
        await asyncio.shield(held)
        heavy = self.rng.random() < HEAVY_SHARE
        await asyncio.sleep(self.rng.uniform(*(HEAVY_S if heavy else USUAL_S)))
        return "200", f"cards of {message['call']}".encode()


async def main(scene: Scene) -> list[str]:
    """Play the case, and return the sends outside the rack or the window."""
    rng = random.Random(SEED)
    models = Models(rng)
    runners = [
        Runner(f"s-{number:08x}", ZONES[number // RACK % len(ZONES)], 1 + number // RACK, models.work)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    names = NameServer()
    names.runners = runners
    await names.start()
    port = free_port()
    config = scene.write_config(
        "n1.json",
        {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "seed": f"{rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"127.0.0.1:{names.port}",
            "known": {
                "index": 1,
                "updates": [
                    {
                        "index": 1,
                        "endpoints": {"rev": 1, "all": True, "targets": [r.target() for r in runners]},
                    }
                ],
            },
            "settings": settings(),
        },
    )
    scene.start("n1", NODE_NAME="n1", NODE_LISTEN=f"127.0.0.1:{port}", NODE_CONFIG=str(config))
    await until_ready(port)
    scene.note(f"the router is ready; {RUNNERS} runners in racks of {RACK}")
    asked = await _serve(scene, names, runners, port, rng)
    return _judge(scene, runners, asked)


async def _serve(
    scene: Scene, names: NameServer, runners: list[Runner], port: int, rng: random.Random
) -> list[Asked]:
    connections = [await Connection(port).open() for _ in range(8)]
    functions = [f"{rng.getrandbits(64):016x}" for _ in range(FUNCTIONS)]
    leaving = runners[rng.randrange(RUNNERS)]
    start_s = time.monotonic()
    tasks = list[asyncio.Task[Asked]]()
    events = [(DRAIN_AT_S, "Terminating"), (GONE_AT_S, "Gone")]
    for number in range(int(RATE * END_AT_S)):
        due_s = start_s + number / RATE
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        if events and time.monotonic() - start_s >= events[0][0]:
            _, leaving.state = events.pop(0)
            names.serial += 1
            if leaving.state == "Gone" and scene.trouble:
                names.silence_s = SILENCE_S
                names.silence_after_serial = names.serial
            scene.note(f"{leaving.uid} is {leaving.state}; the serial is {names.serial}")
        params = {
            "team": rng.choices([t[0] for t in TENANTS], [t[1] for t in TENANTS])[0],
            "unique": os.urandom(16).hex(),
            "cpu": 140.0,
            "info": "memory_mb:3600;lanes:4",
        }
        function = functions[min(int(rng.paretovariate(0.8)) - 1, FUNCTIONS - 1)]
        connection = connections[number % len(connections)]
        tasks.append(
            asyncio.get_running_loop().create_task(
                ask(connection, CLASS, function, LIMIT_S, os.urandom(40), **params)
            )
        )
    asked = await asyncio.gather(*tasks)
    if names.silence_began_s:
        at_s = names.silence_began_s - scene.started_s
        scene.note(
            f"the name server has told serial {names.serial} and answers nothing for {SILENCE_S} s", at_s
        )
    scene.note(
        f"the name server left {names.dropped} queries without an answer and answered {names.answered}"
    )
    for connection in connections:
        connection.close()
    return list(asked)


def _judge(scene: Scene, runners: list[Runner], asked: list[Asked]) -> list[str]:
    record_traffic(scene, runners, asked)
    ends = {a.end for a in asked}
    scene.note(
        "asked " + ", ".join([f"{len(asked)}"] + [f"{e}: {sum(a.end == e for a in asked)}" for e in ends])
    )
    by_tag: dict[str, list[Received]] = {}
    for call in sorted((c for r in runners for c in r.calls), key=lambda c: c.at_s):
        by_tag.setdefault(call.tag, []).append(call)
    breaks, repeats = list[str](), 0
    for tag, calls in by_tag.items():
        first: Received | None = None
        for call in calls:
            if first is not None:
                repeats += 1
                late_s = call.at_s - first.at_s
                if call.cell != first.cell or late_s > WINDOW_S + SLACK_S:
                    text = (
                        f"request {tag}, key {call.once}: at {first.runner} of rack {first.cell} "
                        f"({first.answer or 'still running'}), and {late_s:.3f} s later at {call.runner} "
                        f"of rack {call.cell} ({call.answer or 'given up'})"
                    )
                    breaks.append(text)
                    scene.note(text, call.at_s - scene.started_s)
            elif call.answer not in NEVER_RAN:
                first = call
    scene.note(f"{repeats} sends were repeats, {len(breaks)} of them outside the rack or the window")
    return breaks


if __name__ == "__main__":
    sys.exit(play(RECORD, main))
