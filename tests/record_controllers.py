"""Records what an agent's controllers submit to the log and send to routers, and a router's answers."""

import asyncio
import re
from collections import Counter
from pathlib import Path
from typing import Any

from maplestile.agent.policy_controller import PolicyController
from maplestile.agent.policy_router import Announcement, RouterPolicy
from maplestile.agent.rollout_controller import RolloutController
from maplestile.control.policy.document import PolicyError
from maplestile.control.state import ControlState, Phase
from maplestile.router.policy_driver import monotonic_us
from tests.agent_doubles import PATIENCE_S, RecordingLog, RecordingProcess, recording_router
from tests.control_recordings import UNUSED_ADDRESS, as_lines, control_settings
from tests.control_script import DOCUMENT
from tests.policy_driver_rig import PolicyDriverRig
from tests.standins import wait_until

STALE_SECONDS = re.compile(r'"stale_s": [0-9.]+')


class RolloutRig:
    """A rollout controller with the router r0 and the runner w0, and a replicated log without voters."""

    def __init__(self, folder: Path) -> None:
        self.log = RecordingLog(ControlState())
        self.log.is_leader = True
        self.controller = RolloutController(
            control_settings(folder, f'ask = ["{UNUSED_ADDRESS}"]'),
            self.log,
            {"r0": recording_router()},
            {"w0": RecordingProcess()},
            Counter(),
        )

    async def execute(self, operation: str, command: dict[str, Any], phase: Phase) -> None:
        """Execute an operator's command, and wait until the rollout is in a phase."""
        await self.controller.execute(operation, command)
        state = self.log.state
        await wait_until(lambda: state.rollout is not None and state.rollout.phase is phase, PATIENCE_S)


async def submitted_by_rollout_controller(folder: Path) -> dict[str, bytes]:
    """Return the commands submitted in rollouts of a router and of a runner, by action, and in their undo."""
    rig = RolloutRig(folder)
    controller_task = asyncio.get_running_loop().create_task(rig.controller.run())
    try:
        await wait_until(lambda: bool(rig.log.state.runners), PATIENCE_S)
        for action in ("restart", "replace", "drain"):
            await rig.execute("start", {"action": action, "targets": ["r0"], "budget": None}, Phase.DONE)
        await rig.execute("undo", {"reason": ""}, Phase.UNDONE)
        runners = {"targets": ["w0"], "budget": "1", "kind": "runners"}
        for action in ("replace", "drain"):
            await rig.execute("start", {"action": action, **runners}, Phase.DONE)
        await rig.execute("undo", {"reason": ""}, Phase.UNDONE)
    finally:
        controller_task.cancel()
        await asyncio.gather(controller_task, return_exceptions=True)
    return {"rollout-controller-submitted.jsonl": as_lines(rig.log.submitted)}


async def sent_by_policy_controller(folder: Path) -> dict[str, bytes]:
    """Return the commands and the requests to a router for two changes of policy."""
    settings = control_settings(folder, f'ask = ["{UNUSED_ADDRESS}"]')
    replicated_log = RecordingLog(ControlState())
    router = recording_router()
    replicated_log.state.apply_encoded({"do": "register", "agent": "a0", "instances": ["r0"]})
    replicated_log.is_leader = True
    controller = PolicyController(settings, replicated_log, {"r0": router})
    router_policy = controller.router_policies["r0"] = RouterPolicy("r0", router, 1)
    await controller.read([router_policy])
    await controller.announce(router_policy, Announcement(0, 500, 0))
    await controller.read([router_policy])
    for operation, command in (
        ("propose", {"document": DOCUMENT, "base": 0}),
        ("rollback", {"base": 1, "to": None}),
    ):
        await controller.execute(operation, command)
        change = replicated_log.state.policy.change_being_checked()
        assert change is not None
        await controller.announce(router_policy, Announcement(router_policy.epoch, 600, change.number))
        await controller.check(router_policy, change)
        controller.leader.run_once()
        assert controller.leader.submission is not None
        await controller.leader.submission
        router.client.wants_document = operation == "rollback"
        await controller.announce(
            router_policy, Announcement(replicated_log.state.policy.epoch.number, 700, 0)
        )
    return {
        "policy-controller-submitted.jsonl": as_lines(replicated_log.submitted),
        "policy-controller-requests.jsonl": as_lines(router.client.requests),
    }


# A router's answers to the requests of a policy controller.

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


def _fill_in_policy(message: object, rig: PolicyDriverRig) -> object:
    """Replace the document "policy" of a message by the rig's policy with another attempt limit."""
    if isinstance(message, dict) and message.get("document") == "policy":
        return message | {"document": rig.policy(attempts=2)}
    return message


def router_answers(folder: Path) -> dict[str, bytes]:
    """Return a router's answers to valid and invalid announcements and checks."""
    rig = PolicyDriverRig(folder)
    announcements = list[object]()
    checks = list[object]()
    for announcement in ANNOUNCEMENTS:
        answers = list[object]()
        fenced = (
            announcement | {"fenced_us": monotonic_us()} if isinstance(announcement, dict) else announcement
        )
        try:
            rig.process_announcement(_fill_in_policy(fenced, rig), answers.append)
        except PolicyError as error:
            answers.append({"refused": str(error)})
        announcements.append({"word": _fill_in_policy(announcement, rig), "answers": answers})
    for check in CHECKS:
        message = _fill_in_policy(check, rig)
        try:
            checks.append({"check": message, "answer": rig.check(message)})
        except PolicyError as error:
            checks.append({"check": message, "refused": str(error)})
    lines = STALE_SECONDS.sub('"stale_s": 0.0', as_lines(announcements).decode())
    return {"router-announcement-answers.jsonl": lines.encode(), "router-checks.jsonl": as_lines(checks)}
