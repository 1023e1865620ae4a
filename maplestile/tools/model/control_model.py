"""The base of the rollout and policy models: a simulated clock and the shipped control state.

Each command is applied to a single `ControlState` after the time that a commit takes; Raft is not simulated.
"""

import random

import simpy

from maplestile.control.commands import Register, Rejected
from maplestile.control.state import ControlState
from maplestile.tools.model.control_experiment import ControlExperiment


def agent_name(agent: int) -> str:
    """Return the name of the agent with this index."""
    return f"a{agent}"


class ControlModel:
    """A simulated run in which agents manage instances through one control state.

    The clock is simpy's, in microseconds. Instance `n` belongs to agent `n % agents`. All random numbers come
    from one generator, seeded by the experiment, in the order of simulated events, so the same experiment
    always gives the same run.
    """

    def __init__(self, experiment: ControlExperiment, instances: int) -> None:
        """Create the control state and register each agent's instances in it."""
        self._agents = experiment.agents
        self._commit_us = experiment.commit_us
        self._env = simpy.Environment()
        self._random = random.Random(experiment.seed)
        self.control = ControlState()
        self.instance_names = [f"r{number}" for number in range(instances)]
        for agent in range(experiment.agents):
            register = Register(agent=agent_name(agent), instances=tuple(self.instances_of(agent)))
            assert not isinstance(self.control.apply(register), Rejected)

    @property
    def now_us(self) -> int:
        """The simulated time, in microseconds."""
        return int(self._env.now)

    def instances_of(self, agent: int) -> list[str]:
        """Return the names of an agent's instances."""
        return self.instance_names[agent :: self._agents]

    def _random_exponential_us(self, mean_us: int) -> int:
        return int(self._random.expovariate(1.0) * mean_us)

    def _random_uniform_us(self, max_us: int) -> int:
        return int(self._random.random() * max_us)

    def _random_jittered_us(self, mean_us: int) -> int:
        """Return `mean_us` plus an exponential jitter whose mean is as long."""
        return mean_us + self._random_exponential_us(mean_us)

    def _wait_for_commit(self) -> simpy.events.Timeout:
        """Return a simulated wait until a command is committed."""
        return self._env.timeout(self._random_jittered_us(self._commit_us))
