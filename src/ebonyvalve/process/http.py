"""HTTP/1.1 server and client for small messages, whose bodies are held in memory.

Operators, targets and the platform stand-in use them. Requests of callers are streamed and use
``connection.wire`` instead.
"""

import collections.abc
import dataclasses
import enum
import logging

import h11
from returns import result
import trio

from ebonyvalve import errors
from ebonyvalve.process import network

log = logging.getLogger(__name__)

READ_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
# Also bounds the informational responses before the final one.
MAX_HEAD_BYTES = 65_536
# One read may bring thousands of tiny chunks. A checkpoint after this many lets other tasks run.
EVENTS_PER_CHECKPOINT = 32
IDLE_TIMEOUT_S = 60.0
# Limit for the handling of a request and the sending of its response.
RESPONSE_TIMEOUT_S = 60.0
# A response to HEAD has no body, and one to CONNECT ends HTTP on the connection.
UNSUPPORTED_METHODS = (b"HEAD", b"CONNECT")


class HttpFailure(enum.Enum):
    """Why a request got no response."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request with its complete body."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A response with its complete body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Respond = collections.abc.Callable[[Request], collections.abc.Awaitable[Reply | None]]


async def serve(
    respond: Respond, stream: trio.abc.Stream, *, max_bytes: int = MAX_BODY_BYTES
) -> None:
    """Serve one connection until it ends, or until a request takes too long to come or to answer.

    The time of a request to come includes the wait for its beginning.

    :param respond: returns the reply to a request; ``None`` closes the connection without one.
    :param stream: the accepted connection.
    :param max_bytes: maximum length of the body in bytes.
    """
    protocol = h11.Connection(h11.SERVER)
    is_open = True
    try:
        while is_open:
            request: Request | None = None
            with trio.move_on_after(IDLE_TIMEOUT_S):
                request = await _receive_request(stream, protocol, max_bytes)
            is_open = False
            if request is not None:
                with trio.move_on_after(RESPONSE_TIMEOUT_S):
                    is_open = await _answer(respond, stream, protocol, request)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    except Exception as exc:
        if errors.is_invariant_violated(exc):
            raise
        # A bug that one request meets must not end the process and the requests of all callers.
        log.exception("request-failed")
    finally:
        await trio.aclose_forcefully(stream)


async def _receive_request(
    stream: trio.abc.Stream, protocol: h11.Connection, max_bytes: int
) -> Request | None:
    """Return the next request, or ``None`` if the connection ends or the request was refused."""
    try:
        head, body = await receive_message(stream, protocol, max_bytes=max_bytes)
    except h11.RemoteProtocolError as exc:
        if protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            # Without a body, as the method may be HEAD.
            await _send(stream, protocol, Reply(status=exc.error_status_hint), is_last=True)
        return None
    if not isinstance(head, h11.Request):
        return None
    if head.method in UNSUPPORTED_METHODS:
        await _send(stream, protocol, Reply(status=405), is_last=True)
        return None
    return Request(method=head.method.decode(), path=head.target.decode(), body=body)


async def _answer(
    respond: Respond, stream: trio.abc.Stream, protocol: h11.Connection, request: Request
) -> bool:
    """Answer a request; return whether the connection can serve another one."""
    reply = await respond(request)
    if reply is None:
        return False
    await _send(stream, protocol, reply)
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True


async def _send(
    stream: trio.abc.Stream, protocol: h11.Connection, reply: Reply, *, is_last: bool = False
) -> None:
    headers = [
        ("content-type", reply.content_type),
        ("content-length", str(len(reply.body))),
        *reply.headers,
    ]
    if is_last:
        headers.append(("connection", "close"))
    head = h11.Response(status_code=reply.status, headers=headers)
    await send_message(stream, protocol, head, reply.body)


async def send_message(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    head: h11.Request | h11.Response,
    body: bytes,
) -> None:
    """Send a complete message in one write.

    :param stream: the connection.
    :param protocol: its protocol state.
    :param head: the head, which states the length of the body.
    :param body: the complete body.
    """
    events = [head, h11.Data(data=body), h11.EndOfMessage()]
    await stream.send_all(b"".join(protocol.send(event) or b"" for event in events))


async def fetch(
    connect: network.Connect,
    address: str,
    request: Request,
    *,
    timeout_s: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> result.Result[Reply, HttpFailure]:
    """Make one request on a new connection.

    :param connect: opens a connection.
    :param address: ``IP:port`` of the server.
    :param request: the request to send.
    :param timeout_s: seconds within which the response must be complete.
    :param max_bytes: maximum length of the body in bytes.
    """
    with trio.move_on_after(timeout_s):
        try:
            stream = await connect(address)
        except (OSError, trio.BrokenResourceError):
            return result.Failure(HttpFailure.UNREACHABLE)
        try:
            return await _exchange(stream, address, request, max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return result.Failure(HttpFailure.BROKEN)
        finally:
            # The time-out must not discard a reply that is whole.
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
    return result.Failure(HttpFailure.TIMEOUT)


async def _exchange(
    stream: trio.abc.Stream, address: str, request: Request, max_bytes: int
) -> result.Result[Reply, HttpFailure]:
    protocol = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("content-length", str(len(request.body))), *request.headers]
    head_sent = h11.Request(method=request.method, target=request.path, headers=headers)
    await send_message(stream, protocol, head_sent, request.body)
    head, body = await receive_message(stream, protocol, max_bytes=max_bytes)
    if not isinstance(head, h11.Response):
        return result.Failure(HttpFailure.BROKEN)
    return result.Success(Reply(status=head.status_code, body=body))


async def receive_message(
    stream: trio.abc.Stream, protocol: h11.Connection, *, max_bytes: int = MAX_BODY_BYTES
) -> tuple[h11.Request | h11.Response | None, bytes]:
    """Read a complete message; the head is ``None`` if the connection ended before it.

    :param stream: the connection.
    :param protocol: its protocol state.
    :param max_bytes: maximum length of the body in bytes.
    :raises h11.RemoteProtocolError: if the message is malformed, cut off or too large.
    """
    head: h11.Request | h11.Response | None = None
    body = bytearray()
    received = 0
    events = 0
    while True:
        events += 1
        if events % EVENTS_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            # The framing of a chunked body may be many times as long as the body.
            max_received = MAX_HEAD_BYTES if head is None else MAX_HEAD_BYTES + 2 * max_bytes
            if received > max_received:
                raise h11.RemoteProtocolError("message too large", error_status_hint=413)
            data = bytes(await stream.receive_some(READ_BYTES))
            received += len(data)
            protocol.receive_data(data)
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_bytes:
                raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        elif isinstance(event, h11.EndOfMessage):
            return head, bytes(body)
        elif not isinstance(event, h11.InformationalResponse):
            return None, b""
