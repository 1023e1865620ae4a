"""The client of an instance's operators' front: readiness, metrics, members, runners and other requests."""

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
from maplestile.invoke.operator_file import OperatorError, read_tables
from maplestile.operation.api import MEMBERS_PATH, METRICS_PATH, READY_PATH, RUNNERS_PATH
from maplestile.operation.client import CallError, call

ANSWER_TIMEOUT_S = 3.0
SUSPEND_PATH = RUNNERS_PATH + "/{}/suspend"
RESUME_PATH = RUNNERS_PATH + "/{}/resume"
CALLS_METRIC = "svc_{}_total{{"  # start of a metric line: one line per outcome and class


@dataclass(slots=True, frozen=True)
class OperatorReply:
    """The reply of an operators' front, or the reason why there is none."""

    ok: bool  # whether the front replied with a status below 300
    text: str  # the body, or the error
    status: int | None = None  # the HTTP status; None if there was no reply
    has_front: bool = True  # whether the instance has an operators' front

    def encoded(self) -> dict[str, Any]:
        """Return the wire form for the agent's clients."""
        reply: dict[str, Any] = {"ok": self.ok, "told": self.text}
        if self.status is not None:
            reply["status"] = self.status
        if not self.has_front:
            reply["no_front"] = True
        return reply


@dataclass(slots=True, frozen=True)
class ListedRunner:
    """The state of a runner in a router's runner list."""

    suspended: bool  # whether an operator or an agent has cordoned it
    in_flight: int  # number of attempts in flight


class InstanceProcess(Protocol):
    """The process of the instance that has the front."""

    @property
    def settings(self) -> InstanceSettings:
        """The settings of the instance, with the address of its front."""
        ...

    def is_running(self) -> bool:
        """Return whether a process runs; if not, another program may be using the address by now."""
        ...


class RouterClient:
    """The client of one instance's operators' front."""

    def __init__(self, process: InstanceProcess) -> None:
        self.process = process

    async def send_request(
        self, method: str, path: str, content: bytes = b"", timeout_s: float = ANSWER_TIMEOUT_S
    ) -> OperatorReply:
        """Send a request and return the reply; an error is returned as a reply that is not `ok`."""
        try:
            address = _operator_address(self.process.settings)
            if not address:
                return OperatorReply(False, "it has no operators' front", has_front=False)
            response = await call(parse_address(address), method, path, timeout_s, content)
        except (CallError, OperatorError) as error:
            return OperatorReply(False, str(error))
        text = response.body
        if response.status >= HTTPStatus.BAD_REQUEST:
            text = _error_detail(text)
        return OperatorReply(response.status < HTTPStatus.MULTIPLE_CHOICES, text.strip(), response.status)

    async def is_ready(self) -> bool:
        """Return whether the instance runs and accepts calls."""
        return self.process.is_running() and (await self.send_request("GET", READY_PATH)).ok

    async def fetch_health_report(self) -> HealthReport:
        """Return the router's readiness, and its numbers of served and failed calls since its start."""
        ready, metrics = await asyncio.gather(self.is_ready(), self.send_request("GET", METRICS_PATH))
        text = metrics.text if metrics.ok else ""
        return HealthReport(ready, _count_calls(text, "success"), _count_calls(text, "failure"))

    async def fetch_lost_members(self) -> set[str] | None:
        """Return the members that the router sees as dead or left, and the runners that do not respond.

        The set is empty if the router has no view of the members. None means that the router did not answer.
        """
        reply = await self.send_request("GET", MEMBERS_PATH)
        if not reply.has_front or reply.status == HTTPStatus.NOT_FOUND:
            return set()
        if not reply.ok:
            return None
        try:
            view = json.loads(reply.text)
            lost = {member["name"] for member in view["members"] if member["status"] in ("dead", "left")}
            return lost | set((view.get("watch") or {}).get("silent", ()))
        except (ValueError, KeyError, TypeError):
            return None

    async def fetch_runners(self) -> dict[str, ListedRunner] | None:
        """Return the runners that the router lists, by runner id, or None if the router does not answer."""
        reply = await self.send_request("GET", RUNNERS_PATH)
        if not reply.ok:
            return None
        try:
            listed = json.loads(reply.text)["runners"]
            return {runner["id"]: ListedRunner(runner["suspended"], runner["inflight"]) for runner in listed}
        except (ValueError, KeyError, TypeError):
            return None

    async def set_suspended(self, runner: str, suspended: bool) -> bool:
        """Cordon a runner or lift its cordon; return whether the router accepted the request."""
        path = SUSPEND_PATH if suspended else RESUME_PATH
        return (await self.send_request("PUT", path.format(quote(runner, safe="")))).ok


def _error_detail(body: str) -> str:
    """Return the detail of an error response, or the whole body if there is none that is a text."""
    with contextlib.suppress(ValueError, KeyError, TypeError, RecursionError):
        detail = json.loads(body)["detail"]
        if isinstance(detail, str):
            return detail
    return body


def _operator_address(settings: InstanceSettings) -> str:
    """Return the `host:port` of the operators' front, or "" if there is none. Raises OperatorError."""
    if settings.operator_address or settings.router_file is None:
        return settings.operator_address
    operation = TomlTable(read_tables(settings.router_file), "", OperatorError).table("operation")
    return operation.loopback("listen") if operation.values else ""


def _count_calls(metrics: str, outcome: str) -> int:
    """Return the number of calls with an outcome, summed over all classes."""
    prefix = CALLS_METRIC.format(outcome)
    return sum(int(line.rpartition(" ")[2]) for line in metrics.splitlines() if line.startswith(prefix))
