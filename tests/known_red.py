"""Marks known failures, which `KNOWN-RED.txt` at the root lists: tests of a bug that is not yet fixed.

    tests/test_x.py::Case::test_y | cause | issue

Each line makes a test a strict expected failure. It is an error if such a test passes, if there are more than
three lines, or if a line names a test that does not exist.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
FILE_NAME = "KNOWN-RED.txt"
KNOWN_FAILURES = pytest.StashKey[list["KnownFailure"]]()


@dataclass
class KnownFailure:
    """A line of the file: the node id of the test, why it fails, and the issue that reports it."""

    test: str
    cause: str
    issue: str


def read_known_failures(root: Path) -> list[KnownFailure]:
    """Return the entries of the file; raise `pytest.UsageError` if it is malformed or too long."""
    file = root / FILE_NAME
    lines = file.read_text().splitlines() if file.exists() else []
    failures = list[KnownFailure]()
    for number, line in enumerate((line for line in lines if line.strip()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE_NAME}: entry {number}: expected test | cause | issue")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(failures)} entries, at most {MAX_ENTRIES} are allowed")
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail; raise `pytest.UsageError` if one of them does not exist."""
    failures = config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath)
    files = {item.nodeid.partition("::")[0] for item in items}
    is_partial_run = bool(config.option.keyword) or any("::" in chosen for chosen in config.args)
    for failure in failures:
        matches = [item for item in items if item.nodeid == failure.test]
        file = failure.test.partition("::")[0]
        if not matches and ((file in files and not is_partial_run) or not (config.rootpath / file).exists()):
            raise pytest.UsageError(f"{FILE_NAME}: test {failure.test} does not exist")
        for item in matches:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"known red: {failure.cause} ({failure.issue})")
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures at the end of the run."""
    # With pytest-xdist, worker processes collect the tests, and the stash of this process has no entry.
    for failure in config.stash.get(KNOWN_FAILURES, None) or read_known_failures(config.rootpath):
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
