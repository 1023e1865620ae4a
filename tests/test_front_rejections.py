"""Tests of how the platform front counts and logs rejected messages and the ends of connections."""

import logging

from maplestile.common import logs
from tests.front_fixture import FrontTestCase, changed_limits
from tests.standins import wait_until
from tests.test_machines import TXN, framed, message


class RejectionRecordTest(FrontTestCase):
    """Each rejected message, and each end of a connection, is recorded with its reason."""

    async def test_flood_of_one_reason_does_not_hide_messages_rejected_for_another(self) -> None:
        """Guards against a limit on log lines that a flood of one reason uses up for every other reason."""
        rate_limit = logs.RateLimit()
        self.front.limits = changed_limits(bad_messages=100)
        client = await self.connect()
        with self.assertLogs("maplestile.net.platform", logging.WARNING) as logged:
            client.send(framed(b"{") * 20 + framed(message(limit=-1)))
            for _ in range(21):
                self.assertIn("error", await client.read_answer())
        shown = [record.getMessage() for record in logged.records if rate_limit.filter(record)]
        self.assertEqual(len([line for line in shown if "(json)" in line]), logs.MAX_PER_WINDOW)
        self.assertIn(f"message rejected (field): txn {TXN}: field 'limit' is out of range", shown[-1])
        self.assertEqual(self.counters["clients.malformed.json"], 20)
        self.assertEqual(self.counters["clients.malformed.field"], 1)

    async def test_end_of_a_connection_is_counted_by_its_reason(self) -> None:
        leaving = await self.connect()
        await leaving.check()
        leaving.writer.close()
        malformed = await self.connect()
        malformed.send(b"no head\r\n\r\n")
        await wait_until(lambda: self.counters["clients.closed.malformed"] == 1)
        await wait_until(lambda: self.counters["clients.closed.client"] == 1)
        self.assertEqual(self.counters["clients.malformed.head"], 1)
