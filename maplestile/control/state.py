"""What the fleet has agreed on: its instances, the rollout, the leases of its steps, and its policy.

Every voter applies the same commands of the Raft log in the same order, so each transition is a function of
the state and the command alone: no clock, no randomness, no I/O (a replicated state machine, as in Schneider,
"Implementing fault-tolerant services using the state machine approach", 1990). A command that does not fit
the state changes nothing and is answered with the reason. Each command therefore carries what its sender
believed (the number of the rollout, of the lease), and a sender whose belief is outdated, such as a deposed
leader or an agent that was cut off, is refused.
"""

from collections.abc import Callable, Mapping
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control import lease_transitions as leases
from maplestile.control import rollout_transitions as rollouts
from maplestile.control.budget import budget_of
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
    ACTIVE,
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
    "ACTIVE",
    "KINDS",
    "ControlState",
    "Lease",
    "Phase",
    "Rollout",
    "Stage",
    "Step",
    "budget_of",
]

# The transition of each command about instances, rollouts and leases.
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
    """The agreed state. `apply` is the one way to change it."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = AgreedPolicies()

    def __setstate__(self, attributes: dict[str, Any]) -> None:
        """Take the attributes of a snapshot; what an earlier release did not have yet is empty."""
        self.__init__()  # type: ignore[misc]  # fills in what the snapshot lacks
        self.__dict__.update(attributes)

    def apply(self, command: Command) -> Reply:
        """Apply a command; `Rejected` has changed nothing."""
        try:
            reply = self._transition(command)
        except CommandRejected as refusal:
            return Rejected(str(refusal))
        self.record_worst_out()
        return reply

    def apply_encoded(self, encoded: Mapping[str, Any]) -> EncodedReply:
        """Apply the wire form of a command, and give that of the reply; a damaged one changes nothing."""
        try:
            command = decode(encoded)
        except CommandRejected as refusal:
            return encode_reply(Rejected(str(refusal)))
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
        """The state of a wire form. Raises KeyError, TypeError or ValueError."""
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
        """The wire form, for operators and for agents that are no voters: everything, in JSON's types."""
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
