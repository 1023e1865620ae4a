"""What the operators' front needs of a router's part in the fleet's policy."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(slots=True, frozen=True)
class PolicyMetrics:
    """The values of the metrics of a router's policy; a state is 1 where it holds, else 0."""

    epoch: float  # in force; 0 where none is on record
    stale: float
    stale_s: float  # for how long its epoch has not been known to be the committed one
    refused: float
    reloads_refused: float
    mixed_calls: float


class PolicyOperations(Protocol):
    """The router's policy driver as the operators' front sees it."""

    def check(self, proposal: object, /) -> dict[str, Any]:
        """Return whether a proposed policy would fit this router. Raises ConfigError or ValueError."""
        ...

    def hear(self, announcement: object, reply: Callable[[dict[str, Any]], None], /) -> None:
        """Take the agent's announcement of the committed epoch, and reply once, now or later.

        Raises ConfigError or ValueError.
        """
        ...

    def view(self) -> dict[str, Any]:
        """Return the epoch in force and its status."""
        ...

    def metrics(self) -> PolicyMetrics:
        """Return the metrics at this moment."""
        ...
