"""One instance of an agent, and the parts of it that the controllers see."""

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
    """What a controller does with one process of its agent."""

    @property
    def adopted(self) -> bool:
        """Whether it was started by an agent before this one, which left it behind."""
        ...

    @property
    def starts(self) -> int:
        """How often it was started or adopted: another number is another process."""
        ...

    async def drain(self) -> str:
        """Ask it to stop, and wait for its end however long that takes; "" for a clean one, else how."""
        ...

    def start(self) -> None:
        """Have it running again."""
        ...

    def running(self) -> bool:
        """Whether there is a process, ready or not."""
        ...

    def renew(self) -> None:
        """Use the agent's file as it is now, from the next start on. Raises OperatorError."""
        ...

    def restore(self) -> None:
        """Use the settings before the last `renew`, from the next start on."""
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
        """Have it use a runner no more, or again if not `out`; whether it did."""
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
