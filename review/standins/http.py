"""Stands in for the callers of the HTTP fronts."""

import asyncio
from dataclasses import dataclass

HOST = "127.0.0.1"
OK = 200


@dataclass(frozen=True)
class Response:
    """A whole HTTP response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response. Raises OSError or EOFError if the connection ends before its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if line)
    headers = {name.lower(): value for name, value in fields.items()}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Response(int(head[0].split()[1]), headers, body)


async def call(
    port: int, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> Response:
    """Send a request on a new connection. Raises OSError or EOFError if there is no whole response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(encode_request(method, path, headers or {}, body))
        return await read_response(reader)
    finally:
        writer.close()
