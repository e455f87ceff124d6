"""Buffers small replies until they are complete."""

import dataclasses

from ebonyvalve.request import exchange

# Larger replies are streamed. A request whose reply breaks off while it is streamed cannot be
# retried.
MAX_BUFFERED_BYTES = 65_536


def buffer_reply(caller: exchange.Caller) -> exchange.Caller:
    """Return a caller's end that buffers the beginning of a reply.

    A reply that breaks off early has then not been begun at the caller, so that the request can be
    retried.

    :param caller: receives the reply when it is complete or exceeds ``MAX_BUFFERED_BYTES``.
    """
    head: list[tuple[int, exchange.Headers]] = []
    parts: list[bytes] = []
    size = [0]
    is_streamed = [False]

    async def begin() -> bool:
        is_streamed[0] = True
        status, headers = head[0]
        body = b"".join(parts)
        parts.clear()
        if not await caller.reply(status, headers):
            return False
        return not body or await caller.write(body)

    async def reply(status: int, headers: exchange.Headers) -> bool:
        # Discards the partial reply of an earlier attempt. Its streaming may have been started and
        # then cancelled before a byte was sent.
        head[:] = [(status, headers)]
        parts.clear()
        size[0] = 0
        is_streamed[0] = False
        return True

    async def write(data: bytes) -> bool:
        if is_streamed[0]:
            return await caller.write(data)
        parts.append(data)
        size[0] += len(data)
        return size[0] < MAX_BUFFERED_BYTES or await begin()

    async def finish() -> bool:
        if not is_streamed[0] and not await begin():
            return False
        return await caller.finish()

    return dataclasses.replace(caller, reply=reply, write=write, finish=finish)
