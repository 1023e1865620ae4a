"""The agreed state of the policy: its epochs, and the change that is being checked.

It is a part of `control.state.ControlState`, and only the functions of `policy.transitions` change it. It
reads no clock and draws no random numbers, so every voter has the same.
"""

from collections.abc import Mapping
from typing import Any

from maplestile.control.policy.change import (
    Change,
    Epoch,
    Phase,
    decode_change,
    decode_epoch,
)
from maplestile.control.record_codec import encode_record

__all__ = ["AgreedPolicies", "Change", "Epoch", "Phase"]

EPOCHS_KEPT = 8  # for rollbacks
CHANGES_KEPT = 20  # shown to operators, without their documents
NO_EPOCH = -1


class AgreedPolicies:
    """The epochs, the last change, and which instances have been let serve by which read."""

    def __init__(self) -> None:
        self.epochs = [Epoch(0, None)]
        self.change: Change | None = None
        self.history: list[Change] = []  # decided, their documents left out
        self.number = 0  # of the last change
        self.reads = 0
        self.members: dict[str, int] = {}  # by instance: the number of the last read that let it serve

    @property
    def epoch(self) -> Epoch:
        """The committed epoch."""
        return self.epochs[-1]

    def serves(self, name: str) -> bool:
        """Whether a read has let this instance serve since the change was proposed."""
        return self.change is not None and self.members.get(name, 0) > self.change.reads

    def checking(self) -> Change | None:
        """The change that is being checked."""
        change = self.change
        return change if change is not None and change.phase is Phase.CHECKING else None

    def kept_epoch(self, number: int) -> Epoch | None:
        """The epoch of this number, where it is still kept."""
        return next((epoch for epoch in self.epochs if epoch.number == number), None)

    def previous_epoch_number(self) -> int:
        """The epoch in force before the current one; of a rollback, before what it brought back."""
        current = self.epoch.number if self.epoch.rollback is None else self.epoch.rollback
        return max((epoch.number for epoch in self.epochs if epoch.number < current), default=NO_EPOCH)

    def replace_change(self, change: Change) -> None:
        """Make this the change that is being checked; the decided one is kept without its document."""
        if self.change is not None:
            self.change.document = None
            self.history = [*self.history, self.change][-CHANGES_KEPT:]
        self.number = change.number
        self.change = change

    def add_epoch(self, change: Change) -> Epoch:
        """Make the change's document the policy of a new epoch."""
        epoch = Epoch(self.epoch.number + 1, change.document, change.number, change.rollback)
        self.epochs = [*self.epochs, epoch][-EPOCHS_KEPT:]
        return epoch

    def forget_members(self, instances: Mapping[str, str]) -> None:
        """Remove those that are no longer among the instances."""
        self.members = {name: read for name, read in self.members.items() if name in instances}

    # The wire form.

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "AgreedPolicies":
        """The state of a wire form. Raises KeyError, TypeError or ValueError."""
        agreed = cls()
        change = encoded["change"]
        agreed.epochs = [decode_epoch(epoch) for epoch in encoded["epochs"]]
        agreed.change = None if change is None else decode_change(change)
        agreed.history = [decode_change(decided) for decided in encoded["history"]]
        agreed.number = int(encoded["number"])
        agreed.reads = int(encoded["reads"])
        agreed.members = dict(encoded["members"])
        return agreed

    def encoded(self) -> dict[str, Any]:
        """The wire form: everything, in JSON's types."""
        return {
            "epochs": [encode_record(epoch) for epoch in self.epochs],
            "change": None if self.change is None else encode_record(self.change),
            "history": [encode_record(change) for change in self.history],
            "number": self.number,
            "reads": self.reads,
            "members": dict(self.members),
        }
