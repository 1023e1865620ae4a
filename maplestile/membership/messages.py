"""The messages of the membership protocol and their codec: one msgpack map per datagram.

    {"k": kind, "q": sequence, "s": source, "t": target, "a": [host, port] of the target (ping-req only),
     "r": [host, port] to reply to, "d": digest of the sender's view (pings and acks),
     "g": [[status, name, host, port, incarnation, by], ...],
     "f": [[runner, whether it answers, version, by], ...]}

Hosts are IP addresses. A datagram that is not valid msgpack, or whose map does not have this shape, raises a
`DatagramError` that names the invalid field; no part of the datagram is used.
"""

import ipaddress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgpack  # type: ignore[import-untyped]  # msgpack ships no type information

from maplestile.common.address import Address
from maplestile.membership.health_checks import HealthFinding


class MessageKind(StrEnum):
    """The kinds of messages; the values are their names on the wire."""

    PING = "ping"
    ACK = "ack"
    PING_REQ = "req"  # SWIM's ping-req: a request to ping the target for the sender
    NACK = "nack"  # Lifeguard: from a helper that has no ack from the target yet
    JOIN = "join"  # the sender's full state, and a request for the receiver's
    SYNC = "sync"  # the sender's full state
    GOSSIP = "word"  # only updates and findings


class Status(StrEnum):
    """The status of a member; the values are the names on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


KINDS_BY_NAME = {kind.value: kind for kind in MessageKind}
STATUSES_BY_NAME = {status.value: status for status in Status}
KINDS_WITH_TARGET = (MessageKind.PING, MessageKind.PING_REQ)

MAX_NAME_BYTES = 64
MAX_RUNNER_ID_BYTES = 128
MAX_LIST_ENTRIES = 4096  # of each list in a datagram
SEQUENCE_BITS = 32
DIGEST_BITS = 64  # 8 * `member_list.DIGEST_BYTES`
COUNTER_BITS = 63  # size of incarnations and versions
PORT_LIMIT = 1 << 16  # ports are below this
IPV6_SCOPE_SEPARATOR = "%"
ADDRESS_FIELD_COUNT = 2
UPDATE_FIELD_COUNT = 6
FINDING_FIELD_COUNT = 4


class DatagramError(ValueError):
    """A datagram that is invalid; the text names the invalid field."""


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """A report by the member `by`: the member `name` at `address` has `status` in its `incarnation`."""

    status: Status
    name: str
    address: Address
    incarnation: int
    by: str  # name of the reporting member


@dataclass(slots=True)
class Message:
    """One message of the protocol; `sequence` matches an ack or nack to its ping or ping request."""

    kind: MessageKind
    sequence: int  # 0 in full states
    source: str  # name of the sending member; in a relayed ack, of the pinged member
    target: str = ""  # name of the member to ping; empty in messages of other kinds
    target_address: Address | None = None  # None except in a ping request
    reply_to: Address = ("", 0)  # the address of the sender
    gossip: list[MemberUpdate] = field(default_factory=list)
    findings: list[HealthFinding] = field(default_factory=list)
    digest: int | None = None  # 64-bit `MemberList.digest` of the sender; None except in pings and acks


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    fields: dict[str, Any] = {
        "k": message.kind,
        "q": message.sequence,
        "s": message.source,
        "r": list(message.reply_to),
    }
    if message.target:
        fields["t"] = message.target
    if message.target_address is not None:
        fields["a"] = list(message.target_address)
    if message.digest is not None:
        fields["d"] = message.digest
    if message.gossip:
        fields["g"] = [_encode_update(update) for update in message.gossip]
    if message.findings:
        fields["f"] = [_encode_finding(finding) for finding in message.findings]
    return bytes(msgpack.packb(fields))


def decode(datagram: bytes) -> Message:
    """Decode a datagram into a message. Raises DatagramError."""
    fields = _decode_map(datagram)
    kind = _decode_kind(fields)
    message = Message(
        kind,
        _decode_unsigned(fields, "q", SEQUENCE_BITS),
        _decode_name(fields.get("s"), "s"),
        reply_to=_decode_address(fields.get("r"), "r"),
    )
    if kind in KINDS_WITH_TARGET:
        message.target = _decode_name(fields.get("t"), "t")
    if kind is MessageKind.PING_REQ:
        message.target_address = _decode_address(fields.get("a"), "a")
    if "d" in fields:
        message.digest = _decode_unsigned(fields, "d", DIGEST_BITS)
    message.gossip = [
        _decode_update(item, f"g[{index}]") for index, item in enumerate(_decode_list(fields, "g"))
    ]
    message.findings = [
        _decode_finding(item, f"f[{index}]") for index, item in enumerate(_decode_list(fields, "f"))
    ]
    return message


def _encode_update(update: MemberUpdate) -> list[str | int]:
    host, port = update.address
    return [update.status, update.name, host, port, update.incarnation, update.by]


def _encode_finding(finding: HealthFinding) -> list[str | int]:
    return [finding.runner, finding.answers, finding.version, finding.by]


def _decode_map(datagram: bytes) -> dict[str, Any]:
    try:
        fields = msgpack.unpackb(datagram, raw=False, strict_map_key=True, max_array_len=MAX_LIST_ENTRIES)
    except (ValueError, msgpack.ExtraData, msgpack.FormatError, msgpack.StackError) as error:
        raise DatagramError(f"datagram: not msgpack: {type(error).__name__}") from None
    if not isinstance(fields, dict):
        raise DatagramError("datagram: not a map")
    return fields


def _decode_kind(fields: dict[str, Any]) -> MessageKind:
    text = fields.get("k")
    if not isinstance(text, str):
        raise DatagramError("k: not a text")
    kind = KINDS_BY_NAME.get(text)
    if kind is None:
        raise DatagramError(f"k: unknown kind {text[:MAX_NAME_BYTES]!r}")
    return kind


def _decode_list(fields: dict[str, Any], key: str) -> list[Any]:
    value = fields.get(key, [])
    if not isinstance(value, list):
        raise DatagramError(f"{key}: not a list")
    return value


def _decode_finding(item: Any, field_path: str) -> HealthFinding:
    if not isinstance(item, list) or len(item) != FINDING_FIELD_COUNT:
        raise DatagramError(f"{field_path}: not a list of {FINDING_FIELD_COUNT} fields")
    runner, answers, version, by = item
    if not isinstance(runner, str) or not 0 < len(runner.encode()) <= MAX_RUNNER_ID_BYTES:
        raise DatagramError(f"{field_path}[0]: not a runner id of 1 to {MAX_RUNNER_ID_BYTES} bytes")
    if not isinstance(answers, bool):
        raise DatagramError(f"{field_path}[1]: not true or false")
    if not _is_unsigned(version, COUNTER_BITS):
        raise DatagramError(f"{field_path}[2]: not a version number of {COUNTER_BITS} bits")
    return HealthFinding(runner, answers, version, _decode_name(by, f"{field_path}[3]"))


def _decode_update(item: Any, field_path: str) -> MemberUpdate:
    if not isinstance(item, list) or len(item) != UPDATE_FIELD_COUNT:
        raise DatagramError(f"{field_path}: not a list of {UPDATE_FIELD_COUNT} fields")
    status_text, name, host, port, incarnation, by = item
    status = STATUSES_BY_NAME.get(status_text) if isinstance(status_text, str) else None
    if status is None:
        raise DatagramError(f"{field_path}[0]: unknown status")
    address = _decode_address([host, port], field_path)
    if not _is_unsigned(incarnation, COUNTER_BITS):
        raise DatagramError(f"{field_path}[4]: not an incarnation number of {COUNTER_BITS} bits")
    return MemberUpdate(
        status,
        _decode_name(name, f"{field_path}[1]"),
        address,
        incarnation,
        _decode_name(by, f"{field_path}[5]"),
    )


def _decode_unsigned(fields: dict[str, Any], key: str, bits: int) -> int:
    value = fields.get(key)
    if not isinstance(value, int) or not _is_unsigned(value, bits):
        raise DatagramError(f"{key}: not a number of {bits} bits")
    return value


def _is_unsigned(value: Any, bits: int) -> bool:
    """Return whether a value is an unsigned integer of at most this many bits, and not a bool."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << bits


def _decode_name(value: Any, field_path: str) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= MAX_NAME_BYTES:
        raise DatagramError(f"{field_path}: not a name of 1 to {MAX_NAME_BYTES} bytes")
    return value


def _decode_address(value: Any, field_path: str) -> Address:
    if not isinstance(value, list) or len(value) != ADDRESS_FIELD_COUNT:
        raise DatagramError(f"{field_path}: not [host, port]")
    host, port = value
    if not isinstance(host, str) or not _is_ip_address(host):
        raise DatagramError(f"{field_path}: not [host, port]")
    if not isinstance(port, int) or not 0 <= port < PORT_LIMIT:
        raise DatagramError(f"{field_path}: not [host, port]")
    return host, port


def _is_ip_address(host: str) -> bool:
    """Return whether a host is an IP address; a name would be resolved, and some names cannot be sent to."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return IPV6_SCOPE_SEPARATOR not in host
