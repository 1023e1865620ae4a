"""Keeps the report of a failing test from ending the run.

pytest parses the source of a failing test. On Python 3.11 a parse fails with a SystemError if the garbage
collector runs within it and a finalizer parses source as well, as the report of an error in the finalizer
does. The error ends the worker process, and the run with it.
"""

import gc
from collections.abc import Generator

import pytest


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Make the report of one phase of a test without runs of the garbage collector."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return (yield)
    finally:
        if was_enabled:
            gc.enable()
