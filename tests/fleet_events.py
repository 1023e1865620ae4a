"""Parses the events that the processes of a fleet log, and counts the instances that were out of service."""

import json
import re
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from tests.relay_process import Json
from tests.standins import Program

STARTED_LINE = re.compile(r"(\w+): started, pid (\d+)")
EVENT_LINE = re.compile(r"(?:\[(\w+)\] )?(\{.*\"t_us\".*)")


class LoggedEvent(NamedTuple):
    """An event, and the name of the instance or agent that logged it."""

    source: str
    event: Json


class StartedProcess(NamedTuple):
    """An instance and the id of the process that an agent started for it, according to its log."""

    instance: str
    pid: int


def control_events(agents: Iterable[Program]) -> list[Json]:
    """Return the control-plane events of these agents, in order of the machine's monotonic clock."""
    events = []
    for agent in agents:
        for line in list(agent.log):
            if line.startswith("{") and '"t_us"' in line:
                events.append(json.loads(line))
    return sorted(events, key=lambda event: event["t_us"])


def events_of_all(agents: Iterable[Program], names: Iterable[str]) -> list[LoggedEvent]:
    """Return the events with these names from the agents and their instances, in order of time."""
    logged_events = []
    for number, agent in enumerate(agents):
        for line in list(agent.log):
            match = EVENT_LINE.match(line)
            if match is not None and (event := json.loads(match[2]))["event"] in names:
                logged_events.append(LoggedEvent(match[1] or f"a{number}", event))
    return sorted(logged_events, key=lambda logged: logged.event["t_us"])


def started_processes(agent: Program) -> list[StartedProcess]:
    """Return the processes that an agent has logged as started."""
    matches = (STARTED_LINE.search(line) for line in list(agent.log))
    return [StartedProcess(match[1], int(match[2])) for match in matches if match is not None]


class OutageChange(NamedTuple):
    """The start (+1) or end (-1) of an instance's time out of service; sorts by time."""

    at_us: int
    change: int
    instance: str


def max_instances_out(events: Iterable[Json]) -> int:
    """Return the highest number of instances that were out of service at once.

    An instance is out from the event `begin` or `take up` of its step until the event `back`, and for good
    after a drain.
    """
    changes = list[OutageChange]()
    for event in events:
        if event["event"] in ("begin", "take up") and event.get("action") != "start":
            changes.append(OutageChange(event["t_us"], 1, event["instance"]))
        elif event["event"] == "back":
            changes.append(OutageChange(event["t_us"], -1, event["instance"]))
    outages = Counter[str]()
    maximum = 0
    for _, change, instance in sorted(changes):
        outages[instance] = max(0, outages[instance] + change)
        maximum = max(maximum, sum(count > 0 for count in outages.values()))
    return maximum
