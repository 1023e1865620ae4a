"""Tests of the codec of the replicated log's commands and replies, against recorded wire forms."""

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

SUBMITTED = (
    "rollout-controller-submitted.jsonl",
    "policy-controller-submitted.jsonl",
    "agent-submitted.jsonl",
)
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
    """Return the recorded commands that agents submitted to the log, in wire form."""
    return [command for name in SUBMITTED for command in recorded_lines(name)]


def test_encodes_fields_of_agents_commands_in_recorded_order() -> None:
    seen = set()
    for encoded in submitted():
        if encoded["do"] in SUBMITTED_BY_AGENTS:
            seen.add(encoded["do"])
            reencoded = commands.encode(commands.decode(encoded))
            assert json.dumps(reencoded) == json.dumps(encoded)
    assert seen == SUBMITTED_BY_AGENTS


def test_encodes_fields_of_leaders_commands_in_recorded_order() -> None:
    halt = commands.HaltRollout(rollout=1, reason="r0 fails 30 of 30 calls", agent="a0")
    abort = commands.AbortPolicy(change=3, reason="no word of r1 in 5 s", agent="a0")
    for command in (halt, abort):
        encoded = commands.encode(command)
        assert json.dumps(encoded) in [json.dumps(scripted) for scripted in SCRIPT]


def test_commands_of_script_survive_encoding_and_decoding() -> None:
    decoded = 0
    for encoded in (*SCRIPT, HEARTBEAT, POLICY_READ):
        try:
            command = commands.decode(encoded)
        except CommandRejected:
            continue
        decoded += 1
        assert commands.decode(json.loads(json.dumps(commands.encode(command)))) == command
    assert decoded > 100


def test_script_contains_every_command() -> None:
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
def test_rejects_invalid_command_with_reason(encoded: dict[str, Any], reason: str) -> None:
    with pytest.raises(CommandRejected) as refused:
        commands.decode(encoded)
    assert str(refused.value) == reason


def test_explicit_null_lease_matches_no_lease() -> None:
    decoded = commands.decode({"do": "release", "instance": "r0", "lease": None})
    assert decoded == commands.ReleaseLease(instance="r0", lease=commands.NO_LEASE)
    assert commands.decode({"do": "release", "instance": "r0"}) == commands.ReleaseLease(instance="r0")


def test_recorded_replies_survive_decoding_and_encoding() -> None:
    for exchange in recorded_lines("log-commands.jsonl"):
        encoded = exchange["reply"]
        try:
            command = commands.decode(exchange["command"])
        except CommandRejected as refusal:
            assert commands.encode_reply(commands.Rejected(str(refusal))) == encoded
            continue
        reply = commands.decode_reply(command, encoded)
        assert json.dumps(commands.encode_reply(reply)) == json.dumps(encoded)


def test_passes_encoded_command_to_log_unchanged() -> None:
    unknown = {"reason": "", "do": "fly", "agent": "a0"}
    assert commands.as_encoded(unknown) is unknown
    proposal = commands.ProposePolicy(document=Document.from_tables({"rules": {}}), base=0, agent="a0")
    assert commands.as_encoded(proposal) == {
        "do": "policy propose",
        "document": {"rules": {}},
        "base": 0,
        "agent": "a0",
    }


def test_rejects_grant_for_target_removed_by_its_agent_and_uses_up_number() -> None:
    control = ControlState()
    control.apply(commands.Register(instances=("r0",), agent="a0"))
    control.apply(commands.StartRollout(action="restart", targets=("r0",), budget=1))
    control.apply(commands.Register(instances=(), agent="a0"))
    reply = control.apply(commands.GrantLease(instance="r0", down=(), after=1, term=1))
    assert reply == commands.Rejected("damaged command: KeyError: 'r0'")
    assert (control.number, control.leases) == (2, {})


def test_replicated_state_rejects_heartbeat() -> None:
    reply = ControlState().apply(commands.Heartbeat(agent="a0", reports={}))
    assert reply == commands.Rejected("no command 'word'")


def test_malformed_command_does_not_change_state() -> None:
    control = ControlState()
    before = control.encoded()
    runners = {"w0": True, "": False}
    for malformed in (
        {"do": "register", "agent": "a0", "instances": ["r0"], "runners": runners},
        {"do": "register", "agent": "a0", "instances": ["r0"], "runners": ["w0"]},
        {"do": "policy propose", "document": {"rules": {}}, "base": 0},
    ):
        assert not control.apply_encoded(malformed)["ok"]
        assert control.encoded() == before


def test_every_state_command_has_exactly_one_transition() -> None:
    assert not set(FLEET_TRANSITIONS) & set(POLICY_TRANSITIONS)
    assert {*FLEET_TRANSITIONS, *POLICY_TRANSITIONS} == set(get_args(commands.StateCommand))
    assert set(get_args(commands.Command)) == {*get_args(commands.StateCommand), commands.Heartbeat}


def test_counts_policy_read_with_invalid_name_or_status() -> None:
    control = ControlState()
    control.apply(commands.Register(instances=("r0",), agent="a0"))
    for count, status in enumerate((None, 3, ["r0"]), 1):
        read = {"do": "policy read", "agent": "a0", "instances": ["r0", 3], "told": status}
        decoded = commands.decode(read)
        assert decoded == commands.ReadPolicy(agent="a0", instances=("r0",))
        assert control.apply_encoded(read) == {"ok": True, "epoch": 0, "named": ["r0"]}
        assert control.policy.reads == count
