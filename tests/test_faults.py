"""Tests of fault schedules, and of the relay that applies them between sockets of this process."""

import asyncio
import json
import random
import unittest
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.control_port import ControlPort
from maplestile.tools.faults.relay import Relay
from maplestile.tools.faults.schedule import Fault, FaultKind, Net, Schedule, ScheduleError, schedule_from
from tests.standins import wait_until

TIMEOUT_S = 10.0
PAYLOAD_BYTES = 100_000
DATAGRAMS = 5000  # enough for the share of each fault to be close to the configured one
FLAP = Fault(FaultKind.FLAP, 100, 1000, frozenset({0}), frozenset({1}), down_us=30, up_us=70)


class ScheduleTest(unittest.TestCase):
    """Tests of what a schedule does to single datagrams, and of the errors of invalid ones."""

    def test_fault_cuts_only_its_links_and_only_while_it_lasts(self) -> None:
        split = Fault(FaultKind.SPLIT, 10, 20, sides=(frozenset({0, 1}), frozenset({2})))
        cut = Fault(FaultKind.CUT, 10, 20, frozenset({0}), frozenset({1}))
        for fault, origin, target, now, expected in (
            (split, 0, 1, 15, False),
            (split, 0, 2, 15, True),
            (split, 2, 3, 15, True),
            (split, 3, 4, 15, False),
            (split, 0, 2, 9, False),
            (split, 0, 2, 20, False),
            (cut, 0, 1, 10, True),
            (cut, 1, 0, 10, False),
            (FLAP, 0, 1, 100, True),
            (FLAP, 1, 0, 129, True),
            (FLAP, 0, 1, 130, False),
            (FLAP, 0, 1, 200, True),
            (FLAP, 0, 2, 200, False),
        ):
            with self.subTest(fault=fault.kind, origin=origin, target=target, now=now):
                self.assertEqual(fault.cuts(origin, target, now), expected)

    def test_lost_duplicated_and_reordered_shares_are_as_configured(self) -> None:
        schedule = Schedule(1, 2, Net(loss=0.2, duplicate=0.1, reorder=0.3, reorder_us=1_000_000))
        generator = random.Random(1)
        delays = [schedule.delivery_delays_us(0, 1, 0, generator) for _ in range(DATAGRAMS)]
        self.assertAlmostEqual(sum(not arrivals for arrivals in delays) / DATAGRAMS, 0.2, delta=0.03)
        self.assertAlmostEqual(sum(len(arrivals) == 2 for arrivals in delays) / DATAGRAMS, 0.08, delta=0.02)
        self.assertAlmostEqual(
            sum(max(arrivals, default=0) >= 1_000_000 for arrivals in delays) / DATAGRAMS, 0.24, delta=0.03
        )

    def test_invalid_schedule_raises_error_that_names_the_field(self) -> None:
        for values, place in (
            ({"members": 3}, "seed"),
            ({"seed": 1, "members": 3, "net": {"loss": 2}}, "net.loss"),
            (
                {"seed": 1, "members": 3, "split": [{"at_s": 1, "until_s": 2, "sides": [[3]]}]},
                "split[0].sides",
            ),
            ({"seed": 1, "members": 3, "kill": [{"at_s": 1, "member": True}]}, "kill[0].member"),
            ({"seed": 1, "members": 3, "pause": [{"at_s": 1, "member": 1}]}, "pause[0].for_s"),
        ):
            with self.assertRaises(ScheduleError) as caught:
                schedule_from(TomlTable(values, "", ScheduleError))
            self.assertTrue(str(caught.exception).startswith(place), str(caught.exception))


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records the datagrams that it receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Record a datagram."""
        self.received.append(data)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a relay between two members, whose sockets belong to the test."""

    async def asyncSetUp(self) -> None:
        self.relay = Relay(Schedule(1, 2))
        self.control_port = ControlPort(self.relay)
        self.fronts = await self.relay.open_fronts()
        loop = asyncio.get_running_loop()
        self.member_sockets = [
            await loop.create_datagram_endpoint(DatagramRecorder, local_addr=("127.0.0.1", 0))
            for _ in range(2)
        ]
        for transport, _ in self.member_sockets:
            self.addCleanup(transport.close)
        for front in self.relay.fronts:
            self.addCleanup(front.transport.close)

    async def send_command(self, **command: Any) -> dict[str, Any]:
        """Execute a command of the control port and return its reply."""
        return await self.control_port.execute(json.dumps(command).encode())

    async def register_members(self) -> None:
        """Register the members' sockets at the relay."""
        for number, (transport, _) in enumerate(self.member_sockets):
            host, port = transport.get_extra_info("sockname")
            self.assertTrue(
                (await self.send_command(do="udp", member=number, address=f"{host}:{port}"))["ok"]
            )

    async def test_cut_drops_datagrams_in_one_direction_until_it_is_healed(self) -> None:
        (one, _), (_, other) = self.member_sockets
        one.sendto(b"unknown", self.fronts[1])
        await wait_until(lambda: self.relay.counts["udp.unknown"] == 1, TIMEOUT_S)
        await self.register_members()
        one.sendto(b"a", self.fronts[1])
        await wait_until(lambda: other.received == [b"a"], TIMEOUT_S)
        cut = {"at_s": 0, "until_s": 100, "from": [0], "to": [1]}
        await self.send_command(do="begin", schedule={"cut": [cut]})
        one.sendto(b"b", self.fronts[1])
        await wait_until(lambda: self.relay.counts["udp.lost"] == 1, TIMEOUT_S)
        self.member_sockets[1][0].sendto(b"back", self.fronts[0])
        await wait_until(lambda: self.member_sockets[0][1].received == [b"back"], TIMEOUT_S)
        await self.send_command(do="heal")
        one.sendto(b"c", self.fronts[1])
        await wait_until(lambda: other.received == [b"a", b"c"], TIMEOUT_S)

    async def test_tcp_bytes_wait_during_split_and_arrive_complete_and_in_order(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.readexactly(PAYLOAD_BYTES))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        reply = await self.send_command(do="tcp", **{"from": 0, "to": 1}, address=f"127.0.0.1:{port}")
        host, _, front = reply["front"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(front))
        self.addCleanup(writer.close)
        data = random.Random(1).randbytes(PAYLOAD_BYTES)
        split = {"at_s": 0, "until_s": 100, "sides": [[0], [1]]}
        await self.send_command(do="begin", schedule={"net": {"loss": 0.1, "jitter_ms": 0}, "split": [split]})
        writer.write(data)
        await wait_until(lambda: self.relay.counts["tcp.held"] > 0, TIMEOUT_S)
        self.assertEqual(self.relay.counts["tcp.chunks"], 0)
        await self.send_command(do="heal")
        async with asyncio.timeout(TIMEOUT_S):
            received = bytearray()
            while chunk := await reader.read(65_536):
                received += chunk
        self.assertEqual(bytes(received), data)

    async def test_invalid_command_is_answered_with_error_that_names_the_field(self) -> None:
        for line, place in (
            (b"no json", "not JSON"),
            (b"[]", "file"),
            (b'{"do": "dance"}', "do"),
            (b'{"do": "udp", "member": 2, "address": "127.0.0.1:1"}', "member"),
            (b'{"do": "udp", "member": 1, "address": "192.0.2.1:1"}', "address"),
            (b'{"do": "begin", "schedule": {"cut": [{"at_s": 1}]}}', r"schedule.cut[0].until_s"),
            (b'{"do": "heal", "now": 1}', "now"),
        ):
            self.assertTrue(
                str((await self.control_port.execute(line)).get("error")).startswith(place), (line, place)
            )


if __name__ == "__main__":
    unittest.main()
