"""A stand-in name server: DNS over UDP, with whole names and answers of 8,000 bytes at most."""

import asyncio
import struct
import time

from review.common_2.runners import Runner

LIST_NAME = "_app._tcp.cluster.lan"
A, SOA, TXT, SRV = 1, 6, 16, 33
MAX_REPLY_BYTES = 8_000
AUTHORITATIVE_ANSWER = 0x8400
ADDRESS = bytes([127, 0, 0, 1])


def encode_name(name: str) -> bytes:
    """Encode a name without compression, which the protocol allows and does not ask for."""
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def record(name: str, kind: int, data: bytes) -> bytes:
    """Encode a record."""
    return encode_name(name) + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


class NameServer(asyncio.DatagramProtocol):
    """Answers queries for the list and for the records of one host.

    The answer to the list has all SRV records. Address records follow as RFC 2782 asks for, and then TXT
    records, as long as there is room; what has none is asked for by name.
    """

    def __init__(self) -> None:
        self.runners: list[Runner] = []
        self.serial = 1
        self.port = 0
        self.silent_until_s = 0.0  # answers nothing before, by the monotonic clock
        self.silence_after_serial = 0  # the silence begins once this serial has been told; 0 for none
        self.silence_s = 0.0
        self.silence_began_s = 0.0
        self.told: dict[int, float] = {}  # when each serial was told first
        self.dropped = 0
        self.answered = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    def close(self) -> None:
        """Stop to answer for good."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, peer: tuple[str, int]) -> None:
        """Answer one query, unless the server is silent."""
        now_s = time.monotonic()
        if now_s < self.silent_until_s:
            self.dropped += 1
            return
        name, end = _decode_question(data)
        kind = struct.unpack_from("!H", data, end)[0]
        question = data[12 : end + 4]
        if name == LIST_NAME:
            reply = self._list(data[:2], question)
        else:
            reply = self._host(data[:2], question, name, kind)
        assert self._transport is not None
        self._transport.sendto(reply, peer)
        self.answered += 1
        if name == LIST_NAME:
            self.told.setdefault(self.serial, now_s)
            if self.silence_after_serial and self.serial >= self.silence_after_serial:
                self.silence_after_serial = 0
                self.silence_began_s = now_s
                self.silent_until_s = now_s + self.silence_s

    def _list(self, id_: bytes, question: bytes) -> bytes:
        listed = [runner for runner in self.runners if runner.state != "Gone"]
        answers = b"".join(record(LIST_NAME, SRV, _target(runner)) for runner in listed)
        soa = record(LIST_NAME, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        size = 12 + len(question) + len(answers) + len(soa)
        addresses = [record(_host(runner), A, ADDRESS) for runner in listed]
        additional = [*addresses, *(record(_host(runner), TXT, _texts(runner)) for runner in listed)]
        fitting = list[bytes]()
        for part in additional:
            if size + len(part) > MAX_REPLY_BYTES:
                break
            size += len(part)
            fitting.append(part)
        header = id_ + struct.pack("!5H", AUTHORITATIVE_ANSWER, 1, len(listed), 1, len(fitting))
        return header + question + answers + soa + b"".join(fitting)

    def _host(self, id_: bytes, question: bytes, name: str, kind: int) -> bytes:
        found = [r for r in self.runners if r.state != "Gone" and _host(r).lower() == name.lower()]
        data = b""
        if found and kind == A:
            data = record(name, A, ADDRESS)
        elif found and kind == TXT:
            data = record(name, TXT, _texts(found[0]))
        soa = record(LIST_NAME, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        return id_ + struct.pack("!5H", AUTHORITATIVE_ANSWER, 1, bool(data), 1, 0) + question + data + soa


def _target(runner: Runner) -> bytes:
    priority = 1 if runner.state == "Terminating" else 0
    return struct.pack("!3H", priority, 10 * runner.weight, runner.port) + encode_name(_host(runner))


def _host(runner: Runner) -> str:
    return f"{runner.uid}.{runner.zone}.hosts"


def _texts(runner: Runner) -> bytes:
    texts = f"kind={runner.kind}", f"cell={runner.cell}", f"started={runner.boot_ms}"
    return b"".join(bytes([len(text)]) + text.encode() for text in texts)


def _decode_question(data: bytes) -> tuple[str, int]:
    labels, position = list[str](), 12
    while size := data[position]:
        labels.append(data[position + 1 : position + 1 + size].decode())
        position += 1 + size
    return ".".join(labels), position + 1
