"""The command line: serve one instance, run the agent, ask it, read traces."""

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from maplestile import agent, logs, traces
from maplestile.config import address
from maplestile.faults.schedule import ScheduleError
from maplestile.invoke.operator import OperatorError, load
from maplestile.table import Table

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
    model = commands.add_parser("model", help="run an experiment of the membership protocol on the model")
    model.add_argument("file", type=Path)
    model.add_argument("--format", choices=("json", "csv"), default="json")
    model.add_argument("--plot", type=Path, metavar="PNG", help="draw the course of the run there")
    relay = commands.add_parser("relay", help="play a schedule of faults between processes")
    relay.add_argument("file", type=Path)
    relay.add_argument("--control", default="127.0.0.1:0", metavar="HOST:PORT", help="where it is steered")
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
                from maplestile.__main__ import serve

                load(asked.file)  # its mistakes are told without the log's dress
                return serve(asked.file)
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
            case _:
                return _ask(asked)
    except (OperatorError, traces.TraceError) as fault:
        print(f"maplestile: {fault}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 0
    return 0


def _agent(file: Path) -> int:
    logs.start()
    plan = agent.load(file)

    try:
        asyncio.run(agent.Agent(plan).run())
    except OSError as fault:
        print(f"maplestile: the agent cannot listen: {fault}", file=sys.stderr)
        return 1
    return 0


def _ask(asked: argparse.Namespace) -> int:
    host, _, port = asked.agent.rpartition(":")
    try:
        more = {"runner": asked.runner} if "runner" in asked else {}
        reply = asyncio.run(agent.ask((host, int(port)), asked.command, asked.instance, **more))
    except (OSError, ValueError, TimeoutError) as fault:
        print(f"maplestile: no agent at {asked.agent}: {fault}", file=sys.stderr)
        return 1
    if "error" in reply:
        print(f"maplestile: {reply['error']}", file=sys.stderr)
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
    from maplestile.model import experiment, report, run

    try:
        told = experiment.load(asked.file)
    except ScheduleError as fault:
        print(f"maplestile: {asked.file}: {fault}", file=sys.stderr)
        return 2
    figures, course = run.run(told)
    print(report.as_json(figures) if asked.format == "json" else report.as_csv(figures), end="\n")
    if asked.plot is not None:
        schedule = told.schedule
        title = f"{asked.file.name}: {schedule.members} members, seed {schedule.seed}"
        report.plot(course, title, asked.plot)
    return 0


def _relay(asked: argparse.Namespace) -> int:
    """Exit 2 for a schedule that cannot be used, with the field named."""
    from maplestile.faults import relay, schedule
    from maplestile.model import experiment

    try:
        top = Table(experiment.read(asked.file), "", ScheduleError)
        played = schedule.schedule_from(top)
        for more in ("duration_s", "lifeguard", "period_ms", "duties"):
            top.values.pop(more, None)  # of the model alone, which reads the same file
        top.end()
    except ScheduleError as fault:
        print(f"maplestile: {asked.file}: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(relay.serve(played, address(asked.control)))
    except OSError as fault:
        print(f"maplestile: the relay cannot listen: {fault}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0


def _traces(asked: argparse.Namespace) -> int:
    trace = traces.Trace()
    for path in asked.file:
        try:
            with path.open(newline="", encoding="utf-8", errors="replace") as file:
                trace.read(file, str(path))
        except OSError as fault:
            raise traces.TraceError(f"{path}: {fault.strerror}") from None
    for bad in trace.bad:
        print(f"maplestile: {bad}", file=sys.stderr)
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
