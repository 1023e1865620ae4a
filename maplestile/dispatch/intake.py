"""Takes in arriving calls: records each call, updates its function, and admits or rejects it."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.call_router import CallRouter
from maplestile.dispatch.context import Context
from maplestile.dispatch.estimates import ServiceTimeEstimates
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.state import Call, CallTable, FunctionEntry
from maplestile.dispatch.tiers import FunctionTiers


class CallIntake:
    """The component that records arriving calls and passes them to the call router."""

    def __init__(
        self,
        context: Context,
        *,
        table: CallTable,
        tiers: FunctionTiers,
        estimates: ServiceTimeEstimates,
        load_requests: LoadRequests,
        retry: RetryPolicy,
        admission: AdmissionController,
        router: CallRouter,
    ) -> None:
        self.context = context
        self.table = table
        self.tiers = tiers
        self.estimates = estimates
        self.load_requests = load_requests
        self.retry = retry
        self.admission = admission
        self.router = router

    def on_arrival(self, event: api.CallArrived) -> None:
        """Record the call, then route or reject it."""
        context = self.context
        now_us = context.now_us
        call_class = context.classes[event.class_name]
        entry = self._function_entry(event, call_class)
        group = f"{call_class.name} {event.tenant}"
        due_us = self.admission.due_us(event, call_class)
        call = Call(event.call, entry, call_class, group, now_us, due_us, context.settings, event.cost_us)
        self.table.calls[call.id] = call
        self.load_requests.arrivals.add(now_us)
        self.retry.add_to_budget()
        self.tiers.record_call(entry)
        call.deadline_timer = context.set_timer(due_us - now_us, lambda: self.router.finish(call))
        if self.admission.rejects(event.repeat):
            self.router.finish(call)
        else:
            self.router.route(call)

    def _function_entry(self, event: api.CallArrived, call_class: api.CallClass) -> FunctionEntry:
        entry = self.tiers.functions.get(event.function)
        if entry is None:
            service_us = self.estimates.initial_service_us(call_class)
            entry = self.tiers.add(event.function, service_us, self.estimates.initial_load_us(call_class))
        entry.memory_mb = event.memory_mb
        entry.lanes = max(1, event.lanes)
        return entry
