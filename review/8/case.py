"""Deferred calls that a router has accepted get no final answer when the router is restarted as planned."""

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.common_2.runners import Runner
from review.common_2.scene import ROOT, CannotRunError, Scene, free_port, play, until
from review.common_2.web import Web, call

RECORD = Path(__file__).resolve().with_name("record.txt")  # what was sent, answered and run
SEED = 5302
RUNNERS = 12
FUNCTIONS = 75  # each is called once, as by a class that opens its chapters in the evening
CLASS, DEADLINE_S = "test-submit", 5.0
TUTORS = 12  # deferred calls of deck-make in the last second before SIGTERM, whose callers come back later
TUTOR_CLASS, TUTOR_DEADLINE_S, RETURN_S = "deck-make", 6.0, 4.5
TENANT = "shapla-tutors"
MEAN_LOAD_S, LOAD_SIGMA, LONGEST_LOAD_S = 1.9, 0.6, 4.0
WORK_S = (0.046, 0.080)
RATE = 30.0  # deferred calls a second
TERM_AT_S = 2.0  # after the first call
LAST_CALL_S = 2.5  # on connections that were open at SIGTERM, within 0.6 s of it
SPARE_S = 3.0  # how long after its deadline a call is still asked for


@dataclass(slots=True)
class Deferred:
    """A deferred call that the router has accepted with 202."""

    function: str
    deadline_s: float
    posted_s: float
    location: str = ""
    polls: list[str] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)  # the statuses of final answers


async def main(scene: Scene) -> list[str]:
    """Play the case, and return the accepted calls without a final answer."""
    rng = random.Random(SEED)
    loads = dict[str, float]()

    async def work(_runner: Runner, message: dict[str, Any]) -> tuple[str, bytes]:
        function = message["head"]["key"]
        load_s = min(LONGEST_LOAD_S, rng.lognormvariate(-(LOAD_SIGMA**2) / 2, LOAD_SIGMA) * MEAN_LOAD_S)
        loads[function] = load_s
        await asyncio.sleep(load_s + rng.uniform(*WORK_S))
        return "200", b"kept"

    runners = [Runner(f"w{n + 1}", "north-block", 1, work) for n in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    ports = {"invoke": free_port(), "platform": free_port(), "operation": free_port()}
    file = scene.folder / "desk.toml"
    file.write_text(_operator_file(ports, runners))
    process = scene.start("desk", "serve", str(file))
    await until(lambda: _listens(scene), "invoke front")
    calls = await _play(scene, process, file, ports["invoke"])
    return _judge(scene, calls, runners)


def _listens(scene: Scene) -> bool:
    return scene.log_of("desk").count("invoke front listens") >= 1


def _operator_file(ports: dict[str, int], runners: list[Runner]) -> str:
    """Return deploy/operator.toml with other addresses, runners and functions."""
    text = (ROOT / "deploy" / "operator.toml").read_text()
    for name, port in (("8080", "invoke"), ("8081", "platform"), ("8082", "operation")):
        text = text.replace(f"127.0.0.1:{name}", f"127.0.0.1:{ports[port]}")
    text = text[: text.index("[[worker]]")]
    functions = [(f"paper-{n}", CLASS) for n in range(FUNCTIONS)]
    for name, class_name in [*functions, *((f"chapter-{n}", TUTOR_CLASS) for n in range(TUTORS))]:
        text += f'[[function]]\nname = "{name}"\nclass = "{class_name}"\nmemory_mb = 2900\nlanes = 4\n'
    for runner in runners:
        text += (
            f'[[worker]]\nid = "{runner.uid}"\naddress = "127.0.0.1:{runner.port}"\n'
            f'zone = "{runner.zone}"\ncell = {runner.cell}\nweight = 4\n'
        )
    return text


async def _play(scene: Scene, process: Any, file: Path, port: int) -> list[Deferred]:
    connections = [await Web(port).open() for _ in range(FUNCTIONS)]
    start_s = time.monotonic()
    tasks, tutors = list[asyncio.Task[Deferred | None]](), list[asyncio.Task[Deferred | None]]()
    term_s = 0.0
    for number in range(min(FUNCTIONS, int(RATE * LAST_CALL_S))):
        await asyncio.sleep(max(0.0, start_s + number / RATE - time.monotonic()))
        if number >= RATE * (TERM_AT_S - 1.0) and number % 2 and len(tutors) < TUTORS:
            defer = _defer(
                await Web(port).open(), f"chapter-{len(tutors)}", TUTOR_DEADLINE_S, RETURN_S, port, scene
            )
            tutors.append(asyncio.get_running_loop().create_task(defer))
        if scene.trouble and not term_s and time.monotonic() - start_s >= TERM_AT_S:
            process.send_signal(signal.SIGTERM)
            term_s = time.monotonic()
            scene.note("SIGTERM to the router")
        tasks.append(
            asyncio.get_running_loop().create_task(
                _defer(connections[number], f"paper-{number}", DEADLINE_S, 1.0, port, scene)
            )
        )
    if term_s:
        await until(lambda: process.poll() is not None, "end of the router", 12.0)
        after_s = time.monotonic() - term_s
        scene.note(f"the router ended by itself with {process.returncode}, {after_s:.2f} s after SIGTERM")
        scene.start("desk", "serve", str(file))
    calls = [deferred for deferred in await asyncio.gather(*tasks, *tutors) if deferred is not None]
    if not calls:
        raise CannotRunError("no call was accepted")
    return calls


async def _defer(
    web: Web, function: str, deadline_s: float, first_poll_s: float, port: int, scene: Scene
) -> Deferred | None:
    """Submit one deferred call, come back for its answer, and then ask each second, as `Retry-After` says."""
    headers = {"Maplestile-Tenant": TENANT, "Prefer": "respond-async"}
    deferred = Deferred(function, deadline_s, time.monotonic())
    try:
        reply = await web.request("POST", f"/v1/functions/{function}/invocations", headers, b"answers")
    except OSError:
        return None  # crossed the close: nothing was accepted
    finally:
        web.close()
    if reply.status != 202:
        scene.note(f"{function}: {reply.status} to the POST")
        return None
    deferred.location = reply.headers["location"]
    wait_s = first_poll_s
    while time.monotonic() < deferred.posted_s + deadline_s + SPARE_S and not deferred.answers:
        await asyncio.sleep(wait_s)
        wait_s = 1.0
        poll = await call(port, "GET", deferred.location)
        status = "no connection" if poll is None else str(poll.status)
        deferred.polls.append(f"{time.monotonic() - deferred.posted_s:.1f} s: {status}")
        if poll is not None and poll.status not in (202, 404):
            deferred.answers.append(poll.status)
    return deferred


def _judge(scene: Scene, calls: list[Deferred], runners: list[Runner]) -> list[str]:
    runs = {c.function: c for runner in runners for c in runner.calls}
    breaks = list[str]()
    for deferred in calls:
        run = runs.get(deferred.function)
        ran = "never sent" if run is None else f"{run.answer or 'given up'} at {run.runner}"
        if run is not None and run.answer:
            ran += f" after {run.answered_s - deferred.posted_s:.2f} s"
        text = f"{deferred.function}: {ran}; polls {', '.join(deferred.polls)}"
        scene.note(text, deferred.posted_s - scene.started_s)
        if not deferred.answers:
            breaks.append(f"no final answer to {text}")
    scene.note(f"{len(calls)} deferred calls accepted, {len(breaks)} without a final answer")
    return breaks


if __name__ == "__main__":
    sys.exit(play(RECORD, main))
