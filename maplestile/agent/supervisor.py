"""The agent: keeps many instances running, and answers the command line over loopback.

It speaks one JSON object a line: `{"do":"status","instances":["n1"]}` in, one object back."""

import asyncio
import contextlib
import json
import logging
import os
import signal
import sys
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from maplestile.common.address import parse_address
from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.common.waiting import wait_until_set
from maplestile.invoke.operator_file import OperatorError
from maplestile.invoke.operator_file import read as read_operator
from maplestile.operation.api import MEMBERS, METRICS, READY, RUNNERS
from maplestile.operation.client import CallError, call

if TYPE_CHECKING:  # an agent without a control plane loads nothing of it
    from maplestile.agent.policy_controller import PolicyController
    from maplestile.agent.process_registry import AdoptedProcess, ProcessRegistry
    from maplestile.agent.rollout_controller import RolloutController
    from maplestile.control.rollout_planner import HealthReport
    from maplestile.control.settings import ControlSettings

log = logging.getLogger("maplestile.agent")
LAST_WORD = b"stops; nothing is owed"  # of a router, as its drain logs it
LINE_BYTES, ASK_S, ANSWER_S = 65_536, 60.0, 3.0
ANSWER_BYTES = 1 << 20  # figures of many instances
OPERATE = {
    "ready": ("GET", READY),
    "figures": ("GET", METRICS),
    "members": ("GET", MEMBERS),
    "suspend": ("PUT", "/v1/runners/{}/suspend"),
    "resume": ("PUT", "/v1/runners/{}/resume"),
}


@dataclass(slots=True, frozen=True)
class Spec:
    name: str
    command: tuple[str, ...]
    environment: tuple[tuple[str, str], ...]
    file: Path | None  # of a router of this program
    operator: str  # where operators call it, where no file tells that

    @property
    def reloads(self) -> bool:
        """To another command than this program's router SIGHUP may mean its end."""
        return self.file is not None


@dataclass(slots=True, frozen=True)
class Plan:
    """The agent's file."""

    listen: tuple[str, int]
    instances: tuple[Spec, ...]
    backoff_s: float
    backoff_most_s: float
    steady_s: float
    stop_s: float
    control: "ControlSettings | None" = None
    folder: Path | None = None  # of its roster, and of its instances' logs


def load(path: Path) -> Plan:
    try:
        root = TomlTable(tomllib.loads(path.read_text(encoding="utf-8")), "", OperatorError)
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None
    except tomllib.TOMLDecodeError as fault:
        raise OperatorError(f"{path}: no TOML: {fault}") from None
    agent = root.table("agent")
    plan = Plan(
        parse_address(agent.loopback("listen")),
        tuple(_spec(table, path.parent) for table in root.tables("instance")),
        agent.number("backoff_s", 0.5, least=0.01),
        agent.number("backoff_most_s", 30.0, least=0.01),
        agent.number("steady_s", 10.0),
        agent.number("stop_s", 8.0, least=0.1),
        _control(root),
        Path(agent.text("folder")) if "folder" in agent.values else None,
    )
    names = [spec.name for spec in plan.instances]
    if len(set(names)) < len(names):
        raise OperatorError("instance: a name stands twice")
    agent.end()
    root.end()
    return plan


def _control(root: TomlTable) -> "ControlSettings | None":
    voters = root.tables("voter", needed=False)
    if "control" not in root.values:
        if voters:
            raise OperatorError("voter: is of no use without [control]")
        return None
    from maplestile.control.settings import control_from

    return control_from(root.table("control"), voters)


def _spec(table: TomlTable, folder: Path) -> Spec:
    name, file = table.text("name"), table.text("file", "")
    operator = table.loopback("operator") if "operator" in table.values else ""
    command, environment = table.values.pop("command", None), table.values.pop("env", {})
    if bool(file) == bool(command):
        raise OperatorError(f"{table.path}: needs 'file' or 'command', and not both")
    if file:
        command = [sys.executable, "-m", "maplestile", "serve", str(folder / file)]
    if not isinstance(command, list) or not all(isinstance(part, str) for part in command):
        raise OperatorError(f"{table.path}.command: must be a list of texts")
    if not isinstance(environment, dict) or not all(isinstance(v, str) for v in environment.values()):
        raise OperatorError(f"{table.path}.env: must be a table of texts")
    table.end()
    path = folder / file if file else None
    return Spec(name, tuple(command), tuple(environment.items()), path, operator)


class Instance:
    """One process: started, watched, started again after a wait that doubles with each early end."""

    def __init__(
        self, spec: Spec, plan: Plan, reread: Callable[[str], Spec], roster: "ProcessRegistry | None" = None
    ) -> None:
        self.spec, self.plan, self.reread, self.roster = spec, plan, reread, roster
        self.before = spec  # the last `renew`
        self.process: asyncio.subprocess.Process | AdoptedProcess | None = None
        self.adopted = False  # the process is one that an earlier agent has started
        self.parted = False  # it has said that it stops, with nothing owed
        self.state, self.starts, self.since, self.last_exit = "new", 0, time.time(), ""
        self.wanted = asyncio.Event()
        self.wanted.set()
        self.changed = asyncio.Condition()
        self.hurry = asyncio.Event()
        self.asked: dict[str, asyncio.Future[Any]] = {}  # by the word that the answer's line begins with

    async def run(self) -> None:
        wait_s = self.plan.backoff_s
        left = None if self.roster is None else self.roster.left(self.spec.name)
        while True:
            await self.wanted.wait()
            began = time.monotonic()
            try:
                since, self.adopted, self.parted = self._log_size(), left is not None, False
                self.process, left = left or await self._begin(), None
            except OSError as fault:
                self.last_exit = f"cannot start: {fault.strerror}"
            else:
                self.starts += 1
                how = "adopted" if self.adopted else "started"
                log.info("%s: %s, pid %d", self.spec.name, how, self.process.pid)
                if self.roster is not None:
                    self.roster.put(self.spec.name, self.process.pid)
                await self._now("running")
                if not self.wanted.is_set():  # told to stop while it was being started
                    self.send(signal.SIGTERM)
                await self._watch(self.process, since)
                if self.roster is not None:
                    self.roster.put(self.spec.name, None)
            if not self.wanted.is_set() or self.hurry.is_set():
                self.hurry.clear()
                wait_s = self.plan.backoff_s
                await self._now("stopped")
                continue
            if time.monotonic() - began >= self.plan.steady_s:
                wait_s = self.plan.backoff_s
            log.warning("%s: %s; starts again in %.2f s", self.spec.name, self.last_exit, wait_s)
            await self._now("waiting")
            await wait_until_set(self.hurry, wait_s)
            self.hurry.clear()
            wait_s = min(self.plan.backoff_most_s, 2 * wait_s)

    async def _begin(self) -> asyncio.subprocess.Process:
        environment = {**os.environ, **dict(self.spec.environment)}
        begin = partial(
            asyncio.create_subprocess_exec,
            *self.spec.command,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
        )
        if self.roster is None:
            return await begin(stderr=asyncio.subprocess.PIPE)
        with self.roster.log(self.spec.name).open("ab") as file:
            return await begin(stderr=file)

    def _log_size(self) -> int:
        return 0 if self.roster is None else self.roster.log(self.spec.name).stat().st_size

    async def _watch(self, process: "asyncio.subprocess.Process | AdoptedProcess", since: int) -> None:
        if self.roster is None:
            assert isinstance(process, asyncio.subprocess.Process) and process.stderr is not None
            while line := await process.stderr.readline():
                self._line(line)
        else:
            from maplestile.agent.process_registry import lines

            ended = asyncio.Event()
            waiting = asyncio.get_running_loop().create_task(process.wait())
            waiting.add_done_callback(lambda _: ended.set())
            async for line in lines(self.roster.log(self.spec.name), since, ended):
                self._line(line)
        code = await process.wait()
        self.process = None
        self.last_exit = f"ended with {code}" if code >= 0 else f"ended by {signal.Signals(-code).name}"
        if self.adopted:
            self.last_exit = "ended; how is not known, for it was adopted"

    def _line(self, line: bytes) -> None:
        # Of one that was adopted there is no exit code to tell a clean end from a kill.
        self.parted = self.parted or line.rstrip().endswith(LAST_WORD)
        if line.startswith(b'{"') and self._told(line):
            return
        sys.stderr.write(f"[{self.spec.name}] {line.decode(errors='replace')}")
        sys.stderr.flush()

    async def _now(self, state: str) -> None:
        async with self.changed:
            self.state, self.since = state, time.time()
            self.changed.notify_all()

    def send(self, number: signal.Signals) -> bool:
        if self.process is None or self.process.returncode is not None:
            return False
        self.process.send_signal(number)
        return True

    async def stop(self) -> None:
        self.wanted.clear()
        self.hurry.set()
        await self._end()
        if self.state in ("new", "waiting"):
            await self._now("stopped")

    async def _end(self) -> None:
        process = self.process
        if process is None or not self.send(signal.SIGTERM):
            return
        try:
            async with asyncio.timeout(self.plan.stop_s):
                await process.wait()
        except TimeoutError:
            log.warning("%s: still there %.1f s after SIGTERM; killed", self.spec.name, self.plan.stop_s)
            self.send(signal.SIGKILL)
            await process.wait()

    # Steps of a rollout.

    async def drain(self) -> str:
        """Ask the process to end, and wait until it has, however long its calls in flight take: it is not
        killed, as `stop` does. "" for a clean end, else how it ended."""
        self.wanted.clear()
        self.hurry.set()
        process = self.process
        if process is None or not self.send(signal.SIGTERM):
            return ""  # there was none
        await process.wait()
        if self.adopted and self.spec.file is not None:
            async with self.changed:  # its last lines are read
                await self.changed.wait_for(lambda: self.process is not process)
            return "" if self.parted else "it ended without its last word: how is not known"
        code = process.returncode
        # A router ends by itself once nothing is owed; other programs may leave SIGTERM to the system.
        clean = code == 0 or code == -signal.SIGTERM and self.spec.file is None
        return "" if clean else f"it ended with {code}"

    def start(self) -> None:
        self.wanted.set()

    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def renew(self) -> None:
        spec = self.reread(self.spec.name)
        self.before, self.spec = self.spec, spec

    def restore(self) -> None:
        self.spec = self.before

    async def ready(self) -> bool:
        return self.running() and (await self.operate("GET", READY))["ok"]

    async def word(self) -> "HealthReport":
        from maplestile.control.rollout_planner import HealthReport

        ready, figures = await asyncio.gather(self.ready(), self.operate("GET", METRICS))
        counts = {"success": 0, "failure": 0}
        for line in figures["told"].splitlines() if figures["ok"] else ():
            for name in counts:
                if line.startswith(f"svc_{name}_total{{"):
                    counts[name] += int(line.rpartition(" ")[2])
        return HealthReport(ready, counts["success"], counts["failure"])

    async def gone(self) -> set[str]:
        told = await self.operate("GET", MEMBERS)
        try:
            view = json.loads(told["told"]) if told["ok"] else {"members": []}
            gone = {member["name"] for member in view["members"] if member["status"] in ("dead", "left")}
            return gone | set((view.get("watch") or {}).get("silent", ()))
        except (ValueError, KeyError, TypeError):
            return set()

    async def runners(self) -> dict[str, tuple[bool, int]] | None:
        told = await self.operate("GET", RUNNERS)
        try:
            listed = json.loads(told["told"])["runners"] if told["ok"] else None
            return None if listed is None else {r["id"]: (r["suspended"], r["inflight"]) for r in listed}
        except (ValueError, KeyError, TypeError):
            return None

    async def suspend(self, runner: str, out: bool) -> bool:
        path = OPERATE["suspend" if out else "resume"][1].format(quote(runner, safe=""))
        return bool((await self.operate("PUT", path))["ok"])

    async def restart(self) -> None:
        self.hurry.set()
        if self.wanted.is_set():
            starts = self.starts
            await self._end()
        else:
            starts = self.starts
            self.wanted.set()
        async with self.changed:
            await self.changed.wait_for(lambda: self.starts > starts or self.state == "waiting")

    async def count(self) -> Any:
        return await self._ask(signal.SIGUSR1, "counters")

    async def reload(self) -> Any:
        return await self._ask(signal.SIGHUP, "reload") if self.spec.reloads else None

    async def _ask(self, number: signal.Signals, word: str) -> Any:
        """Send the signal, and wait for the line that the program prints on it."""
        answer = self.asked[word] = asyncio.get_running_loop().create_future()
        if not self.send(number):
            return None
        try:
            async with asyncio.timeout(ANSWER_S):
                return await answer
        except TimeoutError:
            return None

    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = ANSWER_S
    ) -> dict[str, Any]:
        """What its operators' front answers: `ok`, the body or what went wrong, and the status if it gave
        one; `no_front` where there is none."""
        try:
            told = self.spec.operator
            if not told and self.spec.file is not None:
                operation = TomlTable(read_operator(self.spec.file), "", OperatorError).table("operation")
                told = operation.loopback("listen") if operation.values else ""
            if not told:
                return {"ok": False, "told": "it has no operators' front", "no_front": True}
            status, body = await call(parse_address(told), method, path, wait_s, content)
        except (CallError, OperatorError) as fault:
            return {"ok": False, "told": str(fault)}
        if status >= 400:
            with contextlib.suppress(ValueError, KeyError, TypeError):
                body = json.loads(body)["detail"]
        return {"ok": status < 300, "told": body.strip(), "status": status}

    def _told(self, line: bytes) -> bool:
        try:
            ((word, told),) = json.loads(line).items()
        except ValueError:
            return False
        answer = self.asked.pop(word, None)
        if answer is None or answer.done():
            return False
        answer.set_result(told)
        return True

    def status(self) -> dict[str, Any]:
        return {
            "state": self.state,
            "pid": self.process.pid if self.process else None,
            "starts": self.starts,
            "for_s": round(time.time() - self.since, 1),
            "last_exit": self.last_exit,
        }


class Agent:
    def __init__(self, plan: Plan, reread: Callable[[str], Spec]) -> None:
        """Raises OSError where its folder is another agent's, or of no use."""
        self.plan = plan
        roster = None
        if plan.folder is not None:
            from maplestile.agent.process_registry import ProcessRegistry
            from maplestile.operation.state_folder import ProcessLocks

            # Two agents over the same instances would each start what the other has stopped.
            self.lock = ProcessLocks(plan.folder)
            if not self.lock.take("agent"):
                raise OSError(f"another agent has the folder {plan.folder}")
            roster = ProcessRegistry(plan.folder)
        self.instances = {spec.name: Instance(spec, plan, reread, roster) for spec in plan.instances}
        self.ended = asyncio.Event()
        self.counters: Counter[str] = Counter()
        self.steward: RolloutController | None = None
        self.herald: PolicyController | None = None
        self.no_control = "no [control] in its file"

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ended.set)
        loop.add_signal_handler(signal.SIGHUP, self._hang_up)
        server = await asyncio.start_server(self._serve, *self.plan.listen, limit=LINE_BYTES)
        host, port = server.sockets[0].getsockname()[:2]
        log.info("agent listens on %s:%d, %d instances", host, port, len(self.instances))
        tasks = [loop.create_task(instance.run()) for instance in self.instances.values()]
        if (control := self.plan.control) is not None:
            tasks.append(loop.create_task(self._steward(control)))
        await self.ended.wait()
        log.info("agent stops its instances")
        await asyncio.gather(*(instance.stop() for instance in self.instances.values()))
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _steward(self, control: "ControlSettings") -> None:
        from maplestile.agent.policy_controller import PolicyController
        from maplestile.agent.rollout_controller import ReplicatedLog, RolloutController
        from maplestile.control.raft_log import RaftLog
        from maplestile.control.remote_log import RemoteLog

        plane: ReplicatedLog
        try:
            plane = (
                RaftLog(control, self.counters) if control.listen else RemoteLog(control, ask, self.counters)
            )
        except Exception as fault:  # whatever the library raises over its folder or address
            self._without_control(fault)
            return
        # The instances of this program with an operators' front: what can be asked whether it serves.
        hands = {name: one for name, one in self.instances.items() if one.spec.file or one.spec.operator}
        # Of the others those whose names are runners' ids are the processes of these.
        others = {name: one for name, one in self.instances.items() if name not in hands}
        self.steward = RolloutController(control, plane, hands, others, self.counters)
        self.herald = PolicyController(control, plane, hands, self.counters)
        telling = asyncio.get_running_loop().create_task(self.herald.run())
        try:
            await self.steward.run()
        except Exception as fault:
            self._without_control(fault)
        finally:
            telling.cancel()

    def _without_control(self, fault: Exception) -> None:
        """Guards against what it last knew, told to operators for the state of the fleet."""
        self.steward = self.herald = None
        self.no_control = f"it does not run: {fault}"
        trace = None if isinstance(fault, CommandRejected | OSError) else fault
        log.error("the control plane does not run; the instances go on without it: %s", fault, exc_info=trace)

    def _hang_up(self) -> None:
        """What its instances read anew; the agent's own file is read at its start alone."""
        readers = [i for i in self.instances.values() if i.spec.reloads and i.send(signal.SIGHUP)]
        log.info("agent: SIGHUP passed on to %s", ", ".join(i.spec.name for i in readers) or "nobody")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(ASK_S):
                reply = await self._reply(await reader.readline())
                writer.write(json.dumps(reply).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError, TimeoutError) as fault:
            log.warning("a question that cannot be answered: %s", fault)
        finally:
            writer.close()

    async def _reply(self, line: bytes) -> dict[str, Any]:
        try:
            asked = json.loads(line)
            do, names = asked["do"], asked.get("instances") or list(self.instances)
            chosen = [self.instances[name] for name in names]
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            return {"error": f"not understood, or no such instance: {fault}"}
        match do:
            case "status":
                pass
            case "stop":
                await asyncio.gather(*(instance.stop() for instance in chosen))
                if not asked.get("instances"):
                    self.ended.set()
            case "restart":
                await asyncio.gather(*(instance.restart() for instance in chosen))
            case "counters" | "reload":
                asks = (i.count() if do == "counters" else i.reload() for i in chosen)
                return {do: dict(zip(names, await asyncio.gather(*asks), strict=True))}
            case "rollout" | "control" | "policy" if self.steward is None:
                return {"error": f"this agent has no control plane: {self.no_control}"}
            case "rollout" if self.steward is not None:
                return await self.steward.asked(str(asked.get("what")), asked.get("command") or {})
            case "policy" if self.herald is not None:
                return await self.herald.asked(str(asked.get("what")), asked.get("command") or {})
            case "control" if self.steward is not None:  # of an agent that is no voter
                return await self.steward.served(asked.get("command"))
            case str() if do in OPERATE:
                (method, path), runner = OPERATE[do], asked.get("runner")
                if isinstance(runner, str):
                    path = path.format(quote(runner, safe=""))
                elif "{}" in path:
                    return {"error": f"'{do}' needs a runner"}
                answers = await asyncio.gather(*(instance.operate(method, path) for instance in chosen))
                return {do: dict(zip(names, answers, strict=True))}
            case _:
                return {"error": f"no command '{do}'"}
        return {"instances": {instance.spec.name: instance.status() for instance in chosen}}


async def ask(where: tuple[str, int], do: str, names: list[str], **more: Any) -> dict[str, Any]:
    """What the command line asks of a running agent."""
    reader, writer = await asyncio.open_connection(*where, limit=ANSWER_BYTES)
    try:
        writer.write(json.dumps({"do": do, "instances": names, **more}).encode() + b"\n")
        async with asyncio.timeout(ASK_S):
            line = await reader.readline()
    finally:
        writer.close()
    reply: dict[str, Any] = json.loads(line or b'{"error":"the agent gave no answer"}')
    return reply
