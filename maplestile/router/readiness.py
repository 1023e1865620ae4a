"""Determines whether a router process is ready, for clients and for operators."""

from maplestile.router.clock import clock
from maplestile.router.components import Components
from maplestile.router.discovery import Discovery


class Readiness:
    """The readiness of one router process."""

    def __init__(self, components: Components, discovery: Discovery) -> None:
        self.components = components
        self.discovery = discovery
        self._list_was_current = False

    def is_ready(self) -> bool:
        """Return whether the router serves clients, either in this process or in its successor."""
        components = self.components
        is_leaving = components.stopping.is_set() and not components.is_successor_ready
        return components.is_listening and bool(components.endpoints.entries) and not is_leaving

    def not_ready_reason(self) -> str:
        """Return the reason why this process cannot serve, as a text for operators; empty if it can."""
        components = self.components
        if components.stopping.is_set():
            return "it was asked to stop"
        if not self.list_is_current():
            return "the name server has not answered yet"
        if components.policy is not None and (reason := components.policy.not_ready_reason()):
            return reason
        if not components.is_listening:
            return "it does not listen yet"
        return "" if components.endpoints.entries else "no runner is listed"

    def list_is_current(self) -> bool:
        """Return whether the name server has answered, or the time limit for its first answer is over.

        The configured runners may be out of date, so the process waits for the name server. The wait is
        limited, since a name server that never answers must not keep the process from serving forever.
        """
        if not self._list_was_current:
            waited_us = clock() - self.components.started_us
            waited_enough = waited_us >= self.components.limits.names.start_wait_us
            self._list_was_current = self.discovery.has_answered or waited_enough
        return self._list_was_current
