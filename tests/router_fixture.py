"""A router between a client and workers, with a name server, for tests of the real program."""

import signal
import unittest
from typing import Any

from tests.standins import Client, NameServer, Program, Worker, start_router


class RouterTestCase(unittest.TestCase):
    """Starts a router when a test says which workers it has."""

    names: NameServer
    program: Program
    client: Client

    def start(self, *workers: Worker, **changes: Any) -> None:
        """Start a router with these workers and changes of its settings, and connect a client to it."""
        self.names = NameServer()
        self.names.list_workers(workers)
        self.program = start_router(list(workers), self.names, **changes)
        self.addCleanup(self.program.kill)
        self.client = self.connect()

    def connect(self) -> Client:
        """Connect one more client."""
        return Client(self.program.port("platform"))

    def suspend_process(self) -> None:
        """Stop the router's process as it stands."""
        self.program.process.send_signal(signal.SIGSTOP)

    def resume_process(self) -> None:
        """Let a suspended process go on."""
        self.program.process.send_signal(signal.SIGCONT)

    def give_up(self, ending: str, id_: int, client: Client | None = None) -> None:
        """End a call for its client: by a `close` of the connection, or by an `interrupt`."""
        client = client or self.client
        if ending == "close":
            client.close()
        else:
            client.send("interrupt", {"id": id_}, id_=id_)
