"""Handles client messages at the platform front: calls, cancellations and readiness checks."""

import logging
from collections.abc import Callable
from functools import partial

from maplestile.net.answer_writer import AnswerWriter
from maplestile.net.client import Client, OpenCall
from maplestile.net.graceful_close import GracefulClose
from maplestile.requests.core import Core
from maplestile.wire import jsonrpc
from maplestile.wire.jsonrpc import RejectReason
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.messages import Outcome, Verdict

log = logging.getLogger("maplestile.net.platform")
HEXADECIMAL = 16


class RequestHandler:
    """The handler that passes each call to the core, and each answer to the client that sent the call."""

    def __init__(
        self,
        core: Core,
        answer_writer: AnswerWriter,
        graceful_close: GracefulClose,
        is_ready: Callable[[], bool],
        add_id: Callable[[int], bool],
    ) -> None:
        """`add_id` remembers the id of a request, and returns whether it was new."""
        self.core = core
        self.table = answer_writer.table
        self.counters = answer_writer.table.counters
        self.answer_writer = answer_writer
        self.graceful_close = graceful_close
        self.is_ready = is_ready
        self.add_id = add_id
        self.known_names = AllowedNames.from_settings(core.settings)  # served classes and tenants

    def handle(self, client: Client, view: memoryview, received_us: int) -> None:
        """Handle one message. Raises FramingError after too many invalid messages on one connection."""
        limits = self.table.limits
        try:
            message = jsonrpc.parse(view, limits.messages, self.known_names)
            match message:
                case jsonrpc.Call():
                    self._call(client, message, received_us)
                case jsonrpc.Interrupt():
                    self._cancel(client, message)
                case jsonrpc.Check():
                    self.answer_writer.write(client, jsonrpc.result(message.id, {"ready": self.is_ready()}))
        except jsonrpc.RpcError as error:
            self._record_rejection(error)
            self.answer_writer.write(client, jsonrpc.error(error.id, error.code, str(error)))
            client.bad_messages += 1
        if client.bad_messages > limits.clients.bad_messages:
            text = "too many messages that cannot be used"
            raise jsonrpc.FramingError(jsonrpc.CloseReason.REJECTED, text)

    def cancel_all(self, client: Client) -> None:
        """Withdraw all open calls of a connection that is closing."""
        for number in client.call_numbers():
            self.core.withdraw(number)
        client.calls.clear()

    def client_disconnected(self, client: Client) -> None:
        """Notify the core that the client no longer waits for the open calls of its connection."""
        if not client.writer.is_closing():
            for number in client.call_numbers():
                self.core.client_disconnected(number)

    def _record_rejection(self, error: jsonrpc.RpcError) -> None:
        """Count and log a rejected message; the limit on log lines applies to each reason by itself."""
        reason = error.reason.value
        self.counters["clients.malformed"] += 1
        self.counters[f"clients.malformed.{reason}"] += 1
        text = f"platform client: message rejected ({reason}): txn %s: %s; sending an error answer"
        log.warning(text, error.tag or "unknown", error)

    def _call(self, client: Client, call: jsonrpc.Call, received_us: int) -> None:
        """Pass a call to the core, which answers it once unless it is cancelled. Raises RpcError."""
        if not client.used_numbers.add(call.id):  # the client could not tell the two answers apart
            text = "an id that was used before"
            raise jsonrpc.RpcError(jsonrpc.INVALID_REQUEST, RejectReason.NUMBER, text, tag=call.request.tag)
        if not self.add_id(int(call.request.tag, HEXADECIMAL)):
            text = "a txn that was used before"
            raise jsonrpc.RpcError(jsonrpc.INVALID_REQUEST, RejectReason.TXN, text, call.id, call.request.tag)
        if len(client.calls) >= self.table.limits.clients.streams:
            text = "too many open requests on one connection"
            raise jsonrpc.RpcError(jsonrpc.REFUSED, RejectReason.STREAMS, text, call.id, call.request.tag)
        if client.reader.ended:  # the client has disconnected, so do not start the call
            self.counters["clients.disconnected_before"] += 1
            self.answer_writer.write(client, jsonrpc.answer(call.id, Outcome(Verdict.REJECTED)))
            return
        open_call = client.calls[call.id] = OpenCall(call.request.tag)
        answer = partial(self._answer, client, call)
        open_call.number = self.core.submit(call.request, received_us, answer, client.presence)
        # The pool may have found the close of the client, which was reported while there was no number.
        if client.reader.ended:
            self.core.client_disconnected(open_call.number)

    def _answer(self, client: Client, call: jsonrpc.Call, outcome: Outcome) -> None:
        """Write the final answer to a call; drop it if the call was cancelled."""
        if client.calls.pop(call.id, None) is None:
            return
        self.answer_writer.write(client, jsonrpc.answer(call.id, outcome))
        if not client.calls:
            client.all_answered.set()
        self.graceful_close.record_activity(client)

    def _cancel(self, client: Client, message: jsonrpc.Interrupt) -> None:
        """Cancel one call by its id or its tag; a cancelled call gets no answer."""
        id_ = message.id if message.id is not None else client.latest_call_with_tag(message.txn or "")
        call = client.calls.pop(id_, None) if id_ is not None else None
        self.counters["clients.interrupts"] += 1
        if call is not None and call.number is not None:
            self.core.withdraw(call.number)
        if not client.calls:
            client.all_answered.set()
