"""The decisions, one dispatcher at a time; each failure found has its test here."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.call_router import RETRY_AFTER_US
from maplestile.dispatch.outliers import EJECTION_SCORE
from maplestile.dispatch.state import CACHING, MULTIPLE, SINGLE, Attempt, Call, Worker
from tests.helpers import MS, Driver, arrival, ended, entry, finals, fleet, sends, settings

WORKERS = [entry(f"w{i}") for i in range(4)]


def served(d: Driver, call: int, function: str, holders: tuple[str, ...] = ()) -> str:
    """One call from arrival to its good answer; returns the worker."""
    done = d.give(arrival(call, function)) + d.answer_asks(holders)
    worker = sends(done)[0].worker
    d.run(100 * MS)
    d.give(ended(call, 0, worker, api.Result.OK))
    return worker


def test_functions_rise_one_tier_a_call_and_caching_demands_a_better_gap() -> None:
    d = Driver(settings(), WORKERS)
    places = []
    for call in range(3):
        served(d, call, "f")
        places.append(d.dispatcher.tiers.functions["f"].tier)
    assert places == [SINGLE, MULTIPLE, CACHING]
    for call in range(10, 13):
        d.run(5_000 * MS)
        served(d, call * 10, "f")
        served(d, call * 10 + 1, "f")
        served(d, call, "rare")
    assert (
        d.dispatcher.tiers.functions["rare"].tier == MULTIPLE
    )  # its gap is worse than that of f, aged as it is
    d.run(9_000 * MS)
    served(d, 201, "rare")
    served(d, 202, "rare")
    assert d.dispatcher.tiers.functions["rare"].tier == CACHING  # f has been idle for longer than the new gap


def test_full_tiers_evict_their_worst_one_tier_down() -> None:
    d = Driver(settings(kind_memory_mb=(("k", 400.0),)), WORKERS)  # room for two functions
    for n, function in enumerate(("a", "b", "c", "d", "e")):
        served(d, 100 + n, function)
    for n in range(12):
        served(d, 200 + n, "abcde"[n % 5])
    tiers = d.dispatcher.tiers.tiers
    assert d.dispatcher.tiers.capacity == 2
    assert len(tiers[CACHING]) <= 2 and len(tiers[MULTIPLE]) <= 2
    assert sum(len(tier) for tier in tiers) == 5


def test_backlog_of_a_stall_makes_no_near_zero_gap() -> None:
    d = Driver(settings(), WORKERS)
    served(d, 1, "rare")
    d.run(8_000 * MS)
    for call in (2, 3, 4):  # delivered at once after a stall
        d.give(arrival(call, "rare"))
    assert d.dispatcher.tiers.functions["rare"].gap_us >= 8_000 * MS


def test_home_is_who_served_and_unknown_functions_share_a_ranking_without_the_seed() -> None:
    firsts = {served(Driver(settings(), WORKERS, seed), 1, "f") for seed in range(5)}
    assert len(firsts) == 1
    d = Driver(settings(), WORKERS)
    top = sends(d.give(arrival(1, "f")))[0].worker
    other = sends(d.give(ended(1, 0, top, api.Result.FULL)))[0].worker
    d.run(100 * MS)
    d.give(ended(1, 1, other, api.Result.OK))
    assert d.dispatcher.tiers.functions["f"].home == other != top


def test_own_calls_at_the_lanes_and_full_move_on_along_the_ranking() -> None:
    d = Driver(settings(router_count=1), WORKERS[:2])
    home = served(d, 1, "f")
    first = [sends(d.give(arrival(call, "f")))[0].worker for call in (2, 3)]
    assert first[0] == home
    (order,) = [
        a for a in d.give(arrival(4, "f")) if isinstance(a, api.RequestLoad)
    ]  # it waits for a turn here
    assert order.worker != home
    d.give(api.LoadRequestEnded(order.worker, "f", api.Result.OK, 500 * MS, 1))
    crowd = [s.worker for call in (5, 6) for s in sends(d.give(arrival(call, "f")))]
    assert crowd == [order.worker] * 2
    moved = sends(d.give(ended(2, 0, home, api.Result.FULL)) + d.run(40 * MS))
    assert all(s.worker != home for s in moved if s.call == 2)


def test_function_with_a_large_share_of_the_work_gets_more_replicas() -> None:
    told = settings(router_count=300)
    d = Driver(told, [entry(f"w{i}") for i in range(60)])
    used = {"hot": set[str](), "rare": set[str]()}
    for call in range(120):
        d.run(300 * MS)
        function = "hot" if call % 2 else f"rare-{call}"
        for send in sends(d.give(arrival(call, function))):
            used["hot" if call % 2 else "rare"].add(send.worker)
            d.give(ended(call, 0, send.worker, api.Result.OK, 900 * MS if call % 8 == 1 else 100 * MS))
    assert len(used["hot"]) >= 10  # drawn among many replicas, and slow answers moved it
    assert d.dispatcher.placement.replica_count(d.dispatcher.tiers.functions["rare-118"]) == 1


def test_function_in_the_caching_tier_gets_a_keep_warm_request_and_others_none() -> None:
    d = Driver(settings(router_count=1), WORKERS)
    for call in range(3):
        home = served(d, call, "hot")
    served(d, 10, "once")
    held = [a for a in d.run(9_000 * MS) if isinstance(a, api.RequestLoad)]
    assert held == [api.RequestLoad(home, "hot", 1)]


def test_load_requests_stay_in_the_budget() -> None:
    d = Driver(settings(load_requests_free=2, load_requests_per_call=0.0, loads_on_miss=False), WORKERS)
    for call in range(40):
        for send in sends(d.give(arrival(call, f"f{call % 5}"))):
            d.give(ended(call, 0, send.worker, api.Result.MISS, MS))
    d.run(3_000 * MS)
    assert sum(isinstance(a, api.RequestLoad) and a.copies > 0 for _, a in d.log) == 2


def test_miss_is_answered_by_a_load_request_and_the_call_waits_for_it() -> None:
    d = Driver(settings(loads_on_miss=False), WORKERS)
    home = served(d, 1, "f")
    d.give(arrival(2, "f"))
    done = d.give(ended(2, 0, home, api.Result.MISS, MS))
    assert [a for a in done if isinstance(a, api.RequestLoad)] == [api.RequestLoad(home, "f", 1)]
    assert sends(d.run(100 * MS))[0].worker == home


def test_drain_stops_calls_and_load_requests_at_once() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    d.give(fleet(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    for call in range(2, 30):
        d.give(arrival(call, "f"))
    later = [a for t, a in d.log if t == d.now] + d.run(2_000 * MS)
    assert all(a.worker != home for a in later if isinstance(a, api.SendAttempt))
    assert all(a.worker != home for a in later if isinstance(a, api.RequestLoad) and a.copies)


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


def test_call_without_any_worker_is_answered_before_its_own_budget() -> None:
    d = Driver(settings(), [])
    d.give(arrival(1, budget_us=700 * MS))
    begun = d.now
    d.run(700 * MS)
    answers = [(t, a) for t, a in d.log if isinstance(a, api.RejectCall | api.FailCall)]
    assert len(answers) == 1 and answers[0][0] < begun + 700 * MS


def test_late_repeated_and_unknown_outcomes_do_nothing() -> None:
    d = Driver(settings(), WORKERS)
    worker = served(d, 1, "f")
    assert d.give(ended(1, 0, worker, api.Result.OK)) == []
    assert d.give(ended(99, 3, "nobody", api.Result.ERROR)) == []
    assert d.give(api.TimerFired(12345)) == []
    assert d.give(api.CallExpired(77)) == []
    assert d.give(api.LoadRequestEnded("nobody", "nothing", api.Result.TIMEOUT, 1, 0)) == []


def test_fast_errors_do_not_attract_traffic() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f", holders=("w0", "w1"))
    hits = 0
    for call in range(2, 22):
        d.run(50 * MS)
        done = d.give(arrival(call, "f"))
        for send in sends(done):
            hits += send.worker == home
            bad = send.worker == home
            d.give(ended(call, 0, send.worker, api.Result.ERROR if bad else api.Result.OK, 5 * MS))
    assert hits <= 4


def test_call_of_much_hinted_work_is_neither_silent_nor_slow_before_its_time() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    hinted = replace(arrival(2, "f", budget_us=10_000 * MS), cost_us=900 * MS)
    assert [s.worker for s in sends(d.give(hinted))] == [home]
    assert not sends(d.run(1_700 * MS))  # many service times of f, but none of this call's own
    assert not d.dispatcher.workers[home].failure_scores
    d.give(ended(2, 0, home, api.Result.OK, 1_700 * MS))
    assert d.dispatcher.tiers.functions["f"].home == home
    d.give(arrival(3, "f", budget_us=10_000 * MS))  # without a hint the same silence is a symptom
    assert sends(d.run(1_700 * MS)) and d.dispatcher.workers[home].failure_scores


def test_last_answer_leaves_little_of_a_short_budget_unused() -> None:
    d = Driver(settings(), WORKERS[:1])
    d.give(arrival(1, "f", budget_us=200 * MS))
    assert not finals(d.run(190 * MS))
    assert len(finals(d.run(8 * MS))) == 1  # and still before the client's time is up


def test_one_that_has_just_started_holds_no_first_calls_for_loads_that_others_have_made() -> None:
    d = Driver(settings(), WORKERS)
    for call in range(6):
        d.give(arrival(call, f"f{call}"))
    sent = sends([a for _, a in d.log])
    assert len(sent) > 2 and not d.dispatcher.loads.loads  # two loads are the cap here
    for send in sent:
        d.give(ended(send.call, 0, send.worker, api.Result.OK))
    d.run(30_000 * MS)  # from then on it knows what it has seen, and a new name's copy must be loaded
    d.give(arrival(50, "new"))
    assert len(d.dispatcher.loads) == 1


def test_drain_of_a_home_has_the_copy_loaded_at_the_next_replica_before_a_call_comes() -> None:
    d = Driver(settings(), WORKERS)
    for call in range(4):
        home = served(d, call, "f")
    d.log.clear()
    d.give(fleet(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    d.run(1_000 * MS)
    (order,) = [a for _, a in d.log if isinstance(a, api.RequestLoad)]
    assert (
        order == api.RequestLoad(d.dispatcher.tiers.functions["f"].ranking[0].entry.worker, "f", 1)
        and order.worker != home
    )


def test_copies_are_inferred_at_replicas_alone_and_not_before_others_can_have_loaded_them() -> None:
    d = Driver(settings(router_count=9), [*WORKERS, entry("w4")])
    for call in range(40):
        served(d, call, "f")
    dispatcher, function = d.dispatcher, d.dispatcher.tiers.functions["f"]
    dispatcher.load_rate.first_call_us -= 60_000 * MS
    function.replica_count, function.home = 1, ""
    copies = dispatcher.warm_copies
    unknown = [w for w in function.ranking[1:] if not copies.is_warm(function, w)]
    assert unknown and not any(copies.is_inferred_warm(function, w) for w in unknown)
    d.give(fleet(replace(function.ranking[0].entry, state=api.WorkerState.GONE), kind=api.ListKind.DELTA))
    replica = dispatcher.fleet.ranked(function)[0]
    replica.copies.clear()
    function.copy(replica).replica_since_us = d.now
    assert not copies.is_inferred_warm(function, replica)
    d.now += 5_000 * MS
    dispatcher.handle(d.now, api.CallExpired(0))
    assert copies.is_inferred_warm(function, replica)


def test_call_waits_at_a_busy_copy_while_the_next_one_loads() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    d.run(500 * MS)
    assert [s.worker for call in (2, 3) for s in sends(d.give(arrival(call, "f")))] == [home] * 2  # all lanes
    done = d.give(arrival(4, "f"))
    assert [s.worker for s in sends(done)] == [home]
    (order,) = [a for a in done if isinstance(a, api.RequestLoad)]
    assert order.worker != home and order.copies == 1


def test_broken_connection_moves_no_home_and_counts_once_for_all_it_carried() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    for call in (2, 3):
        assert sends(d.give(arrival(call, "f", "unsafe")))[0].worker == home
    for call in (2, 3):
        assert finals(d.give(ended(call, 0, home, api.Result.RESET))) == [api.FailCall(call)]
    assert sends(d.give(arrival(4, "f")))[0].worker == home  # its copy stands, and it is healthy
    d.give(ended(4, 0, home, api.Result.OK))
    for call in (5, 6, 7):  # a worker whose connections break again and again is left all the same
        for send in sends(d.give(arrival(call, "f", "unsafe"))):
            d.give(ended(call, 0, send.worker, api.Result.RESET))
        d.now += 10 * MS
    assert all(send.worker != home for send in sends(d.give(arrival(8, "f", "unsafe"))))


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


def test_functions_that_are_forgotten_leave_nothing_at_the_workers() -> None:
    d = Driver(settings(), WORKERS)
    for call in range(2_000):
        served(d, call, f"f{call}")
    kept = len(d.dispatcher.tiers.functions)
    assert kept < 500 and len(d.dispatcher.calls) == 0
    assert sum(len(w.copies) for w in d.dispatcher.workers.values()) <= kept * len(WORKERS)
    assert len(d.dispatcher.loads) <= kept


def test_cold_worker_gets_some_and_never_too_much_from_all_dispatchers_together() -> None:
    """Rule 4 summed over 300 seeds: one cold worker among 20, steady traffic at two thirds of capacity."""
    told, cores, sent = settings(router_count=300), 2.0, list[int]()
    for seed in range(300):
        d = Driver(told, [entry(f"w{i}") for i in range(19)], seed)
        d.give(fleet(entry("cold", started_us=d.now), kind=api.ListKind.DELTA))
        begun = d.now
        for call in range(8):
            d.run(500 * MS + seed * MS)
            for send in sends(d.give(arrival(1_000 * seed + call, f"f{(call + seed) % 40}"))):
                sent += [d.now - begun] if send.worker == "cold" else []
                d.give(ended(send.call, 0, send.worker, api.Result.OK, 100 * MS))
    assert sent
    for at in sent:
        work_us = sum(at - told.overload_window_us < t <= at for t in sent) * 100 * MS
        share = (
            told.slow_start_share
            + (1 - told.slow_start_share) * max(0, at - told.overload_window_us) / told.slow_start_us
        )
        assert work_us <= told.overload_multiple * share * cores * told.overload_window_us


def test_loads_that_many_dispatchers_request_at_a_cold_worker_stay_within_its_budget() -> None:
    """A warm worker drains as a cold one comes: each of 100 dispatchers has homes to move. All of them
    together bring the work that three workers of two cores carry."""
    told, cores, arrived = settings(router_count=100, load_requests_free=1_000), 2.0, list[int]()
    for seed in range(100):
        d = Driver(told, [entry("w0"), entry("w1"), entry("w2")], seed)
        for call in range(12):
            d.run(1_700 * MS)
            for send in sends(d.give(arrival(call, f"f{call % 6}"))):
                d.give(ended(send.call, 0, send.worker, api.Result.OK, 100 * MS))
        draining = entry("w2", api.WorkerState.DRAINING)
        cold, joined = entry("cold", started_us=d.now), d.now
        for action in d.give(fleet(draining, cold, kind=api.ListKind.DELTA)) + d.run(told.overload_window_us):
            ordered = isinstance(action, api.RequestLoad) and action.worker == "cold"
            arrived += [joined] if ordered else []
            if isinstance(action, api.RequestLoad):
                d.give(api.LoadRequestEnded(action.worker, action.function, api.Result.OK, MS, 1))
    budget = told.overload_multiple * told.slow_start_share * cores * told.overload_window_us / (100 * MS)
    assert len(arrived) <= budget + 2 * budget**0.5 + 2


def test_call_turned_away_elsewhere_does_not_land_on_a_cold_worker() -> None:
    for seed in range(40):
        d = Driver(settings(router_count=300), [entry("w0"), entry("cold", started_us=1_000_000 * MS)], seed)
        d.give(arrival(seed, "f"))
        if [s.worker for s in sends([a for _, a in d.log])] != ["w0"]:
            continue
        later = sends(d.give(ended(seed, 0, "w0", api.Result.FULL, MS)) + d.run(300 * MS))
        assert "cold" not in {s.worker for s in later}


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


def test_worker_that_answered_full_is_left_alone_for_a_while() -> None:
    d = Driver(settings(router_count=1), WORKERS[:1])
    home = served(d, 1, "f")
    d.give(arrival(2, "f"))
    d.give(ended(2, 0, home, api.Result.FULL, MS))
    assert not sends(d.give(arrival(3, "f")))
    assert sorted(s.call for s in sends(d.run(300 * MS))) == [2, 3]


def test_symptoms_of_one_group_of_calls_spare_the_others() -> None:
    """Workers that stay silent for one class (or one tenant) go on serving the rest."""
    d = Driver(settings(), WORKERS[:1])
    dispatcher = d.dispatcher
    served(d, 0, "f")
    d.give(arrival(1, "f"))
    d.give(ended(1, 0, "w0", api.Result.ERROR))
    safe, unsafe = d.give(arrival(2, "f")), d.give(arrival(3, "g", "unsafe"))
    assert [s.call for s in sends(safe + unsafe)] == [2, 3]  # the only worker: its score never strands a call
    worker, outliers = dispatcher.workers["w0"], dispatcher.outliers
    assert outliers.failure_score(worker, "safe ") > EJECTION_SCORE > outliers.failure_score(worker, "")


def test_full_to_one_tenant_backs_off_that_tenant_only_and_longer_each_time() -> None:
    d = Driver(settings(), WORKERS[:1])
    pauses = []
    for call in range(3):
        d.run(60_000 * MS)
        d.give(replace(arrival(10 + call, "f"), tenant="b"))  # a copy stands: what is full is no load
        d.give(ended(10 + call, 0, "w0", api.Result.OK, MS))
        d.give(replace(arrival(call, "f"), tenant="a"))
        d.give(ended(call, 0, "w0", api.Result.FULL, MS))
        pauses.append(d.dispatcher.workers["w0"].backoff_until_us["safe a"] - d.now)
    assert pauses[0] < pauses[1] < pauses[2]
    assert sends(d.give(replace(arrival(9, "g"), tenant="b")))


def test_late_answers_have_new_calls_refused_and_marked_repeats_first() -> None:
    d = Driver(settings(), WORKERS)
    d.dispatcher.admission.late_ratio = 0.5
    fresh = repeats = 0
    for call in range(200):
        fresh += len(finals(d.give(arrival(2 * call, f"f{call}"))))
        repeats += len(finals(d.give(replace(arrival(2 * call + 1, f"f{call}"), repeat=True))))
    assert 0 < fresh < repeats <= 200


def test_rankings_are_not_recomputed_for_each_call_or_outcome() -> None:
    """Work is counted: 90 workers, 300 functions; a call looks at its replicas only."""
    d = Driver(settings(router_count=300), [entry(f"w{i}") for i in range(90)])
    for call in range(300):
        d.give(arrival(call, f"f{call}"))
    visited = 0
    plain = d.dispatcher.gate.may_send

    def counted(call: Call, worker: Worker) -> bool:
        nonlocal visited
        visited += 1
        return plain(call, worker)

    d.dispatcher.gate.may_send = counted  # type: ignore[method-assign]
    for call in range(300, 600):
        done = sends(d.give(arrival(call, f"f{call % 300}")))
        for send in done:
            d.give(ended(send.call, 0, send.worker, api.Result.OK))
    assert visited <= 300 * 12


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


def test_bounced_call_of_a_hot_function_looks_at_few_of_its_replicas() -> None:
    """A burst that bounced off full workers once scanned all replicas at each attempt (hunt day h5ddff9)."""
    d = Driver(settings(router_count=300), [entry(f"w{i}") for i in range(90)])
    for call in range(40):
        d.run(100 * MS)
        for send in sends(d.give(arrival(call, "hot"))):
            d.give(ended(call, 0, send.worker, api.Result.OK))
    assert d.dispatcher.placement.replica_count(d.dispatcher.tiers.functions["hot"]) > 40
    visited = 0
    plain = d.dispatcher.gate.may_send

    def counted(call: Call, worker: Worker) -> bool:
        nonlocal visited
        visited += 1
        return plain(call, worker)

    d.dispatcher.gate.may_send = counted  # type: ignore[method-assign]
    for call in range(100, 120):
        for send in sends(d.give(arrival(call, "hot"))):
            d.give(ended(call, 0, send.worker, api.Result.FULL, MS))
    assert visited <= 20 * 60


def test_few_large_workers_may_load_many_functions_at_once() -> None:
    """On days with six workers of a thousand copies each a cap of two loads held most calls back."""
    d = Driver(settings(router_count=3, kind_memory_mb=(("k", 400_000.0),)), WORKERS)
    small = Driver(settings(router_count=3), WORKERS)
    for each in (d, small):  # long since started
        served(each, 100, "old")
        each.run(30_000 * MS)
        each.log.clear()
    for call in range(10):
        d.give(arrival(call, f"f{call}"))
    assert len(sends([a for _, a in d.log])) == 5  # of four loads a worker, a third
    for call in range(10):
        small.give(arrival(call, f"f{call}"))
    assert len(sends([a for _, a in small.log])) == 2


def test_full_answer_to_a_call_that_needs_a_load_bars_that_function_there_and_no_other() -> None:
    """4,052 of 4,052 full answers on a day of large workers came to loads, and barred the whole class."""
    d = Driver(settings(), WORKERS[:1])
    d.give(arrival(1, "warm"))
    d.give(ended(1, 0, "w0", api.Result.OK))
    d.give(arrival(2, "cold"))
    d.give(ended(2, 0, "w0", api.Result.FULL, 4 * MS))
    assert len(sends(d.give(arrival(3, "warm")))) == 1
    assert not sends(d.give(arrival(4, "cold")))


def test_last_answer_leaves_time_for_a_busy_process() -> None:
    d = Driver(settings(), WORKERS)
    began = d.now
    d.give(arrival(1, "f", "unsafe", 1_000 * MS))
    d.run(2_000 * MS)
    (at,) = [t for t, a in d.log if isinstance(a, api.FailCall)]
    assert at <= began + 900 * MS


def test_worker_far_behind_the_fleets_pace_gets_one_call_at_a_time() -> None:
    """Its answers come, only late: no symptom of those that silent or failing workers show."""
    d = Driver(settings(router_count=1), [entry(name) for name in "abcd"])
    number, slow_us = 0, 400 * MS

    def call(function: str) -> api.SendAttempt:
        nonlocal number
        number += 1
        (send,) = sends(d.give(replace(arrival(number, function), cost_us=20 * MS)))
        return send

    def answer(send: api.SendAttempt, elapsed_us: int) -> None:
        d.now += 5 * MS
        d.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))

    for _ in range(3):
        for n in range(60):
            send = call(f"f{n}")
            answer(send, slow_us if send.worker == "a" else 20 * MS)
        d.run(500 * MS)
    out = [call(f"f{n}") for n in range(24)]
    assert [s.worker for s in out].count("a") <= 1
    for send in out:
        answer(send, 20 * MS)
    for _ in range(6):  # it answers as the others do again
        for n in range(60):
            answer(call(f"g{n}"), 20 * MS)
        d.run(500 * MS)
    assert [call(f"g{n}").worker for n in range(24)].count("a") > 1


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


def test_worker_without_room_for_a_load_is_spared_further_loads_and_no_call_of_what_stands() -> None:
    d = Driver(settings(router_count=1), WORKERS[:1])
    home = served(d, 1, "stands")
    (send,) = sends(d.give(arrival(2, "a")))
    d.give(ended(2, 0, send.worker, api.Result.FULL, MS))
    assert not sends(d.give(arrival(3, "b")))  # any function's load would meet the same queue
    assert [s.worker for s in sends(d.give(arrival(4, "stands")))] == [home]
    assert {s.call for s in sends(d.run(500 * MS))} >= {2}  # and is tried again soon


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


def test_settings_without_a_time_of_cold_or_of_falling_bar_no_worker() -> None:
    for told in (
        settings(slow_start_us=0),
        settings(overload_window_us=0),
        settings(slow_start_us=0, overload_window_us=0),
    ):
        d = Driver(told, [entry("w0"), entry("w1", started_us=999_999 * MS)])
        assert sends([a for call in range(8) for a in d.give(arrival(call, f"f{call}"))])
