"""The agent's part in the fleet's policy: it has its routers check a change, tells them what is committed,
and, where its voter leads, asks `policy/decide.py` whether the change may be committed.

What it tells is fenced: a `read` that was agreed on after it was asked, at a time of the machine's monotonic
clock, which its routers share. A `read` names the routers that answer, and a fence is told to those alone
that its read has named: so none is let serve by an old epoch behind a change's back."""

import asyncio
import contextlib
import json
import logging
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from maplestile.agent.rollout_controller import ReplicatedLog
from maplestile.common import logs
from maplestile.control.policy.agreed import AgreedPolicies, Change, Command
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.raft_log import LogError
from maplestile.control.settings import ControlSettings
from maplestile.operation.api import POLICY, POLICY_CHECK

log = logging.getLogger("maplestile.policy")
LOOK_S, READ_S, CHECKING_S = 0.05, 1.0, 0.5  # looks at the agreed state; reads, and while a change is checked
AGAIN_S = 0.5  # between words to a router that does not answer, or does not take the epoch
ANSWER_S = 1.0  # of a router on loopback; one that gives none is not named in the next read
OFF = "the policy is its own: no [policy] in its file"
NO_SUCH = (404, 405, 501)  # of a router whose file has none, an older one, or another program


class Router(Protocol):
    """What the herald can do with one router of its agent."""

    @property
    def starts(self) -> int: ...
    def running(self) -> bool: ...
    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = ANSWER_S
    ) -> dict[str, Any]: ...


@dataclass(slots=True)
class Known:
    """What is known of one process of a router."""

    starts: int
    answers: bool = True  # until it does not
    off: bool = False
    fence: tuple[int, int] = (0, 0)  # of the last read that named it: the committed epoch, and when asked
    epoch: int = -1  # by its own last word
    sent: tuple[int, int, int] = (-1, 0, 0)  # what it was told last: epoch, fence, change
    sent_s: float = 0.0
    told: dict[str, Any] = field(default_factory=dict)  # its last word
    checked: int = 0  # the change whose verdict has been agreed on
    telling: asyncio.Task[None] | None = None
    judging: asyncio.Task[None] | None = None


class PolicyController:
    def __init__(
        self,
        plan: ControlSettings,
        plane: ReplicatedLog,
        routers: Mapping[str, Router],
        counters: Counter[str],
    ) -> None:
        self.plan, self.plane, self.routers, self.counters = plan, plane, routers, counters
        self.events = logs.events("policy")
        self.known: dict[str, Known] = {}
        self.read_s = 0.0
        self.epoch = -1  # of this replica, as it was logged last
        self.reading: asyncio.Task[None] | None = None
        self.arbiter: PolicyPlanner | None = None  # while this voter leads
        self.term = -1
        self.deciding: asyncio.Task[None] | None = None

    @property
    def agreed(self) -> AgreedPolicies:
        return self.plane.control.policy

    async def run(self) -> None:
        try:
            while True:
                await asyncio.sleep(LOOK_S)
                if self.plane.ready():
                    self._look()
        finally:
            tasks = [self.reading, self.deciding]
            tasks += [task for known in self.known.values() for task in (known.telling, known.judging)]
            for task in tasks:
                if task is not None:
                    task.cancel()

    def _look(self) -> None:
        if self.agreed.epoch.number != self.epoch:  # also where the answer to the commit was lost
            self.epoch = self.agreed.epoch.number
            self.events.info("committed", epoch=self.epoch, change=self.agreed.epoch.change)
        live = {name: router for name, router in self.routers.items() if router.running()}
        for name, router in live.items():
            if name not in self.known or self.known[name].starts != router.starts:
                self.known[name] = Known(router.starts)
        change = self.agreed.checking()
        on = [name for name in live if not self.known[name].off]
        pause_s = CHECKING_S if change is not None else READ_S
        if on and time.monotonic() - self.read_s >= pause_s and _idle(self.reading):
            self.read_s = time.monotonic()
            self.reading = asyncio.get_running_loop().create_task(self._read(on))
        for name, router in live.items():
            known = self.known[name]
            if not known.off and _idle(known.telling) and (word := self._news(known, change)) is not None:
                known.telling = asyncio.get_running_loop().create_task(self._tell(name, router, known, word))
            if change is not None and known.checked != change.number and _idle(known.judging):
                judge = self._judge(name, router, known, change)
                known.judging = asyncio.get_running_loop().create_task(judge)
        self._lead()

    # What is committed, to the routers.

    async def _read(self, names: list[str]) -> None:
        asked_us = time.monotonic_ns() // 1000
        answering = {name: self.known[name] for name in names if self.known[name].answers}
        told = {name: known.told for name, known in self.known.items() if known.told}
        command = {"do": "policy read", "agent": self.plan.name, "instances": list(answering), "told": told}
        with contextlib.suppress(LogError):  # counted there; its routers hear nothing new meanwhile
            reply = await self.plane.submit(command)
            if reply["ok"]:
                for name in reply["named"]:  # these processes, not those that have come by their names
                    answering[name].fence = int(reply["epoch"]), asked_us

    def _news(self, known: Known, change: Change | None) -> tuple[int, int, int] | None:
        """What the router is to be told now: epoch, fence, and the change that is being checked."""
        epoch, (fenced, fenced_us) = self.agreed.epoch.number, known.fence
        if epoch < fenced:
            return None  # this replica is behind what is agreed
        word = epoch, fenced_us, 0 if change is None else change.number
        waited = time.monotonic() - known.sent_s >= AGAIN_S
        return word if word != known.sent or known.epoch < epoch and waited else None

    async def _tell(self, name: str, router: Router, known: Known, word: tuple[int, int, int]) -> None:
        known.sent, known.sent_s = word, time.monotonic()
        epoch = next((one for one in self.agreed.epochs if one.number == word[0]), self.agreed.epoch)
        content: dict[str, Any] = {"epoch": epoch.number, "fenced_us": word[1], "checking": word[2]}
        if known.epoch != epoch.number:
            content["document"] = epoch.document
        told = await self._ask(name, router, known, "PUT", POLICY, content)
        if told is not None and told.get("fetch"):
            content["document"] = epoch.document
            told = await self._ask(name, router, known, "PUT", POLICY, content)
        if told is None:
            known.epoch = -1  # what it has is not known
            return
        if told["epoch"] == epoch.number != known.epoch:
            self.events.info("told", instance=name, epoch=epoch.number)
            self.read_s = 0.0  # the next read tells the others of it at once
        known.epoch, known.told = told["epoch"], told

    async def _ask(
        self, name: str, router: Router, known: Known, method: str, path: str, content: dict[str, Any]
    ) -> dict[str, Any] | None:
        """The router's answer; None where it gives none, or one of no use."""
        answer = await router.operate(method, path, json.dumps(content).encode(), ANSWER_S)
        known.answers = answer.get("status") is not None
        if answer.get("status") in NO_SUCH or answer.get("no_front"):
            known.off, known.told = True, {}
            log.info("policy: %s: %s", name, OFF)
            return None
        if not answer["ok"]:
            log.warning("policy: %s does not take its word: %s", name, answer["told"])
            return None
        try:
            told: dict[str, Any] = json.loads(answer["told"])
            return told if type(told["epoch"]) is int else None
        except (ValueError, KeyError, TypeError) as fault:
            log.warning("policy: %s gives an answer of no use: %s", name, fault)
            return None

    # A change, to be checked.

    async def _judge(self, name: str, router: Router, known: Known, change: Change) -> None:
        content = json.dumps({"change": change.number, "document": change.document}).encode()
        answer = await router.operate("POST", POLICY_CHECK, content, ANSWER_S)
        known.answers = answer.get("status") is not None
        if answer.get("status") in NO_SUCH or answer.get("no_front"):
            reason = OFF
        elif not known.answers:
            await asyncio.sleep(LOOK_S)  # it is asked again, for as long as the change is checked
            return
        else:
            reason = "" if answer["ok"] else str(answer["told"]) or "it says no, and not why"
        command = {
            "do": "policy verdict",
            "agent": self.plan.name,
            "change": change.number,
            "instance": name,
            "reason": reason,
        }
        try:
            reply = await self.plane.submit(command)
        except LogError as fault:
            log.warning("policy: the verdict of %s is not agreed on yet: %s", name, fault)
            return
        self.events.info("verdict", instance=name, change=change.number, reason=reason, agreed=reply["ok"])
        if reply["ok"]:
            known.checked = change.number
        else:  # the change is decided, or this agent has not registered yet: it is asked again if need be
            await asyncio.sleep(AGAIN_S)

    # Where this voter leads.

    def _lead(self) -> None:
        status = self.plane.status()
        if not status["leading"]:
            self.arbiter = None
            return
        if self.arbiter is None or status["term"] != self.term:
            self.arbiter, self.term = PolicyPlanner(), status["term"]
        if not _idle(self.deciding):
            return
        now_us = time.monotonic_ns() // 1000
        command = self.arbiter.decide(self.agreed, self.plane.control.instances, now_us)
        if command is not None:
            self.deciding = asyncio.get_running_loop().create_task(self._decided(command))

    async def _decided(self, command: Command) -> None:
        try:
            reply = await self.plane.submit({**command, "agent": self.plan.name})
        except LogError as fault:
            log.warning("policy: %s not agreed on: %s", command["do"], fault)
            return
        if not reply["ok"]:
            log.info("policy: %s refused: %s", command["do"], reply["reason"])
            return
        what = str(command["do"]).removeprefix("policy ")
        told = {key: command[key] for key in ("absent", "reason") if key in command}
        self.events.info(what, term=self.term, **told, **{k: v for k, v in reply.items() if k != "ok"})

    # Operators.

    async def asked(self, what: str, command: Command) -> dict[str, Any]:
        """`status`, `propose` or `rollback`; `{"error": reason}` where it is not agreed on."""
        if what == "status":
            return {"policy": self._status()}
        if what not in ("propose", "rollback"):
            return {"error": f"policy: no command '{what}'"}
        try:
            reply = await self.plane.submit({**command, "do": f"policy {what}", "agent": self.plan.name})
        except LogError as fault:
            return {"error": str(fault)}
        if not reply["ok"]:
            return {"error": reply["reason"]}
        self.events.info(f"operator {what}", change=reply["change"], base=reply["base"])
        return {"policy": reply}

    def _status(self) -> dict[str, Any]:
        """What is agreed on, and each instance as its agent last told; `heard_s` is how long ago."""
        instances: dict[str, dict[str, Any]] = {}
        for name, agent in sorted(self.plane.control.instances.items()):
            heard_s, told = self.plane.told.get(agent, (None, {}))
            instances[name] = {"agent": agent, "heard_s": heard_s, **told.get(name, {})}
        return {
            "agreed": self.agreed.told(),
            "instances": instances,
            "ready": self.plane.ready(),
            "raft": self.plane.status(),
        }


def _idle(task: "asyncio.Task[None] | None") -> bool:
    if task is None or not task.done():
        return task is None
    if not task.cancelled() and (fault := task.exception()) is not None:
        log.error("policy: a part has failed", exc_info=fault)
    return True
