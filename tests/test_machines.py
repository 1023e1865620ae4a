"""Tests of the framers and codecs of all protocols, with input in pieces of any size."""

import base64
import json
import logging
import string
import struct
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from maplestile.common import logs
from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.requests.endpoint_list import EndpointList, EndpointListError
from maplestile.wire import dns, jsonrpc, runner
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.limits import MessageLimits
from maplestile.wire.messages import Outcome, Verdict
from tests.standins import name_bytes, record, target

KNOWN = AllowedNames({"review": False, "deck-make": True}, frozenset({"acme"}))
TXN = "9b1f03aa5c7e2d41"
ITEM = "7f3a9c21e0b4d655"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def message(method: str = "review", **params: object) -> bytes:
    """Return the body of a call; `params` change or add to the parameters of a valid one."""
    all_params = {
        "txn": TXN,
        "limit": 900,
        "item": ITEM,
        "blob": "aGk=",
        "team": "acme",
        "info": "memory_mb:512;lanes:2;odd:x",
    }
    return json.dumps({"jsonrpc": "2.0", "id": 7, "method": method, "params": all_params | params}).encode()


def framed(body: bytes) -> bytes:
    """Return the body with a head that gives its length."""
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize("step", [1, 3, 64, 10_000])
def test_messages_are_found_in_pieces_of_any_size(step: int) -> None:
    stream = framed(message()) + framed(message(txn=TXN[::-1])) + b"content-length:2\r\nX: y\r\n\r\n{}"
    framer = jsonrpc.Framer(MessageLimits())
    found = list[bytes]()
    for start in range(0, len(stream), step):
        found += [bytes(view) for view in framer.feed(stream[start : start + step])]
    assert found == [message(), message(txn=TXN[::-1]), b"{}"]


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: -1",
        b"Content-Length: 1_0",
        b"Content-Length: 99999",
        b"A: 1",
        b"none",
        b"Content-Length: 1\r\nContent-Length: 2",
    ],
)
def test_head_without_a_valid_length_is_a_framing_error(head: bytes) -> None:
    with pytest.raises(jsonrpc.FramingError):
        list(jsonrpc.Framer(MessageLimits()).feed(head + b"\r\n\r\n{}"))
    with pytest.raises(jsonrpc.FramingError):
        list(jsonrpc.Framer(MessageLimits()).feed(b"x" * 1024))


def test_call_is_parsed_from_method_and_params() -> None:
    call = jsonrpc.parse(memoryview(message(second="1", unique=KEY, cpu=8.2)), MessageLimits(), KNOWN)
    assert isinstance(call, jsonrpc.Call)
    request = call.request
    assert (request.class_name, request.body, request.key, request.repeat) == ("review", b"hi", KEY, True)
    assert (request.budget_us, request.cost_us, request.memory_mb, request.lanes) == (900_000, 8200, 512, 2)


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", -32700),
        (b"\xff", -32700),
        (b"[" * 100_000, -32700),
        (b"[]", -32600),
        (b'{"id":1}', -32600),
        (message("nobody"), -32601),
        (message(blob="?"), -32602),
        (message(limit=float("nan")), -32700),
        (message(limit=-5), -32602),
        (message(txn=5), -32602),
        (message(blob="A" * 24_000), -32602),
        (message(limit=0), -32602),
        (message(limit=1e9), -32602),
        (message(team="nobody"), -32602),
        (message(txn="x"), -32602),
        (message(item=ITEM + "\n"), -32602),
        (message("deck-make"), -32602),
        (message("deck-make", unique=""), -32602),
        (message(unique=5), -32602),
    ],
)
def test_invalid_message_gets_an_error_code(body: bytes, code: int) -> None:
    with pytest.raises(jsonrpc.RpcError) as fault:
        jsonrpc.parse(memoryview(body), MessageLimits(), KNOWN)
    assert fault.value.code == code


def test_rejection_always_gives_a_retry_time() -> None:
    for retry_after_us, later_ms in ((0, 1), (250_000, 250)):
        data = jsonrpc.answer(7, Outcome(Verdict.REJECTED, retry_after_us=retry_after_us))
        error = json.loads(data.partition(b"\r\n\r\n")[2])["error"]
        assert (error["code"], error["data"]) == (-32050, {"later": later_ms})
    for verdict in (Verdict.FAILED, Verdict.EXPIRED):
        data = jsonrpc.answer(7, Outcome(verdict))
        assert json.loads(data.partition(b"\r\n\r\n")[2])["error"]["code"] != -32050


def test_runner_lines_are_parsed_in_pieces_and_with_numbers_as_strings() -> None:
    lines = runner.LineFramer(1000)
    found = list[runner.Answer]()
    stream = b'{"kind":503,"call":"a"}\n\n{"kind":"200","call":"b","head":{"ahead":"2","stats":"queue:3"}}\n'
    for start in range(len(stream)):
        found += [runner.parse(view) for view in lines.feed(stream[start : start + 1])]
    read = [(answer.call, answer.result, answer.queued_ahead) for answer in found]
    assert read == [("a", Result.FULL, 0), ("b", Result.OK, 2)]
    assert found[1].report == (("queue", 3.0),)
    for bad in (b"{}", b"[]", b"5", b'{"kind":"9","call":"a"}', b'{"kind":"200","call":"a","bytes":"?"}'):
        with pytest.raises(runner.LineError):
            runner.parse(memoryview(bad))
    with pytest.raises(runner.LineError):
        list(lines.feed(b"x" * 1001))


def dns_reply(flags: int = 0x8400, target_name: bytes = b"") -> bytes:
    """Return a reply with one SRV target, its A and TXT records, and the serial of the zone."""
    host = name_bytes("s-1.east.hosts")
    answer = record(b"\xc0\x0c", dns.SRV, struct.pack("!3H", 1, 25, 99) + (target_name or host))
    extra = record(host, dns.A, bytes([10, 1, 0, 9]))
    extra += record(host, dns.TXT, b"\x08kind=std\x06cell=2\x09started=5")
    soa = record(b"\xc0\x0c", dns.SOA, b"\0\0" + struct.pack("!5I", 41, 0, 0, 0, 0))
    head = struct.pack("!6H", 5, flags, 1, 1, 1, 2)
    return head + dns.query(5, "_app._tcp.cluster.lan", dns.SRV)[12:] + answer + soa + extra


def test_dns_list_with_compressed_names_is_parsed() -> None:
    found = dns.parse(dns_reply())
    entry = api.WorkerEntry("s-1", "east", "std", 2, api.WorkerState.DRAINING, 2.5, 5000)
    assert [dns.worker_entry(found, target) for target in found.targets] == [(entry, ("10.1.0.9", 99))]
    assert found.serial == 41 and not list(found.missing_records(found.targets))


def test_truncated_looping_and_malformed_dns_replies_are_rejected() -> None:
    with pytest.raises(dns.Truncated):
        dns.parse(dns_reply(0x8600))
    complete = dns_reply()
    broken = [dns_reply(0x8403), dns_reply(0), dns_reply(target_name=b"\xc0\xff")]
    for data in [complete[:length] for length in range(len(complete))] + broken:
        with pytest.raises(dns.DnsError):
            dns.parse(data)


def test_endpoint_list_applies_changes_in_order_and_ignores_old_lists() -> None:
    endpoints = EndpointList()
    endpoints.apply_updates(
        {
            "index": 3,
            "updates": [
                {"index": 1, "endpoints": {"all": True, "targets": [target("a", 1), target("b", 2)]}},
                {"index": 3, "endpoints": {"all": False, "targets": [target("a", 1, "Gone")]}},
            ],
        }
    )
    assert list(endpoints.entries) == ["b"] and endpoints.version == 3
    assert not endpoints.apply_list(3, []) and endpoints.entries
    found = dns.parse(dns_reply())
    assert endpoints.apply_list(4, [dns.worker_entry(found, target) for target in found.targets])
    assert list(endpoints.entries) == ["s-1"]
    with pytest.raises(EndpointListError):
        unknown_state = {"targets": [target("x", 1, "Odd")]}
        endpoints.apply_updates({"updates": [{"index": 5, "endpoints": unknown_state}]})


def test_repeated_warnings_are_rate_limited_and_others_are_not(monkeypatch: pytest.MonkeyPatch) -> None:
    now_s = [0.0]
    limit = logs.RateLimit()
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])

    def logged(level: int, text: str) -> str:
        """Return the text that is logged, empty if it is suppressed."""
        record = logging.LogRecord("x", level, "", 0, text, (), None)
        return record.getMessage() if limit.filter(record) else ""

    assert [bool(logged(logging.WARNING, "odd")) for _ in range(8)] == [True] * 5 + [False] * 3
    assert logged(logging.WARNING, "other") and logged(logging.ERROR, "odd")
    now_s[0] = 10.0
    assert logged(logging.WARNING, "odd") == "odd (and 3 more like it, not shown)"
    assert logged(logging.WARNING, "odd") == "odd"


def test_invalid_weight_is_replaced_by_a_small_one() -> None:
    for weight in (0.0, -1.0, float("nan"), float("inf")):
        endpoints = EndpointList()
        entry = api.WorkerEntry("s-1", "east", "std", 0, api.WorkerState.RUNNING, weight, 0)
        assert endpoints.apply_list(1, [(entry, ("127.0.0.1", 9))])
        assert 0 < endpoints.entries["s-1"].weight < 1


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=5,
)
# What each field of a call may be; any other JSON value is unsound.
SOUND_VALUES: dict[str, Callable[[Any], bool]] = {
    "txn": lambda value: isinstance(value, str) and len(value) == 16 and set(value) <= set(string.hexdigits),
    "limit": lambda value: is_number(value) and 0.001 <= value <= 600_000,
    "team": lambda value: value == "acme",
    "second": lambda value: value is None or value in (1, "1"),
    "cpu": lambda value: is_number(value) and 0 <= value < 1e9,
    "blob": lambda value: isinstance(value, str) and is_base64(value),
}


def is_number(value: object) -> bool:
    """Return whether a JSON value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_base64(text: str) -> bool:
    """Return whether a text is base64 with padding."""
    try:
        base64.b64decode(text.encode("ascii"), validate=True)
    except ValueError:
        return False
    return True


@pytest.mark.parametrize("field", SOUND_VALUES)
@given(value=JSON_VALUES)
def test_field_of_another_form_is_never_accepted(field: str, value: object) -> None:
    """Guards against unsound requests that are sent on and served, whatever value a field has."""
    if SOUND_VALUES[field](value):
        return
    with pytest.raises(jsonrpc.RpcError):
        jsonrpc.parse(memoryview(message("review", **{field: value})), MessageLimits(), KNOWN)


@given(value=JSON_VALUES)
def test_envelope_of_another_form_is_never_accepted(value: object) -> None:
    call = json.loads(message())
    for member in ("jsonrpc", "id", "method", "params"):
        is_sound = member == "id" and type(value) is int and 1 <= value < 1 << 63
        if is_sound or value == "2.0":
            continue
        with pytest.raises(jsonrpc.RpcError):
            jsonrpc.parse(memoryview(json.dumps(call | {member: value}).encode()), MessageLimits(), KNOWN)
