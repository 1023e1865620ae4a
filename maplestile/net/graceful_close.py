"""Closes the connections of the platform front while its process drains.

Only the write side is closed. A client whose request crosses the close sees a clean end of stream instead of
a reset, and sends the request to another router.
"""

from maplestile.net.client import Client
from maplestile.net.client_table import ClientTable
from maplestile.net.stream_close import close_write_side


class GracefulClose:
    """The graceful close of client connections, which loses no request and no answer."""

    def __init__(self, table: ClientTable) -> None:
        self.table = table
        self.closing_when_answered = False  # close each connection after its last pending answer
        self.ignoring_input = False  # close connections even if they have unread input

    def close_idle(self, idle_us: int) -> None:
        """Close each connection that has no open or unread request and was inactive for `idle_us`.

        With 0, the other connections are closed later, each after its last pending answer. A client that
        sends its next call as soon as it is answered would never be found idle.
        """
        self.closing_when_answered = idle_us == 0
        for client in list(self.table.clients):
            self._close_if_idle(client, idle_us)

    def close_all(self) -> None:
        """Close each connection as soon as its open requests are answered, even if it has unread input.

        If the process exited without this, the kernel would reset the connections and discard the last
        answers.
        """
        self.closing_when_answered = True
        self.ignoring_input = True
        for client in list(self.table.clients):
            self._close_if_idle(client, 0)

    def record_activity(self, client: Client) -> None:
        """Record that the client sent a message or got an answer; close its connection if that is now due."""
        self.table.mark_active(client)
        if self.closing_when_answered:
            self._close_if_idle(client, 0)

    def _close_if_idle(self, client: Client, idle_us: int) -> None:
        """Close one connection, unless it has open or unread requests or was active within `idle_us`."""
        if client.calls or client.write_closed or client.writer.is_closing():
            return
        if self.ignoring_input or self._is_idle(client, idle_us):
            client.write_closed = True
            if not close_write_side(client.writer, "platform"):
                self.table.counters["clients.reset_before_close"] += 1

    def _is_idle(self, client: Client, idle_us: int) -> bool:
        if client.has_unhandled_input():
            return False
        return client.last_active_us <= self.table.clock() - idle_us
