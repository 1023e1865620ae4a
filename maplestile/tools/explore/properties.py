"""What has to hold, each written once, by its name. They are judged by what the world knows to be true."""

from typing import Any

from maplestile.dispatch import api
from maplestile.tools.explore import world as worlds
from maplestile.tools.explore.world import Client, Line, Link, World
from maplestile.wire.messages import Outcome, Verdict

NAMES = {
    "one-answer": "at most one final answer to a call",
    "answer-by-deadline": "exactly one final answer, by the deadline, to each call whose client waits",
    "unsafe-once": "an unsafe call is never out again where it may have run",
    "keyed-in-scope": "a keyed call goes again only where its repeats are dropped, and only while they are",
    "nothing-after-drain": "nothing new is written to a worker after its drain or end was told",
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


def on_answer(world: World, client: Client, outcome: Outcome) -> None:
    if len(client.outcomes) > 1:
        world.broken("one-answer", f"{client.class_name}: {len(client.outcomes)} answers")
    if client.left:
        world.broken("one-answer", f"{client.class_name}: an answer after its client left")
    tick_us = world.core.settings.tick_us
    if world.stopped and world.now > world.core.leave_us + tick_us:
        world.broken("drain-ends", f"{client.class_name}: owed past the end")
    if world.now > client.due_us + tick_us:
        late_ms = (world.now - client.due_us) / worlds.MS
        world.broken("answer-by-deadline", f"{client.class_name}: {late_ms:g} ms late")
    kind = worlds.CLASSES[client.class_name]
    lines = [line for line in world.arrivals if world.client_of(line.told["call"]) is client]
    ran = any(line.may_run() for line in lines)
    harmless = kind.idempotency is api.Idempotency.IDEMPOTENT or not ran
    harmless = (
        harmless
        or kind.idempotency is api.Idempotency.WITH_KEY
        and kind.deduplication_scope is api.DeduplicationScope.ALL
    )
    if outcome.verdict is Verdict.REFUSED and not harmless:
        world.broken("harmless-refusal", f"{client.class_name}: refused, and it may have run")


def on_write(world: World, link: Link, told: dict[str, Any]) -> None:
    """A line begins to go out."""
    fresh = told["kind"] in ("CALL", "LOAD", "STATS", "UNLOAD")
    if fresh and link.worker in world.told_us:
        world.broken("nothing-after-drain", f"{told['kind']} to {link.worker}")
    if told["kind"] == "CALL" and world.client_of(told["call"]).away:
        world.broken("nothing-for-the-gone", f"an attempt at {link.worker}")


def on_arrival(world: World, line: Line) -> None:
    """A worker has the line of a call whole, and may run it from now on; `arrivals` are those before."""
    client = world.client_of(line.told["call"])
    kind = worlds.CLASSES[client.class_name]
    before = [one for one in world.arrivals if world.client_of(one.told["call"]) is client]
    if len(before) >= worlds.attempts_of(client.epoch):
        world.broken("attempt-limit", f"{client.class_name}: attempt {len(before) + 1}")
    ran = [one for one in before if one.may_run()]
    if not ran or kind.idempotency is api.Idempotency.IDEMPOTENT:
        return
    if kind.idempotency is api.Idempotency.NOT_IDEMPOTENT:
        world.broken("unsafe-once", f"at {ran[0].link.worker}, then at {line.link.worker}")
        return
    first, case = ran[0].link, world.case
    one, other = int(first.worker[1:]), int(line.link.worker[1:])
    same = {
        api.DeduplicationScope.ALL: True,
        api.DeduplicationScope.ZONE: case.zones[one] == case.zones[other],
        api.DeduplicationScope.CELL: case.cells[one] == case.cells[other],
    }
    if not same[kind.deduplication_scope]:
        world.broken("keyed-in-scope", f"{client.class_name}: at {first.worker}, then at {line.link.worker}")
    elif world.now >= ran[0].at_us + kind.deduplication_window_us:
        age_ms = (world.now - ran[0].at_us) / worlds.MS
        world.broken("keyed-in-scope", f"{client.class_name}: again after {age_ms:g} ms")


def at_each(world: World) -> None:
    """After every event."""
    if world.counters["policy.mixed_calls"]:
        world.broken("one-policy", f"{world.counters['policy.mixed_calls']} attempts under another")
    for client in world.clients:
        owed = world.core.open.get(client.number)
        out = any(call == client.number for call, _ in world.core.flights)
        if client.away and owed is not None and not out:
            world.broken("nothing-for-the-gone", f"{client.class_name}: waits on")
        if owed is not None and owed.attempts > worlds.attempts_of(client.epoch):
            world.broken("attempt-limit", f"{client.class_name}: {owed.attempts} attempts")
    if world.counters["states.forbidden"]:
        world.broken("no-forbidden-move", f"{world.counters['states.forbidden']} of them")


def at_rest(world: World) -> None:
    """Nothing happens any more, and time passes until nothing can be left."""
    for _ in range(worlds.REST_STEPS):
        world.pass_time()
        at_each(world)
    if world.stopped and world.core.open:
        world.broken("drain-ends", f"{len(world.core.open)} calls owed for good")
    core, module, pool = world.core, world.core.dispatcher, world.pool
    for client in world.clients:
        if client.owed():
            world.broken("answer-by-deadline", f"{client.class_name}: no answer")
    kept = {
        "open": core.open,
        "flights": core.flights,
        "bytes": core.open_bytes,
        # The module orders copies by itself, also now; what it has to forget is what is overdue.
        "errands": [one for one in core.errands.values() if world.now > one.sent_us + 2 * worlds.ORDER_US],
        "calls": module.calls,
        "attempts": module.attempts,
        "where": pool.where,
        "waiting": [row.function for row in module.rows.values() if row.waiting],
        "links": [c.open for r in pool.runners.values() for c in r.connections if c.open],
    }
    for name, what in kept.items():
        if what:
            world.broken("nothing-kept", f"{name}: {what}")
    counts = {f"row {row.function}": row.busy for row in module.rows.values()}
    for worker in module.workers.values():
        counts[f"worker {worker.entry.worker}"] = worker.busy
        for function, copy in worker.copies.items():
            counts[f"copy of {function} at {worker.entry.worker}"] = copy.busy
    if wrong := {name: count for name, count in counts.items() if count}:
        world.broken("counts-return", str(wrong))
