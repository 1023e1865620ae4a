"""The invoke API without its sockets: a request in, one response out, now or later."""

import hashlib
import re
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from maplestile.invoke import problems
from maplestile.invoke.operator_file import Function, Operator
from maplestile.invoke.store import Record, Store
from maplestile.requests.core import Core
from maplestile.wire.http import Bounds, HttpRequest, Refused, Response, allow, nothing, problem, retry_after
from maplestile.wire.messages import Outcome, Request

INVOKE = re.compile(r"/v1/functions/([^/?]+)/invocations")
ONE = re.compile(r"/v1/invocations/([0-9a-f]+)")
CLASS, TENANT, DEADLINE = "maplestile-class", "maplestile-tenant", "maplestile-deadline-ms"
KEY, PREFER = "idempotency-key", "prefer"
KEY_MOST = 128
POLL_US = 1_000_000  # when to look again at a deferred call that is still pending


class Api:
    def __init__(self, core: Core, operator: Operator, counters: Counter[str]) -> None:
        self.core, self.operator, self.counters = core, operator, counters
        self.store = Store(operator.records, operator.record_us, core.at, counters)
        self.in_hand: Counter[str] = Counter()
        self.bounds = self._bounds()

    def reload(self, new: Operator) -> bool:
        """Take what a new file tells of this front; true if that was something else than before.

        Classes are the module's and the listener stands: both stay. A function of a class that only a
        restart brings would run under no rule known, so then the functions stay, too."""
        old = self.operator
        same = (old.deadlines_us, old.keyed) == (new.deadlines_us, new.keyed)
        self.operator = replace(
            new,
            listen=old.listen,
            deadlines_us=old.deadlines_us,
            keyed=old.keyed,
            node=old.node,
            functions=new.functions if same else old.functions,
        )
        self.store.most, self.store.keep_us = new.records, new.record_us
        self.bounds = self._bounds()
        return self.operator != old

    def adopt(self, new: Operator) -> None:
        """Another policy: classes and limits; it comes together with the module's."""
        self.operator = replace(new, listen=self.operator.listen)
        self.store.most, self.store.keep_us = new.records, new.record_us
        self.bounds = self._bounds()

    def _bounds(self) -> Bounds:
        told, limits = self.operator, self.core.limits
        return Bounds(
            told.connections,
            told.idle_s,
            limits.http_request_us,
            told.body_bytes,
            limits.http_linger_us,
            limits.accept_burst,
        )

    def handle(self, request: HttpRequest, respond: Callable[[Response], None]) -> Callable[[], None]:
        self.counters["invoke.requests"] += 1

        def counted(response: Response) -> None:
            self.counters[f"invoke.status.{response.status}"] += 1
            respond(response)

        try:
            path = request.path.partition("?")[0]
            if match := INVOKE.fullmatch(path):
                allow(request, "POST")
                return self._invoke(match[1], request, counted)
            if match := ONE.fullmatch(path):
                allow(request, "GET", "DELETE")
                look = self._cancel if request.method == "DELETE" else self._look
                counted(look(match[1]))
                return nothing
            raise Refused(problem(404, "no such resource"))
        except Refused as refused:
            counted(refused.response)
            return nothing

    # Invocations.

    def _invoke(
        self, name: str, request: HttpRequest, respond: Callable[[Response], None]
    ) -> Callable[[], None]:
        function = self.operator.functions.get(name)
        if function is None:
            raise Refused(problem(404, f"no function '{name}'"))
        if len(request.body) > self.operator.body_bytes:
            raise Refused(problem(413, f"the body is over {self.operator.body_bytes} bytes"))
        class_name = request.headers.get(CLASS, function.class_name)
        if class_name not in self.operator.deadlines_us:
            raise Refused(problem(400, f"{CLASS}: no class '{class_name}'"))
        tenant, key = self._tenant(request), request.headers.get(KEY, "")
        if len(key) > KEY_MOST:
            raise Refused(problem(400, f"{KEY}: over {KEY_MOST} characters"))
        budget_us = self._budget_us(request, class_name)
        prefer = request.headers.get(PREFER, "").lower()
        deferred = "respond-async" in [part.split(";")[0].strip() for part in prefer.split(",")]
        scope = (name, tenant, key) if key else None
        known = self.store.by_scope.get(scope) if scope else None
        asked = hashlib.blake2b(f"{class_name}\0".encode() + request.body, digest_size=16).digest()
        if known is not None and known.print != asked:
            raise Refused(problem(422, f"{KEY}: used before for another call"))
        if known is None:
            self._admit(tenant)
        call = self._call(function, class_name, tenant, key, budget_us, request.body)
        if known is None and scope is None and not deferred:
            return self._plain(call, request.received_us, respond)
        record = known or self._start(call, scope, asked, request.received_us)
        if deferred:
            record.deferred = True
            respond(self._accepted(record))
            return nothing
        if record.answer is not None:
            respond(self.store.tell(record))
            return nothing
        record.waiting.append(respond)
        return lambda: self._left(record, respond)

    def _left(self, record: Record, respond: Callable[[Response], None]) -> None:
        """Under a key another try may come for the answer of what is out, so that goes on; nothing begins."""
        if respond in record.waiting:
            record.waiting.remove(respond)
        if not record.waiting and not record.deferred and record.answer is None:
            record.abandoned = True
            self.core.client_gone(record.call)

    def _call(
        self, function: Function, class_name: str, tenant: str, key: str, budget_us: int, body: bytes
    ) -> Request:
        once = key or (secrets.token_hex(16) if class_name in self.operator.keyed else "")
        return Request(
            secrets.token_hex(8),
            function.name,
            class_name,
            budget_us,
            function.memory_mb,
            function.lanes,
            0,
            tenant,
            False,
            once,
            body,
        )

    def _plain(
        self, call: Request, received_us: int, respond: Callable[[Response], None]
    ) -> Callable[[], None]:
        self.in_hand[call.tenant] += 1

        def answer(outcome: Outcome) -> None:
            self.in_hand[call.tenant] -= 1
            respond(problems.of(outcome))

        number = self.core.submit(call, received_us, answer)

        def left() -> None:
            if number in self.core.open:
                self.in_hand[call.tenant] -= 1
                self.core.withdraw(number)

        return left

    def _start(
        self, call: Request, scope: tuple[str, str, str] | None, asked: bytes, received_us: int
    ) -> Record:
        if self.store.full():
            self.counters["invoke.store_full"] += 1
            raise Refused(problem(503, "the store of invocations is full", retry_after(POLL_US)))
        record = Record(secrets.token_hex(16), scope, asked, received_us + call.budget_us)
        self.store.add(record)
        self.in_hand[call.tenant] += 1

        def answer(outcome: Outcome) -> None:
            self.in_hand[call.tenant] -= 1
            if record.abandoned and not record.waiting and not outcome.ran:
                self.store.drop(record)  # nothing ran, and nobody was told: the key is free for another try
            else:
                self.store.finish(record, problems.of(outcome))

        record.call = self.core.submit(call, received_us, answer)
        return record

    def _admit(self, tenant: str) -> None:
        told = self.operator.tenants.get(tenant)
        if told is not None and told.open_most and self.in_hand[tenant] >= told.open_most:
            self.counters["invoke.over_limit"] += 1
            detail = f"tenant '{tenant}' has {told.open_most} calls in hand"
            raise Refused(problem(429, detail, retry_after(POLL_US)))

    def _tenant(self, request: HttpRequest) -> str:
        tenant = request.headers.get(TENANT, "")
        if self.operator.tenants and tenant not in self.operator.tenants:
            raise Refused(problem(400, f"{TENANT}: " + (f"no tenant '{tenant}'" if tenant else "is missing")))
        return tenant

    def _budget_us(self, request: HttpRequest, class_name: str) -> int:
        text = request.headers.get(DEADLINE)
        if text is None:
            return min(self.operator.deadlines_us[class_name], self.operator.deadline_most_us)
        if not text.isascii() or not text.isdigit() or len(text) > 9 or not int(text):
            raise Refused(problem(400, f"{DEADLINE}: must be a whole number of milliseconds, 1 or more"))
        budget_us = int(text) * 1000
        if budget_us > self.operator.deadline_most_us:
            raise Refused(problem(400, f"{DEADLINE}: over {self.operator.deadline_most_us // 1000}"))
        return budget_us

    # Records.

    def _record(self, id_: str) -> Record:
        record = self.store.records.get(id_)
        if record is None:
            raise Refused(problem(404, "no such invocation"))
        return record

    def _accepted(self, record: Record) -> Response:
        location = (("Location", f"/v1/invocations/{record.id}"),)
        return Response(202, b"", (*location, ("Preference-Applied", "respond-async")))

    def _look(self, id_: str) -> Response:
        record = self._record(id_)
        if record.answer is None:
            return Response(202, b"", retry_after(POLL_US))
        return self.store.tell(record)

    def _cancel(self, id_: str) -> Response:
        record = self._record(id_)
        if record.answer is None:
            call = self.core.open.get(record.call)
            self.core.withdraw(record.call)
            if call is not None:
                self.in_hand[call.request.tenant] -= 1
            self.store.finish(record, problem(410, "cancelled by its client"))
        elif record.answer.status != 410:
            raise Refused(problem(409, "the invocation has ended already"))
        return Response(204)
