"""Tests that the control plane writes and reads the bytes recorded in `tests/recorded/control`."""

import asyncio
import json
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pysyncobj.journal import FileJournal  # type: ignore[import-untyped]  # the library has no types

from maplestile.agent.process_registry import ProcessRegistry
from maplestile.common import durable_file as durable
from maplestile.common.errors import CommandRejected
from maplestile.control.commands import HealthReport
from maplestile.control.log_storage import check_folder
from maplestile.control.log_view import ReceivedHeartbeat
from maplestile.control.policy import store
from maplestile.control.policy.document import AdoptedPolicy, decode_document
from maplestile.control.state import ControlState
from maplestile.operation.state_folder import FileCordonStore
from tests import record_voter
from tests.control_recordings import RECORDED, recorded_bytes, recorded_lines
from tests.control_script import DOCUMENT, POLICY_READ, SCRIPT
from tests.record_control import LONG_NAME, REGISTRY_FILE, recorded

HEALTH_REPORTS = {"r0": HealthReport(True, 5, 1), "r1": HealthReport(False, 0, 0)}  # as in HEARTBEAT


def states() -> list[dict[str, Any]]:
    """Return the recorded states: the empty one, and the one after each command."""
    found = [json.loads(recorded_bytes("state-empty.json"))]
    for change in recorded_lines("log-changes.jsonl"):
        found.append({**found[-1], **change})
    return found


class WrittenTest(unittest.TestCase):
    """Tests that the recorded files are written again with the same content."""

    maxDiff = None

    def test_writes_recorded_bytes(self) -> None:
        rewritten = recorded()
        for name, written in rewritten.items():
            with self.subTest(name):
                self.assertEqual(written, recorded_bytes(name))
        files = {path.name for path in RECORDED.iterdir() if path.is_file()}
        self.assertEqual(files, {*rewritten, REGISTRY_FILE})


class ReplicatedLogTest(unittest.TestCase):
    """Tests of the replicated state with the commands of the script."""

    def test_replies_and_states_after_each_command_are_as_recorded(self) -> None:
        control = ControlState()
        for exchange, state in zip(recorded_lines("log-commands.jsonl"), states()[1:], strict=True):
            with self.subTest(exchange["command"]):
                self.assertEqual(control.apply_encoded(exchange["command"]), exchange["reply"])
                self.assertEqual(control.encoded(), state)
        self.assertEqual(control.encoded(), json.loads(recorded_bytes("state.json")))

    def test_rejected_command_does_not_change_state(self) -> None:
        for exchange, change in zip(
            recorded_lines("log-commands.jsonl"), recorded_lines("log-changes.jsonl"), strict=True
        ):
            if not exchange["reply"]["ok"]:
                self.assertEqual(change, {}, exchange)

    def test_decoded_state_applies_next_command_as_recorded(self) -> None:
        exchanges = recorded_lines("log-commands.jsonl")
        for exchange, before, after in zip(exchanges, states()[:-1], states()[1:], strict=True):
            control = ControlState.decode(json.loads(json.dumps(before)))
            self.assertEqual(control.encoded(), before)
            self.assertEqual(control.apply_encoded(exchange["command"]), exchange["reply"])
            self.assertEqual(control.encoded(), after)

    def test_rejects_invalid_state(self) -> None:
        state = json.loads(recorded_bytes("state.json"))
        for key in state:
            with self.subTest(key), self.assertRaises((KeyError, TypeError, ValueError)):
                ControlState.decode({name: value for name, value in state.items() if name != key})
        for rollout in ({"phase": "asleep"}, {"foreign": 1}):
            with self.subTest(rollout), self.assertRaises((KeyError, TypeError, ValueError)):
                ControlState.decode({**state, "rollout": {**state["rollout"], **rollout}})


class VoterTest(unittest.TestCase):
    """Tests of a voter that is started on a copy of the recorded folder."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.settings = record_voter.voter_settings(Path(temporary.name))
        self.folder = record_voter.state_folder(self.settings)
        shutil.copytree(record_voter.RECORDED_FOLDER, self.folder)

    def test_accepts_recorded_folder_only_for_its_voter(self) -> None:
        check_folder(self.folder, "a0")
        with self.assertRaises(CommandRejected) as refused:
            check_folder(self.folder, "a1")
        self.assertEqual(str(refused.exception), f"{self.folder / 'voter'}: the folder is of voter 'a0'")

    def test_voter_on_recorded_folder_has_recorded_state(self) -> None:
        raft = asyncio.run(record_voter.run_voter(self.settings, []))
        self.assertEqual(raft.state.encoded(), json.loads(recorded_bytes("state.json")))
        self.assertEqual(dict(raft.heartbeats), {"a0": ReceivedHeartbeat(1, HEALTH_REPORTS)})

    def test_voter_on_recorded_journal_records_has_state_of_script(self) -> None:
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        records = recorded_bytes("journal-records.bin")
        header = bytearray(
            (record_voter.RECORDED_FOLDER / "journal").read_bytes()[: record_voter.JOURNAL_HEADER_BYTES]
        )
        end = record_voter.JOURNAL_HEADER_BYTES + len(records)
        header[record_voter.RECORDS_END_OFFSET :] = end.to_bytes(4, "little")
        (self.folder / "journal").write_bytes(bytes(header) + records)
        shutil.copy(record_voter.RECORDED_FOLDER / "journal.meta", self.folder)
        raft = asyncio.run(record_voter.run_voter(self.settings, []))
        expected = ControlState()
        for command in (*SCRIPT, POLICY_READ):
            expected.apply_encoded(command)
        self.assertEqual(raft.state.encoded(), expected.encoded())
        reported = {agent: status.routers for agent, status in raft.router_status.items()}
        self.assertEqual(reported, {"a0": POLICY_READ["told"]})

    def test_malformed_heartbeat_is_answered_and_does_not_replace_last_one(self) -> None:
        malformed: list[dict[str, Any]] = [
            {"do": "word"},
            {"do": "word", "agent": "a0"},
            {"do": "word", "agent": "a0", "words": [1]},
        ]
        raft = asyncio.run(record_voter.run_voter(self.settings, malformed))
        self.assertEqual(dict(raft.heartbeats), {"a0": ReceivedHeartbeat(1, HEALTH_REPORTS)})
        self.assertEqual(raft.counters["control.commands"], len(malformed))

    def test_recorded_journal_contains_script(self) -> None:
        journal = FileJournal(str(self.folder / "journal"))
        self.addCleanup(journal._destroy)
        # The 3 are the library's own entries: two of the first start and one of the second.
        self.assertEqual(len(journal), len(SCRIPT) + 1 + 3)


class DiskTest(unittest.TestCase):
    """Tests of records on disk, each read from a copy of the recorded file."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def copy_recorded(self, recording: str, name: str) -> Path:
        """Copy a recorded file into the folder under another name."""
        path = self.folder / name
        path.write_bytes(recorded_bytes(recording))
        return path

    def test_reads_durable_record_only_in_its_version_and_undamaged(self) -> None:
        path = self.copy_recorded("durable.json", "durable.json")
        self.assertEqual(durable.read(path, 3), {"b": [1, None, True], "a": {"é": 1.5}})
        with self.assertLogs("maplestile.durable") as logged:
            self.assertIsNone(durable.read(path, 4))
            path.write_bytes(recorded_bytes("durable.json").replace(b"1.5", b"1.6"))
            self.assertIsNone(durable.read(path, 3))
        warning = f"{path} is invalid and is ignored: unsupported version or wrong checksum"
        self.assertEqual([line.getMessage() for line in logged.records], [warning, warning])

    def test_reads_policy_record_of_router(self) -> None:
        self.copy_recorded("policy-own.json", "policy.json")
        self.assertEqual(store.read(self.folder), AdoptedPolicy(7, None))
        self.copy_recorded("policy-document.json", "policy.json")
        self.assertEqual(store.read(self.folder), AdoptedPolicy(7, decode_document(DOCUMENT)))

    def test_reads_and_rewrites_process_registry_as_recorded(self) -> None:
        path = self.copy_recorded("roster.json", "roster.json")
        registry = ProcessRegistry(self.folder)
        self.assertEqual(registry.processes, {"r0": (4194300, 17), "w0": (4194301, 18)})
        registry.record("r1", None)
        self.assertEqual(path.read_bytes(), recorded_bytes("roster.json"))
        registry.record("w0", None)
        registry.record("r0", None)
        self.assertEqual(durable.read(path, 1), {})

    def test_reads_names_of_suspended_runners(self) -> None:
        for name in recorded_lines("suspended.txt"):
            (self.folder / name).touch()
        (self.folder / "other").touch()
        self.assertEqual(FileCordonStore(self.folder).names(), {"w0", LONG_NAME, "..", "r-w1", ""})


if __name__ == "__main__":
    unittest.main()
