"""Records what an agent's controllers put into the log and send to routers, and the routers' answers."""

import asyncio
import re
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from maplestile.agent.policy_controller import PolicyController
from maplestile.agent.policy_router import Announcement, RouterPolicy
from maplestile.agent.rollout_controller import RolloutController
from maplestile.control.policy.document import PolicyError
from maplestile.control.state import ControlState, Phase
from maplestile.router.policy_driver import monotonic_us
from tests.agent_doubles import PATIENCE_S, RecordingLog, RecordingProcess, recording_router
from tests.control_script import DOCUMENT
from tests.recordings import NOBODY, agent_plan, as_lines
from tests.test_policy_driver import Rig

STALE = re.compile(r'"stale_s": [0-9.]+')


async def submitted_by_rollout_controller(folder: Path) -> dict[str, bytes]:
    plan = agent_plan(folder, f'ask = ["{NOBODY}"]').control
    assert plan is not None
    replicated_log = RecordingLog(ControlState())
    replicated_log.leads = True
    controller = RolloutController(
        plan, replicated_log, {"r0": recording_router()}, {"w0": RecordingProcess()}, Counter()
    )
    running = asyncio.get_running_loop().create_task(controller.run())

    async def until(true: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not true():
                await asyncio.sleep(0.01)

    async def follow(what: str, command: dict[str, Any], phase: Phase) -> None:
        await controller.execute(what, command)
        await until(
            lambda: (
                replicated_log.control.rollout is not None and replicated_log.control.rollout.phase is phase
            )
        )

    try:
        await until(lambda: bool(replicated_log.control.runners))
        for action in ("restart", "replace", "drain"):
            await follow("start", {"action": action, "targets": ["r0"], "budget": None}, Phase.DONE)
        await follow("undo", {"reason": ""}, Phase.UNDONE)
        runners = {"targets": ["w0"], "budget": "1", "kind": "runners"}
        for action in ("replace", "drain"):
            await follow("start", {"action": action, **runners}, Phase.DONE)
        await follow("undo", {"reason": ""}, Phase.UNDONE)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return {"steward-submitted.jsonl": as_lines(replicated_log.submitted)}


async def sent_by_policy_controller(folder: Path) -> dict[str, bytes]:
    plan = agent_plan(folder, f'ask = ["{NOBODY}"]').control
    assert plan is not None
    replicated_log = RecordingLog(ControlState())
    router = recording_router()
    replicated_log.control.apply_encoded({"do": "register", "agent": "a0", "instances": ["r0"]})
    replicated_log.leads = True
    controller = PolicyController(plan, replicated_log, {"r0": router})
    known = controller.router_policies["r0"] = RouterPolicy("r0", router, 1)
    await controller.read([known])
    await controller.announce(known, Announcement(0, 500, 0))
    await controller.read([known])
    for what, command in (
        ("propose", {"document": DOCUMENT, "base": 0}),
        ("rollback", {"base": 1, "to": None}),
    ):
        await controller.execute(what, command)
        change = replicated_log.control.policy.checking()
        assert change is not None
        await controller.announce(known, Announcement(known.epoch, 600, change.number))
        await controller.check(known, change)
        controller.leader.run_once()
        assert controller.leader.submission is not None
        await controller.leader.submission
        router.client.fetch = what == "rollback"
        await controller.announce(known, Announcement(replicated_log.control.policy.epoch.number, 700, 0))
    return {
        "herald-submitted.jsonl": as_lines(replicated_log.submitted),
        "herald-told-routers.jsonl": as_lines(router.client.requests),
    }


# A router's answers to what the policy controller sends.

ANNOUNCEMENTS: list[object] = [
    {"epoch": 0, "checking": 0},
    {"epoch": 0, "checking": 0, "document": None},
    {"epoch": 1, "checking": 0, "foreign": [1]},
    {"epoch": 1, "checking": 0, "document": "policy"},
    {"epoch": 0, "checking": 0, "document": None},
    {"epoch": 2, "checking": 0, "document": {"rules": {"newer": 1}}},
    {"epoch": 2, "checking": 0, "document": {"listen": {}}},
    {"epoch": 2, "checking": 0, "document": [1]},
    {"epoch": -1, "checking": 0},
    {"epoch": True, "checking": 0},
    {"epoch": 2},
    {"checking": 0},
    {},
    [],
    None,
]
CHECKS: list[object] = [
    {"change": 4, "document": "policy"},
    {"change": 5, "document": None},
    {"change": 6},
    {"change": 6, "document": {"rules": {"newer": 1}}},
    {"change": 6, "document": {"limits": {"listeners": 1}}},
    {"change": "6", "document": None},
    {"document": None},
    {},
    None,
]


def _policy_in(message: object, rig: Rig) -> object:
    """The message with the rig's own policy, changed a little, where it stands for one."""
    if isinstance(message, dict) and message.get("document") == "policy":
        return message | {"document": rig.policy(attempts=2)}
    return message


def answered_by_router(folder: Path) -> dict[str, bytes]:
    rig = Rig(folder)
    announcements = list[object]()
    checks = list[object]()
    for announcement in ANNOUNCEMENTS:
        answers = list[object]()
        timed = (
            announcement | {"fenced_us": monotonic_us()} if isinstance(announcement, dict) else announcement
        )
        try:
            rig.take_announcement(_policy_in(timed, rig), answers.append)
        except PolicyError as fault:
            answers.append({"refused": str(fault)})
        announcements.append({"word": _policy_in(announcement, rig), "answers": answers})
    for check in CHECKS:
        message = _policy_in(check, rig)
        try:
            checks.append({"check": message, "answer": rig.check(message)})
        except PolicyError as fault:
            checks.append({"check": message, "refused": str(fault)})
    lines = STALE.sub('"stale_s": 0.0', as_lines(announcements).decode())
    return {"router-words.jsonl": lines.encode(), "router-checks.jsonl": as_lines(checks)}
