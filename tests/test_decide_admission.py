"""Final answers in time, and calls that are refused or given up early in overload."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.call_router import RETRY_AFTER_US
from maplestile.dispatch.state import Attempt, Call
from tests.helpers import MS, WORKERS, Driver, arrival, finals, sends, served, settings


def test_call_without_any_worker_is_answered_before_its_own_budget() -> None:
    d = Driver(settings(), [])
    d.give(arrival(1, budget_us=700 * MS))
    begun = d.now
    d.run(700 * MS)
    answers = [(t, a) for t, a in d.log if isinstance(a, api.RejectCall | api.FailCall)]
    assert len(answers) == 1 and answers[0][0] < begun + 700 * MS


def test_last_answer_leaves_little_of_a_short_budget_unused() -> None:
    d = Driver(settings(), WORKERS[:1])
    d.give(arrival(1, "f", budget_us=200 * MS))
    assert not finals(d.run(190 * MS))
    assert len(finals(d.run(8 * MS))) == 1  # and still before the client's time is up


def test_late_answers_have_new_calls_refused_and_marked_repeats_first() -> None:
    d = Driver(settings(), WORKERS)
    d.dispatcher.admission.late_ratio = 0.5
    fresh = repeats = 0
    for call in range(200):
        fresh += len(finals(d.give(arrival(2 * call, f"f{call}"))))
        repeats += len(finals(d.give(replace(arrival(2 * call + 1, f"f{call}"), repeat=True))))
    assert 0 < fresh < repeats <= 200


def test_in_overload_a_safe_call_is_given_up_at_its_latency_objective_and_an_unsafe_one_is_not() -> None:
    d = Driver(settings(), WORKERS)
    served(d, 1, "f")
    d.dispatcher.admission.late_ratio = 0.3
    d.dispatcher.context.random.random = lambda: 1.0  # type: ignore[method-assign]
    begun = d.now
    assert sends(d.give(arrival(2, "f"))) and sends(d.give(arrival(3, "g", "unsafe")))
    d.run(1_000 * MS)
    early = [(t, a) for t, a in d.log if isinstance(a, api.RejectCall | api.FailCall)]
    assert [a for _, a in early] == [api.RejectCall(2, RETRY_AFTER_US)] and early[0][0] <= begun + 1_000 * MS
    d.run(2_500 * MS)
    assert finals([a for _, a in d.log]) == [api.RejectCall(2, RETRY_AFTER_US), api.FailCall(3)]


def test_last_answer_leaves_time_for_a_busy_process() -> None:
    d = Driver(settings(), WORKERS)
    began = d.now
    d.give(arrival(1, "f", "unsafe", 1_000 * MS))
    d.run(2_000 * MS)
    (at,) = [t for t, a in d.log if isinstance(a, api.FailCall)]
    assert at <= began + 900 * MS


def test_calls_that_only_loads_made_late_have_no_others_refused() -> None:
    """After a release half of the functions wait for loads; the others' copies stand, and answer in time."""
    d = Driver(settings(router_count=1), WORKERS[:1])
    served(d, 1, "f")
    dispatcher, now = d.dispatcher, d.now
    context, admission = dispatcher.context, dispatcher.admission
    function, worker = dispatcher.tiers.functions["f"], dispatcher.workers["w0"]
    for attempts, counts in (
        ([], False),  # never sent: it waited for a load
        ([Attempt(0, worker, now, True, api.Result.FULL), Attempt(1, worker, now, True)], False),
        ([Attempt(0, worker, now, True), Attempt(1, worker, now, False, api.Result.OK)], True),
    ):
        admission.late_ratio = 0.0
        call = Call(2, function, context.classes["safe"], "safe ", now, now, context.settings, 0, attempts)
        worker.last_answer_us[""] = now + 1  # it is not silent
        admission.record_answer(call, True)
        assert (admission.late_ratio > 0) == counts
