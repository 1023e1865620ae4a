"""Tests of what connections of the platform front leave in memory."""

import gc
import weakref

from tests.front_fixture import CALL_FRAME, FrontTestCase, check_frame
from tests.standins import reset_on_close, wait_until

OVERSIZE = b"Content-Length: 99999\r\n\r\n" + b"x" * 10_000


class ClosedConnectionTest(FrontTestCase):
    """A connection that has ended is freed at once, with the input that it held."""

    async def test_closed_connections_do_not_wait_for_the_garbage_collector(self) -> None:
        """Guards against input of closed connections that stays until the next full collection."""
        for sent in (b"", check_frame(), CALL_FRAME[:-5], OVERSIZE):
            for resets in (False, True):
                with self.subTest(sent=sent[:24], resets=resets):
                    await self._check_that_connection_is_freed(sent, resets)
        await self._check_that_connection_is_freed(CALL_FRAME, True)

    async def _check_that_connection_is_freed(self, sent: bytes, resets: bool) -> None:
        client = await self.connect()
        await self.wait_until_connected()
        accepted = next(iter(self.front.clients))
        framer, reader = weakref.ref(accepted.framer), weakref.ref(accepted.reader)
        del accepted
        gc.collect()
        gc.disable()
        try:
            client.send(sent)
            await client.writer.drain()
            if resets:
                reset_on_close(client.writer.get_extra_info("socket"))
            client.writer.close()
            await self.wait_until_disconnected()
            await wait_until(lambda: framer() is None and reader() is None, 2.0)
        finally:
            gc.enable()
