"""Reused connections to targets and to other nodes, under the policy of ``liveness``."""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import logging

from returns import result
import trio

from ebonyvalve.connection import liveness, wire
from ebonyvalve.process import decision, identity, network

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25
# Each is remembered by the connection.
MOST_REFUSALS = 64


class Cut(enum.Enum):
    """Why the node itself ended a request on a connection."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"


class PoolFailure(enum.Enum):
    """Why there is no connection."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(kw_only=True)
class Slot:
    """One connection with what the policy knows of it.

    ``scope`` covers its present request, ``is_repeatable`` says that this may be sent again,
    ``is_arriving`` that the head of its answer has come, and ``is_begun`` that its caller was sent
    a part of the answer. ``cut`` says why that request was ended before its answer was whole, if
    it was. ``refused`` are the requests that were turned away on the connection; ``is_spent`` says
    that a further answer on it could not be told from one that it has brought.
    """

    name: liveness.ConnectionId
    life: liveness.Connection
    scope: trio.CancelScope
    conn: wire.Wire | None = None
    cut: Cut | None = None
    is_repeatable: bool = True
    is_arriving: bool = False
    is_begun: collections.abc.Callable[[], bool] = lambda: False
    refused: set[str] = dataclasses.field(default_factory=set)
    is_spent: bool = False


Slots = dict[liveness.ConnectionId, Slot]


@dataclasses.dataclass(kw_only=True)
class Pool:
    """Connections by address, never more than ``bound`` to one address."""

    connect: network.Connect
    now: collections.abc.Callable[[], float]
    bound: int = 130
    slots: dict[identity.Address, Slots] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    names: collections.abc.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    freed: trio.Event = dataclasses.field(default_factory=trio.Event)


SlotResult = result.Result[Slot, PoolFailure]


async def acquire(
    pool: Pool,
    address: identity.Address,
    *,
    p99_s: float | None,
    max_idle_s: float | None = None,
    request_id: str = "",
) -> SlotResult:
    """Return a connection, reused or new; wait while the bound is reached.

    :param pool: the pool.
    :param address: the other end.
    :param p99_s: 99th percentile of the other end's latency in seconds, if known.
    :param max_idle_s: a connection that was idle for longer is not reused. The other end may have
        closed it, and a request that cannot be repeated would end with an unknown outcome.
    :param request_id: the request; it gets no connection on which it was turned away.
    """
    while True:
        slots = pool.slots[address]
        picked = liveness.pick(
            {name: slot.life for name, slot in slots.items()},
            now=pool.now(),
            bound=pool.bound,
            p99_s=p99_s,
        )
        for name in picked.retire:
            await discard(pool, address, slots[name])
        if picked.use is liveness.Use.OPEN:
            return await open_new(pool, address)
        if picked.use is liveness.Use.REUSE and picked.connection is not None:
            slot = slots[picked.connection]
            idle_s = pool.now() - slot.life.progress_at
            # Held before anything is awaited, so that no other request takes it.
            slot.life.phase = liveness.Phase.HELD_BY_CALLER
            is_fresh = max_idle_s is None or idle_s <= max_idle_s
            is_quiet = slot.conn is not None and wire.is_quiet(slot.conn)
            if is_fresh and is_quiet and request_id not in slot.refused:
                slot.scope = trio.CancelScope()
                return result.Success(slot)
            await discard(pool, address, slot)
            continue
        await pool.freed.wait()


async def open_new(pool: Pool, address: identity.Address) -> SlotResult:
    """Open a connection.

    :param pool: the pool.
    :param address: the other end.
    """
    slot = Slot(
        name=liveness.ConnectionId(next(pool.names)),
        life=liveness.Connection(opened_at=pool.now()),
        scope=trio.CancelScope(),
    )
    pool.slots[address][slot.name] = slot
    failure = PoolFailure.TIMEOUT
    try:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            slot.conn = wire.open_client(await pool.connect(address))
    except (OSError, trio.BrokenResourceError):
        failure = PoolFailure.REFUSED
    finally:
        if slot.conn is None:
            _drop(pool, address, slot)
    if slot.conn is None:
        return result.Failure(failure)
    liveness.note_connected(slot.life, pool.now())
    slot.life.phase = liveness.Phase.HELD_BY_CALLER
    return result.Success(slot)


async def release(pool: Pool, address: identity.Address, slot: Slot) -> None:
    """Give a connection back; it is closed if its exchange did not end cleanly.

    :param pool: the pool.
    :param address: the other end.
    :param slot: from :func:`acquire`.
    """
    if not keep(pool, slot):
        await discard(pool, address, slot)


def keep(pool: Pool, slot: Slot) -> bool:
    """Make a connection idle if its exchange has ended cleanly; return whether it has.

    :param pool: the pool.
    :param slot: from :func:`acquire`.
    """
    if slot.conn is None or slot.is_spent or not wire.is_drained(slot.conn):
        return False
    if not wire.recycle(slot.conn):
        return False
    liveness.note_idle(slot.life, pool.now())
    _wake(pool)
    return True


def note_refused(slot: Slot, request_id: str, *, is_named: bool) -> None:
    """Note that a request was turned away on a connection.

    :param slot: from :func:`acquire`.
    :param request_id: the request.
    :param is_named: whether the refusal names it; others can't be told from each other.
    """
    slot.refused.add(request_id)
    if not is_named or len(slot.refused) >= MOST_REFUSALS:
        slot.is_spent = True


def give_back(pool: Pool, slot: Slot) -> None:
    """Make a connection idle on which nothing was sent.

    :param pool: the pool.
    :param slot: from :func:`acquire`.
    """
    slot.life.phase = liveness.Phase.IDLE
    _wake(pool)


async def discard(pool: Pool, address: identity.Address, slot: Slot) -> None:
    """Close a connection at once.

    :param pool: the pool.
    :param address: the other end.
    :param slot: from :func:`acquire`.
    """
    _drop(pool, address, slot)
    if slot.conn is not None:
        await wire.close(slot.conn)


async def drop_idle(pool: Pool, address: identity.Address) -> None:
    """Close the idle connections to an address, after its process was replaced.

    :param pool: the pool.
    :param address: the other end.
    """
    for slot in list(pool.slots[address].values()):
        if slot.life.phase is liveness.Phase.IDLE:
            await discard(pool, address, slot)


async def sweep(pool: Pool, *, p99_s: float | None) -> None:
    """Retire silent connections, which ends their requests, and those idle for too long.

    Only requests that can be sent again are ended: nothing is gained by ending the others, as their
    targets may only be slow.

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    for address, slots in list(pool.slots.items()):
        lives = {name: slot.life for name, slot in slots.items()}
        for name in liveness.find_idle(lives, now=pool.now()):
            idle = slots.get(name)
            # It may have been taken or retired while another one was closed.
            if idle is not None and idle.life.phase is liveness.Phase.IDLE:
                await discard(pool, address, idle)
        lives = {name: slot.life for name, slot in slots.items()}
        for name in liveness.find_silent(lives, now=pool.now(), p99_s=p99_s):
            if not slots[name].is_repeatable or slots[name].is_begun():
                continue
            slots[name].cut = Cut.SILENT
            slots[name].scope.cancel()
            decision.record(
                log,
                logging.WARNING,
                "connection-retired",
                address=address,
                reason="no progress while other connections progress",
            )
        if not slots:
            pool.slots.pop(address, None)


def find_doubtful(pool: Pool, *, p99_s: float | None) -> list[identity.Address]:
    """Return the addresses that have not answered for too long on any connection.

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    return [
        address
        for address, slots in pool.slots.items()
        if liveness.judge(
            {name: slot.life for name, slot in slots.items()}, now=pool.now(), p99_s=p99_s
        )
        is not liveness.Health.PROGRESSING
    ]


def has_progressed(pool: Pool, address: identity.Address, since: float) -> bool:
    """Return whether bytes have come from an address on any connection since a time.

    :param pool: the pool.
    :param address: the other end.
    :param since: seconds on the node's clock.
    """
    return any(slot.life.progress_at > since for slot in pool.slots.get(address, {}).values())


def abandon(
    pool: Pool, address: identity.Address, *, since: float | None, patient_since: float | None
) -> None:
    """End the requests that have waited for an address in vain.

    An answer that has begun at its caller is left alone: it can't be sent again, so that ending it
    helps nobody if the other end is only slow.

    :param pool: the pool.
    :param address: the other end.
    :param since: requests that were sent, or got bytes, after this are left alone; ``None`` spares
        all of them.
    :param patient_since: the same for those that may not be sent again, and those whose answer is
        arriving.
    """
    for slot in pool.slots.get(address, {}).values():
        is_patient = slot.is_arriving or not slot.is_repeatable
        silent_since = patient_since if is_patient else since
        if silent_since is None or slot.is_begun():
            continue
        if liveness.is_silent(slot.life, silent_since):
            slot.cut = Cut.UNREACHABLE
            slot.scope.cancel()


def _drop(pool: Pool, address: identity.Address, slot: Slot) -> None:
    pool.slots[address].pop(slot.name, None)
    _wake(pool)


def _wake(pool: Pool) -> None:
    if pool.freed.statistics().tasks_waiting:
        pool.freed.set()
        pool.freed = trio.Event()
