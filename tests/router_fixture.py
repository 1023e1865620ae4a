"""A test case that runs the real program between a client and fake workers, with a name server."""

import signal
import unittest
from typing import Any

from tests.standins import Client, NameServer, Program, Worker, start_router


class RouterTestCase(unittest.TestCase):
    """Starts a router with the workers that a test gives."""

    names: NameServer
    program: Program
    client: Client

    def start(self, *workers: Worker, **changes: Any) -> None:
        """Start a router with these workers and changed settings, and connect a client to it."""
        self.names = NameServer()
        self.names.list_workers(workers)
        self.program = start_router(list(workers), self.names, **changes)
        self.addCleanup(self.program.kill)
        self.client = self.connect()

    def connect(self) -> Client:
        """Connect another client."""
        return Client(self.program.port("platform"))

    def suspend_process(self) -> None:
        """Suspend the process of the router with SIGSTOP."""
        self.program.process.send_signal(signal.SIGSTOP)

    def resume_process(self) -> None:
        """Resume the suspended process."""
        self.program.process.send_signal(signal.SIGCONT)

    def cancel_call(self, ending: str, id_: int, client: Client | None = None) -> None:
        """Cancel a call: by closing its connection if `ending` is "close", else by an `interrupt` message."""
        client = client or self.client
        if ending == "close":
            client.close()
        else:
            client.send("interrupt", {"id": id_}, id_=id_)
