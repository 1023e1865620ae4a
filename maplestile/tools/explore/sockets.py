"""Replays an example on loopback sockets, with `maplestile serve` between scripted workers and clients.

The properties are checked on what the workers and the clients observe. Some events are carried out
differently from the simulation:

    refuse LINK   the worker's port is closed when the router opens that connection
    drain WORKER  an operator suspends the worker
    gone WORKER   the worker is removed from the settings file, and the router gets SIGHUP
    return WORKER the worker is in the settings file again, as a new process, and the router gets SIGHUP
    time          one step of real time passes

A call that the router sheds because the router itself lags, as on a busy machine, is submitted again, as a
real client may do. The kernel cannot be made to accept a line only in part, or to delay an accepted
connection, so an `up` waits until the connection exists, and a `part` or an `away` is reported as left out.
"""

import asyncio
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import maplestile
from maplestile.tools.explore import properties, scenario
from maplestile.tools.explore.cases import CASES, Case, CaseError
from maplestile.tools.explore.events import WORKER_EVENTS, Event, EventKind
from maplestile.tools.explore.example_files import Example
from maplestile.tools.explore.records import Violation
from maplestile.tools.explore.router_process import RouterUnderTest
from maplestile.tools.explore.scripted_workers import (
    AcceptedConnection,
    ReceivedCall,
    ReceivedTraffic,
    ScriptedWorker,
)
from maplestile.tools.explore.simulation import Simulation
from maplestile.tools.explore.socket_checks import US_PER_S, find_violations
from maplestile.tools.explore.socket_clients import SocketClients
from maplestile.tools.explore.worker_lines import Command, CommandKind

EVENT_TIMEOUT_S = 10.0  # for an event to take effect
POLL_INTERVAL_S = 0.005  # how often to check whether an event has taken effect
FINAL_WAIT_S = 1.5  # after the last event, before the properties are checked
PAUSE_AFTER_EVENT_S = 0.03  # lets the router react before the next event
SHED_PAUSE_S = 0.1  # before a shed call is submitted again
ROOT = Path(maplestile.__file__).parent.parent


@dataclass(slots=True, frozen=True)
class ReplayResult:
    """The result of a replay."""

    example: Example
    left_out: list[str]  # events that cannot be played over real sockets
    violations: list[Violation]
    statuses: dict[int, list[int]]  # HTTP statuses of the answers, by the number of the call
    attempts: list[ReceivedCall]  # in the order of receipt

    def as_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return {
            "case": self.example.case,
            "property": self.example.property,
            "left_out": self.left_out,
            "broken": [list(violation) for violation in self.violations],
            "answers": {str(number): statuses for number, statuses in self.statuses.items()},
            "attempts": [[call.name, call.worker] for call in self.attempts],
        }


class SocketReplay:
    """One replay of an example; `link_workers` holds the worker of each link, taken from the simulation."""

    def __init__(self, example: Example, folder: Path, root: Path) -> None:
        self.example = example
        self.case: Case = CASES[example.case]
        self.received = ReceivedTraffic()
        self.workers = {
            f"w{number}": ScriptedWorker(f"w{number}", self.received) for number in range(self.case.workers)
        }
        self.router = RouterUnderTest(self.case, folder, root)
        self.clients = SocketClients(self.case)
        self.shed_calls = 0  # number of calls that the router has shed so far
        self.draining_since_s: dict[str, float] = {}  # by worker, on the monotonic clock
        self.unlisted: set[str] = set()  # workers that are not in the router's settings file
        self.left_out: list[str] = []  # events that cannot be played over real sockets
        self.refused_links = [event.numbers[0] for event in example.events if event.kind is EventKind.REFUSE]
        self.link_workers = _link_workers(example)

    async def run(self) -> ReplayResult:
        """Play all events and check the properties. Raises `CaseError` if an event cannot be played."""
        events = self.example.events
        await self._set_listeners(events)
        self.router.write_settings(self.workers.values(), self.unlisted)
        await self.router.start()
        try:
            for number, event in enumerate(events):
                await self._play(event, events[number + 1 :])
            await asyncio.sleep(FINAL_WAIT_S)
            found = self._violations()
        finally:
            await self._stop()
        statuses = self.clients.observed.statuses
        return ReplayResult(self.example, self.left_out, found, statuses, self.received.calls)

    def _violations(self) -> list[Violation]:
        found = list(
            find_violations(self.case, self.clients.observed, self.received.calls, self.draining_since_s)
        )
        exit_code = self.router.exit_code()
        if exit_code is not None:
            found.append(Violation("no-crash", f"the program ended with {exit_code}"))
        return found

    async def _stop(self) -> None:
        self.clients.stop()
        await self.router.stop()
        for worker in self.workers.values():
            await worker.set_listening(False)
        for connection in self.received.connections:
            connection.writer.close()

    # Events.

    async def _play(self, event: Event, upcoming: Sequence[Event]) -> None:
        """Play an event; `upcoming` are the events after it."""
        await self._set_listeners(upcoming)
        kind, numbers = event
        match kind:
            case EventKind.SUBMIT:
                await self._submit()
            case EventKind.LEAVE:
                self.clients.withdraw(numbers[0])
            case EventKind.TIME:
                await asyncio.sleep(scenario.STEP_US / US_PER_S)
            case _ if kind in WORKER_EVENTS:
                await self._change_worker(f"w{numbers[0]}", kind)
            case _:
                await self._play_at_link(kind, *numbers)
        await asyncio.sleep(PAUSE_AFTER_EVENT_S)

    async def _submit(self) -> None:
        """Submit the next call until the router accepts it. Raises `CaseError` if it is shed every time."""
        front = self.router.fronts["invoke"]
        self.clients.submit(front)
        end_s = time.monotonic() + EVENT_TIMEOUT_S
        while await self._is_last_call_shed():
            if time.monotonic() > end_s:
                raise _no_effect_error(EventKind.SUBMIT)
            await asyncio.sleep(SHED_PAUSE_S)
            await self.clients.submit_again(front)

    async def _is_last_call_shed(self) -> bool:
        """Wait until the router has read the last call submitted; return whether it shed that call."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            counters = await self.router.counters()
            while counters.get("requests.taken", 0) < self.clients.submissions:
                await asyncio.sleep(POLL_INTERVAL_S)
                counters = await self.router.counters()
        shed_before = self.shed_calls
        self.shed_calls = counters.get("requests.shed", 0)
        return self.shed_calls > shed_before

    async def _play_at_link(self, kind: EventKind, link: int = 0, line: int = 0) -> None:
        match kind:
            case EventKind.UP:
                await self._wait_until(
                    lambda: len(self.received.connections) > self._accepted_index(link), kind
                )
            case EventKind.REFUSE:
                pass  # `_set_listeners` has closed the worker's port
            case EventKind.RESET:
                self._connection(link).reset()
            case EventKind.STRAY:
                self._connection(link).answer("nobody", scenario.ANSWER_KINDS[EventKind.OK])
            case EventKind.AGAIN:
                connection = self._connection(link)
                connection.answer(connection.commands[line].tag, scenario.ANSWER_KINDS[EventKind.OK])
            case _ if kind in scenario.ANSWER_KINDS:
                connection = self._connection(link)
                await self._wait_until(lambda: len(connection.commands) > line, kind)
                self._answer(connection, connection.commands[line], scenario.ANSWER_KINDS[kind])
            case _:
                self.left_out.append(kind.value)

    async def _set_listeners(self, upcoming: Sequence[Event]) -> None:
        """Open or close each worker's port for its next connection.

        This has to precede the event, since the router opens the connection as soon as it has decided to.
        """
        accepts: dict[str, bool] = {}
        for event in upcoming:
            if event.kind in (EventKind.UP, EventKind.REFUSE) and event.numbers[0] < len(self.link_workers):
                accepts.setdefault(self.link_workers[event.numbers[0]], event.kind is EventKind.UP)
        for name, worker in self.workers.items():
            await worker.set_listening(accepts.get(name, True) and name not in self.unlisted)

    def _accepted_index(self, link: int) -> int:
        """Return the index of a link among the accepted connections; link numbers also count refused ones."""
        return link - sum(refused < link for refused in self.refused_links)

    def _connection(self, link: int) -> AcceptedConnection:
        return self.received.connections[self._accepted_index(link)]

    async def _wait_until(self, condition: Callable[[], bool], kind: EventKind) -> None:
        end_s = time.monotonic() + EVENT_TIMEOUT_S
        while not condition():
            if time.monotonic() > end_s:
                raise _no_effect_error(kind)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _answer(self, connection: AcceptedConnection, command: Command, kind: str) -> None:
        if command.kind is CommandKind.CALL and kind in scenario.NEVER_RAN_KINDS:
            name = command.body.decode()
            for call in self.received.calls:
                if call.name == name and call.worker == connection.worker:
                    call.never_ran = True
        connection.answer(command.tag, kind)

    async def _change_worker(self, worker: str, kind: EventKind) -> None:
        if kind is EventKind.DRAIN:
            self.draining_since_s[worker] = time.monotonic()
            await self.router.send_operator_request("PUT", f"/v1/runners/{worker}/suspend")
            return
        if kind is EventKind.GONE:
            self.draining_since_s.setdefault(worker, time.monotonic())
            self.unlisted.add(worker)
        else:
            await self._restart_worker(worker)
        self.router.write_settings(self.workers.values(), self.unlisted)
        self.router.reload()

    async def _restart_worker(self, worker: str) -> None:
        self.unlisted.discard(worker)
        self.draining_since_s.pop(worker, None)
        await self.workers[worker].set_listening(False)
        self.workers[worker] = ScriptedWorker(worker, self.received)
        await self.workers[worker].set_listening(True)
        await self.router.send_operator_request("PUT", f"/v1/runners/{worker}/resume")


def _link_workers(example: Example) -> list[str]:
    """Return the worker of each link of an example, in the order in which the links are opened."""
    simulation = Simulation(CASES[example.case], properties)
    for event in example.events:
        simulation.play(event)
    return [link.worker for link in simulation.links]


def _no_effect_error(kind: EventKind) -> CaseError:
    return CaseError(f"events: '{kind}' did not take effect on sockets within {EVENT_TIMEOUT_S:g} s")


async def _replay(example: Example, root: Path) -> ReplayResult:
    with tempfile.TemporaryDirectory() as folder:
        return await SocketReplay(example, Path(folder), root).run()


def replay(example: Example, root: Path = ROOT) -> ReplayResult:
    """Replay an example over real sockets.

    `root` is the folder that contains the program's package. Raises `CaseError` if an event cannot be played.
    """
    try:
        return asyncio.run(_replay(example, root))
    except (TimeoutError, IndexError) as error:
        reason = error or type(error).__name__
        raise CaseError(f"events: cannot be replayed on sockets: {reason}") from None
