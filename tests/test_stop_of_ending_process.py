"""Tests of the agent's stop of an instance whose process is just ending."""

import asyncio
import sys
from typing import Any
from unittest import mock

from maplestile.agent.settings import AgentSettings, InstanceSettings
from maplestile.agent.supervised_process import ProcessState, SupervisedProcess

NOTICE_S = 0.2  # from the end of the process until the supervisor has followed its log to the end


# Guards against a stop that is answered with "running", since the end of the process is not noticed yet.
def test_stop_of_a_process_that_has_just_ended_is_answered_with_stopped() -> None:
    async def scenario() -> ProcessState:
        command = (sys.executable, "-c", "raise SystemExit(3)")
        settings = InstanceSettings("failing", command, (), None, "")
        agent = AgentSettings(("127.0.0.1", 0), (settings,), 0.05, 0.1, 1.0, 5.0)
        supervised = SupervisedProcess(settings, agent, lambda _name: settings)
        follow = supervised.launcher.follow

        async def follow_and_wait(*arguments: Any) -> int:
            exit_code = await follow(*arguments)
            await asyncio.sleep(NOTICE_S)
            return exit_code

        with mock.patch.object(supervised.launcher, "follow", follow_and_wait):
            task = asyncio.create_task(supervised.run())
            while supervised.process is None or supervised.process.returncode is None:
                await asyncio.sleep(0.005)
            await supervised.stop()
            state = supervised.status().state
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        return state

    assert asyncio.run(scenario()) is ProcessState.STOPPED
