"""The invoke API without its sockets: answers each request with one response, now or later."""

import re
import secrets
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from maplestile.dispatch.api import Idempotency
from maplestile.invoke import problems
from maplestile.invoke.invocation_request import (
    KEY_HEADER,
    RESPOND_ASYNC,
    InvocationRequest,
    build_core_request,
    from_stored,
    read_invocation,
    to_stored,
)
from maplestile.invoke.operator_file import OperatorSettings
from maplestile.invoke.record_events import StoredInvocation
from maplestile.invoke.record_journal import RecordJournal
from maplestile.invoke.store import InvocationRecord, InvocationStore
from maplestile.requests.core import Core
from maplestile.wire.http import (
    FrontLimits,
    HttpRequest,
    RequestRejected,
    Response,
    do_nothing,
    problem,
    require_method,
    retry_after,
)
from maplestile.wire.messages import Outcome, Request, Verdict

INVOCATIONS_PATH = re.compile(r"/v1/functions/([^/?]+)/invocations")
INVOCATION_PATH = re.compile(r"/v1/invocations/([0-9a-f]+)")
RECORD_ID_BYTES = 16
RETRY_AFTER_US = 1_000_000  # the `Retry-After` of pending deferred calls, and of calls rejected over a limit
CANCELLED_STATUS = 410  # Gone: the answer to a poll of a cancelled call

Respond = Callable[[Response], None]
CancelCall = Callable[[], None]  # called if the caller disconnects before it gets the response


class InvokeApi:
    """The application behind the invoke front."""

    def __init__(
        self,
        core: Core,
        operator: OperatorSettings,
        counters: Counter[str],
        journal: RecordJournal | None = None,
    ) -> None:
        self.core = core
        self.operator = operator
        self.counters = counters
        self.store = InvocationStore(
            operator.records, operator.record_us, core.timer_queue, counters, journal
        )
        self.in_flight: Counter[str] = Counter()  # open calls by tenant
        self.bounds = self._bounds()

    # Configuration.

    def reload(self, new: OperatorSettings) -> bool:
        """Apply the settings of this front from a reloaded file, and return whether any changed.

        The classes belong to the dispatcher and the listener is already open, so both stay until a restart.
        If the new file has other classes, the functions stay too: a function of a class that takes effect
        only after a restart would have no rules for its calls.
        """
        old = self.operator
        same_classes = (old.deadlines_us, old.keyed) == (new.deadlines_us, new.keyed)
        self._apply(
            replace(
                new,
                listen=old.listen,
                deadlines_us=old.deadlines_us,
                keyed=old.keyed,
                node=old.node,
                functions=new.functions if same_classes else old.functions,
            )
        )
        return self.operator != old

    def apply_settings(self, new: OperatorSettings) -> None:
        """Apply the classes and limits of another policy, at the moment when the dispatcher applies them."""
        self._apply(replace(new, listen=self.operator.listen))

    def _apply(self, operator: OperatorSettings) -> None:
        self.operator = operator
        self.store.max_records = operator.records
        self.store.retention_us = operator.record_us
        self.bounds = self._bounds()

    def _bounds(self) -> FrontLimits:
        limits = self.core.limits
        return FrontLimits(
            self.operator.connections,
            self.operator.idle_s,
            limits.invoke.request_us,
            self.operator.body_bytes,
            limits.invoke.linger_us,
            limits.listeners.accept_burst,
        )

    # Requests.

    def handle(self, request: HttpRequest, respond: Respond) -> CancelCall:
        """Answer a request by calling `respond` once, now or later."""
        self.counters["invoke.requests"] += 1
        respond_counted = partial(self._respond_counted, respond)
        try:
            return self._route(request, respond_counted)
        except RequestRejected as rejection:
            respond_counted(rejection.response)
            return do_nothing

    def _respond_counted(self, respond: Respond, response: Response) -> None:
        self.counters[f"invoke.status.{response.status}"] += 1
        respond(response)

    def _route(self, request: HttpRequest, respond: Respond) -> CancelCall:
        path = request.path.partition("?")[0]
        if match := INVOCATIONS_PATH.fullmatch(path):
            require_method(request, "POST")
            return self._invoke(read_invocation(match[1], request, self.operator), respond)
        if match := INVOCATION_PATH.fullmatch(path):
            require_method(request, "GET", "DELETE")
            answer = self._cancel if request.method == "DELETE" else self._poll
            respond(answer(match[1]))
            return do_nothing
        raise RequestRejected(problem(404, "no such resource"))

    # Invocations.

    def _invoke(self, invocation: InvocationRequest, respond: Respond) -> CancelCall:
        scope = invocation.scope
        existing = self.store.by_scope.get(scope) if scope is not None else None
        if existing is not None and existing.fingerprint != invocation.fingerprint():
            raise RequestRejected(problem(422, f"{KEY_HEADER}: used before for another call"))
        if existing is None:
            self._check_tenant_quota(invocation.tenant)
            if scope is None and not invocation.deferred:
                return self._invoke_unrecorded(invocation, respond)
        record = existing or self._start_recorded(invocation)
        if invocation.deferred:
            if not self.store.mark_deferred(record):
                raise self._cannot_keep()
            respond(_accepted(record))
            return do_nothing
        if record.answer is not None:
            respond(self.store.deliver(record))
            return do_nothing
        due_us = invocation.received_us + invocation.budget_us
        if due_us < record.deadline_us:  # a repeat that gives less time than the first caller
            return self._wait_until(record, respond, due_us)
        record.waiters.append(respond)
        return lambda: self._remove_waiter(record, respond)

    def _wait_until(self, record: InvocationRecord, respond: Respond, due_us: int) -> CancelCall:
        """Let a caller wait for the answer of a record, until its own deadline at the latest."""
        timers = self.core.timer_queue
        timer = timers.call_at(due_us, lambda: self._expire_waiter(record, respond_in_time))

        def respond_in_time(response: Response) -> None:
            timers.cancel(timer)
            respond(response)

        def cancel() -> None:
            timers.cancel(timer)
            self._remove_waiter(record, respond_in_time)

        record.waiters.append(respond_in_time)
        return cancel

    def _invoke_unrecorded(self, invocation: InvocationRequest, respond: Respond) -> CancelCall:
        """Run a call that needs no record: it is not deferred and has no idempotency key."""
        tenant = invocation.tenant
        self.in_flight[tenant] += 1
        request = build_core_request(invocation, self.operator)
        finish = partial(self._finish_unrecorded, tenant, respond)
        call = self.core.submit(request, invocation.received_us, finish)
        return partial(self._withdraw_unrecorded, tenant, call)

    def _finish_unrecorded(self, tenant: str, respond: Respond, outcome: Outcome) -> None:
        self.in_flight[tenant] -= 1
        respond(problems.response_to(outcome))

    def _withdraw_unrecorded(self, tenant: str, call: int) -> None:
        """Cancel the call of a caller that has disconnected, unless it has already ended."""
        if call in self.core.open:
            self.in_flight[tenant] -= 1
            self.core.withdraw(call)

    def _start_recorded(self, invocation: InvocationRequest) -> InvocationRecord:
        """Create a record and start its call. Raises RequestRejected if the store is full."""
        if self.store.is_full():
            self.counters["invoke.store_full"] += 1
            raise RequestRejected(
                problem(503, "the store of invocations is full", retry_after(RETRY_AFTER_US))
            )
        record = InvocationRecord(
            id=secrets.token_hex(RECORD_ID_BYTES),
            scope=invocation.scope,
            fingerprint=invocation.fingerprint(),
            deadline_us=invocation.received_us + invocation.budget_us,
            deferred=invocation.deferred,
        )
        if not self.store.accept(record, to_stored(invocation, record.id)):
            raise self._cannot_keep()
        self._submit(build_core_request(invocation, self.operator), record, invocation.received_us)
        return record

    def _cannot_keep(self) -> RequestRejected:
        """Return the rejection of a deferred call while the journal cannot be written."""
        self.counters["invoke.cannot_keep"] += 1
        return RequestRejected(problem(503, "the call cannot be kept now", retry_after(RETRY_AFTER_US)))

    def _submit(self, request: Request, record: InvocationRecord, received_us: int) -> None:
        self.in_flight[request.tenant] += 1
        finish = partial(self._finish_recorded, request, record)
        record.call = self.core.submit(request, received_us, finish)

    def _finish_recorded(self, request: Request, record: InvocationRecord, outcome: Outcome) -> None:
        self.in_flight[request.tenant] -= 1
        if self._is_left_to_next_process(request, record, outcome):
            return
        is_wanted = bool(record.waiters) or record.deferred or not record.abandoned
        if not is_wanted and not outcome.may_have_run:
            self.store.drop(record)  # nothing ran and no caller got an answer, so the key may be used again
        else:
            self.store.finish(record, problems.response_to(outcome))

    def _is_left_to_next_process(self, request: Request, record: InvocationRecord, outcome: Outcome) -> bool:
        """Return whether a call that this process ends with its own exit is run again by the next one."""
        return (
            outcome.verdict is not Verdict.SERVED
            and self.core.exit_us > 0
            and self.store.journal is not None
            and record.deferred
            and not record.waiters
            and self.core.clock() < record.deadline_us
            and self.may_run_again(request.class_name)
        )

    def may_run_again(self, class_name: str) -> bool:
        """Return whether calls of a class may be repeated without restriction."""
        classes = {call_class.name: call_class.idempotency for call_class in self.core.settings.classes}
        return classes.get(class_name) is Idempotency.IDEMPOTENT

    # Records of an earlier process.

    def restore(self, invocations: Iterable[StoredInvocation]) -> None:
        """Take over the records that the journal had when this process started.

        A pending call may have run. It is run again if that does no harm and somebody may collect its answer;
        otherwise its final answer is that it failed.
        """
        for invocation in invocations:
            self._restore(invocation)

    def _restore(self, invocation: StoredInvocation) -> None:
        now_us = self.core.clock()
        record = InvocationRecord(
            id=invocation.id,
            scope=invocation.scope,
            fingerprint=invocation.fingerprint,
            deadline_us=invocation.due_us,
            answer=invocation.answer,
            delivered=invocation.delivered,
            deferred=invocation.deferred,
        )
        self.counters["invoke.restored"] += 1
        self.store.add(record)
        if now_us >= record.deadline_us + self.store.retention_us:
            self.store.drop(record)
        elif now_us >= record.deadline_us:
            self.store.expire(record)
        elif record.answer is None:
            self._resume(invocation, record, now_us)

    def _resume(self, invocation: StoredInvocation, record: InvocationRecord, now_us: int) -> None:
        """Run a pending call again, or give it its final answer."""
        function = self.operator.functions.get(invocation.function)
        known = function is not None and invocation.class_name in self.operator.deadlines_us
        if function is None or not known or not self.may_run_again(invocation.class_name):
            self.counters["invoke.ended_by_restart"] += 1
            self.store.finish(record, problem(502, "the call failed as its router ended; it may have run"))
        elif not record.deferred:  # its caller has gone, and a repeat under its key may run
            self.store.drop(record)
        else:
            self.counters["invoke.run_again"] += 1
            request = from_stored(invocation, function, now_us)
            self._submit(build_core_request(request, self.operator), record, now_us)

    def _remove_waiter(self, record: InvocationRecord, respond: Respond) -> None:
        """Remove a caller that has disconnected from those that wait for a record's answer.

        Another request with the same key may still collect the answer. So if no caller is left, attempts in
        flight continue, but no new attempt starts.
        """
        if respond in record.waiters:
            record.waiters.remove(respond)
        if not record.waiters and not record.deferred and record.answer is None:
            record.abandoned = True
            self.core.client_disconnected(record.call)

    def _expire_waiter(self, record: InvocationRecord, respond: Respond) -> None:
        """Answer a caller whose own deadline has passed; the call goes on for those that wait longer."""
        if respond in record.waiters:
            self._remove_waiter(record, respond)
            respond(problem(504, "the deadline lapsed"))

    def _check_tenant_quota(self, tenant: str) -> None:
        settings = self.operator.tenants.get(tenant)
        if settings is not None and settings.max_open and self.in_flight[tenant] >= settings.max_open:
            self.counters["invoke.over_limit"] += 1
            detail = f"tenant '{tenant}' has {settings.max_open} calls in hand"
            raise RequestRejected(problem(429, detail, retry_after(RETRY_AFTER_US)))

    # Records.

    def _find_record(self, record_id: str) -> InvocationRecord:
        record = self.store.records.get(record_id)
        if record is None:
            raise RequestRejected(problem(404, "no such invocation"))
        return record

    def _poll(self, record_id: str) -> Response:
        record = self._find_record(record_id)
        if record.answer is None:
            return Response(202, b"", retry_after(RETRY_AFTER_US))
        return self.store.deliver(record)

    def _cancel(self, record_id: str) -> Response:
        record = self._find_record(record_id)
        if record.answer is None:
            call = self.core.open.get(record.call)
            self.core.withdraw(record.call)
            if call is not None:
                self.in_flight[call.request.tenant] -= 1
            self.store.finish(record, problem(CANCELLED_STATUS, "cancelled by its client"))
        elif record.answer.status != CANCELLED_STATUS:
            raise RequestRejected(problem(409, "the invocation has ended already"))
        return Response(204)


def _accepted(record: InvocationRecord) -> Response:
    location = ("Location", f"/v1/invocations/{record.id}")
    return Response(202, b"", (location, ("Preference-Applied", RESPOND_ASYNC)))
