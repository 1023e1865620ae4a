"""The client of the operators' front of an instance: its readiness, metrics, members and runners."""

import asyncio
import contextlib
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import quote

from maplestile.agent.settings import InstanceSettings
from maplestile.common.address import parse_address
from maplestile.common.toml_table import TomlTable
from maplestile.control.commands import HealthReport
from maplestile.invoke.operator_file import OperatorError
from maplestile.invoke.operator_file import read as read_operator
from maplestile.operation.api import MEMBERS, METRICS, READY, RUNNERS
from maplestile.operation.client import CallError, call

ANSWER_TIMEOUT_S = 3.0
SUSPEND_PATH = RUNNERS + "/{}/suspend"
RESUME_PATH = RUNNERS + "/{}/resume"
CALLS_METRIC = "svc_{}_total{{"  # by class, so one line for each


@dataclass(slots=True, frozen=True)
class OperatorReply:
    """What an operators' front has answered, or why there is no answer."""

    ok: bool
    text: str  # the body, or what went wrong
    status: int | None = None  # None where it gave no answer
    has_front: bool = True

    def encoded(self) -> dict[str, Any]:
        """The form in which the agent's clients read it."""
        reply: dict[str, Any] = {"ok": self.ok, "told": self.text}
        if self.status is not None:
            reply["status"] = self.status
        if not self.has_front:
            reply["no_front"] = True
        return reply


@dataclass(slots=True, frozen=True)
class ListedRunner:
    """A runner as a router lists it."""

    suspended: bool
    in_flight: int  # attempts


class InstanceProcess(Protocol):
    """The process that the front belongs to."""

    @property
    def settings(self) -> InstanceSettings:
        """Where its front listens."""
        ...

    def running(self) -> bool:
        """Whether a process runs; otherwise the address may be another's by now."""
        ...


class RouterClient:
    """The client of one instance's operators' front."""

    def __init__(self, process: InstanceProcess) -> None:
        self.process = process

    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = ANSWER_TIMEOUT_S
    ) -> OperatorReply:
        """Call its operators' front; faults are part of the reply."""
        try:
            address = _operator_address(self.process.settings)
            if not address:
                return OperatorReply(False, "it has no operators' front", has_front=False)
            response = await call(parse_address(address), method, path, wait_s, content)
        except (CallError, OperatorError) as fault:
            return OperatorReply(False, str(fault))
        text = response.body
        if response.status >= HTTPStatus.BAD_REQUEST:
            with contextlib.suppress(ValueError, KeyError, TypeError):
                text = json.loads(text)["detail"]
        return OperatorReply(response.status < HTTPStatus.MULTIPLE_CHOICES, text.strip(), response.status)

    async def ready(self) -> bool:
        """Whether it runs and takes calls."""
        return self.process.running() and (await self.operate("GET", READY)).ok

    async def health_report(self) -> HealthReport:
        """Its readiness, and the calls that it has served and failed since its start."""
        ready, metrics = await asyncio.gather(self.ready(), self.operate("GET", METRICS))
        text = metrics.text if metrics.ok else ""
        return HealthReport(ready, _calls_in(text, "success"), _calls_in(text, "failure"))

    async def lost_members(self) -> set[str]:
        """Members dead or left in its view, and runners found silent; empty where it has no view."""
        reply = await self.operate("GET", MEMBERS)
        if not reply.ok:
            return set()
        try:
            view = json.loads(reply.text)
            lost = {member["name"] for member in view["members"] if member["status"] in ("dead", "left")}
            return lost | set((view.get("watch") or {}).get("silent", ()))
        except (ValueError, KeyError, TypeError):
            return set()

    async def runners(self) -> dict[str, ListedRunner] | None:
        """The runners that it lists, by their ids; None if it does not answer."""
        reply = await self.operate("GET", RUNNERS)
        if not reply.ok:
            return None
        try:
            listed = json.loads(reply.text)["runners"]
            return {runner["id"]: ListedRunner(runner["suspended"], runner["inflight"]) for runner in listed}
        except (ValueError, KeyError, TypeError):
            return None

    async def suspend(self, runner: str, out: bool) -> bool:
        """Cordon a runner if `out`, else lift its cordon; returns whether the router did so."""
        path = SUSPEND_PATH if out else RESUME_PATH
        return (await self.operate("PUT", path.format(quote(runner, safe="")))).ok


def _operator_address(settings: InstanceSettings) -> str:
    """HOST:PORT of the front; empty where there is none. Raises OperatorError."""
    if settings.operator_address or settings.router_file is None:
        return settings.operator_address
    operation = TomlTable(read_operator(settings.router_file), "", OperatorError).table("operation")
    return operation.loopback("listen") if operation.values else ""


def _calls_in(metrics: str, outcome: str) -> int:
    prefix = CALLS_METRIC.format(outcome)
    return sum(int(line.rpartition(" ")[2]) for line in metrics.splitlines() if line.startswith(prefix))
