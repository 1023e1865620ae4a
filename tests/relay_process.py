"""The fault relay as a process of its own, controlled through its control port."""

import json
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.standins import PATIENCE_S, Program

Json = dict[str, Any]
FOREVER = {"at_s": 0, "until_s": 3600}  # the times of a fault that lasts until it is healed


class Relay:
    """A relay process between a number of members; it forwards everything until faults are started."""

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

    def send_command(self, do: str, **more: Any) -> Json:
        """Send a command to the control port and return the reply. Raises `AssertionError` for an error."""
        self.socket.sendall(json.dumps({"do": do, **more}).encode() + b"\n")
        reply: Json = json.loads(self.file.readline())
        if "error" in reply:
            raise AssertionError(reply["error"])
        return reply

    def start_faults(self, **schedule: Any) -> None:
        """Start these faults, which last until others are started or `heal` is called."""
        self.send_command("begin", schedule=schedule)

    def tcp_front(self, origin: int, target: int, address: str) -> str:
        """Return the address by which `origin` reaches the TCP `address` of `target` through the relay."""
        return str(self.send_command("tcp", **{"from": origin, "to": target}, address=address)["front"])

    def heal(self) -> None:
        """End all faults."""
        self.send_command("heal")

    def counts(self) -> Json:
        """Return the relay's counters of the traffic that it forwarded and lost."""
        counts: Json = self.send_command("counts")["counts"]
        return counts
