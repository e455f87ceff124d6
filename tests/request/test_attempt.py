"""Tests of single attempts: the log of incomplete replies, and callers that leave early."""

import collections.abc
import dataclasses
import errno
import logging

import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool
from ebonyvalve.process import identity
from ebonyvalve.request import attempt, exchange, outcome
from tests.request import test_origin

ADDRESS = identity.Address("10.0.0.2:1")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"


async def give_up(state: pool.Pool) -> None:
    pool.abort(state, ADDRESS, cutoff=trio.current_time(), cautious_cutoff=trio.current_time())


async def wait(state: pool.Pool) -> None:
    await trio.sleep(10.0)


@pytest.mark.parametrize(
    ("end", "closes", "ended_by"),
    [(give_up, False, "unreachable"), (wait, False, "deadline"), (wait, True, "other-end")],
)
async def test_cause_of_a_broken_reply_is_logged(
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
    end: collections.abc.Callable[[pool.Pool], collections.abc.Awaitable[None]],
    closes: bool,
    ended_by: str,
) -> None:
    """Guards against a log line for a broken reply that names neither cause nor progress."""
    caplog.set_level(logging.INFO)
    ours, theirs = trio.testing.memory_stream_pair()

    async def connect(_: str) -> trio.abc.Stream:
        return ours

    async def take(*_: object) -> bool:
        return True

    state = pool.Pool(connect=connect, now=trio.current_time)
    call = test_origin.build_call(is_repeatable=True)
    caller = exchange.Caller(
        receive=None, reply=take, write=take, finish=take, wait_gone=None, is_gone=lambda: False  # type: ignore[arg-type]
    )
    context = attempt.AttemptContext(
        pool=state,
        address=ADDRESS,
        extra_headers=[],
        filter_reply=lambda status, headers: headers,
        is_repeatable=True,
    )
    call.headers = [(b"host", b"x")]
    attempt_result = attempt.AttemptResult()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(attempt.run, context, call, caller, trio.current_time, attempt_result)
        await theirs.send_all(HEAD + b"begin")
        await trio.sleep(0.1)
        if closes:
            await theirs.aclose()
        await end(state)
    (entry,) = [record for record in caplog.records if record.getMessage() == "attempt"]
    fields = entry.__dict__["fields"]
    assert fields["ended_by"] == ended_by
    assert fields["body_bytes"] == len(b"begin")
    assert fields["since_head_ms"] is not None


async def test_nothing_is_sent_for_a_caller_that_left_while_the_connection_was_opened(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against sending a request to a target after its caller has left.

    The connection is kept, since opening one is costly and nothing was sent on it.
    """
    ours, theirs = trio.testing.memory_stream_pair()
    opened: list[str] = []

    async def connect(address: str) -> trio.abc.Stream:
        opened.append(address)
        await trio.sleep(0.1)
        return ours

    state = pool.Pool(connect=connect, now=trio.current_time)
    left_at = trio.current_time() + 0.05
    caller = dataclasses.replace(
        test_origin.NO_CALLER, is_gone=lambda: trio.current_time() >= left_at
    )
    context = attempt.AttemptContext(
        pool=state,
        address=ADDRESS,
        extra_headers=[],
        filter_reply=lambda status, headers: headers,
        is_repeatable=False,
    )
    for _ in range(2):
        attempt_result = attempt.AttemptResult()
        call = test_origin.build_call(is_repeatable=False)
        call.headers = [(b"host", b"x")]
        await attempt.run(context, call, caller, trio.current_time, attempt_result)
        assert attempt.conclude(attempt_result).result == outcome.refuse(outcome.Reason.CALLER_GONE)
    with trio.move_on_after(1.0) as scope:
        await theirs.receive_some(1)
    assert scope.cancelled_caught
    assert opened == [ADDRESS]


@pytest.mark.parametrize(
    ("error", "suggests_loss"),
    [(ConnectionRefusedError(), True), (OSError(errno.EMFILE, "no descriptors"), False)],
)
async def test_other_end_is_not_suspected_when_descriptors_are_short(
    error: OSError, suggests_loss: bool
) -> None:
    """Guards against avoiding all nodes while this one has no descriptors left."""

    async def connect(_: str) -> trio.abc.Stream:
        raise error

    context = attempt.AttemptContext(
        pool=pool.Pool(connect=connect, now=trio.current_time),
        address=ADDRESS,
        extra_headers=[],
        is_repeatable=False,
        filter_reply=lambda status, headers: headers,
    )
    call = test_origin.build_call(is_repeatable=False)
    attempt_result = attempt.AttemptResult()
    await attempt.run(context, call, test_origin.NO_CALLER, trio.current_time, attempt_result)
    assert attempt.suggests_peer_loss(attempt_result) is suggests_loss
    assert attempt.conclude(attempt_result).result.verdict is outcome.Verdict.NOT_RUN
