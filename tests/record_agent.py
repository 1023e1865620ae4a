"""Records what an agent sends and receives.

These are requests of the command line and of other agents with the agent's answers, the agent's requests to
its routers, and the commands that it submits to the replicated log.
"""

import asyncio
import tempfile
from pathlib import Path

from tests.record_agent_clients import sent_by_command_line, sent_to_voter
from tests.record_agent_commands import command_answers
from tests.record_controllers import (
    router_answers,
    sent_by_policy_controller,
    submitted_by_rollout_controller,
)


def agent_recordings() -> dict[str, bytes]:
    """Return the content of the recorded files, by file name."""
    files = dict[str, bytes]()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for recorder in (
            command_answers,
            sent_to_voter,
            submitted_by_rollout_controller,
            sent_by_policy_controller,
        ):
            files.update(asyncio.run(recorder(folder)))
        files.update(sent_by_command_line(folder))
        files.update(router_answers(folder / "router"))
    return files
