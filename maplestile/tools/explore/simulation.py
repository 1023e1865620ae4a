"""One run of a case: the shipped core, dispatcher and pool in a simulated environment.

CALL, LINK, LINE and WORKER are numbers from 0: calls count in order of submission, links (connections to
workers) in order of opening, and lines in order of receipt on their link. The events are:

    submit          the next call of the case arrives
    leave CALL      the call's client stops waiting for the answer
    away CALL       the client closes its side: no attempt may start, one in flight may still be answered
    up LINK         a connection that is being opened is established
    refuse LINK     a connection that is being opened is refused
    ok LINK LINE    the worker answers that line of the connection with success
    error LINK LINE the worker answers that line with an error
    full LINK LINE  the worker answers that line by rejecting it
    miss LINK LINE  the worker answers that the function is not loaded
    again LINK LINE the worker answers a line a second time
    stray LINK      the worker answers a call that the router did not send it
    reset LINK      the connection breaks
    part LINK       the kernel will accept only a part of the next line
    drained LINK    the kernel accepts the rest of that line
    drain WORKER    the endpoint list shows the worker as draining
    gone WORKER     the endpoint list no longer has the worker
    return WORKER   the endpoint list has a new process at the worker's address
    stop            the router process receives SIGTERM while another process serves
    policy          the next epoch of the fleet's policy applies; odd epochs allow one attempt, even ones two
    time            one step of time passes, and the timers due in it run

The simulation records which lines a worker has completely received, and so may have run, independently of the
answers that reach the router.
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
from maplestile.tools.explore.connections import Link, ReceivedLine, SimulatedPool
from maplestile.tools.explore.enabled_events import enabled_events
from maplestile.tools.explore.events import LINK_EVENTS, WORKER_EVENTS, Event, EventKind
from maplestile.tools.explore.records import Client, Violation
from maplestile.tools.explore.simulated_workers import SimulatedWorkers
from maplestile.tools.explore.worker_lines import Command, CommandKind, encode_answer
from maplestile.wire import runner as wire
from maplestile.wire.messages import Outcome, Request


@dataclass(slots=True, frozen=True)
class Components:
    """The component classes to explore: the shipped ones, or in tests some with a deliberate fault."""

    core: type[Core] = Core
    dispatcher: type[Dispatcher] = Dispatcher
    pool: type[SimulatedPool] = SimulatedPool


SHIPPED_COMPONENTS = Components()


class InvariantChecker(Protocol):
    """Checks a simulation while it runs; the module `properties` implements this protocol."""

    def on_answer(self, simulation: "Simulation", client: Client, outcome: Outcome) -> None:
        """Check a final answer."""

    def on_write(self, simulation: "Simulation", link: Link, command: Command) -> None:
        """Check a command whose first byte is about to be written."""

    def on_arrival(self, simulation: "Simulation", line: ReceivedLine) -> None:
        """Check a call that a worker has completely received."""


class Simulation:
    """The components under test, their environment, and the history of the run."""

    def __init__(
        self, case: Case, checker: InvariantChecker, components: Components = SHIPPED_COMPONENTS
    ) -> None:
        self.case = case
        self.checker = checker
        self.now_us = scenario.START_US
        self.counters: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self.links: list[Link] = []
        self.clients: list[Client] = []
        self.arrivals: list[ReceivedLine] = []  # calls that workers have completely received, in order
        self.fault_count = 0  # number of events so far that `Case.fault_events` lists
        self.time_steps = 0  # number of `time` events so far
        self.epoch = 0
        self.workers = SimulatedWorkers(case)
        self.stopped = False
        self.endpoints = EndpointList()
        self._create_components(components)
        self._publish_list()

    def _create_components(self, components: Components) -> None:
        """Create the components under test and connect them to each other."""
        settings = scenario.settings()
        limits = scenario.limits()
        self.pool = components.pool(self, limits.runners)
        self.core = components.core(
            settings,
            limits,
            scenario.SEED,
            self.pool,
            lambda: self.now_us,
            self._ignore_next_timer,
            self.counters,
        )
        self.core.decisions.dispatcher = components.dispatcher(scenario.settings(), scenario.SEED)
        self.core.dispatcher.context.random = scenario.DeterministicRandom()
        self.pool.core = self.core

    def _ignore_next_timer(self, due_us: int) -> None:
        """Ignore the time of the core's next timer, since `pass_time` runs all due timers."""

    def link_of(self, connection: Connection) -> Link:
        """Return the simulated socket of one of the pool's connections."""
        return next(link for link in self.links if link.connection is connection)

    def client_of(self, tag: str) -> Client:
        """Return the client of the call with this tag on the wire."""
        return self.clients[int(tag[1:])]

    def enabled(self) -> list[Event]:
        """Return the events that may happen next."""
        return enabled_events(self)

    def record_violation(self, name: str, detail: str) -> None:
        """Record a violation of the named property."""
        self.violations.append(Violation(name, detail))

    # Events.

    def play(self, event: Event) -> None:
        """Play an event, or ignore it if it cannot happen now. Raises whatever the components raise."""
        if event not in self.enabled():
            return
        kind, numbers = event
        self.fault_count += kind in self.case.fault_events
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
                self.time_steps += 1
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

    def _answer(self, line: ReceivedLine, kind: str) -> None:
        line.answers += 1
        line.never_ran = line.never_ran or kind in scenario.NEVER_RAN_KINDS
        self._send_answer(line.link, line.command.tag, kind)

    def _send_answer(self, link: Link, tag: str, kind: str) -> None:
        line = encode_answer(tag, kind)
        self.pool.input_received(link.connection)
        self.pool.answer_received(link.connection, wire.parse(memoryview(line)))
        self.core.run_due_timers()
        self.pool.input_handled(link.connection)

    def _change_worker(self, number: int, kind: EventKind) -> None:
        self.workers.apply_event(number, kind, self.now_us)
        self._publish_list()

    def _publish_list(self) -> None:
        """Pass the current endpoint list to the router."""
        self.endpoints.apply_list(self.endpoints.version + 1, self.workers.endpoint_list(self.now_us))
        self.pool.update(self.endpoints)
        self.core.list_changed(self.endpoints.event())

    def pass_time(self) -> None:
        """Let one step of time pass, and run every timer that is due in it."""
        end_us = self.now_us + scenario.STEP_US
        tick_us = self.core.settings.tick_us
        while self.core.ticks and self.core.ticks[0] * tick_us <= end_us:
            self.now_us = max(self.now_us, self.core.ticks[0] * tick_us)
            self.core.tick()
        self.now_us = end_us
        self._time_out_connects()
        self.pool.sweep()

    def _time_out_connects(self) -> None:
        """Close the connections that were not established in time, as the socket driver does."""
        for link in list(self.links):
            is_opening = link.open and link.connection.socket is None
            age_us = self.now_us - link.connection.opened_us
            if is_opening and age_us >= self.pool.limits.connect_timeout_us:
                self.pool.close(link.connection, Result.CONNECT_FAILED)

    # Callbacks from the components.

    def _on_answer(self, client: Client, outcome: Outcome) -> None:
        client.outcomes.append((self.now_us, outcome))
        self.checker.on_answer(self, client, outcome)

    def on_write_started(self, link: Link, command: Command) -> None:
        """Check a command whose first byte is about to be written."""
        self.checker.on_write(self, link, command)

    def on_line_received(self, line: ReceivedLine) -> None:
        """Check and record a complete line that a worker has received."""
        if line.command.kind is CommandKind.CALL:
            self.checker.on_arrival(self, line)
            self.arrivals.append(line)
