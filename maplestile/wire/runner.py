"""The runners' lines: commands out, answers in, one JSON object a line."""

import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from json.encoder import encode_basestring_ascii as quoted
from typing import Any

from maplestile.dispatch.api import Result
from maplestile.wire.messages import Report, Request

RESULTS = {
    "200": Result.OK,
    "404": Result.MISS,
    "503": Result.FULL,
    "500": Result.ERROR,
    "504": Result.SUPERSEDED,
    "alive": Result.OK,
    "dead": Result.ERROR,
    "status": Result.OK,
}


class LineError(Exception):
    """An answer that cannot be used."""


@dataclass(slots=True)
class Answer:
    call: str
    result: Result
    queued_ahead: int
    copies: int
    report: Report
    body: bytes


class Lines:
    """Cuts a byte stream into lines. A line is a slice of what was fed and is good till the next feed."""

    def __init__(self, most: int) -> None:
        self.most, self.rest = most, b""

    def feed(self, data: bytes) -> Iterator[memoryview]:
        buffer = self.rest + data if self.rest else data
        view, at = memoryview(buffer), 0
        self.rest = b""
        while (end := buffer.find(b"\n", at)) >= 0:
            if end > at:
                yield view[at:end]
            at = end + 1
        if len(buffer) - at > self.most:  # guards memory against a line that never ends
            raise LineError("a line without an end")
        self.rest = bytes(view[at:])  # outlives the buffer


def _line(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def call(request: Request, wait_us: int) -> bytes:
    """Written by hand, since every attempt passes here; strings from outside are quoted by json's encoder."""
    once = f',"once":{quoted(request.key)}' if request.key else ""
    head = f'"class":{quoted(request.class_name)},"key":{quoted(request.function)}'
    head += f',"wait":{max(1, wait_us // 1000)}{once}'
    line = f'{{"kind":"CALL","call":{quoted(request.tag)},"head":{{{head}}}'
    return b'%b,"bytes":"%b"}\n' % (line.encode(), binascii.b2a_base64(request.body, newline=False))


def cancel(tag: str) -> bytes:
    return _line({"kind": "CANCEL", "call": tag})


def load(tag: str, function: str, copies: int) -> bytes:
    return _line({"kind": "LOAD", "call": tag, "head": {"key": function, "units": copies}})


def unload(function: str) -> bytes:
    return _line({"kind": "UNLOAD", "call": function})


def stats(tag: str) -> bytes:
    return _line({"kind": "STATS", "call": tag})


def parse(view: memoryview) -> Answer:
    try:
        message = json.loads(str(view, "utf-8"))
        head = message.get("head") or {}
        return Answer(
            call=str(message["call"]),
            result=RESULTS[str(message["kind"])],
            queued_ahead=int(head.get("ahead", 0)),
            copies=int(head.get("units", 0)),
            report=_report(head.get("stats") or message.get("stats") or ""),
            body=binascii.a2b_base64(message.get("bytes") or "", strict_mode=True),
        )
    except KeyError as name:
        raise LineError(f"field {name} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
        raise LineError(str(fault)) from None


def _report(text: str) -> Report:
    if not text:
        return ()
    parts = [part.partition(":") for part in str(text).split(";") if part]
    return tuple([(name.strip(), float(value)) for name, _, value in parts])
