"""The agent's part in the fleet's policy: its routers check a change, and are sent what is committed.

An announcement to a router is fenced by a read of the log: the read was agreed on after it was requested, at
a time of the machine's monotonic clock, which the routers share. A read names the routers that answer, and
its fence is sent to those alone, so no router goes on with an old epoch once a change is committed. Where the
agent's voter leads, `PolicyLeader` decides whether a change is committed.
"""

import asyncio
import contextlib
import logging
import time
from collections.abc import Mapping

from maplestile.agent.command_results import (
    CommandResult,
    FleetPolicyStatus,
    InstancePolicy,
    PolicyAccepted,
)
from maplestile.agent.errors import CommandError
from maplestile.agent.instance import RouterHandle
from maplestile.agent.policy_leader import PolicyLeader
from maplestile.agent.policy_router import REPEAT_INTERVAL_S, Announcement, Fence, RouterPolicy
from maplestile.agent.replicated_log import ReplicatedLog, submit_for_operator
from maplestile.agent.tasks import is_idle
from maplestile.common import logs
from maplestile.control.commands import EncodedCommand, PolicyRead, ReadPolicy, SubmitVerdict, decode_reply
from maplestile.control.errors import LogError
from maplestile.control.log_view import RouterStatus
from maplestile.control.policy.agreed import AgreedPolicies, Change
from maplestile.control.settings import ControlSettings

log = logging.getLogger("maplestile.policy")
POLL_INTERVAL_S = 0.05  # of the agreed state
READ_INTERVAL_S = 1.0  # between reads
READ_INTERVAL_CHECKING_S = 0.5  # between reads while a change is being checked


class PolicyController:
    """Takes this agent's part in the policy that the fleet agrees on."""

    def __init__(
        self,
        settings: ControlSettings,
        replicated_log: ReplicatedLog,
        routers: Mapping[str, RouterHandle],
    ) -> None:
        self.settings = settings
        self.replicated_log = replicated_log
        self.routers = routers
        self.events = logs.events("policy")
        self.router_policies: dict[str, RouterPolicy] = {}
        self.leader = PolicyLeader(settings.name, replicated_log)
        self.epoch = -1  # of this replica, as it was logged last
        self.read_s = 0.0
        self.reading: asyncio.Task[None] | None = None

    @property
    def agreed(self) -> AgreedPolicies:
        """The agreed state of the policy."""
        return self.replicated_log.control.policy

    async def run(self) -> None:
        """Take this agent's part until cancelled."""
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                if self.replicated_log.ready():
                    self._poll()
        finally:
            self._cancel_tasks()

    def _cancel_tasks(self) -> None:
        self.leader.cancel()
        tasks = [self.reading]
        for policy in self.router_policies.values():
            tasks += [policy.announcing, policy.checking]
        for task in tasks:
            if task is not None:
                task.cancel()

    def _poll(self) -> None:
        self._log_commit()
        running = self._running_routers()
        change = self.agreed.checking()
        self._start_read(running, change)
        for policy in running:
            self._start_announcement(policy, change)
            self._start_check(policy, change)
        self.leader.run_once()

    def _log_commit(self) -> None:
        """Log the commit of an epoch once, also where the answer to the commit was lost."""
        epoch = self.agreed.epoch
        if epoch.number != self.epoch:
            self.epoch = epoch.number
            self.events.info("committed", epoch=epoch.number, change=epoch.change)

    def _running_routers(self) -> list[RouterPolicy]:
        """The routers that run; nothing is known yet of one whose process was started since the last poll."""
        running = []
        for name, router in self.routers.items():
            if not router.process.running():
                continue
            policy = self.router_policies.get(name)
            if policy is None or policy.starts != router.process.starts:
                policy = self.router_policies[name] = RouterPolicy(name, router, router.process.starts)
            running.append(policy)
        return running

    # Announcements of what is committed.

    def _start_read(self, running: list[RouterPolicy], change: Change | None) -> None:
        following = [policy for policy in running if not policy.has_own_policy]
        interval_s = READ_INTERVAL_S if change is None else READ_INTERVAL_CHECKING_S
        if following and time.monotonic() - self.read_s >= interval_s and is_idle(self.reading):
            self.read_s = time.monotonic()
            self.reading = asyncio.get_running_loop().create_task(self.read(following))

    async def read(self, policies: list[RouterPolicy]) -> None:
        """Have a read agreed on that names those of the routers that answer, and fence these by it."""
        requested_us = time.monotonic_ns() // 1000
        answering = {policy.name: policy for policy in policies if policy.answers}
        reports = {
            name: policy.report.content
            for name, policy in self.router_policies.items()
            if policy.report is not None
        }
        command = ReadPolicy(agent=self.settings.name, instances=tuple(answering), router_status=reports)
        with contextlib.suppress(LogError):  # counted there; its routers get no new fence meanwhile
            reply = decode_reply(command, await self.replicated_log.submit(command))
            if isinstance(reply, PolicyRead):
                for name in reply.named:  # these processes, not later ones of the same names
                    answering[name].fence = Fence(reply.epoch, requested_us)

    def _start_announcement(self, policy: RouterPolicy, change: Change | None) -> None:
        if policy.has_own_policy or not is_idle(policy.announcing):
            return
        announcement = policy.next_announcement(self.agreed.epoch.number, change)
        if announcement is not None:
            announcing = self.announce(policy, announcement)
            policy.announcing = asyncio.get_running_loop().create_task(announcing)

    async def announce(self, policy: RouterPolicy, announcement: Announcement) -> None:
        """Send a router what it has to know now."""
        if await policy.announce(announcement, self.agreed):
            self.read_s = 0.0  # read at once, so that the others learn of it

    # Checks of a proposed change.

    def _start_check(self, policy: RouterPolicy, change: Change | None) -> None:
        if change is None or policy.checked_change == change.number or not is_idle(policy.checking):
            return
        policy.checking = asyncio.get_running_loop().create_task(self.check(policy, change))

    async def check(self, policy: RouterPolicy, change: Change) -> None:
        """Have a router check the change, and its verdict agreed on."""
        reason = await policy.check(change)
        if reason is None:
            await asyncio.sleep(POLL_INTERVAL_S)  # it is repeated, for as long as the change is checked
            return
        verdict = SubmitVerdict(
            agent=self.settings.name, change=change.number, instance=policy.name, reason=reason
        )
        is_agreed = await self._submit_verdict(verdict)
        if is_agreed:
            policy.checked_change = change.number
        elif is_agreed is False:
            # The change is decided, or this agent has not registered yet: it is repeated where needed.
            await asyncio.sleep(REPEAT_INTERVAL_S)

    async def _submit_verdict(self, verdict: SubmitVerdict) -> bool | None:
        """Whether the log takes the verdict; None where it gives no answer."""
        try:
            reply = await self.replicated_log.submit(verdict)
        except LogError as error:
            log.warning("policy: the verdict of %s is not agreed on yet: %s", verdict.instance, error)
            return None
        is_agreed = bool(reply["ok"])
        self.events.info(
            "verdict",
            instance=verdict.instance,
            change=verdict.change,
            reason=verdict.reason,
            agreed=reply["ok"],
        )
        return is_agreed

    # Operators' commands.

    async def execute(self, operation: str, command: EncodedCommand) -> CommandResult:
        """The result of `status`, `propose` or `rollback`. Raises CommandError where it is not agreed on."""
        if operation == "status":
            return self._status()
        if operation not in ("propose", "rollback"):
            raise CommandError(f"policy: no command '{operation}'")
        name = f"policy {operation}"
        reply = await submit_for_operator(self.replicated_log, self.settings.name, name, command)
        self.events.info(f"operator {operation}", change=reply["change"], base=reply["base"])
        return PolicyAccepted(reply)

    def _status(self) -> FleetPolicyStatus:
        reported = self.replicated_log.router_status
        instances = sorted(self.replicated_log.control.instances.items())
        return FleetPolicyStatus(
            agreed=self.agreed,
            instances={name: _instance_policy(name, agent, reported.get(agent)) for name, agent in instances},
            voter=self.replicated_log.status(),
            ready=self.replicated_log.ready(),
        )


def _instance_policy(name: str, agent: str, reported: RouterStatus | None) -> InstancePolicy:
    if reported is None:
        return InstancePolicy(agent, None, {})
    return InstancePolicy(agent, reported.age_s, reported.routers.get(name, {}))
