"""The client of a running agent's command server: the command line, and agents that are no voters."""

import asyncio
import json
from typing import Any

from maplestile.common.address import Address

COMMAND_TIMEOUT_S = 60.0  # of a command, which may wait for processes to end
REPLY_BYTES_MAX = 1 << 20  # metrics of many instances
NO_REPLY = b'{"error":"the agent gave no answer"}'


async def send_command(address: Address, do: str, names: list[str], **more: Any) -> dict[str, Any]:
    """Send one command to the agent at an address, and return its reply.

    `names` are the instances that it is for, all where empty; `more` are the further keys of the command.
    Raises OSError, TimeoutError, or ValueError for a reply that is no JSON.
    """
    reader, writer = await asyncio.open_connection(*address, limit=REPLY_BYTES_MAX)
    try:
        writer.write(json.dumps({"do": do, "instances": names, **more}).encode() + b"\n")
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            line = await reader.readline()
    finally:
        writer.close()
    reply: dict[str, Any] = json.loads(line or NO_REPLY)
    return reply
