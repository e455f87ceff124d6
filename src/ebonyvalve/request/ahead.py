"""Reads pipelined requests ahead and runs them while those before them run.

The connection's own task serves the first request, as it serves any request. One further task reads
the requests behind it, and each of those that overlaps it runs in a task of its own.
"""

import collections.abc
import dataclasses
import logging

import h11
import trio

from ebonyvalve import errors
from ebonyvalve.connection import lookahead, pipeline, wire
from ebonyvalve.request import buffering, exchange, overlap

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hooks:
    """What the listener decides and does for the requests that are read ahead.

    ``parse`` returns a request or what is wrong with it, ``find_max_body`` the size in bytes up to
    which its body may be buffered, and ``may_overlap`` whether it may run more than once.
    ``nursery`` runs the requests and outlives all connections. ``handle`` answers a request, also
    if its handling fails. ``record_end`` records a request that ended, if it has no whole answer.
    ``stats`` and ``usage`` are those of the node.
    """

    now: collections.abc.Callable[[], float]
    is_stopping: collections.abc.Callable[[], bool]
    parse: collections.abc.Callable[[h11.Request], exchange.Call | str]
    find_max_body: collections.abc.Callable[[exchange.Call], int]
    may_overlap: collections.abc.Callable[[exchange.Call], bool]
    nursery: trio.Nursery
    handle: collections.abc.Callable[
        [exchange.Call, exchange.Caller], collections.abc.Awaitable[None]
    ]
    record_end: collections.abc.Callable[[overlap.Overlap, overlap.Slot], None]
    stats: pipeline.Stats
    usage: buffering.Usage


async def watch_caller(hooks: Hooks, session: overlap.Session, call: exchange.Call) -> None:
    """Return when the caller has closed the connection.

    Requests that arrive meanwhile are started if they and the current one may overlap.

    :param hooks: the functions of the listener.
    :param session: the state of the connection.
    :param call: its current request.
    """
    conn = session.conn
    if conn.http.their_state is h11.SEND_BODY:
        # Another task reads the body.
        await wire.wait_for_hangup(conn)
        return
    while len(behind := conn.http.trailing_data[0]) <= wire.MAX_HEAD_BYTES:
        if behind:
            lookahead.record_arrival(conn, hooks.now)
            if _may_lead(hooks, conn, call):
                break
        data = await lookahead.read_behind(conn, hooks.now)
        if not data:
            return
        conn.http.receive_data(data)
    if not _may_lead(hooks, conn, call):
        await wire.wait_for_hangup(conn)
        return
    state = overlap.begin(conn, call.request_id, hooks.is_stopping, hooks.stats, hooks.usage)
    session.overlap = state
    hooks.nursery.start_soon(run, hooks, state)
    await state.gone.wait()


def _may_lead(hooks: Hooks, conn: wire.Wire, call: exchange.Call) -> bool:
    """Return whether requests behind the current one may run at the same time."""
    return (
        not hooks.is_stopping()
        and call.is_body_buffered
        and conn.http.their_state is h11.DONE
        and hooks.may_overlap(call)
    )


async def end(session: overlap.Session, *, keeps_open: bool) -> bool:
    """Wait until the requests behind an answered one have ended too.

    :param session: the state of the connection, whose own task has served the first request.
    :param keeps_open: whether its answer leaves the connection open.
    :return: whether the connection can serve another request; if not, its last answer was sent.
    """
    conn, state = session.conn, session.overlap
    assert state is not None
    overlap.end_turn(state, state.lead, conn, keeps_open=keeps_open)
    await state.ended.wait()
    session.overlap = None
    if state.closing is not None:
        conn.http, conn.is_writing = state.closing.http, state.closing.is_writing
        return False
    session.parked = overlap.hand_over(state)
    return not state.gone.is_set()


async def abort(session: overlap.Session) -> None:
    """Cancel the requests that were read ahead, and wait until their tasks have ended.

    :param session: the state of a connection that is about to close.
    """
    state = session.overlap
    if state is not None:
        state.scope.cancel()
        with trio.CancelScope(shield=True):
            await state.ended.wait()


async def run(hooks: Hooks, state: overlap.Overlap) -> None:
    """Read requests ahead and run them until all have been answered, or none may be any longer.

    :param hooks: the functions of the listener.
    :param state: a new overlap.
    """
    try:
        with state.scope:
            async with trio.open_nursery() as nursery:
                with state.reader_scope:
                    await _read_requests(hooks, state, nursery)
    except Exception as exc:
        if errors.is_invariant_violated(exc):
            raise
        # A bug that one connection meets must not end the process, but this one can't go on.
        log.exception("request-failed")
        state.closing = state.closing or state.following
    finally:
        state.ended.set()


async def _read_requests(hooks: Hooks, state: overlap.Overlap, nursery: trio.Nursery) -> None:
    """Read requests ahead until the caller leaves or this is cancelled."""
    while not state.gone.is_set():
        if not _may_read(hooks, state):
            await _pause(hooks, state)
            continue
        head = lookahead.take_head(state.behind, state.scanned)
        state.scanned = 0
        if head is not None:
            _admit(hooks, state, nursery, head)
            continue
        state.scanned = len(state.behind)
        await _read(hooks, state)


def _may_read(hooks: Hooks, state: overlap.Overlap) -> bool:
    return (
        state.parked is None
        and not state.has_last
        and pipeline.may_read(
            state.line,
            node_bytes=state.usage.total_bytes,
            is_stopping=hooks.is_stopping(),
            is_answer_begun=overlap.is_answer_begun(state),
        )
    )


async def _read(hooks: Hooks, state: overlap.Overlap) -> None:
    """Read once; sets ``gone`` if the caller has closed the connection."""
    data = await lookahead.read_behind(state.conn, hooks.now)
    if not data:
        state.gone.set()
    state.behind += data


async def _pause(hooks: Hooks, state: overlap.Overlap) -> None:
    """Watch for the caller's close until a further request may be read."""
    with trio.CancelScope() as scope:
        state.pause_scope = scope
        while len(state.behind) <= wire.MAX_HEAD_BYTES:
            await _read(hooks, state)
            if state.gone.is_set():
                return
        await wire.wait_for_hangup(state.conn)
        state.gone.set()


def _admit(hooks: Hooks, state: overlap.Overlap, nursery: trio.Nursery, data: bytes) -> None:
    """Start a request whose head was received, or park it until its turn."""
    conn = state.following
    arrived_at_s = lookahead.find_arrival(state.conn, len(state.behind), hooks.now)
    head = lookahead.parse_head(conn, data)
    call, is_repeatable = _parse(hooks, head, len(state.behind))
    course = pipeline.choose_course(
        is_repeatable=is_repeatable,
        is_complete=call is not None,
        is_stopping=hooks.is_stopping(),
    )
    if call is None or course is pipeline.Course.ALONE:
        state.stats.alone += 1
        state.parked = overlap.Parked(head=head, arrived_at_s=arrived_at_s)
        return
    set_arrival(call, arrived_at_s)
    size = call.length or 0
    call.prefix = bytes(state.behind[:size])
    del state.behind[:size]
    if not lookahead.parse_body(conn, call.prefix):
        state.parked = overlap.Parked(head=wire.WireFailure.MALFORMED, arrived_at_s=arrived_at_s)
        return
    call.is_body_buffered = True
    nursery.start_soon(_serve, hooks, state, overlap.add_slot(state, call), call)


def _parse(
    hooks: Hooks, head: h11.Request | wire.WireFailure, behind_bytes: int
) -> tuple[exchange.Call | None, bool]:
    """Return a request, if it has been received in full, and whether it may run more than once."""
    try:
        call = _find_complete(hooks, head, behind_bytes)
        return call, call is not None and hooks.may_overlap(call)
    except Exception as exc:
        if errors.is_invariant_violated(exc):
            raise
        # It fails again in its own turn, which ends none of the requests before it.
        log.exception("request-failed")
        return None, False


def _find_complete(
    hooks: Hooks, head: h11.Request | wire.WireFailure, behind_bytes: int
) -> exchange.Call | None:
    """Return a request that has been received in full, or ``None``.

    The result is also ``None`` if the head needs a refusal or another protocol may follow. A body
    of unknown length counts as not received in full.
    """
    if isinstance(head, wire.WireFailure):
        return None
    names = {name for name, _ in head.headers}
    if head.http_version < b"1.1" or head.method == b"CONNECT" or b"upgrade" in names:
        return None
    call = hooks.parse(head)
    if isinstance(call, str) or call.length is None:
        return None
    return call if call.length <= min(behind_bytes, hooks.find_max_body(call)) else None


def set_arrival(call: exchange.Call, arrived_at_s: float) -> None:
    """Make the times of a request count from when it arrived.

    :param call: a request that has just been parsed.
    :param arrived_at_s: when its head arrived, in seconds.
    """
    age_s = call.arrived_at_s - arrived_at_s
    call.arrived_at_s -= age_s
    call.deadline_at_s -= age_s


async def _serve(
    hooks: Hooks, state: overlap.Overlap, slot: overlap.Slot, call: exchange.Call
) -> None:
    """Serve a request that was read ahead, from its handling to the end of its answer."""
    caller = overlap.build_caller(state, slot)
    try:
        await hooks.handle(call, caller)
        await overlap.complete(state, slot)
    finally:
        overlap.discard(state, slot)
        hooks.record_end(state, slot)
