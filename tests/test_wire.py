"""Tests of the codec for the simulator's line protocol."""

import pytest

from maplestile.dispatch import api
from maplestile.wire import simulator_codec as codec

WORKER = "10.0.0.1:80"
EVENTS: list[tuple[str, api.Event]] = [
    (
        "ARRIVAL who=d/1 req=5 timeBudgetUs=900 footprintMb=12.5 model=m-a width=4 grade=g party=0 new=1",
        api.CallArrived(5, "m-a", "g", 900, 12.5, 4, 0),
    ),
    ("ARRIVAL who=d/1 req=5 timeBudgetUs=900 grade=g", api.CallArrived(5, "", "g", 900, 0.0, 1, 0)),
    ("EXPIRED who=d/1 req=6", api.CallExpired(6)),
    (
        f"ESTABLISHED who=d/1 req=6 elapsedUs=70 runner={WORKER} attempt=2",
        api.StreamStarted(6, 2, WORKER, 70),
    ),
    (
        f"SETTLED who=d/1 req=9 attempt=1 runner={WORKER} how=success elapsedUs=18 ended=1 remark=19"
        " usage=queue:3,x0:0.5",
        api.AttemptEnded(
            9,
            1,
            WORKER,
            api.Result.OK,
            18,
            True,
            api.Warmth.WAITED_FOR_LOAD,
            2,
            (("queue", 3.0), ("x0", 0.5)),
        ),
    ),
    (
        f"SETTLED who=d/1 req=9 attempt=0 runner={WORKER} how=absent",
        api.AttemptEnded(9, 0, WORKER, api.Result.MISS, 0, False, api.Warmth.UNKNOWN, 0, ()),
    ),
    (
        f"HEALTH who=d/1 runner={WORKER} how=timed_out elapsedUs=5",
        api.HealthCheckEnded(WORKER, api.Result.TIMEOUT, 5, ()),
    ),
    (
        f"HELD_NOW who=d/1 runner={WORKER} model=m-a how=overloaded elapsedUs=5 count=1",
        api.LoadRequestEnded(WORKER, "m-a", api.Result.FULL, 5, 1),
    ),
    ("MEMO who=d/1 neighbour=2 content=aGk=", api.PeerMessage(2, b"hi")),
    ("MEMO who=d/1 neighbour=2 content=-", api.PeerMessage(2, b"")),
    ("WAKE who=d/1 mark=77", api.TimerFired(77)),
]
ACTIONS: list[tuple[api.Action, str]] = [
    (api.SendAttempt(1, WORKER, 80), f"CALL_OUT who=d/1 req=1 giveUpAfterUs=80 runner={WORKER}"),
    (api.RejectCall(1, 0), "TURN_AWAY who=d/1 req=1 retryAfterUs=0"),
    (api.FailCall(1), "FINISH_ERROR who=d/1 req=1"),
    (api.CancelAttempt(1, 2), "RECALL who=d/1 req=1 attempt=2"),
    (api.SetTimer(9, 3), "AFTER who=d/1 timeUs=9 mark=3"),
    (api.SendHealthCheck(WORKER), f"HEALTH_CHECK who=d/1 runner={WORKER}"),
    (api.RequestLoad(WORKER, "m-a", 1), f"ENSURE who=d/1 runner={WORKER} model=m-a count=1"),
    (api.RequestUnload(WORKER, "m-a"), f"SHELVE who=d/1 runner={WORKER} model=m-a"),
    (api.SendToPeer(-1, b"hi"), "ANNOUNCE who=d/1 whom=-1 content=aGk="),
    (api.CloseIdleConnections(WORKER), f"DISCONNECT who=d/1 runner={WORKER}"),
    (api.WatchEndpoints(), "SUBSCRIBE who=d/1 want=1"),
    (api.FetchEndpoints(), "PULL who=d/1"),
    (api.WriteLog("two words"), "LOG who=d/1 what=two words"),
]


@pytest.mark.parametrize(("line", "event"), EVENTS)
def test_event_is_decoded(line: str, event: api.Event) -> None:
    assert codec.event_from(codec.LineFields(line)) == event


@pytest.mark.parametrize(("action", "line"), ACTIONS)
def test_action_is_encoded(action: api.Action, line: str) -> None:
    assert codec.action_line("d/1", action) == line


def test_list_entry_is_decoded_with_and_without_its_start_time() -> None:
    line = f"M runner={WORKER} dc=z model=k bay=3 availability=Stopping heft=1.5"
    draining = api.WorkerState.DRAINING
    assert codec.entry_from(line) == api.WorkerEntry(WORKER, "z", "k", 3, draining, 1.5, 0)
    assert codec.entry_from(line + " cameUpUs=8").started_us == 8


def test_unknown_message_is_skipped_and_invalid_field_is_named() -> None:
    assert codec.event_from(codec.LineFields("NEWS who=d/1 what=1")) is None
    with pytest.raises(codec.WireError, match="'how' has the unknown value 'odd'"):
        codec.event_from(codec.LineFields(f"SETTLED who=d/1 req=9 attempt=0 runner={WORKER} how=odd"))
    with pytest.raises(codec.WireError, match="'params' lacks 'limits'"):
        codec.settings_from('{"instances": 1}')
