"""What the steps of routers and of runners share: their context, log events and processes."""

from collections.abc import Mapping
from dataclasses import dataclass

from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.replicated_log import LogClient
from maplestile.common import logs
from maplestile.control.rollout import REPLACE, RESTORE, Lease


@dataclass(slots=True, frozen=True)
class StepContext:
    """The agent that the steps run at, and what they work on."""

    agent: str
    log_client: LogClient
    routers: Mapping[str, RouterHandle]  # by instance
    processes: Mapping[str, ProcessHandle]  # of the runners that are managed here, by their ids


class StepEvents:
    """Logs the events of one step, each with its instance and the number of its lease."""

    def __init__(self, lease: Lease) -> None:
        self.instance = lease.instance
        self.lease = lease.number
        self.events = logs.events("control")

    def info(self, event: str, **fields: object) -> None:
        """Log an event of the step."""
        self.events.info(event, **fields, instance=self.instance, lease=self.lease)

    def error(self, event: str, **fields: object) -> None:
        """Log a fault in the step, which goes on."""
        self.events.error(event, **fields, instance=self.instance, lease=self.lease)


async def drain_process(process: ProcessHandle, events: StepEvents) -> None:
    """Drain a process, and wait for its end; it finishes its calls in flight, and is never killed."""
    fault = await process.drain()
    if fault:
        events.error("unclean end", fault=fault)
    else:
        events.info("drained")


def change_settings(action: str, process: ProcessHandle, events: StepEvents) -> None:
    """Change the settings of the next start, where the action is a replacement or its undo."""
    try:
        if action == REPLACE:
            process.renew()
        elif action == RESTORE:
            process.restore()
    except Exception as fault:  # with a file that cannot be read the old settings stay, and the step goes on
        events.error("not replaced", fault=str(fault))
