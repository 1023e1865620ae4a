"""Closes the connections of the platform's front while its process drains.

A request that crosses the close finds a clean end of the connection, and its client sends it elsewhere.
"""

from maplestile.net.client import Client
from maplestile.net.client_table import ClientTable


class GracefulClose:
    """Ends this side of each connection without losing a request or an answer."""

    def __init__(self, table: ClientTable) -> None:
        self.table = table
        self.closing_when_answered = False  # each connection ends once nothing is open or unread on it
        self.ignoring_input = False  # and also with unread input

    def close_quiet(self, quiet_us: int) -> None:
        """Close each connection without open or unread requests or activity for so long.

        With 0 each further connection is closed with its last pending answer: a client that calls again as
        soon as it is answered would never be found quiet.
        """
        self.closing_when_answered = quiet_us == 0
        for client in list(self.table.clients):
            self._close_if_quiet(client, quiet_us)

    def close_all(self) -> None:
        """Close each connection as soon as its open requests are answered, also with unread input.

        The exit of the process alone would reset the connections, and take the last answers along.
        """
        self.closing_when_answered = True
        self.ignoring_input = True
        for client in list(self.table.clients):
            self._close_if_quiet(client, 0)

    def note_activity(self, client: Client) -> None:
        """Note that the client sent a message or was answered; close the connection if that was awaited."""
        self.table.mark_active(client)
        if self.closing_when_answered:
            self._close_if_quiet(client, 0)

    def _close_if_quiet(self, client: Client, quiet_us: int) -> None:
        """Close one connection, unless something is open or unread on it, or it was active just now."""
        if client.calls or client.write_closed or client.writer.is_closing():
            return
        if self.ignoring_input or self._is_quiet(client, quiet_us):
            client.write_closed = True
            client.writer.write_eof()

    def _is_quiet(self, client: Client, quiet_us: int) -> bool:
        if client.has_unhandled_input():
            return False
        return client.last_active_us <= self.table.clock() - quiet_us
