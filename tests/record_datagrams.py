"""Records datagrams of the membership protocol: valid ones, invalid ones, and ones with unknown keys."""

from typing import Any

import msgpack  # type: ignore[import-untyped]  # msgpack ships no type information

from maplestile.membership import messages
from maplestile.membership.health_checks import HealthFinding
from tests.control_recordings import as_lines

LOCAL_ADDRESS = ("127.0.0.1", 7001)
OTHER_ADDRESS = ("127.0.0.2", 65535)
UPDATES = [
    messages.MemberUpdate(messages.Status.ALIVE, "n1", LOCAL_ADDRESS, 0, "n1"),
    messages.MemberUpdate(messages.Status.SUSPECT, "n2", OTHER_ADDRESS, 3, "n1"),
    messages.MemberUpdate(messages.Status.DEAD, "né", ("::1", 0), (1 << 63) - 1, "n2"),
    messages.MemberUpdate(messages.Status.LEFT, "n" * 64, LOCAL_ADDRESS, 70_000, "n3"),
]
FINDINGS = [HealthFinding("w0", True, 5, "n1"), HealthFinding("w" * 128, False, 1 << 40, "n2")]
MESSAGES = {
    "ping": messages.Message(
        messages.MessageKind.PING, 1, "n1", "n2", reply_to=LOCAL_ADDRESS, digest=2**64 - 1
    ),
    "ack": messages.Message(
        messages.MessageKind.ACK, 2**32 - 1, "n2", reply_to=OTHER_ADDRESS, digest=0, gossip=UPDATES
    ),
    "req": messages.Message(
        messages.MessageKind.PING_REQ, 300, "n1", "n3", OTHER_ADDRESS, LOCAL_ADDRESS, UPDATES[:1]
    ),
    "nack": messages.Message(messages.MessageKind.NACK, 0, "n3", reply_to=LOCAL_ADDRESS),
    "join": messages.Message(messages.MessageKind.JOIN, 0, "n4", reply_to=LOCAL_ADDRESS, gossip=UPDATES[:1]),
    "sync": messages.Message(
        messages.MessageKind.SYNC,
        9,
        "n1",
        reply_to=LOCAL_ADDRESS,
        gossip=UPDATES,
        findings=FINDINGS,
        digest=77,
    ),
    "word": messages.Message(
        messages.MessageKind.GOSSIP, 10, "n1", reply_to=LOCAL_ADDRESS, findings=FINDINGS
    ),
}

PING = {"k": "ping", "q": 1, "s": "n1", "t": "n2", "r": ["127.0.0.1", 7001], "d": 2**64 - 1}
REQUEST = PING | {"k": "req", "a": ["127.0.0.1", 7001]}
UPDATE = ["alive", "n1", "127.0.0.1", 7001, 0, "n1"]
FINDING = ["w0", True, 5, "n1"]


def _replaced(index: int, value: object, values: list[Any]) -> list[Any]:
    """Return a copy of a list with another value at this index."""
    return [*values[:index], value, *values[index + 1 :]]


INVALID_MAPS: list[object] = [
    [],
    "ping",
    None,
    {},
    *({key: value for key, value in REQUEST.items() if key != missing} for missing in "kqstar"),
    *(PING | {"k": kind} for kind in ("PING", "p" * 100, 1, b"ping")),
    *(PING | {"q": number} for number in (-1, 1 << 32, True, "1", 1.0)),
    *(PING | {"s": name} for name in ("", "n" * 65, "é" * 33, 7)),
    *(PING | {"t": name} for name in ("", "n" * 65, None)),
    *(PING | {"r": address} for address in ("x:1", ["x"], ["x", -1], ["x", 65536], ["x" * 256, 1], [1, 1])),
    *(REQUEST | {"a": address} for address in (None, ["x", "1"])),
    *(PING | {"d": digest} for digest in (-1, None, "d", True)),
    *(PING | {"g": gossip} for gossip in ("g", dict[str, int](), [1], [UPDATE, UPDATE[:5]])),
    *(PING | {"g": [_replaced(0, status, UPDATE)]} for status in ("lost", 1)),
    *(
        PING | {"g": [UPDATE, _replaced(index, bad, UPDATE)]}
        for index, bad in (
            (1, ""),
            (1, 5),
            (2, 5),
            (3, 65536),
            (4, -1),
            (4, 1 << 63),
            (4, True),
            (5, ""),
            (5, None),
        )
    ),
    *(PING | {"f": findings} for findings in ("f", [1], [FINDING[:3]])),
    *(
        PING | {"f": [FINDING, _replaced(index, bad, FINDING)]}
        for index, bad in (
            (0, ""),
            (0, "w" * 129),
            (1, 1),
            (2, -1),
            (2, 1 << 63),
            (2, False),
            (3, ""),
            (3, "n" * 65),
        )
    ),
    {1: 2},
    PING | {"g": [0] * (messages.MAX_LIST_ENTRIES + 1)},
]
MAPS_WITH_UNKNOWN_KEYS = [
    PING | {"z": 1},
    PING | {"a": 5},
    PING | {"g": [], "f": []},
    PING | {"": {"a": [None]}},
]


def invalid_datagrams() -> list[dict[str, str]]:
    """Return each invalid datagram, in hexadecimal, with the text of its error."""
    undamaged = msgpack.packb(PING)
    damaged = [
        b"",
        b"\xc1",
        b"not msgpack",
        undamaged[:-1],
        undamaged + b"\0",
        b"\x81\xa1k\xa1\xff",
        b"\x91" * 600,
    ]
    rejected = list[dict[str, str]]()
    for datagram in [*damaged, *(msgpack.packb(message) for message in INVALID_MAPS)]:
        try:
            messages.decode(datagram)
        except messages.DatagramError as error:
            rejected.append({"datagram": datagram.hex(), "told": str(error)})
        else:
            raise AssertionError(f"expected a DatagramError, but the datagram was decoded: {datagram!r}")
    return rejected


def datagrams() -> dict[str, bytes]:
    """Return the recordings by file name: valid datagrams, invalid ones, and ones with unknown keys."""
    files = {f"datagram-{kind}.bin": messages.encode(message) for kind, message in MESSAGES.items()}
    files["bad-datagrams.jsonl"] = as_lines(invalid_datagrams())
    files["foreign-datagrams.jsonl"] = as_lines(
        {"datagram": msgpack.packb(message).hex()} for message in MAPS_WITH_UNKNOWN_KEYS
    )
    return files
