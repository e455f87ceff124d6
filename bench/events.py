"""A discrete-event simulation of targets with random service times.

Used by bench.cold, bench.retries and bench.stragglers. Times are in seconds of simulated time.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random

Action = collections.abc.Callable[[], None]


@dataclasses.dataclass(kw_only=True)
class EventLoop:
    """Simulated time and the heap of scheduled actions; ``order`` breaks ties of equal times."""

    rng: random.Random
    now: float = 0.0
    schedule: list[tuple[float, int, Action]] = dataclasses.field(default_factory=list)
    order: collections.abc.Iterator[int] = dataclasses.field(default_factory=itertools.count)


@dataclasses.dataclass(kw_only=True)
class Server:
    """A target: ``slots`` requests run at once, the others wait in its queue.

    ``slowdown`` multiplies service times, whose mean is ``mean_s``. With more than ``capacity``
    requests, running and waiting, the target sheds new ones or, if ``is_thrashing``, slows down in
    proportion. ``overload_count`` counts the requests beyond the capacity, and ``worst_ratio`` is
    the highest number of requests over the capacity. ``busy_s`` is the time during which a request
    ran, up to the start of the present busy period at ``busy_since``.
    """

    slots: int
    mean_s: float
    slowdown: float = 1.0
    capacity: float = float("inf")
    is_thrashing: bool = False
    running: int = 0
    received: int = 0
    overload_count: int = 0
    worst_ratio: float = 0.0
    busy_s: float = 0.0
    busy_since: float = 0.0
    waiting: collections.deque[list[Action]] = dataclasses.field(default_factory=collections.deque)


def call_at(loop: EventLoop, at: float, action: Action) -> None:
    """Schedule an action.

    :param loop: the event loop.
    :param at: when it runs, in seconds of simulated time.
    :param action: the action.
    """
    heapq.heappush(loop.schedule, (at, next(loop.order), action))


def run_until(loop: EventLoop, end: float) -> None:
    """Advance the simulated time and run all actions scheduled before its new value.

    :param loop: the event loop.
    :param end: the new value, in seconds of simulated time.
    """
    while loop.schedule and loop.schedule[0][0] < end:
        loop.now, _, action = heapq.heappop(loop.schedule)
        action()
    loop.now = end


def schedule_arrivals(loop: EventLoop, rate: float, until: float, action: Action) -> None:
    """Run an action at random times, as a Poisson process.

    :param loop: the event loop.
    :param rate: mean number of arrivals per second.
    :param until: end of the arrivals, in seconds of simulated time.
    :param action: the action.
    """

    def run_and_schedule_next() -> None:
        action()
        next_at = loop.now + loop.rng.expovariate(rate)
        if next_at < until:
            call_at(loop, next_at, run_and_schedule_next)

    call_at(loop, loop.now + loop.rng.expovariate(rate), run_and_schedule_next)


def serve(
    loop: EventLoop, server: Server, done: collections.abc.Callable[[bool], None]
) -> collections.abc.Callable[[], None]:
    """Send a request to a target and return a function that cancels it.

    :param loop: the event loop.
    :param server: the target.
    :param done: called at the end, with whether the request ran rather than being shed.
    """
    present = server.running + len(server.waiting) + 1
    server.received += 1
    server.worst_ratio = max(server.worst_ratio, present / server.capacity)
    server.overload_count += present > server.capacity
    if present > server.capacity and not server.is_thrashing:
        call_at(loop, loop.now, lambda: done(False))
        return lambda: None
    pending: list[Action] = [lambda: done(True)]
    is_running = False

    def start() -> None:
        nonlocal is_running
        is_running = True
        if server.running == 0:
            server.busy_since = loop.now
        server.running += 1
        service_s = loop.rng.expovariate(1 / server.mean_s) * 0.5 + server.mean_s * 0.5
        congestion = max(1.0, (server.running + len(server.waiting)) / server.capacity)
        call_at(loop, loop.now + service_s * server.slowdown * congestion, end)

    def end() -> None:
        if pending:
            free_slot()
            pending.pop()()

    def free_slot() -> None:
        server.running -= 1
        if server.running == 0:
            server.busy_s += loop.now - server.busy_since
        while server.waiting and server.running < server.slots:
            server.waiting.popleft()[0]()

    def cancel() -> None:
        if not pending:
            return
        pending.clear()
        if is_running:
            free_slot()
        else:
            server.waiting.remove(queued_start)

    queued_start: list[Action] = [start]
    if server.running < server.slots:
        start()
    else:
        server.waiting.append(queued_start)
    return cancel


def read_quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, or 0 if there are none.

    :param values: in any order.
    :param share: the quantile, 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def read_busy(loop: EventLoop, server: Server) -> float:
    """Return for how many seconds at least one request has run at the target.

    :param loop: the event loop.
    :param server: the target.
    """
    return server.busy_s + (loop.now - server.busy_since if server.running else 0.0)
