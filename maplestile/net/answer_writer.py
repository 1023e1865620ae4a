"""Writes answers to clients, and limits how many bytes of answers they may leave unread."""

import logging

from maplestile.net.client import Client
from maplestile.net.client_table import ClientTable

log = logging.getLogger("maplestile.net.platform")


class AnswerWriter:
    """The writer of answers to all clients; it limits unread answers, per client and for all together."""

    def __init__(self, table: ClientTable) -> None:
        self.table = table

    def write(self, client: Client, data: bytes) -> None:
        """Write an answer; disconnect a client if a limit on unread answers is exceeded."""
        transport = client.writer.transport
        if transport.is_closing() or client.write_closed:  # no answer can be sent any more
            client.all_answered.set()
            return
        table = self.table
        now_us = table.clock()
        client.unsent_bytes(now_us)
        client.writer.write(data)
        client.written_bytes += len(data)
        unsent = client.unsent_bytes(now_us)
        if unsent > table.limits.clients.unread_bytes:
            self._disconnect(client)
        elif unsent and table.unsent_bytes() > table.limits.clients.all_unread_bytes:
            self._disconnect(self._longest_blocked_client(now_us))

    def _longest_blocked_client(self, now_us: int) -> Client:
        """Return the client that has read nothing for the longest time, regardless of its unread bytes."""
        blocked = (client for client in self.table.all_connections() if client.unsent_bytes(now_us))
        return min(blocked, key=lambda client: client.unread_since_us)

    def _disconnect(self, client: Client) -> None:
        self.table.counters["clients.too_slow"] += 1
        log.warning("platform client: reads its answers too slowly; closing the connection")
        client.writer.transport.abort()
        client.all_answered.set()
