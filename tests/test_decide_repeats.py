"""Which calls go out again, and where: idempotency, streams, and clients that have left."""

from maplestile.dispatch import api
from tests.helpers import (
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


def test_unsafe_call_that_may_have_run_fails_and_is_never_resent_or_refused() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    worker = sends(driver.give(arrival(2, "f", "unsafe")))[0].worker
    done = driver.give(ended(2, 0, worker, api.Result.ERROR)) + driver.run(3_000 * MS)
    assert final_answers(done) == [api.FailCall(2)] and not sends(done)
    driver.give(arrival(3, "f", "unsafe"))
    done = driver.run(3_000 * MS)
    assert final_answers(done) == [api.FailCall(3)] and not sends(done)


def test_unsafe_call_that_never_ran_goes_elsewhere() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    worker = sends(driver.give(arrival(2, "f", "unsafe")))[0].worker
    again = sends(driver.give(ended(2, 0, worker, api.Result.CONNECT_FAILED)) + driver.run(50 * MS))
    assert len(again) == 1 and again[0].worker != worker


def test_keyed_call_goes_again_only_in_its_group_and_window() -> None:
    for late in (False, True):
        driver = Driver(settings(), [entry("a0", zone="za"), entry("a1", zone="za"), entry("b0", zone="zb")])
        worker = sends(driver.give(arrival(1, "f", "keyed")))[0].worker
        assert worker == "a0"
        driver.now += (2_500 if late else 100) * MS
        done = driver.give(ended(1, 0, "a0", api.Result.RESET)) + driver.run(200 * MS)
        again = {send.worker for send in sends(done)}
        assert again == set() if late else again and again <= {"a0", "a1"}


def test_late_repeated_and_unknown_outcomes_do_nothing() -> None:
    driver = Driver(settings(), WORKERS)
    worker = serve_call(driver, 1, "f")
    assert driver.give(ended(1, 0, worker, api.Result.OK)) == []
    assert driver.give(ended(99, 3, "nobody", api.Result.ERROR)) == []
    assert driver.give(api.TimerFired(12345)) == []
    assert driver.give(api.CallExpired(77)) == []
    assert driver.give(api.LoadRequestEnded("nobody", "nothing", api.Result.TIMEOUT, 1, 0)) == []


def test_call_that_may_go_nowhere_any_more_is_answered_at_once() -> None:
    driver = Driver(settings(), [entry("a0", zone="za"), entry("b0", zone="zb")])
    worker = sends(driver.give(arrival(1, "f", "keyed")))[0].worker
    # There is no other worker in its zone.
    assert final_answers(driver.give(ended(1, 0, worker, api.Result.ERROR))) == [api.FailCall(1)]
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "f"))
    # After a broken connection it goes there once more.
    assert not final_answers(driver.give(ended(1, 0, "w0", api.Result.RESET)))
    assert len(final_answers(driver.give(ended(1, 1, "w0", api.Result.RESET)))) == 1


def test_name_that_no_worker_knows_blames_none_and_is_given_up_soon() -> None:
    driver = Driver(settings(), WORKERS)
    (send,) = sends(driver.give(arrival(1, "x")))
    done = list[api.Action]()
    for attempt in range(3):
        assert not final_answers(done)
        done = driver.give(ended(1, attempt, send.worker, api.Result.ERROR, 5 * MS)) + driver.run(100 * MS)
        send = (sends(done) or [send])[0]
    assert len(final_answers(done)) == 1
    assert not any(worker.failure_scores for worker in driver.dispatcher.workers.values())
    (send,) = sends(driver.give(arrival(2, "x")))  # later ones get one try each, until the name is good
    assert final_answers(driver.give(ended(2, 0, send.worker, api.Result.ERROR, 5 * MS)))
    serve_call(driver, 3, "x")
    assert driver.dispatcher.tiers.functions["x"].errors_before_success == 0


def test_stream_keeps_its_owner() -> None:
    driver = Driver(settings(), WORKERS)
    worker = sends(driver.give(arrival(1)))[0].worker
    driver.give(api.StreamStarted(1, 0, worker, 50 * MS))
    done = driver.run(5_000 * MS)
    assert not final_answers(done) and not any(isinstance(action, api.CancelAttempt) for action in done)


def test_held_calls_share_one_timer_a_function() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 100, "f")
    driver.give(arrival(101, "f"))
    driver.give(ended(101, 0, home, api.Result.FULL, MS))  # it backs off, and its call is held
    done = [action for call in range(50) for action in driver.give(arrival(call, "f"))]
    timers = [action for action in done if isinstance(action, api.SetTimer)]
    assert len(timers) == 50  # each one's end, and no retry timer more
    assert not sends(done)


def test_no_attempt_starts_for_a_client_that_has_left_and_one_in_flight_is_its_answer() -> None:
    for name, over, after_us in (
        ("safe", api.RejectCall, 100 * MS),
        ("safe", api.RejectCall, 2_500 * MS),
        ("unsafe", api.FailCall, 100 * MS),
    ):
        driver = Driver(settings(), WORKERS)
        (send,) = sends(driver.give(arrival(1, name=name)))
        assert driver.give(api.ClientDisconnected(1)) == []
        assert not sends(driver.run(after_us))  # silent for long: no hedged attempt
        done = driver.give(ended(1, 0, send.worker, api.Result.ERROR))
        assert not sends(done) and [type(action) for action in final_answers(done)] == [over]
        assert not driver.dispatcher.calls and not driver.dispatcher.attempts


def test_call_that_waits_is_given_up_the_moment_its_client_leaves() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 100, "f")
    driver.give(arrival(101, "f"))
    driver.give(ended(101, 0, home, api.Result.FULL, MS))  # it backs off, and its call is held
    assert [type(action) for action in driver.give(api.ClientDisconnected(101))] == [api.RejectCall]
    assert not sends(driver.run(5_000 * MS)) and not driver.dispatcher.tiers.functions["f"].waiting
    assert driver.give(api.ClientDisconnected(101)) == []
