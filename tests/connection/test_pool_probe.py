"""A VM that loses power keeps its connections open and silent at the other end."""

import trio
import trio.testing

from ebonyvalve.connection import liveness, pool
from ebonyvalve.process import identity

ADDRESS = identity.Address("10.0.0.2:1")


async def test_requests_to_a_lost_node_end_as_lost(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """They would be held until their deadlines otherwise."""
    is_up = True

    async def connect(_: str) -> trio.abc.Stream:
        if not is_up:
            await trio.sleep_forever()
        return trio.testing.memory_stream_pair()[0]

    state = pool.Pool(connect=connect, now=trio.current_time)
    slot = (await pool.acquire(state, ADDRESS, p99_s=None)).unwrap()
    liveness.note_asked(slot.life, trio.current_time())
    await trio.sleep(0.2)
    assert pool.find_doubtful(state, p99_s=0.1) == []
    await trio.sleep(0.3)
    assert pool.find_doubtful(state, p99_s=0.1) == [ADDRESS]
    assert await pool.probe(state, ADDRESS)
    assert not slot.scope.cancel_called
    is_up = False
    assert not await pool.probe(state, ADDRESS)
    assert slot.scope.cancel_called
    assert slot.is_silent
