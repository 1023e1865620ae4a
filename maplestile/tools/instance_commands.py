"""The commands that an agent carries out on its instances, and the output of their answers.

The exit code is 0 if all instances did what was requested, and 1 otherwise.
"""

import argparse
import json
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.agent import supervisor
from maplestile.tools.agent_client import AgentReply, add_agent_options, request_agent

COMMANDS = (
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
)
RUNNER_COMMANDS = frozenset(("suspend", "resume"))
JSON_COMMANDS = frozenset(("counters", "reload"))  # printed as JSON with and without --json
ISOLATED_ROW = "(isolated)"


@dataclass(slots=True, frozen=True)
class InstanceAnswer:
    """The answer from the operators' front of one instance, forwarded by the agent."""

    instance: str
    ok: bool
    text: str


@dataclass(slots=True, frozen=True)
class InstanceStatus:
    """The status of one instance's process, as reported by the agent."""

    instance: str
    state: str
    pid: int | None  # None while no process runs
    starts: int  # how often the process has been started
    state_age_s: float  # seconds since the instance entered its state
    last_exit: str  # how the last process ended, or why it could not start; empty before that


@dataclass(slots=True, frozen=True)
class ViewCell:
    """The state of one member in the membership view of one instance."""

    status: str
    incarnation: int | None = None  # None if only the status is printed

    def __str__(self) -> str:
        """Return the text of the table cell."""
        return self.status if self.incarnation is None else f"{self.status}/{self.incarnation}"


View = dict[str, ViewCell]  # of one instance, by member; the entry ISOLATED_ROW is yes or no
ABSENT_MEMBER = ViewCell("-")  # printed for a member that is missing from a view


def add(commands: Any) -> None:
    """Add the commands to argparse's sub-parsers."""
    for name, text in COMMANDS:
        command = commands.add_parser(name, help=text)
        if name in RUNNER_COMMANDS:
            command.add_argument("runner")
        command.add_argument("instance", nargs="*")
        add_agent_options(command)
        command.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Send the command to the agent and print its reply."""
    name: str = arguments.command
    fields = {"runner": arguments.runner} if name in RUNNER_COMMANDS else {}
    reply = request_agent(arguments.agent, name, arguments.instance, **fields)
    if reply is None:
        return 1
    if arguments.json or name in JSON_COMMANDS:
        return _print_json(reply)
    if name in supervisor.FRONT_REQUESTS:
        return PRINTERS.get(name, _print_answers)(_decode_answers(reply[name]))
    for instance in _decode_statuses(reply["instances"]):
        _print_instance(instance)
    return 0


def _decode_answers(reply: Mapping[str, Any]) -> list[InstanceAnswer]:
    return [InstanceAnswer(instance, answer["ok"], answer["told"]) for instance, answer in reply.items()]


def _decode_statuses(reply: Mapping[str, Any]) -> Iterator[InstanceStatus]:
    for name, status in reply.items():
        yield InstanceStatus(
            instance=name,
            state=status["state"],
            pid=status["pid"],
            starts=status["starts"],
            state_age_s=status["for_s"],
            last_exit=status["last_exit"],
        )


def _print_json(reply: AgentReply) -> int:
    print(json.dumps(reply, indent=2))
    reloads = reply.get("reload", {}).values()
    return int(any(reload is not None and not reload["ok"] for reload in reloads))


def _print_instance(status: InstanceStatus) -> None:
    pid = f"pid {status.pid}" if status.pid else "no process"
    starts = f"{status.starts} starts"
    age = f"{status.state_age_s} s"
    print(status.instance, status.state, pid, starts, age, status.last_exit, sep="\t")


def _print_answers(answers: list[InstanceAnswer]) -> int:
    for answer in answers:
        _print_answer(answer)
    return _exit_code(answers)


def _print_answer(answer: InstanceAnswer) -> None:
    print(answer.instance, "yes" if answer.ok else "no", answer.text, sep="\t")


def _print_metrics(answers: list[InstanceAnswer]) -> int:
    for answer in answers:
        if answer.ok:
            print(f"# {answer.instance}", answer.text, sep="\n")
        else:
            _print_answer(answer)
    return _exit_code(answers)


def _exit_code(answers: list[InstanceAnswer]) -> int:
    return int(not all(answer.ok for answer in answers))


def _print_members(answers: list[InstanceAnswer]) -> int:
    """Print the membership views side by side, and whether they agree; return the exit code.

    There is a row for each member and a column for each instance, and each cell is `status/incarnation`.
    The exit code is 1 if two views differ in a status. Instances without a view are reported on standard
    error.
    """
    views = _decode_views(answers)
    print("member", *views, "agree", sep="\t")
    all_agree = True
    for member in sorted({member for view in views.values() for member in view}):
        cells = [view.get(member, ABSENT_MEMBER) for view in views.values()]
        agree = len({cell.status for cell in cells}) <= 1
        all_agree = all_agree and agree
        print(member, *cells, "yes" if agree else "NO", sep="\t")
    return int(not all_agree)


def _decode_views(answers: list[InstanceAnswer]) -> dict[str, View]:
    """Return the views by instance; instances without a view are left out and reported on standard error."""
    views: dict[str, View] = {}
    for answer in answers:
        view = _decode_view(answer)
        if view is None:
            print(f"maplestile: {answer.instance}: no view: {answer.text.strip()}", file=sys.stderr)
        else:
            views[answer.instance] = view
    return views


def _decode_view(answer: InstanceAnswer) -> View | None:
    """Decode a membership view; return None if the answer has none."""
    if not answer.ok:
        return None
    try:
        message = json.loads(answer.text)
    except ValueError:
        return None
    if message is None:
        return None
    view = {
        member["name"]: ViewCell(member["status"], member["incarnation"]) for member in message["members"]
    }
    view[ISOLATED_ROW] = ViewCell("yes" if message["isolated"] else "no")
    return view


# The functions that print the answers of commands with an output format of their own.
PRINTERS: dict[str, Callable[[list[InstanceAnswer]], int]] = {
    "figures": _print_metrics,
    "members": _print_members,
}
