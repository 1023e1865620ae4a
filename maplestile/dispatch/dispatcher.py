"""Every decision of maplestile, by ADC and docs/design.md; its types stand in maplestile/interface.py."""

import math
from collections.abc import Callable
from random import Random

from maplestile.dispatch import api
from maplestile.dispatch.api import (
    ANSWERS,
    NEVER_RAN,
    DeduplicationScope,
    Idempotency,
    ListKind,
    Result,
    Warmth,
    WorkerState,
)
from maplestile.dispatch.hashing import digest, mixed
from maplestile.dispatch.ranking import RankingIndex
from maplestile.dispatch.recency import OldestFirst
from maplestile.dispatch.state import (
    CACHING,
    MULTIPLE,
    SINGLE,
    Attempt,
    Call,
    Copy,
    Row,
    Window,
    Worker,
    Zone,
)
from maplestile.dispatch.worker_list import relisted

ELSEWHERE = (Result.MISS, Result.FULL)  # these say nothing against a further try at the same worker
BAD = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED)  # symptoms of an unwell worker
ANSWER_TICKS, ANSWER_US = 2, 120_000  # before the budget's end the last answer goes out: busy ones are late
ANSWER_FULL_US = 1_000_000  # budgets from which that is a tenth; the last tenth of a short one is worth more
PAUSE_US = 16_000  # the least such wait, whatever the tick: polling must not eat the processor
PAUSE_TICKS, HELD_SERVICES, HELD_LOADS = 4, 0.2, 0.01  # till a held call's next try: parts of what it awaits
SERVICE_AIMS, LOAD_AIMS = 0.25, 1.0  # of the aim: service and load times until some were seen
LEARN = 0.2  # share of a new sample in every running mean: about the last ten samples count
HEAT_KEEPS, PRIOR_CALLS, COLD_PRIOR = 1.5, 15.0, 5.0  # till heat halves; other calls assumed, at cold ones
SEAT, SEAT_FILL = 0.33, 0.5  # a function's most at a seat: of a mean worker's load, of the lanes by the fleet
NEAR, OVERFLOW, CHOICES = 8, 2, 3  # workers looked at when no drawn seat fits, past the seats; seats drawn
PRESUMED = 2.0  # calls of the other dispatchers expected at a seat in one keep-alive, to presume a copy there
HOLD_SHARE = 0.5  # of the fleet's memory: what all caching lists may hold, the rest is for working copies
LOAD_PART, LOADS_EACH = 0.06, 4  # loads that all may have under way: of that part, at most for each worker
HOLD_LEAD, SWEEPS = 0.7, 20  # of the keep-alive: an idle copy is renewed from then on; looks at it in one
SINGLE_ROWS = 4  # single-list rows for each caching row, so that a second call still meets its first
SILENT_SERVICES, HINTED = 3.0, 2.0  # expected times till silent; of the hinted work, the least expected
SICK_STEP, SICK_AT = 0.5, 0.45  # suspicion that a bad outcome adds in its group; from which a worker is left
SICK_RESET, RESET_TICKS = 0.2, 2  # the same for a broken connection; ticks in which its ends count as one
UNKNOWN_ERRORS = 3  # of a function that was never served: they tell of its name, and of no worker
SICK_KEEPS = 0.7  # keep-alives in which a suspicion halves without news; then calls try the worker again
LOST_WORKERS, LOST_PROBE_US = 4, 500_000  # silent ones of a zone that nobody answers from; between probes
DOWN_US = 1_000_000  # pause at a worker that takes no connection; each further one doubles it
SLOW_MOVES = 2.0  # times the expected service time from which an answer sends the home elsewhere
DRAGS = 1.1  # the logarithm of how many times the fleet's pace makes a worker slow: one call at a time there
RETRY_SHARE, RETRY_BURST = 0.3, 20.0  # further attempts that a call earns, against storms; most saved
RAMP_SAFETY = 0.45  # of the rule's limit that the fleet's sends to a cold worker may fill on the mean
SPELL_US = 2_000_000  # time added to a dispatcher's life, so that its first calls do not read as a rush
ROOM_MEANS, QUEUE_LANES = 2.0, 2.0  # own calls: fleet means at a worker; for each lane, to queue at a copy
FULL_LOADS = 0.2  # of a load: a function's pause at a worker that had no room to load it
FULL_SERVICES, FULL_DOUBLINGS = 0.5, 5  # service times paused after a full answer; the next ones double it
SHED_AT, SHED_GAIN, SHED_MOST = 0.25, 2.0, 0.6  # late share from which calls are refused; how many, at most
LATE_US, LATE_LEARN = 3_000_000, 0.1  # time over which the late share is learned, and the most of one sample
LATER_US = 1_000_000  # how long a refused client is to stay away: at once it would meet the same jam
LATE_WORTH = 0.25  # told worth of a late answer from which none is given up: what its place would earn


class Dispatcher:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.now, self.out, self.memory = 0, list[api.Action](), dict(settings.kind_memory_mb)
        self.random, self.salt = Random(seed), digest(str(seed))
        self.work: dict[str, float] = {}  # learned service time by class
        self.rows, self.workers = dict[str, Row](), dict[str, Worker]()
        self.lists: tuple[dict[str, Row], ...] = ({}, {}, {})
        self.zones: dict[str, Zone] = {}
        self.calls: dict[int, Call] = {}
        self.attempts: dict[tuple[int, int], tuple[Call, Attempt]] = {}
        self.timers: dict[int, Callable[[], object]] = {}
        self.token, self.listed_us, self.capacity, self.late, self.pace = 0, 0, 1, 0.0, 0.0
        self.index, self.oldest = RankingIndex[Worker](), [OldestFirst[Row](place) for place in range(3)]
        self.loads, self.draining = dict[Copy, Worker](), set[str]()
        self.weights, self.retries, self.heat, self.heat_us, self.began_us = 0.0, RETRY_BURST, 0.0, 0, 0
        self.arrivals, self.orders = Window(0), Window(0)  # `adopt` sizes them; orders count at the edge, too
        self.adopt(settings)

    def adopt(self, settings: api.Settings) -> None:
        """Another policy from now on; calls in hand keep the rules that they came under."""
        self.set, self.classes = settings, {c.name: c for c in settings.classes}
        self.keep_alive_us = settings.keep_alive_us or SPELL_US
        self.arrivals.span_us, self.orders.span_us = (
            settings.load_request_window_us,
            settings.load_request_window_us + 1,
        )
        for worker in self.workers.values():
            worker.sends.span_us = settings.overload_window_us

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.now, self.out = now_us, []
        if not self.token:
            self.sweep()
        match event:
            case api.CallArrived():
                self.on_arrival(event)
            case api.AttemptEnded():
                self.on_ended(event)
            case api.LoadRequestEnded():
                self.on_order_ended(event)
            case api.HealthCheckEnded() if event.result is Result.OK and event.worker in self.workers:
                self.heard(self.workers[event.worker].entry.zone)
            case api.TimerFired():
                self.timers.pop(event.token, lambda: None)()
            case api.WorkerListReceived():
                self.on_list(event)
            case api.PolicyChanged(settings):
                self.adopt(settings)
            case api.CallExpired():
                self.close(self.calls.get(event.call))
            case api.ClientDisconnected() if event.call in self.calls:
                self.abandon(self.calls[event.call])
            case api.StreamStarted() if event.call in self.calls:
                self.calls[event.call].streaming = True
        return self.out

    def timer(self, delay_us: float, then: Callable[[], object]) -> None:
        self.token += 1
        self.timers[self.token] = then
        self.out.append(api.SetTimer(self.now + max(1, int(delay_us)), self.token))

    def touch(self, row: Row) -> None:
        # Calls of one tick count as one: a stall's backlog would else lift rare rows past hot ones.
        if row.last_us and self.now > row.last_us:
            row.gap_us = self.now - row.last_us
        self.began_us = self.began_us or self.now
        row.heat = row.heat * self.faded(row.last_us, HEAT_KEEPS) + row.service_us
        self.heat = self.heat * self.faded(self.heat_us, HEAT_KEEPS) + row.service_us
        row.last_us = self.heat_us = self.now
        if not self.lists[CACHING]:  # sized only while empty, so that no row is put out by a new size
            fleet = sum(self.memory.get(w.entry.kind, 0.0) for w in self.workers.values())
            known = [r.memory_mb for r in self.rows.values() if r.memory_mb > 0]
            self.capacity = max(1, int(HOLD_SHARE * fleet * len(known) / sum(known) if known else 0))
        if not row.listed() or not (row.place == CACHING or self.rises(row, row.place + 1)):
            self.settle(row, max(SINGLE, row.place))
        elif row.place == CACHING:
            self.oldest[CACHING].called(row)

    def rises(self, row: Row, place: int) -> bool:
        full = len(self.lists[place]) >= self.capacity
        worst = self.oldest[place].first() if full or place == CACHING else None
        if worst is not None and row.aged() >= worst.aged():
            return False
        self.settle(row, place)
        if full and worst is not None and not (place == CACHING and self.rises(worst, MULTIPLE)):
            self.settle(worst, SINGLE)  # evicted rows drop one list
        return True

    def settle(self, row: Row, place: int) -> None:
        if row.listed():
            del self.lists[row.place][row.function]
        row.place, self.lists[place][row.function] = place, row
        self.oldest[place].settle(row)
        if len(self.lists[SINGLE]) > SINGLE_ROWS * self.capacity:
            oldest = next(iter(self.lists[SINGLE].values()))
            if not oldest.waiting and not oldest.busy:
                self.forget(oldest)

    def forget(self, row: Row) -> None:
        """All that is kept by its name: functions come and go for as long as the process lives."""
        del self.rows[row.function], self.lists[row.place][row.function]
        for copy in row.drop_copies():
            self.loads.pop(copy, None)

    def faded(self, since_us: int, keeps: float) -> float:
        return float(0.5 ** ((self.now - since_us) / (keeps * self.keep_alive_us)))

    def on_list(self, event: api.WorkerListReceived) -> None:
        if self.set.must_poll_list and event.kind in (ListKind.CACHED, ListKind.FAILED):
            self.timer(self.keep_alive_us / SWEEPS, lambda: self.out.append(api.WatchEndpoints()))
        if event.kind is ListKind.FAILED:
            return
        self.workers, started = relisted(self.workers, event, self.set.overload_window_us)
        for worker in started:
            self.heard(worker.entry.zone)  # one that has come up there is news of life
        self.loads = {c: w for c, w in self.loads.items() if self.workers.get(w.entry.worker) is w}
        self.rank()

    def rank(self) -> None:
        """Who may be ranked has changed; a row hears of it at its next call: a deploy brings many lists."""
        listed = [w for w in self.workers.values() if w.entry.state is WorkerState.RUNNING]
        self.draining = {n for n, w in self.workers.items() if w.entry.state is not WorkerState.RUNNING}
        self.weights, self.listed_us = sum([w.entry.weight for w in listed]) or 1.0, self.now
        lost = {zone.name for zone in self.zones.values() if zone.lost}
        self.index.update([w for w in listed if w.entry.zone not in lost] or listed)

    def ranked(self, row: Row, count: int = 1) -> list[Worker]:
        """Weighted rendezvous hashing of function and worker: no seed, so all dispatchers share it."""
        before, fresh = row.ranking[: row.width], row.head.seen != self.index.version
        self.index.refresh(row.head, max(count, row.width))
        if fresh:
            row.keep_copies(self.workers)
        for seat in row.ranking[: row.width] if fresh and before else []:
            if seat not in before:
                row.copy(seat).seated_us = self.listed_us
        return row.ranking

    def width(self, row: Row) -> int:
        """A function's seats, by its share of own calls but this: at scale no dispatcher fills the lanes."""
        share = max(0.0, row.heat - row.service_us) / (self.heat + PRIOR_CALLS * row.service_us)
        fill = self.set.router_count * self.rate() / (SEAT_FILL * row.lanes)
        return min(len(self.index), round(max(1.0, share * len(self.index) / SEAT, share * fill)))

    def rate(self) -> float:
        return self.heat / min(
            self.now - self.began_us + SPELL_US, HEAT_KEEPS * self.keep_alive_us / math.log(2)
        )

    def on_arrival(self, event: api.CallArrived) -> None:
        kind, row = self.classes[event.class_name], self.rows.get(event.function)
        if row is None:
            expected_us = (
                self.work.get(kind.name, SERVICE_AIMS * kind.latency_objective_us),
                LOAD_AIMS * kind.latency_objective_us,
            )
            row = self.rows[event.function] = Row(event.function, digest(event.function), *expected_us)
        row.memory_mb, row.lanes, group = event.memory_mb, max(1, event.lanes), f"{kind.name} {event.tenant}"
        # In overload an answer past its aim is given up: its place goes to a call that can still be in time.
        hurried = (
            self.late > SHED_AT
            and kind.idempotency is Idempotency.IDEMPOTENT
            and kind.late_priority_weight < LATE_WORTH
        )
        budget_us = min(event.budget_us, kind.latency_objective_us) if hurried else event.budget_us
        tenth_us = int(min(1.0, budget_us / ANSWER_FULL_US) * budget_us) // 10
        due_us = self.now + max(0, budget_us - max(ANSWER_TICKS * self.set.tick_us, min(ANSWER_US, tenth_us)))
        call = Call(event.call, row, kind, group, self.now, due_us, self.set, event.cost_us)
        self.calls[call.id] = call
        self.arrivals.add(self.now)
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.touch(row)
        self.timer(due_us - self.now, lambda: self.finish(call))
        # Overload, a lost zone, repeats in storms: fewer in time beat all late. Slow workers shed little.
        shed = min(SHED_MOST, SHED_GAIN * (self.late - SHED_AT)) * (1 + event.repeat)
        (self.finish if self.random.random() < shed else self.route)(call)

    def route(self, call: Call, second: bool = False) -> None:
        if not call.open or (call.outstanding() and not second):
            return
        worker = self.choose(call)
        if worker is not None:
            self.send(call, worker)
        elif not second:
            self.hold(call)

    def hold(self, call: Call) -> None:
        call.row.waiting[call.id] = call
        late = self.now > call.since_us + call.kind.latency_objective_us and self.may_refuse(call)
        lost = not any(self.repeatable(call, w) for w in self.workers.values())
        if late or lost:
            self.finish(call)  # where it may go nowhere any more, waiting brings no worker
        elif self.now >= call.row.retry_us:  # one timer a row: held calls must not storm the module
            wait_us = int(max(PAUSE_US, HELD_SERVICES * call.row.service_us, HELD_LOADS * call.row.load_us))
            call.row.retry_us = self.now + wait_us
            self.timer(wait_us, lambda: self.wake(call.row))

    def wake(self, row: Row) -> None:
        for held in list(row.waiting.values()):
            self.route(row.waiting.pop(held.id, held))
            if held.id in row.waiting:
                return  # back at the end: one try a wake, and it must not block others

    def choose(self, call: Call) -> Worker | None:
        row, home, width = call.row, self.workers.get(call.row.home), self.width(call.row)
        ranked = self.ranked(row, width + max(width, OVERFLOW))
        seats, near = ranked[:width], ranked[: width + OVERFLOW]
        if width > NEAR:
            near = self.random.sample(near, NEAR)  # all seats of a hot function cost too much
        # As seats are added a part of the homes moves there: all dispatchers' first calls went to the first.
        grown = self.random.random() * width > row.width
        known = home is not None and not grown and home in ranked[: 2 * width - 1]
        if home is not None and known and not row.copy(home).busy and self.fits(call, home):
            return home
        row.width = max(width, known * row.width)
        seats = [w for w in seats if w.entry.zone == call.rules.zone] or seats
        drawn = seats and self.random.choices(seats, [w.entry.weight for w in seats], k=CHOICES)
        drawn = [*(near if call.attempts else drawn), *([home] if home is not None and known else [])]
        fits = {w: self.fits(call, w) for w in dict.fromkeys(drawn)}  # the same ones are drawn often
        fit = [w for w in drawn if fits[w]] or [w for w in near if w not in fits and self.fits(call, w)]
        warm = [w for w in fit if (self.is_warm if call.attempts else self.presumed)(row, w)]
        if warm:
            return min(warm, key=lambda w: (w.busy / w.entry.weight, w is not home))
        return self.load_at(call, fit, near)

    def fits(self, call: Call, worker: Worker) -> bool:
        lanes, copy = call.row.lanes, call.row.copy(worker)
        if copy.busy >= lanes * max(1, copy.count):
            return False
        room = ROOM_MEANS * (1 + len(self.attempts)) * worker.entry.weight / self.weights
        return worker.busy < max(lanes, room) and self.well(call, worker) and self.may_send(call, worker)

    def presumed(self, row: Row, worker: Worker) -> bool:
        """A copy stands there by own knowledge, or by the calls that the others must have sent there."""
        copy = row.copy(worker)
        if self.is_warm(row, worker):
            return True
        if copy.absent_us and self.now < copy.absent_us + self.keep_alive_us:
            return False
        # One that has just started knows of no copy, and must not hold calls until it has loaded what stands.
        young = self.now < self.began_us + self.keep_alive_us and not row.home
        if young and worker is self.ranked(row)[0] and not copy.loading_us:
            return True
        if worker not in row.ranking[: row.width]:
            return False  # an overflow of theirs is rare
        # At a seat of a new list their calls have had little time to load it.
        seated_us = self.now - copy.seated_us - row.load_us if copy.seated_us else self.keep_alive_us
        return self.used_by_others(row, max(0.0, min(1.0, seated_us / self.keep_alive_us)))

    def used_by_others(self, row: Row, keeps: float = 1.0) -> bool:
        """The other dispatchers' calls load each seat's copy, and renew it, in so many keep-alives."""
        others = (self.set.router_count - 1) * row.heat / (HEAT_KEEPS * row.service_us)
        return keeps * others > PRESUMED * row.width

    def load_at(self, call: Call, fit: list[Worker], near: list[Worker]) -> Worker | None:
        row = call.row
        usable = [w for w in near if self.may_send(call, w)]
        usable.sort(key=lambda w: (not self.well(call, w), w.busy))
        waits = [w for w in usable if self.is_warm(row, w) or self.load_reached(row, w)]
        waits = [w for w in waits if row.copy(w).busy < QUEUE_LANES * row.lanes]
        joined = next((w for w in waits if w in fit), None)
        if joined is not None:
            return joined
        if fit and self.may_load() and self.now >= row.loading_us + row.load_us:
            untold = next((w for w in fit if call.rules.loads_on_miss or not row.copy(w).absent_us), None)
            # A turn at a busy copy comes sooner than a load ends; the load then is for the calls after this.
            if untold is not None and not (waits and self.well(call, waits[0])):
                return untold
            any(self.order(row, w) for w in fit)  # the first that takes it
        # Where all near are suspected the fault is elsewhere, and suspicion must not strand the call.
        return next(iter(waits or [w for w in usable[:1] if not self.well(call, w)]), None)

    def is_warm(self, row: Row, worker: Worker) -> bool:
        copy = row.copy(worker)
        return copy.count > 0 and (copy.busy > 0 or self.now < copy.used_us + self.keep_alive_us)

    def load_reached(self, row: Row, worker: Worker) -> bool:
        """A load is under way and its order, if any, has reached the worker: calls wait there."""
        copy, way_us = row.copy(worker), PAUSE_TICKS * self.set.tick_us
        return copy.loading_us > 0 and self.now >= copy.loading_us + way_us * copy.ordered

    def may_load(self) -> bool:
        """Own loads under way stay under this dispatcher's part of the fleet, in workers or in copies."""
        fleet = max(len(self.workers), min(int(LOAD_PART * self.capacity), LOADS_EACH * len(self.workers)))
        return len(self.loads) < max(2, fleet // max(1, self.set.router_count))

    def running(self, worker: Worker) -> bool:
        """Rule 3, kept without using the grace: nothing new once told of a drain."""
        return worker.entry.state is WorkerState.RUNNING and self.workers.get(worker.entry.worker) is worker

    def may_send(self, call: Call, worker: Worker) -> bool:
        """One gate before every send, retry and second copy: rules 1 to 4."""
        if call.over(self.now) or not self.running(worker):
            return False
        row, paused_us = call.row, max(worker.full_us.get(call.group, 0), worker.full_us.get("", 0))
        room = self.now >= worker.laden_us or self.is_warm(row, worker) or row.copy(worker).loading_us
        if self.now < paused_us or not room:
            return False
        twice = call.outstanding() and not call.rules.may_hedge
        if call.attempts and (twice or not self.repeatable(call, worker)):
            return False
        least = row.width * (self.heat + COLD_PRIOR * row.service_us) / row.heat
        least = min(1.0, least * worker.entry.weight / self.weights)
        return self.ramp_allows(worker, call.rules, math.inf if call.attempts else row.service_us, least)

    def repeatable(self, call: Call, worker: Worker) -> bool:
        """Rule 1: where a call that went out before may ever go again."""
        ran = call.ran()
        met = [a.result for a in call.attempts if a.worker is worker and a.result not in ELSEWHERE]
        tried = met and met != [Result.RESET]  # a connection that broke says little of the worker
        if tried or len(call.attempts) >= call.rules.max_attempts or not self.running(worker):
            return False
        return (
            not ran or call.kind.idempotency is Idempotency.IDEMPOTENT or self.drops(call, ran, worker.entry)
        )

    def drops(self, call: Call, ran: list[Attempt], entry: api.WorkerEntry) -> bool:
        """A keyed call goes again only where its repeats are dropped, and only while they are remembered."""
        kind, first = call.kind, ran[0].worker.entry
        same = (
            first.zone == entry.zone
            if kind.deduplication_scope is DeduplicationScope.ZONE
            else first.cell == entry.cell
        )
        return self.now + call.rules.tick_us < call.kept_us() and (
            same or kind.deduplication_scope is DeduplicationScope.ALL
        )

    def ramp_allows(self, worker: Worker, rules: api.Settings, work_us: float, least: float) -> bool:
        """Rule 4 for the fleet: each sends a part of its usual calls, or of `least`, rounded by a draw of its
        own for each span. Loads have no least: they ask till they may. Storms tell endless work."""
        risen = max(0, self.now - worker.entry.started_us) / max(
            1, rules.slow_start_us
        )  # evenly, at the slowest
        if not worker.entry.started_us or risen >= 1:
            return True
        part = (
            RAMP_SAFETY
            * rules.overload_multiple
            * (rules.slow_start_share + (1 - rules.slow_start_share) * risen)
        )
        usual_us = self.rate() * rules.overload_window_us * worker.entry.weight / self.weights
        drawn = mixed(
            self.salt ^ worker.salt, digest(str((self.now + self.salt) // max(1, rules.overload_window_us)))
        )
        return worker.sends.total(self.now) + drawn * work_us < part * max(least * work_us, usual_us)

    def order(self, row: Row, worker: Worker, renew: bool = False) -> bool:
        """The one gate of every order to load: rules 3 and 5."""
        ration = self.set.load_requests_free + self.set.load_requests_per_call * self.arrivals.total(self.now)
        rationed = self.set.load_request_window_us > 0 and self.orders.total(self.now) + 1 > ration
        ramped = self.running(worker) and self.ramp_allows(worker, self.set, row.service_us, 0)
        if not self.set.may_request_loads or rationed or not ramped:
            return False
        if renew:
            row.copy(worker).used_us = self.now
        else:
            self.load_begins(row, worker, ordered=True)
        self.orders.add(self.now)
        worker.sends.add(self.now, row.service_us)
        self.out.append(api.RequestLoad(worker.entry.worker, row.function, 1))
        return True

    def load_begins(self, row: Row, worker: Worker, ordered: bool) -> None:
        copy = row.copy(worker)
        self.loads[copy], copy.loading_us, copy.ordered, row.loading_us = worker, self.now, ordered, self.now

    def load_over(self, row: Row, worker: Worker, lost: bool = False) -> None:
        copy = row.copy(worker)
        self.loads.pop(copy, None)
        copy.loading_us, copy.ordered, copy.count, row.loading_us = 0, False, 0 if lost else copy.count, 0

    def send(self, call: Call, worker: Worker) -> None:
        row, copy, loads = call.row, call.row.copy(worker), not self.is_warm(call.row, worker)
        if loads and call.rules.loads_on_miss and not copy.loading_us and not self.presumed(row, worker):
            self.load_begins(row, worker, ordered=False)
        left_us, kept_us = call.due_us - self.now, call.kept_us()
        attempt = Attempt(len(call.attempts), worker, self.now, loads)
        call.attempts.append(attempt)
        self.attempts[call.id, attempt.number] = (call, attempt)
        row.waiting.pop(call.id, None)
        for busy in (copy, row, worker):
            busy.busy += 1
        worker.sends.add(self.now, row.service_us)
        self.out.append(api.SendAttempt(call.id, worker.entry.worker, left_us, call.rules.epoch, kept_us))
        patience_us = SILENT_SERVICES * self.expected(call) + (row.load_us if loads else 0)
        if self.now + patience_us < call.due_us:  # else over by then: a timer would only hold the call
            self.timer(patience_us, lambda: self.on_silent(call, attempt))

    def expected(self, call: Call) -> float:
        """A long call is no sign of a slow or silent worker: its own hint counts where it says more."""
        return max(call.row.service_us, HINTED * call.hint_us)

    def on_ended(self, event: api.AttemptEnded) -> None:
        if (event.call, event.attempt) not in self.attempts:
            return  # late, repeated or from an earlier life
        call, attempt = self.attempts.pop((event.call, event.attempt))
        row, worker = call.row, attempt.worker
        copy, attempt.result = row.copy(worker), event.result
        for busy in (copy, row, worker):
            busy.busy -= 1
        if event.result in ANSWERS:
            self.heard(worker.entry.zone)
        elif event.result is Result.CONNECT_FAILED:
            self.quiet(attempt)
        self.judge(call, attempt, event)
        if event.result is Result.OK:
            self.learn(call, attempt, event)
        elif event.result is Result.MISS or event.warmth is Warmth.LOAD_FAILED:
            self.on_miss(row, attempt, event)
        elif event.result is Result.CONNECT_FAILED or not copy.ordered:
            self.load_over(row, worker, lost=event.result is Result.CONNECT_FAILED)
        if event.call_ended:
            self.close(call)
        elif call.open and not call.outstanding():
            self.again(call, event.result)
        self.wake(row)

    def on_miss(self, row: Row, attempt: Attempt, event: api.AttemptEnded) -> None:
        """The design's miss answer: order the load there, own loads capped; then wait or move on."""
        copy = row.copy(attempt.worker)
        copy.absent_us, copy.count, row.home = self.now, 0, ""
        if event.warmth is Warmth.LOAD_FAILED or (copy.ordered and attempt.sent_us > copy.loading_us):
            self.load_over(row, attempt.worker, lost=True)
        elif not copy.loading_us and self.may_load():
            self.order(row, attempt.worker)

    def learn(self, call: Call, attempt: Attempt, event: api.AttemptEnded) -> None:
        row, worker, copy, name = call.row, attempt.worker, call.row.copy(attempt.worker), call.kind.name
        stood = not attempt.loads if event.warmth is Warmth.UNKNOWN else event.warmth is Warmth.WARM
        slow = stood and event.elapsed_us > SLOW_MOVES * self.expected(call)
        self.learn_late(call, self.now > call.since_us + call.kind.latency_objective_us)
        if stood:
            usual_us = call.hint_us or row.service_us
            worker.pace += LEARN * (math.log(max(1, event.elapsed_us) / usual_us) - worker.pace)
            row.service_us += LEARN * (event.elapsed_us - row.service_us)
            self.work[name] = (1 - LEARN) * self.work.get(name, row.service_us) + LEARN * event.elapsed_us
        elif event.warmth is not Warmth.UNKNOWN or copy.loading_us:
            row.load_us += LEARN * (max(0.0, event.elapsed_us - row.service_us) - row.load_us)
        copy.count, copy.used_us, copy.absent_us = max(1, copy.count), self.now, 0
        self.load_over(row, worker)
        row.home = "" if slow else worker.entry.worker

    def learn_late(self, call: Call, late: bool) -> None:
        # What silent workers or loads made late tells of these, and of no overload.
        silent = any(a.result not in ANSWERS and self.unheard(a) for a in call.attempts)
        if silent or (late and all(a.loads for a in call.attempts)):
            return
        self.late += min(LATE_LEARN, call.row.service_us / (LATE_US * self.rate())) * (late - self.late)

    def again(self, call: Call, result: Result) -> None:
        """A further attempt, out of the retry budget; an unsafe call that may have run is at its end."""
        unsafe = call.kind.idempotency is Idempotency.NOT_IDEMPOTENT
        unknown = call.row.errors >= UNKNOWN_ERRORS
        if unsafe and call.ran() or unknown or call.abandoned:
            self.finish(call)
        elif result is Result.MISS or self.retries < 1.0:
            self.hold(call)
        else:
            self.retries -= 1.0
            self.route(call)

    def on_order_ended(self, event: api.LoadRequestEnded) -> None:
        row, worker = self.rows.get(event.function), self.workers.get(event.worker)
        if row is None or worker is None:
            return
        copy = row.copy(worker)
        if copy.ordered and (event.copies or event.result is not Result.OK):
            row.load_us += LEARN * (event.result is Result.OK) * (event.elapsed_us - row.load_us)
            self.load_over(row, worker)
            row.loading_us = 0 if event.copies else self.now  # no new order at once where none fits
            row.home = event.worker if event.copies else row.home
        if event.result is Result.OK:
            copy.used_us = copy.used_us if self.is_warm(row, worker) else self.now
            copy.count, copy.absent_us = event.copies, 0 if event.copies else self.now
        self.wake(row)

    def on_silent(self, call: Call, attempt: Attempt) -> None:
        """No answer in several expected times, perhaps to anybody: it hangs or is slow; move the call."""
        if attempt.result is not None or not call.open or call.streaming:
            return
        silent = self.unheard(attempt, call.group)
        if silent:
            self.suspect(call, attempt.worker, SICK_STEP)
            self.quiet(attempt)
        if self.retries < 1.0 or call.kind.idempotency is Idempotency.NOT_IDEMPOTENT:
            return
        if call.rules.may_hedge and len(call.outstanding()) < 2:
            self.retries -= 1.0
            self.route(call, second=True)
        elif call.rules.may_cancel and silent and not call.rules.may_hedge:
            self.out.append(api.CancelAttempt(call.id, attempt.number))

    def unheard(self, attempt: Attempt, group: str = "") -> bool:
        return attempt.worker.heard_us.get(group, 0) <= attempt.sent_us

    def quiet(self, attempt: Attempt) -> None:
        """Guards calls against a zone lost as a whole: one by one its workers cost a call each."""
        zone = self.zones[attempt.worker.entry.zone]
        if zone.heard_us > attempt.sent_us or not self.set.may_probe:
            return
        zone.silent.add(attempt.worker.entry.worker)
        self.turn(zone)

    def heard(self, name: str) -> None:
        zone = self.zones.get(name) or self.zones.setdefault(name, Zone(name))
        zone.heard_us = self.now
        zone.silent.clear()
        self.turn(zone)

    def turn(self, zone: Zone) -> None:
        if zone.lost != (len(zone.silent) >= LOST_WORKERS):
            zone.lost = not zone.lost
            self.rank()
            self.out.append(
                api.WriteLog(f"zone {zone.name} {'is silent' if zone.lost else 'is heard again'}")
            )

    def abandon(self, call: Call) -> None:
        call.abandoned = True  # nothing more begins for it; what is out may end, and is its answer
        if not call.outstanding():
            self.finish(call)

    def finish(self, call: Call) -> None:
        if not call.open or call.streaming:
            return
        if self.now >= min(call.due_us, call.since_us + call.kind.latency_objective_us):
            self.learn_late(call, True)
        self.out.append(api.RejectCall(call.id, LATER_US) if self.may_refuse(call) else api.FailCall(call.id))
        self.close(call)

    def may_refuse(self, call: Call) -> bool:
        """Rule 2: refused only where trying again is truly harmless."""
        harmless = call.kind.idempotency is Idempotency.IDEMPOTENT or all(
            a.result in NEVER_RAN for a in call.attempts
        )
        return harmless or (
            call.kind.idempotency is Idempotency.WITH_KEY
            and call.kind.deduplication_scope is DeduplicationScope.ALL
        )

    def close(self, call: Call | None) -> None:
        if call is None or self.calls.pop(call.id, None) is None:
            return
        call.open = False
        call.row.waiting.pop(call.id, None)
        if call.rules.may_cancel and not call.streaming:
            self.out.extend(api.CancelAttempt(call.id, a.number) for a in call.outstanding())

    def judge(self, call: Call, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Symptoms by worker and group, a class of one tenant: some troubles hit one and spare the others."""
        worker = attempt.worker
        if event.result is Result.FULL and attempt.loads:
            # No room for one more load there: that bars loads, and no call of what stands loaded.
            worker.laden_us, call.row.home = self.now + int(FULL_LOADS * call.row.load_us), ""
        elif event.result is Result.FULL:
            self.pause(worker, call.group, FULL_SERVICES * call.row.service_us)
            call.row.home = ""
        elif event.result is Result.ERROR and not call.row.good:
            call.row.errors += 1
        elif event.result in BAD and event.warmth is not Warmth.LOAD_FAILED:
            self.suspect(call, worker, SICK_STEP)
            if event.result is Result.CONNECT_FAILED:
                self.pause(worker, "", DOWN_US)
        elif event.result is Result.RESET and self.now >= worker.reset_us + RESET_TICKS * self.set.tick_us:
            # One symptom, whatever it carried, and as likely the network's; its copies stand.
            worker.reset_us = self.now
            self.suspect(call, worker, SICK_RESET)
        elif event.result is Result.OK:
            call.row.good, call.row.errors = True, 0
            worker.heard_us[call.group] = worker.heard_us[""] = self.now
            for told in (worker.fulls, worker.full_us, worker.sick):
                for group in (call.group, ""):
                    told.pop(group, None)

    def pause(self, worker: Worker, group: str, first_us: float) -> None:
        if self.now < worker.full_us.get(group, 0):
            return  # all that one connection carried counts as one
        worker.fulls[group] = min(FULL_DOUBLINGS, worker.fulls.get(group, -1) + 1)
        worker.full_us[group] = self.now + int(first_us * 2 ** worker.fulls[group])

    def suspect(self, call: Call, worker: Worker, step: float) -> None:
        for group, part in ((call.group, step), ("", step / 2)):
            worker.sick[group] = (part + (1 - part) * self.suspicion(worker, group), self.now)
        if call.row.home == worker.entry.worker and not self.well(call, worker):
            call.row.home = ""

    def suspicion(self, worker: Worker, group: str) -> float:
        value, since_us = worker.sick.get(group, (0.0, 0))
        return value * self.faded(since_us, SICK_KEEPS)

    def well(self, call: Call, worker: Worker) -> bool:
        if worker.busy and worker.pace > self.pace + DRAGS:
            return False
        return not worker.sick or max(self.suspicion(worker, g) for g in (call.group, "")) < SICK_AT

    def avoids(self, worker: Worker) -> bool:
        """By choice, and for all calls: it is suspected, takes no connection, or its zone is lost."""
        unwell = self.suspicion(worker, "") >= SICK_AT or self.now < worker.full_us.get("", 0)
        return unwell or self.zones[worker.entry.zone].lost

    def sweep(self) -> None:
        self.timer(self.keep_alive_us / SWEEPS, self.sweep)
        self.pace = sorted([0.0, *(w.pace for w in self.workers.values())])[(len(self.workers) + 1) // 2]
        for zone in [z for z in self.zones.values() if z.lost and self.now >= z.probe_us]:
            zone.probe_us = self.now + LOST_PROBE_US
            there = [w for w in self.workers.values() if w.entry.zone == zone.name and self.running(w)]
            if there:
                self.out.append(api.SendHealthCheck(self.random.choice(there).entry.worker))
        for row in [*self.lists[CACHING].values(), *self.lists[MULTIPLE].values()] if self.draining else []:
            if row.home in self.draining:
                self.move(row)
        for row in self.lists[CACHING].values():
            w = self.workers.get(row.home)  # what others use is theirs to keep: forty routers renewed it
            if w is None or row.copy(w).busy or not self.is_warm(row, w) or self.used_by_others(row):
                continue
            if self.now >= row.copy(w).used_us + HOLD_LEAD * self.keep_alive_us:
                self.order(row, w, True)

    def move(self, row: Row) -> None:
        seat = next(iter(self.ranked(row)), None)
        if seat is None or self.is_warm(row, seat) or row.copy(seat).loading_us or not self.may_load():
            return
        self.order(row, seat)
