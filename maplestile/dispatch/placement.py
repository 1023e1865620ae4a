"""Placement: at which worker a call's next attempt runs, or where a copy is loaded for it.

A function's workers are ranked by weighted rendezvous hashing, alike at all dispatchers. The first of them
are its replicas, as many as its share of the own calls needs; calls overflow to a few more workers.
"""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.outliers import OutlierDetector
from maplestile.dispatch.send_gate import SendGate
from maplestile.dispatch.state import Call, CallTable, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies

# A function's share of the own work is estimated as if so many calls of other functions had come besides,
# so that the first calls after a start do not make each function the whole load.
PRIOR_CALLS = 15.0
REPLICA_WORK_SHARE = 0.33  # part of a mean worker's work that one function brings a replica, at most
REPLICA_UTILIZATION = 0.5  # part of a replica's lanes that the fleet's calls of the function may fill
MAX_CANDIDATES = 8  # workers looked at where none of the drawn replicas can take the call
OVERFLOW_WORKERS = 2  # workers looked at past the replicas
DRAWN_REPLICAS = 3  # replicas drawn for a call, by weight and with repetition
FAIR_SHARE_FACTOR = 2.0  # own calls in flight at one worker, at most, in multiples of the fleet's mean
QUEUED_CALLS_PER_LANE = 2.0  # own calls at a copy, the running ones included, from which none queues there


class Placement:
    """Chooses workers for calls, among those that the send gate admits."""

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
        """How many replicas the function needs, by its share of the own calls but the present one.

        The more of two counts, rounded: that by which no replica gets more than a part of a mean worker's
        work, and that by which the fleet's calls of the function fill a part of the lanes of its copies. At
        scale no single dispatcher fills the lanes, so all of them together are reckoned with.
        """
        own_work = max(0.0, entry.decayed_work - entry.service_us)
        share = own_work / (self.load_rate.decayed_work + PRIOR_CALLS * entry.service_us)
        fleet_work = self.context.settings.router_count * self.load_rate.rate()
        by_lanes = share * (fleet_work / (REPLICA_UTILIZATION * entry.lanes))
        by_work = share * len(self.fleet.index) / REPLICA_WORK_SHARE
        return min(len(self.fleet.index), round(max(1.0, by_work, by_lanes)))

    def choose(self, call: Call) -> Worker | None:
        """The worker for the call's next attempt; None where it has to wait.

        In this order: the function's home if its copy is idle there; the least busy of the candidates with a
        warm copy; a copy that is loading or will be loaded; a place behind other calls. Only workers that the
        send gate admits are chosen.
        """
        entry = call.entry
        home = self.fleet.workers.get(entry.home)
        count = self.replica_count(entry)
        ranked = self.fleet.ranked(entry, count + max(count, OVERFLOW_WORKERS))
        near = ranked[: count + OVERFLOW_WORKERS]
        if count > MAX_CANDIDATES:
            # To look at all replicas of a hot function would cost too much.
            near = self.context.random.sample(near, MAX_CANDIDATES)
        kept_home = self._kept_home(entry, home, ranked, count)
        if kept_home is not None and not entry.copy(kept_home).busy and self.fits(call, kept_home):
            return kept_home
        entry.replica_count = count if kept_home is None else max(count, entry.replica_count)
        # A retry draws as well, without use of it, so that each choice takes equally many draws.
        drawn = self._drawn_replicas(call, ranked[:count])
        candidates = near if call.attempts else drawn
        if kept_home is not None:
            candidates = [*candidates, kept_home]
        fitting = self._fitting(call, candidates, near)
        is_warm = self.warm_copies.is_warm if call.attempts else self.warm_copies.is_inferred_warm
        warm = [worker for worker in fitting if is_warm(entry, worker)]
        if warm:
            return min(warm, key=lambda worker: (worker.busy / worker.entry.weight, worker is not home))
        return self._load_or_queue(call, fitting, near)

    def fits(self, call: Call, worker: Worker) -> bool:
        """The worker can run the call at once, and may get it.

        It has a free lane, no more than its fair share of the own calls, is healthy, and the send gate
        admits the call.
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

    def _kept_home(
        self, entry: FunctionEntry, home: Worker | None, ranked: list[Worker], count: int
    ) -> Worker | None:
        """The function's home, unless it is far down the ranking now, or is given up for a new replica.

        All first calls of a function go to its first replica. So where it has grown from `m` to `n` replicas,
        a home is given up with the probability `1 - m / n`, in one draw that is always taken.
        """
        moves = self.context.random.random() * count > entry.replica_count
        if home is None or moves or home not in ranked[: 2 * count - 1]:
            return None
        return home

    def _drawn_replicas(self, call: Call, replicas: list[Worker]) -> list[Worker]:
        """A few of the replicas, of the own zone where it has any."""
        if not replicas:
            return []
        local = [worker for worker in replicas if worker.entry.zone == call.settings.zone] or replicas
        weights = [worker.entry.weight for worker in local]
        return self.context.random.choices(local, weights, k=DRAWN_REPLICAS)

    def _fitting(self, call: Call, drawn: list[Worker], near: list[Worker]) -> list[Worker]:
        """Those drawn that fit the call, with repetition, or else the others near that do."""
        fits = {worker: self.fits(call, worker) for worker in dict.fromkeys(drawn)}
        fitting = [worker for worker in drawn if fits[worker]]
        return fitting or [worker for worker in near if worker not in fits and self.fits(call, worker)]

    def _load_or_queue(self, call: Call, fitting: list[Worker], near: list[Worker]) -> Worker | None:
        """No warm copy can take the call at once: queue at one, or have another loaded."""
        entry = call.entry
        usable = [worker for worker in near if self.gate.may_send(call, worker)]
        usable.sort(key=lambda worker: (not self.outliers.is_healthy(call, worker), worker.busy))
        queues = self._queues(entry, usable)
        loading = next((worker for worker in queues if worker in fitting), None)
        if loading is not None:
            return loading
        if fitting and self._may_load(entry):
            loadable = next((worker for worker in fitting if self._loads_on_call(call, worker)), None)
            # A turn at a busy copy comes sooner than a load ends; the load then is for the calls after this.
            if loadable is not None and not (queues and self.outliers.is_healthy(call, queues[0])):
                return loadable
            self._request_one_load(entry, fitting)
        if queues:
            return queues[0]
        # Where all near are unhealthy the fault is elsewhere, and their scores must not strand the call.
        return usable[0] if usable and not self.outliers.is_healthy(call, usable[0]) else None

    def _may_load(self, entry: FunctionEntry) -> bool:
        """The cap of loads has room, and the function's last load has had its time."""
        load_is_due = self.context.now_us >= entry.load_started_us + entry.load_us
        return self.load_requests.may_start_load() and load_is_due

    def _request_one_load(self, entry: FunctionEntry, workers: list[Worker]) -> None:
        """Request a load at the first worker for which the gate of load requests admits one."""
        for worker in workers:
            if self.load_requests.request_load(entry, worker):
                return

    def _queues(self, entry: FunctionEntry, usable: list[Worker]) -> list[Worker]:
        """Where the call can wait for a copy: loaded or loading, without too many calls in front."""
        queues = [
            worker
            for worker in usable
            if self.warm_copies.is_warm(entry, worker) or self.warm_copies.is_loading(entry, worker)
        ]
        max_calls = QUEUED_CALLS_PER_LANE * entry.lanes
        return [worker for worker in queues if entry.copy(worker).busy < max_calls]

    def _loads_on_call(self, call: Call, worker: Worker) -> bool:
        """A call may meet the worker without a copy: that loads one, or it is not known to have none."""
        return call.settings.loads_on_miss or not call.entry.copy(worker).missing_since_us
