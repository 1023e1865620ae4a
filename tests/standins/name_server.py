"""A fake DNS server that answers with the list of workers, and the encoding of its records."""

import socket
import struct
import threading
from collections.abc import Iterable

from tests.standins.worker import Worker

MANY_QUERIES = 1000  # more than a test lasts


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
            if fault == "lost":
                continue
            flags = 0x8600 if fault == "cut" else 0x8400
            answer, extra = b"", b""
            for uid, port, priority in self.workers:
                host = name_bytes(f"{uid}.east.hosts")
                answer += record(b"\xc0\x0c", 33, struct.pack("!3H", priority, 40, port) + host)
                extra += record(host, 1, bytes([127, 0, 0, 1]))
                texts = b"kind=std", b"cell=2", b"started=%d" % self.started.get(uid, 0)
                extra += record(host, 16, b"".join(bytes([len(t)]) + t for t in texts))
            soa = record(b"\xc0\x0c", 6, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
            count = len(self.workers)
            head = struct.pack("!6H", int.from_bytes(query[:2]), flags, 1, count, 1, 2 * count)
            self.socket.sendto(head + query[12:] + answer + soa + extra, peer)
