"""A node that runs several times slower than usual and gets as many requests as before."""

import random

import pytest

from ebonyvalve.process.load import lag

DEADLINE_S = 2.0


def run_node(slower: float, *, bounds: bool) -> tuple[int, int]:
    """Share a core among all requests in progress; return how many end in time and how many late.

    For 10 s, 60 requests of callers and 60 of nodes arrive per second. Each needs eight passes of
    the event loop, which take 2 ms in all.
    """
    rng = random.Random(3)
    state = lag.LoopLag()
    step_s = 0.002 * slower / 8
    arrivals = []
    at = 0.0
    while at < 10.0:
        at += rng.expovariate(120)
        arrivals.append(at)
    in_progress: list[list[float]] = []
    now, in_time, late = 0.0, 0, 0
    while arrivals or in_progress:
        taken = 0
        while arrivals and arrivals[0] <= now:
            begun = arrivals.pop(0)
            taken += 1
            if not bounds or lag.can_serve(state, DEADLINE_S):
                in_progress.append([begun, 8])
        # A refusal costs about as much as one pass.
        before = now
        now += max(0.001, (len(in_progress) + taken) * step_s)
        lag.record_wake_up(state, 2 * (now - before) - 0.002)
        for request in in_progress:
            request[1] -= 1
        in_time += sum(passes <= 0 and now - begun <= DEADLINE_S for begun, passes in in_progress)
        late += sum(now - begun > DEADLINE_S for begun, passes in in_progress)
        in_progress = [
            [begun, passes]
            for begun, passes in in_progress
            if passes > 0 and now - begun <= DEADLINE_S
        ]
    return in_time, late


@pytest.mark.parametrize("slower", [4.0, 5.5, 8.0])
def test_slow_node_finishes_what_it_begins(slower: float) -> None:
    """Two slow nodes of Andinaflota held 923 lookups until their deadlines."""
    in_time, late = run_node(slower, bounds=True)
    _, late_without = run_node(slower, bounds=False)
    assert late <= late_without / 4
    assert in_time > 300


def test_usual_lag_refuses_nothing() -> None:
    """Wake-ups of a process that is only busy are a few milliseconds late, which is harmless."""
    state = lag.LoopLag()
    for _ in range(100):
        lag.record_wake_up(state, 0.01)
    assert lag.can_serve(state, 0.2)


def test_resumed_process_serves_at_once() -> None:
    """A process that was suspended for seconds is late only once and must soon serve again."""
    state = lag.LoopLag()
    lag.record_wake_up(state, 8.0)
    for _ in range(4):
        lag.record_wake_up(state, 0.001)
    assert lag.can_serve(state, DEADLINE_S)
