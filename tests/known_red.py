"""Known failures: tests that fail for a fault which is yet to be mended, in `KNOWN-RED.txt` at the root.

    tests/test_x.py::Case::test_y | cause | issue

Each is a strict expected failure: it is an error if one passes, if there is a fourth line, or if one names no
test.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
FILE = "KNOWN-RED.txt"
KNOWN_FAILURES = pytest.StashKey[list["KnownFailure"]]()


@dataclass
class KnownFailure:
    """A line of the file: the test, why it fails, and the issue."""

    test: str
    cause: str
    issue: str


def known_failures(root: Path) -> list[KnownFailure]:
    """The lines of the file, or an error if it is not well formed."""
    file = root / FILE
    lines = file.read_text().splitlines() if file.exists() else []
    failures = list[KnownFailure]()
    for number, line in enumerate((line for line in lines if line.strip()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE}: line {number}: must be test | cause | issue")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(failures)} lines, {MAX_ENTRIES} at most")
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail, or raise an error if one is not there."""
    failures = config.stash[KNOWN_FAILURES] = known_failures(config.rootpath)
    files = {item.nodeid.partition("::")[0] for item in items}
    is_selection = bool(config.option.keyword) or any("::" in chosen for chosen in config.args)
    for failure in failures:
        found = [item for item in items if item.nodeid == failure.test]
        file = failure.test.partition("::")[0]
        if not found and ((file in files and not is_selection) or not (config.rootpath / file).exists()):
            raise pytest.UsageError(f"{FILE}: no test {failure.test}")
        for item in found:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"known red: {failure.cause} ({failure.issue})")
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures."""
    # With xdist the tests are collected by other processes than this one.
    for failure in config.stash.get(KNOWN_FAILURES, None) or known_failures(config.rootpath):
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
