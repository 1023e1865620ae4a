"""Case 1: clients leave while a router that was told to stop closes its connections."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from standins.clients import Connection, Request
from standins.names import Listed, NameServer, known_list
from standins.platform import Platform, Program, free_port
from standins.record import CouldNotRun, Record, has_trouble, run_case
from standins.runners import Answer, Call, Runner

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # what was sent, answered and run
RULE = "lost"
RESTARTS = 12  # at most; the case ends after the first restart that breaks the rule
ENOUGH_S = 85.0  # after which no further restart begins
RUNNERS = 4
USERS = 10
APP_CONNECTIONS = 300  # with those of the users under a third of the 1,024 descriptors
LIMIT_S = 5.0
WARM, COLD = "00000000000000a1", "00000000000000b2"  # functions: a copy stands loaded, or has to be loaded
WARM_S, COLD_S = (0.05, 0.1), (1.8, 2.6)
# After SIGTERM: requests come for 0.5 s (the page: up to 0.6 s); SIGKILL follows after 3.7 s.
REQUEST_AT_S = (0.1, 0.2, 0.3, 0.4, 0.5)
KILL_AFTER_S = 3.7


async def work(call: Call) -> Answer:
    """Do a call's work: as long as it takes with a loaded copy, or with one that has to be loaded."""
    await asyncio.sleep(random.uniform(*(COLD_S if call.head["key"] == COLD else WARM_S)))
    return Answer("200", call.body)


async def play(record: Record) -> list[str]:
    """Restart the router up to `RESTARTS` times, and return the requests that were lost."""
    runners = [await Runner(f"s-{number}", record, work).start() for number in range(RUNNERS)]
    listed = [Listed(runner.uid, runner.port) for runner in runners]
    names = await NameServer.start(listed)
    port = free_port()
    broken: list[str] = []
    async with Platform(record) as platform:
        config = platform.write_config(port, names.port, known_list(listed))
        for number in range(RESTARTS):
            router = await platform.start_router(f"router {number}", port, config)
            requests, killed_s = await restart(record, router, port)
            broken += lost_requests(requests, runners, killed_s)
            if broken or time.time() - record.started_s > ENOUGH_S:
                break
    return broken


async def restart(record: Record, router: Program, port: int) -> tuple[list[Request], float]:
    """Have clients call while the router stops; return the users' requests, and when the process ended."""
    app = await start_app(port)
    assert app.stdout is not None
    try:
        if await app.stdout.readline() != b"up\n":
            raise CouldNotRun("the client program did not come up")
        record.write(
            f"client program: has an answer on each of {APP_CONNECTIONS} connections, and reads none"
        )
        return await stop_under_calls(record, router, port)
    finally:
        if app.returncode is None:
            app.kill()
        said = (await app.stdout.read()).decode().strip()
        await app.wait()
        record.write(f"client program: ended; it said {said!r}")


async def start_app(port: int) -> asyncio.subprocess.Process:
    """Start the client program."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER / "app.py"),
        str(port),
        str(APP_CONNECTIONS),
        "leaves" if has_trouble() else "stays",
        stdout=asyncio.subprocess.PIPE,
    )


async def stop_under_calls(record: Record, router: Program, port: int) -> tuple[list[Request], float]:
    """Have the users call and the platform stop the router; see `restart`."""
    users = [await Connection(f"user {number}", record, port).connect() for number in range(USERS)]
    first = [user.send("review", WARM, b"first", LIMIT_S) for user in users]
    await asyncio.gather(*(request.done.wait() for request in first))
    requests = list[Request]()
    stopped_s = time.time()
    router.send_signal(signal.SIGTERM)
    for turn, at_s in enumerate(REQUEST_AT_S):
        await asyncio.sleep(stopped_s + at_s - time.time())
        for user in users[turn :: len(REQUEST_AT_S)]:
            class_name = "test-submit" if turn % 2 else "review"
            requests.append(user.send(class_name, COLD, b"answers", LIMIT_S))
    if await router.wait(stopped_s + KILL_AFTER_S - time.time()) is None:
        router.send_signal(signal.SIGKILL)
        await router.process.wait()
    ended_s = time.time()
    await asyncio.sleep(0.2)  # for what was written before the end of the process
    for user in users:
        user.close()
    return requests, ended_s


def lost_requests(requests: list[Request], runners: list[Runner], ended_s: float) -> list[str]:
    """Return the requests that the router had taken, and that never got a whole answer.

    The router had taken a request if it had sent an attempt of it to a runner.
    """
    arrived_s = {call.tag: call.arrived_s for runner in runners for call in runner.calls}
    return [
        f"{request.class_name} {request.txn}: sent at {request.sent_s:.3f}, at a runner at "
        f"{arrived_s[request.txn]:.3f}; the process ended at {ended_s:.3f}, and there was no answer"
        for request in requests
        if not request.outcome and request.txn in arrived_s
    ]


if __name__ == "__main__":
    sys.exit(run_case(RECORD, RULE, play))
