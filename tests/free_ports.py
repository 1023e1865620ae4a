"""Chooses ports for the programs that tests start, so that no two pytest processes choose the same port.

A chosen port stays free until the started program binds it, which takes seconds on a busy machine, and again
while that program is restarted. Each pytest process therefore has a range of ports of its own, also beside
other runs on the same machine: it holds a lock on a file until it ends.
"""

import fcntl
import functools
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

FIRST_PORT = 12_000  # all ranges are below the ephemeral ports, which the system assigns to connections
PORTS_PER_PROCESS = 500
RANGES = 40  # with more pytest processes at a time, some share a range
_locked_files = list[IO[bytes]]()  # open until the process ends, which releases the locks


@functools.cache
def ports_of_this_process() -> range:
    """Return the range of ports that only this pytest process chooses from."""
    xdist_worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    preferred = int(xdist_worker.removeprefix("gw"))
    numbers = [(preferred + offset) % RANGES for offset in range(RANGES)]
    number = next((number for number in numbers if _lock(number)), numbers[0])
    first = FIRST_PORT + number * PORTS_PER_PROCESS
    return range(first, first + PORTS_PER_PROCESS)


def _lock(number: int) -> bool:
    """Lock the range of this number until the process ends; return whether no other process has it."""
    path = Path(tempfile.gettempdir()) / f"maplestile-test-ports-{number}"
    file = path.open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return False
    _locked_files.append(file)
    return True


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP, and that no other pytest process chooses."""
    random_source = random.Random()
    ports = ports_of_this_process()
    chosen = list[int]()
    while len(chosen) < count:
        port = random_source.choice(ports)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in chosen:
            chosen.append(port)
    return chosen
