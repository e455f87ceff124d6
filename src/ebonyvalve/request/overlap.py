"""Answers requests of a connection that run at the same time, in the order of their arrival."""

import collections
import collections.abc
import dataclasses
import logging

import h11
from returns import result
import trio

from ebonyvalve.connection import lookahead, pipeline, wire
from ebonyvalve.process import decision
from ebonyvalve.request import buffering, exchange

log = logging.getLogger(__name__)

CLOSE_HEADER = (b"connection", b"close")
# Time in which requests end by themselves when their caller has left, so that they are counted.
CONCLUDE_S = 1.0


# Compared by identity, as members of a queue.
@dataclasses.dataclass(kw_only=True, eq=False)
class Slot:
    """A request that was read ahead.

    ``conn`` has the stream of the connection and an HTTP state of its own. ``turn`` is set when
    the answer may be written, or never will be. ``held`` is the part of the answer that waits for
    that, and ``is_answered`` says that the answer is whole.
    """

    conn: wire.Wire
    entry: pipeline.Entry
    call: exchange.Call
    turn: trio.Event = dataclasses.field(default_factory=trio.Event)
    held: list[h11.Event] = dataclasses.field(default_factory=list)
    is_answered: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parked:
    """A request that was read ahead and waits until those before it have been answered.

    ``head`` is a failure if it couldn't be parsed. ``arrived_at_s`` is in seconds.
    """

    head: h11.Request | wire.WireFailure
    arrived_at_s: float


@dataclasses.dataclass(kw_only=True)
class Overlap:
    """Requests of a connection that run at the same time, until all have been answered.

    ``lead`` is the first one, which the connection's own task serves. ``is_stopping`` returns
    whether answers ask callers to leave. ``behind`` are bytes that were received and belong to none
    of the requests yet; the first ``scanned`` of them hold no whole head. ``following`` is the HTTP
    state of the request that is read next, ``parked`` that request if it must run alone.
    ``has_last`` says that a request asked for the connection's close, ``closing`` is the state of
    the request whose end closed the connection. ``gone`` is set when the caller has left, ``ended``
    when all tasks of the overlap have ended. ``lead_id`` is the request id of ``lead``.
    """

    conn: wire.Wire
    is_stopping: collections.abc.Callable[[], bool]
    line: pipeline.Line
    lead: pipeline.Entry
    lead_id: str
    stats: pipeline.Stats
    usage: buffering.Usage
    behind: bytearray
    following: wire.Wire
    scanned: int = 0
    parked: Parked | None = None
    has_last: bool = False
    closing: wire.Wire | None = None
    slots: collections.deque[Slot] = dataclasses.field(default_factory=collections.deque)
    gone: trio.Event = dataclasses.field(default_factory=trio.Event)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    reader_scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    pause_scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)


@dataclasses.dataclass(kw_only=True, slots=True)
class Session:
    """The state of one connection beyond its current request.

    ``overlap`` is set while requests are read ahead, ``parked`` if one has been read that is served
    next.
    """

    conn: wire.Wire
    overlap: Overlap | None = None
    parked: Parked | None = None


def begin(
    conn: wire.Wire,
    request_id: str,
    is_stopping: collections.abc.Callable[[], bool],
    stats: pipeline.Stats,
    usage: buffering.Usage,
) -> Overlap:
    """Return the state of an overlap that is led by the current request of a connection.

    :param conn: the connection, behind whose current request bytes have been received.
    :param request_id: the id of that request.
    :param is_stopping: returns whether answers ask callers to leave.
    :param stats: the counts of the node.
    :param usage: the bytes of answers that the node buffers and holds.
    """
    line = pipeline.Line()
    return Overlap(
        conn=conn,
        is_stopping=is_stopping,
        line=line,
        lead=pipeline.add(line, stats),
        lead_id=request_id,
        stats=stats,
        usage=usage,
        behind=bytearray(conn.http.trailing_data[0]),
        following=lookahead.open_next(conn),
    )


def add_slot(overlap: Overlap, call: exchange.Call) -> Slot:
    """Add the request that was read last to those that run.

    :param overlap: the state.
    :param call: the request.
    """
    entry = pipeline.add(overlap.line, overlap.stats)
    slot = Slot(conn=overlap.following, entry=entry, call=call)
    overlap.has_last = slot.conn.http.their_state is not h11.DONE
    overlap.following = lookahead.open_next(overlap.conn)
    overlap.slots.append(slot)
    return slot


async def complete(overlap: Overlap, slot: Slot) -> None:
    """Wait for a request's turn and send what is held of its answer, unless that can't be sent.

    :param overlap: the state.
    :param slot: a request that has been handled.
    """
    await slot.turn.wait()
    if overlap.line.is_closed:
        return
    is_sent = not slot.held or await _send(overlap, slot)
    end_turn(overlap, slot.entry, slot.conn, keeps_open=is_sent and wire.is_reusable(slot.conn))


def end_turn(overlap: Overlap, entry: pipeline.Entry, conn: wire.Wire, *, keeps_open: bool) -> None:
    """End the first request of the line, and let the next one be answered.

    If the connection is to close, the requests behind are cancelled.

    :param overlap: the state.
    :param entry: the request.
    :param conn: its HTTP state.
    :param keeps_open: whether its answer was sent whole and leaves the connection open.
    """
    following = pipeline.finish(overlap.line, entry, keeps_open=keeps_open)
    request_id = overlap.lead_id
    if overlap.slots and overlap.slots[0].entry is entry:
        request_id = overlap.slots.popleft().call.request_id
    if following is pipeline.Next.ANSWER:
        overlap.slots[0].turn.set()
        overlap.pause_scope.cancel()
        return
    overlap.reader_scope.cancel()
    if following is pipeline.Next.EMPTY:
        return
    overlap.closing = conn
    for slot in overlap.slots:
        slot.turn.set()
    if overlap.gone.is_set():
        overlap.scope.deadline = trio.current_time() + CONCLUDE_S
        return
    overlap.scope.cancel()
    overlap.stats.dropped += len(overlap.slots)
    decision.record(
        log,
        logging.INFO,
        "read-ahead-dropped",
        closed_by=request_id,
        running=len(overlap.slots),
        passed_on=sum(slot.call.may_have_run for slot in overlap.slots),
        waiting=overlap.parked is not None,
        stopping=overlap.is_stopping(),
    )


def is_last(overlap: Overlap) -> bool:
    """Return whether no other request follows the one that is answered now.

    :param overlap: the state.
    """
    return len(overlap.line.entries) <= 1


def is_awaited(overlap: Overlap, entry: pipeline.Entry) -> bool:
    """Return whether requests run whose answers can be sent only after that of another one.

    :param overlap: the state.
    :param entry: the other request.
    """
    entries = overlap.line.entries
    return bool(entries) and entries[-1] is not entry


def is_answer_begun(overlap: Overlap) -> bool:
    """Return whether a part of the first answer has been sent, and its end has not.

    :param overlap: the state.
    """
    entries = overlap.line.entries
    if not entries:
        return False
    first = overlap.conn if entries[0] is overlap.lead else overlap.slots[0].conn
    return first.http.our_state is h11.SEND_BODY


def hand_over(overlap: Overlap) -> Parked | None:
    """Make the connection go on behind the overlap; return the request that was read, if any.

    :param overlap: an overlap that has ended.
    """
    lookahead.hand_over(overlap.conn, overlap.following, overlap.behind)
    overlap.behind.clear()
    return overlap.parked


def build_caller(overlap: Overlap, slot: Slot) -> exchange.Caller:
    """Return the caller's end of a request that was read ahead.

    A part of the answer that is held counts as not begun: until its turn, the answer of another
    attempt or a refusal can take its place.

    :param overlap: the state.
    :param slot: the request.
    """

    async def receive() -> exchange.Chunk:
        return result.Success(b"")

    async def reply(status: int, headers: exchange.Headers) -> bool:
        discard(overlap, slot)
        slot.held.append(h11.Response(status_code=status, headers=headers))
        return not overlap.line.is_closed

    async def write(data: bytes) -> bool:
        return await _emit(overlap, slot, h11.Data(data=data), len(data))

    async def finish() -> bool:
        slot.is_answered = await _emit(overlap, slot, h11.EndOfMessage(), 0)
        return slot.is_answered

    def is_gone() -> bool:
        return wire.notice_close(slot.conn)

    def is_reply_begun() -> bool:
        return slot.is_answered or slot.conn.http.our_state is not h11.SEND_RESPONSE

    return exchange.Caller(
        receive=receive,
        reply=reply,
        write=write,
        finish=finish,
        wait_gone=overlap.gone.wait,
        is_gone=is_gone,
        is_reply_begun=is_reply_begun,
        is_awaited=lambda: is_awaited(overlap, slot.entry),
    )


async def _emit(overlap: Overlap, slot: Slot, event: h11.Event, size: int) -> bool:
    """Send or hold a part of an answer; return whether the caller can still get it.

    If it can't be held, this waits for the request's turn.
    """
    if not pipeline.is_first(overlap.line, slot.entry) and not overlap.line.is_closed:
        node_bytes = overlap.usage.total_bytes
        overlap.usage.total_bytes += size
        # The end of an answer takes no room.
        if not size or pipeline.may_hold(overlap.line, size, node_bytes=node_bytes):
            pipeline.hold(overlap.line, slot.entry, size)
            slot.held.append(event)
            return True
        overlap.stats.delayed += 1
        try:
            await slot.turn.wait()
            # A request that the node has dropped must not look like one whose caller has left.
            await trio.lowlevel.checkpoint_if_cancelled()
        finally:
            overlap.usage.total_bytes -= size
    slot.held.append(event)
    return await _send(overlap, slot)


async def _send(overlap: Overlap, slot: Slot) -> bool:
    """Send what is held of an answer, in its turn; return whether that succeeded."""
    if overlap.line.is_closed:
        return False
    events = list(slot.held)
    head = events[0]
    if isinstance(head, h11.Response) and overlap.is_stopping() and is_last(overlap):
        headers = [*head.headers, CLOSE_HEADER]
        events[0] = h11.Response(status_code=head.status_code, headers=headers)
    discard(overlap, slot)
    return isinstance(await wire.send(slot.conn, *events), result.Success)


def discard(overlap: Overlap, slot: Slot) -> None:
    """Hold no part of an answer any longer.

    :param overlap: the state.
    :param slot: the request.
    """
    overlap.usage.total_bytes -= pipeline.release(overlap.line, slot.entry)
    slot.held.clear()
