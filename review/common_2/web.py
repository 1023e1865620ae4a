"""A stand-in client of the fronts that speak HTTP/1.1."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Reply:
    """A whole response."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Web:
    """One connection, kept open between requests if the server allows it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def open(self) -> "Web":
        """Connect. Raises OSError."""
        self._streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        return self

    async def request(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        """Send a request and return the whole response. Raises OSError if there is none."""
        if self._streams is None:
            await self.open()
        assert self._streams is not None
        reader, writer = self._streams
        fields = {"Host": "maplestile", "Content-Length": str(len(body))} | (headers or {})
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        try:
            reply = await self._read(reader)
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ConnectionError("no whole response") from error
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    async def _read(self, reader: asyncio.StreamReader) -> Reply:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = [line.partition(":") for line in head[1:] if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Reply(int(head[0].split()[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    patience_s: float = 2.0,
) -> Reply | None:
    """Make one request on a connection of its own; None if it gets no whole response."""
    web = Web(port)
    try:
        async with asyncio.timeout(patience_s):
            return await web.request(method, path, headers, body)
    except (OSError, TimeoutError):
        return None
    finally:
        web.close()
