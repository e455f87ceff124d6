"""Tests of the HTTP server against malformed input and hostile callers."""

import functools
import socket

import hypothesis
import hypothesis.strategies as st
import pytest
import trio
import trio.testing

from ebonyvalve import errors
from ebonyvalve.request import dispatch, exchange, front, origin, outcome

MAX_BODY_BYTES = 20_000
GOOD = b"GET /calendrier/salle-1/slots HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer_all(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
    """Read the body and answer with its length."""
    size = len(call.prefix)
    while not call.is_body_buffered:
        chunk = await caller.receive()
        data = chunk.value_or(None)
        if data is None:
            return outcome.unknown(outcome.Reason.BODY_BROKEN)
        size += len(data)
        call.is_body_buffered = not data
    await caller.reply(200, [(b"content-length", str(len(str(size))).encode())])
    await caller.write(str(size).encode())
    await caller.finish()
    return outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)


def build_front(**fields: int) -> front.Front:
    return front.Front(
        now=trio.current_time,
        handle=answer_all,
        find_limits=lambda service: (1.0, MAX_BODY_BYTES),
        is_hop=False,
        **fields,
    )


async def exchange_bytes(listener: front.Front, data: bytes, *, ends: bool = True) -> bytes:
    """Send bytes on one connection and return everything received before it closes."""
    near, far = trio.testing.memory_stream_pair()
    received = bytearray()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(front.serve, listener, far))
        await near.send_all(data)
        if ends:
            await near.send_eof()
        while True:
            try:
                part = await near.receive_some(65_536)
            except trio.BrokenResourceError:
                break
            if not part:
                break
            received += part
    return bytes(received)


async def receive_reply(stream: trio.abc.Stream) -> bool:
    """Return whether a whole reply to ``GOOD`` is received."""
    received = b""
    while not received.endswith(b"\r\n\r\n0"):
        try:
            part = bytes(await stream.receive_some())
        except trio.BrokenResourceError:
            return False
        if not part:
            return False
        received += part
    return received.startswith(b"HTTP/1.1 200")


MALFORMED = [
    pytest.param(b"nonsense\r\n\r\n", b"400", id="not-http"),
    pytest.param(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"400", id="no-key"),
    pytest.param(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", b"400", id="no-service"),
    pytest.param(b"GET * HTTP/1.1\r\nHost: x\r\n\r\n", b"400", id="no-path"),
    pytest.param(b"GET /a/b HTTP/1.1\r\n\r\n", b"400", id="no-host"),
    pytest.param(
        b"GET /a/b HTTP/1.1\r\nHost: x\r\nEbonyvalve-Deadline-Ms: soon\r\n\r\n",
        b"400",
        id="deadline",
    ),
    pytest.param(
        b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 20001\r\n\r\n",
        b"400",
        id="body-too-long",
    ),
    pytest.param(
        b"GET /a/b HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000 + b"\r\n\r\n", b"400", id="long-head"
    ),
    pytest.param(
        b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", b"400", id="negative"
    ),
]


@pytest.mark.parametrize(("data", "status"), MALFORMED)
async def test_malformed_request_is_refused(
    data: bytes, status: bytes, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against malformed requests that get no answer or reach the handler."""
    reply = await exchange_bytes(build_front(), data)
    assert reply.startswith(b"HTTP/1.1 " + status), reply[:100]
    assert b"ebonyvalve-outcome: not-run" in reply


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize(("is_hop", "is_accepted"), [(False, False), (True, True)])
async def test_body_is_checked_where_it_enters(
    autojump_clock: trio.testing.MockClock, framing: str, is_hop: bool, is_accepted: bool
) -> None:
    """Guards against refusing a body that another node has accepted by another configuration.

    Beside a change of the limit, its caller was told 400 by the second node.
    """
    body = b"x" * (MAX_BODY_BYTES + 1)
    head = b"POST /a/b HTTP/1.1\r\nHost: x\r\n"
    if framing == "length":
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    else:
        chunk = b"%x\r\n%s\r\n" % (len(body), body)
        data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    listener = build_front()
    listener.is_hop = is_hop
    reply = await exchange_bytes(listener, data)
    assert (b"HTTP/1.1 200" in reply) is is_accepted


@pytest.mark.parametrize(
    "head",
    [
        # Refused by the listener, then by the handler.
        b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n",
        b"HEAD /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 20001\r\n\r\n",
        b"HEAD /a/b HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
@pytest.mark.parametrize("coalesces_head", [False, True])
async def test_head_request_is_refused_without_a_body(
    autojump_clock: trio.testing.MockClock, head: bytes, coalesces_head: bool
) -> None:
    """Guards against closing the connection of a HEAD request without an answer."""

    async def refuse(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        refusal = outcome.refuse(outcome.Reason.QUEUE_FULL)
        await origin.send_refusal(caller, refusal, 0.0)
        return refusal

    listener = build_front(coalesces_head=coalesces_head)
    listener.handle = refuse
    reply = await exchange_bytes(listener, head)
    assert reply.startswith((b"HTTP/1.1 400", b"HTTP/1.1 503")), reply
    assert b"content-length:" in reply and reply.endswith(b"\r\n\r\n")


async def test_pipelined_requests_are_answered_in_order(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an answer that goes to another request of the same connection."""
    first = b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    reply = await exchange_bytes(build_front(), first + GOOD)
    assert [part[-1:] for part in reply.split(b"HTTP/1.1 200")[1:]] == [b"3", b"0"]


async def test_caller_that_sends_ahead_is_not_taken_for_gone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against taking a caller that sends ahead for one that has left.

    After 32 KB of further data its request was cancelled and the connection closed without a reply.
    """

    async def answer_if_there(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        with trio.move_on_after(1.0):
            await caller.wait_gone()
            return outcome.unknown(outcome.Reason.CALLER_GONE)
        return await answer_all(call, caller)

    listener = build_front()
    listener.handle = answer_if_there
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD)
        await trio.sleep(0.1)
        await near.send_all(GOOD * 1000)
        assert bytes(await near.receive_some()).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()


async def test_answer_that_is_cancelled_before_a_byte_is_sent_has_not_begun(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a connection that is closed without a reply instead of a 504.

    A reply that came at the deadline was cancelled before any byte was sent, and counted as begun.
    """

    async def answer_late(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        with trio.CancelScope() as scope:
            scope.cancel()
            await answer_all(call, caller)
        assert not caller.is_reply_begun()
        return await answer_all(call, caller)

    listener = build_front()
    listener.handle = answer_late
    assert (await exchange_bytes(listener, GOOD)).startswith(b"HTTP/1.1 200")


async def test_idle_connection_is_closed(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against connections that a caller opens and never uses."""
    start_s = trio.current_time()
    assert await exchange_bytes(build_front(), b"", ends=False) == b""
    assert trio.current_time() - start_s == pytest.approx(front.HEAD_TIMEOUT_S)


async def test_head_that_begins_within_the_idle_time_is_read_to_its_end(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a connection that is closed without a reply in the middle of a head.

    The idle time covered the whole head, so that one that began at its end had no time to arrive.
    """
    listener = build_front()
    listener.read_timeouts = lambda: front.Timeouts(idle_s=5.0)
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD)
        assert await receive_reply(near)
        await trio.sleep(4.9)
        await near.send_all(GOOD[:10])
        await trio.sleep(0.2)
        await near.send_all(GOOD[10:])
        assert await receive_reply(near)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("before_s", "after_s"), [(5.0, 5.0), (5.0, 20.0), (20.0, 5.0)])
async def test_changed_idle_time_applies_to_idle_connections(
    autojump_clock: trio.testing.MockClock, before_s: float, after_s: float
) -> None:
    """Guards against closing a connection on whose idle time its caller may still rely.

    A time-out that became longer had no effect on connections that were idle already.
    """
    timeout_s = before_s
    listener = build_front()
    listener.read_timeouts = lambda: front.Timeouts(idle_s=timeout_s)
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD)
        assert await receive_reply(near)
        started_at = trio.current_time()
        await trio.sleep(1.0)
        timeout_s = after_s
        assert not await receive_reply(near)
        assert trio.current_time() - started_at == pytest.approx(max(before_s, after_s))


async def test_request_that_arrives_as_the_idle_time_ends_is_read(
    mock_clock: trio.testing.MockClock,
) -> None:
    """Guards against closing a connection over a request that lies unread in the kernel.

    A busy process learns of the request and of the end of the idle time in the same pass.
    """
    listener = build_front()
    pair = socket.socketpair()
    near, far = (trio.SocketStream(trio.socket.from_stdlib_socket(sock)) for sock in pair)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD)
        assert await receive_reply(near)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(2 * front.IDLE_TIMEOUT_S)
        pair[0].send(GOOD)
        assert await receive_reply(near)
        nursery.cancel_scope.cancel()
    near.socket.close()


async def test_head_that_never_ends_is_cut_off(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a caller that occupies a connection by never finishing a head."""
    start_s = trio.current_time()
    assert await exchange_bytes(build_front(), GOOD[:10], ends=False) == b""
    assert trio.current_time() - start_s == pytest.approx(front.HEAD_TIMEOUT_S)


async def test_slow_body_is_cut_off(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a caller that occupies a slot by never finishing its body."""
    head = b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n" + b"x" * 100
    start_s = trio.current_time()
    await exchange_bytes(build_front(), head, ends=False)
    assert trio.current_time() - start_s <= front.BODY_STALL_S + front.LINGER_S + 0.1


@pytest.mark.parametrize("in_nursery", [False, True])
async def test_exception_of_a_request_is_answered_and_ends_nothing_else(
    autojump_clock: trio.testing.MockClock, in_nursery: bool
) -> None:
    """Guards against a bug in the handling of one request that ends the process."""
    is_broken = True

    async def fail(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        if not is_broken:
            return await answer_all(call, caller)
        if not in_nursery:
            raise KeyError("service")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_later)
        raise AssertionError("not reached")

    async def fail_later() -> None:
        raise KeyError("service")

    listener = build_front()
    listener.handle = fail
    reply = await exchange_bytes(listener, GOOD)
    assert reply.startswith(b"HTTP/1.1 502")
    assert b"ebonyvalve-outcome: unknown" in reply
    assert not listener.conns and not front.is_busy(listener)
    is_broken = False
    assert (await exchange_bytes(listener, GOOD)).startswith(b"HTTP/1.1 200")


async def test_violated_invariant_ends_the_process(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a process that goes on in a state that it must not have."""

    async def fail(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        raise errors.InvariantError("impossible")

    listener = build_front()
    listener.handle = fail
    with pytest.raises(ExceptionGroup) as raised:
        await exchange_bytes(listener, GOOD)
    assert raised.value.subgroup(errors.InvariantError)


async def test_connections_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that open more connections than the node can handle."""
    listener = build_front(max_connections=1)
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await trio.testing.wait_all_tasks_blocked()
        assert await exchange_bytes(listener, GOOD) == b""
        await near.aclose()
        await trio.testing.wait_all_tasks_blocked()
        assert b"200" in await exchange_bytes(listener, GOOD)
        nursery.cancel_scope.cancel()


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(data=st.one_of(st.binary(max_size=400), st.data()))
def test_no_input_ends_the_process(data: object) -> None:
    """Guards against input that raises an exception, which would end the process."""
    raw = data if isinstance(data, bytes) else mutate(data)
    trio.run(exchange_bytes, build_front(), raw, clock=trio.testing.MockClock(autojump_threshold=0))


def mutate(data: object) -> bytes:
    """Return a valid request with a few bytes replaced."""
    request = bytearray(b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" + GOOD)
    changes = st.lists(
        st.tuples(st.integers(0, len(request) - 1), st.integers(0, 255)), min_size=1, max_size=4
    )
    for place, value in data.draw(changes):  # type: ignore[attr-defined]
        request[place] = value
    return bytes(request)


@pytest.mark.parametrize(
    "unit", [b"1\r\na\r\n", b"1;" + b"a" * 1000 + b"\r\na\r\n"], ids=["chunks", "extensions"]
)
async def test_trickling_body_does_not_hold_a_connection(
    autojump_clock: trio.testing.MockClock, unit: bytes
) -> None:
    """Guards against a caller that occupies a connection by sending its body byte by byte.

    Each part may take some seconds, so that the first 4096 bytes took 11 hours.
    """
    near, far = trio.testing.memory_stream_pair()
    listener = build_front()

    async def trickle() -> None:
        await near.send_all(b"POST /a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            await near.send_all(unit)
            await trio.sleep(front.BODY_STALL_S / 2)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trickle)
        with trio.move_on_after(2 * front.BODY_STALL_S + front.LINGER_S) as scope:
            await front.serve(listener, far)
        nursery.cancel_scope.cancel()
    assert not scope.cancelled_caught


@pytest.mark.parametrize(
    ("headers", "length"),
    [
        ([], 0),
        ([(b"content-length", b"5")], 5),
        ([(b"transfer-encoding", b"chunked")], None),
        ([(b"content-length", b"5"), (b"transfer-encoding", b"chunked")], None),
    ],
)
def test_chunks_override_a_length(headers: exchange.Headers, length: int | None) -> None:
    """Guards against passing on Content-Length, which may be wrong, beside a chunked body."""
    assert front.find_length(headers) == length
    assert (b"content-length", b"5") not in dispatch.filter_headers(headers) or length == 5


POST = b"POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabcdef"
BODY_AT = len(POST) - 6


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(
    ("before", "after"),
    [
        pytest.param(b"", GOOD, id="nothing"),
        pytest.param(GOOD[:20], GOOD[20:], id="part-of-head"),
        pytest.param(POST[:BODY_AT], POST[BODY_AT:], id="head"),
        pytest.param(POST[: BODY_AT + 3], POST[BODY_AT + 3 :], id="part-of-body"),
    ],
)
async def test_request_that_arrives_during_a_stop_is_refused(
    autojump_clock: trio.testing.MockClock, before: bytes, after: bytes, is_kept: bool
) -> None:
    """Guards against a stop that closes a connection on which a request arrives."""
    listener = build_front()
    near, far = trio.testing.memory_stream_pair()
    received = bytearray()

    async def read() -> None:
        while part := await near.receive_some(65_536):
            received.extend(part)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        nursery.start_soon(read)
        if is_kept:
            await near.send_all(GOOD)
            await trio.sleep(0.1)
        await near.send_all(before)
        await trio.sleep(0.1)
        front.stop(listener)
        await trio.sleep(0.1)
        await near.send_all(after)
        await trio.sleep(0.1)
        await near.send_eof()
    replies = received.split(b"HTTP/1.1 ")[1:]
    assert [reply[:3] for reply in replies] == ([b"200"] if is_kept else []) + [b"503"]
    assert b"ebonyvalve-outcome: not-run" in replies[-1]
    assert b"retry-after: 1" in replies[-1]
    assert b"connection: close" in replies[-1].lower()


async def test_answers_during_a_stop_ask_the_caller_to_leave(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against kept connections that are used until the process ends."""
    listener = build_front()
    front.announce_close(listener)
    reply = await exchange_bytes(listener, GOOD)
    assert reply.startswith(b"HTTP/1.1 200") and b"connection: close" in reply.lower()


@pytest.mark.parametrize("sent", [0, 1, 20, len(GOOD), BODY_AT + len(GOOD), len(GOOD + POST) - 1])
async def test_connection_with_a_part_of_a_request_is_busy(
    autojump_clock: trio.testing.MockClock, sent: int
) -> None:
    """Guards against a process that ends while the head or body of a request arrives."""
    listener = build_front()
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all((GOOD + POST)[:sent])
        await trio.sleep(0.1)
        assert front.is_busy(listener) is (sent not in (0, len(GOOD)))
        await near.send_all((GOOD + POST)[sent:])
        await trio.sleep(0.1)
        assert not front.is_busy(listener)
        nursery.cancel_scope.cancel()


async def serve_on_sockets(listener: front.Front, data: bytes) -> bytes:
    """Send bytes on a TCP connection, pause, and return what can be read before it closes."""
    received = bytearray()
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = listeners[0].socket.getsockname()
        nursery.start_soon(
            trio.serve_listeners, functools.partial(front.serve, listener), listeners
        )
        near = await trio.open_tcp_stream(*address)
        await near.send_all(data)
        # The caller reads late, when the server has closed its end.
        await trio.sleep(0.2)
        while part := await near.receive_some(65_536):
            received.extend(part)
        await near.aclose()
        nursery.cancel_scope.cancel()
    return bytes(received)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(POST[:BODY_AT].replace(b" 6", b" 19000") + b"a" * 19_000, b"200", id="body"),
        pytest.param(GOOD + GOOD * 2000, b"200", id="further-requests"),
        pytest.param(b"nonsense\r\n\r\n" + b"a" * 200_000, b"400", id="malformed"),
        pytest.param(
            POST[:BODY_AT].replace(b" 6", b" 200000") + b"a" * 200_000, b"400", id="too-long"
        ),
    ],
)
async def test_last_answer_survives_unread_bytes(data: bytes, status: bytes) -> None:
    """Guards against a close with unread bytes, whose reset destroys the answer before it."""

    async def answer_early(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        await caller.reply(200, [(b"content-length", b"0")])
        await caller.finish()
        return outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)

    listener = build_front()
    listener.handle = answer_early
    front.announce_close(listener)
    reply = await serve_on_sockets(listener, data)
    assert reply.startswith(b"HTTP/1.1 " + status)


async def test_caller_that_keeps_its_connection_does_not_delay_the_stop(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a stop that waits for callers to close connections that are of no use."""
    listener = build_front()
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        front.stop(listener)
        await near.send_all(GOOD)
        await trio.sleep(0.1)
        assert front.is_quiet(listener)
        nursery.cancel_scope.cancel()


async def test_head_that_is_half_there_at_the_end_is_refused(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a connection that is closed unanswered at the end of the grace period."""
    listener = build_front()
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD[:20])
        front.stop(listener)
        await trio.sleep(0.1)
        front.cut_off(listener)
        reply = bytes(await near.receive_some(4096))
        assert reply.startswith(b"HTTP/1.1 503") and b"retry-after: 1" in reply
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_cut", [False, True], ids=["malformed", "cut-at-the-end"])
async def test_refusal_of_a_head_does_not_depend_on_the_request_before(
    autojump_clock: trio.testing.MockClock, is_cut: bool
) -> None:
    """Guards against closing unanswered: a refusal after a HEAD request was left without a body."""
    listener = build_front()
    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve, listener, far)
        await near.send_all(GOOD.replace(b"GET", b"HEAD", 1))
        await trio.sleep(0.1)
        assert bytes(await near.receive_some(4096)).startswith(b"HTTP/1.1 200")
        await near.send_all(GOOD[:20] if is_cut else b"GET /a/b HTTP/9 x\r\n\r\n")
        if is_cut:
            await trio.sleep(0.1)
            front.stop(listener)
            front.cut_off(listener)
        reply = bytes(await near.receive_some(4096))
        assert reply.startswith(b"HTTP/1.1 503" if is_cut else b"HTTP/1.1 400"), reply
        nursery.cancel_scope.cancel()
