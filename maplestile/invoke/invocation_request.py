"""Requests to invoke a function: reads them from HTTP and checks them against the operator's file."""

import hashlib
import secrets
from dataclasses import dataclass

from maplestile.invoke.operator_file import OperatorSettings
from maplestile.invoke.operator_tables import FunctionSettings
from maplestile.invoke.record_events import KeyScope, StoredInvocation
from maplestile.wire.http import HttpRequest, RequestRejected, problem
from maplestile.wire.messages import Request

# Names of headers, in lower case like the keys of `HttpRequest.headers`.
CLASS_HEADER = "maplestile-class"
TENANT_HEADER = "maplestile-tenant"
DEADLINE_HEADER = "maplestile-deadline-ms"
KEY_HEADER = "idempotency-key"
PREFER_HEADER = "prefer"

RESPOND_ASYNC = "respond-async"  # the preference for a deferred call (RFC 7240)

MAX_KEY_CHARACTERS = 128
MAX_DEADLINE_DIGITS = 9
FINGERPRINT_BYTES = 16
CALL_ID_BYTES = 8
GENERATED_KEY_BYTES = 16


@dataclass(slots=True)
class InvocationRequest:
    """A validated request to invoke a function."""

    function: FunctionSettings
    class_name: str
    tenant: str
    key: str  # the idempotency key; empty if there is none
    budget_us: int  # time from receipt to the deadline
    deferred: bool  # the caller collects the answer later
    body: bytes
    received_us: int  # on the core's clock

    @property
    def scope(self) -> KeyScope | None:
        """The scope in which a repeat of the key is the same invocation; None without a key."""
        return KeyScope(self.function.name, self.tenant, self.key) if self.key else None

    def fingerprint(self) -> bytes:
        """Return a hash that distinguishes a repeat from another call with the same key."""
        hashed = f"{self.class_name}\0".encode() + self.body
        return hashlib.blake2b(hashed, digest_size=FINGERPRINT_BYTES).digest()


def read_invocation(name: str, request: HttpRequest, operator: OperatorSettings) -> InvocationRequest:
    """Return a validated request to invoke the function `name`. Raises RequestRejected with the response."""
    function = operator.functions.get(name)
    if function is None:
        raise RequestRejected(problem(404, f"no function '{name}'"))
    if len(request.body) > operator.body_bytes:
        raise RequestRejected(problem(413, f"the body is over {operator.body_bytes} bytes"))
    class_name = request.headers.get(CLASS_HEADER, function.class_name)
    if class_name not in operator.deadlines_us:
        raise RequestRejected(problem(400, f"{CLASS_HEADER}: no class '{class_name}'"))
    return InvocationRequest(
        function=function,
        class_name=class_name,
        tenant=_tenant(request, operator),
        key=_key(request),
        budget_us=_budget_us(request, operator, class_name),
        deferred=_wants_deferred(request),
        body=request.body,
        received_us=request.received_us,
    )


def build_core_request(invocation: InvocationRequest, operator: OperatorSettings) -> Request:
    """Return the request for the core. A call of a keyed class gets a random key if it has none."""
    key = invocation.key
    if not key and invocation.class_name in operator.keyed:
        key = secrets.token_hex(GENERATED_KEY_BYTES)
    return Request(
        tag=secrets.token_hex(CALL_ID_BYTES),
        function=invocation.function.name,
        class_name=invocation.class_name,
        budget_us=invocation.budget_us,
        memory_mb=invocation.function.memory_mb,
        lanes=invocation.function.lanes,
        tenant=invocation.tenant,
        key=key,
        body=invocation.body,
    )


def to_stored(invocation: InvocationRequest, id_: str) -> StoredInvocation:
    """Return the form of an invocation that the journal keeps."""
    return StoredInvocation(
        id=id_,
        fingerprint=invocation.fingerprint(),
        due_us=invocation.received_us + invocation.budget_us,
        function=invocation.function.name,
        class_name=invocation.class_name,
        tenant=invocation.tenant,
        key=invocation.key,
        body=invocation.body,
        deferred=invocation.deferred,
    )


def from_stored(stored: StoredInvocation, function: FunctionSettings, now_us: int) -> InvocationRequest:
    """Return the request of an invocation that the journal has kept, with the time that it has left."""
    return InvocationRequest(
        function=function,
        class_name=stored.class_name,
        tenant=stored.tenant,
        key=stored.key,
        budget_us=stored.due_us - now_us,
        deferred=stored.deferred,
        body=stored.body,
        received_us=now_us,
    )


def _tenant(request: HttpRequest, operator: OperatorSettings) -> str:
    tenant = request.headers.get(TENANT_HEADER, "")
    if operator.tenants and tenant not in operator.tenants:
        detail = f"no tenant '{tenant}'" if tenant else "is missing"
        raise RequestRejected(problem(400, f"{TENANT_HEADER}: {detail}"))
    return tenant


def _key(request: HttpRequest) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise RequestRejected(problem(400, f"{KEY_HEADER}: over {MAX_KEY_CHARACTERS} characters"))
    return key


def _budget_us(request: HttpRequest, operator: OperatorSettings, class_name: str) -> int:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return min(operator.deadlines_us[class_name], operator.max_deadline_us)
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    if not is_number or int(text) == 0:
        raise RequestRejected(
            problem(400, f"{DEADLINE_HEADER}: must be a whole number of milliseconds, 1 or more")
        )
    budget_us = int(text) * 1000
    if budget_us > operator.max_deadline_us:
        raise RequestRejected(problem(400, f"{DEADLINE_HEADER}: over {operator.max_deadline_us // 1000}"))
    return budget_us


def _wants_deferred(request: HttpRequest) -> bool:
    """Return whether the caller asked to collect the answer later, by `Prefer: respond-async` (RFC 7240)."""
    preferences = request.headers.get(PREFER_HEADER, "").lower().split(",")
    return RESPOND_ASYNC in [preference.split(";")[0].strip() for preference in preferences]
