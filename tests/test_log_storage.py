"""What a voter has on disk, checked at its start."""

import gzip
import pickle
import struct
import tempfile
import unittest
from pathlib import Path

from pysyncobj.journal import FileJournal  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.errors import CommandRejected
from maplestile.control.log_storage import check_folder


class FolderTest(unittest.TestCase):
    """A voter's folder is accepted if it is undamaged, and else refused with the place of the damage."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        journal = FileJournal(str(self.folder / "journal"))
        journal.setCurrentTerm(3, "127.0.0.1:1")
        for index, term in ((1, 0), (2, 1), (3, 3)):
            journal.add(b"command", index, term)
        journal._destroy()
        with gzip.open(self.folder / "snapshot", "wb") as file:
            file.write(bytes(1000))
        check_folder(self.folder, "a1")
        self.undamaged = {path.name: path.read_bytes() for path in self.folder.iterdir()}

    def refusal(self, name: str, content: bytes | None) -> str:
        """Damage one file, or with None remove it; the text of the error by which the folder is refused."""
        for known, before in self.undamaged.items():
            (self.folder / known).write_bytes(before)
        if content is None:
            (self.folder / name).unlink()
        else:
            (self.folder / name).write_bytes(content)
        with self.assertRaises(CommandRejected) as caught:
            check_folder(self.folder, "a1")
        self.assertEqual((self.folder / name).exists(), content is not None)  # nothing is changed
        return str(caught.exception).replace(str(self.folder), "")

    def test_undamaged_folder_is_accepted_again_and_a_new_one_as_well(self) -> None:
        check_folder(self.folder, "a1")
        check_folder(Path(tempfile.mkdtemp()), "a1")

    def test_journal_that_is_cut_or_of_other_bytes_is_refused(self) -> None:
        journal = self.undamaged["journal"]
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
                self.assertIn(place, self.refusal("journal", content))

    def test_voter_that_forgot_its_term_might_vote_twice_and_is_refused(self) -> None:
        old = pickle.dumps({"currentTerm": 2, "votedForNodeId": "127.0.0.1:1"})
        for content, place in (
            (None, "its term is 0, and the journal has one of 3"),
            (old, "its term is 2"),
            (b"", "of no use"),
            (self.undamaged["journal.meta"][:-9], "of no use"),
            (pickle.dumps({"currentTerm": "3"}), "currentTerm"),
            (pickle.dumps(Path("x")), "of no use"),
        ):
            with self.subTest(place):
                self.assertIn(f"/journal.meta: {place}", self.refusal("journal.meta", content))

    def test_snapshot_that_is_cut_and_another_voters_folder_are_refused(self) -> None:
        snapshot = self.undamaged["snapshot"]
        for content in (b"", snapshot[:-3], b"x" * 50, snapshot[:-8] + b"\0" * 8):
            self.assertIn("/snapshot: not whole", self.refusal("snapshot", content))
        with self.assertRaisesRegex(CommandRejected, "the folder is of voter 'a1'"):
            check_folder(self.folder, "a2")


if __name__ == "__main__":
    unittest.main()
