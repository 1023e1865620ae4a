"""The results of the agent's commands, and their wire form: JSON objects."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from maplestile.agent.router_client import OperatorReply
from maplestile.agent.supervised_process import ProcessStatus
from maplestile.common.text import shortened
from maplestile.control.commands import EncodedReply
from maplestile.control.log_view import LogAnswer, VoterStatus
from maplestile.control.policy.agreed import AgreedPolicies
from maplestile.control.state import ControlState


class CommandResult(Protocol):
    """The result of one command."""

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        ...


@dataclass(slots=True, frozen=True)
class CommandFailure:
    """The result of a command that was refused or has failed."""

    reason: str  # for the sender of the command

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"error": shortened(self.reason)}


# Results of commands about processes, by instance name.


@dataclass(slots=True, frozen=True)
class ProcessStatuses:
    """The status of the chosen instances."""

    statuses: Mapping[str, ProcessStatus]

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"instances": {name: status.encoded() for name, status in self.statuses.items()}}


@dataclass(slots=True, frozen=True)
class ProcessCounters:
    """The counters of the chosen instances."""

    counters: Mapping[str, Any]  # as the process printed them; None for a process that printed none in time

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"counters": dict(self.counters)}


@dataclass(slots=True, frozen=True)
class ReloadReports:
    """The reports of the chosen routers on reloading their files."""

    reports: Mapping[str, Any]  # as the router printed it; None for an instance that printed none in time

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"reload": dict(self.reports)}


@dataclass(slots=True, frozen=True)
class FrontReplies:
    """The replies of the operators' fronts of the chosen instances."""

    command: str  # the name of the agent's command, such as "ready"
    replies: Mapping[str, OperatorReply]

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {self.command: {name: reply.encoded() for name, reply in self.replies.items()}}


# Results of commands for the control plane.


@dataclass(slots=True, frozen=True)
class VoterAnswer:
    """The answer of a voter's agent to an agent without a vote."""

    answer: LogAnswer

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"control": self.answer.encoded()}


@dataclass(slots=True, frozen=True)
class RolloutAccepted:
    """The reply of the replicated log to an operator's command about rollouts."""

    reply: EncodedReply

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"rollout": self.reply}


@dataclass(slots=True, frozen=True)
class RolloutStatus:
    """The replicated state, and the status of this agent's control plane."""

    control: ControlState
    voter: VoterStatus
    ready: bool  # whether the state is up to date and a leader is known
    counters: Mapping[str, int]

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        status = {
            **self.control.encoded(),
            "raft": self.voter.encoded(),
            "ready": self.ready,
            "counters": dict(self.counters),
        }
        return {"rollout": status}


@dataclass(slots=True, frozen=True)
class PolicyAccepted:
    """The reply of the replicated log to an operator's command about the policy."""

    reply: EncodedReply

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"policy": self.reply}


@dataclass(slots=True, frozen=True)
class InstancePolicy:
    """The policy of one instance, as its agent last reported it."""

    agent: str  # the one that manages the instance
    age_s: float | None  # seconds since that report; None if there was none
    report: Mapping[str, Any]  # the report of the router, unchanged; empty if there was none

    def encoded(self) -> dict[str, Any]:
        """Return the wire form: one entry of the reply."""
        return {"agent": self.agent, "heard_s": self.age_s, **self.report}


@dataclass(slots=True, frozen=True)
class FleetPolicyStatus:
    """The replicated state of the fleet's policy, and the policy of each instance."""

    agreed: AgreedPolicies
    instances: Mapping[str, InstancePolicy]  # by instance name
    voter: VoterStatus
    ready: bool  # whether the state is up to date and a leader is known

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        status = {
            "agreed": self.agreed.encoded(),
            "instances": {name: policy.encoded() for name, policy in self.instances.items()},
            "ready": self.ready,
            "raft": self.voter.encoded(),
        }
        return {"policy": status}
