"""Handles the messages of clients at the platform's front: calls, cancels and readiness checks."""

import logging
from collections.abc import Callable
from functools import partial

from maplestile.net.answer_writer import AnswerWriter
from maplestile.net.client import Client
from maplestile.net.graceful_close import GracefulClose
from maplestile.requests.core import Core
from maplestile.wire import jsonrpc
from maplestile.wire.messages import Outcome, Verdict

log = logging.getLogger("maplestile.net.platform")


class RequestHandler:
    """Passes each call to the core, and its answer to the client that sent it."""

    def __init__(
        self, core: Core, answers: AnswerWriter, closing: GracefulClose, ready: Callable[[], bool]
    ) -> None:
        self.core = core
        self.table = answers.table
        self.counters = answers.table.counters
        self.answers = answers
        self.closing = closing
        self.ready = ready
        self.known = jsonrpc.KnownNames.from_settings(core.settings)  # which classes may be called

    def handle(self, client: Client, view: memoryview, received_us: int) -> None:
        """Handle one message. Raises FramingError after too many that are of no use."""
        limits = self.table.limits
        try:
            message = jsonrpc.parse(view, limits.messages, self.known)
            match message:
                case jsonrpc.Call():
                    self._call(client, message, received_us)
                case jsonrpc.Interrupt():
                    self._interrupt(client, message)
                case jsonrpc.Check():
                    self.answers.write(client, jsonrpc.result(message.id, {"ready": self.ready()}))
        except jsonrpc.RpcError as fault:
            self.counters["clients.malformed"] += 1
            log.warning("client: %s; answered with an error", fault)
            self.answers.write(client, jsonrpc.error(fault.id, fault.code, str(fault)))
            client.bad_messages += 1
            if client.bad_messages > limits.clients.bad_messages:
                raise jsonrpc.FramingError("too many messages that cannot be used") from None

    def cancel_all(self, client: Client) -> None:
        """Cancel what is open on a connection that closes."""
        for number in list(client.calls.values()):
            self.core.withdraw(number)
        client.calls.clear()

    def client_disconnected(self, client: Client) -> None:
        """Notify the core at once that nobody waits for what is open on this connection."""
        if not client.writer.is_closing():
            for number in list(client.calls.values()):
                self.core.client_disconnected(number)

    def _call(self, client: Client, call: jsonrpc.Call, received_us: int) -> None:
        """Pass a call to the core; it is answered once, unless it is cancelled. Raises RpcError."""
        if call.id in client.calls:  # the two answers would look alike
            raise jsonrpc.RpcError(jsonrpc.INVALID_REQUEST, "an id that is open already")
        if len(client.calls) >= self.table.limits.clients.streams:
            raise jsonrpc.RpcError(jsonrpc.REFUSED, "too many open requests on one connection", call.id)
        if client.reader.ended:  # nobody waits any more for what would start now
            self.counters["clients.disconnected_before"] += 1
            self.answers.write(client, jsonrpc.answer(call.id, Outcome(Verdict.REJECTED)))
            return
        client.calls[call.id] = 0  # until the core has given it a number
        client.tags[call.request.tag] = call.id
        answer = partial(self._answer, client, call)
        number = self.core.submit(call.request, received_us, answer, client.presence)
        if call.id in client.calls:  # not answered at once
            client.calls[call.id] = number

    def _answer(self, client: Client, call: jsonrpc.Call, outcome: Outcome) -> None:
        """Write the final answer to a call; one to a call that was cancelled is dropped."""
        if client.calls.pop(call.id, None) is None:
            return
        client.tags.pop(call.request.tag, None)
        self.answers.write(client, jsonrpc.answer(call.id, outcome))
        if not client.calls:
            client.all_answered.set()
        self.closing.note_activity(client)

    def _interrupt(self, client: Client, message: jsonrpc.Interrupt) -> None:
        """Cancel one call, by its id or its tag; it gets no answer."""
        id_ = message.id if message.id is not None else client.tags.get(message.txn or "")
        number = client.calls.pop(id_, None) if id_ is not None else None
        self.counters["clients.interrupts"] += 1
        if number is not None:
            client.tags = {tag: open_id for tag, open_id in client.tags.items() if open_id != id_}
            self.core.withdraw(number)
        if not client.calls:
            client.all_answered.set()
