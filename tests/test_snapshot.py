"""Tests of voters' snapshots: what they hold, what is refused, and what voters have after a compaction."""

import asyncio
import gzip
import hashlib
import json
import pickle
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

import pytest
from pysyncobj.journal import FileJournal  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.errors import CommandRejected
from maplestile.control import snapshot
from maplestile.control.fleet import FleetState
from maplestile.control.log_storage import EARLIER_SNAPSHOT_FILE, check_folder
from maplestile.control.policy.agreed import AgreedPolicies
from maplestile.control.raft_log import RaftLog
from maplestile.control.rollout_planner import RolloutRules
from maplestile.control.settings import ControlSettings, Voter
from maplestile.control.snapshot import EarlierReleaseSnapshot, Snapshot, SnapshotError
from maplestile.control.state import ControlState
from tests.control_script import MALFORMED, SCRIPT
from tests.free_ports import free_ports
from tests.standins import PATIENCE_S, wait_until

VOTERS = 3
ENTRIES = (b"\0command", 17, 3), (b"\xff", 16, 2)
COMMANDS = [command for command in SCRIPT if command not in MALFORMED]


def states() -> list[ControlState]:
    """Return the states after each command of the script, as copies."""
    control = ControlState()
    found = [ControlState()]
    for command in SCRIPT:
        control.apply_encoded(command)
        found.append(ControlState.decode(json.loads(json.dumps(control.encoded()))))
        assert plain(found[-1]) == plain(control)
    return found


def plain(value: Any) -> Any:
    """Return a value of the state with the type and the fields of each object in it, to compare."""
    if isinstance(value, FleetState | AgreedPolicies):
        return type(value), {name: plain(part) for name, part in vars(value).items()}
    if is_dataclass(value) and not isinstance(value, type):
        return type(value), {item.name: plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, dict):
        return [(name, plain(part)) for name, part in value.items()]
    if isinstance(value, list | tuple):
        return type(value), [plain(part) for part in value]
    return type(value), value


def digest(control: ControlState) -> str:
    """Return a hash of the whole state."""
    return hashlib.sha256(repr(plain(control)).encode()).hexdigest()


# What a snapshot holds.


def test_every_field_of_the_state_survives_a_snapshot(tmp_path: Path) -> None:
    """Guards against a field that a snapshot leaves out; the script changes each of them.

    A field that is added to the state, or to a record in it, has to be in the wire form, or this fails.
    """
    initial = dict(vars(ControlState())), dict(vars(AgreedPolicies()))
    unchanged = {name for part in initial for name in part} - {"policy"}
    for control in states():
        snapshot.write(tmp_path / "snapshot", Snapshot(control, *ENTRIES))
        read = snapshot.read(tmp_path / "snapshot")
        assert (plain(read.state), read.last_entry, read.previous_entry) == (plain(control), *ENTRIES)
        for part, start in zip((control, control.policy), initial, strict=True):
            unchanged -= {name for name, value in vars(part).items() if plain(value) != plain(start[name])}
    assert not unchanged, "the script never sets these, so that a snapshot may lack them"


# What is refused.


def old_snapshot(path: Path, index: int) -> None:
    """Write a snapshot as an earlier release did: without the state."""
    with gzip.open(path, "wb") as file:
        pickle.dump(({}, (b"command", index, 1), (b"command", index - 1, 1), set()), file)


def journal_from(folder: Path, first: int, last: int) -> None:
    """Write the journal of a voter in term 1."""
    journal = FileJournal(str(folder / "journal"))
    journal.setCurrentTerm(1, "127.0.0.1:1")
    for index in range(first, last + 1):
        journal.add(b"command %d" % index, index, 1)
    journal._destroy()


def journal_indexes(folder: Path) -> list[int]:
    """Return the indexes of the entries of a journal."""
    journal = FileJournal(str(folder / "journal"))
    indexes = [journal[number][1] for number in range(len(journal))]
    journal._destroy()
    return indexes


def test_snapshot_of_an_earlier_release_is_never_taken_for_an_empty_fleet(tmp_path: Path) -> None:
    """Guards against voters that start with an empty state after an upgrade, and agree on it."""
    old_snapshot(tmp_path / "snapshot", 7)
    with pytest.raises(EarlierReleaseSnapshot):
        snapshot.read(tmp_path / "snapshot")
    journal_from(tmp_path, 6, 9)
    before = {file.name: file.read_bytes() for file in tmp_path.iterdir()}
    with pytest.raises(CommandRejected, match="lack what the voters had agreed on; the entries before 6"):
        check_folder(tmp_path, "a1")
    assert {file.name: file.read_bytes() for file in tmp_path.iterdir()} == before


def test_snapshot_of_an_earlier_release_is_set_aside_if_the_journal_has_every_entry(tmp_path: Path) -> None:
    old_snapshot(tmp_path / "snapshot", 7)
    journal_from(tmp_path, 1, 9)
    check_folder(tmp_path, "a1")
    assert not (tmp_path / "snapshot").exists() and (tmp_path / EARLIER_SNAPSHOT_FILE).exists()
    assert journal_indexes(tmp_path) == list(range(1, 10))


def test_journal_and_snapshot_that_leave_a_gap_are_refused(tmp_path: Path) -> None:
    journal_from(tmp_path, 19, 20)
    with pytest.raises(CommandRejected, match="snapshot: is missing, and the journal begins at entry 19"):
        check_folder(tmp_path, "a1")
    snapshot.write(tmp_path / "snapshot", Snapshot(ControlState(), *ENTRIES))
    with pytest.raises(CommandRejected, match="begins at entry 19, and the snapshot ends at 17"):
        check_folder(tmp_path, "a1")


def test_entries_after_a_snapshot_are_kept_if_the_voter_was_killed_before_it_removed_earlier_ones(
    tmp_path: Path,
) -> None:
    """Guards against acknowledged entries that are lost by a kill in the midst of a compaction."""
    journal_from(tmp_path, 3, 25)
    snapshot.write(tmp_path / "snapshot", Snapshot(ControlState(), *ENTRIES))
    check_folder(tmp_path, "a1")
    assert journal_indexes(tmp_path) == list(range(16, 26))
    check_folder(tmp_path, "a1")


def test_damaged_foreign_and_newer_snapshots_are_refused_with_their_place(tmp_path: Path) -> None:
    file = tmp_path / "snapshot"
    snapshot.write(file, Snapshot(states()[-1], *ENTRIES))
    whole = file.read_bytes()
    lines = gzip.decompress(whole).split(b"\n")
    newer = lines[0].replace(b'"version": 1', b'"version": 2')
    rng = random.Random(9)
    cut = [whole[: rng.randrange(len(whole))] for _ in range(40)]
    spoilt = [lines[1].replace(b'"number"', b'"numbers"', 1), lines[1][:-1], b"{}", b"[" * 100_000]
    foreign = [b"", b"x", b"{}\n{}\n", b"5\n5", b"[" * 100_000, newer + b"\n" + lines[1]]
    contents = cut + [gzip.compress(content) for content in foreign]
    contents += [gzip.compress(lines[0] + b"\n" + line) for line in spoilt]
    for number, content in enumerate(contents):
        file.write_bytes(content)
        with pytest.raises(SnapshotError, match=str(file)):
            print(number, snapshot.read(file))


# Voters after a compaction.


class Cluster:
    """Three voters in this process, each with its folder, that are stopped and started."""

    def __init__(self, folder: Path) -> None:
        addresses = [f"127.0.0.1:{port}" for port in free_ports(VOTERS)]
        self.voters = tuple(Voter(f"a{n}", address, address) for n, address in enumerate(addresses))
        self.folder = folder
        self.rafts: dict[int, RaftLog] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}

    def start(self, *numbers: int) -> None:
        """Start voters on their folders."""
        rules = RolloutRules(step_us=60_000_000, settle_us=1_000_000, max_failed_share=0.1, min_calls=20)
        for number in numbers:
            voter = self.voters[number]
            folder = self.folder / voter.name
            settings = ControlSettings(voter.name, voter.address, folder, self.voters, (), 1, rules)
            raft = self.rafts[number] = RaftLog(settings, Counter())
            self.tasks[number] = asyncio.get_running_loop().create_task(raft.run())

    async def stop(self, *numbers: int) -> None:
        """Stop voters."""
        tasks = [self.tasks.pop(number) for number in numbers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def until(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition holds, and no voter has ended."""
        await wait_until(lambda: condition() or any(task.done() for task in self.tasks.values()), PATIENCE_S)
        for task in self.tasks.values():
            assert not task.done(), task.exception()

    async def until_equal(self, expected: str) -> None:
        """Wait until all voters are ready and have the state with this digest."""
        await self.until(lambda: all(raft.is_ready() for raft in self.rafts.values()))
        await self.until(lambda: {digest(raft.state) for raft in self.rafts.values()} == {expected})

    async def compact(self, *numbers: int) -> None:
        """Have voters compact their logs, and wait until each has a snapshot of the last command."""
        for number in numbers:
            self.rafts[number].counters.clear()
            self.rafts[number].replica.forceLogCompaction()
        await self.until(lambda: all(self.rafts[n].counters["control.snapshots"] for n in numbers))


async def play(folder: Path) -> None:
    """Agree on the script's commands, compact, and restart voters in each way that is told of."""
    cluster = Cluster(folder)
    every = range(VOTERS)
    cluster.start(*every)
    try:
        await cluster.until(lambda: all(raft.is_ready() for raft in cluster.rafts.values()))
        for command in COMMANDS:
            await cluster.rafts[0].submit(command)
        expected = digest(cluster.rafts[0].state)
        assert expected != digest(ControlState())
        await cluster.until_equal(expected)
        await cluster.compact(*every)
        await cluster.stop(1)  # one
        cluster.start(1)
        await cluster.until_equal(expected)
        await cluster.stop(*every)  # all
        cluster.start(*every)
        await cluster.until_equal(expected)
        await cluster.compact(*every)
        await cluster.stop(2)  # a late voter, which the others bring up by a snapshot
        for file in (folder / "a2").iterdir():
            file.unlink()
        cluster.start(2)
        await cluster.until_equal(expected)
        assert (folder / "a2" / "snapshot").exists()
        leader = next(n for n in every if cluster.rafts[n].status().leading)
        (folder / f"a{leader}" / "snapshot.tmp").write_bytes(b"half a snap")  # killed meanwhile
        await cluster.stop(leader)
        cluster.start(leader)
        await cluster.until_equal(expected)
        await cluster.rafts[0].submit(COMMANDS[0])  # and the log goes on
        await cluster.until_equal(digest(cluster.rafts[0].state))
    finally:
        await cluster.stop(*cluster.tasks)


def test_voters_have_the_same_state_after_a_compaction_and_any_restart(tmp_path: Path) -> None:
    """Guards against voters that forget rollouts, leases and policies once their logs are compacted."""
    asyncio.run(play(tmp_path))


def test_voter_ends_if_the_leader_sends_a_snapshot_without_the_state(tmp_path: Path) -> None:
    """Guards against an empty state that a voter takes over from a leader of an earlier release."""

    async def receive() -> None:
        cluster = Cluster(tmp_path)
        cluster.start(*range(VOTERS))
        try:
            await cluster.until(lambda: all(raft.is_ready() for raft in cluster.rafts.values()))
            old_snapshot(tmp_path / "received", 7)
            with pytest.raises(EarlierReleaseSnapshot):
                cluster.rafts[0]._read_snapshot(str(tmp_path / "received"))
            with pytest.raises(EarlierReleaseSnapshot):
                await cluster.tasks[0]
        finally:
            await cluster.stop(*cluster.tasks)

    asyncio.run(receive())
