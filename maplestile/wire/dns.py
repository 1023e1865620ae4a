"""The part of DNS (RFC 1035, SRV of RFC 2782) that the name server speaks: queries out, whole lists in."""

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from maplestile.dispatch.api import WorkerEntry, WorkerState

A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
RESPONSE, TRUNCATED, RCODE = 0x8000, 0x0200, 0x000F
HEAD = struct.Struct("!6H")
FIXED = struct.Struct("!HHIH")
POINTER, LABEL_MOST, NAME_MOST = 0xC0, 63, 255
WEIGHT_UNIT = 10  # the name server gives ten times the weight


class DnsError(Exception):
    """A reply that cannot be used."""


class Truncated(DnsError):
    """A reply that says it is not whole."""


@dataclass(slots=True)
class Host:
    address: str = ""
    texts: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Target:
    name: str
    port: int
    priority: int
    weight: int


@dataclass(slots=True)
class Reply:
    id: int
    question: tuple[str, int] | None = None  # the name, in small letters, and the kind that it answers
    serial: int | None = None
    targets: list[Target] = field(default_factory=list)
    hosts: dict[str, Host] = field(default_factory=dict)

    def lacking(self, targets: Iterable[Target]) -> Iterator[tuple[str, int]]:
        """What must be asked for by itself, since this reply did not hold it."""
        for target in targets:
            host = self.hosts.get(target.name.lower(), Host())
            if not host.address:
                yield target.name, A
            if not host.texts:
                yield target.name, TXT


def query(id_: int, name: str, kind: int) -> bytes:
    labels = b"".join(bytes([len(part)]) + part.encode() for part in name.strip(".").split("."))
    return HEAD.pack(id_, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack("!HH", kind, IN)


def parse(data: bytes) -> Reply:
    try:
        return _parse(data)
    except (struct.error, IndexError, UnicodeDecodeError) as fault:
        raise DnsError(f"not whole: {fault}") from None


def _parse(data: bytes) -> Reply:
    id_, flags, questions, answers, authority, additional = HEAD.unpack_from(data)
    if not flags & RESPONSE:
        raise DnsError("no reply")
    if flags & TRUNCATED:
        raise Truncated("truncated")
    if flags & RCODE:
        raise DnsError(f"error code {flags & RCODE}")
    at = HEAD.size
    reply = Reply(id_)
    for _ in range(questions):
        name, at = _name(data, at)
        reply.question = name.lower(), struct.unpack_from("!H", data, at)[0]
        at += 4
    for _ in range(answers + authority + additional):
        name, at = _name(data, at)
        kind, _, _, size = FIXED.unpack_from(data, at)
        at += FIXED.size
        if at + size > len(data):
            raise DnsError("a record past the end")
        _record(reply, data, name, kind, at, size)
        at += size
    return reply


def _record(reply: Reply, data: bytes, name: str, kind: int, at: int, size: int) -> None:
    if kind == SRV and (reply.question is None or name.lower() == reply.question[0]):
        priority, weight, port = struct.unpack_from("!3H", data, at)
        reply.targets.append(Target(_name(data, at + 6)[0], port, priority, weight))
    elif kind == A and size == 4:
        reply.hosts.setdefault(name.lower(), Host()).address = ".".join(map(str, data[at : at + 4]))
    elif kind == TXT:
        host, end = reply.hosts.setdefault(name.lower(), Host()), at + size
        while at < end:
            text = data[at + 1 : min(end, at + 1 + data[at])].decode()
            key, _, value = text.partition("=")
            host.texts[key] = value
            at += 1 + data[at]
    elif kind == SOA:
        after = _name(data, _name(data, at)[1])[1]
        reply.serial = struct.unpack_from("!I", data, after)[0]


def _name(data: bytes, at: int) -> tuple[str, int]:
    """The name at a place, and the place after it."""
    labels: list[str] = []
    after, length = 0, 0
    while (size := data[at]) != 0:
        if size & POINTER == POINTER:
            target = struct.unpack_from("!H", data, at)[0] & 0x3FFF
            after = after or at + 2
            if target >= at:  # pointers only lead back: a loop would never end
                raise DnsError("a pointer that leads ahead")
            at = target
            continue
        if size > LABEL_MOST or (length := length + size + 1) > NAME_MOST:
            raise DnsError("a name too long")
        labels.append(data[at + 1 : at + 1 + size].decode())
        at += 1 + size
    return ".".join(labels), after or at + 1


def entry(reply: Reply, target: Target) -> tuple[WorkerEntry, tuple[str, int]]:
    """One worker of a whole list, and its address."""
    host = reply.hosts.get(target.name.lower())
    labels = target.name.split(".")
    if host is None or not host.address or len(labels) < 2:
        raise DnsError(f"no address for {target.name}")
    try:
        cell, started = int(host.texts.get("cell", 0)), int(host.texts.get("started", 0))
    except ValueError:
        raise DnsError(f"an odd text for {target.name}") from None
    state = WorkerState.DRAINING if target.priority else WorkerState.RUNNING
    kind, weight = host.texts.get("kind", ""), target.weight / WEIGHT_UNIT
    told = WorkerEntry(labels[0], labels[1], kind, cell, state, weight, started * 1000)
    return told, (host.address, target.port)
