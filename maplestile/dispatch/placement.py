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

PRIOR_CALLS = 15.0  # own calls of other functions assumed besides, when its share of the work is estimated
REPLICA_WORK_SHARE = 0.33  # of a mean worker's work: a function's most at one replica
REPLICA_UTILIZATION = 0.5  # of a replica's lanes that the fleet's calls of the function may fill
CANDIDATES_MOST = 8  # workers looked at, when none of the drawn replicas can take the call
OVERFLOW_WORKERS = 2  # workers looked at past the replicas
DRAWN_REPLICAS = 3  # replicas drawn for a call, by weight and with repetition
FAIR_SHARE_FACTOR = 2.0  # own calls at one worker, in the mean over the fleet
QUEUED_CALLS_PER_LANE = 2.0  # own calls at a copy, the running ones included, up to which a call queues there


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
        """The function's replicas, by its share of the own calls but the present one.

        At scale no single dispatcher fills the lanes, so all of them together are reckoned with.
        """
        own = max(0.0, entry.decayed_work - entry.service_us)
        share = own / (self.load_rate.decayed_work + PRIOR_CALLS * entry.service_us)
        fleet_work = self.context.settings.router_count * self.load_rate.rate()
        by_lanes = share * (fleet_work / (REPLICA_UTILIZATION * entry.lanes))
        by_work = share * len(self.fleet.index) / REPLICA_WORK_SHARE
        return min(len(self.fleet.index), round(max(1.0, by_work, by_lanes)))

    def choose(self, call: Call) -> Worker | None:
        """The worker for the call's next attempt; None where it has to wait."""
        random = self.context.random
        entry = call.entry
        home = self.fleet.workers.get(entry.home)
        count = self.replica_count(entry)
        ranked = self.fleet.ranked(entry, count + max(count, OVERFLOW_WORKERS))
        near = ranked[: count + OVERFLOW_WORKERS]
        if count > CANDIDATES_MOST:
            near = random.sample(near, CANDIDATES_MOST)  # all replicas of a hot function cost too much
        # As replicas are added a part of the homes moves there: all first calls went to the first replica.
        grown = random.random() * count > entry.replica_count
        keeps_home = home is not None and not grown and home in ranked[: 2 * count - 1]
        if home is not None and keeps_home and not entry.copy(home).busy and self.fits(call, home):
            return home
        entry.replica_count = max(count, keeps_home * entry.replica_count)
        # A retry draws as well, without use of it, so that each choice takes equally many draws.
        drawn = self._drawn_replicas(call, ranked[:count])
        if call.attempts:
            drawn = near
        if home is not None and keeps_home:
            drawn = [*drawn, home]
        fitting = self._fitting(call, drawn, near)
        is_warm = self.warm_copies.is_warm if call.attempts else self.warm_copies.is_inferred_warm
        warm = [worker for worker in fitting if is_warm(entry, worker)]
        if warm:
            return min(warm, key=lambda worker: (worker.busy / worker.entry.weight, worker is not home))
        return self._load_or_queue(call, fitting, near)

    def fits(self, call: Call, worker: Worker) -> bool:
        """The worker can run the call at once, and may get it."""
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
        settled = self.context.now_us >= entry.load_started_us + entry.load_us
        if fitting and self.load_requests.may_start_load() and settled:
            loadable = next((worker for worker in fitting if self._loads_on_call(call, worker)), None)
            # A turn at a busy copy comes sooner than a load ends; the load then is for the calls after this.
            if loadable is not None and not (queues and self.outliers.is_healthy(call, queues[0])):
                return loadable
            any(
                self.load_requests.request_load(entry, worker) for worker in fitting
            )  # until one is requested
        if queues:
            return queues[0]
        # Where all near are unhealthy the fault is elsewhere, and their scores must not strand the call.
        return usable[0] if usable and not self.outliers.is_healthy(call, usable[0]) else None

    def _queues(self, entry: FunctionEntry, usable: list[Worker]) -> list[Worker]:
        """Where the call can wait for a copy: loaded or loading, without too many calls in front."""
        queues = [
            worker
            for worker in usable
            if self.warm_copies.is_warm(entry, worker) or self.warm_copies.is_loading(entry, worker)
        ]
        calls_most = QUEUED_CALLS_PER_LANE * entry.lanes
        return [worker for worker in queues if entry.copy(worker).busy < calls_most]

    def _loads_on_call(self, call: Call, worker: Worker) -> bool:
        """A call may meet the worker without a copy: that loads one, or it is not known to have none."""
        return call.settings.loads_on_miss or not call.entry.copy(worker).missing_since_us
