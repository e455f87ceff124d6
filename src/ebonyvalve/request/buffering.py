"""Holds small answers back until they are whole."""

import dataclasses

from ebonyvalve.request import exchange

# Larger answers are streamed; one that breaks off after its beginning can't be sent again.
MAX_BUFFERED_BYTES = 65_536


def buffer_reply(caller: exchange.Caller) -> exchange.Caller:
    """Hold a small answer back until it is whole, so that a broken one is never begun.

    Returns a caller that gets the beginning of an answer only when enough of it is there.

    :param caller: who gets the answer.
    """
    head: list[tuple[int, exchange.Headers]] = []
    parts: list[bytes] = []
    size = [0]
    is_streamed = [False]

    async def begin() -> bool:
        is_streamed[0] = True
        status, headers = head[0]
        if not await caller.reply(status, headers):
            return False
        body = b"".join(parts)
        return not body or await caller.write(body)

    async def reply(status: int, headers: exchange.Headers) -> bool:
        # What came of an earlier attempt that broke off is of no use. Its beginning may have been
        # cancelled before a byte was sent.
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
