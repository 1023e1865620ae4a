"""What an agent sees of the replicated log beside the agreed state, and its wire form."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from maplestile.control.commands import EncodedReply, HealthReport
from maplestile.control.state import ControlState


@dataclass(slots=True, frozen=True)
class VoterStatus:
    """The voter of this agent as operators see it."""

    voter: str | None  # its name; None of an agent that is no voter
    leading: bool
    leader: str | None  # the leader's name, where one is known
    term: int  # Raft's
    index: int  # of the last committed entry

    def encoded(self) -> dict[str, Any]:
        """The wire form, as a table of the operators' status replies."""
        return asdict(self)


NO_VOTER_STATUS = VoterStatus(voter=None, leading=False, leader=None, term=0, index=0)


@dataclass(slots=True, frozen=True)
class ReceivedHeartbeat:
    """The last heartbeat of an agent."""

    number: int  # how many have come from this agent
    reports: Mapping[str, HealthReport]  # by instance


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """What an agent has last reported on the policy of its routers."""

    age_s: float  # since the report came to the voter
    routers: Mapping[str, Any]  # by instance: the router's own report, as it came


@dataclass(slots=True, frozen=True)
class LogAnswer:
    """A voter's answer to an agent that is none: the agreed state, and the reply to that agent's command."""

    ready: bool
    control: ControlState
    router_status: Mapping[str, RouterStatus]  # by agent
    reply: EncodedReply | None = None  # None where no command came

    def encoded(self) -> dict[str, Any]:
        """The wire form, which `RemoteLog` reads."""
        reply = {} if self.reply is None else {"reply": self.reply}
        reported = {agent: [status.age_s, status.routers] for agent, status in self.router_status.items()}
        return {"ready": self.ready, **reply, "state": self.control.encoded(), "told": reported}


def decode_router_status(encoded: Mapping[str, Any]) -> dict[str, RouterStatus]:
    """The status by agent of the `told` table of an answer. Raises TypeError or ValueError."""
    return {agent: RouterStatus(age_s, routers) for agent, (age_s, routers, *_) in encoded.items()}
