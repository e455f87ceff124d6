"""Tests of the timer service with a simulated clock."""

import trio
import trio.testing

from ebonyvalve.process import timer


async def test_tick_skips_missed_wakeups(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a burst of wake-ups, and so of heartbeats, after the process was paused."""
    offset = 0.0
    service = timer.Timer(clock=lambda: trio.current_time() + offset)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, service)
        subscription = timer.subscribe(service, period_s=1.0)
        first = await timer.tick(service, subscription)
        offset = 100.0
        second = await timer.tick(service, subscription)
        third = await timer.tick(service, subscription)
        nursery.cancel_scope.cancel()
    assert second - first >= 100.0
    assert third - second <= 1.0


async def test_wait_until_orders_waiters(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a task that is woken late because one with a later time waited first."""
    service = timer.Timer(clock=trio.current_time)
    start = timer.now(service)
    woken: list[float] = []

    async def wait(at_s: float) -> None:
        await timer.wait_until(service, start + at_s)
        woken.append(timer.now(service) - start)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, service)
        async with trio.open_nursery() as waiters:
            for at_s in (3.0, 1.0, 2.0):
                waiters.start_soon(wait, at_s)
        nursery.cancel_scope.cancel()
    assert woken == [1.0, 2.0, 3.0]
