"""Tests of the load generator: when it makes calls, and how it counts them against a scripted front."""

import asyncio
import contextlib
import io
import json
import select
import socket
import tempfile
import threading
import unittest
from pathlib import Path
from typing import NamedTuple

from maplestile.tools.cli import main
from maplestile.tools.load import arrivals, client, report
from maplestile.tools.load.connection import Connection, NotSent, Target
from maplestile.tools.traces import Trace

Arrival = arrivals.Arrival
Address = tuple[str, int]
MAX_CALLS = 100  # maximum number of calls to record from a trace
TIMEOUT_S = 5.0


class RecordedTrace(NamedTuple):
    """A trace, and the recorder of its calls."""

    recorder: arrivals.Recorder
    trace: Trace


class ArrivalsTest(unittest.TestCase):
    """Tests of when calls are made, at a rate and from traces."""

    def test_poisson_arrivals_have_the_rate_and_the_weights(self) -> None:
        planned = list(arrivals.poisson({"f": 3.0, "g": 1.0}, 50.0, 40.0, seed=2))
        self.assertEqual(planned, list(arrivals.poisson({"f": 3.0, "g": 1.0}, 50.0, 40.0, seed=2)))
        self.assertAlmostEqual(len(planned) / 2000, 1.0, delta=0.1)
        self.assertAlmostEqual(
            sum(arrival.function == "f" for arrival in planned) / len(planned), 0.75, delta=0.05
        )
        self.assertEqual(planned, sorted(planned))
        due = sum(arrival.at_s <= 10.0 for arrival in planned)
        self.assertEqual(len(list(arrivals.bounded(planned, 10.0, 100_000))), due)
        self.assertEqual(len(list(arrivals.bounded(planned, 40.0, 7))), 7)

    def test_replays_both_trace_formats_from_the_first_call(self) -> None:
        calls = "app,func,end_timestamp,duration\na,f,10.5,0.5\na,g,12.0,1.0\nb,f,14.0,1.0\n"
        recorder, trace = self.read(calls)
        names = arrivals.called_names(trace)
        self.assertEqual(len(set(names.values())), 3)  # although two apps have a function with the same name
        planned = arrivals.replay(recorder, names, 2.0)
        self.assertEqual([arrival.at_s for arrival in planned], [0.0, 0.5, 1.5])
        recorder, trace = self.read("HashOwner,HashApp,HashFunction,Trigger,1,2\no,a,f,http,3,2\n")
        planned = arrivals.replay(recorder, arrivals.called_names(trace, "only"), 1.0)
        self.assertEqual({arrival.function for arrival in planned}, {"only"})
        self.assertEqual(len(planned), 5)
        self.assertLess(planned[-1].at_s, 120.0)

    def read(self, text: str) -> "RecordedTrace":
        """Read a trace and record its calls."""
        recorder = arrivals.Recorder(1, MAX_CALLS)
        trace = Trace(on_calls=recorder.record)
        trace.read(io.StringIO(text), "t.csv")
        return RecordedTrace(recorder, trace)


class ScriptedFront:
    """A front that sends its answers in turn and repeats the last; an empty answer closes the connection."""

    def __init__(self, answers: tuple[bytes, ...], requests: list[bytes]) -> None:
        self._answers = list(answers)
        self._requests = requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                self._requests.append(head + await reader.readexactly(length))
                answer = self._next_answer()
                if not answer:
                    break
                writer.write(b"HTTP/1.1 " + answer + b"\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    def _next_answer(self) -> bytes:
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests of how calls to scripted fronts are counted."""

    async def asyncSetUp(self) -> None:
        self.requests: list[bytes] = []

    async def start_front(self, *answers: bytes) -> Address:
        """Start a front with these answers and return its address."""
        front = ScriptedFront(answers, self.requests)
        server = await asyncio.start_server(front.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def load(self, targets: list[Address], count: int, keys: bool = False) -> client.Result:
        """Make `count` calls to these fronts, one every 5 ms."""
        load = client.Load(
            targets, client.CallTemplate(b"body", "t", has_idempotency_keys=keys), wait_s=TIMEOUT_S
        )
        return await load.run([Arrival(n * 0.005, "f") for n in range(count)], 100)

    async def test_counts_each_call_by_how_it_ended(self) -> None:
        front = await self.start_front(
            b"200 OK", b"503 Busy", b"429 Many", b"502 Bad", b"504 Late", b"200 OK"
        )
        result = await self.load([front], 6, keys=True)
        self.assertEqual(dict(result.ends), {"served": 2, "refused": 2, "failed": 2})
        summary = report.summarize(result)
        self.assertEqual((summary.calls, summary.served_share), (6, round(2 / 6, 6)))
        keys = {head.partition(b"Idempotency-Key: ")[2].split(b"\r\n")[0] for head in self.requests}
        self.assertEqual(len(keys), 6)

    async def test_call_that_was_sent_and_not_answered_is_lost_and_not_repeated(self) -> None:
        front = await self.start_front(b"", b"200 OK")
        result = await self.load([front], 3)
        self.assertEqual(dict(result.ends), {"lost": 1, "served": 2})
        self.assertEqual(len(self.requests), 3)

    async def test_front_that_accepts_no_connection_is_skipped(self) -> None:
        closed = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        unreachable = closed.sockets[0].getsockname()[:2]
        closed.close()
        await closed.wait_closed()
        result = await self.load([unreachable, await self.start_front(b"200 OK")], 4)
        self.assertEqual((result.ends["served"], result.moved), (4, 2))
        result = await self.load([unreachable], 2)
        self.assertEqual(dict(result.ends), {"nowhere": 2})


class EndedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Tests of connections that the front closes while the load generator's event loop is busy.

    The loop has not read the end of such a connection when it is about to send a call.
    """

    def setUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.target = Target(listener.getsockname()[:2])
        self.addCleanup(self.target.close)
        self.may_close = threading.Event()
        thread = threading.Thread(target=self.serve, args=(listener,), daemon=True)
        self.addCleanup(thread.join, TIMEOUT_S)
        thread.start()

    def serve(self, listener: socket.socket) -> None:
        """Answer and close the first connection, close the second unanswered, answer and keep the third."""
        for has_answer, has_end in ((True, True), (False, True), (True, False)):
            peer, _ = listener.accept()
            self.addCleanup(peer.close)
            if has_answer:
                peer.recv(4096)
                peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            if has_end:
                self.may_close.wait(TIMEOUT_S)
                peer.close()

    def block_until_ended(self, connection: Connection) -> None:
        """Block the event loop until the end of the connection has arrived, which nothing has read yet."""
        client_socket = connection._writer.get_extra_info("socket")
        self.assertEqual(select.select([client_socket], [], [], TIMEOUT_S)[0], [client_socket])

    async def call(self, connection: Connection) -> int:
        """Make a call and return the status of its answer."""
        return await connection.call("front", "/", [], b"x")

    async def test_connection_that_has_ended_gets_no_call(self) -> None:
        idle = await self.target.connect()
        self.assertEqual(await self.call(idle), 200)
        self.assertFalse(idle.is_closed())
        self.target.release(idle)
        self.may_close.set()
        self.block_until_ended(idle)
        unused = await self.target.connect()
        self.assertIsNot(unused, idle)
        self.block_until_ended(unused)
        with self.assertRaises(NotSent):
            await self.call(unused)
        unused.close()
        last = await self.target.connect()
        self.assertEqual(await self.call(last), 200)
        last.close()


class CommandTest(unittest.TestCase):
    """Tests of the command `maplestile load`."""

    def test_invalid_arguments_are_reported_with_the_reason(self) -> None:
        for arguments, reason in (
            (["127.0.0.1:1"], "specify either --rate or --trace"),
            (["127.0.0.1:1", "--rate", "5"], "--rate needs a --function"),
            (["192.0.2.1:1", "--rate", "5", "--function", "f"], "loopback"),
            (["127.0.0.1:1", "--rate", "5", "--function", "f=x"], "the weight is not a number"),
            (["127.0.0.1:1", "--rate", "5", "--function", "f", "--seconds", "0"], "must be greater than 0"),
        ):
            with contextlib.redirect_stderr(io.StringIO()) as errors:
                self.assertEqual(main(["load", *arguments]), 2)
            self.assertIn(reason, errors.getvalue())

    def test_prints_result_as_json_and_writes_plot(self) -> None:
        file = Path(tempfile.mkdtemp()) / "load.png"
        with contextlib.redirect_stdout(io.StringIO()) as output:
            arguments = ["127.0.0.1:9", "--rate", "50", "--function", "f", "--seconds", "0.2"]
            self.assertEqual(main(["load", *arguments, "--plot", str(file)]), 0)
        self.assertIn("nowhere", json.loads(output.getvalue())["ends"])
        self.assertEqual(file.read_bytes()[:4], b"\x89PNG")


if __name__ == "__main__":
    unittest.main()
