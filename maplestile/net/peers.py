"""The membership protocol on UDP: datagrams in and out of `peers.swim.Swim`, and its timer."""

import asyncio
import contextlib
import logging
import time
from collections import Counter
from typing import Any

from maplestile import logs
from maplestile.fleet import Address
from maplestile.peers.messages import DatagramError, decode, encode
from maplestile.peers.swim import Swim
from maplestile.peers.tuning import Tuning

log = logging.getLogger("maplestile.peers")


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class Peers(asyncio.DatagramProtocol):
    """One member on one UDP socket."""

    def __init__(
        self, name: str, address: Address, seeds: list[Address], tuning: Tuning, seed: int,
        counters: Counter[str],
    ) -> None:  # fmt: skip
        self.name, self.tuning, self.seed = name, tuning, seed
        self.swim = Swim(name, address, tuning, seed, monotonic_us())  # anew once the socket stands
        self.address, self.seeds, self.counters = address, seeds, counters
        self.events = logs.events("peers")
        self.transport: asyncio.DatagramTransport | None = None
        self.wake = asyncio.Event()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        host, port = self.transport.get_extra_info("sockname")[:2]
        self.address = host, port  # port 0 in the file: the system's choice, told to the others
        self.swim = Swim(self.name, self.address, self.tuning, self.seed, monotonic_us())
        self.swim.join(self.seeds, monotonic_us())
        self._flush()
        log.info("%s: members meet on UDP %s:%d, seeds %d", self.name, host, port, len(self.seeds))
        try:
            while True:
                wait_s = max(0.0, (self.swim.due_us() - monotonic_us()) / 1e6)
                self.wake.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), min(wait_s, 1.0))
                self.swim.tick(monotonic_us())
                self._flush()
        finally:
            self.transport.close()

    def leave(self) -> None:
        """Say that this member goes; the word travels while the process drains, before the socket closes."""
        if self.transport is None:
            return
        self.swim.leave(monotonic_us())
        self._flush()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            message = decode(data)
        except DatagramError as fault:
            self.counters["peers.bad_datagrams"] += 1
            log.warning("peers: a bad datagram from %s:%s dropped: %s", addr[0], addr[1], fault)
            return
        self.counters[f"peers.in.{message.kind}"] += 1
        self.swim.receive(message, monotonic_us())
        self._flush()
        self.wake.set()  # what came may have changed what is due

    def error_received(self, exc: Exception) -> None:
        self.counters["peers.send_errors"] += 1  # a port refused by a member that ended: its probe tells

    def _flush(self) -> None:
        for to, message in self.swim.outbox:
            if self.transport is not None:
                self.transport.sendto(encode(message), to)
                self.counters[f"peers.out.{message.kind}"] += 1
        self.swim.outbox.clear()
        for kind, told in self.swim.events:
            self.counters[f"peers.events.{kind}"] += 1
            self.events.info(kind, **told)
        self.swim.events.clear()
        for kind, count in self.swim.faults.items():
            self.counters[f"peers.faults.{kind}"] += count
        self.swim.faults.clear()

    def members(self) -> dict[str, Any]:
        """The view, for operators: `{"member", "isolated", "health", "agreed", "members": [...]}`."""
        swim = self.swim
        return {
            "member": swim.name, "incarnation": swim.incarnation, "isolated": swim.isolated,
            "health": swim.health, "agreed": sorted(swim.agreed),
            "members": [
                {"name": m.name, "address": f"{m.address[0]}:{m.address[1]}", "status": m.status.value,
                 "incarnation": m.incarnation}
                for m in swim.view()
            ],
        }  # fmt: skip
