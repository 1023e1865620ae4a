"""The agent's side of the fleet's policy: its routers check proposed changes and receive committed epochs.

Each announcement to a router carries a fence: a time at or after which the announced epoch was the committed
one. It comes from a read of the replicated log, and is the time at which the read was requested, by the
machine's monotonic clock, which the routers share. The read was committed after that time. A read names the
routers that are answering, and only those routers get its fence, so no router keeps using an old epoch once a
change is committed. While this agent's voter is the leader, `PolicyLeader` decides whether a change is
committed.
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
from maplestile.common.tasks import start_task
from maplestile.control.commands import EncodedCommand, PolicyRead, ReadPolicy, SubmitVerdict, decode_reply
from maplestile.control.errors import LogError
from maplestile.control.log_view import RouterStatus
from maplestile.control.policy.agreed import AgreedPolicies, Change
from maplestile.control.settings import ControlSettings

log = logging.getLogger("maplestile.policy")
POLL_INTERVAL_S = 0.05  # between polls of the replicated state
READ_INTERVAL_S = 1.0  # between reads while no change is being checked
READ_INTERVAL_CHECKING_S = 0.5  # between reads while a change is being checked


class PolicyController:
    """Announces committed epochs to this agent's routers, and has them check proposed changes."""

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
        self.logged_epoch = -1  # number of the last epoch whose commit was logged
        self.last_read_s = 0.0
        self.read_task: asyncio.Task[None] | None = None

    @property
    def agreed(self) -> AgreedPolicies:
        """The replicated state of the policy."""
        return self.replicated_log.state.policy

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                if self.replicated_log.is_ready():
                    self._poll()
        finally:
            self._cancel_tasks()

    def _cancel_tasks(self) -> None:
        self.leader.cancel()
        tasks = [self.read_task]
        for policy in self.router_policies.values():
            tasks += [policy.announcement_task, policy.check_task]
        for task in tasks:
            if task is not None:
                task.cancel()

    def _poll(self) -> None:
        self._log_commit()
        running = self._running_routers()
        change = self.agreed.change_being_checked()
        self._start_read(running, change)
        for policy in running:
            self._start_announcement(policy, change)
            self._start_check(policy, change)
        self.leader.run_once()

    def _log_commit(self) -> None:
        """Log the commit of each epoch once.

        The replicated state is the source, so the commit is logged even if the reply to the commit was lost.
        """
        epoch = self.agreed.epoch
        if epoch.number != self.logged_epoch:
            self.logged_epoch = epoch.number
            self.events.info("committed", epoch=epoch.number, change=epoch.change)

    def _running_routers(self) -> list[RouterPolicy]:
        """Return the routers that run; a router that was restarted since the last poll gets a new record."""
        running = []
        for name, router in self.routers.items():
            if not router.process.is_running():
                continue
            policy = self.router_policies.get(name)
            if policy is None or policy.starts != router.process.starts:
                policy = self.router_policies[name] = RouterPolicy(name, router, router.process.starts)
            running.append(policy)
        return running

    # Announcements of committed epochs.

    def _start_read(self, running: list[RouterPolicy], change: Change | None) -> None:
        followers = [policy for policy in running if not policy.has_own_policy]
        interval_s = READ_INTERVAL_S if change is None else READ_INTERVAL_CHECKING_S
        if followers and time.monotonic() - self.last_read_s >= interval_s and is_idle(self.read_task):
            self.last_read_s = time.monotonic()
            self.read_task = start_task(self.read(followers))

    async def read(self, policies: list[RouterPolicy]) -> None:
        """Submit a read to the log that names the answering routers, and set their fences by the reply."""
        requested_us = time.monotonic_ns() // 1000
        answering = {policy.name: policy for policy in policies if policy.is_answering}
        reports = {
            name: policy.report.content
            for name, policy in self.router_policies.items()
            if policy.report is not None
        }
        command = ReadPolicy(agent=self.settings.name, instances=tuple(answering), router_status=reports)
        # The log counts its errors itself. The routers get no new fence until a later read succeeds.
        with contextlib.suppress(LogError):
            reply = decode_reply(command, await self.replicated_log.submit(command))
            if isinstance(reply, PolicyRead):
                # `answering` has the processes that were named; one that was restarted meanwhile gets no
                # fence.
                for name in reply.named:
                    answering[name].fence = Fence(reply.epoch, requested_us)

    def _start_announcement(self, policy: RouterPolicy, change: Change | None) -> None:
        if policy.has_own_policy or not is_idle(policy.announcement_task):
            return
        announcement = policy.next_announcement(self.agreed.epoch.number, change)
        if announcement is not None:
            sending = self.announce(policy, announcement)
            policy.announcement_task = start_task(sending)

    async def announce(self, policy: RouterPolicy, announcement: Announcement) -> None:
        """Send an announcement to a router."""
        if await policy.announce(announcement, self.agreed):
            # Makes the next poll read at once, which reports the router's new epoch to the other agents.
            self.last_read_s = 0.0

    # Checks of a proposed change.

    def _start_check(self, policy: RouterPolicy, change: Change | None) -> None:
        if change is None or policy.checked_change == change.number or not is_idle(policy.check_task):
            return
        policy.check_task = start_task(self.check(policy, change))

    async def check(self, policy: RouterPolicy, change: Change) -> None:
        """Have a router check a change, and submit its verdict to the log."""
        reason = await policy.check(change)
        if reason is None:
            await asyncio.sleep(POLL_INTERVAL_S)  # the next poll repeats the check while it is still needed
            return
        verdict = SubmitVerdict(
            agent=self.settings.name, change=change.number, instance=policy.name, reason=reason
        )
        is_accepted = await self._submit_verdict(verdict)
        if is_accepted:
            policy.checked_change = change.number
        elif is_accepted is False:
            # The change is already decided, or this agent has not registered yet. In the second case the
            # check is repeated after this wait.
            await asyncio.sleep(REPEAT_INTERVAL_S)

    async def _submit_verdict(self, verdict: SubmitVerdict) -> bool | None:
        """Submit a verdict; return whether the log accepts it, or None if the log gives no reply."""
        try:
            reply = await self.replicated_log.submit(verdict)
        except LogError as error:
            log.warning(
                "policy: the replicated log has not confirmed the verdict of router %s; "
                "checking the router again: %s",
                verdict.instance,
                error,
            )
            return None
        is_accepted = bool(reply["ok"])
        self.events.info(
            "verdict",
            instance=verdict.instance,
            change=verdict.change,
            reason=verdict.reason,
            agreed=reply["ok"],
        )
        return is_accepted

    # Operators' commands.

    async def execute(self, operation: str, command: EncodedCommand) -> CommandResult:
        """Execute the operator's command `status`, `propose` or `rollback`, and return the result.

        Raises CommandError if the command is unknown, or if the log refuses it or gives no reply.
        """
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
        instances = sorted(self.replicated_log.state.instances.items())
        return FleetPolicyStatus(
            agreed=self.agreed,
            instances={name: _instance_policy(name, agent, reported.get(agent)) for name, agent in instances},
            voter=self.replicated_log.status(),
            ready=self.replicated_log.is_ready(),
        )


def _instance_policy(name: str, agent: str, reported: RouterStatus | None) -> InstancePolicy:
    if reported is None:
        return InstancePolicy(agent, None, {})
    return InstancePolicy(agent, reported.age_s, reported.routers.get(name, {}))
