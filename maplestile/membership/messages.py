"""The membership protocol's messages, and their codec: one msgpack map a datagram.

    {"k": kind, "q": sequence, "s": source, "t": target, "a": [host, port] of the target (ping-req only),
     "r": [host, port] to answer to, "d": digest of the view (pings and acks),
     "g": [[status, name, host, port, incarnation, by], ...],
     "f": [[runner, whether it answers, version, by], ...]}

A datagram that msgpack cannot read, or whose map is not of this shape, raises `DatagramError` with the place
that is wrong; nothing of it is taken.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgpack  # type: ignore[import-untyped]  # it has no marker of its types

from maplestile.common.address import Address
from maplestile.membership.health_checks import HealthFinding


class MessageKind(StrEnum):
    """The kinds of messages, by their names on the wire."""

    PING = "ping"
    ACK = "ack"
    PING_REQ = "req"  # SWIM's ping-req: a request to ping the target for the sender
    NACK = "nack"  # Lifeguard: the helper is reached, but the target has not answered it yet
    JOIN = "join"  # a full state, and a request for the receiver's
    SYNC = "sync"  # a full state
    GOSSIP = "word"  # updates and findings alone


class Status(StrEnum):
    """A member's status, by its name on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


KIND_BY_TEXT = {kind.value: kind for kind in MessageKind}
STATUS_BY_TEXT = {status.value: status for status in Status}
KINDS_WITH_TARGET = (MessageKind.PING, MessageKind.PING_REQ)

NAME_BYTES = 64
RUNNER_BYTES = 128
HOST_CHARACTERS = 255
MAX_ENTRIES = 4096  # in any list of a datagram
SEQUENCE_BITS = 32
DIGEST_BITS = 64
COUNTER_BITS = 63  # of incarnations and versions
PORTS = 1 << 16
ADDRESS_FIELDS = 2
UPDATE_FIELDS = 6
FINDING_FIELDS = 4


class DatagramError(ValueError):
    """A datagram that cannot be used; the text names the place."""


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """One piece of gossip: `name` at `address` has `status` in its `incarnation`, as `by` reports."""

    status: Status
    name: str
    address: Address
    incarnation: int
    by: str


@dataclass(slots=True)
class Message:
    """One message of the protocol; `sequence` ties an answer to its probe."""

    kind: MessageKind
    sequence: int
    source: str
    target: str = ""
    target_address: Address | None = None
    reply_to: Address = ("", 0)
    gossip: list[MemberUpdate] = field(default_factory=list)
    findings: list[HealthFinding] = field(default_factory=list)
    digest: int | None = None  # of the sender's view, 64 bits; see `MemberList.digest`


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    payload: dict[str, Any] = {
        "k": message.kind,
        "q": message.sequence,
        "s": message.source,
        "r": list(message.reply_to),
    }
    if message.target:
        payload["t"] = message.target
    if message.target_address is not None:
        payload["a"] = list(message.target_address)
    if message.digest is not None:
        payload["d"] = message.digest
    if message.gossip:
        payload["g"] = [_update_payload(update) for update in message.gossip]
    if message.findings:
        payload["f"] = [_finding_payload(finding) for finding in message.findings]
    return bytes(msgpack.packb(payload))


def decode(datagram: bytes) -> Message:
    """Return the message of a datagram. Raises DatagramError."""
    payload = _unpack(datagram)
    kind = _kind(payload)
    message = Message(
        kind,
        _number(payload, "q", SEQUENCE_BITS),
        _name(payload.get("s"), "s"),
        reply_to=_address(payload.get("r"), "r"),
    )
    if kind in KINDS_WITH_TARGET:
        message.target = _name(payload.get("t"), "t")
    if kind is MessageKind.PING_REQ:
        message.target_address = _address(payload.get("a"), "a")
    if "d" in payload:
        message.digest = _number(payload, "d", DIGEST_BITS)
    message.gossip = [_update(item, f"g[{index}]") for index, item in enumerate(_list(payload, "g"))]
    message.findings = [_finding(item, f"f[{index}]") for index, item in enumerate(_list(payload, "f"))]
    return message


def _update_payload(update: MemberUpdate) -> list[str | int]:
    host, port = update.address
    return [update.status, update.name, host, port, update.incarnation, update.by]


def _finding_payload(finding: HealthFinding) -> list[str | int]:
    return [finding.runner, finding.answers, finding.version, finding.by]


def _unpack(datagram: bytes) -> dict[str, Any]:
    try:
        payload = msgpack.unpackb(datagram, raw=False, strict_map_key=True, max_array_len=MAX_ENTRIES)
    except (ValueError, msgpack.ExtraData, msgpack.FormatError, msgpack.StackError) as error:
        raise DatagramError(f"datagram: not msgpack: {type(error).__name__}") from None
    if not isinstance(payload, dict):
        raise DatagramError("datagram: not a map")
    return payload


def _kind(payload: dict[str, Any]) -> MessageKind:
    text = payload.get("k")
    if not isinstance(text, str):
        raise DatagramError("k: not a text")
    kind = KIND_BY_TEXT.get(text)
    if kind is None:
        raise DatagramError(f"k: unknown kind {text[:NAME_BYTES]!r}")
    return kind


def _list(payload: dict[str, Any], key: str) -> list[Any]:
    value = payload.get(key, [])
    if not isinstance(value, list):
        raise DatagramError(f"{key}: not a list")
    return value


def _finding(item: Any, place: str) -> HealthFinding:
    if not isinstance(item, list) or len(item) != FINDING_FIELDS:
        raise DatagramError(f"{place}: not a list of four")
    runner, answers, version, by = item
    if not isinstance(runner, str) or not 0 < len(runner.encode()) <= RUNNER_BYTES:
        raise DatagramError(f"{place}[0]: not a runner's id")
    if not isinstance(answers, bool):
        raise DatagramError(f"{place}[1]: not true or false")
    if not _is_unsigned(version, COUNTER_BITS):
        raise DatagramError(f"{place}[2]: not a version")
    return HealthFinding(runner, answers, version, _name(by, f"{place}[3]"))


def _update(item: Any, place: str) -> MemberUpdate:
    if not isinstance(item, list) or len(item) != UPDATE_FIELDS:
        raise DatagramError(f"{place}: not a list of six")
    status_text, name, host, port, incarnation, by = item
    status = STATUS_BY_TEXT.get(status_text) if isinstance(status_text, str) else None
    if status is None:
        raise DatagramError(f"{place}[0]: unknown status")
    address = _address([host, port], place)
    if not _is_unsigned(incarnation, COUNTER_BITS):
        raise DatagramError(f"{place}[4]: not an incarnation")
    return MemberUpdate(status, _name(name, f"{place}[1]"), address, incarnation, _name(by, f"{place}[5]"))


def _number(payload: dict[str, Any], key: str, bits: int) -> int:
    value = payload.get(key)
    if not isinstance(value, int) or not _is_unsigned(value, bits):
        raise DatagramError(f"{key}: not a number of {bits} bits")
    return value


def _is_unsigned(value: Any, bits: int) -> bool:
    """Return whether a value is an unsigned integer of so many bits; a truth value is none."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << bits


def _name(value: Any, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= NAME_BYTES:
        raise DatagramError(f"{place}: not a name of 1 to {NAME_BYTES} bytes")
    return value


def _address(value: Any, place: str) -> Address:
    if not isinstance(value, list) or len(value) != ADDRESS_FIELDS:
        raise DatagramError(f"{place}: not [host, port]")
    host, port = value
    if not isinstance(host, str) or len(host) > HOST_CHARACTERS:
        raise DatagramError(f"{place}: not [host, port]")
    if not isinstance(port, int) or not 0 <= port < PORTS:
        raise DatagramError(f"{place}: not [host, port]")
    return host, port
