"""A TCP server whose connections are closed once their handler ends, however it ends.

What asyncio does with the connection of a handler that raises differs between versions of Python: up to
3.11.6 the connection stays open, and its client waits.
"""

import asyncio
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

DEFAULT_LINE_BYTES = 1 << 16
FLUSH_S = 0.5  # for which a client may still read, after its handler has failed or was cancelled


async def start_stream_server(
    handler: ConnectionHandler, host: str, port: int, max_line_bytes: int = DEFAULT_LINE_BYTES
) -> asyncio.Server:
    """Listen, call the handler for each connection, and return the server. Raises OSError.

    An error of the handler is reported to the event loop's exception handler, and ends only its connection.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        has_returned = False
        try:
            await handler(reader, writer)
            has_returned = True
        except Exception as error:
            _report(error)
        finally:
            _close(writer, flushes_all=has_returned)

    return await asyncio.start_server(serve, host, port, limit=max_line_bytes)


def _report(error: Exception) -> None:
    context = {"message": "the handler of a connection failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)


def _close(writer: asyncio.StreamWriter, *, flushes_all: bool) -> None:
    """Close a connection once its buffered bytes are sent, or after `FLUSH_S` without `flushes_all`."""
    writer.close()
    if not flushes_all:
        asyncio.get_running_loop().call_later(FLUSH_S, writer.transport.abort)
