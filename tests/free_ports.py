"""Chooses ports for the programs that tests start, so that no two pytest processes choose the same port."""

import os
import random
import socket

FIRST_PORT = 12_000  # all ranges are below the ephemeral ports, which the system assigns to connections
PORTS_PER_PROCESS = 1_000
MAX_TEST_PROCESSES = 18  # with more pytest processes, some share a range


def ports_of_this_process() -> range:
    """Return the range of ports that only this pytest process chooses from.

    A chosen port stays free until the started program binds it, which takes seconds on a busy machine. Two
    pytest processes that chose from the same range would now and then choose the same port.
    """
    xdist_worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    first = FIRST_PORT + int(xdist_worker.removeprefix("gw")) % MAX_TEST_PROCESSES * PORTS_PER_PROCESS
    return range(first, first + PORTS_PER_PROCESS)


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
