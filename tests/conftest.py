"""What pytest does with all tests: known failures are expected, and no test may leave a process behind."""

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary
from tests.left_processes import no_process_is_left_behind

__all__ = ["no_process_is_left_behind", "pytest_collection_modifyitems", "pytest_terminal_summary"]
