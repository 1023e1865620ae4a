"""Hooks and fixtures of all tests: expect known failures, and fail tests that leave processes behind."""

from tests.failure_reports import pytest_runtest_makereport
from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary
from tests.left_processes import no_process_is_left_behind

__all__ = [
    "no_process_is_left_behind",
    "pytest_collection_modifyitems",
    "pytest_runtest_makereport",
    "pytest_terminal_summary",
]
