"""An HTTP client for single requests to an operators' front."""

import asyncio
from dataclasses import dataclass

import h11

from maplestile.common.address import Address

READ_BYTES = 16_384
MAX_BODY_BYTES = 1 << 20  # of a response


class CallError(Exception):
    """The front could not be reached, or its response was incomplete or too long."""


@dataclass(slots=True, frozen=True)
class FrontResponse:
    """The response of an operators' front."""

    status: int
    body: str


async def call(
    address: Address, method: str, path: str, wait_s: float, content: bytes = b""
) -> FrontResponse:
    """Send a request and return the response. Raises CallError, also if that takes over `wait_s` seconds."""
    try:
        async with asyncio.timeout(wait_s):
            return await _exchange(address, method, path, content)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        raise CallError(f"no answer at {address[0]}:{address[1]}: {error or 'too late'}") from None


async def _exchange(address: Address, method: str, path: str, content: bytes) -> FrontResponse:
    reader, writer = await asyncio.open_connection(*address)
    connection = h11.Connection(h11.CLIENT)
    try:
        writer.write(_request_bytes(connection, address, method, path, content))
        return await _read_response(connection, reader)
    finally:
        writer.close()


def _request_bytes(
    connection: h11.Connection, address: Address, method: str, path: str, content: bytes
) -> bytes:
    headers = [
        ("Host", f"{address[0]}:{address[1]}"),
        ("Connection", "close"),
        ("Content-Length", str(len(content))),
    ]
    request = h11.Request(method=method, target=path, headers=headers)
    events: list[h11.Event] = [request]
    if content:
        events.append(h11.Data(content))
    events.append(h11.EndOfMessage())
    return b"".join(connection.send(event) or b"" for event in events)


async def _read_response(connection: h11.Connection, reader: asyncio.StreamReader) -> FrontResponse:
    status = 0
    body = bytearray()
    while not isinstance(event := connection.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        if isinstance(event, h11.ConnectionClosed) or len(body) > MAX_BODY_BYTES:
            raise CallError("no whole answer")
    return FrontResponse(status, body.decode(errors="replace"))
