"""What the rollout steps of routers and of runners share: context, logged events, actions on a process."""

from collections.abc import Mapping
from dataclasses import dataclass

from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.replicated_log import LogClient
from maplestile.common import logs
from maplestile.control.rollout import REPLACE, RESTORE, Lease


@dataclass(slots=True, frozen=True)
class StepContext:
    """The agent that runs the steps, with its log client, routers and runner processes."""

    agent: str
    log_client: LogClient
    routers: Mapping[str, RouterHandle]  # by instance
    processes: Mapping[str, ProcessHandle]  # of the runners that this agent manages, by runner id


class StepEvents:
    """Logs the events of one step, each with the instance and the lease number."""

    def __init__(self, lease: Lease) -> None:
        self.instance = lease.instance
        self.lease = lease.number
        self.events = logs.events("control")

    def info(self, event: str, **fields: object) -> None:
        """Log an event of the step."""
        self.events.info(event, **fields, instance=self.instance, lease=self.lease)

    def error(self, event: str, **fields: object) -> None:
        """Log an error that does not stop the step."""
        self.events.error(event, **fields, instance=self.instance, lease=self.lease)


async def drain_process(process: ProcessHandle, events: StepEvents) -> None:
    """Drain a process and wait until it has ended; it finishes its calls in flight and is never killed."""
    exit_error = await process.drain()
    if exit_error:
        events.error("unclean exit", fault=exit_error)
    else:
        events.info("drained")


def change_settings(action: str, process: ProcessHandle, events: StepEvents) -> None:
    """Change the settings for the next start if the action is a replacement or the undo of one."""
    try:
        if action == REPLACE:
            process.reload_settings()
        elif action == RESTORE:
            process.restore_settings()
    except Exception as error:  # such as an unreadable file: the old settings stay and the step continues
        events.error("settings not changed", fault=str(error))
