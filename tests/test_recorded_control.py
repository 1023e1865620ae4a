"""The bytes that the control plane writes and reads, against those recorded in `tests/recorded/control`."""

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
from maplestile.control.policy.document import AdoptedPolicy, document_of
from maplestile.control.state import ControlState
from maplestile.operation.state_folder import FileCordonStore
from tests import record_voter
from tests.control_recordings import RECORDED, recorded_bytes, recorded_lines
from tests.control_script import DOCUMENT, POLICY_READ, SCRIPT
from tests.record_control import LONG_NAME, REGISTRY_FILE, recorded

HEALTH_REPORTS = {"r0": HealthReport(True, 5, 1), "r1": HealthReport(False, 0, 0)}  # those of HEARTBEAT


def states() -> list[dict[str, Any]]:
    """The empty state, and that after each command."""
    found = [json.loads(recorded_bytes("state-empty.json"))]
    for change in recorded_lines("log-changes.jsonl"):
        found.append({**found[-1], **change})
    return found


class WrittenTest(unittest.TestCase):
    """All recorded files, written anew."""

    maxDiff = None

    def test_the_same_bytes_are_written(self) -> None:
        rewritten = recorded()
        for name, written in rewritten.items():
            with self.subTest(name):
                self.assertEqual(written, recorded_bytes(name))
        files = {path.name for path in RECORDED.iterdir() if path.is_file()}
        self.assertEqual(files, {*rewritten, REGISTRY_FILE})


class ReplicatedLogTest(unittest.TestCase):
    """The agreed state, and the commands of the script."""

    def test_each_command_is_answered_as_recorded_and_leaves_the_recorded_state(self) -> None:
        control = ControlState()
        for exchange, state in zip(recorded_lines("log-commands.jsonl"), states()[1:], strict=True):
            with self.subTest(exchange["command"]):
                self.assertEqual(control.apply_encoded(exchange["command"]), exchange["reply"])
                self.assertEqual(control.encoded(), state)
        self.assertEqual(control.encoded(), json.loads(recorded_bytes("state.json")))

    def test_a_refused_command_changes_nothing(self) -> None:
        for exchange, change in zip(
            recorded_lines("log-commands.jsonl"), recorded_lines("log-changes.jsonl"), strict=True
        ):
            if not exchange["reply"]["ok"]:
                self.assertEqual(change, {}, exchange)

    def test_each_state_is_read_back_and_takes_the_next_command_alike(self) -> None:
        exchanges = recorded_lines("log-commands.jsonl")
        for exchange, before, after in zip(exchanges, states()[:-1], states()[1:], strict=True):
            control = ControlState.decode(json.loads(json.dumps(before)))
            self.assertEqual(control.encoded(), before)
            self.assertEqual(control.apply_encoded(exchange["command"]), exchange["reply"])
            self.assertEqual(control.encoded(), after)

    def test_a_state_of_no_use_is_refused(self) -> None:
        state = json.loads(recorded_bytes("state.json"))
        for key in state:
            with self.subTest(key), self.assertRaises((KeyError, TypeError, ValueError)):
                ControlState.decode({name: value for name, value in state.items() if name != key})
        for rollout in ({"phase": "asleep"}, {"foreign": 1}):
            with self.subTest(rollout), self.assertRaises((KeyError, TypeError, ValueError)):
                ControlState.decode({**state, "rollout": {**state["rollout"], **rollout}})


class VoterTest(unittest.TestCase):
    """A voter started on a copy of the recorded folder."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.settings = record_voter.voter_settings(Path(temporary.name))
        self.folder = record_voter.state_folder(self.settings)
        shutil.copytree(record_voter.FOLDER, self.folder)

    def test_the_recorded_folder_is_taken_for_this_voter_alone(self) -> None:
        check_folder(self.folder, "a0")
        with self.assertRaises(CommandRejected) as refused:
            check_folder(self.folder, "a1")
        self.assertEqual(str(refused.exception), f"{self.folder / 'voter'}: the folder is of voter 'a0'")

    def test_a_voter_started_on_the_recorded_folder_has_the_recorded_state(self) -> None:
        raft = asyncio.run(record_voter.run_voter(self.settings, []))
        self.assertEqual(raft.control.encoded(), json.loads(recorded_bytes("state.json")))
        self.assertEqual(dict(raft.heartbeats), {"a0": ReceivedHeartbeat(1, HEALTH_REPORTS)})

    def test_a_voter_started_on_recorded_records_alone_has_the_recorded_state(self) -> None:
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        records = recorded_bytes("journal-records.bin")
        head = bytearray((record_voter.FOLDER / "journal").read_bytes()[: record_voter.JOURNAL_HEAD])
        end = record_voter.JOURNAL_HEAD + len(records)
        head[record_voter.JOURNAL_END_AT :] = end.to_bytes(4, "little")
        (self.folder / "journal").write_bytes(bytes(head) + records)
        shutil.copy(record_voter.FOLDER / "journal.meta", self.folder)
        raft = asyncio.run(record_voter.run_voter(self.settings, []))
        expected = ControlState()
        for command in (*SCRIPT, POLICY_READ):
            expected.apply_encoded(command)
        self.assertEqual(raft.control.encoded(), expected.encoded())
        reported = {agent: status.routers for agent, status in raft.router_status.items()}
        self.assertEqual(reported, {"a0": POLICY_READ["told"]})

    def test_a_damaged_heartbeat_is_answered_and_leaves_the_last_one(self) -> None:
        damaged: list[dict[str, Any]] = [
            {"do": "word"},
            {"do": "word", "agent": "a0"},
            {"do": "word", "agent": "a0", "words": [1]},
        ]
        raft = asyncio.run(record_voter.run_voter(self.settings, damaged))
        self.assertEqual(dict(raft.heartbeats), {"a0": ReceivedHeartbeat(1, HEALTH_REPORTS)})
        self.assertEqual(raft.counters["control.commands"], len(damaged))

    def test_the_recorded_journal_holds_the_script(self) -> None:
        journal = FileJournal(str(self.folder / "journal"))
        self.addCleanup(journal._destroy)
        # Two entries of the library's own at the first start, one at the second.
        self.assertEqual(len(journal), len(SCRIPT) + 1 + 3)


class DiskTest(unittest.TestCase):
    """Records on disk, each read from a copy of the recorded file."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def copy_recorded(self, recording: str, name: str) -> Path:
        """Copy a recorded file into the folder under another name."""
        path = self.folder / name
        path.write_bytes(recorded_bytes(recording))
        return path

    def test_a_durable_record_is_read_in_its_version_alone(self) -> None:
        path = self.copy_recorded("durable.json", "durable.json")
        self.assertEqual(durable.read(path, 3), {"b": [1, None, True], "a": {"é": 1.5}})
        with self.assertLogs("maplestile.durable") as logged:
            self.assertIsNone(durable.read(path, 4))
            path.write_bytes(recorded_bytes("durable.json").replace(b"1.5", b"1.6"))
            self.assertIsNone(durable.read(path, 3))
        warning = f"{path} is of no use: another version, or not as it was written"
        self.assertEqual([line.getMessage() for line in logged.records], [warning, warning])

    def test_the_policy_of_a_router_is_read(self) -> None:
        self.copy_recorded("policy-own.json", "policy.json")
        self.assertEqual(store.read(self.folder), AdoptedPolicy(7, None))
        self.copy_recorded("policy-document.json", "policy.json")
        self.assertEqual(store.read(self.folder), AdoptedPolicy(7, document_of(DOCUMENT)))

    def test_the_process_registry_is_read_and_written_as_recorded(self) -> None:
        path = self.copy_recorded("roster.json", "roster.json")
        registry = ProcessRegistry(self.folder)
        self.assertEqual(registry.processes, {"r0": (4194300, 17), "w0": (4194301, 18)})
        registry.record("r1", None)
        self.assertEqual(path.read_bytes(), recorded_bytes("roster.json"))
        registry.record("w0", None)
        registry.record("r0", None)
        self.assertEqual(durable.read(path, 1), {})

    def test_the_suspended_runners_are_read(self) -> None:
        for name in recorded_lines("suspended.txt"):
            (self.folder / name).touch()
        (self.folder / "other").touch()
        self.assertEqual(FileCordonStore(self.folder).names(), {"w0", LONG_NAME, "..", "r-w1", ""})


if __name__ == "__main__":
    unittest.main()
