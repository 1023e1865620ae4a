"""One call to an operators' front, as the agent makes it for the command line."""

import asyncio

import h11

READ_BYTES, BODY_MOST = 16_384, 1 << 20


class CallError(Exception):
    """The front could not be reached, or gave no whole answer."""


async def call(
    address: tuple[str, int], method: str, path: str, wait_s: float, content: bytes = b""
) -> tuple[int, str]:
    """The status and the body."""
    try:
        async with asyncio.timeout(wait_s):
            return await _call(address, method, path, content)
    except (OSError, TimeoutError, h11.ProtocolError) as fault:
        raise CallError(f"no answer at {address[0]}:{address[1]}: {fault or 'too late'}") from None


async def _call(address: tuple[str, int], method: str, path: str, content: bytes) -> tuple[int, str]:
    reader, writer = await asyncio.open_connection(*address)
    wire = h11.Connection(h11.CLIENT)
    try:
        headers = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Connection", "close"),
            ("Content-Length", str(len(content))),
        ]
        request = h11.Request(method=method, target=path, headers=headers)
        events = (request, *([h11.Data(content)] if content else []), h11.EndOfMessage())
        writer.write(b"".join(wire.send(event) or b"" for event in events))
        status, body = 0, bytearray()
        while not isinstance(event := wire.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                wire.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            if isinstance(event, h11.ConnectionClosed) or len(body) > BODY_MOST:
                raise CallError("no whole answer")
        return status, body.decode(errors="replace")
    finally:
        writer.close()
