"""The state of a listed runner as the operators' front shows it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RunnerView:
    """The state of one listed runner at the time of the request."""

    id: str  # the id of the runner
    suspended: bool  # cordoned by an operator
    avoided: bool  # by the dispatcher: ejected, not accepting connections, or in a lost zone
    inflight: int  # attempts in flight at the runner

    def as_json(self) -> dict[str, str | bool | int]:
        """Return the state as a dictionary of JSON values, with the keys in the order of the response."""
        return {
            "id": self.id,
            "suspended": self.suspended,
            "avoided": self.avoided,
            "inflight": self.inflight,
        }
