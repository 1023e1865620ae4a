"""The results of the agent's commands, and the JSON objects in which its clients read them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from maplestile.agent.router_client import OperatorReply
from maplestile.agent.supervised_process import ProcessStatus
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
    """Why a command was refused, or has failed."""

    reason: str

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"error": self.reason}


# Processes, each by its instance.


@dataclass(slots=True, frozen=True)
class ProcessStatuses:
    """The status of the chosen instances."""

    statuses: Mapping[str, ProcessStatus]

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"instances": {name: status.encoded() for name, status in self.statuses.items()}}


@dataclass(slots=True, frozen=True)
class ProcessCounters:
    """The counters of the chosen routers."""

    counters: Mapping[str, Any]  # as the process printed them; None where it printed none in time

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"counters": dict(self.counters)}


@dataclass(slots=True, frozen=True)
class ReloadReports:
    """What the chosen routers made of their files, read again."""

    reports: Mapping[str, Any]  # as the process printed them; None where it printed none in time

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"reload": dict(self.reports)}


@dataclass(slots=True, frozen=True)
class FrontReplies:
    """The answers of the operators' fronts of the chosen instances."""

    command: str
    replies: Mapping[str, OperatorReply]

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {self.command: {name: reply.encoded() for name, reply in self.replies.items()}}


# The control plane.


@dataclass(slots=True, frozen=True)
class VoterAnswer:
    """The answer to an agent that is no voter."""

    answer: LogAnswer

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"control": self.answer.encoded()}


@dataclass(slots=True, frozen=True)
class RolloutAccepted:
    """The log's reply to an operator's command about rollouts."""

    reply: EncodedReply

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"rollout": self.reply}


@dataclass(slots=True, frozen=True)
class RolloutStatus:
    """The agreed state, and this agent's own part in it."""

    control: ControlState
    voter: VoterStatus
    ready: bool
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
    """The log's reply to an operator's command about the policy."""

    reply: EncodedReply

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        return {"policy": self.reply}


@dataclass(slots=True, frozen=True)
class InstancePolicy:
    """The policy of one instance, as its agent last reported it."""

    agent: str
    age_s: float | None  # since that report; None where none came
    report: Mapping[str, Any]  # the router's own, as it came

    def encoded(self) -> dict[str, Any]:
        """Return it as an entry of the reply."""
        return {"agent": self.agent, "heard_s": self.age_s, **self.report}


@dataclass(slots=True, frozen=True)
class FleetPolicyStatus:
    """What is agreed on, and the policy of each instance."""

    agreed: AgreedPolicies
    instances: Mapping[str, InstancePolicy]
    voter: VoterStatus
    ready: bool

    def encoded(self) -> dict[str, Any]:
        """Return the JSON object of the reply."""
        status = {
            "agreed": self.agreed.encoded(),
            "instances": {name: policy.encoded() for name, policy in self.instances.items()},
            "ready": self.ready,
            "raft": self.voter.encoded(),
        }
        return {"policy": status}
