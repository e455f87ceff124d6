"""Tests of requests at the target beside a node whose target is slow, or answers wrongly."""

import pytest
import trio
import trio.testing

from ebonyvalve.connection import pool
from ebonyvalve.process import daemon, identity, straggler
from tests.request import test_handler

PATH = "/calendrier/salle-1/book"


async def sweep_pools(world: test_handler.World) -> None:
    """Sweep the pools of both nodes as the daemon does."""
    while True:
        await trio.sleep(daemon.SWEEP_PERIOD_S)
        for shared in world.handlers.values():
            latencies = shared.here.latencies[test_handler.SERVICE]
            p99_s = straggler.read_quantile(latencies, 0.99)
            await pool.sweep(shared.target_pool, p99_s=p99_s)
            await pool.sweep(shared.hop_pool, p99_s=p99_s)


async def look_up(world: test_handler.World) -> None:
    status, _, _ = await test_handler.call(world, "GET", "/calendrier/salle-1/slots")
    assert status == 200


@pytest.mark.parametrize("owner", [test_handler.HERE, test_handler.THERE])
async def test_slow_order_survives_the_silence_of_its_connection(
    owner: identity.NodeId, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against ending a non-idempotent request because other connections bring bytes.

    Its outcome was reported as unknown long before its deadline.
    """
    async with trio.open_nursery() as nursery:
        world = test_handler.build_world(nursery, owner)
        nursery.start_soon(sweep_pools, world)
        token = await test_handler.fetch_token(world, PATH)
        # The concurrency limit of a new target starts at one request.
        for _ in range(20):
            await look_up(world)
        world.target.service_time_s = 0.8
        answers = []

        async def order() -> None:
            answers.append(await test_handler.call(world, "POST", PATH, [b"a"], token=token))

        async with trio.open_nursery() as callers:
            callers.start_soon(order)
            await trio.sleep(0.05)
            world.target.service_time_s = 0.001
            for _ in range(8):
                await trio.sleep(0.1)
                await look_up(world)
        nursery.cancel_scope.cancel()
    (answer,) = answers
    assert (answer[0], answer[1]["ebonyvalve-outcome"]) == (200, "answered")
