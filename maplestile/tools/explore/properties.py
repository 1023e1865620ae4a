"""The properties that must hold in a simulation, and the checks for them."""

from collections.abc import Collection

from maplestile.dispatch.api import DeduplicationScope, Idempotency
from maplestile.tools.dispatcher_settings import US_PER_MS
from maplestile.tools.explore import scenario
from maplestile.tools.explore.connections import Link, ReceivedLine
from maplestile.tools.explore.records import Client
from maplestile.tools.explore.simulation import Simulation
from maplestile.tools.explore.worker_lines import Command, CommandKind
from maplestile.wire.messages import Outcome, Verdict

DESCRIPTIONS = {
    "one-answer": "at most one final answer to a call",
    "answer-by-deadline": "exactly one final answer, by the deadline, to each call whose client waits",
    "unsafe-once": "an unsafe call is never out again where it may have run",
    "keyed-in-scope": "a keyed call goes again only where its repeats are dropped, and only while they are",
    "nothing-after-drain": "nothing new is written to a worker after its drain or end was announced",
    "nothing-for-the-gone": "nothing begins for a client that has closed, and what waits for it is given up",
    "attempt-limit": "no call has more attempts than the settings allow",
    "one-policy": "all attempts of a call are decided under the policy that it came under",
    "harmless-refusal": "a call is refused only where trying again is harmless",
    "counts-return": "all counts of calls in flight return to zero",
    "nothing-kept": "nothing is kept of a call, an attempt or a load after all has ended",
    "drain-ends": "a process that was told to end owes nothing at its end",
    "no-forbidden-move": "no transition that is not in the tables of states.py",
    "no-crash": "nothing raises",
}
# Commands that start new work at a worker.
NEW_WORK_KINDS = (CommandKind.CALL, CommandKind.LOAD, CommandKind.STATS, CommandKind.UNLOAD)


def on_answer(simulation: Simulation, client: Client, outcome: Outcome) -> None:
    """Check a final answer, which has already been added to the client's outcomes."""
    name = client.class_name
    if len(client.outcomes) > 1:
        simulation.record_violation("one-answer", f"{name}: {len(client.outcomes)} answers")
    if client.withdrawn:
        simulation.record_violation("one-answer", f"{name}: an answer after its client left")
    tick_us = simulation.core.settings.tick_us
    if simulation.stopped and simulation.now_us > simulation.core.exit_us + tick_us:
        simulation.record_violation("drain-ends", f"{name}: owed past the end")
    if simulation.now_us > client.due_us + tick_us:
        late_ms = (simulation.now_us - client.due_us) / US_PER_MS
        simulation.record_violation("answer-by-deadline", f"{name}: {late_ms:g} ms late")
    if outcome.verdict is Verdict.REJECTED and not _is_retry_harmless(simulation, client):
        simulation.record_violation("harmless-refusal", f"{name}: refused, and it may have run")


def _is_retry_harmless(simulation: Simulation, client: Client) -> bool:
    """Return whether the client of a rejected call can safely submit it again.

    It can if running the call twice is harmless, if all workers drop the repeat, or if the call has not run.
    """
    call_class = scenario.CLASSES[client.class_name]
    if call_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_dropped_everywhere = call_class.deduplication_scope is DeduplicationScope.ALL
    if call_class.idempotency is Idempotency.WITH_KEY and is_dropped_everywhere:
        return True
    return not any(line.may_have_run() for line in _arrivals_of(simulation, client))


def _arrivals_of(simulation: Simulation, client: Client) -> list[ReceivedLine]:
    return [line for line in simulation.arrivals if simulation.client_of(line.command.tag) is client]


def on_write(simulation: Simulation, link: Link, command: Command) -> None:
    """Check a command whose first byte is about to be written."""
    if command.kind in NEW_WORK_KINDS and link.worker in simulation.workers.unavailable_since_us:
        simulation.record_violation("nothing-after-drain", f"{command.kind} to {link.worker}")
    if command.kind is CommandKind.CALL and simulation.client_of(command.tag).half_closed:
        simulation.record_violation("nothing-for-the-gone", f"an attempt at {link.worker}")


def on_arrival(simulation: Simulation, line: ReceivedLine) -> None:
    """Check a call that a worker has completely received, and may run from now on.

    `simulation.arrivals` holds the calls received before it.
    """
    client = simulation.client_of(line.command.tag)
    earlier = _arrivals_of(simulation, client)
    if len(earlier) >= scenario.max_attempts(client.epoch):
        simulation.record_violation("attempt-limit", f"{client.class_name}: attempt {len(earlier) + 1}")
    possible_run = next((arrival for arrival in earlier if arrival.may_have_run()), None)
    if possible_run is None:
        return
    match scenario.CLASSES[client.class_name].idempotency:
        case Idempotency.NOT_IDEMPOTENT:
            workers = f"at {possible_run.link.worker}, then at {line.link.worker}"
            simulation.record_violation("unsafe-once", workers)
        case Idempotency.WITH_KEY:
            _check_repeat(simulation, client.class_name, possible_run, line)


def _check_repeat(simulation: Simulation, class_name: str, first: ReceivedLine, repeat: ReceivedLine) -> None:
    """Check that the worker that receives a repeated call with a key drops it as a duplicate."""
    call_class = scenario.CLASSES[class_name]
    age_us = simulation.now_us - first.received_us
    if not _is_in_scope(simulation, call_class.deduplication_scope, first.link.worker, repeat.link.worker):
        workers = f"at {first.link.worker}, then at {repeat.link.worker}"
        simulation.record_violation("keyed-in-scope", f"{class_name}: {workers}")
    elif age_us >= call_class.deduplication_window_us:
        simulation.record_violation("keyed-in-scope", f"{class_name}: again after {age_us / US_PER_MS:g} ms")


def _is_in_scope(simulation: Simulation, scope: DeduplicationScope, first: str, second: str) -> bool:
    """Return whether each of two workers drops repeats of calls that the other has received."""
    first_number, second_number = int(first[1:]), int(second[1:])
    match scope:
        case DeduplicationScope.ZONE:
            return simulation.case.zones[first_number] == simulation.case.zones[second_number]
        case DeduplicationScope.CELL:
            return simulation.case.cells[first_number] == simulation.case.cells[second_number]
    return True


def check_after_event(simulation: Simulation) -> None:
    """Check the properties that must hold after every event."""
    if mixed_calls := simulation.counters["policy.mixed_calls"]:
        simulation.record_violation("one-policy", f"{mixed_calls} attempts under another")
    for client in simulation.clients:
        _check_request(simulation, client)
    if invalid_transitions := simulation.counters["states.invalid_transitions"]:
        simulation.record_violation("no-forbidden-move", f"{invalid_transitions} of them")


def _check_request(simulation: Simulation, client: Client) -> None:
    pending = simulation.core.open.get(client.number)
    if pending is None:
        return
    in_flight = any(call == client.number for call, _ in simulation.core.in_flight)
    if client.half_closed and not in_flight:
        simulation.record_violation("nothing-for-the-gone", f"{client.class_name}: waits on")
    if pending.attempts > scenario.max_attempts(client.epoch):
        simulation.record_violation("attempt-limit", f"{client.class_name}: {pending.attempts} attempts")


def check_when_idle(simulation: Simulation) -> None:
    """Let time pass until all calls and requests must have ended, then check that nothing is left."""
    for _ in range(scenario.IDLE_STEPS):
        simulation.pass_time()
        check_after_event(simulation)
    if simulation.stopped and simulation.core.open:
        simulation.record_violation("drain-ends", f"{len(simulation.core.open)} calls owed for good")
    for client in simulation.clients:
        if client.is_waiting():
            simulation.record_violation("answer-by-deadline", f"{client.class_name}: no answer")
    for name, leftover in _leftovers(simulation).items():
        if leftover:
            simulation.record_violation("nothing-kept", f"{name}: {leftover}")
    if nonzero_counts := {name: count for name, count in _busy_counts(simulation).items() if count}:
        simulation.record_violation("counts-return", str(nonzero_counts))


def _leftovers(simulation: Simulation) -> dict[str, Collection[object] | int]:
    """Return what the components still hold of calls, attempts, load requests and connections, by name."""
    core, pool = simulation.core, simulation.pool
    dispatcher = core.dispatcher
    # The dispatcher sends load requests on its own at any time, so only overdue ones count as left over.
    overdue_us = simulation.now_us - 2 * scenario.LOAD_TIMEOUT_US
    return {
        "open": core.open,
        "flights": core.in_flight,
        "bytes": core.open_bytes,
        "errands": [request for request in core.control_requests.values() if request.sent_us < overdue_us],
        "calls": dispatcher.calls,
        "attempts": dispatcher.attempts,
        "where": pool.locations,
        "waiting": [entry.function for entry in dispatcher.tiers.functions.values() if entry.waiting],
        "links": [
            connection.open
            for runner in pool.runners.values()
            for connection in runner.connections
            if connection.open
        ],
    }


def _busy_counts(simulation: Simulation) -> dict[str, int]:
    """Return the dispatcher's counts of calls in flight, by printed name."""
    dispatcher = simulation.core.dispatcher
    counts = {f"row {entry.function}": entry.busy for entry in dispatcher.tiers.functions.values()}
    for worker in dispatcher.workers.values():
        name = worker.entry.worker
        counts[f"worker {name}"] = worker.busy
        for function, copy in worker.copies.items():
            counts[f"copy of {function} at {name}"] = copy.busy
    return counts
