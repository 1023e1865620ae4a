"""The events that the processes of a fleet log, and what is read from them."""

import json
import re
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from tests.relay_process import Json
from tests.standins import Program

STARTED = re.compile(r"(\w+): started, pid (\d+)")
ROUTER_OR_AGENT_EVENT = re.compile(r"(?:\[(\w+)\] )?(\{.*\"t_us\".*)")


class LoggedEvent(NamedTuple):
    """An event, and the instance or agent that logged it."""

    source: str
    event: Json


class StartedProcess(NamedTuple):
    """A process that an agent has logged as started."""

    instance: str
    pid: int


def control_events(agents: Iterable[Program]) -> list[Json]:
    """The events of the control plane at these agents, in order of the machine's monotonic clock."""
    found = []
    for agent in agents:
        for line in list(agent.log):
            if line.startswith("{") and '"t_us"' in line:
                found.append(json.loads(line))
    return sorted(found, key=lambda event: event["t_us"])


def events_of_all(agents: Iterable[Program], names: Iterable[str]) -> list[LoggedEvent]:
    """The events of these names at the agents and at their instances, in order of time."""
    found = []
    for number, agent in enumerate(agents):
        for line in list(agent.log):
            match = ROUTER_OR_AGENT_EVENT.match(line)
            if match is not None and (event := json.loads(match[2]))["event"] in names:
                found.append(LoggedEvent(match[1] or f"a{number}", event))
    return sorted(found, key=lambda logged: logged.event["t_us"])


def started_processes(agent: Program) -> list[StartedProcess]:
    """The processes that an agent has logged as started."""
    matches = (STARTED.search(line) for line in list(agent.log))
    return [StartedProcess(match[1], int(match[2])) for match in matches if match is not None]


class OutageChange(NamedTuple):
    """The begin (+1) or end (-1) of an instance's outage, sorted by its time."""

    at_us: int
    change: int
    instance: str


def max_instances_out(events: Iterable[Json]) -> int:
    """The most instances out at once: from `step begun` to `back in service`, or for good after a drain."""
    changes = list[OutageChange]()
    for event in events:
        if event["event"] in ("step begun", "step resumed") and event.get("action") != "start":
            changes.append(OutageChange(event["t_us"], 1, event["instance"]))
        elif event["event"] == "back in service":
            changes.append(OutageChange(event["t_us"], -1, event["instance"]))
    out = Counter[str]()
    most = 0
    for _, change, instance in sorted(changes):
        out[instance] = max(0, out[instance] + change)
        most = max(most, sum(count > 0 for count in out.values()))
    return most
