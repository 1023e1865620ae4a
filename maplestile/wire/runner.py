"""The line protocol of the runners: encodes commands and decodes answers, one JSON object per line."""

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
"""The result of an attempt, a load request or a health check, by the `kind` of its answer."""

US_PER_MS = 1000


class LineError(Exception):
    """An answer that cannot be used; the error text names the field if one is at fault."""


@dataclass(slots=True)
class Answer:
    """An answer from a runner."""

    call: str  # the tag of the command that it answers
    result: Result
    queued_ahead: int  # requests for the function that the runner already held when this one arrived
    copies: int  # loaded copies of the function; only given in the answer to a load request
    report: Report
    body: bytes


class LineFramer:
    """Splits a byte stream into lines, which are views of the input, valid until the next feed."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # of one line
        self.incomplete = b""  # start of a line that is not complete yet

    def feed(self, data: bytes) -> Iterator[memoryview]:
        """Yield the complete lines, without empty ones; raises `LineError` if a line is too long."""
        buffer = self.incomplete + data if self.incomplete else data
        view = memoryview(buffer)
        start = 0
        self.incomplete = b""
        while (end := buffer.find(b"\n", start)) >= 0:
            if end > start:
                yield view[start:end]
            start = end + 1
        if len(buffer) - start > self.max_bytes:  # a line that never ends would exhaust memory
            raise LineError("a line is longer than the limit")
        self.incomplete = bytes(view[start:])  # a copy, since the view is only valid until the next feed


def call(request: Request, wait_us: int) -> bytes:
    """Encode a call, which the runner has `wait_us` to answer.

    Formatted by hand for speed, since every attempt passes here; strings from clients are quoted by the JSON
    encoder.
    """
    once = f',"once":{quoted(request.key)}' if request.key else ""
    head = f'"class":{quoted(request.class_name)},"key":{quoted(request.function)}'
    head += f',"wait":{max(1, wait_us // US_PER_MS)}{once}'
    line = f'{{"kind":"CALL","call":{quoted(request.tag)},"head":{{{head}}}'
    return b'%b,"bytes":"%b"}\n' % (line.encode(), binascii.b2a_base64(request.body, newline=False))


def cancel(tag: str) -> bytes:
    """Encode the cancellation of a call."""
    return _encode_line({"kind": "CANCEL", "call": tag})


def load(tag: str, function: str, copies: int) -> bytes:
    """Encode a request to hold at least `copies` of a function."""
    return _encode_line({"kind": "LOAD", "call": tag, "head": {"key": function, "units": copies}})


def unload(function: str) -> bytes:
    """Encode a request to drop the copies of a function."""
    return _encode_line({"kind": "UNLOAD", "call": function})


def stats(tag: str) -> bytes:
    """Encode a health check; its answer holds a load report."""
    return _encode_line({"kind": "STATS", "call": tag})


def parse(view: memoryview) -> Answer:
    """Decode one line, an answer; raises `LineError` if it cannot be used."""
    try:
        message = json.loads(str(view, "utf-8"))
        head = message.get("head") or {}
        return Answer(
            call=str(message["call"]),
            result=RESULTS[str(message["kind"])],
            queued_ahead=int(head.get("ahead", 0)),
            copies=int(head.get("units", 0)),
            report=_parse_report(head.get("stats") or message.get("stats") or ""),
            body=binascii.a2b_base64(message.get("bytes") or "", strict_mode=True),
        )
    except KeyError as name:
        raise LineError(f"field {name} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise LineError(str(error)) from None


def _encode_line(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def _parse_report(text: str) -> Report:
    """Parse a load report of the form `name:value;name:value`; an empty text gives an empty report."""
    if not text:
        return ()
    parts = [part.partition(":") for part in str(text).split(";") if part]
    return tuple([(name.strip(), float(value)) for name, _, value in parts])
