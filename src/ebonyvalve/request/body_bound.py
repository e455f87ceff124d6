"""Holds large bodies within the memory of the target beside this node."""

import collections.abc
import dataclasses

from returns import result
import trio

from ebonyvalve.process.load import body_memory
from ebonyvalve.request import exchange


@dataclasses.dataclass(kw_only=True)
class Gate:
    """The bodies at the target. ``changed`` is set and replaced to wake those that wait."""

    memory: body_memory.BodyMemory
    now: collections.abc.Callable[[], float]
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


def begin(gate: Gate, call: exchange.Call) -> body_memory.Ticket | None:
    """Commit memory to the body of a request; return ``None`` if there is no room for it.

    :param gate: the state.
    :param call: the request, whose body is not completely buffered.
    """
    return body_memory.begin(
        gate.memory, length=call.length, prefix_bytes=len(call.prefix), now=gate.now()
    )


def end(gate: Gate, ticket: body_memory.Ticket, *, is_answered: bool, is_broken: bool) -> None:
    """Release the memory of a body, and let waiting bodies look again.

    :param gate: the state.
    :param ticket: the body.
    :param is_answered: whether the target has answered its request.
    :param is_broken: whether the connection of its request broke.
    """
    body_memory.end(gate.memory, ticket, gate.now(), is_answered=is_answered, is_broken=is_broken)
    _notify(gate)


def bound(gate: Gate, ticket: body_memory.Ticket, caller: exchange.Caller) -> exchange.Caller:
    """Return a caller's end that waits for memory before each part of the body, and counts it.

    :param gate: the state.
    :param ticket: the body.
    :param caller: the caller's end.
    """

    async def receive() -> exchange.Chunk:
        if not await _wait_for_room(gate, ticket):
            return result.Failure(exchange.BodyFailure.TOO_LARGE)
        chunk = await caller.receive()
        if isinstance(chunk, result.Success):
            body_memory.record_sent(gate.memory, ticket, len(chunk.unwrap()))
        return chunk

    return dataclasses.replace(caller, receive=receive)


async def _wait_for_room(gate: Gate, ticket: body_memory.Ticket) -> bool:
    """Wait for room for the next part of a body; return ``False`` if it is given up."""
    while True:
        was_waiting = ticket in gate.memory.waiting
        part = body_memory.take_part(gate.memory, ticket, gate.now())
        if part is not body_memory.Part.WAIT:
            return part is body_memory.Part.TAKE
        if not was_waiting:
            # Another body may have to be given up now.
            _notify(gate)
        await gate.changed.wait()


def _notify(gate: Gate) -> None:
    gate.changed.set()
    gate.changed = trio.Event()
