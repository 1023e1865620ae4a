"""What the operators' front needs of a router's part in the fleet's policy."""

from collections.abc import Callable
from typing import Any, Protocol


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

    def metrics(self) -> dict[str, float]:
        """Return the values of the metrics in `operation.metrics.POLICY`, by name."""
        ...
