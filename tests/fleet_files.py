"""Writes the configuration files of a fleet: of its agents, with and without a vote, and of their routers."""

import json
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.free_ports import free_ports
from tests.relay_process import Relay
from tests.router_group import PEERS
from tests.standins import ROOT

AGENTS = 3  # all of them voters
ROUTERS_PER_AGENT = 2
ROLLOUT_S = 60.0  # a test's timeout for a rollout of six steps with faults between them, on a busy machine
NON_VOTER = AGENTS  # the number of the agent without a vote, which only some tests start
NON_VOTER_NAME = f"a{NON_VOTER}"
NON_VOTER_ROUTER = "r6"
AGENT_TABLES = """[agent]
listen = "127.0.0.1:{listen}"
backoff_s = 0.2
[control]
name = "a{number}"
listen = "127.0.0.1:{raft}"
folder = "{folder}"
step_s = {step_s}
settle_s = 0.2
"""


@dataclass(frozen=True)
class FleetOptions:
    """The options that a test may set for its fleet."""

    step_s: float = ROLLOUT_S  # seconds that a step of a rollout may take before the rollout halts
    routers: int = AGENTS * ROUTERS_PER_AGENT  # the number of routers of all agents together
    toy: bool = False  # whether runner w2 is a process of the first agent; if not, it is a test double
    policy: str = ""  # the settings in the routers' `[policy]` table; empty: no such table
    older_build: str = ""  # the folder of another build, for the last router; empty: it runs this build
    with_registry: bool = False  # whether agents keep a process registry, so that successors adopt processes


@dataclass(frozen=True)
class FleetPorts:
    """The ports of a fleet's processes: each list has one for each agent or one for each router."""

    agents: list[int]  # for commands to the agents
    raft: list[int]  # for the messages between the voters
    gossip: list[int]  # UDP ports of the routers, which keep them after a restart
    invoke: list[int]  # of the routers' invoke fronts
    operator: list[int]  # of the routers' operator fronts
    toy_runner: int  # of runner w2, if it is a process of the first agent

    @classmethod
    def allocate(cls, routers: int) -> "FleetPorts":
        """Choose free ports for three agents, this many routers and the toy runner."""
        ports = free_ports(2 * AGENTS + 3 * routers + 1)
        router_ports = ports[2 * AGENTS : -1]
        gossip, invoke, operator = (router_ports[first::3] for first in range(3))
        return cls(ports[:AGENTS], ports[AGENTS : 2 * AGENTS], gossip, invoke, operator, ports[-1])


@dataclass(frozen=True)
class NonVoterFiles:
    """The file of an agent without a vote, and the port on which it accepts commands."""

    file: Path
    port: int


class FleetFiles:
    """Writes a fleet's configuration files into a new temporary folder.

    The members of the relay are the routers, with the numbers 0 to 5, and the agents, with 6 to 8.
    """

    def __init__(
        self, options: FleetOptions, relay: Relay, ports: FleetPorts, runner_ports: list[int]
    ) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.options = options
        self.relay = relay
        self.ports = ports
        self.runner_ports = runner_ports
        self.router_names = [f"r{number}" for number in range(options.routers)]

    def routers_of_agent(self, number: int) -> list[str]:
        """Return the names of an agent's routers."""
        first = number * ROUTERS_PER_AGENT
        return self.router_names[first : first + ROUTERS_PER_AGENT]

    def write_router_file(self, number: int) -> None:
        """Write a router's file: the example for operators with the router's own ports, peers and policy."""
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for old, new in (
            ("127.0.0.1:8080", f"127.0.0.1:{self.ports.invoke[number]}"),
            ("127.0.0.1:8081", "127.0.0.1:0"),
            ("127.0.0.1:8082", f"127.0.0.1:{self.ports.operator[number]}"),
            ("127.0.0.1:9001", f"127.0.0.1:{self.runner_ports[0]}"),
            ("127.0.0.1:9002", f"127.0.0.1:{self.runner_ports[1]}"),
            ('name = "palash-desk"', f'name = "r{number}"'),
        ):
            assert old in text, old
            text = text.replace(old, new)
        text += self._peers_table(number) + self._policy_table(number)
        (self.folder / f"r{number}.toml").write_text(text)

    def _peers_table(self, number: int) -> str:
        seeds = ", ".join(f'"{front}"' for front in self.relay.fronts[: len(self.router_names)])
        peers = PEERS.format(advertise=self.relay.fronts[number], seeds=seeds)
        return peers.replace('listen = "127.0.0.1:0"', f'listen = "127.0.0.1:{self.ports.gossip[number]}"')

    def _policy_table(self, number: int) -> str:
        if not self.options.policy:
            return ""
        return f'[policy]\nfolder = "{self.folder / f"policy{number}"}"\n{self.options.policy}'

    def write_agent_file(self, number: int) -> Path:
        """Write the file of a voting agent."""
        file = self.folder / f"agent{number}.toml"
        text = self._control_tables(number) + self._voter_tables(number) + self._instance_tables(number)
        file.write_text(text)
        return file

    def _control_tables(self, number: int) -> str:
        text = AGENT_TABLES.format(
            number=number,
            listen=self.ports.agents[number],
            raft=self.ports.raft[number],
            folder=self.folder / f"a{number}",
            step_s=self.options.step_s,
        )
        if self.options.with_registry:
            text = text.replace("[control]", f'folder = "{self.folder / f"agent{number}"}"\n[control]')
        return text

    def _voter_tables(self, number: int) -> str:
        """Return the tables of all voters, where an agent reaches the other voters through the relay."""
        text = ""
        first_agent = AGENTS * ROUTERS_PER_AGENT  # the member number of agent 0 at the relay
        for other in range(AGENTS):
            address = f"127.0.0.1:{self.ports.raft[other]}"
            text += f'[[voter]]\nname = "a{other}"\naddress = "{address}"\n'
            if other != number:
                reach = self.relay.tcp_front(first_agent + number, first_agent + other, address)
                text += f'reach = "{reach}"\n'
        return text

    def _instance_tables(self, number: int) -> str:
        """Return the tables of the agent's routers; with `toy`, also that of the first agent's runner w2."""
        text = ""
        for name in self.routers_of_agent(number):
            text += f'[[instance]]\nname = "{name}"\nfile = "{name}.toml"\n'
            if self.options.older_build and name == self.router_names[-1]:
                text += f'env = {{ PYTHONPATH = "{self.options.older_build}", PYTHONSAFEPATH = "1" }}\n'
        if self.options.toy and not number:
            toy_worker = [sys.executable, str(ROOT / "examples" / "toy_worker.py")]
            command = json.dumps([*toy_worker, "--port", str(self.runner_ports[1])])
            text += f'[[instance]]\nname = "w2"\ncommand = {command}\n'
        return text

    def write_non_voter_files(self) -> NonVoterFiles:
        """Write the files of an agent without a vote and of its router, which is configured like r0."""
        port, invoke, operator, gossip = free_ports(4)
        text = (self.folder / "r0.toml").read_text().replace('name = "r0"', f'name = "{NON_VOTER_ROUTER}"')
        for old, new in (
            (self.ports.invoke[0], invoke),
            (self.ports.operator[0], operator),
            (self.ports.gossip[0], gossip),
        ):
            text = text.replace(f"127.0.0.1:{old}", f"127.0.0.1:{new}")
        text = text.replace(str(self.folder / "policy0"), str(self.folder / "policy6"))
        text = text.replace(self.relay.fronts[0], f"127.0.0.1:{gossip}", 1)
        (self.folder / f"{NON_VOTER_ROUTER}.toml").write_text(text)
        voters = ", ".join(f'"127.0.0.1:{agent_port}"' for agent_port in self.ports.agents)
        file = self.folder / "non-voter.toml"
        file.write_text(
            f'[agent]\nlisten = "127.0.0.1:{port}"\n'
            f'[control]\nname = "{NON_VOTER_NAME}"\nask = [{voters}]\n'
            f'[[instance]]\nname = "{NON_VOTER_ROUTER}"\nfile = "{NON_VOTER_ROUTER}.toml"\n'
            'env = { RELEASE = "one" }\n'
        )
        return NonVoterFiles(file, port)
