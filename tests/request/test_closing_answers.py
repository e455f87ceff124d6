"""Tests of answers after which a connection closes although requests behind them run."""

import collections.abc
import contextlib
import dataclasses
import functools

import pytest
import trio
import trio.testing

from ebonyvalve.connection import pipeline
from ebonyvalve.process import http, identity
from ebonyvalve.request import (
    attempt,
    buffering,
    delivery,
    exchange,
    front,
    origin,
    outcome,
)
from tests.request import test_ahead, test_cut_answers, test_front_log, test_handler, test_origin

ANSWERED = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)
# The time-out of the requests that have one.
TIMEOUT_S = 1.0
WITH_TIMEOUT = f"Ebonyvalve-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n"
# Streamed, as it is larger than the buffer of a reply.
LARGE = buffering.MAX_BUFFERED_BYTES + 40_000
# Streamed while the buffers of the node are full.
MEDIUM = buffering.MIN_STREAMED_BYTES + 5_000

Write = collections.abc.Callable[[bytes], collections.abc.Awaitable[None]]
Change = collections.abc.Callable[[Write], Write]
Script = collections.abc.Callable[[str, trio.abc.Stream], collections.abc.Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class Node:
    """A listener in front of targets that answer by scripts.

    ``scripts`` has those of requests by id. ``asked`` are the ids that reached a target, in order.
    """

    world: test_ahead.World
    entry: origin.Origin
    scripts: dict[str, Script]
    far: trio.abc.Stream
    asked: list[str] = dataclasses.field(default_factory=list)


def build_answer(name: str, size: int = 0) -> bytes:
    body = f"[{name}]".encode() + b"x" * size
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def answer(name: str, stream: trio.abc.Stream) -> None:
    await stream.send_all(build_answer(name))


def answer_after(seconds: float, data: bytes | None = None, *, closes: bool = False) -> Script:
    """Return a script that answers after some time, and may close the connection then."""

    async def script(name: str, stream: trio.abc.Stream) -> None:
        await trio.sleep(seconds)
        await stream.send_all(build_answer(name) if data is None else data)
        if closes:
            await stream.aclose()

    return script


def replace_send(stream: trio.abc.Stream, change: Change) -> None:
    """Replace how a stream writes."""
    stream.send_all = change(stream.send_all)  # type: ignore[method-assign, assignment]


def pass_time_after(clock: trio.testing.MockClock, text: bytes, seconds: float) -> Change:
    """Return a change of a stream by which time passes after a text was written whole.

    The scheduler sees deadlines that have passed before the writer goes on.
    """
    has_passed: list[bool] = []

    def change(plain: Write) -> Write:
        async def send_all(data: bytes) -> None:
            await plain(data)
            if text in bytes(data) and not has_passed:
                has_passed.append(True)
                clock.jump(seconds)
                await trio.lowlevel.cancel_shielded_checkpoint()
                await trio.lowlevel.cancel_shielded_checkpoint()

        return send_all

    return change


def stall_within(text: bytes, seconds: float) -> Change:
    """Return a change of a stream whose peer reads the rest of a text only after some time."""

    def change(plain: Write) -> Write:
        async def send_all(data: bytes) -> None:
            if text not in bytes(data):
                await plain(data)
                return
            await plain(data[:10])
            await trio.sleep(seconds)
            await plain(data[10:])

        return send_all

    return change


def set_rules(call: exchange.Call) -> None:
    call.rules = exchange.Rules(
        is_repeatable=call.service != "order",
        max_attempts=2,
        priority=1,
        objective_s=0.4,
        origin_service=identity.ServiceId("lookup"),
    )


@contextlib.asynccontextmanager
async def open_node(
    monkeypatch: pytest.MonkeyPatch, **scripts: Script
) -> collections.abc.AsyncIterator[Node]:
    """Open a node with one caller; ``_0`` is the script of the request with the id ``0``."""
    monkeypatch.setattr(origin, "resolve", lambda *_: None)
    pair = trio.testing.memory_stream_pair()
    async with test_ahead.open_world(pair=lambda: pair) as world, trio.open_nursery() as nursery:
        node = Node(
            world=world,
            entry=test_cut_answers.build_mesh(nursery, []),
            scripts={name[1:]: script for name, script in scripts.items()},
            far=pair[1],
        )
        node.entry.buffer_usage = world.listener.usage

        async def serve_target(stream: trio.abc.Stream) -> None:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while head := bytes(await stream.receive_some()):
                    name = head.split(b"/")[2].decode()
                    node.asked.append(name)
                    await node.scripts.get(name, answer)(name, stream)

        async def connect(_: str) -> trio.abc.Stream:
            ours, theirs = trio.testing.memory_stream_pair()
            nursery.start_soon(serve_target, theirs)
            return ours

        async def handle(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
            set_rules(call)
            call.service = test_origin.ORDERS
            head = origin.RequestHead(
                request_id=call.request_id, host="x", timeout_s=None, key_slot=None
            )
            return await origin.handle(node.entry, call, caller, head)

        node.entry.peers.connect = connect
        world.listener.handle = world.listener.refuse = handle
        yield node
        nursery.cancel_scope.cancel()


async def ask_three(
    world: test_ahead.World, *extra: str, method: str = "GET", until: bytes = b"[2]"
) -> bytes:
    """Send three requests at once, with further headers; return what is received."""
    heads = [*extra, "", "", ""]
    await world.near.send_all(
        b"".join(test_ahead.write_request(str(i), extra=heads[i], method=method) for i in range(3))
    )
    return await test_ahead.receive_all(world, until)


def count_outcomes(node: Node) -> dict[tuple[str, str], int]:
    counted = node.entry.node.request_counters.requests
    return {(verdict, reason): count for (_, verdict, reason), count in counted.items()}


# Answers with the last part of their bodies.
ANSWERS = [
    pytest.param(build_answer("NAME"), b"[NAME]", id="length"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n[NAME]\r\n0\r\n\r\n",
        b"[NAME]",
        id="chunks",
    ),
    pytest.param(build_answer("NAME", LARGE)[:-4] + b"last", b"last", id="streamed"),
]


@pytest.mark.parametrize(("data", "end"), ANSWERS)
@pytest.mark.parametrize("position", [0, 1])
async def test_time_out_after_the_last_byte_of_an_answer(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    data: bytes,
    end: bytes,
    position: int,
) -> None:
    """Guards against an answer that counts as cut, with what runs behind it, once it is sent.

    Its time-out passed after the write of its body and before that of its end (issue 45).
    """
    extra = ["", "", ""]
    extra[position] = WITH_TIMEOUT
    # The one before it has been answered by then.
    script = answer_after(0.5, data)
    async with open_node(monkeypatch, **{f"_{position}": script}) as node:
        node.scripts["2"] = answer_after(3.0)
        replace_send(node.far, pass_time_after(autojump_clock, end, TIMEOUT_S))
        received = await ask_three(node.world, *extra)
        names = ["0", "1", "2"]
        names[position] = "NAME"
        assert test_ahead.list_names(received) == names
        assert node.world.listener.pipelining.dropped == 0
        await trio.sleep(0.1)
        assert count_outcomes(node) == {("answered", "none"): 3}


@pytest.mark.parametrize("position", [0, 1, 2])
async def test_failed_handler_ends_one_request_only(
    autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a failure of one request that ends the others of its connection.

    Nothing of its answer was sent, so that a refusal can take its place.
    """
    async with test_ahead.open_world() as world:
        plain = functools.partial(test_ahead.handle, world)

        async def fail(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
            if call.key != str(position):
                return await plain(call, caller)
            with trio.move_on_after(1.0):
                await caller.wait_gone()
            raise ValueError("planted")

        world.listener.handle = fail
        await world.near.send_all(b"".join(test_ahead.write_request(str(i), 2.0) for i in range(4)))
        received = await test_ahead.receive_all(world, b"[3]")
        names = [str(i) for i in range(4) if i != position]
        assert test_ahead.list_names(received) == names
        assert received.count(b"HTTP/1.1 502") == 1


@pytest.mark.parametrize("position", [0, 1, 2])
async def test_failure_after_an_answer_keeps_the_connection(
    autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a failure of the bookkeeping that ends requests behind a whole answer."""
    async with test_ahead.open_world() as world:
        plain = functools.partial(test_ahead.handle, world)

        async def fail(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
            result = await plain(call, caller)
            if call.key == str(position):
                raise ValueError("planted")
            return result

        world.listener.handle = fail
        await world.near.send_all(
            b"".join(test_ahead.write_request(str(i), 1.0 + i) for i in range(4))
        )
        received = await test_ahead.receive_all(world, b"[3]")
        assert test_ahead.list_names(received) == ["0", "1", "2", "3"]


@pytest.mark.parametrize("failing", ["parse", "may_overlap"])
async def test_failure_to_read_ahead_ends_one_request_only(
    autojump_clock: trio.testing.MockClock, failing: str
) -> None:
    """Guards against a head that the node can't handle and that ends the requests before it."""
    async with test_ahead.open_world() as world:

        def parse(listener: front.Front, head: object) -> exchange.Call | str:
            call = front.parse_call(listener, head)  # type: ignore[arg-type]
            if failing == "parse" and isinstance(call, exchange.Call) and call.key == "2":
                raise ValueError("planted")
            return call

        def may_overlap(call: exchange.Call) -> bool:
            if failing == "may_overlap" and call.key == "2":
                raise ValueError("planted")
            return True

        world.listener.parse = parse
        world.listener.may_overlap = may_overlap
        await world.near.send_all(b"".join(test_ahead.write_request(str(i), 1.0) for i in range(3)))
        received = await test_ahead.receive_all(world, b"internal error")
        assert test_ahead.list_names(received)[:2] == ["0", "1"]


@pytest.mark.parametrize("position", [0, 1, 2])
async def test_time_out_while_the_caller_reads_an_answer(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a whole answer that is cut in its write because its caller reads slowly."""
    extra = ["", "", ""]
    extra[position] = WITH_TIMEOUT
    async with open_node(monkeypatch, _1=answer_after(0.5)) as node:
        text = f"[{position}]".encode()
        replace_send(node.far, stall_within(text, 2 * TIMEOUT_S))
        received = await ask_three(node.world, *extra)
        assert test_ahead.list_names(received) == ["0", "1", "2"]
        assert received.count(b"HTTP/1.1 200") == 3
        await trio.sleep(0.1)
        assert count_outcomes(node) == {("answered", "none"): 3}


@pytest.mark.parametrize("position", [0, 1, 2])
async def test_caller_that_does_not_read_is_closed_in_the_end(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a connection, with a whole answer in memory, that a caller keeps for ever."""
    async with open_node(monkeypatch) as node:
        text = f"[{position}]".encode()
        replace_send(node.far, stall_within(text, 1e6))
        node.world.nursery.start_soon(ask_three, node.world)
        await trio.sleep(0.9 * test_ahead.LIMIT_S)
        assert sorted(node.asked) == ["0", "1", "2"]
        assert not node.world.listener.conns


@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize("size", [0, 10_000, MEDIUM])
async def test_buffered_answer_that_breaks_off_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    position: int,
    size: int,
) -> None:
    """Guards against a target that breaks off and takes the answers behind its own with it."""
    script = answer_after(0.5, build_answer("cut", size)[:-1], closes=True)
    async with open_node(monkeypatch, **{f"_{position}": script}) as node:
        received = await ask_three(node.world, until=b"[2]" if position < 2 else b"502")
        names = [str(i) for i in range(3) if i != position]
        assert test_ahead.list_names(received) == names
        assert received.count(b"HTTP/1.1 502") == 1
        assert node.asked.count(str(position)) == 2


@pytest.mark.parametrize("is_begun", [False, True])
async def test_lost_target_ends_one_request_only(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, is_begun: bool
) -> None:
    """Guards against a lost connection to a target or node that closes the one of the caller."""
    script = answer_after(0.5, b"HTTP/1.1 200 OK\r\n" if is_begun else b"", closes=True)
    async with open_node(monkeypatch, _0=script, _1=script) as node:
        received = await ask_three(node.world)
        assert test_ahead.list_names(received) == ["2"]
        assert received.count(b"HTTP/1.1 502") == 2


@pytest.mark.parametrize("position", [0, 1])
@pytest.mark.parametrize("is_node_full", [False, True])
async def test_streamed_answer_that_breaks_off_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    position: int,
    is_node_full: bool,
) -> None:
    """Guards against bytes behind an incomplete answer, which its caller takes for a part of it.

    It has begun at the caller, so that HTTP/1.1 leaves nothing but the close.
    """
    size = MEDIUM if is_node_full else buffering.MAX_AWAITED_BYTES
    script = answer_after(0.5, build_answer("cut", size)[:-1], closes=True)
    async with open_node(monkeypatch, **{f"_{position}": script}) as node:
        usage = node.world.listener.usage

        async def fill() -> None:
            await trio.sleep(0.2)
            usage.total_bytes += buffering.MAX_TOTAL_BYTES

        if is_node_full:
            node.world.nursery.start_soon(fill)
        received = await ask_three(node.world)
        assert test_ahead.list_names(received) == ["0", "cut"][1 - position :]
        assert received.endswith(b"x")
        assert node.world.listener.pipelining.dropped == 2 - position
        if is_node_full:
            usage.total_bytes -= buffering.MAX_TOTAL_BYTES


@pytest.mark.parametrize("position", [0, 1])
@pytest.mark.parametrize("is_cut", [False, True])
async def test_request_behind_an_answer_that_has_begun_waits(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    position: int,
    is_cut: bool,
) -> None:
    """Guards against passing on a request that is lost if the answer before it breaks off."""

    async def stream_slowly(name: str, stream: trio.abc.Stream) -> None:
        data = build_answer(name, LARGE)
        await stream.send_all(data[:-1])
        await trio.sleep(2.0)
        if is_cut:
            await stream.aclose()
        else:
            await stream.send_all(data[-1:])

    async with open_node(monkeypatch, **{f"_{position}": stream_slowly}) as node:
        first = [test_ahead.write_request(str(i)) for i in range(position + 1)]
        await node.world.near.send_all(b"".join(first))
        names = [str(i) for i in range(position + 1)]
        received = await test_ahead.receive_all(node.world, f"[{position}]".encode())
        await trio.sleep(1.0)
        await node.world.near.send_all(test_ahead.write_request("late"))
        await trio.sleep(0.5)
        assert node.asked == names
        received += await test_ahead.receive_all(node.world, b"[late]")
        assert test_ahead.list_names(received) == (names if is_cut else [*names, "late"])
        assert node.asked == (names if is_cut else [*names, "late"])


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"HTTP/1.1 204 No Content\r\n\r\n", id="204"),
        pytest.param(b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", id="204-length"),
        pytest.param(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", id="304-length"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", id="empty"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id="close"
        ),
        pytest.param(b"HTTP/1.0 200 OK\r\n\r\n", id="end-of-connection"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", id="chunks"
        ),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            id="100",
        ),
    ],
)
async def test_framing_of_an_answer_keeps_the_connection(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    data: bytes,
    method: str,
) -> None:
    """Guards against an answer without a body, or without a length, that closes the connection."""
    script = answer_after(0.5, data, closes=data.startswith(b"HTTP/1.0"))
    async with open_node(monkeypatch, _0=script, _1=script) as node:
        received = await ask_three(node.world, method=method, until=b"Content-Length: 3")
        received += await test_ahead.receive_all(node.world, b"]") if method == "GET" else b""
        assert received.count(b"HTTP/1.1 ") == 3
        assert b"502" not in received and test_ahead.CLOSES not in received.lower()
        assert node.world.listener.pipelining.dropped == 0


@pytest.mark.parametrize("position", [0, 1])
async def test_answer_that_cannot_be_written_is_replaced(
    autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against a close, without any answer, instead of a refusal.

    The body is longer than the head announces, so that no byte of the answer is written.
    """
    async with test_ahead.open_world() as world:
        plain = functools.partial(test_ahead.handle, world)

        async def answer_wrongly(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
            if call.key != str(position):
                return await plain(call, caller)
            with trio.move_on_after(1.0):
                await caller.wait_gone()
            await caller.reply(200, [(b"content-length", b"3")])
            await caller.write(b"more than three bytes")
            await caller.finish()
            return ANSWERED

        world.listener.handle = answer_wrongly
        received = await ask_three(world)
        assert test_ahead.list_names(received) == [str(i) for i in range(3) if i != position]
        assert received.count(b"HTTP/1.1 50") == 1


@pytest.mark.parametrize("version", ["1.1", "1.0"])
async def test_first_request_that_asks_for_the_close_is_the_only_one(
    autojump_clock: trio.testing.MockClock, version: str
) -> None:
    """Guards against requests that run for nothing behind one whose answer is the last."""
    async with test_ahead.open_world() as world:
        first = test_ahead.write_request("0", 1.0, extra="Connection: close\r\n")
        if version == "1.0":
            first = b"GET /look/0/1.0/0 HTTP/1.0\r\n\r\n"
        await world.near.send_all(first + test_ahead.write_request("1"))
        assert test_ahead.list_names(await test_ahead.receive_all(world)) == ["0"]
        assert set(world.started) == {"0"}


async def test_request_of_http_1_0_behind_others_is_the_last(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a close that an old request asks for before those ahead are answered."""
    async with test_ahead.open_world() as world:
        await world.near.send_all(
            test_ahead.write_request("0", 2.0)
            + test_ahead.write_request("1", 1.0)
            + b"GET /look/2/1.0/0 HTTP/1.0\r\n\r\n"
            + test_ahead.write_request("3")
        )
        assert test_ahead.list_names(await test_ahead.receive_all(world)) == ["0", "1", "2"]
        assert "3" not in world.started


@pytest.mark.parametrize("is_whole", [False, True])
@pytest.mark.parametrize("position", [0, 1])
async def test_request_that_expects_100_continue(
    autojump_clock: trio.testing.MockClock, position: int, is_whole: bool
) -> None:
    """Guards against a request that waits for 100 Continue and ends those around it."""
    async with test_ahead.open_world() as world:
        expecting = test_ahead.write_request(
            str(position), 1.0, body=b"body", method="PUT", extra="Expect: 100-continue\r\n"
        )
        parts = [test_ahead.write_request(str(i), 1.0) for i in range(3)]
        parts[position] = expecting
        if is_whole:
            await world.near.send_all(b"".join(parts))
            received = await test_ahead.receive_all(world, b"[2]")
        else:
            await world.near.send_all(b"".join(parts[: position + 1])[:-4])
            received = await test_ahead.receive_all(world, b"HTTP/1.1 100 \r\n\r\n")
            await world.near.send_all(b"body" + b"".join(parts[position + 1 :]))
            received += await test_ahead.receive_all(world, b"[2]")
        assert test_ahead.list_names(received) == ["0", "1", "2"]
        assert f"[{position}]body".encode() in received


@pytest.mark.parametrize("position", [0, 1])
async def test_end_of_the_process_while_an_answer_is_written(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against whole answers that are lost because the one before them was being written."""
    async with open_node(monkeypatch, _1=answer_after(0.1), _2=answer_after(60.0)) as node:
        text = f"[{position}]".encode()
        replace_send(node.far, stall_within(text, 0.5))

        async def end() -> None:
            await trio.sleep(0.3)
            front.announce_close(node.world.listener)
            front.stop(node.world.listener)
            origin.cut_off(node.entry)
            front.cut_off(node.world.listener)

        node.world.nursery.start_soon(end)
        received = await ask_three(node.world, until=b"")
        assert test_ahead.list_names(received) == ["0", "1"]
        assert received.count(b"HTTP/1.1 200") == 2 and received.count(b"HTTP/1.1 502") == 1


async def test_end_of_the_process_while_whole_answers_wait(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a whole answer that is lost when the one ahead of it is refused."""
    streamed = answer_after(0.1, build_answer("2", LARGE))
    async with open_node(monkeypatch, _0=answer_after(60.0), _2=streamed) as node:

        async def end() -> None:
            await trio.sleep(0.3)
            origin.cut_off(node.entry)

        node.world.nursery.start_soon(end)
        received = await ask_three(node.world, until=b"stopping\n" + b"." * 9)
        assert test_ahead.list_names(received) == ["1"]
        # The last one was too large to be held, so that its producer waited.
        assert received.count(b"HTTP/1.1 502") == 2


@pytest.mark.parametrize("is_awaited", [False, True])
async def test_time_out_of_a_large_answer_that_waits_for_its_turn(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, is_awaited: bool
) -> None:
    """Guards against a part of an answer before the refusal that replaces it.

    An answer that is whole, as others wait for it, is sent however long its turn takes to come.
    """
    scripts = {"_0": answer_after(20.0), "_1": answer_after(0.1, build_answer("large", LARGE))}
    async with open_node(monkeypatch, **scripts) as node:
        requests = [
            test_ahead.write_request("0"),
            test_ahead.write_request("1", extra=WITH_TIMEOUT),
            test_ahead.write_request("2"),
        ]
        await node.world.near.send_all(b"".join(requests[: 3 if is_awaited else 2]))
        received = await test_ahead.receive_all(
            node.world, b"[2]" if is_awaited else b"HTTP/1.1 50"
        )
        assert test_ahead.list_names(received) == ["0", *(["large", "2"] if is_awaited else [])]
        assert received.count(b"x" * LARGE) == is_awaited
        assert received.count(b"HTTP/1.1 50") == (not is_awaited)


async def test_end_of_a_held_answer_takes_no_room(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a whole answer that is refused because the node had no room for its end."""
    async with test_ahead.open_world() as world:
        usage = world.listener.usage
        usage.total_bytes = pipeline.MAX_NODE_BYTES - 100

        async def answer_in_time(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
            if call.key == "0":
                with trio.move_on_after(3.0):
                    await caller.wait_gone()
            body = f"[{call.key}]".encode()
            with trio.move_on_after(1.0) as scope:
                await caller.reply(200, [(b"content-length", str(len(body)).encode())])
                await caller.write(body)
                # Answers of other connections.
                usage.total_bytes += 200
                await caller.finish()
            usage.total_bytes -= 200
            if scope.cancelled_caught:
                await caller.reply(504, [(b"content-length", b"0")])
                await caller.finish()
            return ANSWERED

        world.listener.handle = answer_in_time
        await world.near.send_all(test_ahead.write_request("0") + test_ahead.write_request("1"))
        received = await test_ahead.receive_all(world, b"[1]")
        assert test_ahead.list_names(received) == ["0", "1"]
        usage.total_bytes = 0


@pytest.mark.parametrize(("data", "end"), ANSWERS)
async def test_time_out_after_the_last_byte_of_an_answer_to_a_node(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    data: bytes,
    end: bytes,
) -> None:
    """Guards against an answer that another node takes for one that broke off, and runs again."""

    async def run(
        _: object, call: exchange.Call, caller: exchange.Caller, **__: float
    ) -> exchange.Completion:
        context = attempt.AttemptContext(
            pool=node.entry.peers,
            address=identity.Address("target:1"),
            extra_headers=[],
            filter_reply=lambda status, headers: headers,
            is_repeatable=True,
        )
        made = attempt.AttemptResult()
        await attempt.run(context, call, caller, trio.current_time, made)
        return attempt.conclude(made)

    async def handle(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        set_rules(call)
        return await origin.serve_hop(node.entry, call, caller)

    monkeypatch.setattr(delivery, "run", run)
    async with open_node(monkeypatch, _0=answer_after(0.5, data)) as node:
        node.world.listener.may_overlap = None
        node.world.listener.handle = handle
        replace_send(node.far, pass_time_after(autojump_clock, end, TIMEOUT_S))
        await node.world.near.send_all(test_ahead.write_request("0", extra=WITH_TIMEOUT))
        received = await test_ahead.receive_all(node.world, end)
        await node.world.near.send_all(test_ahead.write_request("1"))
        received += await test_ahead.receive_all(node.world, b"[1]")
        assert test_ahead.list_names(received) == ["NAME", "1"]
        await trio.sleep(0.1)
        assert count_outcomes(node) == {("answered", "none"): 2}


@pytest.mark.parametrize(("data", "end"), ANSWERS[:2])
async def test_time_out_after_the_last_byte_of_an_answer_of_the_own_interface(
    autojump_clock: trio.testing.MockClock, data: bytes, end: bytes
) -> None:
    """Guards against an answer that is cut between the writes of its body and of its end."""
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery)

        async def serve_target(stream: trio.abc.Stream) -> None:
            while await stream.receive_some():
                await stream.send_all(data)

        world.serve_target = serve_target
        near, far = trio.testing.memory_stream_pair()
        replace_send(far, pass_time_after(autojump_clock, end, TIMEOUT_S))
        nursery.start_soon(front.serve, world.fronts[f"caller-{test_handler.HERE}"], far)
        request = b"GET /calendrier/salle-1/slots HTTP/1.1\r\nHost: x\r\n\r\n"
        received = b""
        for _ in range(2):
            with contextlib.suppress(trio.BrokenResourceError):
                await near.send_all(request)
            with trio.move_on_after(5.0):
                while not received.endswith((end, end + b"\r\n0\r\n\r\n")):
                    part = bytes(await near.receive_some())
                    if not part:
                        break
                    received += part
            received += b"|"
        assert test_ahead.list_names(received) == ["NAME", "NAME"]
        nursery.cancel_scope.cancel()


async def test_answer_before_the_end_of_the_request_is_counted_as_answered(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an answer that was sent whole and counts as a time-out.

    The time-out passed after its end was written, while the task that passed on the rest of the
    request's body was being cancelled.
    """
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n[0]\r\n0\r\n\r\n"
    async with open_node(monkeypatch, _0=answer_after(0.5, data)) as node:
        change = pass_time_after(autojump_clock, b"0\r\n\r\n", TIMEOUT_S)
        replace_send(node.far, change)
        head = test_ahead.write_request(
            "0", method="PUT", extra=WITH_TIMEOUT + "Content-Length: 9000\r\n"
        )
        await node.world.near.send_all(head + b"b" * 5000)
        received = await test_ahead.receive_all(node.world, b"0\r\n\r\n")
        assert test_ahead.list_names(received) == ["0"]
        await trio.sleep(0.1)
        assert count_outcomes(node) == {("answered", "none"): 1}


@pytest.mark.parametrize("position", [0, 1])
async def test_time_out_between_the_parts_of_a_whole_answer(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against an answer that the node has whole, but cuts as it writes it in parts."""
    extra = ["", "", ""]
    extra[position] = WITH_TIMEOUT
    script = answer_after(0.5, build_answer("NAME", 3 * MEDIUM))
    async with open_node(monkeypatch, **{f"_{position}": script}) as node:
        change = pass_time_after(autojump_clock, b"[NAME]", TIMEOUT_S)
        replace_send(node.far, change)
        received = await ask_three(node.world, *extra)
        assert received.count(b"x") == 3 * MEDIUM
        assert test_ahead.list_names(received)[-1] == "2"


@pytest.mark.parametrize("position", [0, 1])
@pytest.mark.parametrize("data", [b"", build_answer("cut", 1000)[:-1]])
async def test_time_out_before_an_answer_is_whole(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    position: int,
    data: bytes,
) -> None:
    """Guards against a time-out that closes the connection although a refusal is possible."""
    extra = ["", "", ""]
    extra[position] = WITH_TIMEOUT
    script = answer_after(0.5, data)
    async with open_node(monkeypatch, **{f"_{position}": script}) as node:
        node.scripts["2"] = answer_after(3.0)
        received = await ask_three(node.world, *extra)
        assert test_ahead.list_names(received) == [str(i) for i in range(3) if i != position]
        assert received.count(b"HTTP/1.1 50") == 1


@pytest.mark.parametrize("kind", ["502", "400"])
async def test_caller_that_does_not_read_a_refusal_is_closed_in_the_end(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, kind: str
) -> None:
    """Guards against a connection that a caller keeps for ever by not reading a refusal."""
    async with open_node(monkeypatch, _0=answer_after(0.5, b"", closes=True)) as node:
        replace_send(node.far, stall_within(b"HTTP/1.1 " + kind.encode(), 1e6))
        data = test_ahead.write_request("0") if kind == "502" else b"nonsense\r\n\r\n"
        await node.world.near.send_all(data)
        await trio.sleep(0.9 * test_ahead.LIMIT_S)
        assert not node.world.listener.conns


async def test_dropped_requests_do_not_count_as_left_by_their_caller(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against log lines that blame the caller when the node closes the connection.

    The producer of the second answer waits for its turn when the first answer breaks off.
    """
    script = answer_after(0.5, build_answer("cut", LARGE)[:-1], closes=True)
    waiting = answer_after(0.1, build_answer("1", LARGE))
    async with open_node(monkeypatch, _0=script, _1=waiting) as node:
        await ask_three(node.world)
        assert node.world.listener.pipelining.delayed == 1
    causes = [fields["ended_by"] for fields in test_front_log.list_fields(caplog, "attempt")]
    assert len(causes) == 2 and "caller" not in causes


async def test_request_at_the_end_of_the_idle_time_is_answered(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the time of an idle connection that ends a request which has just come."""
    near, far = trio.testing.memory_stream_pair()

    async def respond(_: http.Request) -> http.Reply:
        await trio.sleep(1.0)
        return http.Reply(status=200, body=b"[0]")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(http.serve, respond, far)
        await trio.sleep(http.IDLE_TIMEOUT_S - 0.5)
        await near.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = bytes(await near.receive_some())
        nursery.cancel_scope.cancel()
    assert received.endswith(b"[0]")


async def test_stop_while_100_continue_is_written(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a refusal behind a part of "100 Continue", which no caller can read."""
    pair = trio.testing.memory_stream_pair()
    async with test_ahead.open_world(pair=lambda: pair) as world:
        replace_send(pair[1], stall_within(b"HTTP/1.1 100", 0.1))
        request = test_ahead.write_request(
            "0", body=b"body", method="PUT", extra="Expect: 100-continue\r\n"
        )
        await world.near.send_all(request[:-4])
        await trio.sleep(0.05)
        front.stop(world.listener)
        received = await test_ahead.receive_all(world)
        continued, _, refusal = received.partition(b"\r\n\r\n")
        assert continued == b"HTTP/1.1 100 "
        assert refusal.startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize("is_passed", [False, True])
@pytest.mark.parametrize("steps", range(8))
@pytest.mark.parametrize("size", [0, 2 * MEDIUM])
async def test_time_out_as_the_turn_of_a_request_comes(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    size: int,
    steps: int,
    is_passed: bool,
) -> None:
    """Guards against a time-out that meets the turn of a waiting answer, and mixes or cuts it."""

    async def answer_at_time_out(name: str, stream: trio.abc.Stream) -> None:
        await trio.sleep(TIMEOUT_S / 2 if is_passed else TIMEOUT_S)
        for _ in range(steps):
            await trio.lowlevel.checkpoint()
        await stream.send_all(build_answer(name))

    # The answers of three requests exceed what may be held, so that a producer waits.
    waiting = {f"_{i}": answer_after(0.1, build_answer(f"{i}", size)) for i in (1, 2, 3)}
    async with open_node(monkeypatch, _0=answer_at_time_out, **waiting) as node:
        if is_passed:
            change = pass_time_after(autojump_clock, b"[0]", TIMEOUT_S / 2)
            replace_send(node.far, change)
        extra = ["", WITH_TIMEOUT, WITH_TIMEOUT, WITH_TIMEOUT, ""]
        await node.world.near.send_all(
            b"".join(
                test_ahead.write_request(str(i), extra=headers) for i, headers in enumerate(extra)
            )
        )
        received = await test_ahead.receive_all(node.world, b"[4]")
        names = test_ahead.list_names(received)
        assert names == sorted(names) and {"0", "4"} <= set(names)
        assert received.count(b"HTTP/1.1 ") == 5
        for name in names[1:-1]:
            assert f"[{name}]{'x' * size}HTTP/1.1 ".encode() in received


@pytest.mark.parametrize("position", [0, 1])
async def test_caller_that_leaves_with_a_whole_answer_counts_as_answered(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock, position: int
) -> None:
    """Guards against an answer that counts as not wanted, as its caller closes at once behind it.

    The close is seen before the bookkeeping of the answer's end.
    """
    async with open_node(monkeypatch) as node:
        near = node.world.near
        assert isinstance(near, trio.abc.HalfCloseableStream)
        # Of requests that overlap, the first one ends late, so that the other is held whole.
        node.scripts["0"] = answer_after(0.5)
        text = f"[{position}]".encode()

        def change(plain: Write) -> Write:
            async def send_all(data: bytes) -> None:
                await plain(data)
                if text in bytes(data):
                    await near.send_eof()
                    with trio.CancelScope(shield=True):
                        await trio.sleep(0.1)

            return send_all

        replace_send(node.far, change)
        requests = [test_ahead.write_request(str(i)) for i in range(position + 1)]
        await near.send_all(b"".join(requests))
        received = await test_ahead.receive_all(node.world)
        assert test_ahead.list_names(received) == [str(i) for i in range(position + 1)]
        assert count_outcomes(node) == {("answered", "none"): position + 1}
