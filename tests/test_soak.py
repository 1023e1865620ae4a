"""Short soak trials: real routers under stepped clocks, signals in series, faulty workers and crowds."""

import asyncio
import random
import time

import pytest

from tests.soak import schedule, settings
from tests.soak.clients import SoakConnection, send_all_the_time
from tests.soak.records import Answer, Arrival, Drain, ProcessEnd, SentRequest, TrialRecord
from tests.soak.rules import broken_rules
from tests.soak.trial import play

SECONDS = 15.0
MIN_REQUESTS = 300


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_rule_is_broken(seed: int) -> None:
    check(play(seed, SECONDS))


# Guards against answers that come too late after accepts that failed for a moment.
@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_is_broken_while_system_calls_fail(seed: int) -> None:
    check(play(seed, SECONDS, calls_fail=True))


def check(record: TrialRecord) -> None:
    """Check that a trial broke no rule, and that something happened in it."""
    assert broken_rules(record) == []
    assert len(record.requests) > MIN_REQUESTS
    assert len(record.ends) >= settings.ROUTERS


def test_schedule_depends_on_the_seed_alone() -> None:
    drawn = [schedule.draw(seed, 60.0, settings.ROUTERS, settings.WORKERS) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    kinds = {type(event.disturbance) for event in drawn[0]}
    assert kinds == set(schedule.Disturbance.__args__)


def request(class_name: str = settings.UNSAFE, **changes: object) -> SentRequest:
    """Return a request that was sent at 10 s with a limit of 1 s, and served at 10.2 s."""
    sent = SentRequest("a1", class_name, "r0.1", b"abc", 10.0, 1.0)
    sent.answers = [(10.2, Answer.SERVED)]
    sent.body_returned = b"cba"
    for name, value in changes.items():
        setattr(sent, name, value)
    return sent


def arrival(at_s: float, never_ran_s: float = 0.0) -> Arrival:
    """Return an attempt of the request."""
    return Arrival("a1", settings.UNSAFE, "s-0", at_s, never_ran_s)


def broken(sent: SentRequest, *arrivals: Arrival) -> list[str]:
    """Return the rules that a trial with this request broke, without the details."""
    record = TrialRecord(requests={"a1": sent}, arrivals=list(arrivals))
    return [line.partition(":")[0] for line in broken_rules(record)]


def test_rules_hold_for_usual_requests() -> None:
    assert broken(request(), arrival(10.1)) == []
    assert broken(request(), arrival(10.1, never_ran_s=10.15), arrival(10.16)) == []
    assert broken(request(settings.SAFE), arrival(10.1), arrival(10.15)) == []
    assert broken(request(settings.KEYED), arrival(10.1), arrival(11.0)) == []
    assert broken(request(answers=[], given_up_s=10.3), arrival(10.1)) == []
    assert broken(request(answers=[], connection_ended_s=10.02)) == []
    assert broken(request(answers=[(10.2, Answer.REFUSED)]), arrival(10.1, never_ran_s=10.15)) == []


def test_rules_find_each_break() -> None:
    assert broken(request(), arrival(10.1), arrival(10.15)) == ["duplicate"]
    assert broken(request(settings.KEYED), arrival(10.1), arrival(11.2)) == ["duplicate"]
    assert broken(request(answers=[(10.2, Answer.REFUSED)]), arrival(10.1)) == ["duplicate"]
    assert broken(request(answers=[])) == ["lost"]
    assert broken(request(answers=[(11.6, Answer.FAILED)])) == ["lost"]
    assert broken(request(answers=[], connection_ended_s=10.3)) == ["lost"]
    assert broken(request(body_returned=b"abc"), arrival(10.1)) == ["lost"]
    assert broken(request(answers=[], given_up_s=10.3), arrival(10.6)) == ["lost"]


def test_rules_find_late_calls_of_draining_workers_and_bad_ends() -> None:
    record = TrialRecord(arrivals=[arrival(14.0)], drains=[Drain("s-0", 10.0, 20.0)])
    record.ends = [ProcessEnd("r0.1", 10.0, 13.7, None, [])]
    record.ends.append(ProcessEnd("r1.1", 10.0, 11.0, 0, ['{"counters": {"loop.errors": 1}}\n']))
    assert [line.partition(":")[0] for line in broken_rules(record)] == ["drain", "crash", "crash"]


# Guards against a trial that takes what a router says of a connection without a request for a second answer.
def test_client_that_connects_as_its_time_is_up_leaves() -> None:
    async def connect_late() -> SoakConnection:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        connection = SoakConnection("r0", TrialRecord(), random.Random(1))
        await connection.connect(server.sockets[0].getsockname()[1])
        await send_all_the_time(connection, time.monotonic())
        server.close()
        return connection

    connection = asyncio.run(connect_late())
    assert connection.ended and not connection.has_sent


def test_served_unsound_request_breaks_a_rule() -> None:
    assert broken_rules(TrialRecord(served_unsound=["r0.1: {}"])) == [
        "lost: an unsound request was served: r0.1: {}"
    ]
