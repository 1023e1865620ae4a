"""Passes each event to the component that handles it, and returns the resulting actions.

The dispatcher reads no clock, file or socket: each event comes with the current time, and timers are set by
actions. The same events with the same seed give the same actions. This depends on the order in which the
components draw random numbers.
"""

from random import Random

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import ListKind, Result
from maplestile.dispatch.call_router import CallRouter
from maplestile.dispatch.context import Context
from maplestile.dispatch.copy_records import CopyRecords
from maplestile.dispatch.estimates import ServiceTimeEstimates
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest
from maplestile.dispatch.intake import CallIntake
from maplestile.dispatch.keep_warm import KeepWarm
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.loads_in_progress import LoadsInProgress
from maplestile.dispatch.outcomes import OutcomeRecorder
from maplestile.dispatch.outliers import OutlierDetector
from maplestile.dispatch.placement import Placement
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.send_gate import SendGate
from maplestile.dispatch.served_rate import ServedRate
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import Attempt, Call, CallTable, Worker
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.dispatch.warm_copies import WarmCopies
from maplestile.dispatch.worker_health import WorkerHealth
from maplestile.dispatch.zone_failure import ZoneFailureDetector

SWEEPS_PER_KEEP_ALIVE = 20  # runs of the periodic work, and polls of the worker list, per keep-alive time


class Dispatcher:
    """The decision-making part of one router: it handles events and returns actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = Context(settings, Random(seed), salt=digest(str(seed)))
        self._create_records()
        self._create_worker_rules()
        self._create_load_rules()
        self._create_call_rules()

    def take_cancelled_timers(self) -> list[int]:
        """Return the tokens of the timers that the last event has cancelled, for a driver that can drop them.

        A driver may also let them fire: they do nothing.
        """
        return self.context.cancelled_timers

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle one event and return the actions to take, in order.

        The first event also starts the periodic work, which then sets its own next timer on each run.
        """
        context = self.context
        context.now_us = now_us
        actions = context.actions = []
        context.cancelled_timers = []
        if not context.last_token:
            self._sweep()
        match event:
            case api.CallArrived():
                self.intake.on_arrival(event)
            case api.AttemptEnded():
                self.outcomes.on_attempt_ended(event)
            case api.LoadRequestEnded():
                self.outcomes.on_load_request_ended(event)
            case api.TimerFired():
                context.fire_timer(event.token)
            case api.WorkerListReceived():
                self._on_worker_list(event)
            case api.PolicyChanged(settings):
                self.apply_settings(settings)
            case api.HealthCheckEnded():
                self._on_health_check_ended(event)
            case api.CallExpired() | api.ClientDisconnected() | api.StreamStarted():
                self._on_call_event(event)
        return actions

    def apply_settings(self, settings: api.Settings) -> None:
        """Use the settings of a new policy; pending calls keep the settings that they arrived under."""
        self.context.apply_settings(settings)
        self.load_requests.apply_settings(settings)
        self.fleet.apply_settings(settings)

    def is_avoided(self, worker: Worker) -> bool:
        """Return whether calls avoid the worker: it is ejected or unreachable, or its zone is lost."""
        return self.health.is_avoided(worker)

    def _create_records(self) -> None:
        """Create the records of workers, calls, functions and loads, and the estimates based on them."""
        context = self.context
        self.table = CallTable()
        self.fleet = Fleet(context)
        self.load_rate = LoadRate(context)
        self.served_rate = ServedRate(context, fleet=self.fleet, load_rate=self.load_rate)
        self.loads = LoadsInProgress(context)
        self.estimates = ServiceTimeEstimates()
        self.tiers = FunctionTiers(context, fleet=self.fleet, load_rate=self.load_rate, loads=self.loads)
        self.warm_copies = WarmCopies(context, fleet=self.fleet, load_rate=self.load_rate)

    def _create_worker_rules(self) -> None:
        """Create the components that decide which workers may get work.

        These are outlier detection, zone failure detection, slow start, the retry policy and the send gate.
        """
        context = self.context
        self.outliers = OutlierDetector(context)
        self.zones = ZoneFailureDetector(context, fleet=self.fleet)
        self.health = WorkerHealth(outliers=self.outliers, zones=self.zones)
        self.slow_start = SlowStart(
            context, fleet=self.fleet, load_rate=self.load_rate, served_rate=self.served_rate
        )
        self.retry = RetryPolicy(context, fleet=self.fleet)
        self.gate = SendGate(
            context,
            fleet=self.fleet,
            load_rate=self.load_rate,
            warm_copies=self.warm_copies,
            retry=self.retry,
            slow_start=self.slow_start,
        )

    def _create_load_rules(self) -> None:
        """Create the components that decide which copies are loaded and kept warm."""
        context = self.context
        self.load_requests = LoadRequests(
            context, fleet=self.fleet, tiers=self.tiers, loads=self.loads, slow_start=self.slow_start
        )
        self.keep_warm = KeepWarm(
            context,
            fleet=self.fleet,
            tiers=self.tiers,
            warm_copies=self.warm_copies,
            load_requests=self.load_requests,
        )
        self.copy_records = CopyRecords(
            context, loads=self.loads, warm_copies=self.warm_copies, load_requests=self.load_requests
        )

    def _create_call_rules(self) -> None:
        """Create the components that take a call from its arrival to its final answer."""
        context = self.context
        self.admission = AdmissionController(context, load_rate=self.load_rate)
        self.placement = Placement(
            context,
            fleet=self.fleet,
            table=self.table,
            load_rate=self.load_rate,
            warm_copies=self.warm_copies,
            load_requests=self.load_requests,
            outliers=self.outliers,
            gate=self.gate,
        )
        self.router = CallRouter(
            context,
            table=self.table,
            copy_records=self.copy_records,
            placement=self.placement,
            retry=self.retry,
            health=self.health,
            admission=self.admission,
            slow_start=self.slow_start,
        )
        self.intake = CallIntake(
            context,
            table=self.table,
            tiers=self.tiers,
            estimates=self.estimates,
            load_requests=self.load_requests,
            retry=self.retry,
            admission=self.admission,
            router=self.router,
        )
        self.outcomes = OutcomeRecorder(
            fleet=self.fleet,
            table=self.table,
            tiers=self.tiers,
            estimates=self.estimates,
            copy_records=self.copy_records,
            health=self.health,
            admission=self.admission,
            router=self.router,
            served_rate=self.served_rate,
        )

    def _on_worker_list(self, event: api.WorkerListReceived) -> None:
        context = self.context
        if context.settings.must_poll_list and event.kind in (ListKind.CACHED, ListKind.FAILED):
            delay_us = context.keep_alive_us / SWEEPS_PER_KEEP_ALIVE
            context.set_timer(delay_us, lambda: context.actions.append(api.WatchEndpoints()))
        if event.kind is ListKind.FAILED:
            return
        for worker in self.fleet.apply_list(event):
            self.zones.record_answer(worker.entry.zone)  # a worker that starts shows that its zone is alive
        self.loads.forget_unlisted_workers(self.fleet.workers)
        self.fleet.update_ranking()
        self.served_rate.update_weight()

    def _on_health_check_ended(self, event: api.HealthCheckEnded) -> None:
        worker = self.workers.get(event.worker)
        if event.result is Result.OK and worker is not None:
            self.zones.record_answer(worker.entry.zone)

    def _on_call_event(self, event: api.CallExpired | api.ClientDisconnected | api.StreamStarted) -> None:
        call = self.calls.get(event.call)
        if call is None:
            return  # the call has already been answered
        match event:
            case api.CallExpired():
                self.router.close(call)
            case api.ClientDisconnected():
                self.router.abandon(call)
            case api.StreamStarted():
                call.streaming = True

    def _sweep(self) -> None:
        """Do the periodic work, and set the timer for the next run."""
        self.context.set_timer(self.context.keep_alive_us / SWEEPS_PER_KEEP_ALIVE, self._sweep)
        self.served_rate.update_weight()
        self.outliers.update_fleet_latency(self.fleet.workers.values())
        self.zones.probe_lost_zones()
        self.keep_warm.move_homes_off_draining_workers()
        self.keep_warm.renew_idle_copies()

    # Access to the state of the components, for other packages and for tests.

    @property
    def workers(self) -> dict[str, Worker]:
        """The workers of the current list, by name."""
        return self.fleet.workers

    @property
    def calls(self) -> dict[int, Call]:
        """The pending calls, by call number."""
        return self.table.calls

    @property
    def attempts(self) -> dict[tuple[int, int], tuple[Call, Attempt]]:
        """The attempts in flight with their calls, by call number and attempt number."""
        return self.table.attempts
