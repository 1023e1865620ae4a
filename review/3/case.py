"""Case 3: a bad client sends the id of an open request with a different body."""

import asyncio
import random
import sys
from pathlib import Path

from standins.clients import Connection, Request
from standins.names import Listed, NameServer, known_list
from standins.platform import Platform, free_port
from standins.record import Record, has_trouble, run_case
from standins.runners import Answer, Call, Runner

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # what was sent, answered and run
RULE = "lost"
ROUNDS = 30
RUNNERS = 4
LIMIT_S = 1.0
WORK_S = (0.02, 0.06)
REST_S = 0.1  # before and after the connections to the runners are reset, so that they are idle then
PREFIX = b"made for "


async def work(call: Call) -> Answer:
    """Do a call's work, and answer with a body that tells for which request it was made."""
    await asyncio.sleep(random.uniform(*WORK_S))
    return Answer("200", PREFIX + call.body)


async def play(record: Record) -> list[str]:
    """Play the rounds, and return the requests that were served with what was made for another."""
    runners = [await Runner(f"s-{number}", record, work).start() for number in range(RUNNERS)]
    listed = [Listed(runner.uid, runner.port) for runner in runners]
    names = await NameServer.start(listed)
    port = free_port()
    requests = list[Request]()
    async with Platform(record) as platform:
        await platform.start_router(
            "router", port, platform.write_config(port, names.port, known_list(listed))
        )
        usual = await Connection("usual client", record, port).connect()
        bad = await Connection("bad client", record, port, tenant="nodi-schools").connect()
        for number in range(ROUNDS):
            function = f"{number:016x}"  # a model that was not called before
            first = usual.send("review", function, b"usual %d" % number, LIMIT_S)
            txn = first.txn if has_trouble() else ""
            second = bad.send("review", function, b"other %d" % number, LIMIT_S, txn)
            requests += (first, second)
            await asyncio.gather(first.done.wait(), second.done.wait())
            await asyncio.sleep(REST_S)
            for runner in runners if has_trouble() else []:
                runner.reset_connections()
            await asyncio.sleep(REST_S)
        usual.close()
        bad.close()
    return [
        f"{request.txn}, round {number // 2}: asked with {request.body!r}, served with {request.answer!r}"
        for number, request in enumerate(requests)
        if request.outcome == "served" and request.answer != PREFIX + request.body
    ]


if __name__ == "__main__":
    sys.exit(run_case(RECORD, RULE, play))
