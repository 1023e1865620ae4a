"""The subset of DNS that the name server uses (RFC 1035, and SRV records of RFC 2782)."""

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from maplestile.dispatch.api import WorkerEntry, WorkerState

# Record types, and the class that all records have.
A = 1
SOA = 6
TXT = 16
SRV = 33
IN = 1

# Flags of a message header.
RESPONSE = 0x8000
TRUNCATED = 0x0200
RECURSION_DESIRED = 0x0100
RCODE = 0x000F

HEADER = struct.Struct("!6H")  # identifier, flags, and the counts of the four sections
QUESTION = struct.Struct("!HH")  # type and class, after the name
RECORD = struct.Struct("!HHIH")  # type, class, time to live and size of the data, after the name
SERVICE = struct.Struct("!3H")  # priority, weight and port, before the name of the target

POINTER = 0xC0  # the two top bits of a length byte; both are set in a compression pointer
POINTER_OFFSET = 0x3FFF  # the bits of a pointer that hold its offset
MAX_LABEL_BYTES = 63
MAX_NAME_BYTES = 255
IPV4_BYTES = 4

WEIGHT_UNIT = 10  # weight in an SRV record for a worker of weight 1
REQUIRED_TEXTS = ("kind", "cell", "started")  # the names in the TXT records of each host
US_PER_MS = 1000


class DnsError(Exception):
    """Raised for a reply that cannot be used."""


class Truncated(DnsError):
    """A reply that the server has truncated."""


@dataclass(slots=True)
class Host:
    """The records of one host in a reply."""

    address: str = ""  # IPv4, from an A record; empty if there is none
    texts: dict[str, str] = field(default_factory=dict)  # from TXT records of the form `name=value`

    def missing_texts(self) -> list[str]:
        """Return the names that the TXT records received so far lack."""
        return [name for name in REQUIRED_TEXTS if name not in self.texts]


@dataclass(slots=True, frozen=True)
class Target:
    """One SRV record."""

    name: str  # of the host
    port: int
    priority: int  # greater than 0 if the worker is draining
    weight: int  # `WEIGHT_UNIT` times the weight of the worker


@dataclass(slots=True)
class Reply:
    """A decoded reply."""

    id: int
    question: tuple[str, int] | None = None  # the name, in lower case, and the record type
    serial: int | None = None  # of the zone, from its SOA record; None if there is none
    targets: list[Target] = field(default_factory=list)
    hosts: dict[str, Host] = field(default_factory=dict)  # by name, in lower case

    def missing_records(self, targets: Iterable[Target]) -> Iterator[tuple[str, int]]:
        """Yield the name and type of each host record that the targets need and this reply lacks."""
        for target in targets:
            host = self.hosts.get(target.name.lower(), Host())
            if not host.address:
                yield target.name, A
            if host.missing_texts():
                yield target.name, TXT


@dataclass(slots=True)
class _Record:
    """A resource record whose data is in the message from `start` to `end`."""

    name: str
    kind: int
    start: int
    end: int


def query(id_: int, name: str, kind: int) -> bytes:
    """Encode a query for the records of one type under a name."""
    labels = b"".join(bytes([len(label)]) + label.encode() for label in name.strip(".").split("."))
    return HEADER.pack(id_, RECURSION_DESIRED, 1, 0, 0, 0) + labels + b"\0" + QUESTION.pack(kind, IN)


def parse(data: bytes) -> Reply:
    """Decode a reply; raises `DnsError`, and `Truncated` if the server has truncated it."""
    try:
        return _parse(data)
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise DnsError(f"incomplete or malformed reply: {error}") from None


def worker_entry(reply: Reply, target: Target) -> tuple[WorkerEntry, tuple[str, int]]:
    """Return the entry of one worker of a list, and its address and port.

    Raises `DnsError` if the reply lacks a record of the worker's host, or has a TXT record whose value should
    be a number and is not. A record that did not arrive tells nothing: a default in its place would, for
    example, put workers of different cells into one.
    """
    host = reply.hosts.get(target.name.lower())
    labels = target.name.split(".")
    if host is None or not host.address or len(labels) < 2:
        raise DnsError(f"the reply has no address record for {target.name}")
    if missing := host.missing_texts():
        raise DnsError(f"the reply has no TXT record with {', '.join(missing)} for {target.name}")
    try:
        cell = int(host.texts["cell"])
        started_ms = int(host.texts["started"])
    except ValueError:
        raise DnsError(f"a TXT record of {target.name} should hold a number and does not") from None
    worker = WorkerEntry(
        worker=labels[0],
        zone=labels[1],
        kind=host.texts["kind"],
        cell=cell,
        state=WorkerState.DRAINING if target.priority else WorkerState.RUNNING,
        weight=target.weight / WEIGHT_UNIT,
        started_us=started_ms * US_PER_MS,
    )
    return worker, (host.address, target.port)


def _parse(data: bytes) -> Reply:
    id_, flags, questions, answers, authority, additional = HEADER.unpack_from(data)
    _check_flags(flags)
    reply = Reply(id_)
    position = HEADER.size
    for _ in range(questions):
        name, position = _decode_name(data, position)
        kind = struct.unpack_from("!H", data, position)[0]
        reply.question = (name.lower(), kind)
        position += QUESTION.size
    for _ in range(answers + authority + additional):
        record = _decode_record_header(data, position)
        _add_record(reply, data, record)
        position = record.end
    return reply


def _check_flags(flags: int) -> None:
    if not flags & RESPONSE:
        raise DnsError("no reply")
    if flags & TRUNCATED:
        raise Truncated("truncated")
    if flags & RCODE:
        raise DnsError(f"the name server answered with error code {flags & RCODE}")


def _decode_record_header(data: bytes, position: int) -> _Record:
    """Decode the name and the header of the record at a position."""
    name, position = _decode_name(data, position)
    kind, _, _, size = RECORD.unpack_from(data, position)
    start = position + RECORD.size
    if start + size > len(data):
        raise DnsError("a record extends past the end of the reply")
    return _Record(name, kind, start, start + size)


def _add_record(reply: Reply, data: bytes, record: _Record) -> None:
    """Add the data of a record to the reply; records of other types are skipped."""
    name = record.name.lower()
    if record.kind == SRV and (reply.question is None or name == reply.question[0]):
        reply.targets.append(_decode_target(data, record.start))
    elif record.kind == A and record.end - record.start == IPV4_BYTES:
        address = data[record.start : record.end]
        reply.hosts.setdefault(name, Host()).address = ".".join(map(str, address))
    elif record.kind == TXT:
        _add_texts(reply.hosts.setdefault(name, Host()), data, record)
    elif record.kind == SOA:
        reply.serial = _decode_serial(data, record.start)


def _decode_target(data: bytes, start: int) -> Target:
    priority, weight, port = SERVICE.unpack_from(data, start)
    name, _ = _decode_name(data, start + SERVICE.size)
    return Target(name, port, priority, weight)


def _add_texts(host: Host, data: bytes, record: _Record) -> None:
    """Add the character strings of a TXT record; each is preceded by its length in one byte."""
    position = record.start
    while position < record.end:
        next_position = position + 1 + data[position]
        text = data[position + 1 : min(record.end, next_position)].decode()
        key, _, value = text.partition("=")
        host.texts[key] = value
        position = next_position


def _decode_serial(data: bytes, start: int) -> int:
    """Decode the serial of an SOA record, which follows the names of the primary server and the mailbox."""
    _, position = _decode_name(data, start)
    _, position = _decode_name(data, position)
    serial: int = struct.unpack_from("!I", data, position)[0]
    return serial


def _decode_name(data: bytes, position: int) -> tuple[str, int]:
    """Decode the name at a position; return it and the position after it."""
    labels: list[str] = []
    name_bytes = 0
    end = 0  # position after the first pointer; 0 while there is none
    while (size := data[position]) != 0:
        if size & POINTER == POINTER:
            target = struct.unpack_from("!H", data, position)[0] & POINTER_OFFSET
            end = end or position + 2
            if target >= position:  # must point backwards, or a loop of pointers would never end
                raise DnsError("a compression pointer does not point backwards")
            position = target
            continue
        name_bytes += size + 1
        if size > MAX_LABEL_BYTES or name_bytes > MAX_NAME_BYTES:
            raise DnsError("a name or one of its labels is too long")
        labels.append(data[position + 1 : position + 1 + size].decode())
        position += 1 + size
    return ".".join(labels), end or position + 1
