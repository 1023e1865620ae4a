"""Tests of the check of a voter's files at startup."""

import pickle
import struct
import tempfile
import unittest
from pathlib import Path

from pysyncobj.journal import FileJournal  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.errors import CommandRejected
from maplestile.control import snapshot
from maplestile.control.log_storage import check_folder
from maplestile.control.snapshot import Snapshot
from maplestile.control.state import ControlState


class FolderTest(unittest.TestCase):
    """Tests that an intact folder is accepted, and a damaged one is rejected with the place of the damage."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        journal = FileJournal(str(self.folder / "journal"))
        journal.setCurrentTerm(3, "127.0.0.1:1")
        for index, term in ((1, 0), (2, 1), (3, 3)):
            journal.add(b"command", index, term)
        journal._destroy()
        entries = (b"command", 2, 1), (b"command", 1, 0)
        snapshot.write(self.folder / "snapshot", Snapshot(ControlState(), *entries))
        check_folder(self.folder, "a1")
        self.intact = {path.name: path.read_bytes() for path in self.folder.iterdir()}

    def rejection_reason(self, name: str, content: bytes | None) -> str:
        """Replace the content of one file, or remove it if None, and return the text of the check's error."""
        for intact_name, intact_content in self.intact.items():
            (self.folder / intact_name).write_bytes(intact_content)
        if content is None:
            (self.folder / name).unlink()
        else:
            (self.folder / name).write_bytes(content)
        with self.assertRaises(CommandRejected) as caught:
            check_folder(self.folder, "a1")
        # The check must not create or remove the file.
        self.assertEqual((self.folder / name).exists(), content is not None)
        return str(caught.exception).replace(str(self.folder), "")

    def test_accepts_intact_folder_and_empty_folder(self) -> None:
        check_folder(self.folder, "a1")
        check_folder(Path(tempfile.mkdtemp()), "a1")

    def test_rejects_missing_truncated_or_damaged_journal(self) -> None:
        journal = self.intact["journal"]
        for content, place in (
            (b"", "/journal: no journal"),
            (b"x" * 500, "/journal: no journal"),
            (journal[:60], "/journal: 60 bytes, and its records end"),
            (None, "/journal: is missing"),
            (journal[:40] + struct.pack("<I", 9) + journal[44:], "/journal: byte 40: a record"),
            (journal[:40] + b"\xff" * 60 + journal[100:], "/journal: byte 40: a record"),
            (journal[:75] + b"\x07" + journal[76:], "/journal: byte 71: entry 7 of term 1 after 1 of 0"),
            (journal[:83] + b"\xff" * 8 + journal[91:], "/journal: byte 71: entry 2 of term"),
        ):
            with self.subTest(place):
                self.assertIn(place, self.rejection_reason("journal", content))

    def test_rejects_missing_outdated_or_damaged_term(self) -> None:
        """A voter that does not know its last term might vote twice in it."""
        old = pickle.dumps({"currentTerm": 2, "votedForNodeId": "127.0.0.1:1"})
        for content, place in (
            (None, "its term is 0, and the journal has one of 3"),
            (old, "its term is 2"),
            (b"", "of no use"),
            (self.intact["journal.meta"][:-9], "of no use"),
            (pickle.dumps({"currentTerm": "3"}), "currentTerm"),
            (pickle.dumps(Path("x")), "of no use"),
        ):
            with self.subTest(place):
                self.assertIn(f"/journal.meta: {place}", self.rejection_reason("journal.meta", content))

    def test_rejects_damaged_owner_file(self) -> None:
        """Guards against a voter that claims the folder of another one, whose name cannot be read."""
        for content in (b"", self.intact["voter"][:-3], b"{}"):
            self.assertIn("/voter: damaged", self.rejection_reason("voter", content))

    def test_rejects_damaged_snapshot_and_folder_of_another_voter(self) -> None:
        snapshot = self.intact["snapshot"]
        for content in (b"", snapshot[:-3], b"x" * 50, snapshot[:-8] + b"\0" * 8):
            self.assertIn("/snapshot: not whole", self.rejection_reason("snapshot", content))
        with self.assertRaisesRegex(CommandRejected, "the folder is of voter 'a1'"):
            check_folder(self.folder, "a2")


if __name__ == "__main__":
    unittest.main()
