"""The command line: serve one instance, run the agent, ask it, read traces."""

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from maplestile.agent import supervisor as agent
from maplestile.common import logs
from maplestile.common.address import parse_address
from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.state import ACTIONS
from maplestile.invoke.operator_file import OperatorError, load, read
from maplestile.tools import policy_command as command
from maplestile.tools import traces
from maplestile.tools.explore import command as exploring
from maplestile.tools.faults.schedule import ScheduleError

DEFAULT_AGENT = "127.0.0.1:7070"


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="maplestile", description="A function router and its agent.")
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run one instance by an operator's file")
    serve.add_argument("file", type=Path)
    check = commands.add_parser("check", help="read an operator's file and name what is wrong with it")
    check.add_argument("file", type=Path)
    run = commands.add_parser("agent", help="start and supervise the instances of an agent's file")
    run.add_argument("file", type=Path)
    for name, text in (
        ("status", "how the instances stand"),
        ("stop", "stop the named instances, or all of them and the agent"),
        ("restart", "restart the named instances, or all of them"),
        ("reload", "have the named instances, or all of them, read their files again"),
        ("counters", "the counters of the named instances, or of all"),
        ("ready", "whether the named instances, or all of them, can serve"),
        ("figures", "the figures of the named instances, or of all"),
        ("suspend", "take a runner out at the named instances, or at all"),
        ("resume", "put a runner back at the named instances, or at all"),
        ("members", "the views of membership of the named instances, or of all, side by side"),
    ):
        asked = commands.add_parser(name, help=text)
        if name in ("suspend", "resume"):
            asked.add_argument("runner")
        asked.add_argument("instance", nargs="*")
        asked.add_argument("--agent", default=DEFAULT_AGENT, metavar="HOST:PORT")
        asked.add_argument("--json", action="store_true", help="print the agent's whole answer")
    rollout = commands.add_parser("rollout", help="drain, restart or replace instances under a budget")
    whats = rollout.add_subparsers(dest="what", required=True)
    for what, text in (
        ("start", "begin a rollout to the named instances, or to all"),
        ("status", "the rollout, the leases, and who leads"),
        ("halt", "no new step; what is under way finishes"),
        ("resume", "go on after a halt"),
        ("undo", "what was taken out comes back, in reverse order"),
        ("release", "count an instance in again whose step will not end by itself"),
    ):
        one = whats.add_parser(what, help=text)
        if what == "start":
            one.add_argument("--action", choices=ACTIONS, default="restart")
            one.add_argument("--budget", help="the most out at once: a count, or a share such as 25%%")
            one.add_argument("--runners", action="store_true", help="the names are runners' ids")
            one.add_argument("instance", nargs="*")
        if what in ("halt", "undo"):
            one.add_argument("--reason", default="")
        if what == "release":
            one.add_argument("instance")
        one.add_argument("--agent", default=DEFAULT_AGENT, metavar="HOST:PORT")
        one.add_argument("--json", action="store_true", help="print the agent's whole answer")
    command.add(commands, DEFAULT_AGENT)
    exploring.add(commands)
    model = commands.add_parser("model", help="run an experiment of the membership protocol on the model")
    model.add_argument("file", type=Path)
    model.add_argument("--format", choices=("json", "csv"), default="json")
    model.add_argument("--seeds", type=int, default=1, metavar="N", help="run so many; tell the spread")
    model.add_argument("--plot", type=Path, metavar="PNG", help="draw the course of the run there")
    relay = commands.add_parser("relay", help="play a schedule of faults between processes")
    relay.add_argument("file", type=Path)
    relay.add_argument("--control", default="127.0.0.1:0", metavar="HOST:PORT", help="where it is steered")
    load = commands.add_parser("load", help="call invoke fronts, at a rate or as a trace tells")
    load.add_argument("target", nargs="+", metavar="HOST:PORT", help="invoke fronts, called in turn")
    load.add_argument("--function", action="append", default=[], metavar="NAME[=WEIGHT]", help="what to call")
    load.add_argument("--rate", type=float, default=0.0, help="calls a second, Poisson")
    load.add_argument("--trace", type=Path, action="append", default=[], help="a trace in CSV to replay")
    load.add_argument("--speed", type=float, default=1.0, help="replay so many times as fast")
    load.add_argument("--seconds", type=float, default=10.0, help="no call is made later (default 10)")
    load.add_argument("--count", type=int, default=100_000, help="no more calls than this")
    load.add_argument("--open", type=int, default=1000, help="no more calls in hand than this")
    load.add_argument("--wait-s", type=float, default=30.0, help="for an answer; then the call is lost")
    load.add_argument("--tenant", default="")
    load.add_argument("--class", dest="class_name", default="")
    load.add_argument("--deadline-ms", type=int, default=0)
    load.add_argument("--body-bytes", type=int, default=64)
    load.add_argument("--keys", action="store_true", help="an Idempotency-Key with each call")
    load.add_argument("--seed", type=int, default=1)
    load.add_argument("--plot", type=Path, metavar="PNG")
    read = commands.add_parser("traces", help="summarise public cluster traces in CSV")
    read.add_argument("file", type=Path, nargs="+")
    read.add_argument("--format", choices=("table", "json", "functions"), default="table")
    read.add_argument("--top", type=int, default=0, help="only so many functions, the busiest first")
    read.add_argument("--class", dest="class_name", default="default", help="class in the function table")
    read.add_argument("--memory-mb", type=float, default=256.0, help="memory where the trace tells none")
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    asked = parser().parse_args(arguments)
    try:
        match asked.command:
            case "serve":
                from maplestile.router.process import serve

                if "policy" not in read(asked.file):  # else it may fit by the fleet's policy alone
                    load(asked.file)  # its mistakes are told without the log's dress
                return serve(asked.file)
            case "check" if command.is_policy_file(asked.file):
                print(f"{asked.file}: a policy, {command.checked(asked.file).digest()}")
            case "check":
                operator = load(asked.file)
                print(f"{asked.file}: {len(operator.functions)} functions, {len(operator.tenants)} tenants")
            case "agent":
                return _agent(asked.file)
            case "traces":
                return _traces(asked)
            case "model":
                return _model(asked)
            case "relay":
                return _relay(asked)
            case "explore":
                return exploring.run(asked)
            case "policy":
                return command.run(asked, _agent_says)
            case "rollout":
                return _rollout(asked)
            case "load":
                return _load(asked)
            case _:
                return _ask(asked)
    except (ConfigError, traces.TraceError) as fault:
        print(f"maplestile: {fault}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 0
    return 0


def _agent(file: Path) -> int:
    logs.start()
    plan = agent.load(file)

    def reread(name: str) -> agent.Spec:
        for spec in agent.load(file).instances:
            if spec.name == name:
                return spec
        raise OperatorError(f"{file}: no instance '{name}' any more")

    try:
        asyncio.run(agent.Agent(plan, reread).run())
    except OSError as fault:
        print(f"maplestile: the agent cannot start: {fault}", file=sys.stderr)
        return 1
    return 0


def _agent_says(where: str, do: str, names: list[str], **more: Any) -> dict[str, Any] | None:
    """The agent's answer; None, and the reason on standard error, where it gives none or an error."""
    host, _, port = where.rpartition(":")
    try:
        reply = asyncio.run(agent.ask((host, int(port)), do, names, **more))
    except (OSError, ValueError, TimeoutError) as fault:
        print(f"maplestile: no agent at {where}: {fault}", file=sys.stderr)
        return None
    if "error" in reply:
        print(f"maplestile: {reply['error']}", file=sys.stderr)
        return None
    return reply


def _rollout(asked: argparse.Namespace) -> int:
    """Exit 0 where the fleet agreed, 1 where it refused or nobody answered, with the reason."""
    command: dict[str, Any] = {}
    match asked.what:
        case "start":
            command = {
                "action": asked.action,
                "targets": asked.instance,
                "budget": asked.budget,
                "kind": "runners" if asked.runners else "routers",
            }
        case "halt" | "undo":
            command = {"reason": asked.reason}
        case "release":
            command = {"instance": asked.instance}
    reply = _agent_says(asked.agent, "rollout", [], what=asked.what, command=command)
    if reply is None:
        return 1
    told = reply["rollout"]
    if asked.json:
        print(json.dumps(reply, indent=2))
    elif asked.what != "status":
        print(", ".join(f"{key} {value}" for key, value in told.items() if key != "ok") or "done")
    else:
        _print_rollout(told)
    return 0


def _print_rollout(told: dict[str, Any]) -> None:
    raft, rollout = told["raft"], told["rollout"]
    print(f"voter {raft['voter']}", f"leader {raft['leader']}", f"term {raft['term']}", sep="\t")
    if rollout is None:
        print("no rollout")
    else:
        reason = f": {rollout['reason']}" if rollout["reason"] else ""
        done = f"{len(rollout['done'])} of {len(rollout['targets'])} done"
        what, phase = f"{rollout['action']} {rollout['kind']}", f"{rollout['phase']}{reason}"
        print(f"rollout {rollout['number']}", what, phase, done, f"budget {rollout['budget']}", sep="\t")
    for lease in told["leases"]:
        held = f"held by {lease['holder'] or 'no agent'}"
        print(f"out: {lease['instance']}", lease["action"], lease["stage"], held, sep="\t")


def _ask(asked: argparse.Namespace) -> int:
    more = {"runner": asked.runner} if "runner" in asked else {}
    if (reply := _agent_says(asked.agent, asked.command, asked.instance, **more)) is None:
        return 1
    if asked.json or asked.command in ("counters", "reload"):
        print(json.dumps(reply, indent=2))
        told = reply.get("reload", {}).values()
        return int(any(answer is not None and not answer["ok"] for answer in told))
    if asked.command == "members":
        return _members(reply["members"])
    if asked.command in agent.OPERATE:
        answers = reply[asked.command]
        for name, told in answers.items():
            if asked.command == "figures" and told["ok"]:
                print(f"# {name}", told["told"], sep="\n")
            else:
                print(name, "yes" if told["ok"] else "no", told["told"], sep="\t")
        return int(not all(told["ok"] for told in answers.values()))
    for name, told in reply["instances"].items():
        pid = f"pid {told['pid']}" if told["pid"] else "no process"
        print(name, told["state"], pid, f"{told['starts']} starts", f"{told['for_s']} s", sep="\t", end="\t")
        print(told["last_exit"])
    return 0


def _members(answers: dict[str, Any]) -> int:
    """The views side by side: a row a member, a column an instance, `status/incarnation` in each cell, and
    whether the views agree. Exit 1 where the views disagree; instances without a view are named on stderr."""
    views: dict[str, dict[str, str]] = {}
    for name, told in answers.items():
        try:
            view = json.loads(told["told"]) if told["ok"] else None
        except ValueError:
            view = None
        if view is None:
            print(f"maplestile: {name}: no view: {told['told'].strip()}", file=sys.stderr)
            continue
        views[name] = {m["name"]: f"{m['status']}/{m['incarnation']}" for m in view["members"]}
        views[name]["(isolated)"] = "yes" if view["isolated"] else "no"
    names, rows = list(views), sorted({member for view in views.values() for member in view})
    print("member", *names, "agree", sep="\t")
    agreed = True
    for member in rows:
        cells = [views[name].get(member, "-") for name in names]
        same = len({cell.partition("/")[0] for cell in cells}) <= 1
        agreed = agreed and same
        print(member, *cells, "yes" if same else "NO", sep="\t")
    return int(not agreed)


def _model(asked: argparse.Namespace) -> int:
    """Exit 0 with the figures; 2 for a file that cannot be used, with the field named."""
    from maplestile.tools.model import experiment, policy, report, rollout, run

    spread: report.Spread | None = None
    try:
        told = experiment.read(asked.file)
        if told.get("kind") == "rollout":
            plan = rollout.parse(told)
            spread = report.over(rollout.figures, rollout.with_seeds(plan, asked.seeds))
        elif told.get("kind") == "policy":
            changes = policy.parse(told)
            spread = report.over(policy.figures, policy.with_seeds(changes, asked.seeds))
        else:
            chosen = experiment.parse(told)
            if asked.seeds > 1:
                spread = report.over(run.figures, run.with_seeds(chosen, asked.seeds))
    except ScheduleError as fault:
        print(f"maplestile: {asked.file}: {fault}", file=sys.stderr)
        return 2
    if spread is not None:
        print(json.dumps(spread, indent=2) if asked.format == "json" else report.spread_csv(spread), end="\n")
        return 0
    figures, course = run.run(chosen)
    print(report.as_json(figures) if asked.format == "json" else report.as_csv(figures), end="\n")
    if asked.plot is not None:
        schedule = chosen.schedule
        title = f"{asked.file.name}: {schedule.members} members, seed {schedule.seed}"
        report.plot(course, title, asked.plot)
    return 0


def _relay(asked: argparse.Namespace) -> int:
    """Exit 2 for a schedule that cannot be used, with the field named."""
    from maplestile.tools.faults import relay, schedule
    from maplestile.tools.model import experiment

    try:
        top = TomlTable(experiment.read(asked.file), "", ScheduleError)
        played = schedule.schedule_from(top)
        for more in ("duration_s", "lifeguard", "period_ms", "duties"):
            top.values.pop(more, None)  # of the model alone, which reads the same file
        top.end()
    except ScheduleError as fault:
        print(f"maplestile: {asked.file}: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(relay.serve(played, parse_address(asked.control)))
    except OSError as fault:
        print(f"maplestile: the relay cannot listen: {fault}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0


def _load(asked: argparse.Namespace) -> int:
    """Exit 0 with the result as JSON, whatever became of the calls; 2 for arguments of no use."""
    from maplestile.tools.load import arrivals, client, report

    bad = None
    if bool(asked.rate) == bool(asked.trace):
        bad = "either --rate or --trace"
    elif asked.rate and not asked.function:
        bad = "--rate needs a --function"
    elif min(asked.speed, asked.seconds, asked.count, asked.open, asked.wait_s) <= 0 or asked.rate < 0:
        bad = "--rate, --speed, --seconds, --count, --open and --wait-s must be over 0"
    weights = dict[str, float]()
    for told in asked.function:
        name, _, weight = told.partition("=")
        try:
            weights[name] = float(weight or 1)
        except ValueError:
            bad = f"--function {told}: the weight is no number"
    targets = [parse_address(target) for target in asked.target if _is_loopback(target)]
    if len(targets) < len(asked.target):
        bad = "targets must be loopback addresses, HOST:PORT"
    if bad is not None:
        print(f"maplestile: load: {bad}", file=sys.stderr)
        return 2
    if asked.rate:
        made = list(arrivals.poisson(weights, asked.rate, asked.seconds, asked.seed))
    else:
        recorder = arrivals.Recorder(asked.seed, asked.count)
        trace = _read_traces(asked.trace, recorder.keep)
        made = arrivals.replay(recorder, arrivals.names_of(trace, next(iter(weights), "")), asked.speed)
    ask = client.Ask(b"x" * asked.body_bytes, asked.tenant, asked.class_name, asked.deadline_ms, asked.keys)
    load = client.Load(targets, ask, asked.wait_s)
    result = asyncio.run(load.run(arrivals.bounded(made, asked.seconds, asked.count), asked.open))
    print(json.dumps(report.told(result), indent=2))
    if asked.plot is not None:
        report.plot(result, f"{result.ends.total()} calls to {len(targets)} instances", asked.plot)
    return 0


def _is_loopback(told: str) -> bool:
    try:
        TomlTable({"target": told}, "", OperatorError).loopback("target")
    except OperatorError:
        return False
    return True


def _read_traces(paths: Sequence[Path], keep: "traces.Keep | None" = None) -> traces.Trace:
    """The files of one trace; bad rows are named on standard error."""
    trace = traces.Trace(keep=keep)
    for path in paths:
        try:
            with path.open(newline="", encoding="utf-8", errors="replace") as file:
                trace.read(file, str(path))
        except OSError as fault:
            raise traces.TraceError(f"{path}: {fault.strerror}") from None
    for bad in trace.bad:
        print(f"maplestile: {bad}", file=sys.stderr)
    return trace


def _traces(asked: argparse.Namespace) -> int:
    trace = _read_traces(asked.file)
    rows = traces.summary(trace, asked.top)
    if asked.format == "functions":
        lines = traces.functions(trace, asked.class_name, asked.memory_mb, asked.top)
    else:
        lines = traces.table(rows) if asked.format == "table" else (json.dumps(row) for row in rows)
    for line in lines:
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
