"""Minimal HTTP/1.1 messages on asyncio streams."""

import asyncio

Headers = list[tuple[str, str]]


class Message:
    """A request or response: its first line, headers with names in lower case, and body."""

    def __init__(self, first_line: str, headers: Headers, body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def find(self, name: str) -> str | None:
        """Return the value of the first header with a name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a complete message; return ``None`` if the connection ends first."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = raw[:-4].decode("latin-1").split("\r\n")
        headers = [
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(":") for line in lines)
        ]
        message = Message(first_line, headers, b"")
        if "chunked" in (message.find("transfer-encoding") or ""):
            message.body = await _read_chunks(reader)
        elif message.find("content-length"):
            message.body = await reader.readexactly(int(message.find("content-length") or 0))
        return message
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def encode(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message with a content length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def fetch(
    host: str, port: int, first_line: str, headers: Headers, body: bytes = b"", *, timeout_s: float
) -> Message | None:
    """Make one request on a new connection; return ``None`` without a complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(encode(first_line, headers, body))
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
