"""Simulate the clients of a generated trace, which send, repeat and abandon calls."""

from dataclasses import dataclass, replace
from random import Random

from maplestile.dispatch import api
from tests.trace_simulation import START_US, Simulation
from tests.trace_variants import CLASSES, MS

UNLISTED_US = 40 * MS  # initial time without any listed worker
FUNCTIONS = 700
BROKEN_FUNCTIONS = 12  # functions whose calls always fail
TENANTS = ("", "north", "south")
CLASS_WEIGHTS = (40, 10, 15, 10, 10, 15)  # relative frequencies of the classes in `CLASSES`
MEAN_GAP_US = 30 * MS  # mean time between two calls


@dataclass(slots=True)
class ClientCall:
    """The state of a call from its client's point of view."""

    arrival: api.CallArrived
    ended: bool = False
    attempts: int = 0  # attempts sent so far


class Clients:
    """All clients together, which send calls at random times."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.calls: dict[int, ClientCall] = {}  # by call number
        self.popularity = [1 / (rank + 1) ** 2 + 1 / 1_500 for rank in range(FUNCTIONS)]

    def function(self) -> str:
        """Return a random function for a call."""
        if self.simulation.chance(0.02):
            return f"broken-{self.simulation.random.randrange(BROKEN_FUNCTIONS)}"
        rank = self.simulation.random.choices(range(FUNCTIONS), self.popularity)[0]
        phase = (self.simulation.now_us - START_US) // (15_000 * MS)  # popular functions change over time
        return f"function-{(rank + 7 * phase) % FUNCTIONS}"

    def arrive(self) -> None:
        """Simulate the arrival of a call, and schedule the next one."""
        rate_factor = 5 if self.simulation.now_us < self.simulation.overload_until_us else 1
        self.simulation.after(self.simulation.around(MEAN_GAP_US // rate_factor), self.arrive)
        call_class = self.simulation.random.choices(CLASSES, CLASS_WEIGHTS)[0]
        name = self.function()
        function_random = Random(name)  # gives the same values for all calls of the function
        are_workers_listed = self.simulation.now_us >= START_US + UNLISTED_US
        self.start(
            api.CallArrived(
                call=len(self.calls),
                function=name,
                class_name=call_class.name,
                budget_us=self.simulation.random.choice((400, 1_500, 3_000, 4_000)) * MS,
                memory_mb=float(function_random.choice((100, 200, 400))) if are_workers_listed else 0.0,
                lanes=function_random.choice((0, 1, 2, 4)),
                cost_us=self.simulation.random.choice((0, 0, 0, 60 * MS, 500 * MS)),
                tenant=self.simulation.random.choice(TENANTS),
            )
        )

    def start(self, arrival: api.CallArrived) -> None:
        """Pass a call to the dispatcher; its client may disconnect later."""
        self.calls[arrival.call] = ClientCall(arrival)
        self.simulation.give(arrival)
        self.simulation.after(arrival.budget_us, lambda: self.expire(arrival.call))
        if self.simulation.chance(0.03):
            self.simulation.after(self.simulation.around(300 * MS), lambda: self.disconnect(arrival.call))

    def expire(self, call: int) -> None:
        """Let the time budget of a call run out."""
        if not self.calls[call].ended:
            self.calls[call].ended = True
            self.simulation.give(api.CallExpired(call))

    def disconnect(self, call: int) -> None:
        """Disconnect the client of a call."""
        if not self.calls[call].ended or self.simulation.chance(0.1):
            self.simulation.give(api.ClientDisconnected(call))

    def reject(self, action: api.RejectCall) -> None:
        """End a rejected call; some clients repeat it later."""
        client_call = self.calls[action.call]
        client_call.ended = True
        if self.simulation.chance(0.4):
            self.simulation.after(action.retry_after_us, lambda: self.repeat(client_call.arrival))

    def repeat(self, arrival: api.CallArrived) -> None:
        """Send a rejected call again, as a new call."""
        self.start(replace(arrival, call=len(self.calls), repeat=True))
