"""Replay of an example on loopback sockets: `maplestile serve` between scripted workers and clients.

The properties are checked by what the workers and the clients have seen. Events that are carried out in
another way than in the simulation:

    refuse LINK   the worker's port accepts nobody when that connection is dialled
    drain WORKER  an operator suspends it
    gone WORKER   it is removed from the file, and the router gets SIGHUP
    return WORKER it is in the file again, as a new process
    time          a step of real time

A call that the router sheds for its own lag, as on a busy machine, is submitted again, as its client may do.
The system cannot be made to accept a line in part, nor to delay a connection that is accepted: an `up` waits
until the connection is there, and a `part` or an `away` is reported as left out.
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
from maplestile.tools.explore.scripted_workers import Peer, Received, ReceivedCall, ScriptedWorker
from maplestile.tools.explore.simulation import Simulation
from maplestile.tools.explore.socket_checks import US_PER_S, violations
from maplestile.tools.explore.socket_clients import SocketClients
from maplestile.tools.explore.worker_lines import Command, CommandKind

EVENT_TIMEOUT_S = 10.0  # until an event must have come about
POLL_INTERVAL_S = 0.005  # between two checks whether it has
FINAL_WAIT_S = 1.5  # after the last event
SETTLE_S = 0.03  # after every event
SHED_PAUSE_S = 0.1  # before a call that was shed is submitted again
ROOT = Path(maplestile.__file__).parent.parent


@dataclass(slots=True, frozen=True)
class ReplayResult:
    """What a replay came to."""

    example: Example
    left_out: list[str]  # events that cannot be played on sockets
    violations: list[Violation]
    statuses: dict[int, list[int]]  # of the answers, by the number of the call
    attempts: list[ReceivedCall]

    def as_json(self) -> dict[str, Any]:
        """The result as a JSON object."""
        return {
            "case": self.example.case,
            "property": self.example.property,
            "left_out": self.left_out,
            "broken": [list(violation) for violation in self.violations],
            "answers": {str(number): statuses for number, statuses in self.statuses.items()},
            "attempts": [[call.call, call.worker] for call in self.attempts],
        }


class SocketReplay:
    """One replay. `dialled` has the worker of each link, as the simulation knows it."""

    def __init__(self, example: Example, folder: Path, root: Path) -> None:
        self.example = example
        self.case: Case = CASES[example.case]
        self.received = Received()
        self.workers = {
            f"w{number}": ScriptedWorker(f"w{number}", self.received) for number in range(self.case.workers)
        }
        self.router = RouterUnderTest(self.case, folder, root)
        self.clients = SocketClients(self.case)
        self.shed_calls = 0  # of all that were submitted
        self.draining_since_s: dict[str, float] = {}
        self.unlisted: set[str] = set()  # workers that are not in the router's file
        self.left_out: list[str] = []  # events that cannot be played on sockets
        self.refused_links = [event.numbers[0] for event in example.events if event.kind is EventKind.REFUSE]
        self.dialled = _dialled_workers(example)

    async def run(self) -> ReplayResult:
        """Play all events. Raises `CaseError`."""
        events = self.example.events
        await self._set_listeners(events)
        self.router.write_file(self.workers.values(), self.unlisted)
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
        found = list(violations(self.case, self.clients.observed, self.received.calls, self.draining_since_s))
        exit_code = self.router.exit_code()
        if exit_code is not None:
            found.append(Violation("no-crash", f"the program ended with {exit_code}"))
        return found

    async def _stop(self) -> None:
        self.clients.stop()
        await self.router.stop()
        for worker in self.workers.values():
            await worker.listen(False)
        for peer in self.received.peers:
            peer.writer.close()

    # Events.

    async def _play(self, event: Event, upcoming: Sequence[Event]) -> None:
        """Have an event happen; `upcoming` are those after it."""
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
        await asyncio.sleep(SETTLE_S)

    async def _submit(self) -> None:
        """Submit the next call until the router takes it. Raises `CaseError` where it keeps shedding it."""
        front = self.router.fronts["invoke"]
        self.clients.submit(front)
        end_s = time.monotonic() + EVENT_TIMEOUT_S
        while await self._is_last_call_shed():
            if time.monotonic() > end_s:
                raise CaseError(f"events: '{EventKind.SUBMIT}' did not come about on sockets")
            await asyncio.sleep(SHED_PAUSE_S)
            await self.clients.submit_again(front)

    async def _is_last_call_shed(self) -> bool:
        """Wait until the router has read the call submitted last; return whether it shed that one."""
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
                await self._until(lambda: len(self.received.peers) > self._accepted(link), kind)
            case EventKind.REFUSE:
                pass  # `_set_listeners` has closed the worker's port
            case EventKind.RESET:
                self._peer(link).reset()
            case EventKind.STRAY:
                self._peer(link).answer("nobody", scenario.ANSWER_KINDS[EventKind.OK])
            case EventKind.AGAIN:
                peer = self._peer(link)
                peer.answer(peer.commands[line].tag, scenario.ANSWER_KINDS[EventKind.OK])
            case _ if kind in scenario.ANSWER_KINDS:
                peer = self._peer(link)
                await self._until(lambda: len(peer.commands) > line, kind)
                self._answer(peer, peer.commands[line], scenario.ANSWER_KINDS[kind])
            case _:
                self.left_out.append(kind.value)

    async def _set_listeners(self, upcoming: Sequence[Event]) -> None:
        """Open or close each worker's port for its next connection.

        This has to be done ahead of the event, since the router dials as soon as it has decided.
        """
        accepts: dict[str, bool] = {}
        for event in upcoming:
            if event.kind in (EventKind.UP, EventKind.REFUSE) and event.numbers[0] < len(self.dialled):
                accepts.setdefault(self.dialled[event.numbers[0]], event.kind is EventKind.UP)
        for name, worker in self.workers.items():
            await worker.listen(accepts.get(name, True) and name not in self.unlisted)

    def _accepted(self, link: int) -> int:
        """The index among the accepted connections of a link, whose number counts the refused ones too."""
        return link - sum(refused < link for refused in self.refused_links)

    def _peer(self, link: int) -> Peer:
        return self.received.peers[self._accepted(link)]

    async def _until(self, condition: Callable[[], bool], kind: EventKind) -> None:
        end_s = time.monotonic() + EVENT_TIMEOUT_S
        while not condition():
            if time.monotonic() > end_s:
                raise CaseError(f"events: '{kind}' did not come about on sockets")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _answer(self, peer: Peer, command: Command, kind: str) -> None:
        if command.kind is CommandKind.CALL and kind in scenario.NEVER_RAN_KINDS:
            name = command.body.decode()
            for call in self.received.calls:
                if call.call == name and call.worker == peer.worker:
                    call.never_ran = True
        peer.answer(command.tag, kind)

    async def _change_worker(self, worker: str, kind: EventKind) -> None:
        if kind is EventKind.DRAIN:
            self.draining_since_s[worker] = time.monotonic()
            await self.router.request("PUT", f"/v1/runners/{worker}/suspend")
            return
        if kind is EventKind.GONE:
            self.draining_since_s.setdefault(worker, time.monotonic())
            self.unlisted.add(worker)
        else:
            await self._restart_worker(worker)
        self.router.write_file(self.workers.values(), self.unlisted)
        self.router.reload()

    async def _restart_worker(self, worker: str) -> None:
        self.unlisted.discard(worker)
        self.draining_since_s.pop(worker, None)
        await self.workers[worker].listen(False)
        self.workers[worker] = ScriptedWorker(worker, self.received)
        await self.workers[worker].listen(True)
        await self.router.request("PUT", f"/v1/runners/{worker}/resume")


def _dialled_workers(example: Example) -> list[str]:
    """The worker of each link of an example, by the order in which the links are dialled."""
    simulation = Simulation(CASES[example.case], properties)
    for event in example.events:
        simulation.play(event)
    return [link.worker for link in simulation.links]


async def _replay(example: Example, root: Path) -> ReplayResult:
    with tempfile.TemporaryDirectory() as folder:
        return await SocketReplay(example, Path(folder), root).run()


def replay(example: Example, root: Path = ROOT) -> ReplayResult:
    """Replay an example on sockets.

    `root` is the folder of the program's package. Raises `CaseError` where an event does not come about.
    """
    try:
        return asyncio.run(_replay(example, root))
    except (TimeoutError, IndexError) as error:
        reason = error or type(error).__name__
        raise CaseError(f"events: not to be played on sockets: {reason}") from None
