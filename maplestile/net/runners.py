"""The runner pool on sockets: a task for each connection, which dials, reads lines, and reports to the pool.

A line that cannot be read condemns its connection: where the next answer begins, and whose it is, cannot be
known any more.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.net import reads
from maplestile.requests.pool import Connection, Pool
from maplestile.wire import runner as wire
from maplestile.wire.limits import RunnerLimits

log = logging.getLogger(__name__)
FLUSH_AGAIN_S = 0.001  # until a line is looked at again that waits for its client's input to be read


class StreamSocket:
    """A `pool.Socket` on a stream of asyncio's."""

    def __init__(self, pool: Pool, connection: Connection, writer: asyncio.StreamWriter) -> None:
        self.pool = pool
        self.connection = connection
        self.writer = writer

    def write(self, line: bytes) -> bool:
        """Write a line; false if the system has not taken it all: then the pool is notified once it has."""
        self.writer.write(line)
        if not self.holds():
            return True
        asyncio.get_running_loop().create_task(self._drain())
        return False

    def holds(self) -> bool:
        """Return whether the transport holds some of what was written."""
        return bool(self.writer.transport.get_write_buffer_size())

    def abort(self) -> None:
        """Close at once, whatever the transport holds."""
        self.writer.transport.abort()

    async def _drain(self) -> None:
        """Notify the pool once the system has taken all, or has taken too long."""
        try:
            async with asyncio.timeout(self.pool.limits.stall_us / 1e6):
                await self.writer.drain()
        except TimeoutError:
            self.pool.write_stalled(self.connection)
        except OSError:
            return  # the reader sees the same end and closes
        else:
            self.pool.write_completed(self.connection)


class RunnerPool(Pool):
    """The core's pool on sockets."""

    def __init__(self, limits: RunnerLimits, clock: Callable[[], int], counters: Counter[str]) -> None:
        super().__init__(limits, clock, counters)
        self.tasks: dict[Connection, asyncio.Task[None]] = {}
        self.on_no_descriptor: Callable[[], object] = lambda: None  # no descriptor is left

    def dial(self, connection: Connection) -> None:
        """Start the task of a connection, which ends by closing it at the pool."""
        self.tasks[connection] = asyncio.get_running_loop().create_task(self._serve(connection))

    def disconnect(self, connection: Connection) -> None:
        """Cancel the task of a connection that the pool has closed."""
        task = self.tasks.pop(connection, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def flush_soon(self, connection: Connection) -> None:
        """Look again, in a millisecond, at lines that wait for their clients' input to be read."""
        asyncio.get_running_loop().call_later(FLUSH_AGAIN_S, self.input_handled, connection)

    async def _serve(self, connection: Connection) -> None:
        """Connect, read answers until the connection ends, and report at the pool how it ended."""
        result = Result.CONNECT_FAILED  # of the attempts on the connection, at its end
        try:
            reader, writer = await self._open_stream(connection)
            result = Result.RESET
            reads.limit_read_size(writer.transport, self.limits.read_bytes)
            writer.transport.set_write_buffer_limits(high=0)
            self.connected(connection, StreamSocket(self, connection, writer))
            await self._read_answers(connection, reader)
        except wire.LineError as fault:
            self.counters["runners.malformed"] += 1
            log.warning("runner %s: %s; connection condemned", connection.runner.uid, fault)
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, OSError) and fault.errno in reads.NO_DESCRIPTOR:
                result = Result.SUPERSEDED  # clients hold all descriptors: that says nothing of the runner
                self.on_no_descriptor()
            log.debug("runner %s: %r", connection.runner.uid, fault)
        finally:
            self.close(connection, result)

    async def _open_stream(self, connection: Connection) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect within the time limit. Raises OSError or TimeoutError."""
        host, port = connection.runner.address
        async with asyncio.timeout(self.limits.connect_timeout_us / 1e6):
            return await asyncio.open_connection(host, port, limit=self.limits.read_bytes)

    async def _read_answers(self, connection: Connection, reader: asyncio.StreamReader) -> None:
        """Report answers until the runner closes. Raises LineError, or OSError if the connection breaks."""
        lines = wire.LineFramer(self.limits.line_bytes)
        while data := await self._read(reader, lines):
            self.input_received(connection)
            for line in lines.feed(data):
                self.answer_received(connection, wire.parse(line))
                self.core.catch_up()
            self.input_handled(connection)

    async def _read(self, reader: asyncio.StreamReader, lines: wire.LineFramer) -> bytes:
        """Return the next input, empty at its end. Raises LineError if a line stops short, or OSError."""
        if not lines.rest:
            return await reader.read(self.limits.read_bytes)
        # A line that has started comes soon, or never: its writer stopped short, and all behind it waits.
        try:
            max_bytes = self.limits.read_bytes
            return await reads.read_within(self.limits.line_pause_us / 1e6, lambda: reader.read(max_bytes))
        except TimeoutError:
            raise wire.LineError("a line that does not go on") from None
