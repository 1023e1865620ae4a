"""One run of a case: the shipped core, dispatcher and pool in a simulated environment.

The events, each with the numbers that it takes:

    submit          the next call of the case arrives
    leave CALL      its client waits no longer
    away CALL       its client has closed its side: nothing may start, what is in flight may be answered
    up LINK         a dialled connection is established
    refuse LINK     a dialled connection is refused
    ok LINK LINE    the worker answers that line of the connection with success
    error LINK LINE ... with an error; `full`: with a refusal; `miss`: that the function is not loaded
    again LINK LINE the worker answers a line a second time
    stray LINK      the worker answers an unknown call
    reset LINK      the connection breaks
    part LINK       the system accepts only a part of the next line
    drained LINK    the system accepts the rest of that line
    drain WORKER    the endpoint list shows the worker as draining
    gone WORKER     the endpoint list no longer has the worker
    return WORKER   the endpoint list has a new process at the worker's address
    stop            SIGTERM, while another process serves
    policy          the next epoch of the fleet's policy: calls of odd epochs have one attempt, others two
    time            one step of time passes, with all timers that are due in it

The simulation knows which lines a worker has received complete, and so may have run, whatever the router has
received.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from maplestile.dispatch.api import Result
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.requests.core import Core
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.pool import Connection
from maplestile.tools.explore import scenario
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.connections import Line, Link, SimulatedPool
from maplestile.tools.explore.enabled_events import enabled_events
from maplestile.tools.explore.events import LINK_EVENTS, WORKER_EVENTS, Event, EventKind
from maplestile.tools.explore.records import Client, Violation
from maplestile.tools.explore.simulated_workers import SimulatedWorkers
from maplestile.tools.explore.worker_lines import Command, CommandKind, encode_answer
from maplestile.wire import runner as wire
from maplestile.wire.messages import Outcome, Request


@dataclass(slots=True, frozen=True)
class Components:
    """What is explored: the shipped components, or ones with a deliberate fault that must be found."""

    core: type[Core] = Core
    dispatcher: type[Dispatcher] = Dispatcher
    pool: type[SimulatedPool] = SimulatedPool


SHIPPED = Components()


class InvariantChecker(Protocol):
    """What checks a simulation while it runs; the module `properties` is one."""

    def on_answer(self, simulation: "Simulation", client: Client, outcome: Outcome) -> None:
        """Check a final answer."""

    def on_write(self, simulation: "Simulation", link: Link, command: Command) -> None:
        """Check a command that starts to be written."""

    def on_arrival(self, simulation: "Simulation", line: Line) -> None:
        """Check a call that a worker has received complete."""


class Simulation:
    """The components under test, their environment, and what has happened so far."""

    def __init__(self, case: Case, checker: InvariantChecker, components: Components = SHIPPED) -> None:
        self.case = case
        self.checker = checker
        self.now_us = scenario.START_US
        self.counters: Counter[str] = Counter()
        self.problems: list[Violation] = []
        self.links: list[Link] = []
        self.clients: list[Client] = []
        self.arrivals: list[Line] = []  # calls that a worker has received complete, in order
        self.faults = 0  # events of `Case.fault_events` so far
        self.steps = 0  # of time
        self.epoch = 0
        self.workers = SimulatedWorkers(case)
        self.stopped = False
        self.endpoints = EndpointList()
        self._connect(components)
        self._publish_list()

    def _connect(self, components: Components) -> None:
        """Create the components under test and connect them with each other."""
        settings = scenario.settings()
        limits = scenario.limits()
        self.pool = components.pool(self, limits.runners)
        self.core = components.core(
            settings, limits, scenario.SEED, self.pool, lambda: self.now_us, self._alarm, self.counters
        )
        self.core.decisions.dispatcher = components.dispatcher(scenario.settings(), scenario.SEED)
        self.core.dispatcher.context.random = scenario.DeterministicRandom()
        self.pool.core = self.core

    def _alarm(self, due_us: int) -> None:
        """Ignore the time of the core's next timer: `pass_time` looks at all of them."""

    def link_of(self, connection: Connection) -> Link:
        """The simulated socket of a connection of the pool."""
        return next(link for link in self.links if link.connection is connection)

    def client_of(self, tag: str) -> Client:
        """The client of a call by its tag on the wire."""
        return self.clients[int(tag[1:])]

    def enabled(self) -> list[Event]:
        """The events that may happen next."""
        return enabled_events(self)

    def violate(self, name: str, detail: str) -> None:
        """Record that the property of this name does not hold."""
        self.problems.append(Violation(name, detail))

    # Events.

    def play(self, event: Event) -> None:
        """Have an event happen; one that cannot happen now is ignored. Raises what the components raise."""
        if event not in self.enabled():
            return
        kind, numbers = event
        self.faults += kind in self.case.fault_events
        if kind in LINK_EVENTS:
            self._play_at_link(kind, self.links[numbers[0]], *numbers[1:])
        elif kind in WORKER_EVENTS:
            self._change_worker(numbers[0], kind)
        elif numbers:
            self._play_at_client(kind, self.clients[numbers[0]])
        else:
            self._play_at_router(kind)

    def _play_at_client(self, kind: EventKind, client: Client) -> None:
        match kind:
            case EventKind.LEAVE:
                client.withdrawn = True
                self.core.withdraw(client.number)
            case EventKind.AWAY:
                client.half_closed = True
                self.core.client_disconnected(client.number)

    def _play_at_router(self, kind: EventKind) -> None:
        match kind:
            case EventKind.SUBMIT:
                self._submit()
            case EventKind.STOP:
                self.stopped = True
                self.core.prepare_exit(self.now_us + scenario.DRAIN_US)
            case EventKind.POLICY:
                self.epoch += 1
                self.core.apply_policy(scenario.settings(self.epoch), self.core.limits)
            case EventKind.TIME:
                self.steps += 1
                self.pass_time()

    def _play_at_link(self, kind: EventKind, link: Link, number: int = 0) -> None:
        match kind:
            case EventKind.UP:
                self.pool.connected(link.connection, link)
            case EventKind.REFUSE:
                self.pool.close(link.connection, Result.CONNECT_FAILED)
            case EventKind.RESET:
                self.pool.close(link.connection, Result.RESET)
            case EventKind.PART:
                link.accepts_part = True
            case EventKind.DRAINED:
                line, link.unaccepted = link.unaccepted, b""
                link.deliver(line)
                self.pool.write_completed(link.connection)
            case EventKind.STRAY:
                self._send_answer(link, "nobody", scenario.ANSWER_KINDS[EventKind.OK])
            case EventKind.AGAIN:
                link.lines[number].answers += 1
                self._send_answer(link, link.lines[number].command.tag, scenario.ANSWER_KINDS[EventKind.OK])
            case _:
                self._answer(link.lines[number], scenario.ANSWER_KINDS[kind])

    def _submit(self) -> None:
        number = len(self.clients)
        class_name = self.case.classes[number]
        due_us = self.now_us + scenario.DEADLINE_US
        if self.stopped:
            due_us = min(due_us, self.core.exit_us)
        client = Client(self.core.number + 1, class_name, due_us, self.epoch)
        self.clients.append(client)
        request = Request(
            f"c{number}", scenario.FUNCTION, class_name, scenario.DEADLINE_US, 100.0, 1, key=f"k{number}"
        )
        self.core.submit(request, self.now_us, lambda outcome: self._on_answer(client, outcome))

    def _answer(self, line: Line, kind: str) -> None:
        line.answers += 1
        line.never_ran = line.never_ran or kind in scenario.NEVER_RAN_KINDS
        self._send_answer(line.link, line.command.tag, kind)

    def _send_answer(self, link: Link, tag: str, kind: str) -> None:
        line = encode_answer(tag, kind)
        self.pool.input_received(link.connection)
        self.pool.answer_received(link.connection, wire.parse(memoryview(line)))
        self.core.catch_up()
        self.pool.input_handled(link.connection)

    def _change_worker(self, number: int, kind: EventKind) -> None:
        self.workers.change(number, kind, self.now_us)
        self._publish_list()

    def _publish_list(self) -> None:
        """Give the router the current endpoint list."""
        self.endpoints.apply_whole(self.endpoints.version + 1, self.workers.listed(self.now_us))
        self.pool.update(self.endpoints)
        self.core.list_changed(self.endpoints.event())

    def pass_time(self) -> None:
        """Let one step of time pass, with every timer that is due in it."""
        end_us = self.now_us + scenario.STEP_US
        tick_us = self.core.settings.tick_us
        while self.core.ticks and self.core.ticks[0] * tick_us <= end_us:
            self.now_us = max(self.now_us, self.core.ticks[0] * tick_us)
            self.core.tick()
        self.now_us = end_us
        self._time_out_connects()
        self.pool.sweep()

    def _time_out_connects(self) -> None:
        """Close the connections that have not come up in time, as the socket driver does."""
        for link in list(self.links):
            is_opening = link.open and link.connection.socket is None
            age_us = self.now_us - link.connection.opened_us
            if is_opening and age_us >= self.pool.limits.connect_timeout_us:
                self.pool.close(link.connection, Result.CONNECT_FAILED)

    # What the components do.

    def _on_answer(self, client: Client, outcome: Outcome) -> None:
        client.outcomes.append((self.now_us, outcome))
        self.checker.on_answer(self, client, outcome)

    def on_write_started(self, link: Link, command: Command) -> None:
        """Check a command whose first byte goes out now."""
        self.checker.on_write(self, link, command)

    def on_line_received(self, line: Line) -> None:
        """Check and keep a line that a worker has received complete."""
        if line.command.kind is CommandKind.CALL:
            self.checker.on_arrival(self, line)
            self.arrivals.append(line)
