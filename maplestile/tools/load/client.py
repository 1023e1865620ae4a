"""The driver of the load tool: HTTP/1.1 by h11 to invoke fronts, connections kept and used again.

A call whose connection is refused, or ends before anything of the call was sent, goes to the next target: no
router has it. One that was sent and got no whole answer is lost: nobody can tell whether it ran."""

import asyncio
import itertools
import time
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import h11
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from maplestile.common.address import Address
from maplestile.tools.load.arrivals import Arrival

READ_BYTES, IDLE_MOST = 65_536, 64
SERVED, REFUSED, FAILED, LOST, NOWHERE = "served", "refused", "failed", "lost", "nowhere"


class Gone(Exception):
    """The connection could not be had, or was over before the call was sent."""


class Lost(Exception):
    """The call was sent, and no whole answer came."""


@dataclass(slots=True)
class Ask:
    """What every call carries."""

    body: bytes
    tenant: str = ""
    class_name: str = ""
    deadline_ms: int = 0
    keys: bool = False


@dataclass
class Result:
    """What became of the calls; latencies in microseconds, from when each call was due."""

    ends: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    targets: Counter[str] = field(default_factory=Counter)  # served, by target
    moved: int = 0  # tries at a target that took no connection
    late_us: int = 0  # the most that a call was made after it was due: this tool's own lag
    seconds: float = 0.0
    course: dict[int, Counter[str]] = field(default_factory=dict)  # ends by the second of the call's arrival

    def __post_init__(self) -> None:
        self.latency = HdrHistogram(1, 3_600_000_000, 3)

    def end(self, what: str, arrival: Arrival) -> None:
        self.ends[what] += 1
        self.course.setdefault(int(arrival.at_s), Counter())[what] += 1


class Target:
    """One instance's invoke front, with the connections that rest."""

    def __init__(self, address: Address) -> None:
        self.address, self.name = address, f"{address[0]}:{address[1]}"
        self.idle: deque[Link] = deque()

    async def link(self) -> "Link":
        while self.idle:
            link = self.idle.pop()
            if not link.reader.at_eof() and not link.writer.is_closing():
                return link
            link.close()
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError as fault:
            raise Gone(str(fault)) from None
        return Link(reader, writer)

    def rest(self, link: "Link") -> None:
        if link.over() or len(self.idle) >= IDLE_MOST:
            link.close()
        else:
            self.idle.append(link)

    def close(self) -> None:
        while self.idle:
            self.idle.pop().close()


class Link:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.wire = reader, writer, h11.Connection(h11.CLIENT)

    def over(self) -> bool:
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
        return self.wire.our_state is not h11.IDLE

    def close(self) -> None:
        self.writer.close()

    async def call(self, host: str, path: str, headers: list[tuple[str, str]], body: bytes) -> int:
        """The status of the answer. Raises Gone before the call is out, Lost after it."""
        told = [("Host", host), ("Content-Length", str(len(body))), *headers]
        data = self.wire.send(h11.Request(method="POST", target=path, headers=told)) or b""
        data += (self.wire.send(h11.Data(data=body)) or b"") + (self.wire.send(h11.EndOfMessage()) or b"")
        if self.reader.at_eof() or self.writer.is_closing():
            raise Gone("it ended while it rested")
        self.writer.write(data)
        status = 0
        try:
            while not isinstance(event := self.wire.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    self.wire.receive_data(await self.reader.read(READ_BYTES))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.ConnectionClosed):
                    raise Lost("the connection ended")
        except (OSError, h11.ProtocolError) as fault:
            raise Lost(str(fault)) from None
        return status


class Load:
    def __init__(self, targets: list[Address], ask: Ask, wait_s: float) -> None:
        self.targets = [Target(address) for address in targets]
        self.ask, self.wait_s = ask, wait_s
        self.turn = itertools.cycle(range(len(targets)))
        self.result = Result()
        self.open: set[asyncio.Task[None]] = set()

    async def run(self, arrivals: Iterable[Arrival], open_most: int) -> Result:
        began = time.monotonic()
        for number, arrival in enumerate(arrivals):
            if (wait_s := began + arrival.at_s - time.monotonic()) > 0:
                await asyncio.sleep(wait_s)
            due = began + arrival.at_s
            self.result.late_us = max(self.result.late_us, int((time.monotonic() - due) * 1e6))
            if len(self.open) >= open_most:  # guards this process: a fleet that answers nothing
                self.result.end("not made", arrival)
                continue
            task = asyncio.get_running_loop().create_task(self._call(number, arrival, due))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        if self.open:
            await asyncio.wait(self.open)
        self.result.seconds = time.monotonic() - began
        for target in self.targets:
            target.close()
        return self.result

    async def _call(self, number: int, arrival: Arrival, due: float) -> None:
        try:
            async with asyncio.timeout(self.wait_s):
                end = await self._tried(number, arrival)
        except (TimeoutError, Lost):
            end = LOST
        if end == SERVED:
            self.result.latency.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        self.result.end(end, arrival)

    async def _tried(self, number: int, arrival: Arrival) -> str:
        first = next(self.turn)
        headers = self._headers(number)
        for n in range(len(self.targets)):
            target = self.targets[(first + n) % len(self.targets)]
            try:
                status = await self._once(target, arrival, headers)
            except Gone:
                self.result.moved += 1
                continue
            self.result.statuses[status] += 1
            if status == 200:
                self.result.targets[target.name] += 1
                return SERVED
            return REFUSED if status in (429, 503) else FAILED
        return NOWHERE

    async def _once(self, target: Target, arrival: Arrival, headers: list[tuple[str, str]]) -> int:
        """A connection that rested may be over before the call is out; then a new one is tried."""
        path = f"/v1/functions/{arrival.function}/invocations"
        while True:
            rested = bool(target.idle)
            link = await target.link()
            try:
                status = await link.call(target.name, path, headers, self.ask.body)
            except Gone:
                link.close()
                if not rested:
                    raise
                continue
            except BaseException:
                link.close()
                raise
            target.rest(link)
            return status

    def _headers(self, number: int) -> list[tuple[str, str]]:
        ask = self.ask
        headers = [("Maplestile-Tenant", ask.tenant)] if ask.tenant else []
        if ask.class_name:
            headers.append(("Maplestile-Class", ask.class_name))
        if ask.deadline_ms:
            headers.append(("Maplestile-Deadline-Ms", str(ask.deadline_ms)))
        if ask.keys:
            headers.append(("Idempotency-Key", f"load-{id(self):x}-{number}"))
        return headers
