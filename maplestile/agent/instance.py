"""One instance of an agent, and the interfaces by which the controllers use it."""

from dataclasses import dataclass
from typing import Protocol

from maplestile.agent.router_client import ANSWER_TIMEOUT_S, ListedRunner, OperatorReply, RouterClient
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.control.commands import HealthReport


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance of the agent: its process, and the client of its operators' front."""

    process: SupervisedProcess
    client: RouterClient


class ProcessHandle(Protocol):
    """One process of the agent, as the controllers use it."""

    @property
    def adopted(self) -> bool:
        """Whether an earlier agent started it."""
        ...

    @property
    def starts(self) -> int:
        """How often it was started or adopted: another number is another process."""
        ...

    async def drain(self) -> str:
        """Stop it gracefully, and wait for its end without a limit; "" for a clean end, else how it ended."""
        ...

    def start(self) -> None:
        """Start it again."""
        ...

    def running(self) -> bool:
        """Whether a process runs, ready or not."""
        ...

    def renew(self) -> None:
        """Read its settings again from the agent's file, for the next start. Raises OperatorError."""
        ...

    def restore(self) -> None:
        """Return to the settings before the last `renew`, for the next start."""
        ...


class RouterApi(Protocol):
    """The calls that a controller makes at a router's operators' front."""

    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = ANSWER_TIMEOUT_S
    ) -> OperatorReply:
        """Call its operators' front; faults are part of the reply."""
        ...

    async def ready(self) -> bool:
        """Whether it runs and takes calls."""
        ...

    async def health_report(self) -> HealthReport:
        """Its readiness, and the calls that it has served and failed since its start."""
        ...

    async def lost_members(self) -> set[str]:
        """Members dead or left in its view, and runners found silent; empty where it has no view."""
        ...

    async def runners(self) -> dict[str, ListedRunner] | None:
        """The runners that it lists, by their ids; None if it does not answer."""
        ...

    async def suspend(self, runner: str, out: bool) -> bool:
        """Cordon a runner if `out`, else lift its cordon; returns whether the router did so."""
        ...


class RouterHandle(Protocol):
    """One router of the agent."""

    @property
    def process(self) -> ProcessHandle:
        """Its process."""
        ...

    @property
    def client(self) -> RouterApi:
        """The client of its operators' front."""
        ...
