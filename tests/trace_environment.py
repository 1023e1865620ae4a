"""Simulate the clients, workers and zones around one dispatcher by discrete events.

The simulation reacts to each action, so that its events depend only on the seed and on the dispatcher's
decisions.
"""

from collections.abc import Callable

from maplestile.dispatch import api
from tests.trace_clients import UNLISTED_US, Clients
from tests.trace_simulation import Handle, Simulation
from tests.trace_variants import MS
from tests.trace_workers import Workers

EPISODE_GAP_US = 1_500 * MS  # mean time between two episodes


class Environment:
    """The clients, workers and worker list around one dispatcher, in simulated time."""

    def __init__(self, settings: api.Settings, seed: int, handle: Handle) -> None:
        self.simulation = Simulation(settings, seed, handle, self.react)
        self.clients = Clients(self.simulation)
        self.workers = Workers(self.simulation, self.clients.calls)

    def run(self, events: int, start_episode: Callable[[], None]) -> None:
        """Run until the dispatcher has handled `events` events; the first episode starts after a gap."""
        simulation = self.simulation
        simulation.give(api.WorkerListReceived(api.ListKind.FAILED, 0, ()))
        simulation.give(api.WorkerListReceived(api.ListKind.FULL, 1, ()))
        simulation.after(MS, self.clients.arrive)
        simulation.after(UNLISTED_US, self.list_workers)
        simulation.after(EPISODE_GAP_US, start_episode)
        simulation.run_until(events)

    def list_workers(self) -> None:
        """Pass a list of all workers to the dispatcher."""
        self.simulation.give(self.workers.complete_list(api.ListKind.FULL))

    def react(self, action: api.Action) -> None:
        """React to an action of the dispatcher."""
        match action:
            case api.SetTimer():
                self.set_timer(action)
            case api.SendAttempt():
                self.workers.serve(action)
            case api.CancelAttempt():
                self.workers.cancel(action)
            case api.RequestLoad():
                self.workers.load(action)
            case api.SendHealthCheck():
                self.workers.check_health(action)
            case api.WatchEndpoints():
                self.simulation.after(20 * MS, self.list_workers)
            case api.RejectCall():
                self.clients.reject(action)
            case api.FailCall():
                self.clients.calls[action.call].ended = True

    def set_timer(self, action: api.SetTimer) -> None:
        """Schedule a timer, which occasionally fires twice."""
        delay_us = action.due_us - self.simulation.now_us
        self.simulation.give_after(delay_us, api.TimerFired(action.token))
        if self.simulation.chance(0.002):
            self.simulation.give_after(delay_us, api.TimerFired(action.token))
