"""Commands of the command line that send a request to an agent, each with the reply of a scripted agent."""

from typing import NamedTuple

from tests.command_line_uses import POLICY, Arguments


class AgentReply(NamedTuple):
    """The arguments of a command, and the agent's reply to its request."""

    arguments: Arguments
    reply: object


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
MEMBERS_VIEW = (
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
ROUTER_ANSWERS = {
    "r1": {"ok": True, "told": "ready", "status": 200},
    "w1": {"ok": False, "told": "it has no operators' front", "no_front": True},
}
ACCEPTED = {"r1": {"ok": True, "told": ""}}
AGENT_REPLIES: tuple[AgentReply, ...] = (
    AgentReply(("status",), INSTANCES),
    AgentReply(("status", "--json", "r1", "w1"), INSTANCES),
    AgentReply(("stop", "r1"), INSTANCES),
    AgentReply(("restart",), INSTANCES),
    AgentReply(("status", "nobody"), {"error": "not understood, or no such instance: 'nobody'"}),
    AgentReply(
        ("reload",),
        {"reload": {"r1": {"ok": True, "fault": "", "taken": ["invoke"], "restart": []}, "w1": None}},
    ),
    AgentReply(
        ("reload", "r1"),
        {"reload": {"r1": {"ok": False, "fault": "bad", "taken": [], "restart": ["listen"]}}},
    ),
    AgentReply(("counters",), {"counters": {"r1": {"answers": 3}, "w1": None}}),
    AgentReply(("counters", "--json"), {"counters": {}}),
    AgentReply(("ready",), {"ready": ROUTER_ANSWERS}),
    AgentReply(("ready", "r1"), {"ready": ACCEPTED}),
    AgentReply(("ready", "--json"), {"ready": ROUTER_ANSWERS}),
    AgentReply(("figures",), {"figures": ROUTER_ANSWERS | {"r1": {"ok": True, "told": "svc_inflight 0"}}}),
    AgentReply(("figures", "--json"), {"figures": ACCEPTED}),
    AgentReply(("suspend", "s 1"), {"suspend": ACCEPTED}),
    AgentReply(("resume", "s-1", "r1", "--json"), {"resume": ACCEPTED}),
    AgentReply(
        ("members",),
        {
            "members": {
                "r1": {"ok": True, "told": MEMBERS_VIEW % "alive"},
                "r2": {"ok": True, "told": MEMBERS_VIEW % "alive"},
            }
        },
    ),
    AgentReply(
        ("members",),
        {
            "members": {
                "r1": {"ok": True, "told": MEMBERS_VIEW % "alive"},
                "r2": {"ok": True, "told": MEMBERS_VIEW % "dead"},
                "r3": {"ok": False, "told": "no answer"},
                "r4": {"ok": True, "told": "{"},
            }
        },
    ),
    AgentReply(("members", "--json"), {"members": {"r1": {"ok": True, "told": MEMBERS_VIEW % "alive"}}}),
    AgentReply(("rollout", "status"), {"rollout": {"raft": RAFT, "rollout": None, "leases": []}}),
    AgentReply(
        ("rollout", "status"),
        {"rollout": {"raft": RAFT, "rollout": ROLLOUT, "leases": [LEASE, LEASE | {"holder": ""}]}},
    ),
    AgentReply(
        ("rollout", "status", "--json"), {"rollout": {"raft": RAFT, "rollout": ROLLOUT, "leases": [LEASE]}}
    ),
    AgentReply(
        ("rollout", "start", "--action", "drain", "--budget", "25%", "r1", "r2"),
        {"rollout": {"ok": True, "rollout": 5}},
    ),
    AgentReply(("rollout", "start", "--runners", "w1"), {"rollout": {"ok": True}}),
    AgentReply(("rollout", "halt", "--reason", "why"), {"rollout": {"ok": True}}),
    AgentReply(("rollout", "resume"), {"rollout": {"ok": True}}),
    AgentReply(("rollout", "undo"), {"rollout": {"ok": True}}),
    AgentReply(("rollout", "release", "r1", "--json"), {"rollout": {"ok": True}}),
    AgentReply(("rollout", "start"), {"error": "this agent has no control plane: no [control] in its file"}),
    AgentReply(("policy", "status"), {"policy": POLICY_STATUS}),
    AgentReply(("policy", "status", "--json"), {"policy": POLICY_STATUS}),
    AgentReply(("policy", "rollback", "--to", "0", "--no-wait"), {"policy": POLICY_STATUS | {"change": 3}}),
    AgentReply(
        ("policy", "rollback", "--base", "9", "--no-wait", "--json"),
        {"policy": POLICY_STATUS | {"change": 3}},
    ),
    AgentReply(("policy", "propose", POLICY, "--no-wait"), {"policy": POLICY_STATUS | {"change": 3}}),
    AgentReply(("policy", "propose", POLICY), {"policy": POLICY_STATUS | {"change": 1}}),
    AgentReply(("policy", "propose", POLICY, "--json"), {"policy": POLICY_STATUS | {"change": 1}}),
)
