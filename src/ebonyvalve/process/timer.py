"""The timer service: the only clock and the only source of periodic wake-ups in the process."""

import collections.abc
import dataclasses
import itertools
import time

import sortedcontainers
import trio

Clock = collections.abc.Callable[[], float]


@dataclasses.dataclass(kw_only=True)
class Timer:
    """The clock, and the pending wake-ups ordered by time.

    Keys of ``waiting`` are the time in seconds and a sequence number; values are the events to set.
    """

    clock: Clock
    waiting: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    sequence: collections.abc.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(kw_only=True)
class Subscription:
    """A periodic wake-up: its period and next time, in seconds."""

    period_s: float
    next_at: float


def read_boot_clock() -> float:
    """Return seconds since boot, including time spent suspended.

    ``CLOCK_MONOTONIC`` stops while a VM is suspended, so a lease holder that was suspended would
    not notice that its lease has lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now(timer: Timer) -> float:
    """Return the current time in seconds on the timer's clock.

    :param timer: the timer service.
    """
    return timer.clock()


def subscribe(timer: Timer, *, period_s: float) -> Subscription:
    """Return a subscription that is first due one period from now.

    :param timer: the timer service.
    :param period_s: seconds between wake-ups.
    """
    return Subscription(period_s=period_s, next_at=timer.clock() + period_s)


async def tick(timer: Timer, subscription: Subscription) -> float:
    """Wait until the subscription is due and return the current time in seconds.

    Wake-ups missed while the process was paused are skipped rather than delivered in a burst.

    :param timer: the timer service.
    :param subscription: returned by :func:`subscribe`.
    """
    await wait_until(timer, subscription.next_at)
    current = timer.clock()
    subscription.next_at = max(subscription.next_at + subscription.period_s, current)
    return current


async def wait_until(timer: Timer, at_s: float) -> None:
    """Wait until the clock reaches a time.

    :param timer: the timer service.
    :param at_s: the time in seconds on the timer's clock.
    """
    if at_s <= timer.clock():
        await trio.lowlevel.checkpoint()
        return
    entry = (at_s, next(timer.sequence))
    event = trio.Event()
    is_first = not timer.waiting or entry < timer.waiting.peekitem(0)[0]
    timer.waiting[entry] = event
    if is_first:
        timer.changed.set()
    try:
        await event.wait()
    finally:
        timer.waiting.pop(entry, None)


async def run(timer: Timer) -> None:
    """Wake waiting tasks when they are due, until cancelled.

    :param timer: the timer service.
    """
    while True:
        timer.changed = trio.Event()
        _wake_due(timer)
        if not timer.waiting:
            await timer.changed.wait()
            continue
        delay_s = timer.waiting.peekitem(0)[0][0] - timer.clock()
        with trio.move_on_after(max(delay_s, 0.0)):
            await timer.changed.wait()


def _wake_due(timer: Timer) -> None:
    current = timer.clock()
    while timer.waiting and timer.waiting.peekitem(0)[0][0] <= current:
        _, event = timer.waiting.popitem(0)
        event.set()
