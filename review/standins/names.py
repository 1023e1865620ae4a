"""Stands in for the name server: DNS over UDP, with the whole list in each answer."""

import asyncio
import struct
from dataclasses import dataclass
from typing import Any

HOST = "127.0.0.1"
SERVICE = "_app._tcp.cluster.lan"
A, SOA, TXT, SRV = 1, 6, 16, 33  # types of records
QUESTION_AT = 12  # offset of the question in a query
ANSWER_FLAGS = 0x8400


@dataclass(frozen=True)
class Listed:
    """One runner of the list."""

    uid: str
    port: int
    cell: int = 1
    zone: str = "north-block"
    kind: str = "quad-std"
    weight: int = 4

    def known(self) -> dict[str, Any]:
        """Return the entry in the form of the configuration."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": "Ready",
            "capacity_hint": self.weight,
            "boot_ms": 0,
        }


def known_list(runners: list[Listed]) -> list[dict[str, Any]]:
    """Return the events of the start: one, with the whole list."""
    targets = [runner.known() for runner in runners]
    return [{"index": 1, "endpoints": {"rev": 1, "all": True, "targets": targets}}]


class NameServer(asyncio.DatagramProtocol):
    """A name server that gives the list of the start, under the serial 1."""

    def __init__(self, runners: list[Listed]) -> None:
        self.runners = runners
        self.port = 0
        self.transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def start(cls, runners: list[Listed]) -> "NameServer":
        """Start a name server on a free port."""
        server = cls(runners)
        loop = asyncio.get_running_loop()
        server.transport, _ = await loop.create_datagram_endpoint(lambda: server, local_addr=(HOST, 0))
        server.port = server.transport.get_extra_info("sockname")[1]
        return server

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer one query."""
        if self.transport is not None:
            self.transport.sendto(self._reply(data), addr)

    def _reply(self, query: bytes) -> bytes:
        answers = additional = b""
        for runner in self.runners:
            host = _encode_name(f"{runner.uid}.{runner.zone}.hosts")
            target = struct.pack("!3H", 0, 10 * runner.weight, runner.port) + host
            answers += _encode_record(_encode_name(SERVICE), SRV, target)
            texts = (f"kind={runner.kind}", f"cell={runner.cell}", "started=0")
            strings = b"".join(bytes([len(text)]) + text.encode() for text in texts)
            additional += _encode_record(host, A, bytes([127, 0, 0, 1])) + _encode_record(host, TXT, strings)
        soa = _encode_record(_encode_name("cluster.lan"), SOA, b"\0\0" + struct.pack("!5I", 1, 0, 0, 0, 0))
        count = len(self.runners)
        header = struct.pack("!6H", int.from_bytes(query[:2]), ANSWER_FLAGS, 1, count, 1, 2 * count)
        return header + query[QUESTION_AT:] + answers + soa + additional


def _encode_name(name: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def _encode_record(name: bytes, record_type: int, data: bytes) -> bytes:
    return name + struct.pack("!HHIH", record_type, 1, 0, len(data)) + data
