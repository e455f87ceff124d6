"""Tests of endless replies: the router reads them to a limit and closes the connection."""

import collections.abc
import dataclasses

import h11
import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool, wire
from ebonyvalve.process import identity
from ebonyvalve.process import node as node_module
from ebonyvalve.request import delivery, dispatch, origin, outcome
from tests.request import test_refusals

DEADLINE_S = 2.0
# Short enough that a stream reaches its byte limit before any time limit.
FLOOD_PAUSE_S = 0.0005
TRICKLE_PAUSE_S = 0.05
# Tolerance: one read may exceed a limit, and data read before the limit began counts again.
SLACK_BYTES = 2 * wire.READ_BYTES
SLACK_S = 0.1

OWN_ID = b"X-Attempt-Id: r1\r\n"
OTHER_ID = b"X-Attempt-Id: r0\r\n"
SEALED = b"X-Response-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
REFUSAL = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n" + OWN_ID + CHUNKED
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
FOREIGN_REPLY = OK + OTHER_ID + SEALED + b"Content-Length: 2\r\n\r\nok"
TINY_CHUNK = b"1\r\na\r\n"
CHUNK = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"

HEAD_BYTES = wire.MAX_HEAD_BYTES
STRAY_BYTES = dispatch.MAX_STRAY_BYTES
STREAM_BYTES = dispatch.MAX_UNANNOUNCED_BYTES
SKIP_S = dispatch.SKIP_TIMEOUT_S

LOST = outcome.Verdict.UNKNOWN
NOT_RUN = outcome.Verdict.NOT_RUN
ANSWERED = outcome.Verdict.ANSWERED


@dataclasses.dataclass(kw_only=True)
class Target:
    """A target that answers each request with ``first`` and then ``unit`` without end."""

    first: bytes
    unit: bytes
    pause_s: float
    nursery: trio.Nursery
    sent: int = 0
    is_closed: trio.Event = dataclasses.field(default_factory=trio.Event)

    async def connect(self, _: str) -> trio.abc.Stream:
        ours, theirs = trio.testing.lockstep_stream_pair()
        self.nursery.start_soon(self.serve, theirs)
        return ours

    async def serve(self, stream: trio.abc.Stream) -> None:
        try:
            await stream.receive_some(wire.READ_BYTES)
            await stream.send_all(self.first)
            while True:
                await trio.sleep(self.pause_s)
                await stream.send_all(self.unit)
                self.sent += len(self.unit)
        except trio.BrokenResourceError:
            self.is_closed.set()


def fill(unit: bytes) -> bytes:
    return unit * max(1, wire.READ_BYTES // len(unit))


async def run(
    target: Target, *, method: str = "POST"
) -> tuple[delivery.Completion, float, origin.Origin]:
    """Send one non-idempotent request to the target; return its completion and duration."""
    entry = test_refusals.build_entry(test_refusals.Target(nursery=target.nursery))
    entry.delivery.pool = pool.Pool(connect=target.connect, now=trio.current_time)
    call = test_refusals.build_order("r1")
    call.method = method
    call.deadline_at_s = trio.current_time() + DEADLINE_S
    started_at = trio.current_time()
    completion = await delivery.run(entry.delivery, call, test_refusals.build_caller())
    return completion, trio.current_time() - started_at, entry


@pytest.mark.parametrize(
    ("first", "unit", "max_bytes", "verdict"),
    [
        # Data before the reply.
        (b"", b"a", HEAD_BYTES, LOST),
        (OK, b"X-A: a\r\n", HEAD_BYTES, LOST),
        (OK + b"X-A: ", b"a", HEAD_BYTES, LOST),
        (OK + OWN_ID + SEALED + b"X-A: %s\r\n\r\n" % (b"a" * HEAD_BYTES), b"a", HEAD_BYTES, LOST),
        (b"", EARLY_HINTS, STRAY_BYTES, LOST),
        (b"", FOREIGN_REPLY, STRAY_BYTES, LOST),
        (OK + OTHER_ID + CHUNKED, CHUNK, STRAY_BYTES, LOST),
        (OK + OTHER_ID + CHUNKED, TINY_CHUNK, STRAY_BYTES, LOST),
        # A refusal that names the request is trusted, whatever follows its head.
        (REFUSAL, CHUNK, STRAY_BYTES, NOT_RUN),
        (REFUSAL, TINY_CHUNK, STRAY_BYTES, NOT_RUN),
        # A success without a seal does not come from the target.
        (OK + OWN_ID + CHUNKED, CHUNK, STRAY_BYTES, LOST),
        (OK + OWN_ID + b"\r\n", b"a", STRAY_BYTES, LOST),
        # A sealed reply that announces no length.
        (OK + OWN_ID + SEALED + CHUNKED, CHUNK, STREAM_BYTES, LOST),
        (OK + OWN_ID + SEALED + b"Content-Length: 9\r\n" + CHUNKED, CHUNK, STREAM_BYTES, LOST),
        (OK + OWN_ID + SEALED + b"\r\n", b"a", STREAM_BYTES, LOST),
        (OK + OWN_ID + SEALED + CHUNKED + b"1;", b"a", HEAD_BYTES, LOST),
        (OK + OWN_ID + SEALED + CHUNKED, b"1;" + b"a" * 16_000 + b"\r\na\r\n", STREAM_BYTES, LOST),
        (OK + OWN_ID + SEALED + CHUNKED + b"0\r\n", b"X-A: a\r\n", HEAD_BYTES, LOST),
    ],
)
async def test_endless_answer_is_read_to_a_limit(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    first: bytes,
    unit: bytes,
    max_bytes: int,
    verdict: outcome.Verdict,
) -> None:
    """Guards against an endless reply that occupies a slot and the loop until the deadline."""
    target = Target(first=first, unit=fill(unit), pause_s=FLOOD_PAUSE_S, nursery=nursery)
    completion, took_s, entry = await run(target)
    assert completion.result.verdict is verdict
    assert not entry.node.admission.running
    with trio.fail_after(DEADLINE_S):
        await target.is_closed.wait()
    assert target.sent <= max_bytes + SLACK_BYTES
    assert took_s < DEADLINE_S


@pytest.mark.parametrize(
    ("method", "first"),
    [
        # A reply to HEAD announces the length of a body that is not sent.
        ("HEAD", OK + OWN_ID + SEALED + b"Content-Length: 9\r\n\r\n"),
        ("POST", b"HTTP/1.1 204 No\r\n" + OWN_ID + SEALED + b"\r\n"),
        ("POST", b"HTTP/1.1 304 No\r\n" + OWN_ID + SEALED + b"\r\n"),
        ("POST", OK + OWN_ID + SEALED + b"Content-Length: 0\r\n\r\n"),
    ],
)
async def test_endless_data_after_a_complete_reply_is_not_read(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, method: str, first: bytes
) -> None:
    """Guards against reading data that follows a complete reply and belongs to no request."""
    target = Target(first=first, unit=fill(b"a"), pause_s=FLOOD_PAUSE_S, nursery=nursery)
    completion, _, _ = await run(target, method=method)
    assert completion.result.verdict is ANSWERED
    await trio.sleep(DEADLINE_S)
    assert target.sent <= SLACK_BYTES


@pytest.mark.parametrize(
    ("first", "unit", "max_s", "verdict"),
    [
        (REFUSAL, TINY_CHUNK, SKIP_S, NOT_RUN),
        (REFUSAL + b"1;", b"a", SKIP_S, NOT_RUN),
        (OK + OWN_ID + CHUNKED, TINY_CHUNK, SKIP_S, LOST),
        (OK + OTHER_ID + CHUNKED, TINY_CHUNK, SKIP_S, LOST),
        (b"", EARLY_HINTS, DEADLINE_S, LOST),
        (OK, b"X-A: a\r\n", DEADLINE_S, LOST),
        (OK + OWN_ID + SEALED + CHUNKED, TINY_CHUNK, DEADLINE_S, LOST),
    ],
)
async def test_trickling_answer_is_read_for_a_limited_time(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    first: bytes,
    unit: bytes,
    max_s: float,
    verdict: outcome.Verdict,
) -> None:
    """Guards against a reply whose occasional bytes keep it below every idle limit."""
    target = Target(first=first, unit=unit, pause_s=TRICKLE_PAUSE_S, nursery=nursery)
    completion, took_s, entry = await run(target)
    assert completion.result.verdict is verdict
    assert took_s <= max_s + SLACK_S
    assert not entry.node.admission.running
    with trio.fail_after(DEADLINE_S):
        await target.is_closed.wait()


async def test_long_reply_with_content_length_is_passed_on_completely(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against applying the limits to a reply whose length is announced."""
    length = STREAM_BYTES + wire.READ_BYTES
    first = OK + OWN_ID + SEALED + b"Content-Length: %d\r\n\r\n" % length
    target = Target(first=first, unit=fill(b"a"), pause_s=FLOOD_PAUSE_S, nursery=nursery)
    completion, _, _ = await run(target)
    assert completion.result.verdict is ANSWERED


@pytest.mark.parametrize("side", [wire.open_client, wire.open_server])
async def test_tiny_chunks_let_other_tasks_run(
    side: collections.abc.Callable[[trio.abc.Stream], wire.Wire],
) -> None:
    """Guards against blocking the event loop for the thousands of pieces that one read brings."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = side(ours)
    if conn.http.our_role is h11.CLIENT:
        conn.http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        conn.http.send(h11.EndOfMessage())
        await theirs.send_all(OK + CHUNKED + fill(TINY_CHUNK) + b"0\r\n\r\n")
    else:
        head = b"POST / HTTP/1.1\r\nHost: x\r\n"
        await theirs.send_all(head + CHUNKED + fill(TINY_CHUNK) + b"0\r\n\r\n")
    pieces = 0
    max_pieces = 0

    async def count_pieces() -> None:
        nonlocal max_pieces, pieces
        while True:
            await trio.lowlevel.checkpoint()
            max_pieces, pieces = max(max_pieces, pieces), 0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_pieces)
        while True:
            event = wire.poll(conn) or (await wire.receive(conn)).unwrap()
            pieces += 1
            if isinstance(event, h11.EndOfMessage):
                break
        nursery.cancel_scope.cancel()
    assert max(max_pieces, pieces) <= 2 * wire.MAX_EVENTS_BEFORE_YIELD


async def forward(target: Target) -> delivery.Completion:
    """Forward a non-idempotent request to a node that answers as the target does."""
    entry = test_refusals.build_entry(test_refusals.Target(nursery=target.nursery))
    entry.peers = pool.Pool(connect=target.connect, now=trio.current_time)
    name = identity.NodeId("other")
    entry.node.members[name] = test_refusals.build_member(entry, "other")
    view = node_module.read_view(entry.node, name)
    call = test_refusals.build_order("r1")
    return await origin._forward(entry, call, test_refusals.build_caller(), name, view)


@pytest.mark.parametrize("unit", [CHUNK, TINY_CHUNK])
async def test_endless_refusal_of_a_node_is_read_to_a_limit(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, unit: bytes
) -> None:
    """Guards against connections between nodes without the limits of those to targets."""
    first = b"HTTP/1.1 503 No\r\nEbonyvalve-Refused: not-run:queue-full\r\n" + CHUNKED
    target = Target(first=first, unit=fill(unit), pause_s=FLOOD_PAUSE_S, nursery=nursery)
    started_at = trio.current_time()
    completion = await forward(target)
    assert completion.result == outcome.refuse(outcome.Reason.QUEUE_FULL)
    assert trio.current_time() - started_at <= SKIP_S + SLACK_S
    assert target.sent <= STRAY_BYTES + SLACK_BYTES
    with trio.fail_after(DEADLINE_S):
        await target.is_closed.wait()


@pytest.mark.parametrize(
    ("first", "unit", "max_bytes"),
    [
        (b"", b"a", HEAD_BYTES),
        (OK, b"X-A: a\r\n", HEAD_BYTES),
        (OK + b"X-A: a", b"\r\n a", HEAD_BYTES),
        (b"", EARLY_HINTS, STRAY_BYTES),
        (b"", b"HTTP/1.1 103 Hints\r\nX-A: %s\r\n\r\n" % (b"a" * 30_000), STRAY_BYTES),
        (OK + CHUNKED, CHUNK, STREAM_BYTES),
        (OK + b"\r\n", b"a", STREAM_BYTES),
        (OK + CHUNKED + b"1;", b"a", HEAD_BYTES),
        (OK + CHUNKED + b"0\r\n", b"X-A: a\r\n", HEAD_BYTES),
    ],
)
async def test_endless_answer_of_a_node_is_read_to_a_limit(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    first: bytes,
    unit: bytes,
    max_bytes: int,
) -> None:
    """Guards against connections between nodes without the limits of those to targets."""
    target = Target(first=first, unit=fill(unit), pause_s=FLOOD_PAUSE_S, nursery=nursery)
    completion = await forward(target)
    assert completion.result.verdict is LOST
    with trio.fail_after(DEADLINE_S):
        await target.is_closed.wait()
    assert target.sent <= max_bytes + SLACK_BYTES
