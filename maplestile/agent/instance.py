"""The instances of an agent, and the interfaces by which the controllers use them."""

from dataclasses import dataclass
from typing import Protocol

from maplestile.agent.router_client import ANSWER_TIMEOUT_S, ListedRunner, OperatorReply, RouterClient
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.control.commands import HealthReport


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance of the agent: its process and the client of its operators' front."""

    process: SupervisedProcess
    client: RouterClient


class ProcessHandle(Protocol):
    """The interface by which the controllers use the process of an instance."""

    @property
    def is_adopted(self) -> bool:
        """Whether an earlier agent started the current process."""
        ...

    @property
    def starts(self) -> int:
        """The number of times a process was started or adopted; if it has changed, so has the process."""
        ...

    async def drain(self) -> str:
        """Stop the process gracefully and wait, without a time limit, until it has ended.

        Returns "" after a clean exit, else how the process ended.
        """
        ...

    def start(self) -> None:
        """Let the process be started again after a drain."""
        ...

    def is_running(self) -> bool:
        """Return whether a process runs; it need not be ready yet."""
        ...

    def reload_settings(self) -> None:
        """Reload the settings from the agent's file, for the next start. Raises OperatorError."""
        ...

    def restore_settings(self) -> None:
        """Restore the settings before the last `reload_settings`, for the next start."""
        ...


class RouterApi(Protocol):
    """The requests that the controllers make to the operators' front of a router."""

    async def send_request(
        self, method: str, path: str, content: bytes = b"", timeout_s: float = ANSWER_TIMEOUT_S
    ) -> OperatorReply:
        """Send a request and return the reply; an error is returned as a reply that is not `ok`."""
        ...

    async def is_ready(self) -> bool:
        """Return whether the router runs and accepts calls."""
        ...

    async def fetch_health_report(self) -> HealthReport:
        """Return the router's readiness, and its numbers of served and failed calls since its start."""
        ...

    async def fetch_lost_members(self) -> set[str] | None:
        """Return the members that the router sees as dead or left, and the runners that do not respond.

        The set is empty if the router has no view of the members. None means that the router did not answer.
        """
        ...

    async def fetch_runners(self) -> dict[str, ListedRunner] | None:
        """Return the runners that the router lists, by runner id, or None if the router does not answer."""
        ...

    async def set_suspended(self, runner: str, suspended: bool) -> bool:
        """Cordon a runner or lift its cordon; return whether the router accepted the request."""
        ...


class RouterHandle(Protocol):
    """One router of the agent: its process, and the client of its operators' front."""

    @property
    def process(self) -> ProcessHandle:
        """The process of the router."""
        ...

    @property
    def client(self) -> RouterApi:
        """The client of the router's operators' front."""
        ...
