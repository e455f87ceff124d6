"""Tests of replies from other nodes that break off, and of what the caller gets."""

import collections.abc
import dataclasses
import functools

import h11
import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import node as node_module
from ebonyvalve.request import attempt, buffering, exchange, front, origin, outcome, reachability
from tests.request import test_origin

REQUEST = b"GET /orders/1 HTTP/1.1\r\nHost: x\r\n\r\n"
SMALL = 1000
# Larger than the reply buffer, so that the caller gets the beginning before the reply is complete.
LARGE = buffering.MAX_BUFFERED_BYTES + 100_000
# The usual size of a download, which used to be passed on from 64 KiB on.
DOWNLOAD = 90_000
SWEEP_S = 0.25

Script = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]


def build_answer(size: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size


async def answer(stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(SMALL))


async def break_off(stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(SMALL)[:-1])
    await stream.aclose()


async def refuse_to_serve(stream: trio.abc.Stream) -> None:
    await stream.aclose()


async def stall(stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(SMALL)[:-1])


async def answer_with_two_lengths(stream: trio.abc.Stream) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    await stream.send_all(head + b"6\r\nsixsix\r\n0\r\n\r\n")


async def answer_in_two_parts(stream: trio.abc.Stream) -> None:
    whole = build_answer(LARGE)
    await stream.send_all(whole[:-10_000])
    await trio.sleep(3.0)
    await stream.send_all(whole[-10_000:])


async def answer_slowly(stream: trio.abc.Stream) -> None:
    whole = build_answer(SMALL)
    for first in range(0, len(whole), 150):
        await stream.send_all(whole[first : first + 150])
        await trio.sleep(0.5)


async def answer_late(stream: trio.abc.Stream) -> None:
    await trio.sleep(2.5)
    await stream.send_all(build_answer(SMALL))


async def freeze(_: trio.abc.Stream) -> None:
    await trio.sleep_forever()


async def refuse_as_full(stream: trio.abc.Stream) -> None:
    head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    await stream.send_all(head + b"Ebonyvalve-Refused: not-run:queue-full\r\n\r\n")


def build_mesh(
    nursery: trio.Nursery, scripts: list[Script], *, level: float = 9.0
) -> origin.Origin:
    """Return a node whose peers answer requests by the scripts in turn, and ignore pings.

    ``level`` is how many extra attempts its retry budget holds.
    """
    entry = test_origin.build_origin(level)
    remaining = list(scripts)

    async def serve(stream: trio.abc.Stream) -> None:
        first = bytes(await stream.receive_some())
        if reachability.PING_PATH.encode() not in first:
            await remaining.pop(0)(stream)

    async def connect(_: str) -> trio.abc.Stream:
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(serve, theirs)
        return ours

    entry.peers.connect = connect
    return entry


async def check_peers(entry: origin.Origin) -> None:
    state = reachability.Monitor(node=entry.node, peers=entry.peers, connect=entry.peers.connect)
    while True:
        await trio.sleep(SWEEP_S)
        await reachability.check_peers(state)
        await pool.sweep(entry.peers, p99_s=attempt.TYPICAL_P99_S)


async def ask(
    monkeypatch: pytest.MonkeyPatch,
    scripts: list[Script],
    *,
    is_repeatable: bool,
    level: float = 9.0,
    max_attempts: int = 2,
) -> tuple[int, int]:
    """Return the status that a caller gets and the size of the body; 0 if there is no reply."""
    monkeypatch.setattr(origin, "resolve", lambda *_: None)
    head = origin.RequestHead(request_id="r1", host="x", timeout_s=None, key_slot=None)

    def parse(_: front.Front, __: h11.Request) -> exchange.Call:
        call = test_origin.build_call(is_repeatable=is_repeatable)
        call.headers = [(b"host", b"x")]
        call.deadline_at_s = trio.current_time() + 5.0
        assert call.rules is not None
        call.rules = dataclasses.replace(call.rules, max_attempts=max_attempts)
        return call

    async def handle(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        return await origin.handle(entry, call, caller, head)

    near, far = trio.testing.memory_stream_pair()
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    http.send(h11.EndOfMessage())
    status, size = 0, 0
    async with trio.open_nursery() as nursery:
        entry = build_mesh(nursery, scripts, level=level)
        listener = front.Front(
            now=trio.current_time,
            handle=handle,
            find_limits=lambda service: (5.0, 1000),
            is_hop=False,
            parse=parse,
            coalesces_head=True,
        )
        nursery.start_soon(functools.partial(front.serve, listener, far))
        nursery.start_soon(check_peers, entry)
        await near.send_all(REQUEST)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = bytes(await near.receive_some())
                if not data:
                    status = 0
                    break
                http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
            else:
                break
        nursery.cancel_scope.cancel()
    return status, size


@pytest.mark.parametrize("fail", [break_off, stall])
async def test_request_with_a_buffered_reply_is_retried(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, fail: Script
) -> None:
    """Guards against closing the caller's connection when a hop breaks off after the reply's head.

    Issue 15. A buffered reply has not begun at the caller, so the request can be retried.
    """
    received = await ask(monkeypatch, [fail, answer], is_repeatable=True)
    assert received == (200, SMALL)


async def break_off_download(stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(DOWNLOAD)[:-1])
    await stream.aclose()


async def answer_download(stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(DOWNLOAD))


@pytest.mark.parametrize(
    ("scripts", "received"),
    [
        ([break_off_download, answer_download], (200, DOWNLOAD)),
        ([break_off_download, break_off_download], (502, 0)),
    ],
)
async def test_download_that_breaks_off_is_retried_or_reported(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    scripts: list[Script],
    received: tuple[int, int],
) -> None:
    """Guards against closing the caller's connection in the middle of a download (issue 31)."""
    status, size = await ask(monkeypatch, scripts, is_repeatable=True)
    assert (status, size if status == 200 else 0) == received


@pytest.mark.parametrize("fail", [break_off, stall])
async def test_broken_reply_to_a_non_idempotent_request_is_reported(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, fail: Script
) -> None:
    """Guards against a missing reply when the hop of a non-idempotent request breaks off.

    Issue 15: the caller's connection was closed without a reply after the hop had sent the head.
    """
    status, _ = await ask(monkeypatch, [fail], is_repeatable=False)
    assert status == 502


@pytest.mark.parametrize(
    ("scripts", "level", "max_attempts"),
    [
        pytest.param([answer_late], 0.0, 2, id="retry-budget-spent"),
        pytest.param([answer_late], 9.0, 1, id="last-attempt-of-the-route"),
        pytest.param([refuse_as_full] * 3 + [answer_late], 9.0, 2, id="no-other-node-left"),
    ],
)
async def test_request_that_cannot_be_sent_again_survives_missed_pings(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    scripts: list[Script],
    level: float,
    max_attempts: int,
) -> None:
    """Guards against aborting a request at a busy node when no other attempt can follow.

    Issue 21: repeatable requests ended with 502 while their answers were on the way.
    """
    received = await ask(
        monkeypatch, scripts, is_repeatable=True, level=level, max_attempts=max_attempts
    )
    assert received == (200, SMALL)


async def test_request_that_can_be_sent_again_does_not_wait_for_an_unreachable_node(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests that wait for a frozen node although another one can answer."""
    received = await ask(monkeypatch, [freeze, answer], is_repeatable=True)
    assert received == (200, SMALL)
    assert trio.current_time() < 2.0


@pytest.mark.parametrize(("script", "size"), [(answer_in_two_parts, LARGE), (answer_slowly, SMALL)])
async def test_begun_reply_survives_missed_pings(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    script: Script,
    size: int,
) -> None:
    """Guards against cutting a reply that has begun at its caller when a busy node misses a ping.

    Issue 15.
    """
    received = await ask(monkeypatch, [script], is_repeatable=True)
    assert received == (200, size)


@pytest.mark.parametrize(
    ("script", "is_caller_there", "is_passed_by"),
    [(answer, False, False), (break_off, True, False), (refuse_to_serve, True, True)],
)
async def test_node_is_avoided_only_for_its_own_failures(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    script: Script,
    is_caller_there: bool,
    is_passed_by: bool,
) -> None:
    """Guards against avoiding a node because of its callers or its target.

    A caller that left, or a target that broke off, had the node's keys refused for 0.3 s.
    """

    async def take(*_: object) -> bool:
        return is_caller_there

    entry = build_mesh(nursery, [script])
    call = test_origin.build_call(is_repeatable=True)
    call.headers = [(b"host", b"x")]
    caller = dataclasses.replace(
        test_origin.NO_CALLER, reply=take, write=take, finish=take, is_gone=lambda: False
    )
    view = node_module.read_view(entry.node, test_origin.NAMES[0])
    await origin._forward(entry, call, caller, test_origin.NAMES[0], view)
    assert (view.avoid_until > trio.current_time()) is is_passed_by


async def receive_request(
    *, joins_head: bool
) -> tuple[trio.abc.Stream, wire.Wire, exchange.Caller]:
    """Return the caller's stream, the connection and the caller's end of a request."""
    near, far = trio.testing.memory_stream_pair()
    conn = wire.open_server(far)
    await near.send_all(REQUEST)
    for _ in range(2):
        # The head and the end of the request.
        await wire.receive(conn)
    listener = front.Front(
        now=trio.current_time,
        handle=None,  # type: ignore[arg-type]
        find_limits=lambda service: (5.0, 1000),
        is_hop=False,
        coalesces_head=joins_head,
    )
    incoming = front.Incoming(conn=conn, front=listener, max_body_bytes=1000)
    return near, conn, front.build_caller(incoming)


@pytest.mark.parametrize("joins_head", [True, False])
async def test_cancelled_beginning_of_a_reply_is_replaced_completely(joins_head: bool) -> None:
    """Guards against a reply with the head of one attempt and the body of the next.

    The first attempt was cancelled in the same scheduler step in which its reply became too large
    to be buffered.
    """
    near, _, caller = await receive_request(joins_head=joins_head)
    buffered = buffering.buffer_reply(caller, buffering.Buffer(usage=buffering.Usage()))
    first = b"first" * buffering.MAX_BUFFERED_BYTES
    length = str(len(first)).encode()
    with trio.CancelScope() as scope:
        scope.cancel()
        await buffered.reply(200, [(b"content-length", length), (b"x-response-seal", b"first")])
        await buffered.write(first)
        await buffered.finish()
    assert scope.cancelled_caught and not caller.is_reply_begun()
    await buffered.reply(200, [(b"content-length", b"6"), (b"x-response-seal", b"second")])
    assert await buffered.write(b"second") and await buffered.finish()
    received = bytes(await near.receive_some())
    assert b"x-response-seal: second" in received.lower()
    assert received.endswith(b"\r\n\r\nsecond")
    assert b"first" not in received


@pytest.mark.parametrize("joins_head", [True, False])
async def test_whole_reply_is_sent_although_it_is_cancelled(joins_head: bool) -> None:
    """Guards against a refusal in place of a reply that was whole when its deadline passed."""
    near, conn, caller = await receive_request(joins_head=joins_head)
    buffer = buffering.Buffer(usage=buffering.Usage())
    buffered = buffering.buffer_reply(caller, buffer)
    with trio.CancelScope() as scope:
        scope.cancel()
        await buffered.reply(200, [(b"content-length", b"5")])
        assert await buffered.write(b"whole") and await buffered.finish()
    assert buffer.is_taken and wire.is_reusable(conn)
    received = bytes(await near.receive_some())
    while not received.endswith(b"whole"):
        received += bytes(await near.receive_some())


@pytest.mark.parametrize("is_repeatable", [True, False])
async def test_chunked_reply_is_passed_on_without_content_length(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, is_repeatable: bool
) -> None:
    """Guards against passing on Content-Length beside a chunked body.

    The caller's connection was closed without a reply.
    """
    received = await ask(monkeypatch, [answer_with_two_lengths], is_repeatable=is_repeatable)
    assert received == (200, len(b"sixsix"))
