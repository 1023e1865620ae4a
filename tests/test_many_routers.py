"""What many dispatchers do together: some tens of them with seeds of their own, on one virtual clock."""

from maplestile.dispatch import api
from tests.helpers import MS, Driver, arrival, ended, entry, sends, settings


def test_copies_of_a_function_are_few_enough_at_forty_routers() -> None:
    """A twentieth of the work of 40 workers is twice a mean worker's: it had 12 replicas, with loads."""
    told, workers = settings(router_count=40), [entry(f"w{i}") for i in range(40)]
    used = set[str]()
    for seed in range(40):
        d = Driver(told, workers, seed)
        for call in range(100):
            d.run(200 * MS)
            function = "warm" if call % 20 == 0 else f"rare-{call}"
            for send in sends(d.give(arrival(call, function))):
                if function == "warm" and call > 50:
                    used.add(send.worker)
                d.give(ended(call, 0, send.worker, api.Result.OK))
    assert 2 <= len(used) <= 6


def answer(d: Driver, send: api.SendAttempt, result: api.Result = api.Result.OK) -> list[api.Action]:
    """The end of a send's attempt, whichever of its call that is; the actions that it brings about."""
    numbers = [n for c, n in d.dispatcher.attempts if c == send.call]
    return d.give(ended(send.call, max(numbers), send.worker, result, 50 * MS)) if numbers else []


def zoned(workers: int) -> list[api.WorkerEntry]:
    return [entry(f"w{i}", zone=f"z{i % 3}") for i in range(workers)]


def test_zone_that_falls_silent_is_left_after_a_few_calls_and_met_again_after_one_probe() -> None:
    """A router of many meets each worker rarely: it sent into a lost zone for as long as it lasted."""
    told = settings(router_count=40, may_probe=True)
    sent, probes = 0, 0
    for seed in range(20):
        d = Driver(told, zoned(36), seed)
        for call in range(200):
            done = d.run(80 * MS) + d.give(arrival(call, f"f{call % 20}"))
            for send in sends(done):
                lost = int(send.worker[1:]) % 3 == 0
                sent += lost
                if not lost:
                    answer(d, send)
        probed = [a for _, a in d.log if isinstance(a, api.SendHealthCheck)]
        probes += len(probed)
        assert probed and all(int(a.worker[1:]) % 3 == 0 for a in probed)
        d.give(api.HealthCheckEnded(probed[-1].worker, api.Result.OK, MS, ()))
        assert any(
            int(w.entry.worker[1:]) % 3 == 0
            for w in d.dispatcher.fleet.ranked(d.dispatcher.tiers.functions["f1"])
        )
    assert sent <= 20 * 40  # of 1,333 that fall to the zone
    assert probes <= 20 * 34  # two a second


def test_hung_workers_in_zones_that_answer_lose_no_zone() -> None:
    d = Driver(settings(router_count=40, may_probe=True), zoned(36))
    for call in range(300):
        done = d.run(80 * MS) + d.give(arrival(call, f"f{call % 30}"))
        for send in sends(done):
            if int(send.worker[1:]) > 5:  # two of each zone hang
                answer(d, send)
    assert not any(zone.lost for zone in d.dispatcher.zones.zones.values())


def test_silent_workers_are_no_overload() -> None:
    """Calls that a lost zone made late had others refused, and for seconds after it was back."""
    d = Driver(settings(router_count=40), zoned(36))
    refused = 0
    for call in range(300):
        done = d.run(80 * MS) + d.give(arrival(call, f"f{call % 30}", budget_us=1_200 * MS))
        refused += sum(isinstance(a, api.RejectCall) and a.call == call for a in done)
        for send in sends(done):
            if int(send.worker[1:]) > 17:
                answer(d, send)
    assert not refused


def test_routers_of_many_do_not_all_renew_the_copies_that_their_calls_keep() -> None:
    """Each renewed every copy of its list at every sweep: 200 requests a second at the end of a day."""
    for routers, renewed in ((40, False), (2, True)):
        d = Driver(settings(router_count=routers), [entry(f"w{i}") for i in range(12)])
        for call in range(24):
            for send in sends(d.run(500 * MS) + d.give(arrival(call, f"f{call % 3}"))):
                answer(d, send)
        d.run(9_000 * MS)
        assert any(isinstance(a, api.RequestLoad) for _, a in d.log) is renewed


def test_any_answer_in_time_is_a_sign_that_work_is_not_too_much() -> None:
    """Only answers from copies of its own counted; most of a router of many come from those that others made,
    and it went on refusing for ten seconds after the work was as ever."""
    d = Driver(settings(router_count=40), [entry(f"w{i}") for i in range(40)])
    d.dispatcher.admission.late_ratio = 0.5
    for call in range(40):
        for send in sends(d.run(80 * MS) + d.give(arrival(call, f"f{call}"))):
            answer(d, send)
    assert d.dispatcher.admission.late_ratio < 0.25


def test_replicas_of_the_own_zone_come_first_and_all_zones_together_use_all_replicas() -> None:
    used = dict[str, set[str]]()
    for zone in ("z0", "z1", "z2"):
        used[zone] = set()
        for seed in range(6):
            d = Driver(settings(router_count=18, zone=zone), zoned(36), seed)
            for call in range(60):
                done = d.run(80 * MS) + d.give(arrival(call, "hot" if call % 2 else f"rare-{call}"))
                for send in sends(done):
                    if d.dispatcher.calls[send.call].entry.function == "hot" and call > 20:
                        used[zone].add(send.worker)
                    answer(d, send)
    for zone, workers in used.items():
        assert {f"z{int(w[1:]) % 3}" for w in workers} == {zone}
    assert len(set.union(*used.values())) > 12


def test_worker_that_refuses_connections_is_met_rarely_and_its_zone_is_left_when_all_do() -> None:
    """A lost zone may refuse at once: 400 connects a second were refused for as long as it lasted."""
    told, refused = settings(router_count=40, may_probe=True), {1: 0, 12: 0}
    for gone in refused:  # one worker of the zone, or all twelve
        for seed in range(10):
            d = Driver(told, zoned(36), seed)
            for call in range(200):
                left = sends(d.run(80 * MS) + d.give(arrival(call, f"f{call % 20}")))
                while left:
                    send = left.pop()
                    dead = int(send.worker[1:]) in range(0, 3 * gone, 3)
                    refused[gone] += dead
                    left += sends(answer(d, send, api.Result.CONNECT_FAILED if dead else api.Result.OK))
            assert d.dispatcher.zones.is_lost("z0") is (gone == 12)
    assert refused[1] <= 10 * 6
    assert refused[12] <= 10 * 16
