"""Records what the control plane writes: `python -m tests.record_control` rewrites `tests/recorded/control`.

`recorded()` gives each file's name and content; the test compares them with the files. A voter's folder is
recorded only by `--folder`, since parts of it depend on time; the program has to go on reading that one.
"""

import asyncio
import shutil
import struct
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import msgpack  # type: ignore[import-untyped]  # the library has no types

from maplestile.common import durable_file as durable
from maplestile.control.policy import store
from maplestile.control.policy.document import AdoptedPolicy, document_of
from maplestile.control.raft_log import RaftLog
from maplestile.control.settings import ControlSettings
from maplestile.control.state import ControlState
from maplestile.membership import messages
from maplestile.membership.health_checks import HealthFinding
from maplestile.operation.state_folder import FileCordonStore
from tests.control_script import DOCUMENT, HEARTBEAT, POLICY_READ, SCRIPT
from tests.record_agent import agent_lines
from tests.recordings import RECORDED, agent_plan, as_document, as_lines

FOLDER = RECORDED / "voter"
JOURNAL_HEAD = 40  # bytes before the records
JOURNAL_END_AT = 36  # the offset of the 4 bytes that have the end of the records
PATIENCE_S = 30.0
VOTER = """listen = "127.0.0.1:0"
folder = "{folder}"
"""
VOTERS = """
[[voter]]
name = "a0"
address = "127.0.0.1:1"
"""


# The replicated log.


def log_commands() -> dict[str, bytes]:
    """Each command of the script with its reply, what it changed, and the states before all and after all."""
    control = ControlState()
    exchanges = list[object]()
    changes = list[object]()
    for command in SCRIPT:
        before = control.encoded()
        exchanges.append({"command": command, "reply": control.apply_encoded(command)})
        changes.append({key: value for key, value in control.encoded().items() if value != before[key]})
    return {
        "log-commands.jsonl": as_lines(exchanges),
        "log-changes.jsonl": as_lines(changes),
        "state.json": as_document(control.encoded()),
        "state-empty.json": as_document(ControlState().encoded()),
    }


# A voter.


def voter_plan(folder: Path) -> ControlSettings:
    control = agent_plan(folder, VOTER.format(folder=folder / "voter"), VOTERS).control
    assert control is not None
    return control


async def run_voter(plan: ControlSettings, commands: list[dict[str, Any]]) -> RaftLog:
    """A voter alone in its cluster, started on its folder, given commands, and stopped."""
    raft = RaftLog(plan, Counter())
    running = asyncio.get_running_loop().create_task(raft.run())
    try:
        async with asyncio.timeout(PATIENCE_S):
            while not raft.ready():
                await asyncio.sleep(0.01)
            # Each is put into the log in this order before the first is answered.
            await asyncio.gather(*(raft.submit(command) for command in commands))
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return raft


def plan_folder(plan: ControlSettings) -> Path:
    assert plan.folder is not None
    return plan.folder


def journal_records(path: Path) -> bytes:
    """The records of a journal, without its head, which names the library's version, and without its rest."""
    data = path.read_bytes()
    end: int = struct.unpack_from("<I", data, JOURNAL_END_AT)[0]
    return data[JOURNAL_HEAD:end]


def voter_files() -> dict[str, bytes]:
    """The parts of a voter's folder that do not depend on time."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = voter_plan(folder)
        asyncio.run(run_voter(plan, [*SCRIPT, HEARTBEAT, POLICY_READ]))
        journal = journal_records(plan_folder(plan) / "journal")
        owner = (plan_folder(plan) / "voter").read_bytes()
    return {"journal-records.bin": journal, "voter.json": owner}


def record_folder() -> None:
    """Of two runs. The library writes a snapshot at the start; the whole script is in the journal."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    with tempfile.TemporaryDirectory() as name:
        plan = voter_plan(Path(name))
        asyncio.run(run_voter(plan, SCRIPT[:100]))
        asyncio.run(run_voter(plan, [*SCRIPT[100:], HEARTBEAT]))
        shutil.copytree(plan_folder(plan), FOLDER)


# Records on disk.

REGISTRY_FILE = "roster.json"  # of processes that are not there: read and written again by the test
LONG_NAME = "runner/with space:8080%é"


def disk_records() -> dict[str, bytes]:
    """A durable record, a router's policies, and the names of suspended runners."""
    with tempfile.TemporaryDirectory() as path:
        folder = Path(path)
        durable.write(folder / "durable.json", 3, {"b": [1, None, True], "a": {"é": 1.5}})
        files = {"durable.json": (folder / "durable.json").read_bytes()}
        for name, document in (("own", None), ("document", DOCUMENT)):
            store.write(folder / name, AdoptedPolicy(7, document_of(document)))
            files[f"policy-{name}.json"] = (folder / name / store.NAME).read_bytes()
        markers = FileCordonStore(folder / "suspended")
        for runner in ("w0", LONG_NAME, "..", "r-w1", ""):
            markers.put(runner)
        markers.put("gone")
        markers.remove("gone")
        files["suspended.txt"] = as_lines(sorted(path.name for path in (folder / "suspended").iterdir()))
    return files


# Gossip datagrams.

HERE = ("127.0.0.1", 7001)
THERE = ("127.0.0.2", 65535)
GOSSIP = [
    messages.MemberUpdate(messages.Status.ALIVE, "n1", HERE, 0, "n1"),
    messages.MemberUpdate(messages.Status.SUSPECT, "n2", THERE, 3, "n1"),
    messages.MemberUpdate(messages.Status.DEAD, "né", ("::1", 0), (1 << 63) - 1, "n2"),
    messages.MemberUpdate(messages.Status.LEFT, "n" * 64, HERE, 70_000, "n3"),
]
FINDINGS = [HealthFinding("w0", True, 5, "n1"), HealthFinding("w" * 128, False, 1 << 40, "n2")]
MESSAGES = {
    "ping": messages.Message(messages.MessageKind.PING, 1, "n1", "n2", reply_to=HERE, digest=2**64 - 1),
    "ack": messages.Message(
        messages.MessageKind.ACK, 2**32 - 1, "n2", reply_to=THERE, digest=0, gossip=GOSSIP
    ),
    "req": messages.Message(messages.MessageKind.PING_REQ, 300, "n1", "n3", THERE, HERE, GOSSIP[:1]),
    "nack": messages.Message(messages.MessageKind.NACK, 0, "n3", reply_to=HERE),
    "join": messages.Message(messages.MessageKind.JOIN, 0, "n4", reply_to=HERE, gossip=GOSSIP[:1]),
    "sync": messages.Message(
        messages.MessageKind.SYNC, 9, "n1", reply_to=HERE, gossip=GOSSIP, findings=FINDINGS, digest=77
    ),
    "word": messages.Message(messages.MessageKind.GOSSIP, 10, "n1", reply_to=HERE, findings=FINDINGS),
}


PING = {"k": "ping", "q": 1, "s": "n1", "t": "n2", "r": ["127.0.0.1", 7001], "d": 2**64 - 1}
REQUEST = PING | {"k": "req", "a": ["127.0.0.1", 7001]}
ENTRY = ["alive", "n1", "127.0.0.1", 7001, 0, "n1"]
FINDING = ["w0", True, 5, "n1"]


def _with(place: int, value: object, values: list[Any]) -> list[Any]:
    """A copy of the values with another one at that place."""
    return [*values[:place], value, *values[place + 1 :]]


BAD_MAPS: list[object] = [
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
    *(PING | {"g": gossip} for gossip in ("g", dict[str, int](), [1], [ENTRY, ENTRY[:5]])),
    *(PING | {"g": [_with(0, status, ENTRY)]} for status in ("lost", 1)),
    *(
        PING | {"g": [ENTRY, _with(place, bad, ENTRY)]}
        for place, bad in (
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
        PING | {"f": [FINDING, _with(place, bad, FINDING)]}
        for place, bad in (
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
    PING | {"g": [0] * (messages.ENTRIES_MOST + 1)},
]
FOREIGN_MAPS = [PING | {"z": 1}, PING | {"a": 5}, PING | {"g": [], "f": []}, PING | {"": {"a": [None]}}]


def bad_datagrams() -> list[dict[str, str]]:
    """Each datagram that is refused, in hexadecimal, with the text of its error."""
    whole = msgpack.packb(PING)
    spoiled = [b"", b"\xc1", b"not msgpack", whole[:-1], whole + b"\0", b"\x81\xa1k\xa1\xff", b"\x91" * 600]
    refused = list[dict[str, str]]()
    for datagram in [*spoiled, *(msgpack.packb(message) for message in BAD_MAPS)]:
        try:
            messages.decode(datagram)
        except messages.DatagramError as fault:
            refused.append({"datagram": datagram.hex(), "told": str(fault)})
        else:
            raise AssertionError(f"was taken: {datagram!r}")
    return refused


def datagrams() -> dict[str, bytes]:
    """One good datagram of each kind, the refused ones, and those with keys that are passed over."""
    files = {f"datagram-{kind}.bin": messages.encode(message) for kind, message in MESSAGES.items()}
    files["bad-datagrams.jsonl"] = as_lines(bad_datagrams())
    files["foreign-datagrams.jsonl"] = as_lines(
        {"datagram": msgpack.packb(message).hex()} for message in FOREIGN_MAPS
    )
    return files


def recorded() -> dict[str, bytes]:
    """The content of every recorded file but the registry's and the voter's folder, by file name."""
    return {**log_commands(), **voter_files(), **disk_records(), **datagrams(), **agent_lines()}


def main(arguments: list[str]) -> None:
    RECORDED.mkdir(parents=True, exist_ok=True)
    for name, content in recorded().items():
        (RECORDED / name).write_bytes(content)
    durable.write(RECORDED / REGISTRY_FILE, 1, {"r0": [4194300, 17], "w0": [4194301, 18]})
    if "--folder" in arguments:
        record_folder()


if __name__ == "__main__":
    main(sys.argv[1:])
