"""Checks the properties of `properties.py` on what workers and clients saw in a replay over real sockets."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from maplestile.tools.explore import scenario
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.records import Violation
from maplestile.tools.explore.scripted_workers import ReceivedCall

US_PER_S = 1e6
REJECTED_STATUS = 503


@dataclass(slots=True)
class ClientObservations:
    """What the clients of a replay have observed, by the numbers of their calls."""

    statuses: dict[int, list[int]] = field(default_factory=dict)  # HTTP statuses of the answers
    late_calls: set[int] = field(default_factory=set)  # calls answered after the deadline
    withdrawn: set[int] = field(default_factory=set)  # calls whose clients have stopped waiting


def find_violations(
    case: Case,
    clients: ClientObservations,
    calls: Collection[ReceivedCall],
    draining_since_s: Mapping[str, float],
) -> Iterator[Violation]:
    """Yield all violations, those of single calls first."""
    for number, statuses in clients.statuses.items():
        name = case.classes[number]
        received = [call for call in calls if call.name == f"c{number}"]
        yield from _answer_violations(number, name, clients)
        yield from _attempt_violations(case, name, statuses, received)
    grace_s = scenario.settings().drain_grace_us / US_PER_S
    for call in calls:
        since_s = draining_since_s.get(call.worker)
        if since_s is not None and call.received_s > since_s + grace_s:
            yield Violation("nothing-after-drain", f"{call.name} at {call.worker}")


def _answer_violations(number: int, name: str, clients: ClientObservations) -> Iterator[Violation]:
    statuses = clients.statuses[number]
    if len(statuses) > 1:
        yield Violation("one-answer", f"{name}: {len(statuses)} answers")
    if number not in clients.withdrawn and (not statuses or number in clients.late_calls):
        yield Violation("answer-by-deadline", f"{name}: {statuses or 'no answer'}")


def _attempt_violations(
    case: Case, name: str, statuses: Collection[int], received: Collection[ReceivedCall]
) -> Iterator[Violation]:
    ran = [call for call in received if not call.never_ran]
    if name == "unsafe" and len(ran) > 1:
        yield Violation("unsafe-once", f"at {', '.join(call.worker for call in ran)}")
    if len(received) > scenario.MAX_ATTEMPTS:
        yield Violation("attempt-limit", f"{name}: {len(received)} attempts")
    if REJECTED_STATUS in statuses and ran and name not in ("safe", "keyed-all"):
        yield Violation("harmless-refusal", f"{name}: refused, and it may have run")
    if name.startswith("keyed") and ran:
        yield from _repeat_violations(case, name, ran)


def _repeat_violations(case: Case, name: str, ran: list[ReceivedCall]) -> Iterator[Violation]:
    """Yield a violation for each repeat of a call with a key that is not dropped as a duplicate.

    That is a repeat outside the deduplication scope or window of the first run.
    """
    first, *repeats = ran
    places: dict[str, tuple[object, ...]] = {"zone": case.zones, "cell": case.cells}
    places_of_scope = places.get(name.partition("-")[2])
    if places_of_scope is not None:
        place = places_of_scope[int(first.worker[1:])]
        for call in repeats:
            if places_of_scope[int(call.worker[1:])] != place:
                yield Violation("keyed-in-scope", f"{name}: at {call.worker} as well")
    window_s = scenario.CLASSES[name].deduplication_window_us / US_PER_S
    for call in repeats:
        if call.received_s > first.received_s + window_s:
            yield Violation("keyed-in-scope", f"{name}: after its window")
