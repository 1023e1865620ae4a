"""Tests that the program measures no span by the wall clock, which may be stepped.

A module that needs a wall-clock time is listed below, with what it uses and why a step does no harm there.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.standins import ROOT

PARTS = ("maplestile", "tools", "examples", "benchmarks")
WALL_CLOCK_NAMES = frozenset(
    (
        "time.time",
        "time.time_ns",
        "time.clock_gettime",
        "time.clock_gettime_ns",
        "time.CLOCK_REALTIME",
        "time.localtime",
        "time.gmtime",
        "time.ctime",
        "time.asctime",
        "time.strftime",
        "datetime",
        "socket.SO_TIMESTAMP",
        "socket.SO_TIMESTAMPNS",
        "os.path.getmtime",
        "os.path.getctime",
    )
)
FILE_TIMES = frozenset(("st_mtime", "st_mtime_ns", "st_ctime", "st_ctime_ns", "st_atime", "st_atime_ns"))
ALLOWED = {
    # The Unix time at the start of the process; spans are added by the monotonic clock.
    ("maplestile/router/clock.py", "time.time_ns"),
    # Compares the two clocks, to report steps.
    ("maplestile/router/wall_clock_monitor.py", "time.time_ns"),
    # Compared for equality only, to tell whether the file is another one.
    ("maplestile/operation/shared_endpoints.py", "st_mtime_ns"),
}
FILES = [file for part in PARTS for file in sorted((ROOT / part).rglob("*.py"))]


def uses_of_wall_clock(source: str) -> Iterator[str]:
    """Yield the names by which a module's code refers to the wall clock or to the times of files."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in WALL_CLOCK_NAMES)
        elif isinstance(node, ast.ImportFrom):
            names = [str(node.module), *(f"{node.module}.{alias.name}" for alias in node.names)]
            yield from (name for name in names if name in WALL_CLOCK_NAMES)
        elif isinstance(node, ast.Attribute):
            if node.attr in FILE_TIMES:
                yield node.attr
            elif (name := ast.unparse(node)) in WALL_CLOCK_NAMES:
                yield name


@pytest.mark.parametrize("file", FILES, ids=lambda file: str(file.relative_to(ROOT)))
def test_module_reads_no_wall_clock(file: Path) -> None:
    path = str(file.relative_to(ROOT))
    assert {(path, name) for name in uses_of_wall_clock(file.read_text())} <= ALLOWED


def test_no_allowed_use_is_out_of_date() -> None:
    uses = {(path, name) for path, _ in ALLOWED for name in uses_of_wall_clock((ROOT / path).read_text())}
    assert uses == ALLOWED


@pytest.mark.parametrize(
    "source",
    [
        "import time\nnow = time.time()",
        "from time import time_ns",
        "import datetime",
        "from datetime import datetime",
        "age = now - file.stat().st_mtime",
    ],
)
def test_use_is_found(source: str) -> None:
    assert list(uses_of_wall_clock(source))
