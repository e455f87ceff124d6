"""Connection pool for targets and for other nodes; :mod:`liveness` decides what is reused."""

import collections
import collections.abc
import dataclasses
import enum
import errno
import itertools
import logging

from returns import result
import trio

from ebonyvalve.connection import liveness, wire
from ebonyvalve.process import decision, identity, network

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25
# Each connection stores the ids of the requests refused on it; it is closed after this many.
MAX_REFUSALS = 64
# Errors of connect() that say nothing about the remote end: this process or VM lacks resources.
LOCAL_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class AbortReason(enum.Enum):
    """Why the node itself aborted a request on a connection."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"


def permit_repeat() -> bool:
    """Permit the abort of a request whose repeat nothing limits."""
    return True


class PoolFailure(enum.Enum):
    """Why no connection could be acquired.

    ``EXHAUSTED`` means that this process or its VM has no descriptors or memory left for one.
    """

    REFUSED = "refused"
    TIMEOUT = "timeout"
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(kw_only=True)
class PooledConnection:
    """A pooled connection, its liveness state and the state of its current request.

    ``scope`` is the cancel scope of the current request. ``is_repeatable`` says that the request
    may be sent again. ``claim_repeat`` returns whether it will be if it is aborted now, and charges
    the repeat to the retry budget. ``has_response_head`` says that the head of its response has
    arrived, and ``is_reply_begun`` that a part of the response was passed on to the caller.
    ``abort_reason`` is set if the node ended the request before its response was complete.
    ``refused_ids`` are the ids of requests that were refused on the connection. ``must_close``
    forbids reuse: a further response might be a repetition of an earlier one, or ``refused_ids`` is
    full.
    """

    connection_id: liveness.ConnectionId
    state: liveness.Connection
    scope: trio.CancelScope
    conn: wire.Wire | None = None
    abort_reason: AbortReason | None = None
    is_repeatable: bool = True
    claim_repeat: collections.abc.Callable[[], bool] = permit_repeat
    has_response_head: bool = False
    is_reply_begun: collections.abc.Callable[[], bool] = lambda: False
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    must_close: bool = False


PooledConnections = dict[liveness.ConnectionId, PooledConnection]


@dataclasses.dataclass(kw_only=True)
class Pool:
    """Connections by address, at most ``max_connections`` to one address.

    ``freed`` is set, and replaced, when a connection becomes idle or is removed.
    """

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
    """Return an idle or a new connection; wait while ``max_connections`` are in use.

    :param pool: the pool.
    :param address: the remote address.
    :param p99_s: 99th percentile of the remote latency in seconds, if known.
    :param max_idle_s: a connection that was idle for longer, in seconds, is closed instead of
        reused. The remote end may have closed it, and a request that can't be repeated would end
        with an unknown outcome.
    :param request_id: the request; connections on which it was refused are not reused for it.
    """
    while True:
        connections = pool.connections[address]
        picked = liveness.pick(
            {conn_id: pooled.state for conn_id, pooled in connections.items()},
            now=pool.now(),
            max_connections=pool.max_connections,
            p99_s=p99_s,
        )
        for conn_id in picked.retire:
            await discard(pool, address, connections[conn_id])
        if picked.action is liveness.Action.OPEN:
            return await open_new(pool, address)
        if picked.action is liveness.Action.REUSE and picked.connection is not None:
            pooled = connections[picked.connection]
            idle_s = pool.now() - pooled.state.progress_at
            # The phase changes before the first await, so that no other request acquires it.
            pooled.state.phase = liveness.Phase.HELD_BY_CALLER
            is_fresh = max_idle_s is None or idle_s <= max_idle_s
            is_quiet = pooled.conn is not None and wire.is_quiet(pooled.conn)
            if is_fresh and is_quiet and request_id not in pooled.refused_ids:
                pooled.scope = trio.CancelScope()
                return result.Success(pooled)
            await discard(pool, address, pooled)
            continue
        await pool.freed.wait()


async def open_new(pool: Pool, address: identity.Address) -> AcquireResult:
    """Open a connection within ``CONNECT_TIMEOUT_S`` and acquire it.

    :param pool: the pool.
    :param address: the remote address.
    """
    pooled = PooledConnection(
        connection_id=liveness.ConnectionId(next(pool.connection_ids)),
        state=liveness.Connection(opened_at=pool.now()),
        scope=trio.CancelScope(),
    )
    pool.connections[address][pooled.connection_id] = pooled
    failure = PoolFailure.TIMEOUT
    try:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            pooled.conn = wire.open_client(await pool.connect(address))
    except (OSError, trio.BrokenResourceError) as exc:
        is_local = isinstance(exc, OSError) and exc.errno in LOCAL_ERRORS
        failure = PoolFailure.EXHAUSTED if is_local else PoolFailure.REFUSED
    finally:
        if pooled.conn is None:
            _remove(pool, address, pooled)
    if pooled.conn is None:
        return result.Failure(failure)
    liveness.record_connected(pooled.state, pool.now())
    pooled.state.phase = liveness.Phase.HELD_BY_CALLER
    return result.Success(pooled)


async def release(pool: Pool, address: identity.Address, pooled: PooledConnection) -> None:
    """Release a connection; it is closed, also when cancelled, unless its exchange ended cleanly.

    :param pool: the pool.
    :param address: the remote address.
    :param pooled: from :func:`acquire`.
    """
    # Most connections are kept, which awaits nothing and needs no shield.
    if not try_release(pool, pooled):
        with trio.CancelScope(shield=True):
            await discard(pool, address, pooled)


def begin_request(
    pooled: PooledConnection,
    *,
    is_repeatable: bool = True,
    claim_repeat: collections.abc.Callable[[], bool] = permit_repeat,
    is_reply_begun: collections.abc.Callable[[], bool],
) -> None:
    """Reset the state of the current request before a new one is sent on a connection.

    :param pooled: from :func:`acquire`.
    :param is_repeatable: see :class:`PooledConnection`, like the other parameters.
    :param claim_repeat: returns whether the request is sent again if it is aborted.
    :param is_reply_begun: returns whether the caller has got a part of the reply.
    """
    pooled.is_repeatable = is_repeatable
    pooled.claim_repeat = claim_repeat
    pooled.has_response_head = False
    pooled.abort_reason = None
    pooled.is_reply_begun = is_reply_begun


def try_release(pool: Pool, pooled: PooledConnection) -> bool:
    """Make a connection idle if its exchange ended cleanly; return whether it did.

    :param pool: the pool.
    :param pooled: from :func:`acquire`.
    """
    if pooled.conn is None or pooled.must_close or not wire.has_no_trailing_data(pooled.conn):
        return False
    if not wire.recycle(pooled.conn):
        return False
    liveness.record_idle(pooled.state, pool.now())
    # An idle connection must not keep its last request in memory.
    pooled.claim_repeat = permit_repeat
    _notify_freed(pool)
    return True


def record_refusal(pooled: PooledConnection, request_id: str, *, names_request: bool) -> None:
    """Record that a request was refused on a connection, so that it is not sent there again.

    :param pooled: from :func:`acquire`.
    :param request_id: the refused request.
    :param names_request: whether the refusal carries the request id. A refusal without one can't be
        told apart from a repetition of it, so that the connection is not reused.
    """
    pooled.refused_ids.add(request_id)
    if not names_request or len(pooled.refused_ids) >= MAX_REFUSALS:
        pooled.must_close = True


def release_unused(pool: Pool, pooled: PooledConnection) -> None:
    """Make a connection idle on which nothing was sent.

    :param pool: the pool.
    :param pooled: from :func:`acquire`.
    """
    pooled.state.phase = liveness.Phase.IDLE
    _notify_freed(pool)


async def discard(pool: Pool, address: identity.Address, pooled: PooledConnection) -> None:
    """Remove a connection from the pool and close it at once.

    :param pool: the pool.
    :param address: the remote address.
    :param pooled: from :func:`acquire`.
    """
    _remove(pool, address, pooled)
    if pooled.conn is not None:
        await wire.close(pooled.conn)


async def close_idle(pool: Pool, address: identity.Address) -> None:
    """Close the idle connections to an address whose process was replaced.

    :param pool: the pool.
    :param address: the remote address.
    """
    for pooled in list(pool.connections[address].values()):
        if pooled.state.phase is liveness.Phase.IDLE:
            await discard(pool, address, pooled)


async def sweep(pool: Pool, *, p99_s: float | None) -> None:
    """Abort requests on silent connections, and close connections that were idle for too long.

    Only requests that can still be sent again are aborted. For the others an abort gains nothing,
    as the remote end may merely be slow.

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    for address, connections in list(pool.connections.items()):
        states = {conn_id: pooled.state for conn_id, pooled in connections.items()}
        for conn_id in liveness.find_idle(states, now=pool.now()):
            idle = connections.get(conn_id)
            # It may have been acquired or closed during the await of an earlier close.
            if idle is not None and idle.state.phase is liveness.Phase.IDLE:
                await discard(pool, address, idle)
        states = {conn_id: pooled.state for conn_id, pooled in connections.items()}
        for conn_id in liveness.find_silent(states, now=pool.now(), p99_s=p99_s):
            pooled = connections[conn_id]
            if not pooled.is_repeatable or pooled.is_reply_begun() or not pooled.claim_repeat():
                continue
            pooled.abort_reason = AbortReason.SILENT
            pooled.scope.cancel()
            decision.record(
                log,
                logging.WARNING,
                "connection-retired",
                address=address,
                reason="no progress while other connections progress",
            )
        if not connections:
            pool.connections.pop(address, None)


def find_unresponsive(pool: Pool, *, p99_s: float | None) -> list[identity.Address]:
    """Return the addresses that are not ``PROGRESSING`` (see :func:`liveness.assess_health`).

    :param pool: the pool.
    :param p99_s: 99th percentile of the latency in seconds, if known.
    """
    return [
        address
        for address, connections in pool.connections.items()
        if liveness.assess_health(
            {conn_id: pooled.state for conn_id, pooled in connections.items()},
            now=pool.now(),
            p99_s=p99_s,
        )
        is not liveness.Health.PROGRESSING
    ]


def has_progressed(pool: Pool, address: identity.Address, since: float) -> bool:
    """Return whether bytes were received from an address on any connection after a time.

    :param pool: the pool.
    :param address: the remote address.
    :param since: seconds on the node's clock.
    """
    return any(
        pooled.state.progress_at > since for pooled in pool.connections.get(address, {}).values()
    )


def abort(
    pool: Pool, address: identity.Address, *, cutoff: float | None, cautious_cutoff: float | None
) -> None:
    """Abort the requests that wait for bytes from an address found unreachable.

    A request whose response is already being passed on to the caller is not aborted: it can't be
    sent again, so that an abort would only do harm if the remote end is merely slow.

    :param pool: the pool.
    :param address: the remote address.
    :param cutoff: seconds on the node's clock; requests that were sent or received bytes after it
        are not aborted. ``None`` aborts none of them.
    :param cautious_cutoff: the same for requests that can't be sent again and for those whose
        response has started to arrive. It should not be later: aborting them loses more.
    """
    for pooled in pool.connections.get(address, {}).values():
        if pooled.is_reply_begun():
            continue
        if _is_silent(pooled, cautious_cutoff) or (
            pooled.is_repeatable
            and not pooled.has_response_head
            and _is_silent(pooled, cutoff)
            and pooled.claim_repeat()
        ):
            pooled.abort_reason = AbortReason.UNREACHABLE
            pooled.scope.cancel()


def _is_silent(pooled: PooledConnection, cutoff: float | None) -> bool:
    return cutoff is not None and liveness.is_silent(pooled.state, cutoff)


def _remove(pool: Pool, address: identity.Address, pooled: PooledConnection) -> None:
    pool.connections[address].pop(pooled.connection_id, None)
    _notify_freed(pool)


def _notify_freed(pool: Pool) -> None:
    if pool.freed.statistics().tasks_waiting:
        pool.freed.set()
        pool.freed = trio.Event()
