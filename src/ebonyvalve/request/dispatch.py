"""Sends one request on a connection to a target or node, and streams the reply to the caller."""

import collections.abc
import dataclasses
import enum

import h11
from returns import result
import trio

from ebonyvalve import errors
from ebonyvalve.connection import liveness, pool, wire
from ebonyvalve.request import correlation, exchange

# Hop-by-hop headers (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = {
    b"connection",
    b"expect",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}
# A message can't be sent without these, whatever its Connection header names.
REQUIRED_HEADERS = {b"content-length", b"host"}


# Limits for replies that are not passed on: their bytes, and their number before the expected one.
MAX_STRAY_BYTES = 1_048_576
MAX_STRAY_ANSWERS = 16
# Time to read the rest of a reply that is not passed on. When it is over, only the connection is
# lost.
SKIP_TIMEOUT_S = 0.25
# Limit for the body of a reply that announces no length.
MAX_UNANNOUNCED_BYTES = 67_108_864


class Step(enum.Enum):
    """How far an attempt got.

    ``WITHHELD`` replies were read but not passed on to the caller.
    """

    RELAYED = "relayed"
    WITHHELD = "withheld"
    SEND_FAILED = "send-failed"
    LOST_BEFORE_REPLY = "lost-before-reply"
    LOST_IN_REPLY = "lost-in-reply"
    BODY_BROKEN = "body-broken"
    CALLER_GONE = "caller-gone"


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """The progress of one attempt.

    ``is_sent`` says whether bytes of the request may have reached the other end. ``is_body_open``
    says whether the caller's body was read beyond the buffered prefix, so that it cannot be sent
    again, and ``awaits_caller`` whether its next part is awaited. ``head_at_s`` is when the reply's
    head came, in seconds on the node's clock. ``is_reply_begun`` says whether the caller was sent a
    part of the reply. ``reply_correlation`` says which request the reply names, and ``is_first``
    whether it is the first reply on its connection.
    """

    step: Step = Step.LOST_BEFORE_REPLY
    status: int = 0
    headers: exchange.Headers = dataclasses.field(default_factory=list)
    is_sent: bool = False
    is_body_open: bool = False
    awaits_caller: bool = False
    is_reply_begun: bool = False
    # Bytes of the reply's body that were handed to the caller's end.
    body_bytes: int = 0
    head_at_s: float | None = None
    reply_correlation: correlation.Correlation = correlation.Correlation.UNNAMED
    is_first: bool = True


# Returns the headers to send to the caller, or None to withhold the reply.
FilterReply = collections.abc.Callable[[int, exchange.Headers], exchange.Headers | None]
# Returns whether a reply names the request that was sent.
Correlate = collections.abc.Callable[[exchange.Headers], correlation.Correlation]


async def run(
    connection: pool.PooledConnection,
    call: exchange.Call,
    caller: exchange.Caller,
    *,
    extra_headers: exchange.Headers,
    filter_reply: FilterReply,
    attempt: Attempt,
    now: collections.abc.Callable[[], float],
    awaits_continue: bool = False,
    correlate: Correlate | None = None,
) -> None:
    """Send a request on a connection and pass its reply on.

    The attempt is updated as it proceeds, so that its progress is known when it is cancelled.

    :param connection: a connection to the target or to another node.
    :param call: the request.
    :param caller: the caller's end.
    :param extra_headers: headers to add.
    :param filter_reply: decides from the head of the reply whether it is passed on.
    :param attempt: receives the result.
    :param now: returns the node's clock in seconds.
    :param awaits_continue: whether to send the rest of the body only after a "100 Continue", so
        that a refused request can be sent elsewhere.
    :param correlate: recognises replies to other requests, which are skipped; without it, any
        reply is taken as the reply to this request.
    """
    if connection.conn is None:
        raise errors.InvariantError("a connection in use has no stream")
    conn = connection.conn
    attempt.is_sent = True
    liveness.record_awaiting(connection.state, now())
    head = h11.Request(
        method=call.method, target=call.path, headers=_list_headers(call, extra_headers)
    )
    events: list[h11.Event] = [head]
    if call.prefix:
        events.append(h11.Data(data=call.prefix))
    if call.is_body_buffered:
        events.append(h11.EndOfMessage())
    sent = await wire.send(conn, *events)
    if isinstance(sent, result.Failure):
        attempt.step = Step.SEND_FAILED
        return
    if call.is_body_buffered:
        await _relay_answer(
            connection, call, caller, filter_reply, attempt, trio.Event(), now, correlate
        )
        return
    proceed = trio.Event()
    if not awaits_continue:
        proceed.set()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _stream_request_body,
            connection,
            conn,
            caller,
            attempt,
            nursery.cancel_scope,
            proceed,
            now,
        )
        await _relay_answer(
            connection, call, caller, filter_reply, attempt, proceed, now, correlate
        )
        nursery.cancel_scope.cancel()
        # The deadline may pass before the other task has ended, but the attempt has its result.
        nursery.cancel_scope.shield = True


def filter_headers(headers: exchange.Headers) -> exchange.Headers:
    """Return the end-to-end headers, which may be passed on.

    :param headers: pairs with names in lower case.
    """
    connection_header = wire.find_header(headers, b"connection") or b""
    excluded = {name.strip().lower() for name in connection_header.split(b",")} - REQUIRED_HEADERS
    if wire.find_header(headers, b"transfer-encoding") is not None:
        # Chunked encoding overrides Content-Length (RFC 9112, section 6.3), which may be wrong.
        excluded.add(b"content-length")
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in excluded
    ]


def _list_headers(call: exchange.Call, extra_headers: exchange.Headers) -> exchange.Headers:
    """Return the headers to send, with chunked encoding for a body of unknown length."""
    headers = filter_headers(call.headers) + extra_headers
    if wire.find_header(headers, b"host") is None:
        # HTTP/1.0 has no mandatory Host header (RFC 9112, section 3.2).
        headers.append((b"host", b""))
    if call.length is None and not (call.is_body_buffered and not call.prefix):
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def _stream_request_body(
    connection: pool.PooledConnection,
    conn: wire.Wire,
    caller: exchange.Caller,
    attempt: Attempt,
    scope: trio.CancelScope,
    proceed: trio.Event,
    now: collections.abc.Callable[[], float],
) -> None:
    """Send the rest of the body once ``proceed`` is set; cancel ``scope`` if it breaks off."""
    await proceed.wait()
    while True:
        # A slow caller must not make the connection look silent.
        liveness.record_held_by_caller(connection.state)
        attempt.awaits_caller = True
        chunk = await caller.receive()
        attempt.awaits_caller = False
        liveness.record_awaiting(connection.state, now())
        if isinstance(chunk, result.Failure):
            # No end of the body is sent, so that the target cannot take it for complete.
            attempt.step = Step.BODY_BROKEN
            scope.cancel()
            return
        data = chunk.unwrap()
        # A wait that is cancelled takes nothing from the caller's end.
        attempt.is_body_open = attempt.is_body_open or bool(data)
        event = h11.Data(data=data) if data else h11.EndOfMessage()
        sent = await wire.send(conn, event)
        if isinstance(sent, result.Failure) or not data:
            return


async def _relay_answer(
    connection: pool.PooledConnection,
    call: exchange.Call,
    caller: exchange.Caller,
    filter_reply: FilterReply,
    attempt: Attempt,
    proceed: trio.Event,
    now: collections.abc.Callable[[], float],
    correlate: Correlate | None,
) -> None:
    """Receive the reply, and pass it on to the caller unless it is withheld."""
    conn = connection.conn
    assert conn is not None
    head = await _receive_head(connection, conn, call.method, proceed, correlate)
    if head is None:
        return
    liveness.record_progress(connection.state, now())
    connection.has_response_head = True
    attempt.head_at_s = now()
    attempt.status = head.status_code
    attempt.headers = list(head.headers)
    attempt.is_first = not (conn.is_reused or connection.must_close)
    if correlate is not None:
        attempt.reply_correlation = correlate(attempt.headers)
    headers = filter_reply(head.status_code, attempt.headers)
    if headers is None:
        attempt.step = Step.WITHHELD
        if correlate is not None:
            is_named = attempt.reply_correlation is correlation.Correlation.MATCH
            pool.record_refusal(connection, call.request_id, names_request=is_named)
        await _skip_answer(conn)
        return
    attempt.step = Step.LOST_IN_REPLY
    try:
        if not await caller.reply(head.status_code, headers):
            attempt.step = Step.CALLER_GONE
            return
        await _stream_reply_body(connection, conn, caller, attempt, now)
    finally:
        # The caller's end may have buffered the reply without sending any of it.
        attempt.is_reply_begun = caller.is_reply_begun()


async def _receive_head(
    connection: pool.PooledConnection,
    conn: wire.Wire,
    method: str,
    proceed: trio.Event,
    correlate: Correlate | None,
) -> h11.Response | None:
    """Return the head of the reply, skipping informational responses and replies to other requests.

    Returns ``None`` if the connection breaks, the reply is invalid or a limit is exceeded. A
    "100 Continue" sets ``proceed``.
    """
    bytes_before = conn.received_bytes
    for _ in range(MAX_STRAY_ANSWERS):
        received = await wire.receive(conn)
        if (
            isinstance(received, result.Failure)
            or conn.received_bytes - bytes_before > MAX_STRAY_BYTES
        ):
            return None
        event = received.unwrap()
        if isinstance(event, h11.Response):
            if measure_head(event) > wire.MAX_HEAD_BYTES:
                return None
            if (
                correlate is None
                or correlate(list(event.headers)) is not correlation.Correlation.MISMATCH
            ):
                return event
            connection.must_close = True
            await _skip_answer(conn)
            if not wire.prepare_another_response(conn, method):
                return None
            continue
        if not isinstance(event, h11.InformationalResponse):
            return None
        proceed.set()
    return None


def measure_head(head: h11.Response) -> int:
    """Return the size of a reply's headers in bytes.

    h11 bounds incomplete heads only; a head that arrives in a single read may be longer.

    :param head: the reply's head.
    """
    return sum(len(name) + len(value) + 4 for name, value in head.headers)


async def _stream_reply_body(
    connection: pool.PooledConnection,
    conn: wire.Wire,
    caller: exchange.Caller,
    attempt: Attempt,
    now: collections.abc.Callable[[], float],
) -> None:
    """Pass the body of a reply on to the caller, and set the attempt's step accordingly."""
    bytes_before = conn.received_bytes
    header_names = {name for name, _ in attempt.headers}
    is_length_announced = (
        b"content-length" in header_names and b"transfer-encoding" not in header_names
    )
    while True:
        liveness.record_awaiting(connection.state, now())
        received = await wire.receive(conn)
        if isinstance(received, result.Failure):
            return
        if not is_length_announced and conn.received_bytes - bytes_before > MAX_UNANNOUNCED_BYTES:
            return
        liveness.record_progress(connection.state, now())
        liveness.record_held_by_caller(connection.state)
        event = received.unwrap()
        if isinstance(event, h11.Data):
            is_caller_connected = await caller.write(bytes(event.data))
            attempt.body_bytes += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            is_caller_connected = await caller.finish()
            attempt.step = Step.RELAYED if is_caller_connected else Step.CALLER_GONE
            return
        else:
            return
        if not is_caller_connected:
            attempt.step = Step.CALLER_GONE
            return


async def _skip_answer(conn: wire.Wire) -> None:
    """Read a reply to its end, or to a limit beyond which the connection cannot be reused."""
    bytes_before = conn.received_bytes
    with trio.move_on_after(SKIP_TIMEOUT_S):
        while conn.received_bytes - bytes_before <= MAX_STRAY_BYTES:
            received = await wire.receive(conn)
            if isinstance(received, result.Failure):
                return
            if not isinstance(received.unwrap(), h11.Data):
                return
