"""Real routers that know each other, with the project's fault relay between all of them."""

import http.client
import json
import signal
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

from tests.relay_process import Json, Relay
from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually

# A short period keeps the tests short: the least suspicion is 4 periods, the longest 24 (0.8 and 4.8 s).
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
    """A member as a router sees it."""

    status: str
    incarnation: int


UNKNOWN = MemberStatus("unknown", -1)


class Routers:
    """Routers with a file each, and the relay between all of them; the first is the seed of the others."""

    def __init__(self, test: unittest.TestCase, count: int) -> None:
        self.test = test
        self.folder = Path(tempfile.mkdtemp())
        self.workers = [Worker(), Worker()]
        self.relay = Relay(test, count)
        self.programs = [self.start(number) for number in range(count)]
        for number in range(count):
            self.register_udp_address(number)

    def start(self, number: int) -> Program:
        """Write a router's own file, and start the router."""
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
        """Register the router's own UDP socket at the relay."""
        address = self.programs[number].find(r"members meet on UDP (127\.0\.0\.1:\d+)")
        self.relay.send_command("udp", member=number, address=address)

    def restart(self, number: int) -> None:
        """Start a router that has ended again, with its own file and another UDP socket."""
        self.programs[number] = self.start(number)
        self.register_udp_address(number)

    def get(self, number: int, path: str) -> str:
        """The body that a router's operator front answers to a GET of this path, with status 200."""
        port = self.programs[number].port("operator")
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PATIENCE_S)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            self.test.assertEqual(answer.status, 200)
            return answer.read().decode()
        finally:
            connection.close()

    def view(self, number: int) -> Json:
        """The members as a router sees them."""
        view: Json = json.loads(self.get(number, "/v1/members"))
        return view

    def statuses(self, number: int) -> dict[str, str]:
        """The status of every member in this router's view, by name."""
        return {member["name"]: member["status"] for member in self.view(number)["members"]}

    def status(self, number: int, member: str) -> MemberStatus:
        """A member's status and incarnation in this router's view; `UNKNOWN` where it is not in it."""
        for seen in self.view(number)["members"]:
            if seen["name"] == member:
                return MemberStatus(seen["status"], seen["incarnation"])
        return UNKNOWN

    def all_see(self, numbers: list[int], member: str, status: str) -> bool:
        """Whether all of these routers see a member in this status."""
        return all(self.status(number, member).status == status for number in numbers)

    def is_converged(self, numbers: list[int]) -> bool:
        """Whether each of these sees exactly these alive, suspects nobody, and is not isolated."""
        names = {f"r{number}" for number in numbers}
        for number in numbers:
            view = self.view(number)
            alive = {member["name"] for member in view["members"] if member["status"] == "alive"}
            suspects = any(member["status"] == "suspect" for member in view["members"])
            if view["isolated"] or suspects or alive != names:
                return False
        return True

    def wait_until_converged(self, numbers: list[int] | None = None) -> None:
        """Wait until all routers, or else these, have one view of each other."""
        chosen = list(range(len(self.programs))) if numbers is None else numbers
        eventually(lambda: self.is_converged(chosen), "one view of all")

    def counter(self, number: int, name: str) -> int:
        """A counter of a router; 0 while nothing was counted."""
        return self.programs[number].counters().get(name, 0)

    def declared_deaths(self, numbers: list[int]) -> list[int]:
        """How many members each of these has declared dead, or knows as dead by gossip."""
        return [self.counter(number, "peers.events.confirm") for number in numbers]

    def pause(self, number: int) -> None:
        """Stop a router's process by SIGSTOP."""
        self.programs[number].process.send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Let a paused router go on."""
        self.programs[number].process.send_signal(signal.SIGCONT)
