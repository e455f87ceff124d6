"""Bounds the bytes of large request bodies that the target beside this node holds.

A target holds the bodies of its requests in memory, and crashes when they exceed it. How much it
bears is unknown at first and is learned: the limit is lowered below what the target held when it
crashed, and raised slowly while it is reached and no crash occurs.
"""

import dataclasses
import enum
import math
import typing

Ticket = typing.NewType("Ticket", int)

# The share of the VM's memory that bodies may take before anything is known of the target. The
# node, the system and the target itself need the rest.
INITIAL_SHARE = 0.25
# The new limit as a share of what the target held when it crashed.
LOWERED_SHARE = 0.7
# Below this share of what crashed the target, the limit is raised at the faster rate.
SAFE_SHARE = 0.9
# Shares of the limit per second in which it is reached.
RAISE_PER_S = 0.005
# From the safe share to what crashed the target before takes about 9 minutes under full load.
CAUTIOUS_RAISE_PER_S = 0.0002
# A crash while the target held less than this share of what it has borne has another cause.
UNRELATED_SHARE = 0.8
# Bodies together smaller than this crash no target.
MIN_LIMIT = 1_048_576
# Connections that break within this time before a confirmed crash broke because of it.
CRASH_WINDOW_S = 1.0
# Weight of a new value in the moving average of bodies of unknown length.
LENGTH_WEIGHT = 0.2
# The longest part that is read from a body of unknown length at a time.
PART_BYTES = 65_536


class Part(enum.Enum):
    """Whether the next part of a body of unknown length may be taken.

    ``END``: all bodies wait for each other, and this one is given up so that the others go on.
    """

    TAKE = "take"
    WAIT = "wait"
    END = "end"


@dataclasses.dataclass(kw_only=True)
class Body:
    """A body: its length, ``None`` if unknown, and the bytes committed to it and sent of it."""

    length: int | None
    committed: int
    sent: int


@dataclasses.dataclass(kw_only=True)
class BodyMemory:
    """The bodies at the target and the learned limit, in bytes.

    ``max_limit`` bounds the limit; infinite if the VM's memory is unknown, and nothing is bounded
    then. ``waiting`` are the bodies whose next part waits for room. ``borne`` is the most that the
    target held when a body ended normally, and ``crashed`` what it held at its last crash.
    ``broken`` is what it held when a connection with a body broke, at ``broken_at`` in seconds on
    the node's clock. ``reached_at`` is when the limit was last reached. ``usual_length`` is the
    average of the bodies whose length was not known in advance.
    """

    limit: float = math.inf
    max_limit: float = math.inf
    bodies: dict[Ticket, Body] = dataclasses.field(default_factory=dict)
    waiting: set[Ticket] = dataclasses.field(default_factory=set)
    borne: float = 0.0
    crashed: float = math.inf
    broken: int = 0
    broken_at: float = -math.inf
    reached_at: float = -math.inf
    usual_length: float = 0.0
    last_ticket: int = 0


def build(memory_bytes: float) -> BodyMemory:
    """Return the state at the start of the process.

    :param memory_bytes: the memory of the VM, 0 if unknown.
    """
    if memory_bytes <= 0:
        return BodyMemory()
    return BodyMemory(limit=max(MIN_LIMIT, memory_bytes * INITIAL_SHARE), max_limit=memory_bytes)


def begin(
    memory: BodyMemory, *, length: int | None, prefix_bytes: int, now: float
) -> Ticket | None:
    """Commit memory to the body of a request; return ``None`` if there is no room for it.

    Bodies of unknown length are expected to become as long as usual, since one that finds no room
    halfway is lost.

    :param memory: the state.
    :param length: the length of the body, ``None`` if unknown.
    :param prefix_bytes: bytes of its beginning, which is sent at once.
    :param now: seconds on the node's clock.
    """
    committed = length if length is not None else max(PART_BYTES, prefix_bytes)
    expected = committed if length is not None else max(committed, memory.usual_length)
    expected += sum(_expect_length(memory, body) for body in memory.bodies.values())
    if expected > memory.limit:
        _record_reached(memory, now)
        return None
    memory.last_ticket += 1
    ticket = Ticket(memory.last_ticket)
    memory.bodies[ticket] = Body(length=length, committed=committed, sent=prefix_bytes)
    return ticket


def take_part(memory: BodyMemory, ticket: Ticket, now: float) -> Part:
    """Commit memory to the next part of a body, if that is needed and there is room.

    :param memory: the state.
    :param ticket: the body.
    :param now: seconds on the node's clock.
    """
    body = memory.bodies[ticket]
    needed = 0 if body.length is not None else body.sent + PART_BYTES - body.committed
    if needed <= 0 or measure_committed(memory) + needed <= memory.limit:
        body.committed += max(0, needed)
        memory.waiting.discard(ticket)
        return Part.TAKE
    _record_reached(memory, now)
    memory.waiting.add(ticket)
    is_deadlock = len(memory.waiting) == len(memory.bodies)
    return Part.END if is_deadlock and ticket == max(memory.bodies) else Part.WAIT


def record_sent(memory: BodyMemory, ticket: Ticket, size: int) -> None:
    """Record that a part of a body goes to the target.

    :param memory: the state.
    :param ticket: the body.
    :param size: bytes of the part.
    """
    body = memory.bodies[ticket]
    body.sent += size
    body.committed = max(body.committed, body.sent)


def end(
    memory: BodyMemory, ticket: Ticket, now: float, *, is_answered: bool, is_broken: bool
) -> None:
    """Record that the target no longer holds a body.

    :param memory: the state.
    :param ticket: the body.
    :param now: seconds on the node's clock.
    :param is_answered: whether the target has answered its request.
    :param is_broken: whether the connection of its request broke, as in a crash.
    """
    held = measure_sent(memory)
    if is_broken and now - memory.broken_at > CRASH_WINDOW_S:
        # A crash breaks all connections at once; the first one shows what the target held.
        memory.broken, memory.broken_at = held, now
    body = memory.bodies.pop(ticket)
    if is_answered:
        memory.borne = max(memory.borne, held)
        if body.length is None:
            weight = LENGTH_WEIGHT if memory.usual_length else 1.0
            memory.usual_length += weight * (body.sent - memory.usual_length)
    memory.waiting.discard(ticket)


def record_crash(memory: BodyMemory, now: float) -> bool:
    """Lower the limit if a crash of the target may be due to the bodies that it held.

    :param memory: the state.
    :param now: seconds on the node's clock.
    :return: whether the limit was lowered.
    """
    held = memory.broken if now - memory.broken_at <= CRASH_WINDOW_S else 0
    # The same crash may be found again by the start of the next target.
    memory.broken = 0
    if held < MIN_LIMIT or held < memory.borne * UNRELATED_SHARE or math.isinf(memory.max_limit):
        return False
    memory.crashed = held
    memory.limit = min(memory.limit, max(MIN_LIMIT, held * LOWERED_SHARE))
    memory.borne = min(memory.borne, memory.limit)
    return True


def measure_committed(memory: BodyMemory) -> int:
    """Return the bytes that are committed to all bodies.

    :param memory: the state.
    """
    return sum(body.committed for body in memory.bodies.values())


def measure_sent(memory: BodyMemory) -> int:
    """Return the bytes of all bodies that were sent to the target.

    :param memory: the state.
    """
    return sum(body.sent for body in memory.bodies.values())


def _expect_length(memory: BodyMemory, body: Body) -> float:
    return body.committed if body.length is not None else max(body.committed, memory.usual_length)


def _record_reached(memory: BodyMemory, now: float) -> None:
    """Raise the limit by the time in which it has been reached, at most a second at a time."""
    elapsed_s = min(1.0, now - memory.reached_at)
    memory.reached_at = now
    is_safe = memory.limit < memory.crashed * SAFE_SHARE
    rate = RAISE_PER_S if is_safe else CAUTIOUS_RAISE_PER_S
    memory.limit = min(memory.max_limit, memory.limit * (1.0 + rate * elapsed_s))
