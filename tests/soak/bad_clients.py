"""The bad clients of a trial: what they send is unsound, incomplete or used before, and is never served."""

import asyncio
import base64
import contextlib
import json
import random
from itertools import islice
from typing import Any

from tests.soak.records import Answer, TrialRecord
from tests.soak.settings import CLASSES, KEYED

ITEM = "7f3a9c21e0b4d655"
STALL_S = 0.8
ANSWER_PATIENCE_S = 3.0
FLOOD_MESSAGES = 400
REPEATED_IDS = 12  # latest requests of a router, whose ids come again


def _call(source: random.Random, **changes: Any) -> dict[str, Any]:
    """Return a sound call, with changes to its parameters."""
    class_name = source.choice(CLASSES)
    params: dict[str, Any] = {
        "txn": source.randbytes(8).hex(),
        "limit": 2_000,
        "item": ITEM,
        "blob": base64.b64encode(b"unsound").decode(),
    }
    if class_name == KEYED:
        params["unique"] = source.randbytes(16).hex()
    return {"jsonrpc": "2.0", "id": 1, "method": class_name, "params": params | changes}


def _framed(message: dict[str, Any]) -> bytes:
    content = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(content), content)


def _unsound(source: random.Random, used_ids: list[str]) -> bytes:
    """Return a request that must not be served."""
    kinds = [
        _framed(_call(source, limit="2000")),
        _framed(_call(source, info="memory_mb:nan")),
        _framed(_call(source) | {"id": -1}),
        _framed(_call(source) | {"jsonrpc": "1.0"}),
        b"a:b\r\n" * 50 + _framed(_call(source)),
        b"Content-Length: 300000\r\n\r\n" + bytes(50_000),
    ]
    if used_ids:
        kinds.append(_framed(_call(source, txn=source.choice(used_ids))))
    return source.choice(kinds)


def used_ids(record: TrialRecord, router: str) -> list[str]:
    """Return the ids of the latest requests that a router process has served."""
    served = (
        tag
        for tag, request in reversed(record.requests.items())
        if request.router == router and any(kind is Answer.SERVED for _, kind in request.answers)
    )
    return list(islice(served, REPEATED_IDS))


async def be_a_bad_client(port: int, router: str, source: random.Random, record: TrialRecord) -> None:
    """Send something unsound, half a request, or a flood of checks, and leave."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            match source.choices(("unsound", "half", "flood"), (6, 3, 1))[0]:
                case "unsound":
                    writer.write(_unsound(source, used_ids(record, router)))
                    async with asyncio.timeout(ANSWER_PATIENCE_S):
                        await _read_one(reader, router, record)
                case "half":
                    writer.write(_framed(_call(source, padding="x" * source.randrange(20_000)))[:-10])
                    await asyncio.sleep(source.uniform(0.0, STALL_S))
                case _:
                    checks = (
                        {"jsonrpc": "2.0", "id": n, "method": "check"} for n in range(1, FLOOD_MESSAGES)
                    )
                    writer.write(b"".join(map(_framed, checks)))
                    await asyncio.sleep(source.uniform(0.0, STALL_S))
        finally:
            writer.transport.abort()


async def _read_one(reader: asyncio.StreamReader, router: str, record: TrialRecord) -> None:
    """Read one answer, and record it if it is a result."""
    head = await reader.readuntil(b"\r\n\r\n")
    answer = json.loads(await reader.readexactly(int(head.split(b":")[1])))
    if "result" in answer:
        record.served_unsound.append(f"{router}: {answer}")
