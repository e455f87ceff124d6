"""An HTTP/1.1 server of the platform stand-in, and its client.

Every operation is a POST with a JSON object; bytes are encoded in base64. ``/faults`` injects
faults into the server.
"""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import time
import typing

import defopt
import h11
import msgspec
from returns import result
import trio

from ebonyvalve.process import http, platform

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_CONNECTIONS = 256
# Shorter than the server's http.IDLE_TIMEOUT_S, so that a request is seldom sent on a connection
# that the server is closing.
CLIENT_IDLE_S = 20.0


class ReadRequest(msgspec.Struct, kw_only=True):
    """Asks for one row."""

    key: str


class RowReply(msgspec.Struct, kw_only=True):
    """A row of the table."""

    value: bytes
    version: int


class ScanRequest(msgspec.Struct, kw_only=True):
    """Asks for the rows whose keys begin with a prefix."""

    prefix: str


class ScanReply(msgspec.Struct, kw_only=True):
    """The rows found, by key."""

    rows: dict[str, RowReply]


class CommitRequest(msgspec.Struct, kw_only=True):
    """A conditional write; see :class:`platform.Table`."""

    expected: dict[str, int]
    writes: dict[str, bytes | None]


class CommitReply(msgspec.Struct, kw_only=True):
    """The result of a conditional write."""

    state: platform.CommitState


class GetRequest(msgspec.Struct, kw_only=True):
    """Asks for an object."""

    name: str


class PutRequest(msgspec.Struct, kw_only=True):
    """Writes an object."""

    name: str
    body: bytes


class BodyReply(msgspec.Struct, kw_only=True):
    """The body of an object."""

    body: bytes


class Empty(msgspec.Struct, kw_only=True):
    """A reply with no content."""


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults to inject, which replace those in force.

    ``delay_s`` is the delay of every operation in seconds, and ``is_down`` makes every operation
    fail. ``lost_replies`` is how many of the next commits are applied although their replies are
    lost.
    """

    delay_s: float = 0.0
    is_down: bool = False
    lost_replies: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A status code and a body. ``None`` as status closes the connection without a reply."""

    status: int | None
    body: msgspec.Struct = dataclasses.field(default_factory=Empty)


Answer = typing.TypeVar("Answer", bound=msgspec.Struct)
Operation = collections.abc.Callable[[bytes], collections.abc.Awaitable[Reply]]


@dataclasses.dataclass(kw_only=True, eq=False)
class Connection:
    """A connection of the client, and since when it is idle on the monotonic clock."""

    stream: trio.SocketStream
    protocol: h11.Connection
    idle_since_s: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Client:
    """State of a client. ``limiter`` bounds its concurrent operations."""

    host: str
    port: int
    timeout_s: float
    limiter: trio.CapacityLimiter
    idle: list[Connection] = dataclasses.field(default_factory=list)


async def serve(
    memory: platform.Memory,
    *,
    host: str,
    port: int,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until cancelled; report the bound port through ``task_status``.

    :param memory: the state, which a test may also change directly.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 picks one.
    """
    operations = _list_operations(memory)
    limiter = trio.CapacityLimiter(MAX_CONNECTIONS)

    async def accept(stream: trio.SocketStream) -> None:
        try:
            limiter.acquire_nowait()
        except trio.WouldBlock:
            return
        try:
            respond = functools.partial(_respond, operations)
            await http.serve(respond, stream, max_bytes=MAX_BODY_BYTES)
        finally:
            limiter.release()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(functools.partial(trio.serve_tcp, accept, port, host=host))
        task_status.started(listeners[0].socket.getsockname()[1])


@contextlib.asynccontextmanager
async def open_client(
    *, host: str, port: int, timeout_s: float = 2.0, connections: int = 16
) -> collections.abc.AsyncIterator[platform.Platform]:
    """Yield the platform services of a server.

    :param host: IP address of the server.
    :param port: its port.
    :param timeout_s: seconds after which an operation is given up.
    :param connections: the maximum number of concurrent operations.
    """
    client = Client(
        host=host, port=port, timeout_s=timeout_s, limiter=trio.CapacityLimiter(connections)
    )
    try:
        yield _build_platform(client)
    finally:
        with trio.CancelScope(shield=True):
            for connection in client.idle:
                await trio.aclose_forcefully(connection.stream)


async def set_faults(*, host: str, port: int, faults: Faults) -> bool:
    """Replace the faults of a server; return whether it accepted them.

    :param host: IP address of the server.
    :param port: its port.
    :param faults: the faults to inject.
    """
    client = Client(host=host, port=port, timeout_s=5.0, limiter=trio.CapacityLimiter(1))
    answer = await _call(client, "/faults", faults)
    for connection in client.idle:
        await trio.aclose_forcefully(connection.stream)
    return answer is not None and answer[0] == 200


def run(*, host: str = "127.0.0.1", port: int = 7070) -> None:
    """Serve an empty platform stand-in.

    :param host: IP address to listen on.
    :param port: port to listen on.
    """
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s %(message)s")

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(
                functools.partial(serve, platform.Memory(), host=host, port=port)
            )
            log.info("serving the platform stand-in on %s:%d", host, bound)

    with contextlib.suppress(KeyboardInterrupt):
        trio.run(main)


def _list_operations(memory: platform.Memory) -> dict[str, Operation]:
    services = platform.open_memory(memory)

    async def read(body: bytes) -> Reply:
        request = msgspec.json.decode(body, type=ReadRequest)
        answer = await services.table.read(request.key)
        if not isinstance(answer, result.Success):
            return _refuse(answer.failure())
        return Reply(status=200, body=_pack_row(answer.unwrap()))

    async def scan(body: bytes) -> Reply:
        request = msgspec.json.decode(body, type=ScanRequest)
        answer = await services.table.scan(request.prefix)
        if not isinstance(answer, result.Success):
            return _refuse(answer.failure())
        rows = {key: _pack_row(row) for key, row in answer.unwrap().items()}
        return Reply(status=200, body=ScanReply(rows=rows))

    async def commit(body: bytes) -> Reply:
        request = msgspec.json.decode(body, type=CommitRequest)
        state = await services.table.commit(request.expected, request.writes)
        if state is platform.CommitState.UNKNOWN:
            return Reply(status=None)
        return Reply(status=200, body=CommitReply(state=state))

    async def get(body: bytes) -> Reply:
        request = msgspec.json.decode(body, type=GetRequest)
        answer = await services.objects.get(request.name)
        if not isinstance(answer, result.Success):
            return _refuse(answer.failure())
        return Reply(status=200, body=BodyReply(body=answer.unwrap()))

    async def put(body: bytes) -> Reply:
        request = msgspec.json.decode(body, type=PutRequest)
        answer = await services.objects.put(request.name, request.body)
        if not isinstance(answer, result.Success):
            return _refuse(answer.failure())
        return Reply(status=200)

    async def change_faults(body: bytes) -> Reply:
        faults = msgspec.json.decode(body, type=Faults)
        memory.delay_s = faults.delay_s
        memory.is_down = faults.is_down
        memory.lost_replies = faults.lost_replies
        log.info("faults set to %s", faults)
        return Reply(status=200)

    return {
        "/table/read": read,
        "/table/scan": scan,
        "/table/commit": commit,
        "/objects/get": get,
        "/objects/put": put,
        "/faults": change_faults,
    }


def _refuse(failure: platform.StoreFailure) -> Reply:
    return Reply(status=404 if failure is platform.StoreFailure.MISSING else 503)


def _pack_row(row: platform.Row) -> RowReply:
    return RowReply(value=row.value, version=row.version)


def _unpack_row(row: RowReply) -> platform.Row:
    return platform.Row(value=row.value, version=row.version)


async def _respond(operations: dict[str, Operation], request: http.Request) -> http.Reply | None:
    operate = operations.get(request.path)
    if operate is None:
        return _encode(Reply(status=404))
    if request.method != "POST":
        return _encode(Reply(status=405))
    try:
        return _encode(await operate(request.body))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        log.info("malformed request to %s: %s", request.path, error)
        return _encode(Reply(status=400))


def _encode(reply: Reply) -> http.Reply | None:
    if reply.status is None:
        return None
    return http.Reply(status=reply.status, body=msgspec.json.encode(reply.body))


def _build_platform(client: Client) -> platform.Platform:
    async def read(key: str) -> platform.RowResult:
        answer = await _ask(client, "/table/read", ReadRequest(key=key), RowReply)
        return answer.map(_unpack_row)

    async def scan(prefix: str) -> platform.RowsResult:
        answer = await _ask(client, "/table/scan", ScanRequest(prefix=prefix), ScanReply)
        return answer.map(lambda reply: {key: _unpack_row(row) for key, row in reply.rows.items()})

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        # Without a decoded reply it is unknown whether the write was applied. It is never resent
        # here, since the caller has to read first.
        request = CommitRequest(expected=expected, writes=writes)
        answer = await _ask(client, "/table/commit", request, CommitReply)
        return answer.map(lambda reply: reply.state).value_or(platform.CommitState.UNKNOWN)

    async def get(name: str) -> platform.BodyResult:
        answer = await _ask(client, "/objects/get", GetRequest(name=name), BodyReply)
        return answer.map(lambda reply: reply.body)

    async def put(name: str, body: bytes) -> platform.PutResult:
        answer = await _ask(client, "/objects/put", PutRequest(name=name, body=body), Empty)
        return answer.map(lambda _: None)

    return platform.Platform(
        table=platform.Table(read=read, scan=scan, commit=commit),
        objects=platform.ObjectStore(get=get, put=put),
    )


async def _ask(
    client: Client, path: str, request: msgspec.Struct, kind: type[Answer]
) -> result.Result[Answer, platform.StoreFailure]:
    answer = await _call(client, path, request)
    if answer is None:
        return result.Failure(platform.StoreFailure.UNAVAILABLE)
    status, body = answer
    if status == 404:
        return result.Failure(platform.StoreFailure.MISSING)
    if status != 200:
        return result.Failure(platform.StoreFailure.UNAVAILABLE)
    try:
        return result.Success(msgspec.json.decode(body, type=kind))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        log.warning("malformed reply from %s: %s", path, error)
        return result.Failure(platform.StoreFailure.UNAVAILABLE)


async def _call(client: Client, path: str, request: msgspec.Struct) -> tuple[int, bytes] | None:
    """Return status and body of the reply, or ``None`` if no complete reply came in time."""
    with trio.move_on_after(client.timeout_s):
        try:
            async with client.limiter:
                return await _exchange(client, path, request)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            log.info("no reply from %s:%d%s: %r", client.host, client.port, path, error)
            return None
    log.info("no reply from %s:%d%s in time", client.host, client.port, path)
    return None


async def _exchange(client: Client, path: str, request: msgspec.Struct) -> tuple[int, bytes]:
    connection = _pop_idle(client)
    if connection is None:
        stream = await trio.open_tcp_stream(client.host, client.port)
        connection = Connection(stream=stream, protocol=h11.Connection(h11.CLIENT))
    is_reusable = False
    try:
        data = msgspec.json.encode(request)
        headers = [
            ("host", f"{client.host}:{client.port}"),
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
        ]
        head = h11.Request(method="POST", target=path, headers=headers)
        await http.send_message(connection.stream, connection.protocol, head, data)
        response, body = await http.receive_message(
            connection.stream, connection.protocol, max_bytes=MAX_BODY_BYTES
        )
        if not isinstance(response, h11.Response):
            raise trio.BrokenResourceError("connection closed before the reply")
        is_reusable = connection.protocol.our_state is h11.DONE
        is_reusable = is_reusable and connection.protocol.their_state is h11.DONE
        return response.status_code, body
    finally:
        # A connection is not reused after an incomplete exchange, since its late reply would be
        # taken for the reply to the next request.
        if is_reusable:
            connection.protocol.start_next_cycle()
            connection.idle_since_s = time.monotonic()
            client.idle.append(connection)
        else:
            await trio.aclose_forcefully(connection.stream)


def _pop_idle(client: Client) -> Connection | None:
    while client.idle:
        connection = client.idle.pop()
        # An idle connection becomes readable when the server closes it. A request on it would fail,
        # and a commit must not be resent.
        unread, _ = connection.protocol.trailing_data
        is_usable = not unread and not connection.stream.socket.is_readable()
        if is_usable and time.monotonic() - connection.idle_since_s < CLIENT_IDLE_S:
            return connection
        connection.stream.socket.close()
    return None


if __name__ == "__main__":
    defopt.run(run)
