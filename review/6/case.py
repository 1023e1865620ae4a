"""A few requests of a bad client stop a router under an agent for good: nobody is answered any more."""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path
from typing import Any

from review.common_2.clients import Asked, Connection, ask, until_ready
from review.common_2.runners import Runner
from review.common_2.scene import ROOT, CannotRunError, Scene, free_port, play
from review.common_2.settings import TENANTS
from review.common_2.traffic import record_traffic

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
SEED = 5306
RUNNERS = 4
FUNCTIONS = ("score-bangla", "make-cards", "keep-result")
CLASSES = {"score-bangla": "review", "make-cards": "deck-make", "keep-result": "test-submit"}
LIMIT_S = {"review": 5.0, "deck-make": 6.0, "test-submit": 5.0}
RATE = 30.0
BAD_AT_S, END_AT_S = 5.0, 25.0
BAD_MESSAGES = 8
NOISE_CHARACTERS = 8_000  # of four bytes each: with them a message has less than the 32 KB that are read


async def work(_runner: Runner, message: dict[str, Any]) -> tuple[str, bytes]:
    """Run one call."""
    await asyncio.sleep(random.uniform(0.05, 0.15))
    return "200", f"answer to {message['call']}".encode()


def write_files(scene: Scene, runners: list[Runner], ports: dict[str, int]) -> Path:
    """Write an agent's file as examples/agent.toml, and its router's as deploy/operator.toml."""
    text = (ROOT / "deploy" / "operator.toml").read_text()
    for name, port in (("8080", "invoke"), ("8081", "platform"), ("8082", "operation")):
        text = text.replace(f"127.0.0.1:{name}", f"127.0.0.1:{ports[port]}")
    text = text[: text.index("[[worker]]")]
    for runner in runners:
        text += (
            f'[[worker]]\nid = "{runner.uid}"\naddress = "127.0.0.1:{runner.port}"\n'
            f'zone = "{runner.zone}"\ncell = {runner.cell}\nweight = 4\n'
        )
    (scene.folder / "desk.toml").write_text(text)
    example = (ROOT / "examples" / "agent.toml").read_text()
    agent = example[: example.index("[[instance]]")].replace("127.0.0.1:7070", f"127.0.0.1:{ports['agent']}")
    agent += '[[instance]]\nname = "router"\nfile = "desk.toml"\n'
    (scene.folder / "agent.toml").write_text(agent)
    return scene.folder / "agent.toml"


async def bad_client(scene: Scene, port: int, rng: random.Random) -> None:
    """Send requests whose figure `limit` is no number, and read whatever comes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(1, BAD_MESSAGES + 1):
        noise = "".join(chr(rng.randrange(0x90000, 0xE0000)) for _ in range(NOISE_CHARACTERS))
        params = {"txn": os.urandom(8).hex(), "limit": noise, "team": TENANTS[0][0], "item": "score-bangla"}
        message = {"jsonrpc": "2.0", "id": number, "method": "review", "params": params}
        body = json.dumps(message, ensure_ascii=False).encode()
        writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
    scene.note(f"a bad client sends {BAD_MESSAGES} requests of {len(body)} bytes; their `limit` is no number")
    got = 0
    try:
        async with asyncio.timeout(10.0):
            while data := await reader.read(1 << 16):
                got += len(data)
    except (OSError, TimeoutError):
        pass
    scene.note(f"the bad client read {got} bytes")
    writer.close()


async def main(scene: Scene) -> list[str]:
    """Play the case, and return the requests that got no answer."""
    rng = random.Random(SEED)
    runners = [Runner(f"w{n + 1}", "north-block", 1, work) for n in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    ports = {name: free_port() for name in ("invoke", "platform", "operation", "agent")}
    file = write_files(scene, runners, ports)
    agent = scene.start("agent", "agent", str(file))
    await until_ready(ports["platform"])
    scene.note("the router is ready")
    connections = [await Connection(ports["platform"]).open() for _ in range(6)]
    start_s = time.monotonic()
    tasks = list[asyncio.Task[Asked]]()
    bad: asyncio.Task[None] | None = None
    for number in range(int(RATE * END_AT_S)):
        await asyncio.sleep(max(0.0, start_s + number / RATE - time.monotonic()))
        if scene.trouble and bad is None and time.monotonic() - start_s >= BAD_AT_S:
            bad = asyncio.create_task(bad_client(scene, ports["platform"], rng))
        function = rng.choices(FUNCTIONS, (63, 21, 16))[0]
        params = {
            "team": rng.choices([t[0] for t in TENANTS], [t[1] for t in TENANTS])[0],
            "cpu": 100.0,
            "info": "memory_mb:2400;lanes:4",
        }
        if function == "make-cards":
            params["unique"] = os.urandom(16).hex()
        name = CLASSES[function]
        connection = connections[number % len(connections)]
        tasks.append(
            asyncio.create_task(ask(connection, name, function, LIMIT_S[name], os.urandom(30), **params))
        )
    asked = list(await asyncio.gather(*tasks))
    if agent.poll() is not None:
        raise CannotRunError(f"the agent ended with {agent.returncode}")
    if bad is not None:
        await bad
    return _judge(scene, runners, asked)


def _judge(scene: Scene, runners: list[Runner], asked: list[Asked]) -> list[str]:
    breaks = list[str]()
    record_traffic(scene, runners, asked)
    for a in asked:
        if a.end not in ("served", "refused", "failed"):
            breaks.append(f"{a.class_name} {a.txn}, sent at {a.sent_s - scene.started_s:.2f} s: {a.end}")
    last_s = max((a.ended_s - scene.started_s for a in asked if a.end == "served"), default=0.0)
    scene.note(
        f"{len(asked)} requests, {len(breaks)} without an answer; the last answer came at {last_s:.2f} s"
    )
    log = scene.log_of("agent")
    scene.note(f"the agent's log has {len(log)} bytes; its longest line {max(map(len, log.splitlines()))}")
    return breaks


if __name__ == "__main__":
    sys.exit(play(RECORD, main))
