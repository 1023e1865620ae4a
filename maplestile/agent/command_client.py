"""The client of an agent's command server, used by the command line and by agents without a vote."""

import asyncio
import json
from typing import Any

from maplestile.common.address import Address

COMMAND_TIMEOUT_S = 60.0  # a command may have to wait for processes to end
MAX_REPLY_BYTES = 64 << 20  # enough for the replicated state of 45,000 instances
NO_REPLY = b'{"error":"the agent gave no answer"}'


async def send_command(address: Address, name: str, instances: list[str], **fields: Any) -> dict[str, Any]:
    """Send one command to the agent at an address, and return its reply.

    `name` is the command, `instances` are the names of the instances that it is for (empty for all), and
    `fields` are further fields of the command. Raises OSError, TimeoutError, or ValueError if the reply is
    not valid JSON.
    """
    reader, writer = await asyncio.open_connection(*address, limit=MAX_REPLY_BYTES)
    try:
        writer.write(json.dumps({"do": name, "instances": instances, **fields}).encode() + b"\n")
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            line = await reader.readline()
    finally:
        writer.close()
    reply: dict[str, Any] = json.loads(line or NO_REPLY)
    return reply
