"""A fake DNS server that answers with the list of workers, and the encoding of its records."""

import socket
import struct
import threading
from collections.abc import Iterable

from tests.standins.worker import Worker

MANY_QUERIES = 1000  # more than a test lasts

A, SOA, TXT, SRV = 1, 6, 16, 33  # types of records
REPLY = 0x8400  # flags of an authoritative answer
TRUNCATED_REPLY = 0x8600
NAME_START = 12  # of a query, behind its head
SAME_NAME = b"\xc0\x0c"  # a pointer from an answer to that name


def name_bytes(name: str) -> bytes:
    """Encode a domain name."""
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def record(name: bytes, kind: int, data: bytes) -> bytes:
    """Encode a resource record of the class IN that may not be cached."""
    return name + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


class NameServer:
    """Answers each query with the whole list of `workers`.

    `faults` says what happens to the next queries instead: `lost` gives no answer, `cut` one that is marked
    as truncated, and any other text none of these.
    """

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.serial, self.workers = 1, list[tuple[str, int, int]]()  # uid, port, priority
        self.started: dict[str, int] = {}  # Unix milliseconds of a late start, by uid
        self.faults: list[str] = []
        self.queries = 0
        threading.Thread(target=self._run, daemon=True).start()

    def list_workers(self, workers: Iterable[Worker]) -> None:
        """List these workers alone, as `s-0`, `s-1` and so on, each with the priority of a running one."""
        self.workers = [(f"s-{number}", worker.port, 0) for number, worker in enumerate(workers)]

    def lose_queries(self) -> None:
        """Answer no query from now on, for longer than a test lasts."""
        self.faults = MANY_QUERIES * ["lost"]

    def answer_queries(self) -> None:
        """Answer each query again."""
        self.faults = []

    def _run(self) -> None:
        while True:
            query, peer = self.socket.recvfrom(512)
            self.queries += 1
            fault = self.faults.pop(0) if self.faults else ""
            if fault != "lost":
                self.socket.sendto(self._reply(query, truncated=fault == "cut"), peer)

    def _reply(self, query: bytes, truncated: bool) -> bytes:
        """Encode the whole list, with the address and the properties of each worker."""
        workers = list(self.workers)
        answer = extra = b""
        for uid, port, priority in workers:
            host = name_bytes(f"{uid}.east.hosts")
            answer += record(SAME_NAME, SRV, struct.pack("!3H", priority, 40, port) + host)
            texts = b"kind=std", b"cell=2", b"started=%d" % self.started.get(uid, 0)
            extra += record(host, A, bytes([127, 0, 0, 1]))
            extra += record(host, TXT, b"".join(bytes([len(text)]) + text for text in texts))
        soa = record(SAME_NAME, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        flags = TRUNCATED_REPLY if truncated else REPLY
        head = struct.pack("!6H", int.from_bytes(query[:2]), flags, 1, len(workers), 1, 2 * len(workers))
        return head + query[NAME_START:] + answer + soa + extra
