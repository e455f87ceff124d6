"""Buffers replies until they are complete, and delivers complete ones."""

import collections.abc
import contextlib
import dataclasses

import trio

from ebonyvalve.request import exchange

# Larger replies are streamed. A request whose reply breaks off while it is streamed can neither be
# retried nor refused.
MAX_BUFFERED_BYTES = 262_144
# While this much is buffered for all requests together, replies are streamed from
# ``MIN_STREAMED_BYTES`` on.
MAX_TOTAL_BYTES = 4 * 1_048_576
MIN_STREAMED_BYTES = 65_536
# Callers that read slowly have this long to take a complete reply, also after its deadline.
MAX_DELIVERY_S = 10.0


@dataclasses.dataclass(kw_only=True)
class Usage:
    """How many bytes of replies are buffered for all requests of a process.

    ``deliveries`` are the cancel scopes of the complete replies that are being sent. ``is_ending``
    is set when the process is about to end and waits for them no longer.
    """

    total_bytes: int = 0
    deliveries: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    is_ending: bool = False


@dataclasses.dataclass(kw_only=True)
class Buffer:
    """The buffered beginning of one reply.

    ``head`` is ``None`` before the reply has begun. ``is_delivered`` says that the caller's end has
    taken a complete reply.
    """

    usage: Usage
    head: tuple[int, exchange.Headers] | None = None
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    is_streamed: bool = False
    is_delivered: bool = False


def clear(buffer: Buffer) -> None:
    """Discard what is buffered, at the latest when the request ends.

    :param buffer: the buffer.
    """
    buffer.usage.total_bytes -= buffer.size
    buffer.parts.clear()
    buffer.size = 0


@contextlib.contextmanager
def _shield_delivery(usage: Usage) -> collections.abc.Iterator[None]:
    """Shield the sending of a complete reply from the request's deadline.

    If it were cancelled halfway, the caller's connection would have to be closed, and the requests
    that were read ahead on it would go unanswered.
    """
    with trio.CancelScope(shield=not usage.is_ending) as scope:
        scope.deadline = trio.current_time() + MAX_DELIVERY_S
        usage.deliveries.add(scope)
        try:
            yield
        finally:
            usage.deliveries.discard(scope)


def end_deliveries(usage: Usage) -> None:
    """Make the sending of complete replies cancellable, at the end of the process.

    :param usage: the state shared by all requests.
    """
    usage.is_ending = True
    for scope in usage.deliveries:
        scope.shield = False


def buffer_reply(caller: exchange.Caller, buffer: Buffer) -> exchange.Caller:
    """Return a caller's end that buffers the beginning of a reply.

    A reply that breaks off early has then not been begun at the caller, so that the request can be
    retried.

    :param caller: receives the reply when it is complete or too large to be buffered.
    :param buffer: an empty buffer, which the caller of this function clears in the end.
    """

    async def begin() -> bool:
        buffer.is_streamed = True
        assert buffer.head is not None
        # Small replies are sent in one write. Larger ones would need their memory twice.
        is_small = buffer.size <= MIN_STREAMED_BYTES
        parts = [b"".join(buffer.parts)] if is_small else buffer.parts[::-1]
        clear(buffer)
        if not await caller.reply(*buffer.head):
            return False
        while parts:
            part = parts.pop()
            if part and not await caller.write(part):
                return False
        return True

    async def reply(status: int, headers: exchange.Headers) -> bool:
        # Discards the partial reply of an earlier attempt. Its streaming may have been started and
        # then cancelled before a byte was sent.
        clear(buffer)
        buffer.head = (status, headers)
        buffer.is_streamed = False
        return True

    async def write(data: bytes) -> bool:
        if buffer.is_streamed:
            return await caller.write(data)
        buffer.parts.append(data)
        buffer.size += len(data)
        buffer.usage.total_bytes += len(data)
        is_full = buffer.usage.total_bytes > MAX_TOTAL_BYTES
        max_bytes = MIN_STREAMED_BYTES if is_full else MAX_BUFFERED_BYTES
        return buffer.size < max_bytes or await begin()

    async def finish() -> bool:
        if buffer.is_streamed:
            return await caller.finish()
        with _shield_delivery(buffer.usage):
            buffer.is_delivered = await begin() and await caller.finish()
        return buffer.is_delivered

    return dataclasses.replace(caller, reply=reply, write=write, finish=finish)
