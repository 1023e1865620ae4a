"""The agent's part in the control plane: it holds the leases of its instances' steps and takes them, tells
the others how its instances stand, and, where its voter leads, asks `control/decide.py` what comes next."""

import asyncio
import contextlib
import logging
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

from maplestile.common import logs
from maplestile.control.raft_log import LogError
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner
from maplestile.control.settings import ControlSettings
from maplestile.control.state import ACTIVE, Command, ControlState, Lease, Reply, Stage

log = logging.getLogger("maplestile.control")
LOOK_S, WORD_S, REST_S = 0.05, 0.5, 2.0  # looks at the agreed state; words during a rollout, and without one
READY_S, AGAIN_S = 0.1, 0.5


class ReplicatedLog(Protocol):
    """The agreed state as this agent reaches it: its own voter, or another agent's."""

    @property
    def control(self) -> ControlState: ...
    @property
    def words(self) -> Mapping[str, tuple[int, dict[str, Any]]]: ...
    @property
    def told(self) -> Mapping[str, tuple[float, dict[str, Any]]]:
        """Of each agent: how many seconds ago it was heard, and what its routers say of their policy."""
        ...

    def ready(self) -> bool: ...
    def status(self) -> dict[str, Any]: ...
    async def run(self) -> None: ...
    async def submit(self, command: Command) -> Reply: ...


class Process(Protocol):
    """What the steward can do with one process of its agent."""

    async def drain(self) -> str:
        """Ask it to stop, and wait for its end however long that takes; "" for a clean one, else how."""
        ...

    def start(self) -> None: ...
    def running(self) -> bool: ...
    def renew(self) -> None:
        """From its next start on as the agent's file tells now. Raises OperatorError."""
        ...

    def restore(self) -> None:
        """From its next start on as before the last `renew`."""
        ...


class RouterHandle(Process, Protocol):
    """And with a router."""

    @property
    def adopted(self) -> bool:
        """It was started by an agent before this one, which left it behind."""
        ...

    async def ready(self) -> bool: ...
    async def word(self) -> HealthReport: ...
    async def gone(self) -> set[str]:
        """Members that are dead or left in its view, and runners found silent; empty where it has no view."""
        ...

    async def runners(self) -> dict[str, tuple[bool, int]] | None:
        """The runners it lists: whether suspended, and the attempts in flight; None if it does not answer."""
        ...

    async def suspend(self, runner: str, out: bool) -> bool: ...


class RolloutController:
    def __init__(
        self,
        plan: ControlSettings,
        plane: ReplicatedLog,
        hands: Mapping[str, RouterHandle],
        others: Mapping[str, Process],
        counters: Counter[str],
    ) -> None:
        self.plan, self.plane, self.hands, self.counters = plan, plane, hands, counters
        self.others = others  # processes that are no routers; runners, if a router lists them by that name
        self.listed: dict[str, bool] = {}  # the runners that the routers here list, and whether managed here
        self.events = logs.events("control")
        self.steps: dict[int, asyncio.Task[None]] = {}  # by the number of the lease
        self.asking = set[int]()  # leases that this process asked to begin, without an answer yet
        self.registered = False
        self.worded = -REST_S
        self.watcher: RolloutPlanner | None = None  # while this voter leads
        self.term = -1
        self.heard: dict[str, int] = {}  # the number of the last word of each agent that the watcher has
        self.members_out: frozenset[str] = frozenset()
        self.deciding: asyncio.Task[None] | None = None
        self.wording: asyncio.Task[None] | None = None

    async def run(self) -> None:
        running = asyncio.get_running_loop().create_task(self.plane.run())
        try:
            while not running.done():
                await asyncio.sleep(LOOK_S)
                if self.plane.ready():
                    await self._look()
            await running
        finally:
            for task in (running, self.deciding, self.wording, *self.steps.values()):
                if task is not None:
                    task.cancel()

    async def _look(self) -> None:
        mine, control = sorted(self.hands), self.plane.control
        known = sorted(n for n, agent in control.instances.items() if agent == self.plan.name)
        listed = control.listed.get(self.plan.name, [])
        if not self.registered or known != mine or self.listed and listed != sorted(self.listed):
            told = {"do": "register", "instances": mine, "runners": self.listed}
            self.registered = await self._submit(told) is not None
        self._take_steps()
        active = (rollout := self.plane.control.rollout) is not None and rollout.phase in ACTIVE
        pause_s = WORD_S if active else REST_S
        if time.monotonic() - self.worded >= pause_s and (self.wording is None or self.wording.done()):
            self.worded = time.monotonic()
            self.wording = asyncio.get_running_loop().create_task(self._word())
        self._lead()

    async def _submit(self, command: Command) -> Reply | None:
        """The answer; None where the log did not answer, or refused, which is logged."""
        try:
            reply = await self.plane.submit({**command, "agent": self.plan.name})
        except LogError as fault:
            log.warning("control: %s not agreed on: %s", command["do"], fault)
            return None
        if reply["ok"]:
            return reply
        self.counters["control.refused"] += 1
        log.warning("control: %s refused: %s", command["do"], reply["reason"])
        return None

    # Steps of this agent's instances.

    def _take_steps(self) -> None:
        for number in [number for number, task in self.steps.items() if task.done()]:
            task = self.steps.pop(number)
            if not task.cancelled() and task.exception() is not None:
                log.error("control: a step has failed", exc_info=task.exception())
        for lease in self.plane.control.leases.values():
            if lease.parts is not None:
                if lease.number not in self.steps and self.plan.name in lease.parts:
                    part = self._runner(lease.number, lease.instance)
                    self.steps[lease.number] = asyncio.get_running_loop().create_task(part)
                continue
            if lease.holder != self.plan.name or lease.instance not in self.hands:
                continue
            again = lease.stage is Stage.OUT and not self.hands[lease.instance].running()
            if lease.number not in self.steps and not again:
                step = self._step(lease, self.hands[lease.instance])
                self.steps[lease.number] = asyncio.get_running_loop().create_task(step)

    async def _step(self, lease: Lease, hands: RouterHandle) -> None:
        told = {"instance": lease.instance, "lease": lease.number}
        action, stage = lease.action, lease.stage
        # Not the first: begun by the process before this one, and its instances have been started since, but
        # for those that were adopted; or drained, and started by somebody since.
        first = stage is Stage.GRANTED or lease.number in self.asking or hands.adopted
        if stage is Stage.GRANTED:
            # What was read of the lease may be old, and a halt or a release may stand after it in the log.
            self.asking.add(lease.number)  # where its answer is lost the lease is found begun, and untouched
            if await self._submit({"do": "begin", **told}) is None:
                return
        self.asking.discard(lease.number)
        self.events.info("begin" if first else "take up", action=action, **told)
        if action == "drain":
            await self._drain(hands, told)
            if stage is not Stage.OUT:
                await self._until_agreed({"do": "out", **told})
            return
        if first and action != "start":
            await self._drain(hands, told)
            self._change(action, hands, told)
        hands.start()
        while not await hands.ready():
            await asyncio.sleep(READY_S)
        self.events.info("back", action=action, **told)
        await self._until_agreed({"do": "back", **told})

    def _change(self, action: str, hands: Process, told: Mapping[str, Any]) -> None:
        try:
            if action == "replace":
                hands.renew()
            elif action == "restore":
                hands.restore()
        except Exception as fault:  # what cannot be read stays as it was, and the step goes on
            self.events.error("not replaced", fault=str(fault), **told)

    async def _drain(self, hands: Process, told: Mapping[str, Any]) -> None:
        """Its calls in flight are ended by itself; it is never killed, however long that takes."""
        fault = await hands.drain()
        if fault:
            self.events.error("unclean end", fault=fault, **told)
        else:
            self.events.info("drained", **told)

    # Runners: this agent's part in the lease of each.

    async def _runner(self, number: int, name: str) -> None:
        """Follow the lease to its end: out of the routers here, its process renewed if it is managed here,
        and in again. While it is out that is seen to again and again, since a router that was started anew
        does not know of it."""
        me, told = self.plan.name, {"instance": name, "lease": number}
        while (lease := self.plane.control.leases.get(name)) is not None and lease.number == number:
            assert lease.parts is not None
            if lease.stage is Stage.RETURNING:
                if lease.parts.get(me) != "in" and await self._use(name, True):
                    self.events.info("in", **told)
                    await self._until_agreed({"do": "part", "did": "in", **told})
            else:
                if not lease.parts.get(me) and not await self._begin_part(told):
                    return
                idle = await self._use(name, False)
                if idle and lease.parts.get(me) == "begun":
                    self.events.info("out", **told)
                    await self._until_agreed({"do": "part", "did": "out", **told})
                if lease.stage is Stage.AWAY and lease.holder == me:
                    await self._renew(lease, told)
            await asyncio.sleep(READY_S)
        while name not in self.plane.control.leases and not await self._use(name, True):
            await asyncio.sleep(READY_S)  # released by an operator, who vouches for it

    async def _begin_part(self, told: Mapping[str, Any]) -> bool:
        agreed = await self._submit({"do": "part", "did": "begun", **told}) is not None
        if agreed:
            self.events.info("begin", action="runner", **told)
        return agreed

    async def _use(self, runner: str, use: bool) -> bool:
        """Have the routers here use a runner or not; whether all do as told, and have nothing in flight there
        if not. One whose process has ended has none; one that does not answer may have."""
        done = True
        for hands in self.hands.values():
            if not hands.running():
                continue
            listed = await hands.runners()
            if listed is None:
                done = False
            elif runner in listed:
                suspended, inflight = listed[runner]
                if suspended == use:
                    done = await hands.suspend(runner, not use) and use and done
                elif not use and inflight:
                    done = False
        return done

    async def _renew(self, lease: Lease, told: Mapping[str, Any]) -> None:
        """The runner's process, which no router uses now."""
        process = self.others[lease.instance]
        await self._drain(process, told)
        self._change(lease.action, process, told)
        process.start()
        while not process.running():
            await asyncio.sleep(READY_S)
        self.events.info("renewed", **told)
        await self._until_agreed({"do": "renewed", **told})

    async def _until_agreed(self, command: Command) -> None:
        """A step's end has to reach the log, or the instance stays counted out."""
        while True:
            try:
                reply = await self.plane.submit({**command, "agent": self.plan.name})
            except LogError as fault:
                log.warning("control: %s not agreed on yet: %s", command["do"], fault)
                await asyncio.sleep(AGAIN_S)
                continue
            if not reply["ok"]:  # said before, and agreed on after all; or released by an operator
                log.info("control: %s refused: %s", command["do"], reply["reason"])
            return

    # Words of this agent's instances, for whoever leads.

    async def _word(self) -> None:
        names = list(self.hands)
        words, gone, listed = await asyncio.gather(
            asyncio.gather(*(self.hands[name].word() for name in names)),
            asyncio.gather(*(self.hands[name].gone() for name in names)),
            asyncio.gather(*(self.hands[name].runners() for name in names)),
        )
        self.members_out = frozenset(name for one in gone for name in one)
        runners = {runner for one in listed if one is not None for runner in one}
        if runners:  # a moment without an answer makes no runner unknown
            self.listed = {runner: runner in self.others for runner in sorted(runners)}
        told = {n: [w.ready, w.served, w.failed] for n, w in zip(names, words, strict=True)}
        with contextlib.suppress(LogError):
            await self.plane.submit({"do": "word", "agent": self.plan.name, "words": told})

    # Where this voter leads.

    def _lead(self) -> None:
        status, now_us = self.plane.status(), time.monotonic_ns() // 1000
        if not status["leading"]:
            self.watcher = None
            return
        if self.watcher is None or status["term"] != self.term:
            self.watcher, self.term = RolloutPlanner(self.plan.rules, now_us), status["term"]
            self.heard = {agent: number for agent, (number, _) in self.plane.words.items()}
            self.events.info("leads", term=self.term, voter=self.plan.name)
        for agent, (number, words) in self.plane.words.items():
            if number != self.heard.get(agent):
                self.heard[agent] = number
                self.watcher.hear({name: HealthReport(*word) for name, word in words.items()}, now_us)
        if self.deciding is not None and not self.deciding.done():
            return
        command = self.watcher.decide(self.plane.control, self.members_out, self.term, now_us)
        if command is not None:
            self.deciding = asyncio.get_running_loop().create_task(self._decided(command))

    async def _decided(self, command: Command) -> None:
        reply = await self._submit(command)
        if reply is not None:
            told = {key: command[key] for key in ("instance", "down", "reason") if key in command}
            self.events.info(command["do"], term=self.term, **told, **reply)

    async def served(self, command: object) -> dict[str, Any]:
        """For an agent that is no voter: the agreed state, and the answer to its command, if it gives one."""
        told: dict[str, Any] = {"ready": self.plane.ready()}
        try:
            if isinstance(command, dict):
                told["reply"] = await self.plane.submit(command)
        except LogError as fault:
            return {"error": str(fault)}
        return {"control": told | {"state": self.plane.control.told(), "told": dict(self.plane.told)}}

    # Operators.

    async def asked(self, what: str, command: Command) -> dict[str, Any]:
        """`status`, or a command of an operator's; `{"error": reason}` where it is not agreed on."""
        if what == "status":
            return {
                "rollout": {
                    **self.plane.control.told(),
                    "raft": self.plane.status(),
                    "ready": self.plane.ready(),
                    "counters": dict(self.counters),
                }
            }
        if what == "start" and command.get("budget") is None:
            command = {**command, "budget": self.plan.budget}
        try:
            reply = await self.plane.submit({**command, "do": what, "agent": self.plan.name})
        except LogError as fault:
            return {"error": str(fault)}
        if not reply["ok"]:
            return {"error": reply["reason"]}
        self.events.info(f"operator {what}", **{k: v for k, v in reply.items() if k != "ok"})
        return {"rollout": reply}
