"""What an agent sees of the replicated log besides the replicated state, with its wire form."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from maplestile.control.commands import EncodedReply, HealthReport
from maplestile.control.state import ControlState


@dataclass(slots=True, frozen=True)
class VoterStatus:
    """The Raft status of this agent's voter, as shown to operators."""

    voter: str | None  # the voter's name; None for an agent that is not a voter
    leading: bool  # whether this voter is the leader
    leader: str | None  # the leader's name; None if unknown
    term: int  # the current Raft term
    index: int  # the log index of the last committed entry

    def encoded(self) -> dict[str, Any]:
        """Return the status as a table of the operators' status replies."""
        return asdict(self)


NO_VOTER_STATUS = VoterStatus(voter=None, leading=False, leader=None, term=0, index=0)


@dataclass(slots=True, frozen=True)
class ReceivedHeartbeat:
    """The last heartbeat of an agent."""

    number: int  # how many heartbeats of this agent the voter has applied
    reports: Mapping[str, HealthReport]  # by instance


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """An agent's last report on the policy of its routers."""

    age_s: float  # since the voter received the report
    routers: Mapping[str, Any]  # by instance: the router's own report, unchanged


@dataclass(slots=True, frozen=True)
class LogAnswer:
    """A voter's answer to an agent that is not a voter: the replicated state and the reply to a command."""

    ready: bool  # whether the voter has caught up with the log
    control: ControlState
    router_status: Mapping[str, RouterStatus]  # by agent
    reply: EncodedReply | None = None  # None if the agent sent no command

    def encoded(self) -> dict[str, Any]:
        """Return the wire form, which `RemoteLog` decodes."""
        reply = {} if self.reply is None else {"reply": self.reply}
        reported = {agent: [status.age_s, status.routers] for agent, status in self.router_status.items()}
        return {"ready": self.ready, **reply, "state": self.control.encoded(), "told": reported}


def decode_router_status(encoded: Mapping[str, Any]) -> dict[str, RouterStatus]:
    """Decode an answer's `told` table, the routers' status by agent. Raises TypeError or ValueError."""
    return {agent: RouterStatus(age_s, routers) for agent, (age_s, routers, *_) in encoded.items()}
