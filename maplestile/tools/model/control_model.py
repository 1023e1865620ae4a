"""What the models of rollouts and of policy changes share: a simulated clock and the shipped control state.

A command is applied to one `ControlState` after the time that a commit takes; Raft itself is left out.
"""

import random

import simpy

from maplestile.control.commands import Register, Rejected
from maplestile.control.state import ControlState
from maplestile.tools.model.control_experiment import ControlExperiment


def agent_name(agent: int) -> str:
    """The name of an agent by its index."""
    return f"a{agent}"


class ControlModel:
    """A run on simpy's clock (microseconds) in which agents manage instances by one control state.

    Instance `n` belongs to agent `n % agents`. One generator of random numbers, seeded by the experiment, is
    drawn from in the order of simulated events, so that the same experiment gives the same run.
    """

    def __init__(self, experiment: ControlExperiment, instances: int) -> None:
        """Register the instances with their agents."""
        self._agents = experiment.agents
        self._commit_us = experiment.commit_us
        self._env = simpy.Environment()
        self._random = random.Random(experiment.seed)
        self.control = ControlState()
        self.names = [f"r{number}" for number in range(instances)]
        for agent in range(experiment.agents):
            register = Register(agent=agent_name(agent), instances=tuple(self.instances_of(agent)))
            assert not isinstance(self.control.apply(register), Rejected)

    @property
    def now_us(self) -> int:
        """The simulated time."""
        return int(self._env.now)

    def instances_of(self, agent: int) -> list[str]:
        """The names of an agent's instances."""
        return self.names[agent :: self._agents]

    def _exponential_us(self, mean_us: int) -> int:
        return int(self._random.expovariate(1.0) * mean_us)

    def _uniform_us(self, most_us: int) -> int:
        return int(self._random.random() * most_us)

    def _jittered_us(self, mean_us: int) -> int:
        """A duration with an exponential jitter of the same mean."""
        return mean_us + self._exponential_us(mean_us)

    def _commit(self) -> simpy.events.Timeout:
        """The time until a command is committed."""
        return self._env.timeout(self._jittered_us(self._commit_us))
