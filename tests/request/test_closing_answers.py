"""Tests of answers after which a connection closes although requests behind them run."""

import collections.abc
import contextlib
import dataclasses
import functools

import pytest
import trio
import trio.testing

from ebonyvalve.connection import pipeline
from ebonyvalve.process import identity
from ebonyvalve.request import (
    attempt,
    buffering,
    exchange,
    front,
    origin,
    outcome,
)
from tests.request import test_ahead, test_cut_answers, test_origin

ANSWERED = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)
# The time-out of the requests that have one.
TIMEOUT_S = 1.0
WITH_TIMEOUT = f"Ebonyvalve-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n"
# Streamed, as it is larger than the buffer of a reply.
LARGE = buffering.MAX_BUFFERED_BYTES + 40_000
# Streamed while the buffers of the node are full.
MEDIUM = buffering.MIN_STREAMED_BYTES + 5_000

Write = collections.abc.Callable[[bytes], collections.abc.Awaitable[None]]
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


def replace_send(stream: trio.abc.Stream, change: collections.abc.Callable[[Write], Write]) -> None:
    """Replace how a stream writes."""
    stream.send_all = change(stream.send_all)  # type: ignore[method-assign, assignment, arg-type]


def pass_time_after(clock: trio.testing.MockClock, text: bytes, seconds: float) -> object:
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


def stall_within(text: bytes, seconds: float) -> object:
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


ANSWERS = [
    pytest.param(build_answer("NAME"), id="length"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n[NAME]\r\n0\r\n\r\n",
        id="chunks",
    ),
    pytest.param(build_answer("NAME", LARGE), id="streamed"),
]


@pytest.mark.parametrize("data", ANSWERS)
@pytest.mark.parametrize("position", [0, 1])
async def test_time_out_after_the_last_byte_of_an_answer(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    data: bytes,
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
        end = data[-5:] if b"chunked" not in data else b"[NAME]"
        replace_send(node.far, pass_time_after(autojump_clock, end, TIMEOUT_S))  # type: ignore[arg-type]
        received = await ask_three(node.world, *extra)
        names = ["0", "1", "2"]
        names[position] = "NAME"
        assert test_ahead.list_names(received) == names
        assert node.world.listener.pipelining.dropped == 0
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
