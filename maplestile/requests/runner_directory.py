"""The runners that a pool knows, kept up to date with the endpoint list."""

from collections.abc import Callable

from maplestile.common.address import Address
from maplestile.dispatch.api import Result, WorkerEntry, WorkerState
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Runner
from maplestile.requests.endpoint_list import EndpointList


class RunnerDirectory:
    """The runners by uid: those on the endpoint list, and those that still have connections."""

    def __init__(self, table: ConnectionTable, close: Callable[[Connection, Result, bool], None]) -> None:
        self._table = table
        self._close = close
        self.runners: dict[str, Runner] = {}

    def update(self, endpoints: EndpointList) -> None:
        """Apply a new endpoint list: runners may be added or removed, start to drain, or have restarted."""
        for entry in endpoints.visible_entries():
            self._update_runner(entry, endpoints.addresses[entry.worker])
        for uid in [uid for uid in self.runners if uid not in endpoints.entries]:
            runner = self.runners[uid]
            runner.listed = False
            runner.accepts_new_work = False
            self._table.close_unused(runner)
            self.forget_if_unlisted(runner)

    def forget_if_unlisted(self, runner: Runner) -> None:
        """Remove a runner that is no longer listed and has no connection left."""
        if not runner.listed and not runner.connections:
            self.runners.pop(runner.uid, None)

    def _update_runner(self, entry: WorkerEntry, address: Address) -> None:
        accepts_new_work = entry.state is WorkerState.RUNNING
        runner = self.runners.get(entry.worker)
        if runner is None:
            self.runners[entry.worker] = Runner(entry.worker, address, entry.started_us, accepts_new_work)
            return
        runner.listed = True
        runner.accepts_new_work = accepts_new_work
        moved = address != runner.address
        if moved or entry.started_us > runner.started_us:
            runner.address = address
            runner.started_us = entry.started_us
            self._close_to_old_process(runner, moved)

    def _close_to_old_process(self, runner: Runner, moved: bool) -> None:
        """Close connections to the runner's previous process, which will never answer on them.

        What waits there is not resent: it was admitted for another process, whose capacity was known.
        """
        for connection in list(runner.connections):
            if moved or connection.opened_us < runner.started_us:
                self._close(connection, Result.RESET, False)
