"""The membership protocol's messages, and their form on the wire: one msgpack map a datagram.

A datagram that msgpack cannot read, or whose map is not of the shape below, raises `DatagramError` with the
place that is wrong; nothing of it is taken.

    {"k": kind, "q": seq, "s": source, "t": target, "a": [host, port] of the target (req only),
     "r": [host, port] to answer to, "d": digest of the view (pings and acks),
     "g": [[status, name, host, port, incarnation, by], ...],
     "f": [[runner, whether it answers, version, by], ...]}
"""

from dataclasses import dataclass, field
from typing import Any

import msgpack  # type: ignore[import-untyped]  # it has no marker of its types

from maplestile.common.address import Address
from maplestile.membership.health_checks import HealthFinding

KINDS = ("ping", "ack", "req", "nack", "join", "sync", "word")
STATUSES = ("alive", "suspect", "dead", "left")
NAME_BYTES, RUNNER_BYTES, ENTRIES_MOST = 64, 128, 4096


class DatagramError(ValueError):
    """A datagram that cannot be used; the text names the place."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One rumour: `name` at `address` has `status` in its `incarnation`, as `by` tells."""

    status: str
    name: str
    address: Address
    incarnation: int
    by: str


@dataclass(slots=True)
class Message:
    kind: str
    seq: int
    source: str
    target: str = ""
    target_address: Address | None = None
    reply_to: Address = ("", 0)
    gossip: list[Entry] = field(default_factory=list)
    findings: list[HealthFinding] = field(default_factory=list)
    digest: int | None = None  # of the sender's view, 64 bits; see `Swim.digest`


def encode(message: Message) -> bytes:
    told: dict[str, Any] = {
        "k": message.kind,
        "q": message.seq,
        "s": message.source,
        "r": list(message.reply_to),
    }
    if message.target:
        told["t"] = message.target
    if message.target_address is not None:
        told["a"] = list(message.target_address)
    if message.digest is not None:
        told["d"] = message.digest
    if message.gossip:
        told["g"] = [
            [e.status, e.name, e.address[0], e.address[1], e.incarnation, e.by] for e in message.gossip
        ]
    if message.findings:
        told["f"] = [[f.runner, f.answers, f.version, f.by] for f in message.findings]
    return bytes(msgpack.packb(told))


def decode(datagram: bytes) -> Message:
    try:
        told = msgpack.unpackb(datagram, raw=False, strict_map_key=True, max_array_len=ENTRIES_MOST)
    except (ValueError, msgpack.ExtraData, msgpack.FormatError, msgpack.StackError) as fault:
        raise DatagramError(f"datagram: not msgpack: {type(fault).__name__}") from None
    if not isinstance(told, dict):
        raise DatagramError("datagram: not a map")
    kind = _text(told, "k")
    if kind not in KINDS:
        raise DatagramError(f"k: unknown kind {kind[:NAME_BYTES]!r}")
    message = Message(
        kind, _number(told, "q", 32), _name(told.get("s"), "s"), reply_to=_address(told.get("r"), "r")
    )
    if kind in ("ping", "req"):
        message.target = _name(told.get("t"), "t")
    if kind == "req":
        message.target_address = _address(told.get("a"), "a")
    if "d" in told:
        message.digest = _number(told, "d", 64)
    message.gossip = [_entry(entry, f"g[{place}]") for place, entry in enumerate(_list(told, "g"))]
    message.findings = [_finding(one, f"f[{place}]") for place, one in enumerate(_list(told, "f"))]
    return message


def _list(told: dict[str, Any], key: str) -> list[Any]:
    value = told.get(key, [])
    if not isinstance(value, list):
        raise DatagramError(f"{key}: not a list")
    return value


def _finding(told: Any, place: str) -> HealthFinding:
    if not isinstance(told, list) or len(told) != 4:
        raise DatagramError(f"{place}: not a list of four")
    runner, answers, version, by = told
    if not isinstance(runner, str) or not 0 < len(runner.encode()) <= RUNNER_BYTES:
        raise DatagramError(f"{place}[0]: not a runner's id")
    if not isinstance(answers, bool):
        raise DatagramError(f"{place}[1]: not true or false")
    if not isinstance(version, int) or isinstance(version, bool) or not 0 <= version < 1 << 63:
        raise DatagramError(f"{place}[2]: not a version")
    return HealthFinding(runner, answers, version, _name(by, f"{place}[3]"))


def _entry(told: Any, place: str) -> Entry:
    if not isinstance(told, list) or len(told) != 6:
        raise DatagramError(f"{place}: not a list of six")
    status, name, host, port, incarnation, by = told
    if status not in STATUSES:
        raise DatagramError(f"{place}[0]: unknown status")
    address = _address([host, port], place)
    if not isinstance(incarnation, int) or isinstance(incarnation, bool) or not 0 <= incarnation < 1 << 63:
        raise DatagramError(f"{place}[4]: not an incarnation")
    return Entry(status, _name(name, f"{place}[1]"), address, incarnation, _name(by, f"{place}[5]"))


def _text(told: dict[str, Any], key: str) -> str:
    value = told.get(key)
    if not isinstance(value, str):
        raise DatagramError(f"{key}: not a text")
    return value


def _number(told: dict[str, Any], key: str, bits: int) -> int:
    value = told.get(key)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << bits:
        raise DatagramError(f"{key}: not a number of {bits} bits")
    return value


def _name(value: Any, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= NAME_BYTES:
        raise DatagramError(f"{place}: not a name of 1 to {NAME_BYTES} bytes")
    return value


def _address(value: Any, place: str) -> Address:
    if not isinstance(value, list) or len(value) != 2:
        raise DatagramError(f"{place}: not [host, port]")
    host, port = value
    if not isinstance(host, str) or len(host) > 255 or not isinstance(port, int) or not 0 <= port < 65536:
        raise DatagramError(f"{place}: not [host, port]")
    return host, port
