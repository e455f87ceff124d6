"""The HTTP server for callers and for requests forwarded by other nodes."""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import secrets
import sys
import urllib.parse

import h11
from returns import result
import trio

from ebonyvalve import errors
from ebonyvalve.connection import lookahead, pipeline, wire
from ebonyvalve.process import decision, identity
from ebonyvalve.request import (
    ahead,
    buffering,
    deadline,
    exchange,
    outcome,
    overlap,
    unanswered,
)

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 60.0
HEAD_TIMEOUT_S = 10.0
# A part of the body that does not come within this time ends the request, so that slow callers
# cannot occupy a slot of a target.
BODY_STALL_S = 10.0
LINGER_S = 1.0
# Time limit for the buffered beginning of a body; the rest is bound by the request's deadline.
PREFIX_TIMEOUT_S = 10.0
PREFIX_BYTES = 4096

TOKEN_HEADER = b"ebonyvalve-token"
DEADLINE_HEADER = b"ebonyvalve-deadline-ms"
REQUEST_ID_HEADER = b"ebonyvalve-request-id"
OUTCOME_HEADER = b"ebonyvalve-outcome"
REASON_HEADER = b"ebonyvalve-reason"
OWNER_HEADER = b"ebonyvalve-owner"
FENCE_HEADER = b"ebonyvalve-fence"
# End of the node's lease in milliseconds of CLOCK_BOOTTIME, which the node shares with its target.
GRANT_UNTIL_HEADER = b"ebonyvalve-grant-until-ms"
HEADER_PREFIX = b"ebonyvalve-"
# For callers that a stopping node refuses.
RETRY_AFTER = (b"retry-after", b"1")

Handle = collections.abc.Callable[
    [exchange.Call, exchange.Caller], collections.abc.Awaitable[outcome.Outcome]
]
Parse = collections.abc.Callable[["Front", h11.Request], exchange.Call | str]
# Returns whether a request may run at the same time as others of its connection.
MayOverlap = collections.abc.Callable[[exchange.Call], bool]


async def refuse_stopping(_: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
    """Reply that the node stops and that the request has not run.

    :param caller: receives the reply.
    """
    refusal = outcome.refuse(outcome.Reason.STOPPING)
    body = f"{refusal.verdict.value}: {refusal.reason.value}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
        RETRY_AFTER,
        *build_outcome_headers(refusal),
    ]
    if await caller.reply(refusal.status, headers) and await caller.write(body):
        await caller.finish()
    return refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timeouts:
    """Time-outs of connections in seconds.

    ``idle_s`` is for the time between two requests; ``head_s`` for the wait for the first request,
    and for each head from its first bytes on.
    """

    idle_s: float = IDLE_TIMEOUT_S
    head_s: float = HEAD_TIMEOUT_S


@dataclasses.dataclass(kw_only=True)
class Front:
    """The state and settings of one listener.

    ``find_limits`` returns the default deadline in seconds and the largest body in bytes of a
    service; it does not limit the bodies that other nodes forward. ``is_hop`` marks the listener
    that only other nodes may use. ``parse`` parses the head of a request; the default is
    :func:`parse_call`. ``read_timeouts`` returns the time-outs of connections, which may change.
    With ``coalesces_head`` the head of a reply is sent together with the first part of its body,
    which saves a write.

    ``may_overlap`` returns whether a request may run more than once, so that it may run before
    those ahead of it on its connection have been answered; without it or without ``nursery``, in
    which such requests run, they run one after the other. A nursery for all connections costs those
    without pipelining nothing. ``pipelining`` counts the requests that were read ahead, and
    ``usage`` the bytes of answers that wait. ``tracker`` records the requests that end without
    a whole answer. ``hooks`` are built from these when the first request is watched.

    While ``is_stopping``, answers say that the connection closes after them. While ``is_refusing``,
    requests are given to ``refuse`` as soon as their head was read, also those whose body was still
    arriving. ``head_scopes`` holds the cancel scopes of the heads that are being read by
    connection, ``body_scopes`` those of the bodies.
    """

    now: collections.abc.Callable[[], float]
    handle: Handle
    find_limits: collections.abc.Callable[[identity.ServiceId], tuple[float, int]]
    is_hop: bool
    parse: Parse | None = None
    read_timeouts: collections.abc.Callable[[], Timeouts] = Timeouts
    coalesces_head: bool = False
    max_connections: int = 1000
    refuse: Handle = refuse_stopping
    may_overlap: MayOverlap | None = None
    nursery: trio.Nursery | None = None
    pipelining: pipeline.Stats = dataclasses.field(default_factory=pipeline.Stats)
    usage: buffering.Usage = dataclasses.field(default_factory=buffering.Usage)
    tracker: unanswered.Tracker = dataclasses.field(default_factory=unanswered.Tracker)
    hooks: ahead.Hooks | None = None
    conns: set[wire.Wire] = dataclasses.field(default_factory=set)
    is_stopping: bool = False
    is_refusing: bool = False
    head_scopes: dict[wire.Wire, trio.CancelScope] = dataclasses.field(default_factory=dict)
    body_scopes: set[trio.CancelScope] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class Incoming:
    """The state of one request on its connection.

    Without ``session``, nothing is read ahead.
    """

    conn: wire.Wire
    front: Front
    max_body_bytes: int
    session: overlap.Session | None = None
    body_bytes: int = 0
    is_body_read: bool = False
    is_continued: bool = False


async def serve(front: Front, stream: trio.abc.Stream) -> None:
    """Serve one connection until it closes.

    :param front: the listener's state.
    :param stream: the accepted connection.
    """
    if len(front.conns) >= front.max_connections:
        await trio.aclose_forcefully(stream)
        decision.record(log, logging.WARNING, "connection-refused", reason="too-many-connections")
        return
    conn = wire.open_server(stream)
    session = overlap.Session(conn=conn)
    front.conns.add(conn)
    try:
        try:
            while await _serve_one(front, session):
                pass
        finally:
            await ahead.abort(session)
    except Exception as exc:
        if errors.is_invariant_violated(exc):
            raise
        # A bug that one request meets must not end the requests of all other callers.
        log.exception("request-failed")
        await _reply_error(conn, outcome.unknown(outcome.Reason.CONNECTION_LOST), "internal error")
    finally:
        front.conns.discard(conn)
        unanswered.end_connection(front.tracker, conn, front.now(), _find_listener(front))
        _record_unread(front, session)
        await wire.close(conn)


def announce_close(front: Front) -> None:
    """Ask callers to leave: every answer from now on is the last one on its connection.

    :param front: the listener's state.
    """
    front.is_stopping = True


def stop(front: Front) -> None:
    """Refuse all requests that have not been given to the handler yet.

    Connections stay open, so that a request that is on its way is answered rather than lost.

    :param front: the listener's state.
    """
    front.is_stopping = front.is_refusing = True
    for scope in front.body_scopes:
        scope.cancel()


def cut_off(front: Front) -> None:
    """Refuse the requests whose head is still arriving.

    :param front: the state of a listener that refuses requests.
    """
    for conn, scope in front.head_scopes.items():
        if not wire.is_between_requests(conn):
            scope.cancel()


def is_busy(front: Front) -> bool:
    """Return whether a connection has a request in any phase, from its first byte to its answer.

    :param front: the listener's state.
    """
    return not all(conn.is_draining or wire.is_between_requests(conn) for conn in front.conns)


def is_quiet(front: Front) -> bool:
    """Return whether no request is in any phase, also not in the sockets.

    :param front: the listener's state.
    """
    if is_busy(front):
        return False
    # The check of the sockets takes a system call for each.
    return all(conn.is_draining or wire.is_quiet(conn) for conn in front.conns)


async def _serve_one(front: Front, session: overlap.Session) -> bool:
    """Serve the next request of a connection; return whether it can serve another one."""
    conn = session.conn
    parked, session.parked = session.parked, None
    head = await _receive_head(front, conn) if parked is None else parked.head
    if head is None:
        return False
    if isinstance(head, wire.WireFailure):
        if head is wire.WireFailure.MALFORMED:
            await _reply_error(conn, outcome.refuse(outcome.Reason.BAD_REQUEST), "malformed HTTP")
        return False
    call = (front.parse or parse_call)(front, head)
    if isinstance(call, str):
        await _reply_error(conn, outcome.refuse(outcome.Reason.BAD_REQUEST), call)
        return False
    ahead.set_arrival(call, _find_arrival(front, conn) if parked is None else parked.arrived_at_s)
    max_body_bytes = _find_max_body(front, call)
    incoming = Incoming(conn=conn, front=front, max_body_bytes=max_body_bytes, session=session)
    if call.length is not None and call.length > max_body_bytes:
        reason = f"body of {call.length} bytes exceeds the limit of {max_body_bytes} bytes"
        await _reply_error(conn, outcome.refuse(outcome.Reason.BAD_REQUEST), reason)
        return False
    try:
        is_open = await _answer(incoming, call)
    finally:
        _record_end(incoming, call)
    if session.overlap is None:
        return is_open
    is_open = await ahead.end(session, keeps_open=is_open)
    if not is_open:
        await _linger(conn)
    return is_open


def _find_arrival(front: Front, conn: wire.Wire) -> float:
    """Return when the head that was read last arrived."""
    # Bytes are copied for this only if some were read before the turn of their request.
    behind_bytes = 0 if conn.arrivals is None else len(conn.http.trailing_data[0])
    return lookahead.find_arrival(conn, behind_bytes, front.now)


async def _answer(incoming: Incoming, call: exchange.Call) -> bool:
    """Answer a request whose head was read; return whether the connection can serve another one."""
    front, conn = incoming.front, incoming.conn
    caller = build_caller(incoming, call)
    is_intact = front.is_refusing or await _buffer_prefix(front, call, caller)
    if not front.is_refusing and not is_intact:
        await _reply_error(conn, outcome.refuse(outcome.Reason.BODY_BROKEN), "body broke off")
        return False
    await _handle(front, call, caller)
    return await _finish_exchange(incoming)


async def _handle(front: Front, call: exchange.Call, caller: exchange.Caller) -> None:
    """Handle a request, or refuse it; answer one whose handling fails.

    The connection stays open then, as other requests of it may be running.
    """
    handle = front.refuse if front.is_refusing else front.handle
    try:
        await handle(call, caller)
    except Exception as exc:
        if errors.is_invariant_violated(exc):
            raise
        # A bug that one request meets must not end the requests of all other callers.
        log.exception("request-failed")
        if caller.is_reply_begun():
            return
        refusal = outcome.unknown(outcome.Reason.CONNECTION_LOST)
        status, headers, body = _build_error(refusal, "internal error")
        if await caller.reply(status, headers) and await caller.write(body):
            await caller.finish()


def _find_listener(front: Front) -> unanswered.Listener:
    return unanswered.Listener.PEERS if front.is_hop else unanswered.Listener.CALLERS


def _record_end(
    incoming: Incoming,
    call: exchange.Call,
    *,
    state: overlap.Overlap | None = None,
    is_behind: bool = False,
) -> None:
    """Record a request that has ended, if its reply is not complete.

    ``state`` is set for a request that was read ahead, and ``is_behind`` says that an earlier one
    closed the connection.
    """
    conn, front = incoming.conn, incoming.front
    if not unanswered.is_incomplete(conn):
        return
    session_conn = conn if state is None else state.conn
    closing = None if state is None else state.closing
    left_at_s = unanswered.find_left_at(session_conn, conn, closing)
    if left_at_s is not None:
        session_conn.left_at_s = left_at_s
    unanswered.record(
        front.tracker,
        session_conn,
        call,
        unanswered.choose_cause(has_left=left_at_s is not None, is_behind=is_behind),
        _find_listener(front),
        begun=conn.http.our_state is not h11.SEND_RESPONSE,
        body_read=call.is_body_buffered or incoming.is_body_read,
        stopping=front.is_stopping,
        took_ms=int((front.now() - call.arrived_at_s) * 1000),
        left_ms=int((call.deadline_at_s - front.now()) * 1000),
    )


def _record_unread(front: Front, session: overlap.Session) -> None:
    """Log a connection that is closed although bytes of a further request have arrived."""
    conn = session.conn
    if session.overlap is not None and session.overlap.closing is None:
        session.parked = overlap.hand_over(session.overlap)
    is_read = session.parked is not None and not wire.is_closed_by_peer(conn)
    if is_read or (conn.http.our_state is h11.IDLE and wire.has_unread(conn)):
        decision.record(
            log,
            logging.WARNING,
            "request-unread",
            hop=front.is_hop,
            reused=conn.is_reused,
            stopping=front.is_stopping,
        )


def _find_max_body(front: Front, call: exchange.Call) -> int:
    """Return the size in bytes up to which a request's body is read."""
    if front.is_hop:
        # The node where the request entered has checked it, maybe by another version of the
        # configuration.
        return sys.maxsize
    return front.find_limits(call.service)[1]


async def _receive_head(front: Front, conn: wire.Wire) -> h11.Request | wire.WireFailure | None:
    """Return the next head, or ``None`` if the connection ended between requests."""
    if not await _wait_while_idle(front, conn):
        return None
    # A head that has begun gets its own time, as callers may begin one until the idle time is over.
    with trio.move_on_after(front.read_timeouts().head_s) as scope:
        front.head_scopes[conn] = scope
        try:
            received = await wire.receive(conn)
        finally:
            del front.head_scopes[conn]
        if isinstance(received, result.Failure):
            failure: wire.WireFailure = received.failure()
            return failure
        event = received.unwrap()
        if isinstance(event, h11.Request):
            return event
    if front.is_refusing and not wire.is_between_requests(conn):
        refusal = outcome.refuse(outcome.Reason.STOPPING)
        await _reply_error(conn, refusal, "the node is stopping")
    return None


async def _wait_while_idle(front: Front, conn: wire.Wire) -> bool:
    """Wait for the next head to begin; return whether it did before the connection is to close."""
    started_at = trio.current_time()
    timeout_s = _find_wait(front, conn)
    while True:
        with trio.move_on_at(started_at + timeout_s):
            await wire.wait_for_message(conn)
            return True
        # Callers rely on a time-out that has become longer also for connections that are idle
        # already. One that has become shorter applies to the next idle time only.
        current_s = _find_wait(front, conn)
        if current_s <= timeout_s:
            return False
        timeout_s = current_s


def _find_wait(front: Front, conn: wire.Wire) -> float:
    """Return how many seconds a connection may be open without a request."""
    timeouts = front.read_timeouts()
    return timeouts.idle_s if conn.is_reused else timeouts.head_s


def parse_call(front: Front, head: h11.Request) -> exchange.Call | str:
    """Return the request that a head describes, or a description of what is wrong with it.

    :param front: the listener's state.
    :param head: the head, as read by h11.
    """
    headers = list(head.headers)
    # h11 bounds incomplete heads only; a head that arrives in a single read may be longer.
    if len(head.target) + sum(len(k) + len(v) + 4 for k, v in headers) > wire.MAX_HEAD_BYTES:
        return f"the head exceeds the limit of {wire.MAX_HEAD_BYTES} bytes"
    path = head.target.decode("ascii", "replace")
    if not path.startswith("/"):
        return "the request target must begin with /{service}/{key}"
    parts = path.split("?")[0].split("/", 3)
    if len(parts) < 3 or not parts[1] or not parts[2]:
        return "the request target must be /{service}/{key}/…"
    service = identity.ServiceId(urllib.parse.unquote(parts[1]))
    default_s, _ = front.find_limits(service)
    deadline_text = wire.find_header(headers, DEADLINE_HEADER)
    deadline_at = deadline.parse(
        None if deadline_text is None else deadline_text.decode("ascii", "replace"),
        limit_ms=int(default_s * 1000),
        now=front.now(),
    )
    if isinstance(deadline_at, result.Failure):
        return "Ebonyvalve-Deadline-Ms must be a whole number of milliseconds"
    token = wire.find_header(headers, TOKEN_HEADER)
    request_id = wire.find_header(headers, REQUEST_ID_HEADER)
    return exchange.Call(
        request_id=(request_id or secrets.token_hex(8).encode()).decode("ascii", "replace")[:64],
        service=service,
        key=identity.KeyId(urllib.parse.unquote(parts[2])),
        method=head.method.decode("ascii"),
        path=path,
        headers=[pair for pair in headers if not pair[0].startswith(HEADER_PREFIX)],
        length=find_length(headers),
        deadline_at_s=deadline_at.unwrap(),
        is_hop=front.is_hop,
        arrived_at_s=front.now(),
        token=None if token is None else token.decode("ascii", "replace"),
    )


def find_length(headers: exchange.Headers) -> int | None:
    """Return the length of a body in bytes, or ``None`` if it is sent in chunks.

    :param headers: pairs with names in lower case.
    """
    if wire.find_header(headers, b"transfer-encoding") is not None:
        # Chunked encoding overrides Content-Length (RFC 9112, section 6.3).
        return None
    return int(wire.find_header(headers, b"content-length") or 0)


async def _buffer_prefix(front: Front, call: exchange.Call, caller: exchange.Caller) -> bool:
    """Read the beginning of the body; return whether it is intact."""
    with trio.move_on_after(PREFIX_TIMEOUT_S) as scope:
        front.body_scopes.add(scope)
        try:
            while len(call.prefix) < PREFIX_BYTES:
                chunk = await caller.receive()
                if isinstance(chunk, result.Failure):
                    return False
                data = chunk.unwrap()
                if not data:
                    call.is_body_buffered = True
                    return True
                call.prefix += data
            return True
        finally:
            front.body_scopes.discard(scope)
    return False


def build_caller(incoming: Incoming, call: exchange.Call | None = None) -> exchange.Caller:
    """Return the caller's end of a request on an HTTP connection.

    :param incoming: the request's state on its connection.
    :param call: the request; without it, nothing is read ahead.
    """
    conn = incoming.conn

    async def receive() -> exchange.Chunk:
        return await _receive_body(incoming)

    # The head of the reply, kept back until the first part of the body is written.
    pending: list[h11.Event] = []

    async def reply(status: int, headers: exchange.Headers) -> bool:
        extra = [overlap.CLOSE_HEADER] if _is_last(incoming) else []
        response = h11.Response(status_code=status, headers=headers + extra)
        if incoming.front.coalesces_head:
            # Replaces the head of an earlier attempt's reply that broke off before its body.
            pending[:] = [response]
            return True
        return isinstance(await wire.send(conn, response), result.Success)

    async def write(data: bytes) -> bool:
        sent = await wire.send(conn, *pending, h11.Data(data=data))
        pending.clear()
        return isinstance(sent, result.Success)

    async def finish() -> bool:
        sent = await wire.send(conn, *pending, h11.EndOfMessage())
        pending.clear()
        return isinstance(sent, result.Success)

    async def wait_gone() -> None:
        front, session = incoming.front, incoming.session
        if call is None or session is None or front.may_overlap is None or front.nursery is None:
            await wire.wait_closed(conn)
            return
        front.hooks = front.hooks or _build_hooks(front, front.may_overlap, front.nursery)
        await ahead.watch_caller(front.hooks, session, call)

    def is_gone() -> bool:
        return wire.notice_close(conn)

    def is_reply_begun() -> bool:
        return conn.http.our_state is not h11.SEND_RESPONSE

    def is_awaited() -> bool:
        state = incoming.session.overlap if incoming.session is not None else None
        return state is not None and overlap.is_awaited(state, state.lead)

    return exchange.Caller(
        receive=receive,
        reply=reply,
        write=write,
        finish=finish,
        wait_gone=wait_gone,
        is_gone=is_gone,
        is_reply_begun=is_reply_begun,
        is_awaited=is_awaited,
    )


def _is_last(incoming: Incoming) -> bool:
    """Return whether the answer to a request is to be the last one on its connection."""
    if not incoming.front.is_stopping:
        return False
    state = incoming.session.overlap if incoming.session is not None else None
    # Requests behind this one that run already are answered too.
    return state is None or overlap.is_last(state)


def _build_hooks(front: Front, may_overlap: MayOverlap, nursery: trio.Nursery) -> ahead.Hooks:
    """Return what is needed to read requests ahead."""

    def find_max_body(call: exchange.Call) -> int:
        return min(PREFIX_BYTES - 1, _find_max_body(front, call))

    def record_end(state: overlap.Overlap, slot: overlap.Slot) -> None:
        is_behind = state.closing not in (None, slot.conn)
        incoming = Incoming(conn=slot.conn, front=front, max_body_bytes=0)
        _record_end(incoming, slot.call, state=state, is_behind=is_behind)

    return ahead.Hooks(
        now=front.now,
        is_stopping=lambda: front.is_stopping,
        parse=functools.partial(front.parse or parse_call, front),
        find_max_body=find_max_body,
        may_overlap=may_overlap,
        nursery=nursery,
        handle=functools.partial(_handle, front),
        record_end=record_end,
        stats=front.pipelining,
        usage=front.usage,
    )


async def _receive_body(incoming: Incoming) -> exchange.Chunk:
    """Return the next part of the body, or why it could not be read."""
    if incoming.is_body_read:
        return result.Success(b"")
    if not incoming.is_continued and incoming.body_bytes >= PREFIX_BYTES:
        # A node that forwards a request sends the rest of the body only after it is admitted.
        incoming.is_continued = True
        if incoming.front.is_hop:
            await wire.send_continue(incoming.conn)
    # Most requests have no body, or one that came with the head, and need no time limit.
    ready = wire.poll(incoming.conn)
    with contextlib.nullcontext() if ready is not None else trio.move_on_after(BODY_STALL_S):
        received = result.Success(ready) if ready is not None else await wire.receive(incoming.conn)
        if isinstance(received, result.Failure):
            return result.Failure(exchange.BodyFailure.BROKEN)
        event = received.unwrap()
        if isinstance(event, h11.EndOfMessage):
            incoming.is_body_read = True
            return result.Success(b"")
        if isinstance(event, h11.Data):
            data = bytes(event.data)
            incoming.body_bytes += len(data)
            if incoming.body_bytes > incoming.max_body_bytes:
                return result.Failure(exchange.BodyFailure.TOO_LARGE)
            return result.Success(data)
    return result.Failure(exchange.BodyFailure.BROKEN)


async def _finish_exchange(incoming: Incoming) -> bool:
    """Return whether the connection can serve another request."""
    conn = incoming.conn
    if conn.http.our_state is h11.DONE and not incoming.is_body_read:
        await _skip_body(incoming)
    if incoming.session is not None and incoming.session.overlap is not None:
        # The next request has a state of its own.
        return wire.is_reusable(conn)
    if wire.recycle(conn):
        return True
    await _linger(conn)
    return False


async def _linger(conn: wire.Wire) -> None:
    """Let the caller read the last answer before the connection is closed."""
    if conn.http.our_state in (h11.DONE, h11.MUST_CLOSE):
        with trio.move_on_after(LINGER_S):
            await wire.drain(conn)


async def _skip_body(incoming: Incoming) -> None:
    """Read the rest of the body for a short time, so that the connection can be used again."""
    with trio.move_on_after(LINGER_S):
        while True:
            chunk = await _receive_body(incoming)
            if isinstance(chunk, result.Failure) or not chunk.unwrap():
                return


async def _reply_error(conn: wire.Wire, refusal: outcome.Outcome, text: str) -> None:
    """Refuse a request that can't be handled, and read for a moment what the caller still sends."""
    if conn.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
        status, headers, body = _build_error(refusal, text)
        head = h11.Response(status_code=status, headers=[*headers, overlap.CLOSE_HEADER])
        await wire.send(conn, head, h11.Data(data=body), h11.EndOfMessage())
        with trio.move_on_after(LINGER_S):
            await wire.drain(conn)


def _build_error(refusal: outcome.Outcome, text: str) -> tuple[int, exchange.Headers, bytes]:
    """Return status, headers and body of an answer of the listener's own."""
    body = f"{text}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
        *build_outcome_headers(refusal),
    ]
    if refusal.reason is outcome.Reason.STOPPING:
        headers.append(RETRY_AFTER)
    return refusal.status, headers, body


def build_outcome_headers(result_: outcome.Outcome) -> exchange.Headers:
    """Return the headers that report the outcome of a request to its caller.

    :param result_: the outcome.
    """
    return [
        (OUTCOME_HEADER, result_.verdict.value.encode()),
        (REASON_HEADER, result_.reason.value.encode()),
    ]
