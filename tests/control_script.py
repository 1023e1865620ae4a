"""The script of log commands in wire form from which the recorded files of the control plane are made."""

from typing import Any

Command = dict[str, Any]
DOCUMENT = {"rules": {"retry_share": 0.2}, "limits": {"open_requests": 64}}
SECOND_DOCUMENT = {"class": [{"name": "safe", "default_s": 1.0}], "limits": {"body_bytes": 1024}}


def _grant(instance: str, after: int, *down: str, rollout: int | None = None) -> Command:
    """Return the leader's grant of a lease, decided when `after` was the last allocated number."""
    return {
        "do": "grant",
        "rollout": rollout,
        "instance": instance,
        "down": list(down),
        "after": after,
        "term": 1,
        "agent": "a0",
    }


def _step(do: str, instance: str, lease: int, agent: str = "a0", **fields: Any) -> Command:
    """Return an agent's report on the step of a lease."""
    return {"do": do, **fields, "instance": instance, "lease": lease, "agent": agent}


def _start(action: str, targets: list[str], budget: Any = 1, **fields: Any) -> Command:
    """Return an operator's command to start a rollout."""
    return {"do": "start", "action": action, "targets": targets, "budget": budget, **fields, "agent": "a0"}


REGISTRATIONS: list[Command] = [
    {"do": "register", "instances": ["r0", "r1"], "runners": {"w0": True, "w1": False}, "agent": "a0"},
    {"do": "register", "instances": ["r2"], "runners": {"w1": False, "w2": True}, "agent": "a1"},
    {"do": "register", "instances": ["r2"], "agent": "a0"},
    {"do": "register", "instances": ["r3"], "agent": "a2"},
    {"do": "register", "instances": [], "agent": "a2"},
]
ROUTER_ROLLOUTS: list[Command] = [
    {"do": "halt", "reason": "", "agent": "a0"},
    _start("restart", ["r0", "r1"], "50%", kind="routers"),
    _start("restart", []),
    _grant("r0", 1, "r2"),
    _grant("r1", 1),
    _grant("r0", 0),
    _grant("r0", 1, rollout=1),
    _step("back", "r0", 2),
    _step("begin", "r0", 2, "a1"),
    _step("begin", "r0", 2),
    _step("begin", "r0", 2),
    _step("out", "r0", 2),
    _step("back", "r0", 2),
    _grant("r1", 2, rollout=1),
    {"do": "halt", "rollout": 1, "reason": "r0 fails 30 of 30 calls", "agent": "a0"},
    {"do": "halt", "agent": "a0"},
    {"do": "resume", "rollout": 7, "agent": "a0"},
    {"do": "resume", "agent": "a0"},
    {"do": "resume", "agent": "a0"},
    _grant("r1", 3, rollout=1),
    _step("begin", "r1", 4),
    {"do": "release", "instance": "r1", "lease": 3, "agent": "a0"},
    {"do": "release", "instance": "r2", "agent": "a0"},
    {"do": "release", "instance": "r1", "agent": "a0"},
    _grant("r1", 4, rollout=1),
    _step("begin", "r1", 5),
    _step("back", "r1", 5),
    _start("explode", []),
    _start("restart", ["r9"]),
    _start("restart", [], "0%"),
    _start("restart", [], True),
    _start("drain", ["r0", "r1"], 1),
    _start("drain", ["r0"], 1),
    _grant("r0", 6, rollout=6),
    _step("begin", "r0", 7),
    _step("back", "r0", 7),
    _step("out", "r0", 7),
    _start("restart", ["r1"], 1),
    _start("restart", ["r0"], 2),
    {"do": "undo", "reason": "not wanted", "agent": "a0"},
    _grant("r0", 7, rollout=6),
    {"do": "halt", "agent": "a0"},
    {"do": "undo", "agent": "a0"},
    {"do": "undo", "agent": "a0"},
    _grant("r0", 8, rollout=6),
    _step("begin", "r0", 9),
    _step("back", "r0", 9),
    _start("replace", ["r2"], "2"),
    _grant("r2", 10, rollout=10),
    _step("begin", "r2", 11, "a1"),
    _step("back", "r2", 11, "a1"),
    {"do": "undo", "agent": "a1"},
    _grant("r2", 11, rollout=10),
    _step("begin", "r2", 12, "a1"),
    _step("back", "r2", 12, "a1"),
]
RUNNER_ROLLOUTS: list[Command] = [
    _start("restart", ["w1"], kind="runners"),
    _start("restart", ["w9"], kind="runners"),
    _start("restart", [], kind="agents"),
    _start("restart", ["w0"], kind="runners"),
    _grant("w0", 13, rollout=13),
    _step("begin", "w0", 14),
    _step("part", "w0", 14, did="begun"),
    _step("part", "w0", 14, "a2", did="begun"),
    _step("part", "w0", 14, did="in"),
    _step("part", "w0", 14, did="gone"),
    _step("part", "w0", 14, "a1", did="begun"),
    _step("renewed", "w0", 14),
    _step("part", "w0", 14, did="out"),
    _step("part", "w0", 14, "a1", did="out"),
    _step("renewed", "w0", 14, "a1"),
    _step("renewed", "w0", 14),
    _step("part", "w0", 14, did="in"),
    _step("part", "w0", 14, "a1", did="in"),
    _step("part", "w0", 14, "a1", did="in"),
    _start("drain", ["w1", "w2"], 2, kind="runners"),
    _grant("w1", 15, rollout=15),
    _step("part", "w1", 16, did="begun"),
    _step("part", "w1", 16, did="out"),
    _step("part", "w1", 16, "a1", did="out"),
    _grant("w2", 16, rollout=15),
    _step("part", "w2", 17, "a1", did="begun"),
]
POLICY_CHANGES: list[Command] = [
    {"do": "policy read", "instances": ["r0", "r1", "r2"], "told": {}, "agent": "a0"},
    {"do": "policy rollback", "base": 0, "to": None, "agent": "a0"},
    {"do": "policy propose", "document": None, "base": 0, "agent": "a0"},
    {"do": "policy propose", "document": {"listen": {}}, "base": 0, "agent": "a0"},
    {"do": "policy propose", "document": {"limits": {"listeners": 1}}, "base": 0, "agent": "a0"},
    {"do": "policy propose", "document": DOCUMENT, "base": 3, "agent": "a0"},
    {"do": "policy propose", "document": DOCUMENT, "base": 0, "agent": "a0"},
    {"do": "policy propose", "document": SECOND_DOCUMENT, "base": 0, "agent": "a1"},
    {"do": "policy commit", "change": 1, "absent": [], "agent": "a0"},
    {"do": "policy verdict", "change": 1, "instance": "r2", "reason": "", "agent": "a0"},
    {"do": "policy verdict", "change": 1, "instance": "r0", "reason": "", "agent": "a0"},
    {"do": "policy verdict", "change": 1, "instance": "r1", "reason": "", "agent": "a0"},
    {"do": "policy read", "instances": ["r1"], "told": {}, "agent": "a0"},
    {"do": "policy commit", "change": 1, "absent": ["r1"], "agent": "a0"},
    {"do": "policy commit", "change": 1, "absent": ["r2"], "agent": "a0"},
    {"do": "policy commit", "change": 1, "absent": ["r2"], "agent": "a0"},
    {"do": "policy propose", "document": DOCUMENT, "base": 1, "agent": "a0"},
    {"do": "policy propose", "document": SECOND_DOCUMENT, "base": 1, "agent": "a1"},
    {"do": "policy verdict", "change": 2, "instance": "r2", "reason": "class: no", "agent": "a1"},
    {"do": "policy rollback", "base": 1, "to": 5, "agent": "a0"},
    {"do": "policy rollback", "base": 1, "to": 0, "agent": "a0"},
    {"do": "policy abort", "change": 3, "reason": "no word of r1 in 5 s", "agent": "a0"},
    {"do": "policy rollback", "base": 1, "to": None, "agent": "a0"},
    {"do": "policy verdict", "change": 4, "instance": "r0", "reason": "", "agent": "a0"},
    {"do": "policy verdict", "change": 4, "instance": "r1", "reason": "", "agent": "a0"},
    {"do": "policy commit", "change": 4, "absent": ["r2"], "agent": "a0"},
    {"do": "policy propose", "document": SECOND_DOCUMENT, "base": 2, "agent": "a1"},
    {"do": "policy verdict", "change": 5, "instance": "r2", "reason": "", "agent": "a1"},
]
# Commands with missing, invalid or unknown fields.
MALFORMED: list[Command] = [
    {},
    {"do": "fly"},
    {"do": None},
    {"do": ["halt"]},
    {"do": "register"},
    {"do": "register", "agent": "a0", "instances": 4},
    {"do": "register", "agent": "", "instances": []},
    {"do": "register", "agent": "a0", "instances": ["x" * 65]},
    {"do": "start"},
    {"do": "start", "action": "restart", "budget": 1},
    {"do": "start", "action": "restart", "budget": 1, "targets": [], "foreign": [1, 2]},
    {"do": "grant"},
    {"do": "begin", "instance": "r0"},
    {"do": "back", "instance": "w1", "lease": 16, "agent": ""},
    {"do": "part", "instance": "w1", "lease": 16, "agent": "a0"},
    {"do": "release"},
    {"do": "halt", "foreign": True, "rollout": "15"},
    {"do": "policy propose"},
    {"do": "policy propose", "base": "x", "document": None},
    {"do": "policy verdict", "change": 5},
    {"do": "policy read", "agent": "a0", "instances": None},
    {"do": "policy commit", "change": 5, "agent": "a0"},
    {"do": "policy abort", "change": 9, "reason": ""},
    {"do": "policy read", "agent": "a0", "instances": ["r0"], "foreign": {"a": [1]}},
]
SCRIPT = REGISTRATIONS + ROUTER_ROLLOUTS + RUNNER_ROLLOUTS + POLICY_CHANGES + MALFORMED
HEARTBEAT: Command = {"do": "word", "agent": "a0", "words": {"r0": [True, 5, 1], "r1": [False, 0, 0]}}
POLICY_READ: Command = {"do": "policy read", "instances": ["r0"], "told": {"r0": {"epoch": 2}}, "agent": "a0"}
