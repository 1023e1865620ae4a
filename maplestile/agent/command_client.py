"""The client of a running agent's command server: the command line, and agents that are no voters."""

import asyncio
import json
from typing import Any

ASK_S = 60.0  # of a command, which may wait for processes to end
ANSWER_BYTES = 1 << 20  # metrics of many instances


async def ask(where: tuple[str, int], do: str, names: list[str], **more: Any) -> dict[str, Any]:
    """Send one command to the agent at an address, and return its reply.

    `names` are the instances that it is for, all where empty; `more` are the further keys of the command.
    Raises OSError, TimeoutError, or ValueError for a reply that is no JSON.
    """
    reader, writer = await asyncio.open_connection(*where, limit=ANSWER_BYTES)
    try:
        writer.write(json.dumps({"do": do, "instances": names, **more}).encode() + b"\n")
        async with asyncio.timeout(ASK_S):
            line = await reader.readline()
    finally:
        writer.close()
    reply: dict[str, Any] = json.loads(line or b'{"error":"the agent gave no answer"}')
    return reply
