"""Keeps track of functions' copies at workers, from sent attempts, answers and load requests."""

from maplestile.dispatch import api
from maplestile.dispatch.api import Result, Warmth
from maplestile.dispatch.context import Context
from maplestile.dispatch.estimates import update_load_time
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.loads_in_progress import LoadsInProgress
from maplestile.dispatch.state import Attempt, Call, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies


class CopyRecords:
    """The component that updates the records of copies, of loads in progress and of functions' homes."""

    def __init__(
        self,
        context: Context,
        *,
        loads: LoadsInProgress,
        warm_copies: WarmCopies,
        load_requests: LoadRequests,
    ) -> None:
        self.context = context
        self.loads = loads
        self.warm_copies = warm_copies
        self.load_requests = load_requests

    def record_send(self, call: Call, worker: Worker) -> bool:
        """Record that a call is sent to the worker; return whether it needs a load.

        It needs one if no warm copy is known there. If workers load a copy on a miss, the call starts that
        load itself.
        """
        entry = call.entry
        needs_load = not self.warm_copies.is_warm(entry, worker)
        starts_load = needs_load and call.settings.loads_on_miss and not entry.copy(worker).load_started_us
        if starts_load and not self.warm_copies.is_inferred_warm(entry, worker):
            self.loads.begin(entry, worker, requested=False)
        return needs_load

    def record_answer(self, entry: FunctionEntry, worker: Worker) -> None:
        """Record a successful answer: the worker has a copy, and no load is in progress there."""
        copy = entry.copy(worker)
        copy.count = max(1, copy.count)
        copy.last_used_us = self.context.now_us
        copy.missing_since_us = 0
        self.loads.end(entry, worker)

    def record_failure(self, entry: FunctionEntry, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Record an attempt that did not succeed; a requested load goes on unless the connection failed."""
        connect_failed = event.result is Result.CONNECT_FAILED
        if event.result is Result.MISS or event.warmth is Warmth.LOAD_FAILED:
            self._record_miss(entry, attempt, event)
        elif connect_failed or not entry.copy(attempt.worker).load_requested:
            self.loads.end(entry, attempt.worker, lost=connect_failed)

    def record_load_request(self, entry: FunctionEntry, worker: Worker, event: api.LoadRequestEnded) -> None:
        """Record the end of a load request, with the number of copies that are loaded now.

        A successful answer with no copies means that the worker is still loading, so the load stays in
        progress.
        """
        now_us = self.context.now_us
        copy = entry.copy(worker)
        succeeded = event.result is Result.OK
        if copy.load_requested and (event.copies or not succeeded):
            if succeeded:
                update_load_time(entry, event.elapsed_us)
            self.loads.end(entry, worker)
            if event.copies:
                entry.home = event.worker
            else:
                entry.load_started_us = now_us  # delays the next load request, since no copy fits there now
        if succeeded:
            if not self.warm_copies.is_warm(entry, worker):
                copy.last_used_us = now_us
            copy.count = event.copies
            copy.missing_since_us = 0 if event.copies else now_us

    def _record_miss(self, entry: FunctionEntry, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Record that the worker has no copy, and request one there if the cap on loads allows it.

        The call is then held or retried elsewhere.
        """
        copy = entry.copy(attempt.worker)
        copy.missing_since_us = self.context.now_us
        copy.count = 0
        entry.home = ""
        overtook_request = copy.load_requested and attempt.sent_us > copy.load_started_us
        if event.warmth is Warmth.LOAD_FAILED or overtook_request:
            self.loads.end(entry, attempt.worker, lost=True)
        elif not copy.load_started_us and self.load_requests.may_start_load():
            self.load_requests.request_load(entry, attempt.worker)
