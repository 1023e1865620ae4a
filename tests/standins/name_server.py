"""A fake DNS server that answers with the list of workers, and functions that encode its records."""

import contextlib
import socket
import struct
import threading
from collections.abc import Iterable

from tests.standins.worker import Worker

USUAL_WEIGHT = 40  # of an SRV record: ten times the weight of the worker
MANY_QUERIES = 1000  # more than a router sends during a test

A, SOA, TXT, SRV = 1, 6, 16, 33  # DNS record types
REPLY_FLAGS = 0x8400  # authoritative answer
TRUNCATED_REPLY_FLAGS = 0x8600  # authoritative answer, truncated
NAME_START = 12  # the offset of the name in a query, after the 12-byte header
SAME_NAME = b"\xc0\x0c"  # a compressed name: a pointer to the name at NAME_START


def name_bytes(name: str) -> bytes:
    """Encode a domain name."""
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def record(name: bytes, record_type: int, data: bytes) -> bytes:
    """Encode a resource record of class IN with a TTL of 0, which forbids caching."""
    return name + struct.pack("!HHIH", record_type, 1, 0, len(data)) + data


class NameServer:
    """A DNS server that answers each query with the whole list of `workers`.

    `faults` has one text for each of the next queries: `lost` gives no answer, `cut` an answer that is marked
    as truncated, and any other text the usual answer.
    """

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.serial, self.workers = 1, list[tuple[str, int, int]]()  # uid, port, priority
        self.started: dict[str, int] = {}  # Unix milliseconds of each worker's start, by uid; 0 if missing
        self.cells: dict[str, int] = {}  # by uid; 2 if missing
        self.weights: dict[str, int] = {}  # in the SRV records, by uid; `USUAL_WEIGHT` if missing
        self.faults: list[str] = []
        self.queries = 0
        threading.Thread(target=self._run, daemon=True).start()

    def list_workers(self, workers: Iterable[Worker]) -> None:
        """List exactly these workers, as `s-0`, `s-1` and so on, with the priority of a running worker."""
        self.workers = [(f"s-{number}", worker.port, 0) for number, worker in enumerate(workers)]

    def lose_queries(self) -> None:
        """Answer no query from now on, for longer than a test runs."""
        self.faults = MANY_QUERIES * ["lost"]

    def answer_queries(self) -> None:
        """Answer all queries again."""
        self.faults = []

    def _run(self) -> None:
        """Answer queries until the socket is closed."""
        with contextlib.suppress(OSError):
            while True:
                query, peer = self.socket.recvfrom(512)
                self.queries += 1
                fault = self.faults.pop(0) if self.faults else ""
                if fault != "lost":
                    self.socket.sendto(self._reply(query, truncated=fault == "cut"), peer)

    def _reply(self, query: bytes, truncated: bool) -> bytes:
        """Encode a reply with an SRV record for each worker, and additional records with its properties."""
        workers = list(self.workers)
        answers = additional = b""
        for uid, port, priority in workers:
            host_name = name_bytes(f"{uid}.east.hosts")
            weight = self.weights.get(uid, USUAL_WEIGHT)
            answers += record(SAME_NAME, SRV, struct.pack("!3H", priority, weight, port) + host_name)
            txt_strings = (
                b"kind=std",
                b"cell=%d" % self.cells.get(uid, 2),
                b"started=%d" % self.started.get(uid, 0),
            )
            additional += record(host_name, A, bytes([127, 0, 0, 1]))
            additional += record(host_name, TXT, b"".join(bytes([len(text)]) + text for text in txt_strings))
        soa = record(SAME_NAME, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        flags = TRUNCATED_REPLY_FLAGS if truncated else REPLY_FLAGS
        header = struct.pack("!6H", int.from_bytes(query[:2]), flags, 1, len(workers), 1, 2 * len(workers))
        return header + query[NAME_START:] + answers + soa + additional
