"""Uses of the command line that send a request to an agent, with the replies of a stand-in for it."""

from tests.command_line_uses import POLICY

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
