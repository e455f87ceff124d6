"""A TCP proxy that holds up what one side sends, as a partition does."""

import asyncio


class Proxy:
    """Connects a listening port to another address.

    While ``holds_requests`` or ``holds_answers`` is set, bytes in that direction are kept back and
    delivered in order afterwards, like TCP segments that are sent again when a partition heals.
    With ``forgets_closed``, bytes of connections that their sender has closed meanwhile are lost.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self.forgets_closed = False
        self.holds_requests = False
        self.holds_answers = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on until either side ends it."""
        received = await self._read_while_held(reader)
        if received is None:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.address)
        except OSError:
            writer.transport.abort()
            return
        other_writer.write(received)
        tasks = [
            asyncio.create_task(self._pass_on(reader, other_writer, "holds_requests")),
            asyncio.create_task(self._pass_on(other_reader, writer, "holds_answers")),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.close()
        other_writer.close()

    async def _read_while_held(self, reader: asyncio.StreamReader) -> bytes | None:
        """Return what arrives while requests are held up, or ``None`` if it is lost."""
        received = b""
        is_closed = False
        while self.holds_requests:
            try:
                async with asyncio.timeout(0.01):
                    data = b"" if is_closed else await reader.read(65_536)
            except TimeoutError:
                continue
            except ConnectionError:
                return None
            received += data
            if not data:
                is_closed = True
                if self.forgets_closed:
                    return None
                await asyncio.sleep(0.01)
        return received

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold: str
    ) -> None:
        try:
            while data := await reader.read(65_536):
                while getattr(self, hold):
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
