"""Tests of the combined behavior of many dispatchers, simulated one after another with different seeds."""

from maplestile.dispatch import api
from tests.helpers import MS, Driver, arrival, ended, entry, sends, settings


def test_function_has_few_copies_with_forty_routers() -> None:
    """A twentieth of the work of 40 workers, twice an average worker's, used to lead to 12 replicas."""
    router_settings = settings(router_count=40)
    workers = [entry(f"w{number}") for number in range(40)]
    used = set[str]()
    for seed in range(40):
        driver = Driver(router_settings, workers, seed)
        for call in range(100):
            driver.run(200 * MS)
            function = "warm" if call % 20 == 0 else f"rare-{call}"
            for send in sends(driver.give(arrival(call, function))):
                if function == "warm" and call > 50:
                    used.add(send.worker)
                driver.give(ended(call, 0, send.worker, api.Result.OK))
    assert 2 <= len(used) <= 6


def answer(driver: Driver, send: api.SendAttempt, result: api.Result = api.Result.OK) -> list[api.Action]:
    """End the latest attempt of the call, and return the resulting actions."""
    attempts = [attempt for call, attempt in driver.dispatcher.attempts if call == send.call]
    if not attempts:
        return []
    return driver.give(ended(send.call, max(attempts), send.worker, result, 50 * MS))


def number_of(worker: str) -> int:
    """Return the number in a worker's name."""
    return int(worker.removeprefix("w"))


def zone_of(worker: str) -> str:
    """Return the zone of a worker from `workers_in_zones`."""
    return f"z{number_of(worker) % 3}"


def workers_in_zones(count: int) -> list[api.WorkerEntry]:
    """Return the list entries of `count` workers in three zones."""
    return [entry(f"w{number}", zone=zone_of(f"w{number}")) for number in range(count)]


def test_silent_zone_is_avoided_after_few_calls_and_used_again_after_probe() -> None:
    """In a large fleet, a router rarely uses each worker, so it used to keep sending calls to a lost zone."""
    router_settings = settings(router_count=40, may_probe=True)
    sent_to_lost = 0
    probes = 0
    for seed in range(20):
        driver = Driver(router_settings, workers_in_zones(36), seed)
        for call in range(200):
            actions = driver.run(80 * MS) + driver.give(arrival(call, f"f{call % 20}"))
            for send in sends(actions):
                is_lost = zone_of(send.worker) == "z0"
                sent_to_lost += is_lost
                if not is_lost:
                    answer(driver, send)
        checks = [action for _, action in driver.log if isinstance(action, api.SendHealthCheck)]
        probes += len(checks)
        assert checks and all(zone_of(check.worker) == "z0" for check in checks)
        driver.give(api.HealthCheckEnded(checks[-1].worker, api.Result.OK, MS, ()))
        ranked = driver.dispatcher.fleet.ranked(driver.dispatcher.tiers.functions["f1"])
        assert any(zone_of(worker.entry.worker) == "z0" for worker in ranked)
    assert sent_to_lost <= 20 * 40  # of 1,333 calls that belong to the zone
    assert probes <= 20 * 34  # two per second


def test_hung_workers_do_not_make_an_answering_zone_lost() -> None:
    driver = Driver(settings(router_count=40, may_probe=True), workers_in_zones(36))
    for call in range(300):
        actions = driver.run(80 * MS) + driver.give(arrival(call, f"f{call % 30}"))
        for send in sends(actions):
            if number_of(send.worker) > 5:  # two workers of each zone hang
                answer(driver, send)
    assert not any(zone.lost for zone in driver.dispatcher.zones.zones.values())


def test_silent_workers_cause_no_rejections() -> None:
    """Calls made late by a lost zone used to cause rejections, even for seconds after its return."""
    driver = Driver(settings(router_count=40), workers_in_zones(36))
    rejected = 0
    for call in range(300):
        actions = driver.run(80 * MS) + driver.give(arrival(call, f"f{call % 30}", budget_us=1_200 * MS))
        rejected += sum(isinstance(action, api.RejectCall) and action.call == call for action in actions)
        for send in sends(actions):
            if number_of(send.worker) > 17:
                answer(driver, send)
    assert not rejected


def test_routers_of_a_large_fleet_do_not_renew_copies_kept_warm_by_calls() -> None:
    """Each router used to renew every copy of its caching tier in every sweep: 200 requests per second."""
    for routers, is_renewed in ((40, False), (2, True)):
        driver = Driver(settings(router_count=routers), [entry(f"w{number}") for number in range(12)])
        for call in range(24):
            for send in sends(driver.run(500 * MS) + driver.give(arrival(call, f"f{call % 3}"))):
                answer(driver, send)
        driver.run(9_000 * MS)
        assert any(isinstance(action, api.RequestLoad) for _, action in driver.log) is is_renewed


def test_answers_in_time_lower_the_late_ratio() -> None:
    """Answers from copies that other routers had loaded used to be left out of the late ratio.

    They are most of a router's answers in a large fleet, so it kept rejecting calls for ten seconds after the
    load was back to normal.
    """
    driver = Driver(settings(router_count=40), [entry(f"w{number}") for number in range(40)])
    driver.dispatcher.admission.late_ratio = 0.5
    for call in range(40):
        for send in sends(driver.run(80 * MS) + driver.give(arrival(call, f"f{call}"))):
            answer(driver, send)
    assert driver.dispatcher.admission.late_ratio < 0.25


def test_replicas_in_own_zone_are_preferred() -> None:
    used: dict[str, set[str]] = {"z0": set(), "z1": set(), "z2": set()}
    for zone, workers in used.items():
        for seed in range(6):
            driver = Driver(settings(router_count=18, zone=zone), workers_in_zones(36), seed)
            for call in range(60):
                function = "hot" if call % 2 else f"rare-{call}"
                actions = driver.run(80 * MS) + driver.give(arrival(call, function))
                for send in sends(actions):
                    if driver.dispatcher.calls[send.call].entry.function == "hot" and call > 20:
                        workers.add(send.worker)
                    answer(driver, send)
    for zone, workers in used.items():
        assert {zone_of(worker) for worker in workers} == {zone}
    assert len(set.union(*used.values())) > 12


def test_workers_refusing_connections_are_avoided_and_so_is_a_zone_of_them() -> None:
    """A lost zone may refuse connections at once; routers used to try 400 connections per second."""
    router_settings = settings(router_count=40, may_probe=True)
    refused_by_count = {1: 0, 12: 0}  # refused connections, by the number of refusing workers
    for count in refused_by_count:
        for seed in range(10):
            driver = Driver(router_settings, workers_in_zones(36), seed)
            for call in range(200):
                unanswered = sends(driver.run(80 * MS) + driver.give(arrival(call, f"f{call % 20}")))
                while unanswered:
                    send = unanswered.pop()
                    refuses = number_of(send.worker) in range(0, 3 * count, 3)
                    refused_by_count[count] += refuses
                    result = api.Result.CONNECT_FAILED if refuses else api.Result.OK
                    unanswered += sends(answer(driver, send, result))
            assert driver.dispatcher.zones.is_lost("z0") is (count == 12)
    assert refused_by_count[1] <= 10 * 6
    assert refused_by_count[12] <= 10 * 16
