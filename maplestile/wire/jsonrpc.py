"""JSON-RPC 2.0 with `Content-Length` headers: framing, and the requests and answers of the platform."""

import binascii
import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any

from maplestile.common.text import shortened
from maplestile.dispatch.api import Idempotency, Settings
from maplestile.wire.limits import MessageLimits
from maplestile.wire.messages import Outcome, Request, Verdict

HEAD_END = b"\r\n\r\n"

# Error codes: those of JSON-RPC, and from REFUSED on those of the platform.
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
UNKNOWN_METHOD = -32601
INVALID_PARAMS = -32602
REFUSED = -32050
FAILED = -32051
EXPIRED = -32052

MAX_TEXT_LENGTH = 256
MAX_LENGTH_DIGITS = 9  # of a `Content-Length`
MAX_NUMBER = 1e9
CACHED_EXTRAS = 1024  # texts whose parsed numbers are cached
US_PER_MS = 1000
TXN_PATTERN = re.compile("[0-9a-fA-F]{16}")
NAME_PATTERN = re.compile("[0-9A-Za-z._-]{1,64}")


class RejectReason(Enum):
    """Why a message is rejected; the values are parts of counter names and log lines."""

    JSON = "json"  # no JSON
    REQUEST = "request"  # no request object with a method, parameters and a number
    METHOD = "method"  # neither a class nor a method of the protocol
    FIELD = "field"  # a field is missing, of another form, or out of range
    NUMBER = "number"  # its number is in use on the connection
    STREAMS = "streams"  # too many open requests on the connection


class CloseReason(Enum):
    """Why a connection is closed; the values are parts of counter names and log lines."""

    HEAD = "head"  # a head without a length, or without an end
    SIZE = "size"  # a message that is too long
    TIME = "time"  # a message that was not complete in time
    MEMORY = "memory"  # its incomplete message was dropped, since those of all clients took too much memory
    REJECTED = "rejected"  # too many messages that were rejected


class FramingError(Exception):
    """A fault in the byte stream after which messages can no longer be told apart."""

    def __init__(self, reason: CloseReason, text: str) -> None:
        super().__init__(text)
        self.reason = reason

    def without_frames(self) -> "FramingError":
        """Return the error without the frames that it passed, which hold the input of its connection."""
        self.__context__ = None
        return self.with_traceback(None)


MAX_ERROR_CHARACTERS = 200  # of the text of an error, which may quote a part of the message


class RpcError(Exception):
    """An invalid message that is answered with an error; the connection stays open."""

    def __init__(self, code: int, reason: RejectReason, text: str, id_: object = None, tag: str = "") -> None:
        super().__init__(shortened(text, MAX_ERROR_CHARACTERS))
        self.code = code
        self.reason = reason
        self.id = id_  # identifier of the message; None if it has no usable one
        self.tag = tag  # transaction of the message; empty if it has no usable one


@dataclass(slots=True, frozen=True)
class AllowedNames:
    """The names of classes and tenants that a request may use."""

    classes: Mapping[str, bool]  # by name, whether requests need an idempotency key
    tenants: frozenset[str]  # empty if tenants are not checked

    @classmethod
    def from_settings(cls, settings: Settings) -> "AllowedNames":
        """Return the names in these settings."""
        classes = {
            call_class.name: call_class.idempotency is Idempotency.WITH_KEY for call_class in settings.classes
        }
        return cls(classes, frozenset(settings.tenants))


@dataclass(slots=True)
class Call:
    """A request to call a function."""

    id: int
    request: Request


@dataclass(slots=True, frozen=True)
class Interrupt:
    """A client's cancellation of an earlier call, by the identifier of its message or by its transaction."""

    id: int | None
    txn: str | None


@dataclass(slots=True, frozen=True)
class Check:
    """A client's health check of the router."""

    id: int


class Framer:
    """Splits a byte stream into message bodies, which are views of the input, valid until the next feed."""

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.incomplete = bytearray()  # start of a message that is not complete yet
        self._missing_bytes = 0  # of that message, if its head is complete
        self._was_discarded = False  # the start of the message was dropped

    @property
    def expects_rest(self) -> bool:
        """Whether a message has begun that is not complete yet."""
        return bool(self.incomplete) or self._was_discarded

    def discard_incomplete(self) -> None:
        """Drop the start of an incomplete message; any further input is a `FramingError`."""
        self.incomplete.clear()
        self._was_discarded = True

    def feed(self, data: bytes) -> Iterator[memoryview]:
        """Yield the bodies of the messages that are now complete; raises `FramingError`."""
        if self._was_discarded:
            raise FramingError(CloseReason.MEMORY, "incomplete messages took too much memory")
        if len(data) < self._missing_bytes:
            self.incomplete += data
            self._missing_bytes -= len(data)
            return
        buffer = bytes(self.incomplete) + data if self.incomplete else data
        view = memoryview(buffer)
        start = 0
        self.incomplete.clear()
        self._missing_bytes = 0
        while (head_end := buffer.find(HEAD_END, start, start + self.limits.head_bytes)) >= 0:
            body = head_end + len(HEAD_END)
            size = self._body_size(buffer[start:head_end])
            if body + size > len(buffer):
                self._missing_bytes = body + size - len(buffer)
                break
            yield view[body : body + size]
            start = body + size
        if head_end < 0 and len(buffer) - start >= self.limits.head_bytes:
            raise FramingError(CloseReason.HEAD, "a head without an end")
        self.incomplete += view[start:]

    def _body_size(self, head: bytes) -> int:
        """Return the body size given in a message head."""
        sizes = []
        for line in head.split(b"\r\n"):
            name, colon, value = line.partition(b":")
            if not colon:
                raise FramingError(CloseReason.HEAD, "a head line without a colon")
            if name.strip().lower() == b"content-length":
                sizes.append(value.strip())
        # Only digits: int() also accepts signs, underscores and spaces, which a peer may read differently.
        if len(sizes) != 1 or not sizes[0].isdigit() or len(sizes[0]) > MAX_LENGTH_DIGITS:
            raise FramingError(CloseReason.HEAD, "no single Content-Length")
        size = int(sizes[0])
        if size > self.limits.message_bytes:
            raise FramingError(CloseReason.SIZE, f"a message of {size} bytes")
        return size


def frame(message: dict[str, Any]) -> bytes:
    """Encode a message with its header."""
    return _frame_body(json.dumps(message, separators=(",", ":")).encode())


def parse(view: memoryview, limits: MessageLimits, known: AllowedNames) -> Call | Interrupt | Check:
    """Decode one message; raises `RpcError` with the code and the identifier for the error answer."""
    try:
        message = json.loads(str(view, "utf-8"))
    except (ValueError, RecursionError):  # RecursionError: deep nesting must not crash the process
        raise RpcError(PARSE_ERROR, RejectReason.JSON, "no JSON") from None
    if not isinstance(message, dict):  # a batch is an array, and not supported
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "no request object")
    id_ = message.get("id")
    method = message.get("method")
    params = message.get("params", {})
    number = id_ if isinstance(id_, int) and not isinstance(id_, bool) else None
    if not isinstance(method, str) or not isinstance(params, dict):
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "no method or no params object", number)
    tag = _readable_tag(params)
    if method == "interrupt":
        return _parse_interrupt(params, number)
    if number is None:
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "field 'id' is no number", tag=tag)
    if method == "check":
        return Check(number)
    if method not in known.classes:
        raise RpcError(UNKNOWN_METHOD, RejectReason.METHOD, "unknown class", number, tag)
    try:
        return Call(number, _parse_request(method, params, limits, known))
    except (ValueError, OverflowError) as error:
        raise RpcError(INVALID_PARAMS, RejectReason.FIELD, str(error), number, tag) from None


def answer(id_: int, outcome: Outcome) -> bytes:
    """Encode the final answer to a call."""
    if outcome.verdict is Verdict.SERVED:
        blob = binascii.b2a_base64(outcome.body, newline=False)
        # Formatted by hand for speed, since most answers are of this kind.
        return _frame_body(b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"%b"}}' % (id_, blob))
    if outcome.verdict is Verdict.REJECTED:
        later_ms = max(1, outcome.retry_after_us // US_PER_MS)
        return error(id_, REFUSED, "refused", {"later": later_ms})
    if outcome.verdict is Verdict.EXPIRED:
        return error(id_, EXPIRED, "out of time")
    return error(id_, FAILED, "failed")


def error(id_: object, code: int, text: str, data: dict[str, Any] | None = None) -> bytes:
    """Encode an error answer."""
    details: dict[str, Any] = {"code": code, "message": text}
    if data:
        details["data"] = data
    return frame({"jsonrpc": "2.0", "id": id_, "error": details})


def result(id_: int, value: dict[str, Any]) -> bytes:
    """Encode a success answer."""
    return frame({"jsonrpc": "2.0", "id": id_, "result": value})


def _frame_body(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _readable_tag(params: dict[str, Any]) -> str:
    """Return the transaction of a message that may be invalid; empty if it is not of its form."""
    txn = params.get("txn")
    return txn if isinstance(txn, str) and TXN_PATTERN.fullmatch(txn) else ""


def _parse_interrupt(params: dict[str, Any], number: int | None) -> Interrupt:
    target = params.get("id")
    txn = params.get("txn")
    if not isinstance(target, int) and txn is None:
        target = number
    return Interrupt(
        id=target if isinstance(target, int) else None,
        txn=txn if isinstance(txn, str) else None,
    )


def _parse_request(
    class_name: str, params: dict[str, Any], limits: MessageLimits, known: AllowedNames
) -> Request:
    """Return the request of a call; raises `ValueError` that names the first invalid field."""
    extras = _parse_extras(_string_param(params, "info", ""))
    limit_us = int(_number_param(params, "limit") * US_PER_MS)
    if not 0 < limit_us <= limits.max_budget_us:
        raise ValueError("field 'limit' is out of range")
    tenant = _string_param(params, "team", "")
    if known.tenants and tenant not in known.tenants:
        raise ValueError("field 'team' names no tenant")
    key = params.get("unique", "")
    if known.classes[class_name] or key:
        key = _name_param(params, "unique", NAME_PATTERN)
    tag = _name_param(params, "txn", TXN_PATTERN)
    function = _name_param(params, "item", NAME_PATTERN)
    memory_mb = extras.get("memory_mb", 0.0)
    lanes = max(1, int(extras.get("lanes", 1.0)))
    cost_us = int(_number_param(params, "cpu", 0.0) * US_PER_MS)
    repeat = params.get("second") in (1, "1", True)
    body = _decode_body(params.get("blob", ""), limits)
    # Positional arguments: keywords would make decoding a request a tenth slower.
    return Request(tag, function, class_name, limit_us, memory_mb, lanes, cost_us, tenant, repeat, key, body)


@lru_cache(CACHED_EXTRAS)
def _parse_extras(text: str) -> dict[str, float]:
    """Parse additional numbers of the form `name:value;name:value`; malformed parts are skipped.

    The result is cached: most calls are of few functions, so the same few texts recur.
    """
    extras = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            extras[name] = _checked_number(name, float(value))
        except ValueError:
            continue
    return extras


def _string_param(params: dict[str, Any], name: str, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"field '{name}' is no short string")
    return value


def _name_param(params: dict[str, Any], name: str, pattern: re.Pattern[str]) -> str:
    """Return a name that matches the pattern.

    The form is strict since a name that a runner cannot read would end its connection, with all requests open
    on it.
    """
    value = params.get(name)
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise ValueError(f"field '{name}' is no name of its form")
    return value


def _number_param(params: dict[str, Any], name: str, default: float | None = None) -> float:
    value: Any = params.get(name, default)
    try:
        return _checked_number(name, float(value))
    except TypeError:
        raise ValueError(f"field '{name}' is no number") from None


def _checked_number(name: str, number: float) -> float:
    """Return a number that is not negative, NaN or infinite; such a value would break the timers."""
    if not 0 <= number < MAX_NUMBER:
        raise ValueError(f"field '{name}' is out of range")
    return number


def _decode_body(blob: Any, limits: MessageLimits) -> bytes:
    try:
        body = binascii.a2b_base64(blob, strict_mode=True)
    except (TypeError, ValueError):
        raise ValueError("field 'blob' is no base64") from None
    if len(body) > limits.body_bytes:
        raise ValueError("field 'blob' is too long")
    return body
