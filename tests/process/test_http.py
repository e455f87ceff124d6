"""Tests of HTTP messages against peers that send without end."""

import collections.abc
import functools

import h11
import pytest
from returns import result
import trio
import trio.testing

from ebonyvalve import errors
from ebonyvalve.process import http

TIMEOUT_S = 1.0
FLOOD_PAUSE_S = 0.0005
TRICKLE_PAUSE_S = 0.05
MAX_BODY_BYTES = 262_144
# The limits are checked between reads, so that one read may exceed them.
SLACK_BYTES = 2 * http.READ_BYTES

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
LONG = b"Content-Length: 99999999999\r\n\r\n"
HINT = b"HTTP/1.1 103 Early Hints\r\n\r\n"


def build_connect(
    nursery: trio.Nursery, first: bytes, unit: bytes, pause_s: float, sent: list[int]
) -> collections.abc.Callable[[str], collections.abc.Awaitable[trio.abc.Stream]]:
    async def serve(stream: trio.abc.Stream) -> None:
        try:
            await stream.receive_some(http.READ_BYTES)
            await stream.send_all(first)
            while True:
                await trio.sleep(pause_s)
                await stream.send_all(unit)
                sent.append(len(unit))
        except trio.BrokenResourceError:
            return

    async def connect(_: str) -> trio.abc.Stream:
        client_side, server_side = trio.testing.lockstep_stream_pair()
        nursery.start_soon(serve, server_side)
        return client_side

    return connect


@pytest.mark.parametrize(
    ("first", "unit", "most_bytes"),
    [
        (b"", b"a", http.MAX_HEAD_BYTES),
        (OK + b"X-A: ", b"a", http.MAX_HEAD_BYTES),
        (OK, b"X-A: a\r\n", http.MAX_HEAD_BYTES),
        (b"", HINT, http.MAX_HEAD_BYTES),
        (OK + CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n", MAX_BODY_BYTES),
        (OK + CHUNKED, b"1;" + b"a" * 8_000 + b"\r\na\r\n", 2 * MAX_BODY_BYTES),
        (OK + CHUNKED + b"0\r\n", b"X-A: a\r\n", http.MAX_HEAD_BYTES),
        (OK + b"\r\n", b"a", MAX_BODY_BYTES),
    ],
)
async def test_endless_answer_is_read_to_a_limit(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    first: bytes,
    unit: bytes,
    most_bytes: int,
) -> None:
    """Guards against an endless answer that fills the memory.

    It may come in reply to a ping, a push, a probe or a call to the store.
    """
    sent: list[int] = []
    flood = unit * max(1, http.READ_BYTES // len(unit))
    connect = build_connect(nursery, first, flood, FLOOD_PAUSE_S, sent)
    request = http.Request(method="GET", path="/")
    replied = await http.fetch(
        connect, "a:1", request, timeout_s=TIMEOUT_S, max_bytes=MAX_BODY_BYTES
    )
    assert replied == result.Failure(http.HttpFailure.BROKEN)
    assert sum(sent) <= most_bytes + SLACK_BYTES


@pytest.mark.parametrize(
    ("first", "unit"),
    [(b"", b"a"), (OK, b"X-A: a\r\n"), (OK + CHUNKED, b"1\r\na\r\n"), (OK + b"\r\n", b"a")],
)
async def test_trickling_answer_is_read_for_a_limited_time(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, first: bytes, unit: bytes
) -> None:
    """Guards against an answer of single bytes, which never exceeds a limit of idle time."""
    connect = build_connect(nursery, first, unit, TRICKLE_PAUSE_S, [])
    request = http.Request(method="GET", path="/")
    started_at = trio.current_time()
    replied = await http.fetch(connect, "a:1", request, timeout_s=TIMEOUT_S)
    assert replied == result.Failure(http.HttpFailure.TIMEOUT)
    assert trio.current_time() - started_at <= TIMEOUT_S


async def refuse(_: http.Request) -> http.Reply | None:
    return http.Reply(status=404)


@pytest.mark.parametrize(
    ("first", "unit", "pause_s", "most_bytes", "most_s"),
    [
        (b"", b"a", FLOOD_PAUSE_S, http.MAX_HEAD_BYTES, 1.0),
        (POST, b"X-A: a\r\n", FLOOD_PAUSE_S, http.MAX_HEAD_BYTES, 1.0),
        (POST + b"X-A: a", b"\r\n a", FLOOD_PAUSE_S, http.MAX_HEAD_BYTES, 1.0),
        (POST + CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n", FLOOD_PAUSE_S, MAX_BODY_BYTES, 1.0),
        (POST + CHUNKED, b"1;%s\r\na\r\n" % (b"a" * 8_000), FLOOD_PAUSE_S, 2 * MAX_BODY_BYTES, 1.0),
        (POST + CHUNKED + b"0\r\n", b"X-A: a\r\n", FLOOD_PAUSE_S, http.MAX_HEAD_BYTES, 1.0),
        (POST + LONG, b"a", FLOOD_PAUSE_S, MAX_BODY_BYTES, 1.0),
        (POST, b"X-A: a\r\n", 1.0, http.MAX_HEAD_BYTES, http.IDLE_TIMEOUT_S),
        (POST + LONG, b"a", TRICKLE_PAUSE_S, MAX_BODY_BYTES, http.IDLE_TIMEOUT_S),
        (POST + CHUNKED, b"1\r\na\r\n", TRICKLE_PAUSE_S, MAX_BODY_BYTES, http.IDLE_TIMEOUT_S),
    ],
)
async def test_endless_request_is_read_to_a_limit(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    first: bytes,
    unit: bytes,
    pause_s: float,
    most_bytes: int,
    most_s: float,
) -> None:
    """Guards against an endless report, probe or request of an operator that fills the memory."""
    client_side, server_side = trio.testing.lockstep_stream_pair()
    nursery.start_soon(functools.partial(http.serve, refuse, server_side, max_bytes=MAX_BODY_BYTES))
    nursery.start_soon(client_side.receive_some, http.READ_BYTES)
    is_flood = pause_s == FLOOD_PAUSE_S
    data = unit * max(1, http.READ_BYTES // len(unit)) if is_flood else unit
    sent = 0
    started_at = trio.current_time()
    with pytest.raises(trio.BrokenResourceError):
        await client_side.send_all(first)
        while trio.current_time() - started_at <= most_s + 1.0:
            await trio.sleep(pause_s)
            await client_side.send_all(data)
            sent += len(data)
    assert trio.current_time() - started_at <= most_s + 2 * pause_s
    assert sent <= most_bytes + SLACK_BYTES


@pytest.mark.parametrize("method", [b"HEAD", b"CONNECT", b"GET"])
@pytest.mark.parametrize(
    "rest",
    [
        pytest.param(b"Content-Length: 9\r\n\r\na", id="cut"),
        pytest.param(b"Content-Length: 99\r\n\r\n" + b"a" * 99, id="too-long"),
        pytest.param(CHUNKED + b"zz\r\n", id="malformed"),
    ],
)
async def test_refused_request_does_not_end_the_process(method: bytes, rest: bytes) -> None:
    """Guards against an exception from the refusal of a HEAD request, which may have no body."""
    client_side, server_side = trio.testing.memory_stream_pair()
    await client_side.send_all(method + b" /x HTTP/1.1\r\nHost: x\r\n" + rest)
    await client_side.send_eof()
    await http.serve(refuse, server_side, max_bytes=16)
    reply = bytes(await client_side.receive_some())
    assert reply.startswith((b"HTTP/1.1 400", b"HTTP/1.1 413"))


async def test_tiny_pieces_let_other_tasks_run() -> None:
    """Guards against a read with thousands of chunks that blocks the event loop."""
    client_side, server_side = trio.testing.memory_stream_pair()
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    protocol.send(h11.EndOfMessage())
    await server_side.send_all(OK + CHUNKED + b"1\r\na\r\n" * 5000 + b"0\r\n\r\n")
    checkpoints = 0

    async def watch() -> None:
        nonlocal checkpoints
        while True:
            await trio.lowlevel.checkpoint()
            checkpoints += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        _, body = await http.receive_message(client_side, protocol)
        nursery.cancel_scope.cancel()
    assert len(body) == 5000
    assert checkpoints > 50


@pytest.mark.parametrize(
    ("exc", "is_raised"), [(KeyError("report"), False), (errors.InvariantError("broken"), True)]
)
async def test_exception_of_a_request_ends_its_connection_only(
    autojump_clock: trio.testing.MockClock, exc: Exception, is_raised: bool
) -> None:
    """Guards against a bug in the answer to one message that ends the process.

    A violated invariant still does.
    """

    async def fail(_: http.Request) -> http.Reply:
        raise exc

    near, far = trio.testing.memory_stream_pair()
    await near.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    if is_raised:
        with pytest.raises(errors.InvariantError):
            await http.serve(fail, far)
    else:
        await http.serve(fail, far)
    assert await near.receive_some(1) == b""
