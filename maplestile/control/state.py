"""The replicated state of the control plane: the fleet's instances, rollout, leases and policy.

This is a replicated state machine (Schneider, "Implementing fault-tolerant services using the state machine
approach", 1990). Every voter applies the commands of the Raft log in the same order, so each transition
depends only on the state and the command: it uses no clock, no randomness and no I/O.

A command that does not fit the state is not applied, and its reply gives the reason. Commands carry the
numbers of the rollout and the lease that their sender last saw, so that a sender with outdated information,
such as a deposed leader or an agent that was cut off from the voters, is rejected.
"""

from collections.abc import Callable, Mapping
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control import lease_transitions as leases
from maplestile.control import rollout_transitions as rollouts
from maplestile.control.budget import parse_budget
from maplestile.control.commands import (
    Acceptance,
    BeginStep,
    Command,
    ConfirmDrained,
    ConfirmRenewed,
    EncodedReply,
    FinishStep,
    GrantLease,
    HaltRollout,
    Register,
    Rejected,
    ReleaseLease,
    Reply,
    ReportPart,
    ResumeRollout,
    StartRollout,
    UndoRollout,
    decode,
    encode_reply,
    name_of,
)
from maplestile.control.fleet import FleetState, Step
from maplestile.control.policy.agreed import AgreedPolicies
from maplestile.control.policy.transitions import POLICY_TRANSITIONS
from maplestile.control.record_codec import encode_record
from maplestile.control.registration import register
from maplestile.control.rollout import (
    ACTIONS,
    ACTIVE_PHASES,
    KINDS,
    Lease,
    Phase,
    Rollout,
    Stage,
    decode_lease,
    decode_rollout,
)

__all__ = [
    "ACTIONS",
    "ACTIVE_PHASES",
    "KINDS",
    "ControlState",
    "Lease",
    "Phase",
    "Rollout",
    "Stage",
    "Step",
    "parse_budget",
]

# The transition for each type of command about instances, rollouts and leases.
FLEET_TRANSITIONS: dict[type[Any], Callable[[FleetState, Any], Acceptance]] = {
    Register: register,
    StartRollout: rollouts.start_rollout,
    HaltRollout: rollouts.halt_rollout,
    ResumeRollout: rollouts.resume_rollout,
    UndoRollout: rollouts.undo_rollout,
    GrantLease: leases.grant_lease,
    ReleaseLease: leases.release_lease,
    BeginStep: leases.begin_step,
    FinishStep: leases.finish_step,
    ConfirmDrained: leases.confirm_drained,
    ReportPart: leases.report_part,
    ConfirmRenewed: leases.confirm_renewed,
}


class ControlState(FleetState):
    """The replicated state, which changes only through `apply`."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = AgreedPolicies()

    def __setstate__(self, attributes: dict[str, Any]) -> None:
        """Restore the state from a snapshot.

        Attributes that are missing in a snapshot of an earlier release get their initial values.
        """
        self.__init__()  # type: ignore[misc]  # sets the initial value of every attribute
        self.__dict__.update(attributes)

    def apply(self, command: Command) -> Reply:
        """Apply a command and return its reply.

        A rejected command changes nothing, except that a rejected grant may use up a number.
        """
        try:
            reply = self._transition(command)
        except CommandRejected as rejection:
            return Rejected(str(rejection))
        self.update_worst_out()
        return reply

    def apply_encoded(self, encoded: Mapping[str, Any]) -> EncodedReply:
        """Apply a command in wire form and return its reply in wire form; a malformed one changes nothing."""
        try:
            command = decode(encoded)
        except CommandRejected as rejection:
            return encode_reply(Rejected(str(rejection)))
        return encode_reply(self.apply(command))

    def _transition(self, command: Command) -> Acceptance:
        fleet_transition = FLEET_TRANSITIONS.get(type(command))
        if fleet_transition is not None:
            return fleet_transition(self, command)
        policy_transition = POLICY_TRANSITIONS.get(type(command))
        if policy_transition is not None:
            return policy_transition(self.policy, command, self.instances)
        raise CommandRejected(f"no command '{name_of(command)}'")

    # The wire form.

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "ControlState":
        """Decode a state from its wire form. Raises KeyError, TypeError or ValueError if it is invalid."""
        control = cls()
        rollout = encoded["rollout"]
        control.instances = dict(encoded["instances"])
        control.runners = dict(encoded["runners"])
        control.listed = dict(encoded["listed"])
        control.number = int(encoded["number"])
        control.worst_out = dict(encoded["worst_out"])
        control.rollout = None if rollout is None else decode_rollout(rollout)
        control.history = [decode_rollout(ended) for ended in encoded["history"]]
        decoded = [decode_lease(lease) for lease in encoded["leases"]]
        control.leases = {lease.instance: lease for lease in decoded}
        control.policy = AgreedPolicies.decode(encoded["policy"])
        return control

    def encoded(self) -> dict[str, Any]:
        """Return the whole state as JSON types, for operators and for agents that are not voters."""
        return {
            "instances": dict(self.instances),
            "runners": dict(self.runners),
            "listed": {agent: list(names) for agent, names in self.listed.items()},
            "number": self.number,
            "worst_out": dict(self.worst_out),
            "rollout": None if self.rollout is None else encode_record(self.rollout),
            "history": [encode_record(rollout) for rollout in self.history],
            "leases": [encode_record(lease) for lease in self.leases.values()],
            "policy": self.policy.encoded(),
        }
