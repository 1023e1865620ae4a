"""Tests of encoding and decoding membership datagrams, and of the errors that name an invalid field."""

import unittest

from maplestile.membership.health_checks import HealthFinding
from maplestile.membership.messages import (
    DatagramError,
    MemberUpdate,
    Message,
    MessageKind,
    Status,
    decode,
    encode,
)


class MessageTest(unittest.TestCase):
    """Encodes and decodes messages, updates and findings."""

    def test_decoded_message_equals_encoded_message(self) -> None:
        update = MemberUpdate(Status.SUSPECT, "r2", ("127.0.0.1", 7001), 3, "r1")
        sent = Message(
            MessageKind.PING_REQ, 9, "r1", "r2", ("127.0.0.1", 7001), ("127.0.0.1", 7000), [update]
        )
        self.assertEqual(decode(encode(sent)), sent)

    def test_decodes_finding_and_names_field_of_invalid_finding(self) -> None:
        sent = Message(
            MessageKind.ACK,
            1,
            "r1",
            reply_to=("127.0.0.1", 1),
            digest=7,
            findings=[HealthFinding("w1", True, 3, "r1")],
        )
        self.assertEqual(decode(encode(sent)), sent)
        for bad, index in (
            (HealthFinding("", True, 3, "r1"), 0),
            (HealthFinding("w1", True, -1, "r1"), 2),
        ):
            with self.assertRaisesRegex(DatagramError, rf"^f\[0\]\[{index}\]"):
                decode(encode(Message(MessageKind.ACK, 1, "r1", reply_to=("127.0.0.1", 1), findings=[bad])))

    def test_rejects_invalid_datagram_and_names_field(self) -> None:
        good = encode(Message(MessageKind.PING, 1, "r1", "r2", reply_to=("127.0.0.1", 1)))
        update = MemberUpdate(Status.DEAD, "r3", ("127.0.0.1", 1), 0, "r1")
        with_update = encode(
            Message(MessageKind.PING, 1, "r1", "r2", reply_to=("127.0.0.1", 1), gossip=[update])
        )
        unknown_status = with_update.replace(b"dead", b"gone")
        for datagram, place in (
            (b"\xc1", "datagram"),
            (b"\x93\x01\x02\x03", "datagram"),
            (good[:-3], "datagram"),
            (good.replace(b"ping", b"pong"), "k"),
            (unknown_status, r"g\[0\]\[0\]"),
        ):
            with self.assertRaisesRegex(DatagramError, f"^{place}"):
                decode(datagram)


if __name__ == "__main__":
    unittest.main()
