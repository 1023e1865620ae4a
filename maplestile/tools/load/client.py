"""The client of the load generator: makes each call when it is due, and counts how it ended.

If a connection is refused, or ends before any part of the call was sent, the call goes to the next target,
since no router has received it. A call that was sent and got no complete answer is lost: it may or may not
have run.
"""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.address import Address
from maplestile.tools.load.arrivals import Arrival
from maplestile.tools.load.connection import CallLost, Headers, NotSent, Target

OK_STATUS = 200
REJECTED_STATUSES = frozenset((429, 503))
US_PER_S = 1e6
MAX_LATENCY_US = 3_600_000_000
LATENCY_DIGITS = 3  # significant digits that the histogram keeps


class CallEnd(StrEnum):
    """How a call ended; the values appear in the JSON result."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"
    NO_TARGET = "nowhere"
    NOT_MADE = "not made"


@dataclass(slots=True)
class CallTemplate:
    """The body and the headers of every call; a header whose value is empty or 0 is not sent."""

    body: bytes
    tenant: str = ""
    class_name: str = ""
    deadline_ms: int = 0
    has_idempotency_keys: bool = False  # whether each call has an Idempotency-Key of its own

    def headers(self, key: str) -> Headers:
        """Return the headers of the call with this idempotency key."""
        headers: Headers = []
        if self.tenant:
            headers.append(("Maplestile-Tenant", self.tenant))
        if self.class_name:
            headers.append(("Maplestile-Class", self.class_name))
        if self.deadline_ms:
            headers.append(("Maplestile-Deadline-Ms", str(self.deadline_ms)))
        if self.has_idempotency_keys:
            headers.append(("Idempotency-Key", key))
        return headers


@dataclass
class Result:
    """The result of a run; latencies are in microseconds, from the time when each call was due."""

    ends: Counter[str] = field(default_factory=Counter)  # calls by `CallEnd`
    statuses: Counter[int] = field(default_factory=Counter)  # answers by HTTP status
    served_by_target: Counter[str] = field(default_factory=Counter)
    moved: int = 0  # attempts whose call could not be sent, so that the next target was tried
    max_lag_us: int = 0  # the longest delay of the load generator itself in making a call that was due
    seconds: float = 0.0  # duration of the run
    ends_by_second: dict[int, Counter[str]] = field(default_factory=dict)  # by the second of the arrival

    def __post_init__(self) -> None:
        self.latency = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)

    def record_end(self, end: CallEnd, arrival: Arrival) -> None:
        """Count a call by how it ended."""
        self.ends[end] += 1
        self.ends_by_second.setdefault(int(arrival.at_s), Counter())[end] += 1


class Load:
    """One run against a number of targets, which are called in turn."""

    def __init__(self, targets: list[Address], template: CallTemplate, wait_s: float) -> None:
        self._targets = [Target(address) for address in targets]
        self._template = template
        self._wait_s = wait_s
        self._turns = itertools.cycle(range(len(targets)))
        self._result = Result()
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, arrivals: Iterable[Arrival], max_in_flight: int) -> Result:
        """Make all calls, wait until each has ended, and return the result."""
        started_s = time.monotonic()
        for number, arrival in enumerate(arrivals):
            due_s = started_s + arrival.at_s
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            lag_us = int((time.monotonic() - due_s) * US_PER_S)
            self._result.max_lag_us = max(self._result.max_lag_us, lag_us)
            if len(self._calls) >= max_in_flight:  # protects this process if the fleet does not answer
                self._result.record_end(CallEnd.NOT_MADE, arrival)
            else:
                self._start(number, arrival, due_s)
        if self._calls:
            await asyncio.wait(self._calls)
        self._result.seconds = time.monotonic() - started_s
        for target in self._targets:
            target.close()
        return self._result

    def _start(self, number: int, arrival: Arrival, due_s: float) -> None:
        task = asyncio.get_running_loop().create_task(self._call(number, arrival, due_s))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, number: int, arrival: Arrival, due_s: float) -> None:
        try:
            async with asyncio.timeout(self._wait_s):
                end = await self._call_targets(number, arrival)
        except (TimeoutError, CallLost):
            end = CallEnd.LOST
        if end is CallEnd.SERVED:
            latency_us = int((time.monotonic() - due_s) * US_PER_S)
            self._result.latency.record_value(max(1, latency_us))
        self._result.record_end(end, arrival)

    async def _call_targets(self, number: int, arrival: Arrival) -> CallEnd:
        """Try the targets, from the one whose turn it is, until one accepts the call."""
        first = next(self._turns)
        headers = self._template.headers(f"load-{id(self):x}-{number}")
        for target in (*self._targets[first:], *self._targets[:first]):
            try:
                status = await self._call_target(target, arrival, headers)
            except NotSent:
                self._result.moved += 1
                continue
            self._result.statuses[status] += 1
            if status == OK_STATUS:
                self._result.served_by_target[target.name] += 1
                return CallEnd.SERVED
            return CallEnd.REJECTED if status in REJECTED_STATUSES else CallEnd.FAILED
        return CallEnd.NO_TARGET

    async def _call_target(self, target: Target, arrival: Arrival, headers: Headers) -> int:
        """Make the call at one target and return the status. Raises `NotSent` or `CallLost`.

        If an idle connection has ended before the call could be sent, another connection is used.
        """
        path = f"/v1/functions/{arrival.function}/invocations"
        while True:
            may_be_stale = target.has_idle()
            connection = await target.connect()
            try:
                status = await connection.call(target.name, path, headers, self._template.body)
            except NotSent:
                connection.close()
                if not may_be_stale:
                    raise
                continue
            except BaseException:
                connection.close()
                raise
            target.release(connection)
            return status
