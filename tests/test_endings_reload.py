"""Tests of a reload of the real program that changes its name server.

`docs/endings.md` lists the cases.
"""

import socket
import unittest

from tests.standins import Client, NameServer, Worker, connect_idle_clients, eventually, start_router


class DescriptorsExhaustedTest(unittest.TestCase):
    """A process whose idle clients hold all its descriptors."""

    def test_new_name_server_is_queried_although_no_descriptor_is_free(self) -> None:
        worker = Worker()
        names = NameServer()
        other = NameServer()
        names.workers = other.workers = [("s-0", worker.port, 0)]
        names.serial = 2
        other.serial = 3
        program = start_router([worker], names)
        self.addCleanup(program.kill)
        idle = connect_idle_clients(program.port("platform"), 40)
        eventually(lambda: program.counters().get("names.lists"), "the list")
        program.forbid_new_descriptors()
        reloaded = program.reload(lambda text: text.replace(str(names.port), str(other.port)))
        self.assertEqual(reloaded["taken"], ["dns"])
        eventually(lambda: other.queries, "a query to the new name server")
        eventually(lambda: program.counters().get("names.lists", 0) > 1 or other.queries > 3, "its list")
        self.assertGreater(program.counters()["descriptors.none_left"], 0)
        for client in idle:
            client.close()


class ReloadTest(unittest.TestCase):
    """A reload to a name server that does not answer."""

    def test_drain_is_still_received_from_the_old_name_server(self) -> None:
        workers = [Worker(), Worker()]
        names = NameServer()
        names.list_workers(workers)
        program = start_router(workers, names)
        self.addCleanup(program.kill)
        port = program.port("platform")
        eventually(lambda: names.queries, "a query")
        silent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        silent.bind(("127.0.0.1", 0))
        reloaded = program.reload(lambda text: text.replace(str(names.port), str(silent.getsockname()[1])))
        self.assertEqual(reloaded["taken"], ["dns"])
        names.workers = [("s-0", workers[0].port, 1), ("s-1", workers[1].port, 0)]
        names.serial = 2
        eventually(lambda: program.counters().get("names.lists"), "the list of the old name server")
        client = Client(port)
        for number in range(12):
            client.call_until_served("review", b"x", item=f"f{number}")
        self.assertEqual((len(workers[0].ran), len(workers[1].ran)), (0, 12))
        client.close()
        silent.close()
