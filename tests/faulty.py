"""Components with one deliberate fault each, for testing that the explorer finds the fault."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.dispatch.state import Attempt, Call, Worker
from maplestile.requests.core import AttemptId, Core
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.states import AttemptState
from maplestile.tools.explore.connections import SimulatedPool
from maplestile.tools.explore.simulation import Components
from maplestile.wire.messages import Outcome
from maplestile.wire.runner import Answer


def replace_method(component: object, name: str, method: Callable[..., object]) -> None:
    """Replace a method of one component of a dispatcher or of a core by a faulty one."""
    assert callable(getattr(component, name))
    setattr(component, name, method)


class AnswersTwice(Core):
    """Keeps a call open after its answer."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.original_finish = self.requests.finish
        replace_method(self.requests, "finish", self.finish)

    def finish(self, call: int, outcome: Outcome) -> None:  # puts the call back into the table
        pending = self.open.get(call)
        self.original_finish(call, outcome)
        if pending is not None and outcome.may_have_run:
            self.open[call] = pending


class WithholdsFailures(Core):
    """Does not answer a failed call."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        replace_method(self.requests, "fail", lambda call: None)


class SendsAnythingAgain(Dispatcher):
    """Sends calls again even if they may have run and are not idempotent."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        replace_method(self.retry, "may_repeat", self.may_repeat)
        replace_method(self.router, "retry_or_finish", self.retry_or_finish)

    def may_repeat(self, call: Call, worker: Worker) -> bool:  # omits the idempotency check
        return len(call.attempts) < call.settings.max_attempts and self.fleet.is_running(worker)

    def retry_or_finish(self, call: Call, result: Result) -> None:
        self.router.route(call)


class IgnoresDeduplicationScope(Dispatcher):
    """Resends a call that has a key to workers outside the key's deduplication scope."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        replace_method(self.retry, "deduplicates", self.deduplicates)

    def deduplicates(self, call: Call, ran: list[Attempt], target: api.WorkerEntry) -> bool:
        return call.call_class.idempotency is api.Idempotency.WITH_KEY


class IgnoresDeduplicationWindow(Dispatcher):
    """Sends an attempt with a key however late its connection is established.

    The deduplication window is checked only when the attempt is decided, not when it is written.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.original_send = self.router.send
        replace_method(self.router, "send", self.send)

    def send(self, call: Call, worker: Worker) -> None:
        self.original_send(call, worker)
        actions = self.context.actions
        actions[:] = [
            replace(action, until_us=0) if isinstance(action, api.SendAttempt) else action
            for action in actions
        ]


class WritesToDraining(SimulatedPool):
    """Sends new attempts to draining workers."""

    def update(self, fleet: EndpointList) -> None:
        super().update(fleet)
        for runner in self.runners.values():
            runner.accepts_new_work = True


class CountsNoAttempts(Dispatcher):
    """Makes any number of attempts."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        replace_method(self.retry, "may_repeat", self.may_repeat)

    def may_repeat(self, call: Call, worker: Worker) -> bool:
        return self.fleet.is_running(worker)


class DecidesByLatestSettings(Dispatcher):
    """Applies a new policy to calls that were submitted under the previous one."""

    def apply_settings(self, settings: api.Settings) -> None:
        super().apply_settings(settings)
        for call in self.calls.values():
            call.settings = settings


class RejectsAnything(Dispatcher):
    """Rejects calls of every class, even if they may have run."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        replace_method(self.admission, "may_reject", lambda call: True)


class LosesCancelledAttempts(Dispatcher):
    """Drops a cancelled attempt without decreasing the counts of its worker."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.original_end = self.outcomes.on_attempt_ended
        replace_method(self.outcomes, "on_attempt_ended", self.on_attempt_ended)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        if event.result is Result.CANCELLED:
            self.attempts.pop((event.call, event.attempt), None)
        else:
            self.original_end(event)


class LeaksRequestBytes(Core):
    """Never stops counting the bytes of a withdrawn call."""

    def withdraw(self, call: int) -> None:
        pending = self.open.get(call)
        super().withdraw(call)
        if pending is not None:
            self.requests.open_bytes += pending.request.bytes()


class KeepsDeadlinesAtDrain(Core):
    """Leaves calls open until their deadlines instead of answering them at the process's exit time."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        replace_method(self.intake, "answer_all", lambda: None)


class SendsForDisconnectedClients(SimulatedPool):
    """Starts attempts for clients that have disconnected."""

    def drop_unwritten(self, attempt: AttemptId) -> bool:
        return False


class RetriesForDisconnectedClients(Dispatcher):
    """Retries a call after its client has disconnected."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        replace_method(self.router, "abandon", lambda call: None)


class KeepsCancelledAttempts(SimulatedPool):
    """Keeps a cancelled attempt, whose state can then still change."""

    def cancel(self, attempt: AttemptId) -> None:
        found = self.locations.get(attempt)
        super().cancel(attempt)
        if found is not None and found[1].state is AttemptState.CANCELLED:
            self.locations[attempt] = found
            found[0].open[found[1].tag] = attempt


class RaisesOnUnknownAnswers(SimulatedPool):
    """Raises an error on an answer that belongs to no open request."""

    def answer_received(self, connection: Any, answer: Answer) -> None:
        if answer.call not in connection.open and answer.call not in connection.control_tags:
            raise KeyError(answer.call)
        super().answer_received(connection, answer)


# The violated property, the case that shows it, and the faulty components.
FAULTS: tuple[tuple[str, str, Components], ...] = (
    ("one-answer", "safe", Components(core=AnswersTwice)),
    ("answer-by-deadline", "unsafe", Components(core=WithholdsFailures)),
    ("unsafe-once", "unsafe", Components(dispatcher=SendsAnythingAgain)),
    ("keyed-in-scope", "keyed-cell", Components(dispatcher=IgnoresDeduplicationScope)),
    ("keyed-in-scope", "keyed-all", Components(dispatcher=IgnoresDeduplicationWindow)),
    ("nothing-after-drain", "drain", Components(pool=WritesToDraining)),
    ("attempt-limit", "safe", Components(dispatcher=CountsNoAttempts)),
    ("one-policy", "policy", Components(dispatcher=DecidesByLatestSettings)),
    ("harmless-refusal", "unsafe", Components(dispatcher=RejectsAnything)),
    ("counts-return", "late", Components(dispatcher=LosesCancelledAttempts)),
    ("nothing-kept", "late", Components(core=LeaksRequestBytes)),
    ("drain-ends", "stop", Components(core=KeepsDeadlinesAtDrain)),
    ("nothing-for-the-gone", "away", Components(pool=SendsForDisconnectedClients)),
    ("nothing-for-the-gone", "away-safe", Components(dispatcher=RetriesForDisconnectedClients)),
    ("no-forbidden-move", "late", Components(pool=KeepsCancelledAttempts)),
    ("no-crash", "late", Components(pool=RaisesOnUnknownAnswers)),
)
