"""Closes the write side of connections that the peer may have reset.

The event loop learns of a reset only with its next read. Until then the socket looks open, but the kernel
rejects a half-close with ENOTCONN.
"""

import asyncio
import logging

log = logging.getLogger(__name__)


def close_write_side(writer: asyncio.StreamWriter, front: str) -> bool:
    """Close the write side of a client connection, and return whether the client was still connected.

    If the client has reset the connection, it is closed completely, and a warning names the front. Nothing is
    raised, since the caller may be closing other connections, or reporting the answer of a runner.
    """
    try:
        writer.write_eof()
    except OSError as error:
        log.warning("%s client: reset its connection before the router closed it: %s", front, error)
        writer.transport.abort()
        return False
    return True
