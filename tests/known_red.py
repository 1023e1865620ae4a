"""Known red: tests that fail for a real fault which is yet to be mended, in `KNOWN-RED.txt` at the root.

    tests/test_x.py::Case::test_y | cause | issue

Each is a strict expected failure: one that passes is red, and so are a fourth line and one without a test."""

from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3
FILE = "KNOWN-RED.txt"
KNOWN = pytest.StashKey[list["Red"]]()


@dataclass
class Red:
    test: str
    cause: str
    issue: str


def known(root: Path) -> list[Red]:
    file = root / FILE
    lines = file.read_text().splitlines() if file.exists() else []
    red = list[Red]()
    for number, line in enumerate((line for line in lines if line.strip()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE}: line {number}: must be test | cause | issue")
        red.append(Red(*parts))
    if len(red) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(red)} lines, {MOST} at most")
    return red


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    red = config.stash[KNOWN] = known(config.rootpath)
    files = {item.nodeid.partition("::")[0] for item in items}
    some = bool(config.option.keyword) or any("::" in chosen for chosen in config.args)
    for one in red:
        found = [item for item in items if item.nodeid == one.test]
        file = one.test.partition("::")[0]
        if not found and ((file in files and not some) or not (config.rootpath / file).exists()):
            raise pytest.UsageError(f"{FILE}: no test {one.test}")
        for item in found:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {one.cause} ({one.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    # With xdist the tests are collected by other processes than this one.
    for one in config.stash.get(KNOWN, None) or known(config.rootpath):
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")
