"""Limits the memory of the incomplete messages of all clients together.

Each connection may hold one incomplete message, and hundreds of clients may stop half way through one.
"""

import logging

from maplestile.net.client import Client
from maplestile.net.client_table import ClientTable

log = logging.getLogger("maplestile.net.platform")


class InputBudget:
    """The incomplete messages of all clients, the one that began first comes first."""

    def __init__(self, table: ClientTable) -> None:
        self.table = table
        self.held_bytes = 0
        self._held = dict[Client, int]()  # bytes by client

    def record(self, client: Client, completed_message: bool) -> None:
        """Record what a client's framer holds after a read; drop messages if there are too many bytes."""
        if completed_message:
            self.forget(client)
        held = len(client.framer.incomplete)
        self.held_bytes += held - self._held.get(client, 0)
        if held:
            self._held[client] = held
        else:
            self._held.pop(client, None)
        while self.held_bytes > self.table.limits.clients.incomplete_bytes:
            self._drop(self._least_entitled_client())

    def forget(self, client: Client) -> None:
        """Stop counting what a client's framer holds."""
        self.held_bytes -= self._held.pop(client, 0)

    def _least_entitled_client(self) -> Client:
        """Return the client with the oldest incomplete message; one that has completed none goes first."""
        newcomers = (client for client in self._held if not client.message_reads)
        return next(newcomers, None) or next(iter(self._held))

    def _drop(self, client: Client) -> None:
        self.table.counters["clients.incomplete_dropped"] += 1
        log.warning(
            "platform client: %d bytes of incomplete messages are held; dropping the oldest one",
            self.held_bytes,
        )
        client.framer.discard_incomplete()
        self.forget(client)
