"""Tests of a router process: its background tasks, and its exit code after a failure."""

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass, field
from unittest.mock import patch

import pytest

from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.router import process
from maplestile.router.clock import clock
from maplestile.router.config import Config
from maplestile.router.supervisor import TaskSupervisor


def test_failed_task_is_restarted_and_counted() -> None:
    counters = Counter[str]()
    starts = list[int]()

    async def fail_twice() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("simulated failure")

    async def run_until_it_returns() -> None:
        async with asyncio.timeout(30):
            await TaskSupervisor(counters).start(fail_twice)

    asyncio.run(run_until_it_returns())
    assert (len(starts), counters["parts.failed"]) == (3, 2)


@dataclass
class FailingComponents:
    """The components of a process that fails, as far as the report of the failure needs them."""

    is_listening: bool
    name: str = "r1"


@dataclass
class FailingProcess:
    """A router process that fails at once, before or after it serves clients."""

    components: FailingComponents
    printed: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Fail as a call on a connection does that its peer has reset."""
        raise OSError(107, "Transport endpoint is not connected")

    def print_counters(self) -> None:
        """Record that the counters were printed."""
        self.printed.append("counters")


def run_failing_process(failing: FailingProcess) -> int:
    """Run a process that fails, and return its exit code."""
    with patch.object(process, "RouterProcess", lambda *_: failing):
        return asyncio.run(process._run_process(_no_config, TimestampingSelector(clock), None))


def _no_config() -> Config:
    raise AssertionError("not read")


def test_failure_while_serving_is_logged_with_its_place_and_the_counters(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a router that ends while it serves and reports "the router cannot start"."""
    failing = FailingProcess(FailingComponents(is_listening=True))
    with caplog.at_level(logging.ERROR):
        assert run_failing_process(failing) == 1
    assert "r1 failed while it was serving" in caplog.text
    assert "Traceback" in caplog.text
    assert failing.printed == ["counters"]


def test_failure_before_serving_is_raised_as_a_failed_start() -> None:
    failing = FailingProcess(FailingComponents(is_listening=False))
    with pytest.raises(OSError, match="not connected"):
        run_failing_process(failing)
    assert failing.printed == []
