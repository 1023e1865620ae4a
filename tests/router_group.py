"""A group of router processes that are members of each other's view, with the fault relay between them."""

import http.client
import json
import signal
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

from tests.relay_process import Json, Relay
from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually

# A short probe period keeps the tests short: a suspicion lasts from 4 periods (0.8 s) to 24 periods (4.8 s).
PERIOD_S = 0.2
PEERS = """[peers]
listen = "127.0.0.1:0"
advertise = "{advertise}"
seeds = [{seeds}]
period_ms = 200
ack_ms = 80
watch_ms = 200
"""


class MemberStatus(NamedTuple):
    """The state of a member in a router's view."""

    status: str
    incarnation: int


UNKNOWN = MemberStatus("unknown", -1)  # of a member that is not in the view


class Routers:
    """Routers, each with its own file, and the relay between them; the first is the seed of the others."""

    def __init__(self, test: unittest.TestCase, count: int) -> None:
        self.test = test
        self.folder = Path(tempfile.mkdtemp())
        self.workers = [Worker(), Worker()]
        self.relay = Relay(test, count)
        self.programs = [self.start(number) for number in range(count)]
        for number in range(count):
            self.register_udp_address(number)

    def start(self, number: int) -> Program:
        """Write the operator's file of a router, and start the router."""
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for old, new in (
            *((f"127.0.0.1:808{digit}", "127.0.0.1:0") for digit in range(3)),
            *((f"127.0.0.1:900{digit}", f"127.0.0.1:{self.workers[digit - 1].port}") for digit in (1, 2)),
            ('name = "palash-desk"', f'name = "r{number}"'),
        ):
            text = text.replace(old, new)
        seeds = f'"{self.relay.fronts[0]}"' if number else ""
        file = self.folder / f"r{number}.toml"
        file.write_text(text + PEERS.format(advertise=self.relay.fronts[number], seeds=seeds))
        program = Program("serve", str(file))
        self.test.addCleanup(program.kill)
        return program

    def register_udp_address(self, number: int) -> None:
        """Register the address of the router's UDP socket with the relay."""
        address = self.programs[number].find(r"group membership on UDP (127\.0\.0\.1:\d+)")
        self.relay.send_command("udp", member=number, address=address)

    def restart(self, number: int) -> None:
        """Start a router again after its process has ended, with the same name and a new UDP socket."""
        self.programs[number] = self.start(number)
        self.register_udp_address(number)

    def get(self, number: int, path: str) -> str:
        """Send a GET request to a router's operators front; check for status 200, and return the body."""
        port = self.programs[number].port("operator")
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PATIENCE_S)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            self.test.assertEqual(response.status, 200)
            return response.read().decode()
        finally:
            connection.close()

    def view(self, number: int) -> Json:
        """Return the membership view of a router."""
        view: Json = json.loads(self.get(number, "/v1/members"))
        return view

    def statuses(self, number: int) -> dict[str, str]:
        """Return the status of every member in a router's view, by name."""
        return {member["name"]: member["status"] for member in self.view(number)["members"]}

    def status(self, number: int, member: str) -> MemberStatus:
        """Return a member's state in a router's view, or `UNKNOWN` if the view does not contain it."""
        for entry in self.view(number)["members"]:
            if entry["name"] == member:
                return MemberStatus(entry["status"], entry["incarnation"])
        return UNKNOWN

    def all_see(self, numbers: list[int], member: str, status: str) -> bool:
        """Return whether the member has this status in the views of all these routers."""
        return all(self.status(number, member).status == status for number in numbers)

    def is_converged(self, numbers: list[int]) -> bool:
        """Return whether these routers see only themselves alive, suspect none, and are not isolated."""
        names = {f"r{number}" for number in numbers}
        for number in numbers:
            view = self.view(number)
            alive = {member["name"] for member in view["members"] if member["status"] == "alive"}
            suspects = any(member["status"] == "suspect" for member in view["members"])
            if view["isolated"] or suspects or alive != names:
                return False
        return True

    def wait_until_converged(self, numbers: list[int] | None = None) -> None:
        """Wait until these routers, or all of them if None, have the same view of each other."""
        chosen = list(range(len(self.programs))) if numbers is None else numbers
        eventually(lambda: self.is_converged(chosen), "the same view at all routers")

    def counter(self, number: int, name: str) -> int:
        """Return the value of a router's counter; 0 if it has not been incremented."""
        return self.programs[number].counters().get(name, 0)

    def declared_deaths(self, numbers: list[int]) -> list[int]:
        """Return how many deaths each of these routers has recorded, including those learned by gossip."""
        return [self.counter(number, "peers.events.confirm") for number in numbers]

    def pause(self, number: int) -> None:
        """Stop a router's process with SIGSTOP."""
        self.programs[number].process.send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a paused router's process with SIGCONT."""
        self.programs[number].process.send_signal(signal.SIGCONT)
