"""Tests that no task ends on an exception that nobody sees, and that no reader stops at a long line.

A use of asyncio that may do so is listed below, with the reason why it does not.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.standins import ROOT

PACKAGE = ROOT / "maplestile"
TASK_MAKERS = frozenset(("create_task", "ensure_future"))
LINE_READERS = frozenset(("readline", "readuntil"))  # raise ValueError for a line over the reader's limit
ALLOWED = {
    ("common/tasks.py", "create_task"),  # reports the exception when the task ends
    ("router/supervisor.py", "create_task"),  # logs each exception, and starts the task again
    ("agent/rollout_steps.py", "create_task"),  # looks at the exceptions at each poll
    ("net/dns_client.py", "ensure_future"),  # a query that fails leaves its records out, which is counted
    ("net/http_connection.py", "ensure_future"),  # its result is awaited, or the connection has ended
    # One command a connection: a longer line is answered by closing it, counted and logged.
    ("agent/command_server.py", "readline"),
    ("agent/command_client.py", "readline"),  # raises ValueError by its docstring
    # Tools, each of which ends with its task or shows its error.
    ("tools/load/client.py", "create_task"),
    ("tools/faults/relay.py", "create_task"),
    ("tools/faults/control_port.py", "readline"),
    ("tools/explore/socket_clients.py", "readline"),
    ("tools/explore/scripted_workers.py", "readline"),
    ("tools/explore/socket_clients.py", "create_task"),
    ("tools/explore/router_process.py", "readline"),
    ("tools/explore/router_process.py", "create_task"),
}


def uses(source: str) -> Iterator[str]:
    """Yield the names of the functions above that a module calls on an object."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            owner = ast.unparse(node.func.value)
            if node.func.attr in TASK_MAKERS | LINE_READERS and owner != "sys.stdin":
                yield node.func.attr


@pytest.mark.parametrize(
    "file", sorted(PACKAGE.rglob("*.py")), ids=lambda file: str(file.relative_to(PACKAGE))
)
def test_module_starts_tasks_and_reads_lines_only_where_failures_are_seen(file: Path) -> None:
    """Guards against a supervision that ends unseen, and a process that blocks as nobody reads its log."""
    path = str(file.relative_to(PACKAGE))
    assert {(path, name) for name in uses(file.read_text())} <= ALLOWED


def test_no_allowed_use_is_out_of_date() -> None:
    found = {(path, name) for path, _ in ALLOWED for name in uses((PACKAGE / path).read_text())}
    assert found == ALLOWED


def test_use_is_found() -> None:
    assert list(uses("task = loop.create_task(run())\nline = await reader.readline()"))
