"""Records the command line: `python -m tests.record_command_line` writes `tests/recorded/command-line-*`.

Each recorder gives one file's text; `tests/test_recorded_command_line.py` compares it with the file."""

import re
import tempfile
from pathlib import Path

from maplestile.agent import supervisor as agents
from maplestile.common.toml_table import ConfigError
from maplestile.invoke import operator_file as operators
from tests.recording import Recorder, agent, as_json, masked, record, relative, run
from tests.standins import ROOT

NOBODY = "127.0.0.1:1"  # a port that nothing listens on
COMMANDS: tuple[tuple[str, ...], ...] = (
    (),
    ("serve",),
    ("check",),
    ("agent",),
    ("status",),
    ("stop",),
    ("restart",),
    ("reload",),
    ("counters",),
    ("ready",),
    ("figures",),
    ("suspend",),
    ("resume",),
    ("members",),
    ("rollout",),
    ("rollout", "start"),
    ("rollout", "status"),
    ("rollout", "halt"),
    ("rollout", "resume"),
    ("rollout", "undo"),
    ("rollout", "release"),
    ("policy",),
    ("policy", "propose"),
    ("policy", "status"),
    ("policy", "rollback"),
    ("explore",),
    ("model",),
    ("relay",),
    ("load",),
    ("traces",),
)
BAD_USES: tuple[tuple[str, ...], ...] = (
    (),
    ("nothing",),
    ("--nothing",),
    ("load",),
    ("check",),
    ("check", "--nothing", "x"),
    ("serve",),
    ("suspend",),
    ("rollout",),
    ("rollout", "nothing"),
    ("rollout", "start", "--action", "nothing"),
    ("rollout", "release"),
    ("policy",),
    ("policy", "propose"),
    ("policy", "rollback", "--to", "x"),
    ("policy", "rollback", "--base", "x"),
    ("check", "missing.toml"),
    ("serve", "missing.toml"),
    ("agent", "missing.toml"),
    ("traces", "missing.csv"),
    ("model", "missing.toml"),
    ("relay", "missing.toml"),
    ("policy", "propose", "missing.toml"),
    ("model", "examples/model/kill-10.toml", "--format", "text"),
    ("model", "examples/model/kill-10.toml", "--seeds", "x"),
    ("model", "examples/fleet.toml"),
    ("relay", "examples/fleet.toml"),
    ("relay", "deploy/operator.toml"),
    ("traces", "examples/calls.csv", "--format", "text"),
    ("traces", "examples/calls.csv", "--top", "x"),
    ("check", "examples/agent.toml"),
    ("check", "examples/model/kill-10.toml"),
    ("check", "README.md"),
    ("serve", "examples/agent.toml"),
    ("agent", "deploy/operator.toml"),
    ("policy", "propose", "deploy/operator.toml"),
    ("explore", "--case", "nothing"),
    ("explore", "--depth", "31"),
    ("explore", "--depth", "-1"),
    ("explore", "--states", "-1"),
    ("explore", "--replay", "missing.json"),
    ("explore", "--replay", "README.md"),
    ("status", "--agent", NOBODY),
    ("status", "--agent", "nowhere"),
    ("stop", "--agent", NOBODY, "--json"),
    ("ready", "--agent", NOBODY),
    ("members", "--agent", NOBODY),
    ("suspend", "w1", "--agent", NOBODY),
    ("rollout", "status", "--agent", NOBODY),
    ("rollout", "start", "r1", "--agent", NOBODY),
    ("policy", "status", "--agent", NOBODY),
    ("policy", "propose", "examples/policy/policy.toml", "--agent", NOBODY),
)
BAD_LOADS: tuple[tuple[str, ...], ...] = (  # these load the library of the latencies
    ("load", "127.0.0.1:1"),
    ("load", "127.0.0.1:1", "--rate", "1"),
    ("load", "127.0.0.1:1", "--rate", "1", "--trace", "x", "--function", "f"),
    ("load", "127.0.0.1:1", "--rate", "1", "--function", "f=x"),
    ("load", "example.org:80", "--rate", "1", "--function", "f"),
    ("load", "127.0.0.1:1", "--rate", "1", "--function", "f", "--seconds", "0"),
    ("load", "127.0.0.1:1", "--trace", "missing.csv"),
)
GOOD_USES: tuple[tuple[str, ...], ...] = (
    ("traces", "examples/calls.csv"),
    ("traces", "examples/calls.csv", "--format", "json"),
    ("traces", "examples/calls.csv", "--format", "functions"),
    (
        "traces",
        "examples/calls.csv",
        "--format",
        "functions",
        "--top",
        "1",
        "--class",
        "review",
        "--memory-mb",
        "64",
    ),
    ("model", "examples/model/kill-10.toml"),
    ("model", "examples/model/kill-10.toml", "--format", "csv"),
    ("model", "examples/model/kill-10.toml", "--seeds", "2"),
    ("model", "examples/model/split-10.toml"),
    ("explore", "--list"),
    ("explore", "--replay", "examples/explore/keyed-window.json"),
    ("explore", "--replay", "examples/explore/keyed-window.json", "--json"),
)
OPERATOR, POLICY = "deploy/operator.toml", "examples/policy/policy.toml"
AGENT, SCHEDULE, VOTER = "examples/agent.toml", "examples/model/kill-10.toml", "examples/control/a1.toml"
SPLIT, PEER = "examples/model/split-10.toml", "deploy/fleet/r1.toml"
SPOILT: tuple[tuple[str, str, str, str], ...] = (  # the command, the file, what is replaced once, and by what
    ("check", OPERATOR, 'name = "palash-desk"', "name = 7"),
    ("check", OPERATOR, 'name = "palash-desk"', 'nane = "palash-desk"'),
    ("check", OPERATOR, 'name = "palash-desk"', "name = "),
    ("check", OPERATOR, "127.0.0.1:8080", "8080"),
    ("check", OPERATOR, "127.0.0.1:8080", "10.0.0.1:8080"),
    ("check", OPERATOR, "127.0.0.1:8081", "127.0.0.1:x"),
    ("check", OPERATOR, "127.0.0.1:8082", "example.org:8082"),
    ("check", OPERATOR, "open_requests = 2000", "open_requests = 0"),
    ("check", OPERATOR, "records = 1000", "records = true"),
    ("check", OPERATOR, "record_s = 60", 'record_s = "60"'),
    ("check", OPERATOR, "deadline_most_s = 60", "deadline_most_s = -1"),
    ("check", OPERATOR, "body_bytes = 16384", "body_bytes = 99999999999"),
    ("check", OPERATOR, "keep_s = 9.7", "keep_s = []"),
    ("check", OPERATOR, "routers = 1", "routers = 0"),
    ("check", OPERATOR, "aim_ms = 1000", "aim_ms = 0"),
    ("check", OPERATOR, "deadline_ms = 5000", "deadline_ms = 5"),
    ("check", OPERATOR, 'semantics = "safe"', 'semantics = "sound"'),
    ("check", OPERATOR, 'scope = "cell"', 'scope = "street"'),
    ("check", OPERATOR, "window_ms = 4000", "window_ms = -4"),
    ("check", OPERATOR, 'name = "deck-make"', 'name = "review"'),
    ("check", OPERATOR, "open_most = 400", "open_most = 0"),
    ("check", OPERATOR, 'name = "nodi-schools"', 'name = "shapla-tutors"'),
    ("check", OPERATOR, 'class = "review"', 'class = "x"'),
    ("check", OPERATOR, "memory_mb = 2400", 'memory_mb = "a"'),
    ("check", OPERATOR, "lanes = 4", "lanes = 0"),
    ("check", OPERATOR, "lanes = 4", "lane = 4"),
    ("check", OPERATOR, "memory_mb = 77248", "memory_mb = 0"),
    ("check", OPERATOR, 'id = "w2"', 'id = "w1"'),
    ("check", OPERATOR, "127.0.0.1:9001", "w1"),
    ("check", OPERATOR, "weight = 4", "weight = 0"),
    ("check", OPERATOR, "cell = 1", "cell = -1"),
    ("check", OPERATOR, "[rules]", "[rule]"),
    ("check", OPERATOR, "[[tenant]]", "[tenant]"),
    ("check", PEER, "127.0.0.1:7941", "10.0.0.1:7941"),
    ("check", PEER, '["127.0.0.1:7942", "127.0.0.1:7943"]', '"127.0.0.1:7942"'),
    ("check", PEER, "period_ms = 1000", "period_ms = 1"),
    ("check", PEER, "ack_ms = 400", "ack_ms = 4000"),
    ("check", POLICY, "attempts = 3", "attempts = 0"),
    ("check", POLICY, "attempts = 3", "tries = 3"),
    ("check", POLICY, "second_copies = true", "second_copies = 1"),
    ("check", POLICY, "open_requests = 1500", "sockets = 1500"),
    ("check", POLICY, "[limits]", "[limit]"),
    ("check", POLICY, "deadline_ms = 4000", "deadline_ms = 1"),
    ("policy propose", POLICY, "keep_s = 9.7", 'keep_s = "x"'),
    ("policy propose", POLICY, "keep_s = 9.7", "keep_s = 1979-05-27"),
    ("policy propose", POLICY, "[rules]", "[kind]"),
    ("agent", AGENT, 'listen = "127.0.0.1:7070"', 'listen = "10.0.0.1:7070"'),
    ("agent", AGENT, "backoff_s = 0.5", "backoff_s = -1"),
    ("agent", AGENT, "backoff_most_s = 30", 'backoff_most_s = "x"'),
    ("agent", AGENT, "stop_s = 8", "stops = 8"),
    ("agent", AGENT, 'name = "worker-2"', 'name = "worker-1"'),
    ("agent", AGENT, 'command = ["python3", "examples/toy_worker.py", "--port", "9001"]', "command = []"),
    ("agent", AGENT, 'command = ["python3", "examples/toy_worker.py", "--port", "9001"]', ""),
    ("agent", AGENT, 'file = "../deploy/operator.toml"', 'file = "../deploy/operator.toml"\ncommand = ["x"]'),
    ("agent", AGENT, "[[instance]]", "[[instances]]"),
    ("agent", VOTER, 'name = "a1"', 'name = "a9"'),
    ("agent", VOTER, "budget = 1", 'budget = "x"'),
    ("agent", VOTER, "step_s = 60", "step_s = 0"),
    ("agent", VOTER, "failed_most = 0.1", "failed_most = 2"),
    ("agent", VOTER, 'address = "127.0.0.1:7402"', 'address = "a2"'),
    ("model", SCHEDULE, "seed = 11", ""),
    ("model", SCHEDULE, "members = 10", "members = 0"),
    ("model", SCHEDULE, "delay_ms = 0.5", 'delay_ms = "x"'),
    ("model", SCHEDULE, "jitter_ms", "jittering_ms"),
    ("model", SCHEDULE, "member = 1", "member = 10"),
    ("model", SCHEDULE, "at_s = 20", "at_s = -1"),
    ("model", SCHEDULE, "duration_s = 60", "duration_s = 0"),
    ("model", SCHEDULE, "[[kill]]", "[[kills]]"),
    ("relay", SCHEDULE, "seed = 11", ""),
    ("relay", SCHEDULE, "members = 10", "members = 1.5"),
    ("relay", SPLIT, "sides = [[0,1,2,3]]", "sides = [[10]]"),
    ("relay", SPLIT, "until_s = 50", "until_s = 5"),
    ("relay", SPLIT, "[[split]]", "[[spilt]]"),
)
RAFT = {"voter": "a1", "leader": "a2", "term": 3}
LEASE = {"instance": "r1", "action": "restart", "stage": "draining", "holder": "a1"}
ROLLOUT = {
    "number": 4,
    "action": "restart",
    "kind": "routers",
    "phase": "halted",
    "reason": "too many failed",
    "done": ["r2"],
    "targets": ["r1", "r2"],
    "budget": "25%",
}
VIEW = (
    '{"members": [{"name": "r1", "status": "alive", "incarnation": 3},'
    ' {"name": "r2", "status": "%s", "incarnation": 1}], "isolated": false}'
)
RECORDED_CHANGE = {
    "number": 2,
    "reads": 5,
    "base": 1,
    "by": "a1",
    "document": {"rules": {"attempts": 3}},
    "phase": "checking",
    "rollback": None,
    "reason": "",
    "verdicts": {"r1": ""},
    "absent": [],
}
POLICY_STATUS = {
    "agreed": {
        "epochs": [
            {"number": 0, "document": None, "change": 0, "rollback": None},
            {"number": 1, "document": {"rules": {"attempts": 2}}, "change": 1, "rollback": None},
        ],
        "change": RECORDED_CHANGE,
        "history": [
            RECORDED_CHANGE
            | {"number": 1, "base": 0, "phase": "committed", "absent": ["r3"], "document": None}
        ],
        "number": 2,
        "reads": 5,
        "members": {"r1": 5, "r2": 4},
    },
    "instances": {
        "r1": {"agent": "a1", "heard_s": 0.2, "epoch": 1, "standing": "current", "stale_s": 0},
        "r2": {
            "agent": "a2",
            "heard_s": 3.5,
            "epoch": 0,
            "standing": "stale",
            "stale_s": 3,
            "reason": "cut off",
        },
        "r3": {"agent": "a3", "heard_s": None, "stale_s": 0},
    },
    "ready": False,
    "raft": RAFT,
}
INSTANCES = {
    "instances": {
        "r1": {"state": "running", "pid": 77, "starts": 1, "for_s": 12.5, "last_exit": ""},
        "w1": {"state": "waiting", "pid": None, "starts": 3, "for_s": 0.1, "last_exit": "ended with 3"},
    }
}
ANSWERS = {
    "r1": {"ok": True, "told": "ready", "status": 200},
    "w1": {"ok": False, "told": "it has no operators' front", "no_front": True},
}
YES = {"r1": {"ok": True, "told": ""}}
AGENT_REPLIES: tuple[tuple[tuple[str, ...], object], ...] = (  # a use of the command line, and the reply
    (("status",), INSTANCES),
    (("status", "--json", "r1", "w1"), INSTANCES),
    (("stop", "r1"), INSTANCES),
    (("restart",), INSTANCES),
    (("status", "nobody"), {"error": "not understood, or no such instance: 'nobody'"}),
    (
        ("reload",),
        {"reload": {"r1": {"ok": True, "fault": "", "taken": ["invoke"], "restart": []}, "w1": None}},
    ),
    (("reload", "r1"), {"reload": {"r1": {"ok": False, "fault": "bad", "taken": [], "restart": ["listen"]}}}),
    (("counters",), {"counters": {"r1": {"answers": 3}, "w1": None}}),
    (("counters", "--json"), {"counters": {}}),
    (("ready",), {"ready": ANSWERS}),
    (("ready", "r1"), {"ready": YES}),
    (("ready", "--json"), {"ready": ANSWERS}),
    (("figures",), {"figures": ANSWERS | {"r1": {"ok": True, "told": "svc_inflight 0"}}}),
    (("figures", "--json"), {"figures": YES}),
    (("suspend", "s 1"), {"suspend": YES}),
    (("resume", "s-1", "r1", "--json"), {"resume": YES}),
    (
        ("members",),
        {"members": {"r1": {"ok": True, "told": VIEW % "alive"}, "r2": {"ok": True, "told": VIEW % "alive"}}},
    ),
    (
        ("members",),
        {
            "members": {
                "r1": {"ok": True, "told": VIEW % "alive"},
                "r2": {"ok": True, "told": VIEW % "dead"},
                "r3": {"ok": False, "told": "no answer"},
                "r4": {"ok": True, "told": "{"},
            }
        },
    ),
    (("members", "--json"), {"members": {"r1": {"ok": True, "told": VIEW % "alive"}}}),
    (("rollout", "status"), {"rollout": {"raft": RAFT, "rollout": None, "leases": []}}),
    (
        ("rollout", "status"),
        {"rollout": {"raft": RAFT, "rollout": ROLLOUT, "leases": [LEASE, LEASE | {"holder": ""}]}},
    ),
    (("rollout", "status", "--json"), {"rollout": {"raft": RAFT, "rollout": ROLLOUT, "leases": [LEASE]}}),
    (
        ("rollout", "start", "--action", "drain", "--budget", "25%", "r1", "r2"),
        {"rollout": {"ok": True, "rollout": 5}},
    ),
    (("rollout", "start", "--runners", "w1"), {"rollout": {"ok": True}}),
    (("rollout", "halt", "--reason", "why"), {"rollout": {"ok": True}}),
    (("rollout", "resume"), {"rollout": {"ok": True}}),
    (("rollout", "undo"), {"rollout": {"ok": True}}),
    (("rollout", "release", "r1", "--json"), {"rollout": {"ok": True}}),
    (("rollout", "start"), {"error": "this agent has no control plane: no [control] in its file"}),
    (("policy", "status"), {"policy": POLICY_STATUS}),
    (("policy", "status", "--json"), {"policy": POLICY_STATUS}),
    (("policy", "rollback", "--to", "0", "--no-wait"), {"policy": POLICY_STATUS | {"change": 3}}),
    (("policy", "rollback", "--base", "9", "--no-wait", "--json"), {"policy": POLICY_STATUS | {"change": 3}}),
    (("policy", "propose", POLICY, "--no-wait"), {"policy": POLICY_STATUS | {"change": 3}}),
    (("policy", "propose", POLICY), {"policy": POLICY_STATUS | {"change": 1}}),
    (("policy", "propose", POLICY, "--json"), {"policy": POLICY_STATUS | {"change": 1}}),
)


def helps() -> str:
    return "\n".join(run(*command, "--help") for command in COMMANDS)


def bad_uses() -> str:
    return "\n".join(run(*arguments) for arguments in BAD_USES)


def bad_loads() -> str:
    return "\n".join(run(*arguments) for arguments in BAD_LOADS)


def good_uses() -> str:
    return "\n".join(run(*arguments) for arguments in GOOD_USES)


def checks() -> str:
    files = sorted([*(ROOT / "deploy").rglob("*.toml"), *(ROOT / "examples").rglob("*.toml")])
    return "\n".join(run("check", relative(file)) for file in files)


def spoilt() -> str:
    """The folder stands beside the files that the spoilt ones name."""
    results: list[str] = []
    for command, file, old, new in SPOILT:
        text = (ROOT / file).read_text()
        if old not in text:
            raise AssertionError(f"{file} has no {old!r} to replace")
        with tempfile.TemporaryDirectory() as folder:
            changed = Path(folder) / "file.toml"
            changed.write_text(text.replace(old, new, 1))
            result = run(*command.split(), str(changed), mask=False)
        change = f"$ maplestile {command} {file}: {old!r} -> {new!r}"
        result = masked(re.sub(r"^\$ .*", change, result))
        results.append(result.replace("TEMPORARY/file.toml", "FILE"))
    return "\n".join(results)


def agent_files() -> str:
    """The files of agents, as they are read: values alone, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "examples").rglob("*.toml")):
        try:
            read[relative(file)] = agents.load_settings(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def operator_files() -> str:
    """The files of routers, as they are read: values alone, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "deploy").rglob("*.toml")):
        try:
            read[relative(file)] = operators.load(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def answers() -> str:
    """What the command line sends to an agent, and prints of its reply."""
    results: list[str] = []
    for arguments, reply in AGENT_REPLIES:
        with agent(reply) as stand_in:
            printed = run(*arguments, "--agent", stand_in.address)
            results.append(printed + "-- asked\n" + "\n".join(stand_in.requests) + "\n")
    return "\n".join(results)


RECORDERS: dict[str, Recorder] = {
    "command-line-help.txt": helps,
    "command-line-bad-uses.txt": bad_uses,
    "command-line-bad-loads.txt": bad_loads,
    "command-line-good-uses.txt": good_uses,
    "command-line-check.txt": checks,
    "command-line-spoilt-files.txt": spoilt,
    "command-line-agent-answers.txt": answers,
    "files-agent.json": agent_files,
    "files-operator.json": operator_files,
}

if __name__ == "__main__":
    record(RECORDERS)
