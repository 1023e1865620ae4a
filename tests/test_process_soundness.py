"""Tests of real routers: a request that the protocol does not allow is never answered as served."""

import json
import os
import unittest
from typing import Any

from tests.standins import ITEM, Client, NameServer, Worker, in_base64, start_router

MANY_FIELDS = 1_000


def call(number: object = 1, **params: Any) -> dict[str, Any]:
    """Return a sound call, with changes to its parameters."""
    fields = {
        "txn": os.urandom(8).hex(),
        "limit": 5_000,
        "item": ITEM,
        "cpu": 8.2,
        "info": "memory_mb:100;lanes:4",
        "blob": in_base64(b"abc"),
    }
    return {"jsonrpc": "2.0", "id": number, "method": "review", "params": fields | params}


def encoded(message: dict[str, Any]) -> bytes:
    """Return the body of a message."""
    return json.dumps(message).encode()


def framed(body: bytes, head: bytes = b"") -> bytes:
    """Return a body with its head, which begins with further lines."""
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


def without(message: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a message without one of its members."""
    return {key: value for key, value in message.items() if key != name}


def with_member_twice() -> bytes:
    """Return the body of a call whose limit stands twice."""
    return encoded(call()).replace(b'"limit": 5000', b'"limit": -1, "limit": 5000')


UNSOUND = {
    "number 0": framed(encoded(call(0))),
    "negative number": framed(encoded(call(-1))),
    "number too large": framed(encoded(call(10**30))),
    "no version": framed(encoded(without(call(), "jsonrpc"))),
    "other version": framed(encoded(call() | {"jsonrpc": "1.0"})),
    "limit as text": framed(encoded(call(limit="5000"))),
    "limit as truth value": framed(encoded(call(limit=True))),
    "work as text": framed(encoded(call(cpu="8.2"))),
    "work as truth value": framed(encoded(call(cpu=True))),
    "memory is not a number": framed(encoded(call(info="memory_mb:nan;lanes:4"))),
    "memory is text": framed(encoded(call(info="memory_mb:much;lanes:4"))),
    "memory out of range": framed(encoded(call(info="memory_mb:-5;lanes:4"))),
    "infinite memory": framed(encoded(call(info="memory_mb:inf;lanes:4"))),
    "no lanes": framed(encoded(call(info="memory_mb:100;lanes:0"))),
    "load time out of range": framed(encoded(call(info="memory_mb:100;load_ms:-1"))),
    "figure stands twice": framed(encoded(call(info="memory_mb:100;memory_mb:200"))),
    "mark of a retry": framed(encoded(call(second="yes"))),
    "member stands twice": framed(with_member_twice()),
    "constant that JSON lacks": framed(encoded(call(extra=float("nan")))),
    "very many fields": framed(encoded(call(**{f"x{number}": 1 for number in range(MANY_FIELDS)}))),
    "head of very many fields": framed(encoded(call()), b"a:b\r\n" * 100),
}


class UnsoundRequestTest(unittest.TestCase):
    """Requests that are not of the form that the protocol gives."""

    def setUp(self) -> None:
        self.names = NameServer()
        self.addCleanup(self.names.socket.close)
        self.worker = Worker()
        self.program = start_router([self.worker], self.names)
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")
        Client(self.port).call_until_served("review", b"first")

    def exchange(self, *messages: bytes) -> list[dict[str, Any]]:
        """Send messages on a new connection, each after the answer to the one before; return the answers."""
        client = Client(self.port)
        self.addCleanup(client.close)
        answers = list[dict[str, Any]]()
        for message in messages:
            client.socket.sendall(message)
            answers.append(client.read() or {})
        return answers

    def test_unsound_request_is_never_served(self) -> None:
        """Guards against requests that are not sound and are answered as served, as in issue 64."""
        served = [name for name, message in UNSOUND.items() if "result" in self.exchange(message)[0]]
        first, second = self.exchange(framed(encoded(call(5))), framed(encoded(call(5))))
        self.assertIn("result", first)
        if "result" in second:
            served.append("number of an answered request")
        self.assertEqual(served, [])
        self.assertIn("result", self.exchange(framed(encoded(call())))[0])
