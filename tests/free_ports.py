"""Ports for the programs that tests start, such that no two processes of a test run choose the same one."""

import os
import random
import socket

FIRST_PORT = 12_000  # the ports from here on are below the range that the system gives to connections
PORTS_OF_A_PROCESS = 1_000
TEST_PROCESSES = 18


def own_ports() -> range:
    """The ports of this process of the test run, of which several start programs at once.

    A port is free until the program that it was chosen for binds it, which takes seconds on a busy machine:
    two processes that chose from the same ports now and then chose the same one.
    """
    name = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    first = FIRST_PORT + int(name.removeprefix("gw")) % TEST_PROCESSES * PORTS_OF_A_PROCESS
    return range(first, first + PORTS_OF_A_PROCESS)


def free_ports(count: int) -> list[int]:
    """Ports that nobody has bound now, and that no other process of the test run chooses."""
    chooser = random.Random()
    ports = own_ports()
    found = list[int]()
    while len(found) < count:
        port = chooser.choice(ports)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found
