"""The runners' line protocol: commands out, answers in, one JSON object a line."""

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
"""The result of an attempt, a load request or a health check, by the kind of its answer."""

US_PER_MS = 1000


class LineError(Exception):
    """An answer that cannot be used; the text names the field where there is one."""


@dataclass(slots=True)
class Answer:
    """An answer of a runner."""

    call: str  # the tag of the command that it answers
    result: Result
    queued_ahead: int  # requests for the same function that the runner held when this one arrived
    copies: int  # loaded copies of the function, in the answer to a load request
    report: Report
    body: bytes


class LineFramer:
    """Cuts a byte stream into lines: slices of what was fed, valid until the next feed."""

    def __init__(self, most: int) -> None:
        self.most = most  # bytes of one line
        self.rest = b""  # the beginning of a line whose end has not come

    def feed(self, data: bytes) -> Iterator[memoryview]:
        """Yield the complete lines but for empty ones; raises `LineError` if a line is too long."""
        buffer = self.rest + data if self.rest else data
        view = memoryview(buffer)
        start = 0
        self.rest = b""
        while (end := buffer.find(b"\n", start)) >= 0:
            if end > start:
                yield view[start:end]
            start = end + 1
        if len(buffer) - start > self.most:  # guards memory against a line that never ends
            raise LineError("a line without an end")
        self.rest = bytes(view[start:])  # outlives the buffer


def call(request: Request, wait_us: int) -> bytes:
    """Encode a call that the runner may take `wait_us` for.

    Formatted by hand, since every attempt passes here; strings from outside are quoted by json's encoder.
    """
    once = f',"once":{quoted(request.key)}' if request.key else ""
    head = f'"class":{quoted(request.class_name)},"key":{quoted(request.function)}'
    head += f',"wait":{max(1, wait_us // US_PER_MS)}{once}'
    line = f'{{"kind":"CALL","call":{quoted(request.tag)},"head":{{{head}}}'
    return b'%b,"bytes":"%b"}\n' % (line.encode(), binascii.b2a_base64(request.body, newline=False))


def cancel(tag: str) -> bytes:
    """Encode the cancellation of a call."""
    return _line({"kind": "CANCEL", "call": tag})


def load(tag: str, function: str, copies: int) -> bytes:
    """Encode a request to hold at least `copies` of a function."""
    return _line({"kind": "LOAD", "call": tag, "head": {"key": function, "units": copies}})


def unload(function: str) -> bytes:
    """Encode a request to drop the copies of a function."""
    return _line({"kind": "UNLOAD", "call": function})


def stats(tag: str) -> bytes:
    """Encode a health check, which is answered with a load report."""
    return _line({"kind": "STATS", "call": tag})


def parse(view: memoryview) -> Answer:
    """Decode one line; raises `LineError`."""
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
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise LineError(str(error)) from None


def _line(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def _report(text: str) -> Report:
    """Parse a load report of the form `name:value;name:value`."""
    if not text:
        return ()
    parts = [part.partition(":") for part in str(text).split(";") if part]
    return tuple([(name.strip(), float(value)) for name, _, value in parts])
