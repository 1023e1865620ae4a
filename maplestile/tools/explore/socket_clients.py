"""Clients for a replay over real sockets; each makes one call over HTTP and records the answers' statuses."""

import asyncio
import contextlib
import time

from maplestile.common.address import Address
from maplestile.tools.explore import scenario
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.socket_checks import US_PER_S, ClientObservations

STATUS_LINE_START = b"HTTP/1.1 "


class SocketClients:
    """Makes the calls of a case in order, and records in `observed` what the clients receive."""

    def __init__(self, case: Case) -> None:
        self.observed = ClientObservations()
        self._case = case
        self._tasks: list[asyncio.Task[None]] = []
        self.submissions = 0  # number of submitted calls, including repeated ones

    def submit(self, front: Address) -> None:
        """Submit the next call of the case to an invoke front."""
        self._tasks.append(self._start(len(self._tasks), front))

    async def submit_again(self, front: Address) -> None:
        """Submit the last call again, as a client may after a rejection, and discard its first answer."""
        self._tasks[-1].cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._tasks[-1]
        self._tasks[-1] = self._start(len(self._tasks) - 1, front)

    def withdraw(self, number: int) -> None:
        """Make a client stop waiting for its answer."""
        self.observed.withdrawn.add(number)
        self._tasks[number].cancel()

    def stop(self) -> None:
        """Stop all clients."""
        for task in self._tasks:
            task.cancel()

    def _start(self, number: int, front: Address) -> asyncio.Task[None]:
        self.submissions += 1
        self.observed.statuses[number] = []
        return asyncio.get_running_loop().create_task(self._call(number, front))

    async def _call(self, number: int, front: Address) -> None:
        class_name = self._case.classes[number]
        reader, writer = await asyncio.open_connection(*front)
        due_s = time.monotonic() + scenario.CLASSES[class_name].deadline_us / US_PER_S
        writer.write(_request(number, class_name))
        try:
            while line := await reader.readline():
                if not line.startswith(STATUS_LINE_START):
                    continue
                self.observed.statuses[number].append(int(line.split()[1]))
                if time.monotonic() > due_s + scenario.STEP_US / US_PER_S:
                    self.observed.late_calls.add(number)
        finally:
            writer.close()


def _request(number: int, class_name: str) -> bytes:
    body = f"c{number}"
    head = (
        "POST /v1/functions/f/invocations HTTP/1.1\r\n"
        f"Host: x\r\nMaplestile-Class: {class_name}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return f"{head}{body}".encode()
