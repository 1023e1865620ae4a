"""Five real routers that know each other: one killed, one paused briefly, one paused too long."""

import http.client
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tests.standins import PATIENCE_S, ROOT, Program, Worker, eventually

ROUTERS = 5
# A short period keeps the tests short: the least suspicion is 4 periods, the longest 24 (0.8 and 4.8 s).
PEERS = '[peers]\nlisten = "127.0.0.1:{port}"\nseeds = [{seeds}]\nperiod_ms = 200\nack_ms = 80\n'


class Routers:
    """Routers of one operator's file each, all seeded with the first one's address."""

    def __init__(self, test: unittest.TestCase, count: int = ROUTERS) -> None:
        self.test, self.folder = test, Path(tempfile.mkdtemp())
        self.worker = Worker()
        self.programs: list[Program] = []
        self.udp: list[int] = []
        for number in range(count):
            self.start(number)

    def start(self, number: int, port: int = 0) -> Program:
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for old, new in (
            *((f"127.0.0.1:808{n}", "127.0.0.1:0") for n in range(3)),
            *((f"127.0.0.1:900{n}", f"127.0.0.1:{self.worker.port}") for n in (1, 2)),
            ('name = "palash-desk"', f'name = "r{number}"'),
        ):  # fmt: skip
            text = text.replace(old, new)
        seeds = f'"127.0.0.1:{self.udp[0]}"' if self.udp else ""
        file = self.folder / f"r{number}.toml"
        file.write_text(text + PEERS.format(port=port, seeds=seeds))
        program = Program("serve", str(file))
        self.test.addCleanup(program.kill)
        udp = int(program.find(r"members meet on UDP 127\.0\.0\.1:(\d+)"))
        if number < len(self.programs):
            self.programs[number], self.udp[number] = program, udp
        else:
            self.programs.append(program)
            self.udp.append(udp)
        return program

    def view(self, number: int) -> dict[str, Any]:
        link = http.client.HTTPConnection(
            "127.0.0.1", self.programs[number].port("operator"), timeout=PATIENCE_S
        )
        try:
            link.request("GET", "/v1/members")
            answer = link.getresponse()
            self.test.assertEqual(answer.status, 200)
            told: dict[str, Any] = json.loads(answer.read())
            return told
        finally:
            link.close()

    def status(self, number: int, member: str) -> tuple[str, int]:
        for told in self.view(number)["members"]:
            if told["name"] == member:
                return told["status"], told["incarnation"]
        return "unknown", -1

    def all_see(self, numbers: list[int], member: str, status: str) -> bool:
        return all(self.status(number, member)[0] == status for number in numbers)

    def confirmed(self, number: int) -> int:
        return self.programs[number].counters().get("peers.events.confirm", 0)


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.routers = Routers(self)
        everyone = list(range(ROUTERS))
        eventually(
            lambda: all(len(self.routers.view(n)["members"]) == ROUTERS for n in everyone), "a whole view"
        )
        eventually(
            lambda: all(self.routers.all_see(everyone, f"r{n}", "alive") for n in everyone), "all alive"
        )

    def test_a_killed_router_is_declared_dead_by_every_other(self) -> None:
        began = time.monotonic()
        self.routers.programs[3].kill()
        others = [0, 1, 2, 4]
        eventually(lambda: self.routers.all_see(others, "r3", "dead"), "r3 dead at all others")
        # A round of probes (1 s), the longest suspicion (4.8 s), and the word going round.
        self.assertLess(time.monotonic() - began, 8.0)
        for number in others:
            self.assertFalse(self.routers.view(number)["isolated"])

    def test_a_short_pause_is_refuted_and_never_declared_dead(self) -> None:
        paused = self.routers.programs[2].process
        paused.send_signal(signal.SIGSTOP)
        time.sleep(0.3)  # under the least suspicion of 0.8 s
        paused.send_signal(signal.SIGCONT)
        time.sleep(3.0)  # past any suspicion that it may have met
        others = [0, 1, 3, 4]
        self.assertTrue(self.routers.all_see(others, "r2", "alive"))
        self.assertEqual([self.routers.confirmed(n) for n in others], [0, 0, 0, 0])

    def test_a_long_pause_is_declared_dead_then_the_member_rejoins(self) -> None:
        paused = self.routers.programs[1].process
        paused.send_signal(signal.SIGSTOP)
        others = [0, 2, 3, 4]
        try:
            eventually(lambda: self.routers.all_see(others, "r1", "dead"), "r1 dead while it stands still")
        finally:
            paused.send_signal(signal.SIGCONT)
        eventually(lambda: self.routers.all_see(others, "r1", "alive"), "r1 back")
        self.assertTrue(all(self.routers.status(n, "r1")[1] >= 1 for n in others), "a higher incarnation")

    def test_a_router_restarted_under_its_address_comes_back(self) -> None:
        port = self.routers.udp[4]
        self.routers.programs[4].kill()
        others = [0, 1, 2, 3]
        eventually(lambda: self.routers.all_see(others, "r4", "dead"), "r4 dead")
        self.routers.start(4, port)
        eventually(lambda: self.routers.all_see(others, "r4", "alive"), "r4 back under its address")
        self.assertEqual(len(self.routers.view(4)["members"]), ROUTERS)


if __name__ == "__main__":
    unittest.main()
