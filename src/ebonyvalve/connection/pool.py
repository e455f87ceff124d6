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
MAX_REFUSALS = 64


class AbortReason(enum.Enum):
    """Why the node itself ended a request on a connection."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"


class PoolFailure(enum.Enum):
    """Why there is no connection."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(kw_only=True)
class PooledConnection:
    """One connection with what the policy knows of it.

    ``scope`` covers its present request, ``is_repeatable`` says that this may be sent again,
    ``is_arriving`` that the head of its answer has come, and ``is_begun`` that its caller was sent
    a part of the answer. ``cut`` says why that request was ended before its answer was whole, if
    it was. ``refused`` are the requests that were turned away on the connection; ``is_spent`` says
    that a further answer on it could not be told from one that it has brought.
    """

    connection_id: liveness.ConnectionId
    state: liveness.Connection
    scope: trio.CancelScope
    conn: wire.Wire | None = None
    abort_reason: AbortReason | None = None
    is_repeatable: bool = True
    has_response_head: bool = False
    is_reply_begun: collections.abc.Callable[[], bool] = lambda: False
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    must_close: bool = False


PooledConnections = dict[liveness.ConnectionId, PooledConnection]


@dataclasses.dataclass(kw_only=True)
class Pool:
    """Connections by address, never more than ``bound`` to one address."""

    connect: network.Connect
    now: collections.abc.Callable[[], float]
    max_connections: int = 130
    connections: dict[identity.Address, PooledConnections] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    connection_ids: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )
    freed: trio.Event = dataclasses.field(default_factory=trio.Event)


AcquireResult = result.Result[PooledConnection, PoolFailure]


async def acquire(
    pool: Pool,
    address: identity.Address,
    *,
    p99_s: float | None,
    max_idle_s: float | None = None,
    request_id: str = "",
) -> AcquireResult:
    """Return a connection, reused or new; wait while the bound is reached.

    :param pool: the pool.
    :param address: the other end.
    :param p99_s: 99th percentile of the other end's latency in seconds, if known.
    :param max_idle_s: a connection that was idle for longer is not reused. The other end may have
        closed it, and a request that cannot be repeated would end with an unknown outcome.
    :param request_id: the request; it gets no connection on which it was turned away.
    """
    while True:
        slots = pool.connections[address]
        picked = liveness.pick(
            {name: slot.state for name, slot in slots.items()},
            now=pool.now(),
            max_connections=pool.max_connections,
            p99_s=p99_s,
        )
        for name in picked.retire:
            await discard(pool, address, slots[name])
        if picked.action is liveness.Action.OPEN:
            return await open_new(pool, address)
        if picked.action is liveness.Action.REUSE and picked.connection is not None:
            slot = slots[picked.connection]
            idle_s = pool.now() - slot.state.progress_at
            # Held before anything is awaited, so that no other request takes it.
            slot.state.phase = liveness.Phase.HELD_BY_CALLER
            is_fresh = max_idle_s is None or idle_s <= max_idle_s
            is_quiet = slot.conn is not None and wire.is_quiet(slot.conn)
            if is_fresh and is_quiet and request_id not in slot.refused_ids:
                slot.scope = trio.CancelScope()
                return result.Success(slot)
            await discard(pool, address, slot)
            continue
        await pool.freed.wait()


async def open_new(pool: Pool, address: identity.Address) -> AcquireResult:
    """Open a connection.

    :param pool: the pool.
    :param address: the other end.
    """
    slot = PooledConnection(
        connection_id=liveness.ConnectionId(next(pool.connection_ids)),
        state=liveness.Connection(opened_at=pool.now()),
        scope=trio.CancelScope(),
    )
    pool.connections[address][slot.connection_id] = slot
    failure = PoolFailure.TIMEOUT
    try:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            slot.conn = wire.open_client(await pool.connect(address))
    except (OSError, trio.BrokenResourceError):
        failure = PoolFailure.REFUSED
    finally:
        if slot.conn is None:
            _remove(pool, address, slot)
    if slot.conn is None:
        return result.Failure(failure)
    liveness.record_connected(slot.state, pool.now())
    slot.state.phase = liveness.Phase.HELD_BY_CALLER
    return result.Success(slot)


async def release(pool: Pool, address: identity.Address, slot: PooledConnection) -> None:
    """Give a connection back; it is closed if its exchange did not end cleanly.

    :param pool: the pool.
    :param address: the other end.
    :param slot: from :func:`acquire`.
    """
    if not try_release(pool, slot):
        await discard(pool, address, slot)


def try_release(pool: Pool, slot: PooledConnection) -> bool:
    """Make a connection idle if its exchange has ended cleanly; return whether it has.

    :param pool: the pool.
    :param slot: from :func:`acquire`.
    """
    if slot.conn is None or slot.must_close or not wire.is_drained(slot.conn):
        return False
    if not wire.recycle(slot.conn):
        return False
    liveness.record_idle(slot.state, pool.now())
    _notify_freed(pool)
    return True


def record_refusal(slot: PooledConnection, request_id: str, *, names_request: bool) -> None:
    """Note that a request was turned away on a connection.

    :param slot: from :func:`acquire`.
    :param request_id: the request.
    :param is_named: whether the refusal names it; others can't be told from each other.
    """
    slot.refused_ids.add(request_id)
    if not names_request or len(slot.refused_ids) >= MAX_REFUSALS:
        slot.must_close = True


def release_unused(pool: Pool, slot: PooledConnection) -> None:
    """Make a connection idle on which nothing was sent.

    :param pool: the pool.
    :param slot: from :func:`acquire`.
    """
    slot.state.phase = liveness.Phase.IDLE
    _notify_freed(pool)


async def discard(pool: Pool, address: identity.Address, slot: PooledConnection) -> None:
    """Close a connection at once.

    :param pool: the pool.
    :param address: the other end.
    :param slot: from :func:`acquire`.
    """
    _remove(pool, address, slot)
    if slot.conn is not None:
        await wire.close(slot.conn)


async def close_idle(pool: Pool, address: identity.Address) -> None:
    """Close the idle connections to an address, after its process was replaced.

    :param pool: the pool.
    :param address: the other end.
    """
    for slot in list(pool.connections[address].values()):
        if slot.state.phase is liveness.Phase.IDLE:
            await discard(pool, address, slot)


async def sweep(pool: Pool, *, p99_s: float | None) -> None:
    """Retire silent connections, which ends their requests, and those idle for too long.

    Only requests that can be sent again are ended: nothing is gained by ending the others, as their
    targets may only be slow.

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    for address, slots in list(pool.connections.items()):
        lives = {name: slot.state for name, slot in slots.items()}
        for name in liveness.find_idle(lives, now=pool.now()):
            idle = slots.get(name)
            # It may have been taken or retired while another one was closed.
            if idle is not None and idle.state.phase is liveness.Phase.IDLE:
                await discard(pool, address, idle)
        lives = {name: slot.state for name, slot in slots.items()}
        for name in liveness.find_silent(lives, now=pool.now(), p99_s=p99_s):
            if not slots[name].is_repeatable or slots[name].is_reply_begun():
                continue
            slots[name].abort_reason = AbortReason.SILENT
            slots[name].scope.cancel()
            decision.record(
                log,
                logging.WARNING,
                "connection-retired",
                address=address,
                reason="no progress while other connections progress",
            )
        if not slots:
            pool.connections.pop(address, None)


def find_unresponsive(pool: Pool, *, p99_s: float | None) -> list[identity.Address]:
    """Return the addresses that have not answered for too long on any connection.

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    return [
        address
        for address, slots in pool.connections.items()
        if liveness.assess_health(
            {name: slot.state for name, slot in slots.items()}, now=pool.now(), p99_s=p99_s
        )
        is not liveness.Health.PROGRESSING
    ]


def has_progressed(pool: Pool, address: identity.Address, since: float) -> bool:
    """Return whether bytes have come from an address on any connection since a time.

    :param pool: the pool.
    :param address: the other end.
    :param since: seconds on the node's clock.
    """
    return any(
        slot.state.progress_at > since for slot in pool.connections.get(address, {}).values()
    )


def abort(
    pool: Pool, address: identity.Address, *, cutoff: float | None, lenient_cutoff: float | None
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
    for slot in pool.connections.get(address, {}).values():
        is_patient = slot.has_response_head or not slot.is_repeatable
        silent_since = lenient_cutoff if is_patient else cutoff
        if silent_since is None or slot.is_reply_begun():
            continue
        if liveness.is_silent(slot.state, silent_since):
            slot.abort_reason = AbortReason.UNREACHABLE
            slot.scope.cancel()


def _remove(pool: Pool, address: identity.Address, slot: PooledConnection) -> None:
    pool.connections[address].pop(slot.connection_id, None)
    _notify_freed(pool)


def _notify_freed(pool: Pool) -> None:
    if pool.freed.statistics().tasks_waiting:
        pool.freed.set()
        pool.freed = trio.Event()
