"""A client for an agent's command server, shared by the commands that send requests to an agent."""

import argparse
import asyncio
import sys
from typing import Any

from maplestile.agent import supervisor

DEFAULT_AGENT = "127.0.0.1:7070"

AgentReply = dict[str, Any]  # the JSON object that an agent answers with


def add_agent_options(command: argparse.ArgumentParser) -> None:
    """Add the options of all commands that send a request to an agent."""
    command.add_argument("--agent", default=DEFAULT_AGENT, metavar="HOST:PORT")
    command.add_argument("--json", action="store_true", help="print the agent's whole answer")


def request_agent(address: str, operation: str, instances: list[str], **fields: Any) -> AgentReply | None:
    """Send a request with these fields to the agent at `address` and return its reply.

    An empty list of instances means all of them. If the agent does not answer, or answers with an error,
    print the reason on standard error and return None.
    """
    host, _, port = address.rpartition(":")
    try:
        reply = asyncio.run(supervisor.send_command((host, int(port)), operation, instances, **fields))
    except (OSError, ValueError, TimeoutError) as error:
        print(f"maplestile: no agent at {address}: {error}", file=sys.stderr)
        return None
    if "error" in reply:
        print(f"maplestile: {reply['error']}", file=sys.stderr)
        return None
    return reply
