"""JSON-RPC 2.0 with `Content-Length` headers: framing, and the requests and answers of the platform."""

import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from maplestile.common.text import shortened
from maplestile.wire.jsonrpc_params import AllowedNames, parse_request, readable_tag
from maplestile.wire.limits import MessageLimits
from maplestile.wire.messages import Outcome, Request, Verdict

VERSION = "2.0"
HEAD_END = b"\r\n\r\n"
MAX_HEAD_FIELDS = 8  # the protocol has one
MAX_MEMBERS = 64  # of an object; the protocol has about a dozen
MAX_CALL_NUMBER = (1 << 63) - 1

# Error codes: those of JSON-RPC, and from REFUSED on those of the platform.
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
UNKNOWN_METHOD = -32601
INVALID_PARAMS = -32602
REFUSED = -32050
FAILED = -32051
EXPIRED = -32052

MAX_LENGTH_DIGITS = 9  # of a `Content-Length`
US_PER_MS = 1000


class RejectReason(Enum):
    """Why a message is rejected; the values are parts of counter names and log lines."""

    JSON = "json"  # no JSON
    REQUEST = "request"  # no request object with a method, parameters and a number
    METHOD = "method"  # neither a class nor a method of the protocol
    FIELD = "field"  # a field is missing, of another form, or out of range
    NUMBER = "number"  # its number was used before on the connection
    TXN = "txn"  # its transaction was used before
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
        lines = head.split(b"\r\n")
        if len(lines) > MAX_HEAD_FIELDS:
            raise FramingError(CloseReason.HEAD, f"a head of {len(lines)} fields")
        for line in lines:
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
    message = _decode_object(view)
    id_ = message.get("id")
    method = message.get("method")
    params = message.get("params", {})
    number = id_ if isinstance(id_, int) and not isinstance(id_, bool) else None
    if not isinstance(method, str) or not isinstance(params, dict):
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "no method or no params object", number)
    tag = readable_tag(params)
    if method == "interrupt":
        return _parse_interrupt(params, number)
    if number is None:
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "field 'id' is no number", tag=tag)
    if method == "check":
        return Check(number)
    _require_sound_envelope(message, number, tag)
    if method not in known.classes:
        raise RpcError(UNKNOWN_METHOD, RejectReason.METHOD, "unknown class", number, tag)
    try:
        return Call(number, parse_request(method, params, limits, known))
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


class _UnsoundObject(ValueError):
    """An object whose members cannot be told apart, or that has too many."""


def _object_of_unique_members(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object; raises `_UnsoundObject` if a member stands twice, or if there are too many."""
    if len(members) > MAX_MEMBERS:
        raise _UnsoundObject(f"an object of {len(members)} members")
    result = dict(members)
    if len(result) != len(members):
        raise _UnsoundObject("a member that stands twice")
    return result


def _reject_constant(name: str) -> float:
    """Raise ValueError for `NaN` and `Infinity`, which JSON does not have."""
    raise ValueError(f"{name} is not JSON")


_DECODER = json.JSONDecoder(object_pairs_hook=_object_of_unique_members, parse_constant=_reject_constant)


def _decode_object(view: memoryview) -> dict[str, Any]:
    """Decode a message that is one JSON object; raises RpcError."""
    try:
        message = _DECODER.decode(str(view, "utf-8"))
    except _UnsoundObject as error:
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, str(error)) from None
    except (ValueError, RecursionError):  # RecursionError: deep nesting must not crash the process
        raise RpcError(PARSE_ERROR, RejectReason.JSON, "no JSON") from None
    if not isinstance(message, dict):  # a batch is an array, and not supported
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "no request object")
    return message


def _require_sound_envelope(message: dict[str, Any], number: int, tag: str) -> None:
    """Raise RpcError unless a call has the number and the version that the protocol asks for."""
    if not 1 <= number <= MAX_CALL_NUMBER:
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, "field 'id' is out of range", tag=tag)
    if message.get("jsonrpc") != VERSION:
        text = f"field 'jsonrpc' is not '{VERSION}'"
        raise RpcError(INVALID_REQUEST, RejectReason.REQUEST, text, number, tag)


def _frame_body(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _parse_interrupt(params: dict[str, Any], number: int | None) -> Interrupt:
    target = params.get("id")
    txn = params.get("txn")
    if not isinstance(target, int) and txn is None:
        target = number
    return Interrupt(
        id=target if isinstance(target, int) else None,
        txn=txn if isinstance(txn, str) else None,
    )
