"""Tests of tags that clients use twice: each attempt ends with the answer that was made for it.

A tag comes from the client. A runner's answer carries it and nothing else that identifies the attempt, so two
attempts with one tag must not meet on one connection, from when they are queued until no answer can come.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, Message
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.pool import Pool
from maplestile.requests.records import AttemptId, Presence
from maplestile.wire import runner as wire
from maplestile.wire.limits import RunnerLimits
from maplestile.wire.messages import Request
from tests.standins import wait_until
from tests.test_pool import BUDGET_US, PoolTestCase

TAG = "00000000000000a1"
OTHER_TAG = "00000000000000b2"


class SameTagTest(PoolTestCase):
    """Two calls of different clients with one tag, over real sockets."""

    def send_with_tag(self, number: int, body: bytes, tag: str = TAG) -> None:
        """Send the first attempt of a call with this tag."""
        self.pool.send((number, 0), "s-0", Request(tag, "f", "review", BUDGET_US, body=body), BUDGET_US)

    async def wait_for_bodies(self, *numbers: int) -> list[bytes]:
        """Wait until these calls have ended, and return the bodies of their answers."""
        await self.wait_until_ended(*numbers)
        return [self.core.bodies[number, 0] for number in numbers]

    async def test_two_calls_that_wait_for_an_opening_connection_get_their_own_answers(self) -> None:
        """Guards against a client being served with what was made for another one's request."""
        self.send_with_tag(1, b"first")
        self.send_with_tag(2, b"second")
        self.assertEqual(await self.wait_for_bodies(1, 2), [b"tsrif", b"dnoces"])

    async def test_two_calls_that_are_held_back_get_their_own_answers(self) -> None:
        """The lines wait on an established connection until the input of their clients has been read."""
        self.send_with_tag(9, b"x", OTHER_TAG)
        await self.wait_until_ended(9)
        self.pool.writer.may_have_stale_input = lambda: True
        self.core.client_presence = Presence.UNREAD
        self.send_with_tag(1, b"first")
        self.send_with_tag(2, b"second")
        self.core.client_presence = Presence.WAITING
        self.assertEqual(await self.wait_for_bodies(1, 2), [b"tsrif", b"dnoces"])

    async def test_answer_that_crosses_a_cancel_is_not_taken_for_a_later_call(self) -> None:
        self.send_with_tag(9, b"x", OTHER_TAG)
        await self.wait_until_ended(9)
        self.worker.pause()
        self.send_with_tag(1, b"first")
        self.pool.cancel((1, 0))
        self.send_with_tag(2, b"second")
        self.worker.resume()
        self.assertEqual(await self.wait_for_bodies(2), [b"dnoces"])

    async def test_second_copy_of_an_answer_is_not_taken_for_a_later_call(self) -> None:
        self.send_with_tag(1, b"first")
        await self.wait_until_ended(1)
        self.send_with_tag(2, b"hang:")
        await self.wait_until_run(2)
        copy = {"kind": "200", "call": TAG, "bytes": "dHNyaWY="}
        self.worker.open[0].sendall(json.dumps(copy).encode() + b"\n")
        await wait_until(lambda: self.counters["runners.late"] == 1 or (2, 0) in self.core.ended)
        self.assertNotIn((2, 0), self.core.ended)

    async def test_line_whose_tag_is_in_use_is_not_written(self) -> None:
        """The table of connections prevents it; without this check an answer would reach the wrong client."""
        self.send_with_tag(1, b"hang:")
        await self.wait_until_run()
        self.send_with_tag(2, b"second", OTHER_TAG)
        (connection,) = self.pool.runners["s-0"].connections
        request = Request(TAG, "f", "review", BUDGET_US, body=b"third")
        message = Message(b"", True, (3, 0), TAG, request=request, due_us=self.now + BUDGET_US)
        with self.assertLogs("maplestile.requests", "ERROR"):
            self.pool.writer.write(connection, message)
        self.assertEqual((self.core.ended[3, 0], self.counters["runners.tag_in_use"]), (Result.SUPERSEDED, 1))


@dataclass
class ReceivedCall:
    """A call that a runner has received completely on one connection."""

    tag: str
    body_base64: str


@dataclass
class ScriptedSocket:
    """The driver's side of a connection, which accepts lines completely or in part as the test says."""

    accepts: bool = True
    pending: bytes = b""  # not accepted yet
    received: list[ReceivedCall] = field(default_factory=list)

    def write(self, line: bytes) -> bool:
        """Accept a line, or keep it as pending."""
        if self.accepts:
            self.receive(line)
        else:
            self.pending = line
        return self.accepts

    def has_unwritten_data(self) -> bool:
        """Return whether a line is pending."""
        return bool(self.pending)

    def abort(self) -> None:
        """Do nothing; the test ends the connection."""

    def receive(self, line: bytes) -> None:
        """Record a call that the runner has received."""
        message = json.loads(line)
        if message["kind"] == "CALL":
            self.received.append(ReceivedCall(message["call"], message["bytes"]))


class ScriptedPool(Pool):
    """A pool whose connections the test opens and breaks."""

    def dial(self, connection: Connection) -> None:
        """Leave the connection opening."""

    def disconnect(self, connection: Connection) -> None:
        """Do nothing: no events of the connection are pending."""

    def flush_soon(self, connection: Connection) -> None:
        """Leave the lines held back until the next input."""


class AnswerChecker:
    """The core's side: checks that an answer was made for the attempt that it ends."""

    def __init__(self) -> None:
        self.bodies: dict[AttemptId, bytes] = {}  # of the requests; the runner sends them back
        self.open = set[AttemptId]()
        self.client_presence = Presence.WAITING

    def run_due_timers(self) -> None:
        """Do nothing: the clock stands still."""

    def presence(self, attempt: AttemptId) -> Presence:
        """Return what the test has set for all clients."""
        return self.client_presence

    def attempt_ended(self, attempt: AttemptId, result: Result, body: bytes = b"", *_: Any) -> None:
        """Check the body of a good answer."""
        assert attempt in self.open, f"{attempt} ended twice"
        self.open.remove(attempt)
        if result is Result.OK:
            assert body == self.bodies[attempt], f"{attempt} was answered with {body!r}"

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Do nothing: no load requests are sent."""

    def health_check_ended(self, tag: int, result: Result, *_: Any) -> None:
        """Do nothing: no health checks are sent."""


class TagMachine(RuleBasedStateMachine):
    """Attempts with few tags on one runner, in every order of writes, cancels, answers and breaks."""

    def __init__(self) -> None:
        super().__init__()
        self.core = AnswerChecker()
        self.counters = Counter[str]()
        limits = RunnerLimits(streams=3, connections=8)
        self.pool = ScriptedPool(limits, lambda: 1_000_000, self.counters)
        self.pool.core = self.core
        self.pool.writer.may_have_stale_input = lambda: True
        entry = api.WorkerEntry("s-0", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0)
        endpoints = EndpointList()
        endpoints.apply_list(1, [(entry, ("127.0.0.1", 9))])
        self.pool.update(endpoints)
        self.sockets: dict[Connection, ScriptedSocket] = {}
        self.calls = 0

    def connections(self) -> list[Connection]:
        """Return the connections that are not closed."""
        return list(self.pool.table.connections)

    def established(self) -> list[Connection]:
        """Return the connections that are established."""
        return [connection for connection in self.connections() if connection in self.sockets]

    @rule(tag=st.sampled_from([TAG, TAG, OTHER_TAG]), unread=st.booleans())
    def send(self, tag: str, unread: bool) -> None:
        """Send a call; its line may be held back because its client's input is unread."""
        self.calls += 1
        attempt = (self.calls, 0)
        body = b"body%04d" % self.calls
        self.core.bodies[attempt] = body
        self.core.open.add(attempt)
        self.core.client_presence = Presence.UNREAD if unread else Presence.WAITING
        self.pool.send(attempt, "s-0", Request(tag, "f", "review", BUDGET_US, body=body), BUDGET_US)
        self.core.client_presence = Presence.WAITING

    @precondition(lambda self: len(self.established()) < len(self.connections()))
    @rule(data=st.data(), accepts=st.booleans())
    def connect(self, data: st.DataObject, accepts: bool) -> None:
        """Establish a connection, which accepts lines completely or only in part."""
        opening = [connection for connection in self.connections() if connection not in self.sockets]
        connection = data.draw(st.sampled_from(opening))
        socket = self.sockets[connection] = ScriptedSocket(accepts)
        self.pool.connected(connection, socket)

    @precondition(lambda self: bool(self.established()))
    @rule(data=st.data(), accepts=st.booleans())
    def accept_pending(self, data: st.DataObject, accepts: bool) -> None:
        """Accept the rest of a line, and what is queued behind it if `accepts` is set."""
        connection = data.draw(st.sampled_from(self.established()))
        socket = self.sockets[connection]
        line, socket.pending = socket.pending, b""
        socket.accepts = accepts
        if line:
            socket.receive(line)
            self.pool.write_completed(connection)
        else:
            self.pool.input_handled(connection)

    @precondition(lambda self: any(self.sockets[c].received for c in self.established()))
    @rule(data=st.data(), kind=st.sampled_from(["200", "503"]), again=st.booleans())
    def answer(self, data: st.DataObject, kind: str, again: bool) -> None:
        """Answer a call that a runner has received, perhaps answered before or cancelled."""
        answerable = [c for c in self.established() if self.sockets[c].received]
        connection = data.draw(st.sampled_from(answerable))
        received = self.sockets[connection].received
        call = data.draw(st.sampled_from(received))
        if not again:
            received.remove(call)
        line = json.dumps({"kind": kind, "call": call.tag, "bytes": call.body_base64}).encode()
        self.pool.input_received(connection)
        self.pool.answer_received(connection, wire.parse(memoryview(line)))
        self.pool.input_handled(connection)

    @precondition(lambda self: bool(self.core.open))
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel an attempt in any state."""
        attempt = data.draw(st.sampled_from(sorted(self.core.open)))
        self.pool.cancel(attempt)
        self.core.open.remove(attempt)

    @precondition(lambda self: bool(self.connections()))
    @rule(data=st.data())
    def break_connection(self, data: st.DataObject) -> None:
        """Break a connection, after which lines that were not written are sent over another one."""
        connection = data.draw(st.sampled_from(self.connections()))
        self.pool.close(connection, Result.RESET)
        self.sockets.pop(connection, None)

    def teardown(self) -> None:
        """Check that no state changed in a way that is not allowed."""
        assert self.counters["states.invalid_transitions"] == 0


TestTags = TagMachine.TestCase
TestTags.settings = settings(max_examples=300, stateful_step_count=40, deadline=None, derandomize=True)
