"""A listed runner as operators see it, and its form on the operators' front."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RunnerView:
    """One listed runner at the moment of the call."""

    id: str
    suspended: bool  # cordoned by an operator
    avoided: bool  # left out by the decisions' own choice
    inflight: int  # attempts in flight there

    def as_json(self) -> dict[str, str | bool | int]:
        """Return it in JSON's types, in the order of the answer."""
        return {
            "id": self.id,
            "suspended": self.suspended,
            "avoided": self.avoided,
            "inflight": self.inflight,
        }
