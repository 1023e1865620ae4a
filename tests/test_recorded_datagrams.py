"""Datagrams of the membership protocol, against those recorded in `tests/recorded/control`."""

import unittest

from maplestile.membership import messages
from tests.control_recordings import recorded_bytes, recorded_lines
from tests.record_datagrams import MESSAGES


class DatagramTest(unittest.TestCase):
    """Recorded datagrams, decoded."""

    def test_each_kind_is_read(self) -> None:
        self.assertEqual(set(MESSAGES), set(messages.KIND_BY_TEXT))
        for kind, message in MESSAGES.items():
            with self.subTest(kind):
                self.assertEqual(messages.decode(recorded_bytes(f"datagram-{kind}.bin")), message)

    def test_each_bad_one_is_refused_with_the_recorded_text(self) -> None:
        for bad in recorded_lines("bad-datagrams.jsonl"):
            with self.subTest(bad["told"]), self.assertRaises(messages.DatagramError) as refused:
                messages.decode(bytes.fromhex(bad["datagram"]))
            self.assertEqual(str(refused.exception), bad["told"])

    def test_foreign_keys_are_passed_over(self) -> None:
        for foreign in recorded_lines("foreign-datagrams.jsonl"):
            read = messages.decode(bytes.fromhex(foreign["datagram"]))
            self.assertEqual(read, MESSAGES["ping"])


if __name__ == "__main__":
    unittest.main()
