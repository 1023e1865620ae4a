"""Which calls go out again, and where: idempotency, streams, and clients that have left."""

from maplestile.dispatch import api
from tests.helpers import MS, WORKERS, Driver, arrival, ended, entry, finals, sends, served, settings


def test_unsafe_call_that_may_have_run_fails_and_is_never_resent_or_refused() -> None:
    d = Driver(settings(), WORKERS)
    served(d, 1, "f")
    worker = sends(d.give(arrival(2, "f", "unsafe")))[0].worker
    done = d.give(ended(2, 0, worker, api.Result.ERROR)) + d.run(3_000 * MS)
    assert finals(done) == [api.FailCall(2)] and not sends(done)
    d.give(arrival(3, "f", "unsafe"))
    done = d.run(3_000 * MS)
    assert finals(done) == [api.FailCall(3)] and not sends(done)


def test_unsafe_call_that_never_ran_goes_elsewhere() -> None:
    d = Driver(settings(), WORKERS)
    served(d, 1, "f")
    worker = sends(d.give(arrival(2, "f", "unsafe")))[0].worker
    again = sends(d.give(ended(2, 0, worker, api.Result.CONNECT_FAILED)) + d.answer_asks() + d.run(50 * MS))
    assert len(again) == 1 and again[0].worker != worker


def test_keyed_call_goes_again_only_in_its_group_and_window() -> None:
    for late in (False, True):
        d = Driver(settings(), [entry("a0", zone="za"), entry("a1", zone="za"), entry("b0", zone="zb")])
        worker = sends(d.give(arrival(1, "f", "keyed")) + d.answer_asks(("a0",)))[0].worker
        assert worker == "a0"
        d.now += (2_500 if late else 100) * MS
        done = d.give(ended(1, 0, "a0", api.Result.RESET)) + d.answer_asks() + d.run(200 * MS)
        again = {s.worker for s in sends(done)}
        assert again == set() if late else again and again <= {"a0", "a1"}


def test_late_repeated_and_unknown_outcomes_do_nothing() -> None:
    d = Driver(settings(), WORKERS)
    worker = served(d, 1, "f")
    assert d.give(ended(1, 0, worker, api.Result.OK)) == []
    assert d.give(ended(99, 3, "nobody", api.Result.ERROR)) == []
    assert d.give(api.TimerFired(12345)) == []
    assert d.give(api.CallExpired(77)) == []
    assert d.give(api.LoadRequestEnded("nobody", "nothing", api.Result.TIMEOUT, 1, 0)) == []


def test_call_that_may_go_nowhere_any_more_is_answered_at_once() -> None:
    d = Driver(settings(), [entry("a0", zone="za"), entry("b0", zone="zb")])
    worker = sends(d.give(arrival(1, "f", "keyed")))[0].worker
    assert finals(d.give(ended(1, 0, worker, api.Result.ERROR))) == [
        api.FailCall(1)
    ]  # no other one in its zone
    d = Driver(settings(), WORKERS[:1])
    d.give(arrival(1, "f"))
    assert not finals(d.give(ended(1, 0, "w0", api.Result.RESET)))  # a broken connection: once more there
    assert len(finals(d.give(ended(1, 1, "w0", api.Result.RESET)))) == 1


def test_name_that_no_worker_knows_blames_none_and_is_given_up_soon() -> None:
    d = Driver(settings(), WORKERS)
    (send,) = sends(d.give(arrival(1, "x")))
    done = list[api.Action]()
    for attempt in range(3):
        assert not finals(done)
        done = d.give(ended(1, attempt, send.worker, api.Result.ERROR, 5 * MS)) + d.run(100 * MS)
        send = (sends(done) or [send])[0]
    assert len(finals(done)) == 1
    assert not any(worker.failure_scores for worker in d.dispatcher.workers.values())
    (send,) = sends(d.give(arrival(2, "x")))  # later ones get one try each, until the name is good
    assert finals(d.give(ended(2, 0, send.worker, api.Result.ERROR, 5 * MS)))
    served(d, 3, "x")
    assert d.dispatcher.tiers.functions["x"].errors_before_success == 0


def test_stream_keeps_its_owner() -> None:
    d = Driver(settings(), WORKERS)
    worker = sends(d.give(arrival(1)) + d.answer_asks())[0].worker
    d.give(api.StreamStarted(1, 0, worker, 50 * MS))
    done = d.run(5_000 * MS)
    assert not finals(done) and not any(isinstance(a, api.CancelAttempt) for a in done)


def test_held_calls_share_one_timer_a_function() -> None:
    d = Driver(settings(router_count=1), WORKERS[:1])
    home = served(d, 100, "f")
    d.give(arrival(101, "f"))
    d.give(ended(101, 0, home, api.Result.FULL, MS))  # it backs off, and its call is held
    done = [a for call in range(50) for a in d.give(arrival(call, "f"))]
    assert sum(isinstance(a, api.SetTimer) for a in done) == 50  # each one's end, and no retry timer more
    assert not sends(done)


def test_nothing_begins_for_a_client_that_has_gone_and_what_is_out_is_its_answer() -> None:
    for name, over, after_us in (
        ("safe", api.RejectCall, 100 * MS),
        ("safe", api.RejectCall, 2_500 * MS),
        ("unsafe", api.FailCall, 100 * MS),
    ):
        d = Driver(settings(), WORKERS)
        (send,) = sends(d.give(arrival(1, name=name)))
        assert d.give(api.ClientDisconnected(1)) == []
        assert not sends(d.run(after_us))  # silent for long: no second copy
        done = d.give(ended(1, 0, send.worker, api.Result.ERROR))
        assert not sends(done) and [type(a) for a in finals(done)] == [over]
        assert not d.dispatcher.calls and not d.dispatcher.attempts


def test_call_that_waits_is_given_up_the_moment_its_client_goes() -> None:
    d = Driver(settings(router_count=1), WORKERS[:1])
    home = served(d, 100, "f")
    d.give(arrival(101, "f"))
    d.give(ended(101, 0, home, api.Result.FULL, MS))  # it backs off, and its call is held
    assert [type(a) for a in d.give(api.ClientDisconnected(101))] == [api.RejectCall]
    assert not sends(d.run(5_000 * MS)) and not d.dispatcher.tiers.functions["f"].waiting
    assert d.give(api.ClientDisconnected(101)) == []
