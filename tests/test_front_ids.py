"""Tests of the ids by which a client names its open calls: JSON-RPC ids and tags (`txn`)."""

import asyncio
import json

from maplestile.requests.records import AttemptId
from tests.front_fixture import FrontTestCase, call_frame
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed

TAG = "9b1f03aa5c7e2d41"


def interrupt_frame(tag: str) -> bytes:
    """Encode an `interrupt` of the call with a tag."""
    return framed(json.dumps({"method": "interrupt", "params": {"txn": tag}}).encode())


class OpenCallsTest(FrontTestCase):
    """Calls that are open on one connection."""

    async def test_second_call_with_a_tag_is_rejected_and_an_interrupt_finds_the_first(self) -> None:
        """Guards against two calls with one tag: an interrupt or an answer may reach the wrong one."""
        client = await self.connect()
        client.send(call_frame(1, TAG) + call_frame(2, TAG))
        answer = await client.read_answer()
        self.assertEqual((answer["id"], answer["error"]["message"]), (2, "a txn that was used before"))
        self.assertEqual(len(self.harness.sent), 1)
        client.send(interrupt_frame(TAG))
        await wait_until(lambda: self.counters["clients.interrupts"] == 1)
        self.assertEqual(self.harness.core.counters["requests.withdrawn"], 1)
        self.assertEqual(self.harness.core.open, {})

    async def test_interrupt_by_the_tag_of_an_answered_call_cancels_no_other(self) -> None:
        """Guards against the tag of an answered call standing for another call of its client."""
        client = await self.connect()
        client.send(call_frame(1, TAG) + call_frame(2))
        await self.wait_until_calls_are_open(2)
        self.answer_attempt(0)
        self.assertEqual((await client.read_answer())["id"], 1)
        client.send(call_frame(3, TAG) + interrupt_frame(TAG))
        self.assertEqual((await client.read_answer())["id"], 3)
        await wait_until(lambda: self.counters["clients.interrupts"] == 1)
        self.assertEqual(self.harness.core.counters["requests.withdrawn"], 0)
        self.answer_attempt(1)
        self.assertEqual((await client.read_answer())["id"], 2)

    async def test_close_that_is_found_while_a_call_is_submitted_reaches_the_core(self) -> None:
        """Guards against attempts that begin for a client that had left: it was reported without a number."""
        found = list[AttemptId]()

        def look_for_the_client(attempt: AttemptId, _epoch: int, _age_us: int) -> None:
            self.harness.core.presence(attempt)  # as the pool does before it writes an attempt
            found.append(attempt)

        client = await self.connect()
        await client.check()
        accepted = next(iter(self.front.clients))
        self.harness.core.attempts.on_sent = look_for_the_client
        client.writer.write(call_frame(1))
        client.writer.write_eof()
        await wait_until(lambda: bool(found))
        async with asyncio.timeout(PATIENCE_S):
            await wait_until(lambda: accepted.reader.ended)
        self.assertEqual(self.harness.core.counters["requests.client_disconnected"], 1)
