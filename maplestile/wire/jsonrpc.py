"""JSON-RPC 2.0 behind `Content-Length` heads: framing, and the platform's requests and answers."""

import binascii
import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from maplestile.dispatch.api import Idempotency, Settings
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Request, Verdict

HEAD_END = b"\r\n\r\n"
PARSE_ERROR, INVALID_REQUEST, UNKNOWN_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REFUSED, FAILED, EXPIRED = -32050, -32051, -32052
TEXT_MOST, FIGURE_MOST = 256, 1e9
TXN, NAME = re.compile("[0-9a-fA-F]{16}"), re.compile("[0-9A-Za-z._-]{1,64}")


class FramingError(Exception):
    """The stream cannot be followed any further."""


class RpcError(Exception):
    """One message that gets an error answer; the connection goes on."""

    def __init__(self, code: int, text: str, id_: object = None) -> None:
        super().__init__(text)
        self.code, self.id = code, id_


@dataclass(slots=True, frozen=True)
class Known:
    """What a request may name."""

    classes: Mapping[str, bool]  # and whether its requests carry an idempotency key
    tenants: frozenset[str]

    @classmethod
    def of(cls, settings: Settings) -> "Known":
        classes = {kind.name: kind.idempotency is Idempotency.WITH_KEY for kind in settings.classes}
        return cls(classes, frozenset(settings.tenants))


@dataclass(slots=True)
class Call:
    id: int
    request: Request


@dataclass(slots=True, frozen=True)
class Interrupt:
    id: int | None
    txn: str | None


@dataclass(slots=True, frozen=True)
class Check:
    id: int


class Framer:
    """Cuts a byte stream into messages: slices of what was fed, good till the next feed."""

    def __init__(self, limits: Limits) -> None:
        self.limits, self.rest = limits, b""

    def feed(self, data: bytes) -> Iterator[memoryview]:
        buffer = self.rest + data if self.rest else data
        view, at = memoryview(buffer), 0
        self.rest = b""
        while (end := buffer.find(HEAD_END, at, at + self.limits.head_bytes)) >= 0:
            body = end + len(HEAD_END)
            size = self._size(buffer[at:end])
            if body + size > len(buffer):
                break
            yield view[body : body + size]
            at = body + size
        if end < 0 and len(buffer) - at >= self.limits.head_bytes:
            raise FramingError("a head without an end")
        self.rest = bytes(view[at:])  # outlives the buffer

    def _size(self, head: bytes) -> int:
        sizes = []
        for line in head.split(b"\r\n"):
            name, colon, value = line.partition(b":")
            if not colon:
                raise FramingError("a head line without a colon")
            if name.strip().lower() == b"content-length":
                sizes.append(value.strip())
        # Digits alone: int() would take signs, underscores and spaces, and a peer might read them otherwise.
        if len(sizes) != 1 or not sizes[0].isdigit() or len(sizes[0]) > 9:
            raise FramingError("no single Content-Length")
        if (size := int(sizes[0])) > self.limits.message_bytes:
            raise FramingError(f"a message of {size} bytes")
        return size


def frame(message: dict[str, Any]) -> bytes:
    return _framed(json.dumps(message, separators=(",", ":")).encode())


def _framed(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def parse(view: memoryview, limits: Limits, known: Known) -> Call | Interrupt | Check:
    try:
        message = json.loads(str(view, "utf-8"))
    except (ValueError, RecursionError):  # deep nesting must not end the program
        raise RpcError(PARSE_ERROR, "no JSON") from None
    if not isinstance(message, dict):  # a batch, too
        raise RpcError(INVALID_REQUEST, "no request object")
    id_, method, params = message.get("id"), message.get("method"), message.get("params", {})
    number = id_ if isinstance(id_, int) and not isinstance(id_, bool) else None
    if not isinstance(method, str) or not isinstance(params, dict):
        raise RpcError(INVALID_REQUEST, "no method or no params object", number)
    if method == "interrupt":
        target, txn = params.get("id"), params.get("txn")
        if not isinstance(target, int) and txn is None:
            target = number
        return Interrupt(target if isinstance(target, int) else None, txn if isinstance(txn, str) else None)
    if number is None:
        raise RpcError(INVALID_REQUEST, "field 'id' is no number")
    if method == "check":
        return Check(number)
    if method not in known.classes:
        raise RpcError(UNKNOWN_METHOD, "unknown class", number)
    try:
        return Call(number, _request(method, params, limits, known))
    except (ValueError, OverflowError) as fault:
        raise RpcError(INVALID_PARAMS, str(fault), number) from None


def _request(class_name: str, params: dict[str, Any], limits: Limits, known: Known) -> Request:
    extras = _figures(_text(params, "info", ""))
    limit_us = int(_figure(params, "limit") * 1000)
    if not 0 < limit_us <= limits.wait_most_us:
        raise ValueError("field 'limit' is out of range")
    tenant = _text(params, "team", "")
    if known.tenants and tenant not in known.tenants:
        raise ValueError("field 'team' names no tenant")
    key = params.get("unique", "")
    if known.classes[class_name] or key:
        key = _name(params, "unique", NAME)
    return Request(
        _name(params, "txn", TXN),
        _name(params, "item", NAME),
        class_name,
        limit_us,
        extras.get("memory_mb", 0.0),
        max(1, int(extras.get("lanes", 1.0))),
        int(_figure(params, "cpu", 0.0) * 1000),
        tenant,
        params.get("second") in (1, "1", True),
        key,
        _body(params.get("blob", ""), limits),
    )


@lru_cache(1024)
def _figures(text: str) -> dict[str, float]:
    """The further figures; few functions make most calls, so few texts come again and again."""
    figures = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            figures[name] = _in_range(name, float(value))
        except ValueError:
            continue  # a further figure of another form is none of ours
    return figures


def _text(params: dict[str, Any], name: str, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or len(value) > TEXT_MOST:
        raise ValueError(f"field '{name}' is no short string")
    return value


def _name(params: dict[str, Any], name: str, form: re.Pattern[str]) -> str:
    """Names go on to runners: one that a runner cannot read would cost all that is open there."""
    value = params.get(name)
    if not isinstance(value, str) or not form.fullmatch(value):
        raise ValueError(f"field '{name}' is no name of its form")
    return value


def _figure(params: dict[str, Any], name: str, default: float | None = None) -> float:
    value = params.get(name, default)
    try:
        return _in_range(name, float(value))  # type: ignore[arg-type]
    except TypeError:
        raise ValueError(f"field '{name}' is no number") from None


def _in_range(name: str, figure: float) -> float:
    if not 0 <= figure < FIGURE_MOST:  # no sign, no NaN, no infinity: they would poison the timers
        raise ValueError(f"field '{name}' is out of range")
    return figure


def _body(blob: Any, limits: Limits) -> bytes:
    try:
        body = binascii.a2b_base64(blob, strict_mode=True)
    except (TypeError, ValueError):
        raise ValueError("field 'blob' is no base64") from None
    if len(body) > limits.body_bytes:
        raise ValueError("field 'blob' is too long")
    return body


def answer(id_: int, outcome: Outcome) -> bytes:
    if outcome.verdict is Verdict.SERVED:
        blob = binascii.b2a_base64(outcome.body, newline=False)
        # By hand: the hot path's answer.
        return _framed(b'{"jsonrpc":"2.0","id":%d,"result":{"blob":"%b"}}' % (id_, blob))
    if outcome.verdict is Verdict.REFUSED:
        later = max(1, outcome.retry_after_us // 1000)
        return error(id_, REFUSED, "refused", {"later": later})
    code, text = (EXPIRED, "out of time") if outcome.verdict is Verdict.EXPIRED else (FAILED, "failed")
    return error(id_, code, text)


def error(id_: object, code: int, text: str, data: dict[str, Any] | None = None) -> bytes:
    told = {"code": code, "message": text} | ({"data": data} if data else {})
    return frame({"jsonrpc": "2.0", "id": id_, "error": told})


def result(id_: int, value: dict[str, Any]) -> bytes:
    return frame({"jsonrpc": "2.0", "id": id_, "result": value})
