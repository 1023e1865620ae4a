"""Real routers that know each other, with the project's fault relay between all of them."""

import http.client
import json
import os
import random
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

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
Json = dict[str, Any]


class Relay:
    """The relay as a process of its own, steered by its control port."""

    def __init__(self, test: unittest.TestCase, members: int, seed: int = 3) -> None:
        file = Path(tempfile.mkdtemp()) / "relay.toml"
        file.write_text(f"seed = {seed}\nmembers = {members}\n")
        self.program = Program("relay", str(file))
        test.addCleanup(self.program.kill)
        addresses = json.loads(self.program.find(r'^(\{"relay".*)'))["relay"]
        self.fronts: list[str] = addresses["fronts"]
        host, _, port = addresses["control"].rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout=PATIENCE_S)
        self.file = self.socket.makefile("rb")
        test.addCleanup(self.socket.close)
        test.addCleanup(self.file.close)

    def ask(self, do: str, **more: Any) -> Json:
        """One command by the control port, and its reply; an error in the reply is an `AssertionError`."""
        self.socket.sendall(json.dumps({"do": do, **more}).encode() + b"\n")
        reply: Json = json.loads(self.file.readline())
        if "error" in reply:
            raise AssertionError(reply["error"])
        return reply

    def begin(self, **schedule: Any) -> None:
        """These faults from now on, until the next or `heal`."""
        self.ask("begin", schedule=schedule)

    def link(self, origin: int, target: int, address: str) -> str:
        """The address by which `origin` reaches `target`'s TCP `address` through the relay."""
        return str(self.ask("tcp", **{"from": origin, "to": target}, address=address)["front"])


FOREVER = {"at_s": 0, "until_s": 3600}  # of a fault: until it is healed


class Routers:
    """Routers of one operator's file each, with the relay between all of them; the first is their seed."""

    def __init__(self, test: unittest.TestCase, count: int) -> None:
        self.test = test
        self.folder = Path(tempfile.mkdtemp())
        self.workers = [Worker(), Worker()]
        self.relay = Relay(test, count)
        self.programs = [self.begin(number) for number in range(count)]
        for number in range(count):
            self.meet(number)

    def begin(self, number: int) -> Program:
        """Start a router with its own operator's file."""
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

    def meet(self, number: int) -> None:
        """Tell the relay where the router's own socket is."""
        address = self.programs[number].find(r"members meet on UDP (127\.0\.0\.1:\d+)")
        self.relay.ask("udp", member=number, address=address)

    def restart(self, number: int) -> None:
        self.programs[number] = self.begin(number)
        self.meet(number)

    def ask(self, number: int, path: str) -> str:
        """What the router's operators' front answers to a GET of this path."""
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
        view: Json = json.loads(self.ask(number, "/v1/members"))
        return view

    def statuses(self, number: int) -> dict[str, str]:
        """The status of every member in this router's view, by name."""
        return {member["name"]: member["status"] for member in self.view(number)["members"]}

    def status(self, number: int, member: str) -> tuple[str, int]:
        """A member's status and incarnation in this router's view; `("unknown", -1)` where it has none."""
        for seen in self.view(number)["members"]:
            if seen["name"] == member:
                return seen["status"], seen["incarnation"]
        return "unknown", -1

    def all_see(self, numbers: list[int], member: str, status: str) -> bool:
        return all(self.status(number, member)[0] == status for number in numbers)

    def whole(self, numbers: list[int]) -> bool:
        """All of these see all of these alive and nobody else in view, and none is cut off."""
        names = {f"r{number}" for number in numbers}
        for number in numbers:
            view = self.view(number)
            alive = {member["name"] for member in view["members"] if member["status"] == "alive"}
            suspects = any(member["status"] == "suspect" for member in view["members"])
            if view["isolated"] or suspects or alive != names:
                return False
        return True

    def until_whole(self, numbers: list[int] | None = None) -> None:
        chosen = list(range(len(self.programs))) if numbers is None else numbers
        eventually(lambda: self.whole(chosen), "one view of all")

    def counter(self, number: int, name: str) -> int:
        return self.programs[number].counters().get(name, 0)

    def deaths(self, numbers: list[int]) -> list[int]:
        """How many members each of these has declared dead, or has taken for dead by gossip."""
        return [self.counter(number, "peers.events.confirm") for number in numbers]

    def stop(self, number: int) -> None:
        self.programs[number].process.send_signal(signal.SIGSTOP)

    def go_on(self, number: int) -> None:
        self.programs[number].process.send_signal(signal.SIGCONT)


FIRST_PORT = 12_000  # the ports from here on are below the range that the system gives to connections
PORTS_OF_A_PROCESS = 1_000
TEST_PROCESSES = 18


def own_ports() -> range:
    """The ports of this process of the test run, of which several start programs at once.

    A port is free until the program that it was chosen for binds it, which takes seconds on a busy machine:
    two processes that drew from the same ports now and then chose the same one.
    """
    name = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    first = FIRST_PORT + int(name.removeprefix("gw")) % TEST_PROCESSES * PORTS_OF_A_PROCESS
    return range(first, first + PORTS_OF_A_PROCESS)


def free_ports(count: int) -> list[int]:
    """Ports that nobody has bound now, and that no other process of the test run chooses."""
    draws = random.Random()
    ports = own_ports()
    found = list[int]()
    while len(found) < count:
        port = draws.choice(ports)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found
