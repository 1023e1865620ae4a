"""Records encoded and parsed messages of DNS, of the runners' protocol, and of JSON-RPC."""

import json
import struct
from typing import Any

from maplestile.wire import dns, jsonrpc, runner
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.limits import MessageLimits
from maplestile.wire.messages import Outcome, Request, Verdict
from tests.recording import Recorder, as_json
from tests.standins import name_bytes
from tests.standins import record as dns_record

JsonTables = dict[str, Any]
RUNNER = "s-1.z.runners"
RUNNER_LINES = (
    *(f'{{"call": "t", "kind": "{kind}"}}' for kind in runner.RESULTS),
    '{"call": "t", "kind": 200, "head": {"ahead": "1", "units": 2, "stats": "a:1;b:2"}, "bytes": "YQ=="}',
    '{"call": "t", "kind": "status", "stats": "queue:3"}',
    '{"call": "t"}',
    '{"kind": 200}',
    "[]",
    "{",
    "",
    '{"call": "t", "kind": 999}',
    '{"call": "t", "kind": 200, "bytes": "?"}',
    '{"call": "t", "kind": 200, "head": {"ahead": "x"}}',
    '{"call": "t", "kind": 200, "head": {"stats": "a"}}',
)
CALL: JsonTables = {
    "txn": "00112233445566ff",
    "limit": 1000,
    "item": "7f3a",
    "info": "memory_mb:100;lanes:4",
    "cpu": 1.5,
    "team": "t",
    "second": 1,
    "blob": "YWJj",
}
CALL_CHANGES: tuple[JsonTables, ...] = (
    {},
    {"txn": "x"},
    {"txn": 1},
    {"limit": 0},
    {"limit": "x"},
    {"limit": -1},
    {"limit": 10**9},
    {"item": ""},
    {"item": "a b"},
    {"info": 1},
    {"info": "lanes:x"},
    {"cpu": "x"},
    {"team": "u"},
    {"team": 1},
    {"second": 0},
    {"blob": "?"},
    {"blob": 1},
    {"unique": "k"},
    {"unique": "a b"},
)
OTHER_MESSAGES: tuple[object, ...] = (
    {"jsonrpc": "2.0", "id": 1, "method": "deck-make", "params": CALL},
    {"jsonrpc": "2.0", "id": 1, "method": "deck-make", "params": CALL | {"unique": "k"}},
    {"jsonrpc": "2.0", "id": 1, "method": "nothing"},
    {"id": 1, "method": "check"},
    {"method": "check"},
    {"id": "x", "method": "check"},
    {"id": True, "method": "check"},
    {"id": 1},
    {"id": 1, "method": "review", "params": []},
    [],
    1,
    None,
    {"id": 3, "method": "interrupt"},
    {"method": "interrupt", "params": {"id": 4}},
    {"method": "interrupt", "params": {"txn": "00"}},
    {"method": "interrupt", "params": {"txn": 1}},
)
OUTCOMES = (
    Outcome(Verdict.SERVED, b"abc"),
    Outcome(Verdict.REJECTED, b"", 70_000),
    Outcome(Verdict.REJECTED),
    Outcome(Verdict.FAILED),
    Outcome(Verdict.EXPIRED),
)
STREAMS = (
    b"Content-Length: 2\r\n\r\n{}Content-Length: 1\r\nX: y\r\n\r\n1",
    b"content-length:2\r\n\r\n{",
    b"X\r\n\r\n",
    b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n1",
    b"Content-Length: +1\r\n\r\n1",
    b"X: y\r\n\r\n",
    b"Content-Length: 999999999\r\n\r\n",
    b"Content-Length: 9999999999\r\n\r\n",
    9000 * b"x",
)


def _dns_records(query: bytes) -> bytes:
    """Return the question of a query, followed by the records of one runner."""
    name = name_bytes(RUNNER)
    texts = b"".join(bytes([len(text)]) + text for text in (b"cell=3", b"kind=std", b"started=12"))
    soa = name_bytes("a") + name_bytes("b") + struct.pack("!5I", 42, 1, 1, 1, 1)
    return (
        query[12:]
        + dns_record(name_bytes("runners"), dns.SRV, struct.pack("!3H", 1, 40, 9001) + name)
        + dns_record(name_bytes("runners"), dns.SOA, soa)
        + dns_record(name, dns.A, bytes([127, 0, 0, 1]))
        + dns_record(name, dns.TXT, texts)
    )


def dns_bytes() -> str:
    """Record encoded queries, and parsed replies: complete, cut off at several places, and invalid."""
    queries = [dns.query(7, RUNNER, kind).hex() for kind in (dns.A, dns.TXT, dns.SRV)]
    body = _dns_records(dns.query(7, "runners", dns.SRV))
    complete = struct.pack("!6H", 7, dns.RESPONSE, 1, 1, 1, 2) + body
    reply = dns.parse(complete)
    results: JsonTables = {
        "queries": queries,
        "reply": [complete.hex(), reply],
        "entry": dns.worker_entry(reply, reply.targets[0]),
    }
    bad = {
        "no reply": struct.pack("!6H", 7, 0, 1, 1, 1, 2) + body,
        "no record": complete[:12],
        "truncated": struct.pack("!6H", 7, dns.RESPONSE | dns.TRUNCATED, 1, 1, 1, 2) + body,
        "code": struct.pack("!6H", 7, dns.RESPONSE | 3, 1, 1, 1, 2) + body,
    }
    bad |= {f"cut at {size}": complete[:size] for size in range(0, len(complete), 7)}
    for fault, data in bad.items():
        try:
            results[fault] = dns.parse(data)
        except dns.DnsError as error:
            results[fault] = f"refused: {error}"
    return as_json(results)


def runner_lines() -> str:
    """Record encoded commands, and parsed answers with the errors of invalid ones."""
    request = Request("00ff", "score-\u00e9", "review", 5_000_000, 100.0, 4, 0, "t", False, 'k"1', b"abc\0")
    plain = Request("00ff", "f", "review", 5_000_000)
    results: JsonTables = {
        "commands": [
            runner.call(request, 1_234_567),
            runner.call(plain, 10),
            runner.cancel("t"),
            runner.load("t", "f", 2),
            runner.unload("f"),
            runner.stats("t"),
        ]
    }
    for line in RUNNER_LINES:
        try:
            results[line] = runner.parse(memoryview(line.encode()))
        except runner.LineError as error:
            results[line] = f"refused: {error}"
    return as_json(results)


def _parsed_messages(limits: MessageLimits) -> list[object]:
    """Return requests, each with its parsed form or the error that answers it."""
    known = AllowedNames(classes={"review": False, "deck-make": True}, tenants=frozenset({"t"}))
    messages: list[object] = [
        {"jsonrpc": "2.0", "id": 1, "method": "review", "params": CALL | change} for change in CALL_CHANGES
    ]
    messages += [
        {
            "jsonrpc": "2.0",
            "id": 1,
            "method": "review",
            "params": {n: v for n, v in CALL.items() if n != omitted},
        }
        for omitted in CALL
    ]
    messages.append({"id": 1, "method": "review", "params": CALL})  # without a version
    messages += OTHER_MESSAGES
    results: list[object] = []
    for text in [json.dumps(message) for message in messages] + ["", "{", "\x00"]:
        try:
            results.append([text, jsonrpc.parse(memoryview(text.encode()), limits, known)])
        except jsonrpc.RpcError as error:
            results.append([text, jsonrpc.error(error.id, error.code, str(error))])
    return results


def _framed_streams(limits: MessageLimits) -> list[object]:
    """Return byte streams, each with the messages found in it or the error that ends it."""
    results: list[object] = []
    for stream in STREAMS:
        try:
            results.append([stream[:60], [bytes(body) for body in jsonrpc.Framer(limits).feed(stream)]])
        except jsonrpc.FramingError as error:
            results.append([stream[:60], f"ends: {error}"])
    return results


def jsonrpc_messages() -> str:
    """Record parsed requests and encoded answers, with the errors that invalid requests get."""
    limits = MessageLimits()
    results = _parsed_messages(limits)
    results += [jsonrpc.answer(5, outcome) for outcome in OUTCOMES]
    results += [jsonrpc.result(5, {"ok": True}), jsonrpc.frame({"a": 1})]
    results += _framed_streams(limits)
    return as_json(results)


RECORDERS: dict[str, Recorder] = {
    "wire-dns.json": dns_bytes,
    "wire-runner.json": runner_lines,
    "wire-jsonrpc.json": jsonrpc_messages,
}
