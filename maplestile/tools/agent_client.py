"""The client side of the agent's command server, as the commands of the command line use it."""

import argparse
import asyncio
import sys
from typing import Any

from maplestile.agent import supervisor

DEFAULT_AGENT = "127.0.0.1:7070"

AgentReply = dict[str, Any]  # the JSON object that an agent answers with


def add_agent_options(command: argparse.ArgumentParser) -> None:
    """Add the options of every command that sends a request to an agent."""
    command.add_argument("--agent", default=DEFAULT_AGENT, metavar="HOST:PORT")
    command.add_argument("--json", action="store_true", help="print the agent's whole answer")


def request_agent(where: str, do: str, names: list[str], **more: Any) -> AgentReply | None:
    """Send one request to the agent at `where` and return its reply.

    Returns None where the agent gives no answer or an error, with the reason printed on standard error.
    """
    host, _, port = where.rpartition(":")
    try:
        reply = asyncio.run(supervisor.send_command((host, int(port)), do, names, **more))
    except (OSError, ValueError, TimeoutError) as error:
        print(f"maplestile: no agent at {where}: {error}", file=sys.stderr)
        return None
    if "error" in reply:
        print(f"maplestile: {reply['error']}", file=sys.stderr)
        return None
    return reply
