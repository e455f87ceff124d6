"""Buffers replies until they are complete, and delivers complete ones."""

import collections.abc
import contextlib
import dataclasses
import math

import trio

from ebonyvalve.request import exchange

# Larger replies are streamed. A request whose reply breaks off while it is streamed can neither be
# retried nor refused.
MAX_BUFFERED_BYTES = 262_144
# The same for replies for which others of their connection wait.
MAX_AWAITED_BYTES = 1_048_576
# While this much is buffered for all requests together, replies are streamed from
# ``MIN_STREAMED_BYTES`` on.
MAX_TOTAL_BYTES = 4 * 1_048_576
MIN_STREAMED_BYTES = 65_536
# Callers that read slowly have at least this long to take the rest of a complete reply after its
# first part, also beyond its deadline.
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

    ``head`` is ``None`` before the reply has begun. ``is_taken`` says that the caller's end has
    taken a complete reply: it was sent, or is held until its turn.
    """

    usage: Usage
    head: tuple[int, exchange.Headers] | None = None
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    is_streamed: bool = False
    is_taken: bool = False


def clear(buffer: Buffer) -> None:
    """Discard what is buffered, at the latest when the request ends.

    :param buffer: the buffer.
    """
    _discount(buffer, buffer.size)
    buffer.parts.clear()


def _discount(buffer: Buffer, size: int) -> None:
    """Count a number of bytes as no longer buffered."""
    buffer.usage.total_bytes -= size
    buffer.size -= size


@contextlib.contextmanager
def _shield_delivery(usage: Usage) -> collections.abc.Iterator[trio.CancelScope]:
    """Shield the sending of a complete reply from the request's deadline.

    If it were cancelled halfway, the caller's connection would have to be closed, and the requests
    that were read ahead on it would go unanswered.
    """
    with trio.CancelScope(shield=not usage.is_ending) as scope:
        usage.deliveries.add(scope)
        try:
            yield scope
        finally:
            usage.deliveries.discard(scope)


def end_deliveries(usage: Usage) -> None:
    """Make the sending of complete replies cancellable, at the end of the process.

    :param usage: the state shared by all requests.
    """
    usage.is_ending = True
    for scope in usage.deliveries:
        scope.shield = False


def _find_max_bytes(caller: exchange.Caller, usage: Usage) -> int:
    """Return the size in bytes from which a reply is streamed.

    If a streamed reply breaks off, the connection has to be closed. A reply for which others wait
    is therefore buffered as long as there is room.
    """
    if usage.total_bytes > MAX_TOTAL_BYTES:
        return MIN_STREAMED_BYTES
    return MAX_AWAITED_BYTES if caller.is_awaited() else MAX_BUFFERED_BYTES


def buffer_reply(caller: exchange.Caller, buffer: Buffer) -> exchange.Caller:
    """Return a caller's end that buffers the beginning of a reply.

    A reply that breaks off early has then not been begun at the caller, so that the request can be
    retried.

    :param caller: receives the reply when it is complete or too large to be buffered.
    :param buffer: an empty buffer, which the caller of this function clears in the end.
    """

    async def begin(
        delivery: trio.CancelScope | None = None, deadline_s: float = -math.inf
    ) -> bool:
        """Send what is buffered; ``delivery`` is the scope of a complete reply, if it is one."""
        buffer.is_streamed = True
        assert buffer.head is not None
        # Small replies are sent in one write. Larger ones would need their memory twice.
        is_small = buffer.size <= MIN_STREAMED_BYTES
        parts = [b"".join(buffer.parts)] if is_small else buffer.parts[::-1]
        buffer.parts.clear()
        if not await caller.reply(*buffer.head):
            return False
        while parts:
            part = parts.pop()
            if part and not await caller.write(part):
                return False
            # What waits for the replies ahead of this one still counts.
            _discount(buffer, len(part))
            if delivery is not None and caller.is_reply_begun():
                ends_at_s = max(deadline_s, trio.current_time() + MAX_DELIVERY_S)
                delivery.deadline = min(delivery.deadline, ends_at_s)
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
        return buffer.size < _find_max_bytes(caller, buffer.usage) or await begin()

    async def finish() -> bool:
        if buffer.is_streamed:
            return await caller.finish()
        deadline_s = trio.current_effective_deadline()
        with _shield_delivery(buffer.usage) as scope:
            buffer.is_taken = await begin(scope, deadline_s) and await caller.finish()
        return buffer.is_taken

    return dataclasses.replace(caller, reply=reply, write=write, finish=finish)
