"""The policy's part of the replicated state: the epochs, and the change that routers are checking.

It belongs to `control.state.ControlState` and changes only through the functions of `policy.transitions`. It
uses no clock and no random numbers, so that it is the same at every voter.
"""

from collections.abc import Mapping
from typing import Any

from maplestile.control.policy.change import (
    Change,
    ChangePhase,
    Epoch,
    decode_change,
    decode_epoch,
)
from maplestile.control.record_codec import encode_record

__all__ = ["AgreedPolicies", "Change", "ChangePhase", "Epoch"]

MAX_EPOCHS = 8  # the current epoch, and earlier ones that a rollback can bring back
MAX_PAST_CHANGES = 20  # past changes, shown to operators without their documents
NO_EPOCH = -1  # a number that no epoch has


class AgreedPolicies:
    """The epochs, the last change, and the last policy read that named each instance."""

    def __init__(self) -> None:
        self.epochs = [Epoch(0, None)]  # the oldest first; the last one is committed
        self.change: Change | None = None  # the last proposed change; None before the first
        self.history: list[Change] = []  # earlier changes, the oldest first, without their documents
        self.number = 0  # of the last change; 0 before the first
        self.reads = 0  # how many policy reads have been applied
        self.members: dict[str, int] = {}  # by instance: the number of the last read that named it

    @property
    def epoch(self) -> Epoch:
        """The committed epoch."""
        return self.epochs[-1]

    def was_named_since_proposal(self, name: str) -> bool:
        """Return whether a read since the proposal of the last change has named this instance.

        Such an instance may be taking calls under the committed epoch.
        """
        return self.change is not None and self.members.get(name, 0) > self.change.reads

    def change_being_checked(self) -> Change | None:
        """Return the change that is being checked; None if there is none."""
        change = self.change
        return change if change is not None and change.phase is ChangePhase.CHECKING else None

    def kept_epoch(self, number: int) -> Epoch | None:
        """Return the epoch with this number; None if it is no longer kept."""
        return next((epoch for epoch in self.epochs if epoch.number == number), None)

    def previous_epoch_number(self) -> int:
        """Return the number of the epoch before the current one, or `NO_EPOCH`.

        If the current epoch is a rollback, that is the epoch before the one that it brought back.
        """
        current = self.epoch.number if self.epoch.rollback is None else self.epoch.rollback
        return max((epoch.number for epoch in self.epochs if epoch.number < current), default=NO_EPOCH)

    def replace_change(self, change: Change) -> None:
        """Make this the change that is being checked, and move the last one to the history.

        The history keeps changes without their documents.
        """
        if self.change is not None:
            self.change.document = None
            self.history = [*self.history, self.change][-MAX_PAST_CHANGES:]
        self.number = change.number
        self.change = change

    def add_epoch(self, change: Change) -> Epoch:
        """Add an epoch with the document of this change and return it."""
        epoch = Epoch(self.epoch.number + 1, change.document, change.number, change.rollback)
        self.epochs = [*self.epochs, epoch][-MAX_EPOCHS:]
        return epoch

    def remove_unregistered_members(self, instances: Mapping[str, str]) -> None:
        """Remove the reads of names that are no longer among the instances."""
        self.members = {name: read for name, read in self.members.items() if name in instances}

    # The wire form.

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "AgreedPolicies":
        """Decode the state from its wire form. Raises KeyError, TypeError or ValueError if it is invalid."""
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
        """Return the whole state as JSON types."""
        return {
            "epochs": [encode_record(epoch) for epoch in self.epochs],
            "change": None if self.change is None else encode_record(self.change),
            "history": [encode_record(change) for change in self.history],
            "number": self.number,
            "reads": self.reads,
            "members": dict(self.members),
        }
