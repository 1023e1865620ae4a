"""What sends, answers and load requests show of a function's copies at a worker."""

from maplestile.dispatch import api
from maplestile.dispatch.api import Result, Warmth
from maplestile.dispatch.context import Context
from maplestile.dispatch.estimates import learn_load_time
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.loads import LoadsUnderWay
from maplestile.dispatch.state import Attempt, Call, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies


class CopyRecords:
    """Keeps the records of copies, of loads under way and of each function's home up to date."""

    def __init__(
        self,
        context: Context,
        *,
        loads: LoadsUnderWay,
        warm_copies: WarmCopies,
        load_requests: LoadRequests,
    ) -> None:
        self.context = context
        self.loads = loads
        self.warm_copies = warm_copies
        self.load_requests = load_requests

    def record_send(self, call: Call, worker: Worker) -> bool:
        """A call goes to the worker; returns whether no copy is known there, so that it needs a load.

        Where the worker loads a copy on a miss, the call itself brings that load about.
        """
        entry = call.entry
        needs_load = not self.warm_copies.is_warm(entry, worker)
        loads_now = needs_load and call.settings.loads_on_miss and not entry.copy(worker).load_started_us
        if loads_now and not self.warm_copies.is_inferred_warm(entry, worker):
            self.loads.begin(entry, worker, requested=False)
        return needs_load

    def record_answer(self, entry: FunctionEntry, worker: Worker) -> None:
        """The worker has given a good answer: it holds a copy, and no load is under way there."""
        copy = entry.copy(worker)
        copy.count = max(1, copy.count)
        copy.last_used_us = self.context.now_us
        copy.missing_since_us = 0
        self.loads.end(entry, worker)

    def record_failure(self, entry: FunctionEntry, attempt: Attempt, event: api.AttemptEnded) -> None:
        """An attempt has ended without a good answer; a requested load outlives it, but for a lost worker."""
        connect_failed = event.result is Result.CONNECT_FAILED
        if event.result is Result.MISS or event.warmth is Warmth.LOAD_FAILED:
            self._record_miss(entry, attempt, event)
        elif connect_failed or not entry.copy(attempt.worker).load_requested:
            self.loads.end(entry, attempt.worker, lost=connect_failed)

    def record_load_request(self, entry: FunctionEntry, worker: Worker, event: api.LoadRequestEnded) -> None:
        """A load request has ended: take in how many copies are loaded now.

        An answer without an error and without a copy leaves the load under way: the worker still loads.
        """
        now_us = self.context.now_us
        copy = entry.copy(worker)
        succeeded = event.result is Result.OK
        if copy.load_requested and (event.copies or not succeeded):
            if succeeded:
                learn_load_time(entry, event.elapsed_us)
            self.loads.end(entry, worker)
            if event.copies:
                entry.home = event.worker
            else:
                entry.load_started_us = now_us  # no new request at once where no copy fits
        if succeeded:
            if not self.warm_copies.is_warm(entry, worker):
                copy.last_used_us = now_us
            copy.count = event.copies
            copy.missing_since_us = 0 if event.copies else now_us

    def _record_miss(self, entry: FunctionEntry, attempt: Attempt, event: api.AttemptEnded) -> None:
        """The worker has no copy: request one there, under the cap of loads; the call waits or moves on."""
        copy = entry.copy(attempt.worker)
        copy.missing_since_us = self.context.now_us
        copy.count = 0
        entry.home = ""
        overtook_request = copy.load_requested and attempt.sent_us > copy.load_started_us
        if event.warmth is Warmth.LOAD_FAILED or overtook_request:
            self.loads.end(entry, attempt.worker, lost=True)
        elif not copy.load_started_us and self.load_requests.may_start_load():
            self.load_requests.request_load(entry, attempt.worker)
