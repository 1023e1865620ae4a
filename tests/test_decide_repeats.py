"""Tests of retries: idempotency, deduplication, streams, and disconnected clients."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.requests.endpoint_list import EndpointList
from tests.helpers import (
    CLASSES,
    MS,
    WORKERS,
    Driver,
    arrival,
    ended,
    entry,
    final_answers,
    sends,
    serve_call,
    settings,
)


def test_unsafe_call_that_may_have_run_fails_without_retry_or_rejection() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    worker = sends(driver.give(arrival(2, "f", "unsafe")))[0].worker
    actions = driver.give(ended(2, 0, worker, api.Result.ERROR)) + driver.run(3_000 * MS)
    assert final_answers(actions) == [api.FailCall(2)] and not sends(actions)
    driver.give(arrival(3, "f", "unsafe"))
    actions = driver.run(3_000 * MS)
    assert final_answers(actions) == [api.FailCall(3)] and not sends(actions)


def test_unsafe_call_that_never_ran_is_retried_at_another_worker() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    worker = sends(driver.give(arrival(2, "f", "unsafe")))[0].worker
    retries = sends(driver.give(ended(2, 0, worker, api.Result.CONNECT_FAILED)) + driver.run(50 * MS))
    assert len(retries) == 1 and retries[0].worker != worker


def test_keyed_call_is_retried_only_within_deduplication_scope_and_window() -> None:
    for is_late in (False, True):
        driver = Driver(settings(), [entry("a0", zone="za"), entry("a1", zone="za"), entry("b0", zone="zb")])
        worker = sends(driver.give(arrival(1, "f", "keyed")))[0].worker
        assert worker == "a0"
        driver.now_us += (2_500 if is_late else 100) * MS
        actions = driver.give(ended(1, 0, "a0", api.Result.RESET)) + driver.run(200 * MS)
        workers = {send.worker for send in sends(actions)}
        assert workers == set() if is_late else workers and workers <= {"a0", "a1"}


def test_workers_of_unknown_cells_share_none() -> None:
    """Guards against keyed calls that are repeated between workers whose entries give no cell."""
    targets = [{"uid": uid, "endpoint": f"127.0.0.1:{port}"} for uid, port in (("a0", 1), ("a1", 2))]
    endpoints = EndpointList()
    endpoints.apply_updates({"updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]})
    by_cell = replace(CLASSES[1], deduplication_scope=api.DeduplicationScope.CELL)
    unknown = [replace(worker, kind="k") for worker in endpoints.visible_entries()]
    for workers, repeats in ((unknown, 0), ([entry("a0"), entry("a1")], 1)):
        driver = Driver(settings(classes=(by_cell,)), workers)
        worker = sends(driver.give(arrival(1, "f", by_cell.name)))[0].worker
        actions = driver.give(ended(1, 0, worker, api.Result.ERROR)) + driver.run(200 * MS)
        assert len(sends(actions)) == repeats


def test_late_and_unknown_outcomes_are_ignored() -> None:
    driver = Driver(settings(), WORKERS)
    worker = serve_call(driver, 1, "f")
    assert driver.give(ended(1, 0, worker, api.Result.OK)) == []
    assert driver.give(ended(99, 3, "nobody", api.Result.ERROR)) == []
    assert driver.give(api.TimerFired(12345)) == []
    assert driver.give(api.CallExpired(77)) == []
    assert driver.give(api.LoadRequestEnded("nobody", "nothing", api.Result.TIMEOUT, 1, 0)) == []


def test_call_without_a_permitted_worker_is_answered_at_once() -> None:
    driver = Driver(settings(), [entry("a0", zone="za"), entry("b0", zone="zb")])
    worker = sends(driver.give(arrival(1, "f", "keyed")))[0].worker
    # No other worker is in the call's deduplication zone.
    assert final_answers(driver.give(ended(1, 0, worker, api.Result.ERROR))) == [api.FailCall(1)]
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "f"))
    # After a broken connection, the same worker is tried once more.
    assert not final_answers(driver.give(ended(1, 0, "w0", api.Result.RESET)))
    assert len(final_answers(driver.give(ended(1, 1, "w0", api.Result.RESET)))) == 1


def test_unknown_function_is_given_up_soon_without_blaming_workers() -> None:
    driver = Driver(settings(), WORKERS)
    (send,) = sends(driver.give(arrival(1, "x")))
    actions = list[api.Action]()
    for attempt in range(3):
        assert not final_answers(actions)
        actions = driver.give(ended(1, attempt, send.worker, api.Result.ERROR, 5 * MS)) + driver.run(100 * MS)
        send = (sends(actions) or [send])[0]
    assert len(final_answers(actions)) == 1
    assert not any(worker.failure_scores for worker in driver.dispatcher.workers.values())
    (send,) = sends(driver.give(arrival(2, "x")))  # later calls get one attempt each until one succeeds
    assert final_answers(driver.give(ended(2, 0, send.worker, api.Result.ERROR, 5 * MS)))
    serve_call(driver, 3, "x")
    assert driver.dispatcher.tiers.functions["x"].errors_before_success == 0


def test_streaming_call_is_not_answered_or_cancelled() -> None:
    driver = Driver(settings(), WORKERS)
    worker = sends(driver.give(arrival(1)))[0].worker
    driver.give(api.StreamStarted(1, 0, worker, 50 * MS))
    actions = driver.run(5_000 * MS)
    assert not final_answers(actions) and not any(isinstance(action, api.CancelAttempt) for action in actions)


def test_waiting_calls_of_a_function_share_one_retry_timer() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 100, "f")
    driver.give(arrival(101, "f"))
    driver.give(ended(101, 0, home, api.Result.FULL, MS))  # the worker is backed off, and the call waits
    actions = [action for call in range(50) for action in driver.give(arrival(call, "f"))]
    timers = [action for action in actions if isinstance(action, api.SetTimer)]
    assert len(timers) == 50  # one for the end of each call, and no further retry timers
    assert not sends(actions)


def test_no_attempt_begins_after_client_disconnects() -> None:
    for class_name, final_answer, after_us in (
        ("safe", api.RejectCall, 100 * MS),
        ("safe", api.RejectCall, 2_500 * MS),
        ("unsafe", api.FailCall, 100 * MS),
    ):
        driver = Driver(settings(), WORKERS)
        (send,) = sends(driver.give(arrival(1, class_name=class_name)))
        assert driver.give(api.ClientDisconnected(1)) == []
        assert not sends(driver.run(after_us))  # no hedged attempt even when the attempt is overdue
        actions = driver.give(ended(1, 0, send.worker, api.Result.ERROR))
        assert not sends(actions) and [type(action) for action in final_answers(actions)] == [final_answer]
        assert not driver.dispatcher.calls and not driver.dispatcher.attempts


def test_waiting_call_is_given_up_when_client_disconnects() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 100, "f")
    driver.give(arrival(101, "f"))
    driver.give(ended(101, 0, home, api.Result.FULL, MS))  # the worker is backed off, and the call waits
    assert [type(action) for action in driver.give(api.ClientDisconnected(101))] == [api.RejectCall]
    assert not sends(driver.run(5_000 * MS)) and not driver.dispatcher.tiers.functions["f"].waiting
    assert driver.give(api.ClientDisconnected(101)) == []
