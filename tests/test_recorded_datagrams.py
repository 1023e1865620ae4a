"""Tests of decoding the membership datagrams that are recorded in `tests/recorded/control`."""

import unittest

from maplestile.membership import messages
from tests.control_recordings import recorded_bytes, recorded_lines
from tests.record_datagrams import MESSAGES


class DatagramTest(unittest.TestCase):
    """Decodes recorded datagrams."""

    def test_decodes_each_kind_of_message(self) -> None:
        self.assertEqual(set(MESSAGES), set(messages.KINDS_BY_NAME))
        for kind, message in MESSAGES.items():
            with self.subTest(kind):
                self.assertEqual(messages.decode(recorded_bytes(f"datagram-{kind}.bin")), message)

    def test_rejects_invalid_datagram_with_recorded_error(self) -> None:
        for invalid in recorded_lines("bad-datagrams.jsonl"):
            with self.subTest(invalid["told"]), self.assertRaises(messages.DatagramError) as rejected:
                messages.decode(bytes.fromhex(invalid["datagram"]))
            self.assertEqual(str(rejected.exception), invalid["told"])

    def test_ignores_unknown_keys(self) -> None:
        for line in recorded_lines("foreign-datagrams.jsonl"):
            message = messages.decode(bytes.fromhex(line["datagram"]))
            self.assertEqual(message, MESSAGES["ping"])


if __name__ == "__main__":
    unittest.main()
