"""Connects the runner pool to sockets: a task per connection reads answers and reports them to the pool.

A malformed line closes its connection: the start of the next answer, and the call that it belongs to, can no
longer be determined.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from maplestile.common.tasks import start_task
from maplestile.dispatch.api import Result
from maplestile.net import bounded_reads
from maplestile.requests.pool import Connection, Pool
from maplestile.wire import runner as wire
from maplestile.wire.limits import RunnerLimits

log = logging.getLogger(__name__)
FLUSH_RETRY_S = 0.001  # until the next flush of lines that wait for their clients' input to be read


class StreamSocket:
    """An implementation of `pool.Socket` with an asyncio stream writer."""

    def __init__(self, pool: Pool, connection: Connection, writer: asyncio.StreamWriter) -> None:
        self.pool = pool
        self.connection = connection
        self.writer = writer

    def write(self, line: bytes) -> bool:
        """Write a line, and return whether the kernel accepted all of it.

        If not, the pool is notified once it has, or closes the connection if that is lost.
        """
        self.writer.write(line)
        if self.writer.transport.is_closing():  # the write has failed, which the reading task learns next
            return False
        if not self.has_unwritten_data():
            return True
        start_task(self._drain())
        return False

    def has_unwritten_data(self) -> bool:
        """Return whether the transport still buffers some of what was written."""
        return bool(self.writer.transport.get_write_buffer_size())

    def abort(self) -> None:
        """Close the connection at once, and discard what the transport still buffers."""
        self.writer.transport.abort()

    async def _drain(self) -> None:
        """Notify the pool once the kernel has accepted everything, or after the stall timeout."""
        try:
            async with asyncio.timeout(self.pool.limits.stall_us / 1e6):
                await self.writer.drain()
        except TimeoutError:
            self.pool.write_stalled(self.connection)
        except OSError:
            return  # the reading task gets the same error and closes the connection
        else:
            self.pool.write_completed(self.connection)


class RunnerPool(Pool):
    """A `Pool` that connects to runners over TCP."""

    def __init__(self, limits: RunnerLimits, clock: Callable[[], int], counters: Counter[str]) -> None:
        super().__init__(limits, clock, counters)
        self.tasks: dict[Connection, asyncio.Task[None]] = {}
        self.incomplete_bytes = 0  # of incomplete answers on all connections
        self.on_no_descriptor: Callable[[], object] = lambda: None  # called if no file descriptor is free

    def dial(self, connection: Connection) -> None:
        """Start the task of a connection; when it ends, it closes the connection at the pool."""
        self.tasks[connection] = start_task(self._serve(connection))

    def disconnect(self, connection: Connection) -> None:
        """Cancel the task of a connection that the pool has closed."""
        task = self.tasks.pop(connection, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def flush_soon(self, connection: Connection) -> None:
        """Flush again in a millisecond the lines that wait for their clients' input to be read."""
        asyncio.get_running_loop().call_later(FLUSH_RETRY_S, self.input_handled, connection)

    async def _serve(self, connection: Connection) -> None:
        """Connect, read answers until the connection ends, and report to the pool how it ended."""
        result = Result.CONNECT_FAILED  # of the attempts that are open when the connection ends
        try:
            reader, writer = await self._open_stream(connection)
            result = Result.RESET
            bounded_reads.limit_read_size(writer.transport, self.limits.read_bytes)
            writer.transport.set_write_buffer_limits(high=0)
            self.connected(connection, StreamSocket(self, connection, writer))
            await self._read_answers(connection, reader)
        except wire.LineError as error:
            self.counters["runners.malformed"] += 1
            log.warning(
                "runner %s: unusable answer: %s; closing the connection", connection.runner.uid, error
            )
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in bounded_reads.NO_DESCRIPTOR:
                result = Result.SUPERSEDED  # not a failure of the runner: clients hold all file descriptors
                self.on_no_descriptor()
            log.debug("runner %s: connection failed: %r", connection.runner.uid, error)
        finally:
            self.close(connection, result)

    async def _open_stream(self, connection: Connection) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect within the time limit. Raises OSError or TimeoutError."""
        host, port = connection.runner.address
        async with asyncio.timeout(self.limits.connect_timeout_us / 1e6):
            return await asyncio.open_connection(host, port, limit=self.limits.read_bytes)

    async def _read_answers(self, connection: Connection, reader: asyncio.StreamReader) -> None:
        """Report answers to the pool until the runner closes the connection.

        Raises LineError for a malformed line, and OSError if the connection breaks.
        """
        lines = wire.LineFramer(self.limits.line_bytes)
        held_bytes = 0  # of an incomplete answer, as counted in `self.incomplete_bytes`
        try:
            while data := await self._read(reader, lines):
                self.input_received(connection)
                for line in lines.feed(data):
                    self.answer_received(connection, wire.parse(line))
                    self.core.run_due_timers()
                self.incomplete_bytes += len(lines.incomplete) - held_bytes
                held_bytes = len(lines.incomplete)
                if held_bytes and self.incomplete_bytes > self.limits.incomplete_bytes:
                    raise wire.LineError("incomplete answers of all runners take too much memory")
                self.input_handled(connection)
        finally:
            self.incomplete_bytes -= held_bytes

    async def _read(self, reader: asyncio.StreamReader, lines: wire.LineFramer) -> bytes:
        """Return the next input, empty at the end of the stream.

        Raises LineError if the rest of a line does not arrive in time, and OSError if the connection breaks.
        """
        if not lines.incomplete:
            return await reader.read(self.limits.read_bytes)
        # The rest of a partial line arrives soon or never, and every later answer waits behind it.
        try:
            max_bytes = self.limits.read_bytes
            return await bounded_reads.read_within(
                self.limits.line_pause_us / 1e6, lambda: reader.read(max_bytes)
            )
        except TimeoutError:
            raise wire.LineError("the rest of a line did not arrive in time") from None
