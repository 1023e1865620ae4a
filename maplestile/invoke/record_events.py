"""The journal's form of invocation records: one event a line, with a checksum.

    CHECKSUM {"event":"accepted","id":"5f…","due_us":…,"function":"make-cards","class":"deck-make",…}
    CHECKSUM {"event":"ended","id":"5f…","status":200,"headers":[…],"body":"…"}

The checksum is the CRC-32 of the JSON text in eight hexadecimal digits. A line that a kill or a failed write
has left half done does not match its checksum and is skipped. Times are microseconds of the machine's
monotonic clock, which all processes share until the next boot.
"""

import binascii
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from maplestile.wire.http import Response

CHECKSUM_DIGITS = 8


class EventError(Exception):
    """A line that is no event: it was cut or damaged, or another program has written it."""


class KeyScope(NamedTuple):
    """The scope in which a repeat of an idempotency key is the same invocation."""

    function: str
    tenant: str
    key: str


@dataclass(slots=True)
class StoredInvocation:
    """An invocation as far as the journal tells: what is needed to answer it, or to run it again."""

    id: str
    fingerprint: bytes
    due_us: int  # its deadline
    function: str
    class_name: str
    tenant: str
    key: str  # the caller's idempotency key; empty if there is none
    body: bytes
    deferred: bool
    answer: Response | None = None  # None while it is pending
    delivered: bool = False

    @property
    def scope(self) -> KeyScope | None:
        """The scope of its idempotency key; None without a key."""
        return KeyScope(self.function, self.tenant, self.key) if self.key else None


Invocations = dict[str, StoredInvocation]
"""The invocations that a journal has, by id."""


def encode_accepted(invocation: StoredInvocation) -> bytes:
    """Return the line of an invocation that is taken on."""
    return _encode_line(
        event="accepted",
        id=invocation.id,
        fingerprint=invocation.fingerprint.hex(),
        due_us=invocation.due_us,
        function=invocation.function,
        **{"class": invocation.class_name},
        tenant=invocation.tenant,
        key=invocation.key,
        body=_encode_bytes(invocation.body),
        deferred=invocation.deferred,
    )


def encode_deferred(id_: str) -> bytes:
    """Return the line of an invocation that a repeat has made deferred."""
    return _encode_line(event="deferred", id=id_)


def encode_ended(id_: str, answer: Response) -> bytes:
    """Return the line of an invocation that has its final answer."""
    body = _encode_bytes(answer.body)
    return _encode_line(event="ended", id=id_, status=answer.status, headers=answer.headers, body=body)


def encode_delivered(id_: str) -> bytes:
    """Return the line of an invocation whose answer was given to a caller."""
    return _encode_line(event="delivered", id=id_)


def encode_dropped(id_: str) -> bytes:
    """Return the line of an invocation that is forgotten."""
    return _encode_line(event="dropped", id=id_)


def apply_line(line: bytes, invocations: Invocations) -> str:
    """Apply the event of a line, and return the id of its invocation. Raises EventError.

    An event of an invocation that is not known, as its earlier lines are lost, changes nothing.
    """
    event = _decode_line(line)
    try:
        id_ = str(event["id"])
        if event["event"] == "accepted":
            invocations[id_] = _decode_accepted(event)
        elif event["event"] == "dropped":
            invocations.pop(id_, None)
        elif id_ in invocations:
            _apply_to(invocations[id_], event)
    except (KeyError, TypeError, ValueError) as error:
        raise EventError(f"an event without its fields: {error!r:.80}") from None
    return id_


def _apply_to(invocation: StoredInvocation, event: Mapping[str, Any]) -> None:
    """Apply the event of a known invocation. Raises EventError, KeyError, TypeError or ValueError."""
    match event["event"]:
        case "deferred":
            invocation.deferred = True
        case "ended":
            invocation.answer = _decode_answer(event)
        case "delivered":
            invocation.delivered = True
        case unknown:
            raise EventError(f"unknown event {unknown!r:.40}")


def _decode_accepted(event: Mapping[str, Any]) -> StoredInvocation:
    return StoredInvocation(
        id=str(event["id"]),
        fingerprint=bytes.fromhex(event["fingerprint"]),
        due_us=int(event["due_us"]),
        function=str(event["function"]),
        class_name=str(event["class"]),
        tenant=str(event["tenant"]),
        key=str(event["key"]),
        body=binascii.a2b_base64(event["body"]),
        deferred=bool(event["deferred"]),
    )


def _decode_answer(event: Mapping[str, Any]) -> Response:
    headers = tuple((str(name), str(value)) for name, value in event["headers"])
    return Response(int(event["status"]), binascii.a2b_base64(event["body"]), headers)


def _encode_line(**event: Any) -> bytes:
    text = json.dumps(event, separators=(",", ":")).encode()
    return b"%08x %b\n" % (binascii.crc32(text), text)


def _decode_line(line: bytes) -> dict[str, Any]:
    checksum, _, text = line.rstrip(b"\n").partition(b" ")
    if len(checksum) != CHECKSUM_DIGITS or checksum != b"%08x" % binascii.crc32(text):
        raise EventError("the checksum does not match")
    try:
        event = json.loads(text)
    except (ValueError, RecursionError):
        raise EventError("no JSON") from None
    if not isinstance(event, dict):
        raise EventError("no object")
    return event


def _encode_bytes(data: bytes) -> str:
    return binascii.b2a_base64(data, newline=False).decode()
