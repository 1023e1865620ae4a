"""Lifeguard's local health multiplier: a member that may itself be slow is more patient with the others.

Source: Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational Awareness" (2017), section 4.1.
"""

from maplestile.membership.tuning import Tuning


class LocalHealth:
    """A saturating counter; 0 is healthy. It stays at 0 where Lifeguard is off."""

    def __init__(self, tuning: Tuning) -> None:
        self.score = 0
        self._max_score = tuning.local_health_max if tuning.lifeguard else 0

    @property
    def multiplier(self) -> int:
        """By how much the probe period and the ack timeout are stretched."""
        return self.score + 1

    def improve(self) -> None:
        """Count a probe that was acked in time."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """Count one sign that this member itself is slow."""
        self.score = min(self._max_score, self.score + 1)
