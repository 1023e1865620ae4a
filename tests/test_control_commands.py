"""The codec of the replicated log's commands and replies, against the recorded wire forms."""

import json
from typing import Any, get_args

import pytest

from maplestile.common.errors import CommandRejected
from maplestile.control import commands
from maplestile.control.policy.document import Document
from maplestile.control.policy.transitions import POLICY_TRANSITIONS
from maplestile.control.state import FLEET_TRANSITIONS, ControlState
from tests.control_recordings import recorded_lines
from tests.control_script import HEARTBEAT, POLICY_READ, SCRIPT

SUBMITTED = ("steward-submitted.jsonl", "herald-submitted.jsonl", "agent-submitted.jsonl")
SUBMITTED_BY_AGENTS = {
    "register",
    "word",
    "grant",
    "begin",
    "back",
    "out",
    "part",
    "renewed",
    "policy verdict",
    "policy commit",
    "policy read",
}


def submitted() -> list[dict[str, Any]]:
    """The recorded commands that agents put into the log, in wire form."""
    return [command for name in SUBMITTED for command in recorded_lines(name)]


def test_what_an_agent_submits_by_itself_is_encoded_in_the_recorded_order() -> None:
    seen = set()
    for encoded in submitted():
        if encoded["do"] in SUBMITTED_BY_AGENTS:
            seen.add(encoded["do"])
            again = commands.encode(commands.decode(encoded))
            assert json.dumps(again) == json.dumps(encoded)
    assert seen == SUBMITTED_BY_AGENTS


def test_what_the_leader_decides_is_encoded_in_the_recorded_order() -> None:
    halt = commands.HaltRollout(rollout=1, reason="r0 fails 30 of 30 calls", agent="a0")
    abort = commands.AbortPolicy(change=3, reason="no word of r1 in 5 s", agent="a0")
    for command in (halt, abort):
        encoded = commands.encode(command)
        assert json.dumps(encoded) in [json.dumps(one) for one in SCRIPT]


def test_each_command_of_the_script_is_decoded_alike_after_it_was_encoded() -> None:
    decoded = 0
    for encoded in (*SCRIPT, HEARTBEAT, POLICY_READ):
        try:
            command = commands.decode(encoded)
        except CommandRejected:
            continue
        decoded += 1
        assert commands.decode(json.loads(json.dumps(commands.encode(command)))) == command
    assert decoded > 100


def test_every_command_has_a_name_and_is_in_the_script() -> None:
    decoded = set[str]()
    for encoded in (*SCRIPT, HEARTBEAT):
        try:
            decoded.add(commands.name_of(commands.decode(encoded)))
        except CommandRejected:
            continue
    assert decoded == {
        *SUBMITTED_BY_AGENTS,
        "start",
        "halt",
        "resume",
        "undo",
        "release",
        "policy propose",
        "policy rollback",
        "policy abort",
    }


@pytest.mark.parametrize(
    ("encoded", "reason"),
    [
        ({}, "no command 'None'"),
        ({"do": "fly"}, "no command 'fly'"),
        ({"do": "begin", "instance": "r0", "lease": 1}, "damaged command: KeyError: 'agent'"),
        (
            {"do": "register", "agent": "a0", "instances": [], "runners": ["w0"]},
            "damaged command: TypeError: runners: must be a table",
        ),
        (
            {"do": "start", "action": "drain", "budget": 1, "targets": [["r0"]]},
            "damaged command: TypeError: targets: must be texts, not ['r0']",
        ),
        (
            {"do": "policy read", "agent": "a0", "instances": [["r0"]]},
            "damaged command: TypeError: unhashable type: 'list'",
        ),
        (
            {"do": "policy read", "agent": ["a0"], "instances": []},
            "damaged command: TypeError: unhashable type: 'list'",
        ),
        ({"do": "word", "agent": "a0", "words": [1]}, "damaged command: TypeError: words: must be a table"),
        ({"do": "word", "words": {}}, "damaged command: KeyError: 'agent'"),
        (
            {"do": "policy propose", "document": {"listen": {}}, "base": 0, "agent": "a0"},
            "listen: is no part of policy; it stays in each router's file",
        ),
    ],
)
def test_a_command_of_no_use_is_refused_with_its_place(encoded: dict[str, Any], reason: str) -> None:
    with pytest.raises(CommandRejected) as refused:
        commands.decode(encoded)
    assert str(refused.value) == reason


def test_a_lease_that_is_given_as_null_matches_no_lease() -> None:
    named = commands.decode({"do": "release", "instance": "r0", "lease": None})
    assert named == commands.ReleaseLease(instance="r0", lease=commands.NO_LEASE)
    assert commands.decode({"do": "release", "instance": "r0"}) == commands.ReleaseLease(instance="r0")


def test_each_recorded_reply_is_decoded_and_encoded_again() -> None:
    for exchange in recorded_lines("log-commands.jsonl"):
        encoded = exchange["reply"]
        try:
            command = commands.decode(exchange["command"])
        except CommandRejected as refusal:
            assert commands.encode_reply(commands.Rejected(str(refusal))) == encoded
            continue
        reply = commands.decode_reply(command, encoded)
        assert json.dumps(commands.encode_reply(reply)) == json.dumps(encoded)


def test_a_command_from_the_wire_goes_to_the_log_as_it_is() -> None:
    damaged = {"reason": "", "do": "fly", "agent": "a0"}
    assert commands.as_encoded(damaged) is damaged
    proposal = commands.ProposePolicy(document=Document.from_tables({"rules": {}}), base=0, agent="a0")
    assert commands.as_encoded(proposal) == {
        "do": "policy propose",
        "document": {"rules": {}},
        "base": 0,
        "agent": "a0",
    }


def test_a_grant_for_a_target_that_its_agent_has_dropped_is_refused_and_spends_a_number() -> None:
    control = ControlState()
    control.apply(commands.Register(instances=("r0",), agent="a0"))
    control.apply(commands.StartRollout(action="restart", targets=("r0",), budget=1))
    control.apply(commands.Register(instances=(), agent="a0"))
    reply = control.apply(commands.GrantLease(instance="r0", down=(), after=1, term=1))
    assert reply == commands.Rejected("damaged command: KeyError: 'r0'")
    assert (control.number, control.leases) == (2, {})


def test_a_heartbeat_is_no_command_of_the_agreed_state() -> None:
    reply = ControlState().apply(commands.Heartbeat(agent="a0", reports={}))
    assert reply == commands.Rejected("no command 'word'")


def test_a_damaged_command_leaves_the_state_as_it_was() -> None:
    control = ControlState()
    before = control.encoded()
    runners = {"w0": True, "": False}
    for damaged in (
        {"do": "register", "agent": "a0", "instances": ["r0"], "runners": runners},
        {"do": "register", "agent": "a0", "instances": ["r0"], "runners": ["w0"]},
        {"do": "policy propose", "document": {"rules": {}}, "base": 0},
    ):
        assert not control.apply_encoded(damaged)["ok"]
        assert control.encoded() == before


def test_every_command_of_the_agreed_state_has_one_transition() -> None:
    assert not set(FLEET_TRANSITIONS) & set(POLICY_TRANSITIONS)
    assert {*FLEET_TRANSITIONS, *POLICY_TRANSITIONS} == set(get_args(commands.StateCommand))
    assert set(get_args(commands.Command)) == {*get_args(commands.StateCommand), commands.Heartbeat}


def test_a_read_is_counted_also_where_a_name_or_the_status_is_of_no_use() -> None:
    control = ControlState()
    control.apply(commands.Register(instances=("r0",), agent="a0"))
    for count, status in enumerate((None, 3, ["r0"]), 1):
        read = {"do": "policy read", "agent": "a0", "instances": ["r0", 3], "told": status}
        decoded = commands.decode(read)
        assert decoded == commands.ReadPolicy(agent="a0", instances=("r0",))
        assert control.apply_encoded(read) == {"ok": True, "epoch": 0, "named": ["r0"]}
        assert control.policy.reads == count
