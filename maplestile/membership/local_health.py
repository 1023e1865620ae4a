"""Lifeguard's local health multiplier: a member that may itself be slow gives the others more time.

Source: Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational Awareness" (2017), section 4.1.
"""

from maplestile.membership.tuning import Tuning


class LocalHealth:
    """A saturating counter; 0 is healthy, and higher means slower. It stays at 0 if Lifeguard is off."""

    def __init__(self, tuning: Tuning) -> None:
        self.score = 0
        self._max_score = tuning.local_health_max if tuning.lifeguard else 0

    @property
    def multiplier(self) -> int:
        """The factor by which the probe period and the ack timeout are multiplied."""
        return self.score + 1

    def improve(self) -> None:
        """Lower the score after a probe that was acked in time."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """Raise the score after a sign that this member itself is slow."""
        self.score = min(self._max_score, self.score + 1)
