"""Tests of the gossip driver on a real UDP socket: what a peer sends must not take its socket away."""

import asyncio
import unittest
from collections import Counter

from maplestile.membership.messages import Message, MessageKind, encode
from maplestile.membership.settings import MembershipSettings
from maplestile.membership.tuning import Tuning
from maplestile.net.gossip import GossipDriver
from tests.standins import PATIENCE_S, wait_until

TUNING = Tuning(period_us=50_000, ack_us=20_000)
# Hosts that `sendto` rejects with an error that is no OSError, after which asyncio closes the socket.
UNUSABLE_HOSTS = ("a\0b", "\u00e9" * 70, "fe80::1%a\0b")


class GossipSocketTest(unittest.IsolatedAsyncioTestCase):
    """One member that receives datagrams from this test."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        settings = MembershipSettings(("127.0.0.1", 0), (), TUNING)
        self.driver = GossipDriver("r1", settings, 1, self.counters, lambda _: None)
        self.running = asyncio.get_running_loop().create_task(self.driver.run())
        self.addCleanup(self.running.cancel)
        await wait_until(lambda: self.driver.transport is not None)

    async def test_datagram_with_an_unusable_reply_address_is_dropped_and_the_socket_stays(self) -> None:
        """Guards against one datagram of a peer closing the socket, after which a drain failed."""
        transport = self.driver.transport
        assert transport is not None
        loop = asyncio.get_running_loop()
        peer, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=transport.get_extra_info("sockname")
        )
        self.addCleanup(peer.close)
        for number, host in enumerate(UNUSABLE_HOSTS, 1):
            peer.sendto(encode(Message(MessageKind.PING, 1, "r2", "r1", reply_to=(host, 9))))
            await wait_until(lambda: sum(self.counters.values()) >= number)  # noqa: B023 - awaited at once
        await asyncio.sleep(0.05)  # for the driver to send what it answers
        self.assertFalse(transport.is_closing())
        self.assertEqual(self.counters["peers.bad_datagrams"], len(UNUSABLE_HOSTS))
        self.driver.leave()

    async def test_lost_socket_ends_the_run_so_that_it_is_restarted_and_the_drain_goes_on(self) -> None:
        transport = self.driver.transport
        assert transport is not None
        transport.sendto(b"x", ("a\0b", 9))  # asyncio closes the socket for such an error
        async with asyncio.timeout(PATIENCE_S):
            with self.assertRaisesRegex(ConnectionError, "socket"):
                await self.running
        self.driver.leave()
        self.assertEqual(self.counters["peers.lost_sockets"], 1)
