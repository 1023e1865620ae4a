"""Tests of the memory of real routers among crowds of bad clients, under the limits of the settings."""

import time
import unittest
from pathlib import Path

from tests.standins import Client, NameServer, Program, Worker, start_router
from tests.standins.crowd import WAVE_S, Crowd, encoded_call

LEAST_MEMORY_MB = 32  # the least that the platform gives a router
SOCKETS = 1024
CROWD = 480  # connections, about as many as the router allows
WAVES = 3  # of each kind
KB_PER_MB = 1024
LARGE_CALL = encoded_call(21_000, padding="x" * 11_000)  # close to the longest message, 32 KB
CALL_OF_SHORT_FIELDS = encoded_call(0, **{f"{number:x}": number for number in range(2_400)})
HEAD_OF_SHORT_FIELDS = b"Content-Length: 10\r\n" + b"a:b\r\n" * 190
INPUTS = {
    "stopped half way": LARGE_CALL[:-2000],
    "oversize": b"Content-Length: 348400\r\n\r\n" + b"x" * 348_400,
    "short fields": CALL_OF_SHORT_FIELDS,
    "head of short fields": HEAD_OF_SHORT_FIELDS,
}
SLOW_PIECE_BYTES = 256
SLOW_WRITE_S = 4.0  # longer than a message may take


def peak_memory_mb(program: Program) -> float:
    """Return the highest resident memory of a process so far."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KB_PER_MB


class CrowdTest(unittest.TestCase):
    """Hundreds of clients at once that stop half way, write slowly, or send what cannot be used."""

    def setUp(self) -> None:
        self.names = NameServer()
        self.addCleanup(self.names.socket.close)
        self.worker = Worker()
        self.program = start_router(
            [self.worker], self.names, limits={"sockets": SOCKETS, "memory_mb": LEAST_MEMORY_MB}
        )
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")
        Client(self.port).call_until_served("review", b"before")

    def test_router_does_not_load_openssl(self) -> None:
        """Guards against 5 MB of the least memory for a library that no router uses."""
        self.assertNotIn("libcrypto", Path(f"/proc/{self.program.process.pid}/maps").read_text())

    def test_crowds_do_not_exceed_the_least_memory(self) -> None:
        """Guards against input that is bounded for each connection, but not for all connections together."""
        peaks_mb = {"before": peak_memory_mb(self.program)}
        crowd = Crowd(self.port, CROWD)
        crowd.send_slowly(LARGE_CALL[:-2], SLOW_PIECE_BYTES, SLOW_WRITE_S)
        crowd.close()
        peaks_mb["written slowly"] = peak_memory_mb(self.program)
        for kind, data in INPUTS.items():
            for _ in range(WAVES):
                crowd = Crowd(self.port, CROWD)
                crowd.send(data)
                time.sleep(WAVE_S)
                crowd.close()
            peaks_mb[kind] = peak_memory_mb(self.program)
        self.assertIsNone(self.program.process.poll())
        self.assertLessEqual(peaks_mb.popitem()[1], LEAST_MEMORY_MB, peaks_mb)
        Client(self.port).call_until_served("review", b"after")
