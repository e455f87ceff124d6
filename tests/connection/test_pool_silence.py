"""Tests of requests that receive no bytes for long, while others to the same address do."""

import pytest
import trio
import trio.testing

from ebonyvalve.connection import liveness, pool
from ebonyvalve.process import identity
from ebonyvalve.request import attempt

ADDRESS = identity.Address("10.0.0.2:1")


async def start_request(state: pool.Pool) -> pool.PooledConnection:
    pooled = (await pool.acquire(state, ADDRESS, p99_s=None)).unwrap()
    liveness.record_awaiting(pooled.state, trio.current_time())
    return pooled


@pytest.mark.parametrize(
    ("is_repeatable", "is_begun", "is_ended"),
    [(True, False, True), (False, False, False), (True, True, False)],
)
async def test_silence_ends_only_what_can_be_sent_again(
    autojump_clock: trio.testing.MockClock, is_repeatable: bool, is_begun: bool, is_ended: bool
) -> None:
    """Guards against aborting a request that can't be sent again.

    Non-idempotent requests that took a target more than 3 s ended with an unknown outcome before
    their deadline, and so did answers whose beginning had been passed on and whose rest was late.
    """

    async def connect(_: str) -> trio.abc.Stream:
        return trio.testing.memory_stream_pair()[0]

    state = pool.Pool(connect=connect, now=trio.current_time)
    slow = await start_request(state)
    slow.is_repeatable = is_repeatable
    slow.is_reply_begun = lambda: is_begun
    other = await start_request(state)
    for _ in range(10):
        await trio.sleep(0.5)
        liveness.record_progress(other.state, trio.current_time())
        await pool.sweep(state, p99_s=attempt.TYPICAL_P99_S)
    assert slow.scope.cancel_called is is_ended
