"""HTTP/1.1 on one stream for servers and clients, based on h11."""

import contextlib
import dataclasses
import enum
import math
import select
import socket
import struct

import h11
from returns import result
import trio

from ebonyvalve.connection import pipeline

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65_536
MAX_HEAD_BYTES = 32_768
# The status codes of HTTP are 100 to 599 (RFC 9110, section 15).
MAX_STATUS = 599
# One read may return thousands of tiny chunks; other tasks get a turn after this many events.
MAX_EVENTS_BEFORE_YIELD = 32
# Offset and format of ``tcpi_last_data_recv`` in ``struct tcp_info`` of Linux, in milliseconds.
LAST_DATA_OFFSET = 52
LAST_DATA = struct.Struct("=I")
# Limit for short writes that go on although the request has been cancelled, such as the end of an
# answer whose body has been sent. It is less than a process that stops has left for its exit.
MAX_SHIELDED_WRITE_S = 0.2
# A caller that takes nothing of an answer for this long is given up if no deadline is in force, so
# that it can't hold the memory and the place of a connection for ever.
MAX_WRITE_S = 30.0
# Writes under that limit are split into parts of this size, so that slow callers show progress.
MAX_PART_BYTES = 16_384
# Value of SO_LINGER (``struct linger``) with which close() resets the connection.
RESET_ON_CLOSE = struct.pack("=ii", 1, 0)


class WireFailure(enum.Enum):
    """Why a message could not be read or written.

    ``TIMEOUT`` is for writes only; callers of this module bound the time of reads themselves.
    """

    CLOSED = "closed"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"


# Compared by identity, so that connections can be members of a set.
@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Wire:
    """One HTTP/1.1 connection.

    ``received_bytes`` tells a slow connection from a silent one. ``is_writing`` stays true if a
    write is cancelled, as the peer may have received a part of it. ``is_head_request`` says that
    the request that was read last asks for the head of a response only. ``is_draining`` is set when
    the last reply has been sent and further bytes of the peer are discarded. ``arrivals`` is set by
    the first bytes that a server side reads behind a request that it is serving. ``left_at_s`` is
    when the peer's close was noticed first, on Trio's clock.
    """

    stream: trio.abc.Stream
    http: h11.Connection
    received_bytes: int = 0
    is_reused: bool = False
    is_writing: bool = False
    is_head_request: bool = False
    is_draining: bool = False
    # Events read since other tasks had a turn.
    events_since_yield: int = 0
    # One task may read a body while another sends the response; both may have to write.
    sending: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    arrivals: pipeline.Arrivals | None = None
    left_at_s: float | None = None


EventResult = result.Result[h11.Event | type[h11.PAUSED], WireFailure]
SendResult = result.Result[None, WireFailure]


def open_server(stream: trio.abc.Stream) -> Wire:
    """Return the server side of a connection.

    :param stream: an accepted stream.
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    return Wire(stream=stream, http=http)


def open_client(stream: trio.abc.Stream) -> Wire:
    """Return the client side of a connection.

    :param stream: a connected stream.
    """
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    return Wire(stream=stream, http=http)


def record_left(wire: Wire) -> None:
    """Remember that the peer has closed the connection.

    :param wire: the connection.
    """
    if wire.left_at_s is None:
        wire.left_at_s = trio.current_time()


async def receive(wire: Wire) -> EventResult:
    """Return the next event of the connection.

    The result is :attr:`WireFailure.CLOSED` if the peer closes in the middle of a message or the
    connection is lost, and :attr:`WireFailure.MALFORMED` for invalid HTTP.

    :param wire: the connection.
    """
    while True:
        if wire.events_since_yield >= MAX_EVENTS_BEFORE_YIELD:
            wire.events_since_yield = 0
            await trio.lowlevel.checkpoint()
        wire.events_since_yield += 1
        try:
            event = wire.http.next_event()
        except h11.RemoteProtocolError:
            is_truncated = wire.http.their_state is h11.ERROR and wire.http.trailing_data[1]
            return result.Failure(WireFailure.CLOSED if is_truncated else WireFailure.MALFORMED)
        if isinstance(event, h11.Request):
            wire.is_head_request = event.method == b"HEAD"
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            # h11 itself rejects lower ones only.
            return result.Failure(WireFailure.MALFORMED)
        if event is not h11.NEED_DATA:
            return result.Success(event)  # type: ignore[arg-type]
        if wire.http.they_are_waiting_for_100_continue and not await send_continue(wire):
            return result.Failure(WireFailure.CLOSED)
        try:
            data = await wire.stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            record_left(wire)
            return result.Failure(WireFailure.CLOSED)
        if not data:
            record_left(wire)
        wire.events_since_yield = 0
        wire.received_bytes += len(data)
        wire.http.receive_data(bytes(data))


async def wait_for_message(wire: Wire) -> None:
    """Wait for the first bytes of the peer's next message, or for its close.

    :param wire: a connection between two messages.
    """
    if wire.http.trailing_data[0]:
        return
    try:
        data = await wire.stream.receive_some(READ_BYTES)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # receive() reports it.
        return
    wire.events_since_yield = 0
    wire.received_bytes += len(data)
    wire.http.receive_data(bytes(data))


def poll(wire: Wire) -> h11.Event | None:
    """Return the next body event if it has been received already, without waiting.

    :param wire: the connection.
    """
    if wire.events_since_yield >= MAX_EVENTS_BEFORE_YIELD:
        return None
    wire.events_since_yield += 1
    try:
        event = wire.http.next_event()
    except h11.RemoteProtocolError:
        # h11 keeps the error in its state and raises it again in the next receive().
        return None
    return event if isinstance(event, h11.Data | h11.EndOfMessage) else None


def is_closed_by_peer(wire: Wire) -> bool:
    """Return whether the peer has closed the connection, without waiting.

    The close is detected even behind unread bytes, which stay unread: they may be a body, the next
    request, or meant for another task that reads.

    :param wire: the connection.
    """
    stream = wire.stream
    if not isinstance(stream, trio.SocketStream):
        return False
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def notice_close(wire: Wire) -> bool:
    """Return whether the peer has closed the connection, and remember it if so.

    :param wire: the connection.
    """
    is_closed = is_closed_by_peer(wire)
    if is_closed:
        record_left(wire)
    return is_closed


def is_quiet(wire: Wire) -> bool:
    """Return whether the peer neither closed an idle connection nor sent unsolicited bytes on it.

    :param wire: a client side without a request in flight.
    """
    stream = wire.stream
    is_readable = isinstance(stream, trio.SocketStream) and stream.socket.is_readable()
    return not is_readable and has_no_trailing_data(wire)


def has_unread(wire: Wire) -> bool:
    """Return whether a peer that is still connected has sent bytes that weren't read.

    :param wire: a server side between two requests.
    """
    if is_closed_by_peer(wire):
        return False
    stream = wire.stream
    is_readable = isinstance(stream, trio.SocketStream) and stream.socket.is_readable()
    return is_readable or bool(wire.http.trailing_data[0])


def is_between_requests(wire: Wire) -> bool:
    """Return whether no byte of a request was read since the last exchange ended.

    :param wire: a server side.
    """
    is_idle = wire.http.their_state is h11.IDLE and wire.http.our_state is h11.IDLE
    return is_idle and has_no_trailing_data(wire)


def has_no_trailing_data(wire: Wire) -> bool:
    """Return whether no bytes and no close follow the message that was read last.

    :param wire: a client side on which one exchange has ended.
    """
    trailing, is_closed = wire.http.trailing_data
    return not trailing and not is_closed


def read_data_age(wire: Wire) -> float:
    """Return how many seconds ago the kernel received the peer's last bytes, 0 if unknown.

    A process that is short of CPU time reads them later than they arrive.

    :param wire: the connection.
    """
    stream = wire.stream
    if not isinstance(stream, trio.SocketStream):
        return 0.0
    size = LAST_DATA_OFFSET + LAST_DATA.size
    try:
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        # The socket is not TCP or has been closed.
        return 0.0
    if len(info) < size:
        return 0.0
    (age_ms,) = LAST_DATA.unpack_from(info, LAST_DATA_OFFSET)
    return float(age_ms) / 1000


async def send(wire: Wire, *events: h11.Event) -> SendResult:
    """Write events in one call of the stream; the body of a response to HEAD is left out.

    The result is :attr:`WireFailure.CLOSED` if the connection is closed or an earlier write was
    cancelled, :attr:`WireFailure.MALFORMED` if an event is not allowed in the connection's state,
    and :attr:`WireFailure.TIMEOUT` if a caller does not take what is written.

    :param wire: the connection.
    :param events: the events to write, in order.
    """
    try:
        # acquire() yields to the scheduler even if the lock is free, which costs a turn per write.
        if wire.sending.locked():
            await wire.sending.acquire()
        else:
            wire.sending.acquire_nowait()
        try:
            if wire.is_writing:
                return result.Failure(WireFailure.CLOSED)
            if wire.http.our_state is not h11.SEND_BODY:
                # The last check for a cancellation before h11 counts the message as begun. Later
                # events may write nothing, like the end of a body whose length was announced.
                await trio.lowlevel.checkpoint_if_cancelled()
            is_late_end = _is_end_of_answer(wire, events) and _is_cancelled()
            parts = [
                wire.http.send(event)
                for event in events
                if not (wire.is_head_request and isinstance(event, h11.Data))
            ]
            data = b"".join(part for part in parts if part)
            if data and not await _write(wire, data, is_shielded=is_late_end):
                return result.Failure(WireFailure.TIMEOUT)
        finally:
            wire.sending.release()
    except h11.LocalProtocolError:
        return result.Failure(WireFailure.MALFORMED)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        record_left(wire)
        return result.Failure(WireFailure.CLOSED)
    return result.Success(None)


def _is_cancelled() -> bool:
    """Return whether the next checkpoint of the current task raises ``trio.Cancelled``."""
    return trio.current_effective_deadline() == -math.inf


def _is_end_of_answer(wire: Wire, events: tuple[h11.Event, ...]) -> bool:
    """Return whether events only end an answer whose body has been sent."""
    is_begun = wire.http.our_role is h11.SERVER and wire.http.our_state is h11.SEND_BODY
    return is_begun and isinstance(events[0], h11.EndOfMessage)


async def _write(wire: Wire, data: bytes, *, is_shielded: bool = False) -> bool:
    """Write bytes; return whether the peer took them in time.

    Shielded writes go on if the request is cancelled. Others end with the deadline of the request,
    or, if none is in force, when a caller takes nothing any more.
    """
    wire.is_writing = True
    if is_shielded:
        with trio.move_on_after(MAX_SHIELDED_WRITE_S, shield=True):
            await wire.stream.send_all(data)
            wire.is_writing = False
        return not wire.is_writing
    is_limited = trio.current_effective_deadline() < math.inf
    if is_limited or wire.http.our_role is h11.CLIENT:
        await wire.stream.send_all(data)
    elif not await _write_while_taken(wire, data):
        return False
    wire.is_writing = False
    return True


async def _write_while_taken(wire: Wire, data: bytes) -> bool:
    """Write bytes in parts, each of which has a limit; return whether the peer took all."""
    for first in range(0, len(data), MAX_PART_BYTES):
        with trio.move_on_after(MAX_WRITE_S) as scope:
            await wire.stream.send_all(data[first : first + MAX_PART_BYTES])
        if scope.cancelled_caught:
            return False
    return True


async def send_continue(wire: Wire) -> bool:
    """Send ``100 Continue`` unless the response has begun; return whether the peer is connected.

    :param wire: a server side.
    """
    async with wire.sending:
        if wire.http.our_state is not h11.SEND_RESPONSE:
            return True
        data = wire.http.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            # A refusal behind a part of it could not be read.
            return await _write(wire, data or b"", is_shielded=True)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False


async def wait_closed(wire: Wire) -> None:
    """Return when the peer closes the connection; data that arrives before that is kept.

    An unread request body is left to the task that forwards it.

    :param wire: a server side on which the head of the request was read.
    """
    if wire.http.their_state is h11.SEND_BODY or not await read_until_closed(wire):
        await wait_for_hangup(wire)
    record_left(wire)


async def read_until_closed(wire: Wire) -> bool:
    """Read until the peer closes the connection; return whether it did.

    The result is ``False`` once more than ``MAX_HEAD_BYTES`` are buffered.

    :param wire: a server side on which no other task reads.
    """
    while len(wire.http.trailing_data[0]) <= MAX_HEAD_BYTES:
        try:
            data = await wire.stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return True
        if not data:
            return True
        wire.http.receive_data(bytes(data))
    return False


async def wait_for_hangup(wire: Wire) -> None:
    """Return when the peer closes the connection, without reading.

    Only sockets report it; for other streams this waits until it is cancelled.

    :param wire: the connection.
    """
    stream = wire.stream
    if not isinstance(stream, trio.SocketStream):
        await trio.sleep_forever()
        return
    try:
        epoll = select.epoll()
    except OSError:
        # No file descriptor is left; the deadline of the request ends the wait.
        await trio.sleep_forever()
        return
    # trio waits for a readable socket, but unread bytes may be there already. An epoll descriptor
    # can be waited for like a socket, and is readable only when the peer has closed.
    with epoll:
        epoll.register(stream.socket.fileno(), select.EPOLLRDHUP)
        await trio.lowlevel.wait_readable(epoll.fileno())
    record_left(wire)


def recycle(wire: Wire) -> bool:
    """Prepare the connection for the next request; return whether it can serve one.

    :param wire: a connection on which one exchange has ended.
    """
    if not is_reusable(wire):
        return False
    wire.http.start_next_cycle()
    wire.is_head_request = False
    wire.is_reused = True
    return True


def is_reusable(wire: Wire) -> bool:
    """Return whether one exchange has ended and another may follow it on the connection.

    :param wire: the connection.
    """
    is_ended = wire.http.our_state is h11.DONE and wire.http.their_state is h11.DONE
    return is_ended and not wire.is_writing


def prepare_another_response(wire: Wire, method: str) -> bool:
    """Prepare a client side for another response to the request that it has sent.

    The response that was read last belonged to an earlier request. Returns whether the connection
    can still be used.

    :param wire: a connection whose request has been sent in full.
    :param method: the request's method, which decides whether its response has a body.
    """
    if wire.http.our_state is not h11.DONE or wire.http.their_state is not h11.DONE:
        return False
    trailing, is_closed = wire.http.trailing_data
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    # h11 accepts a response only after a request of its own; the real request was sent already.
    http.send(h11.Request(method=method, target="/", headers=[("host", "-")]))
    http.send(h11.EndOfMessage())
    if trailing:
        http.receive_data(trailing)
    wire.http = http
    return not is_closed


async def drain(wire: Wire) -> None:
    """Announce the close of the connection, and discard what the peer sends until it closes too.

    A close with unread bytes resets the connection, and the peer may lose a reply that it has not
    read yet. The caller bounds the time.

    :param wire: a server side that has sent its last reply.
    """
    wire.is_draining = True
    stream = wire.stream
    try:
        if isinstance(stream, trio.abc.HalfCloseableStream):
            await stream.send_eof()
        while await stream.receive_some(READ_BYTES):
            pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The peer has closed the connection already.
        return


async def close(wire: Wire) -> None:
    """Close the connection at once, without completing a message that is being sent.

    The connection of an incomplete response to HTTP/1.0 is reset: the response may be framed by the
    end of the connection only, so that the client would take an orderly close for its end.

    :param wire: the connection.
    """
    stream = wire.stream
    http = wire.http
    is_incomplete = http.our_state is h11.SEND_BODY or wire.is_writing
    is_old = (http.their_http_version or b"1.1") < b"1.1"
    if is_incomplete and is_old and isinstance(stream, trio.SocketStream):
        with contextlib.suppress(OSError):
            # The socket may be closed already.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name.

    :param headers: pairs of name and value, names in lower case.
    :param name: the name in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None
