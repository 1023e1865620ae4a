"""Records the lines of an agent, as files by name.

What the command line and other agents ask of it and its answers, and what it asks of its routers and puts
into the replicated log.
"""

import asyncio
import tempfile
from pathlib import Path

from tests.record_agent_clients import sent_by_command_line, sent_to_voter
from tests.record_agent_commands import command_answers
from tests.record_controllers import (
    answered_by_router,
    sent_by_policy_controller,
    submitted_by_rollout_controller,
)


def agent_lines() -> dict[str, bytes]:
    files = dict[str, bytes]()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for make in (
            command_answers,
            sent_to_voter,
            submitted_by_rollout_controller,
            sent_by_policy_controller,
        ):
            files.update(asyncio.run(make(folder)))
        files.update(sent_by_command_line(folder))
        files.update(answered_by_router(folder / "router"))
    return files
