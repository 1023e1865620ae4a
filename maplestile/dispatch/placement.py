"""Chooses the worker that runs a call's next attempt or loads a copy for it.

Workers are ranked for each function by weighted rendezvous hashing, in the same order at all dispatchers. The
first workers of the ranking are the function's replicas. Their number depends on the function's share of this
dispatcher's work. Calls overflow to a few more workers.
"""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.outliers import OutlierDetector
from maplestile.dispatch.send_gate import SendGate
from maplestile.dispatch.state import Call, CallTable, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies

# A function's share of this dispatcher's work is estimated as if this many more calls of other functions had
# arrived. Without them, the first calls after a start would make each function appear to be the whole load.
PRIOR_CALLS = 15.0
REPLICA_WORK_SHARE = 0.33  # limit on a function's work at each replica, relative to an average worker's work
REPLICA_UTILIZATION = 0.5  # fraction of a replica's lanes that a function's calls in the whole fleet may fill
MAX_CANDIDATES = 8  # workers considered when none of the sampled replicas can take the call
OVERFLOW_WORKERS = 2  # workers considered after the replicas
SAMPLED_REPLICAS = 3  # replicas drawn for a call, by weight and with replacement
FAIR_SHARE_FACTOR = 2.0  # limit on this dispatcher's calls in flight at a worker, relative to the average
QUEUED_CALLS_PER_LANE = 2.0  # limit on this dispatcher's calls at a copy, including those that are running


class Placement:
    """The component that chooses workers for calls, from those that the send gate admits."""

    def __init__(
        self,
        context: Context,
        *,
        fleet: Fleet,
        table: CallTable,
        load_rate: LoadRate,
        warm_copies: WarmCopies,
        load_requests: LoadRequests,
        outliers: OutlierDetector,
        gate: SendGate,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.table = table
        self.load_rate = load_rate
        self.warm_copies = warm_copies
        self.load_requests = load_requests
        self.outliers = outliers
        self.gate = gate

    def replica_count(self, entry: FunctionEntry) -> int:
        """Return how many replicas the function needs, by its share of this dispatcher's work.

        The call that is being placed does not count. The result is the larger of two counts, rounded. With
        the first, no replica gets more than `REPLICA_WORK_SHARE` of an average worker's work. With the
        second, the calls of all dispatchers fill `REPLICA_UTILIZATION` of the lanes of the function's copies:
        in a large fleet, the calls of a single dispatcher never fill them.
        """
        earlier_work = max(0.0, entry.decayed_work - entry.service_us)
        share = earlier_work / (self.load_rate.decayed_work + PRIOR_CALLS * entry.service_us)
        fleet_work = self.context.settings.router_count * self.load_rate.rate()
        by_lanes = share * (fleet_work / (REPLICA_UTILIZATION * entry.lanes))
        by_work = share * len(self.fleet.index) / REPLICA_WORK_SHARE
        return min(len(self.fleet.index), round(max(1.0, by_work, by_lanes)))

    def choose(self, call: Call) -> Worker | None:
        """Return the worker for the call's next attempt, or None if the call has to wait.

        The order of preference is: the function's home, if its copy there is idle; the least busy candidate
        with a warm copy; a worker where a copy is loading or can be loaded; a busy copy where the call waits
        behind others. Only workers that the send gate admits are chosen.
        """
        entry = call.entry
        home = self.fleet.workers.get(entry.home)
        count = self.replica_count(entry)
        ranked = self.fleet.ranked(entry, count + max(count, OVERFLOW_WORKERS))
        shortlist = ranked[: count + OVERFLOW_WORKERS]
        if count > MAX_CANDIDATES:
            # Checking all replicas of a hot function would cost too much.
            shortlist = self.context.random.sample(shortlist, MAX_CANDIDATES)
        kept_home = self._home_to_keep(entry, home, ranked, count)
        if kept_home is not None and not entry.copy(kept_home).busy and self.is_available(call, kept_home):
            return kept_home
        entry.replica_count = count if kept_home is None else max(count, entry.replica_count)
        # A retry draws the sample too, without using it, so that every choice takes the same number of draws.
        sampled = self._sample_replicas(call, ranked[:count])
        candidates = shortlist if call.attempts else sampled
        if kept_home is not None:
            candidates = [*candidates, kept_home]
        available = self._available_workers(call, candidates, shortlist)
        is_warm = self.warm_copies.is_warm if call.attempts else self.warm_copies.is_inferred_warm
        warm = [worker for worker in available if is_warm(entry, worker)]
        if warm:
            return min(warm, key=lambda worker: (worker.busy / worker.entry.weight, worker is not home))
        return self._load_or_queue(call, available, shortlist)

    def is_available(self, call: Call, worker: Worker) -> bool:
        """Return whether the worker may get the call and can run it at once.

        It must be healthy, with a free lane and less than its fair share of this dispatcher's calls, and the
        send gate must admit the call.
        """
        entry = call.entry
        lanes = entry.lanes
        copy = entry.copy(worker)
        if copy.busy >= lanes * max(1, copy.count):
            return False
        calls = FAIR_SHARE_FACTOR * (1 + len(self.table.attempts))
        fair_share = calls * worker.entry.weight / self.fleet.total_weight
        return (
            worker.busy < max(lanes, fair_share)
            and self.outliers.is_healthy(call, worker)
            and self.gate.may_send(call, worker)
        )

    def _home_to_keep(
        self, entry: FunctionEntry, home: Worker | None, ranked: list[Worker], count: int
    ) -> Worker | None:
        """Return the function's home, or None if it ranks too low or is given up for a new replica.

        All dispatchers send a function's first calls to its first replica. To spread the calls when the
        number of replicas grows from `m` to `n`, the home is given up with probability `1 - m / n`. The
        random number is always drawn, even if it is not used.
        """
        is_given_up = self.context.random.random() * count > entry.replica_count
        if home is None or is_given_up or home not in ranked[: 2 * count - 1]:
            return None
        return home

    def _sample_replicas(self, call: Call, replicas: list[Worker]) -> list[Worker]:
        """Return a few random replicas, only those in the dispatcher's own zone if there are any."""
        if not replicas:
            return []
        local = [worker for worker in replicas if worker.entry.zone == call.settings.zone] or replicas
        weights = [worker.entry.weight for worker in local]
        return self.context.random.choices(local, weights, k=SAMPLED_REPLICAS)

    def _available_workers(
        self, call: Call, candidates: list[Worker], shortlist: list[Worker]
    ) -> list[Worker]:
        """Return the available candidates, with duplicates, or else the available rest of the shortlist."""
        availability = {worker: self.is_available(call, worker) for worker in dict.fromkeys(candidates)}
        available = [worker for worker in candidates if availability[worker]]
        return available or [
            worker for worker in shortlist if worker not in availability and self.is_available(call, worker)
        ]

    def _load_or_queue(self, call: Call, available: list[Worker], shortlist: list[Worker]) -> Worker | None:
        """Choose where to load a copy or to queue, since no warm copy can take the call at once."""
        entry = call.entry
        usable = [worker for worker in shortlist if self.gate.may_send(call, worker)]
        usable.sort(key=lambda worker: (not self.outliers.is_healthy(call, worker), worker.busy))
        queueable = self._queueable_workers(entry, usable)
        loading = next((worker for worker in queueable if worker in available), None)
        if loading is not None:
            return loading
        if available and self._may_load(entry):
            loadable = next(
                (worker for worker in available if self._may_send_without_copy(call, worker)), None
            )
            # A busy copy gets to the call before a load would end; the load then serves later calls.
            if loadable is not None and not (queueable and self.outliers.is_healthy(call, queueable[0])):
                return loadable
            self._request_one_load(entry, available)
        if queueable:
            return queueable[0]
        # If all workers of the shortlist are unhealthy, the fault lies elsewhere, and their failure scores
        # must not keep the call waiting.
        return usable[0] if usable and not self.outliers.is_healthy(call, usable[0]) else None

    def _may_load(self, entry: FunctionEntry) -> bool:
        """Return whether a load may start: the cap allows it, and the function's last load should be over."""
        load_is_due = self.context.now_us >= entry.load_started_us + entry.load_us
        return self.load_requests.may_start_load() and load_is_due

    def _request_one_load(self, entry: FunctionEntry, workers: list[Worker]) -> None:
        """Request a load at the first worker at which one is allowed."""
        for worker in workers:
            if self.load_requests.request_load(entry, worker):
                return

    def _queueable_workers(self, entry: FunctionEntry, usable: list[Worker]) -> list[Worker]:
        """Return the usable workers with a loaded or loading copy whose queue has room for another call."""
        with_copy = [
            worker
            for worker in usable
            if self.warm_copies.is_warm(entry, worker) or self.warm_copies.is_loading(entry, worker)
        ]
        max_calls = QUEUED_CALLS_PER_LANE * entry.lanes
        return [worker for worker in with_copy if entry.copy(worker).busy < max_calls]

    def _may_send_without_copy(self, call: Call, worker: Worker) -> bool:
        """Return whether the worker loads a copy when a call arrives, or is not known to lack one."""
        return call.settings.loads_on_miss or not call.entry.copy(worker).missing_since_us
