"""The transition of `Register`, by which an agent reports its instances and runners."""

from collections.abc import Mapping

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import Accepted, Register
from maplestile.control.fleet import FleetState


def register(fleet: FleetState, command: Register) -> Accepted:
    """Replace the agent's list of instances; those no longer listed are removed unless they have a lease."""
    for name in command.instances:
        if fleet.instances.get(name, command.agent) != command.agent:
            raise CommandRejected(f"instance '{name}' is managed by {fleet.instances[name]}")
    registered = [name for name, agent in fleet.instances.items() if agent == command.agent]
    for name in registered:
        if name not in command.instances and name not in fleet.leases:
            del fleet.instances[name]
    fleet.instances.update(dict.fromkeys(command.instances, command.agent))
    if command.runners is not None:
        _update_runners(fleet, command.agent, command.runners)
    return Accepted()


def _update_runners(fleet: FleetState, agent: str, runners: Mapping[str, bool]) -> None:
    """Update the runners that the agent's routers list.

    `runners` maps each name to whether the agent manages the runner's process. Runners that are no longer
    listed by any agent are removed unless they have a lease.
    """
    fleet.listed[agent] = sorted(runners)
    for name, managed in runners.items():
        if managed or name not in fleet.runners:
            fleet.runners[name] = agent if managed else ""
    listed = {name for names in fleet.listed.values() for name in names}
    fleet.runners = {
        name: manager
        for name, manager in sorted(fleet.runners.items())
        if name in listed or name in fleet.leases
    }
