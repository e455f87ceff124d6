"""Tests of the connection pool's policy."""

import hypothesis
from hypothesis import strategies
import pytest

from ebonyvalve.connection import liveness

Phase = liveness.Phase
P99_S = 0.02


def build_connection(
    phase: Phase, awaiting_since: float, progress_at: float, opened_at: float = 0.0
) -> object:
    return liveness.Connection(
        opened_at=opened_at, phase=phase, awaiting_since=awaiting_since, progress_at=progress_at
    )


def assign_ids(*connections: object) -> dict[liveness.ConnectionId, liveness.Connection]:
    return {liveness.ConnectionId(index): each for index, each in enumerate(connections)}  # type: ignore[misc]


IDLE = build_connection(Phase.IDLE, 9.0, 9.9)
OLD = build_connection(Phase.IDLE, 4.0, 4.9)
STUCK = build_connection(Phase.AWAITING, 9.5, 9.4)
BUSY = build_connection(Phase.AWAITING, 9.9, 9.8)
HELD = build_connection(Phase.HELD_BY_CALLER, 5.0, 5.0)
CONNECTING = build_connection(Phase.CONNECTING, 0.0, 0.0, opened_at=9.999)


@pytest.mark.parametrize(
    ("connections", "use", "which", "retire"),
    [
        ([], "open", None, ()),
        ([IDLE], "reuse", 0, ()),
        ([OLD, IDLE], "reuse", 1, ()),
        ([OLD], "open", None, ()),
        ([BUSY, BUSY], "open", None, ()),
        ([BUSY, BUSY, CONNECTING], "wait", None, ()),
        ([BUSY, OLD, CONNECTING], "open", None, (1,)),
        # An idle connection is reused if it received bytes after the wait of the overdue one began.
        ([STUCK, IDLE], "reuse", 1, ()),
        ([STUCK, build_connection(Phase.IDLE, 9.0, 9.3)], "open", None, ()),
        ([STUCK, build_connection(Phase.IDLE, 9.0, 9.3), BUSY], "open", None, (1,)),
    ],
)
def test_pick(
    connections: list[object], use: str, which: int | None, retire: tuple[int, ...]
) -> None:
    """Guards against reuse of a silent connection, and against probing where connecting does."""
    pick = liveness.pick(assign_ids(*connections), now=10.0, max_connections=3, p99_s=P99_S)
    assert (pick.action.value, pick.connection, pick.retire) == (use, which, retire)


@pytest.mark.parametrize(
    ("connections", "silent", "health"),
    [
        ([BUSY, IDLE], [], "progressing"),
        ([STUCK, IDLE], [0], "progressing"),
        ([HELD, IDLE], [], "progressing"),
        # All connections stopped together: the target or its connections may have failed.
        ([STUCK, build_connection(Phase.IDLE, 9.0, 9.4)], [], "doubtful"),
        ([STUCK, build_connection(Phase.AWAITING, 9.6, 0.0, opened_at=9.6)], [], "stalled"),
        ([STUCK, STUCK], [], "doubtful"),
        ([STUCK, build_connection(Phase.AWAITING, 9.9, 0.0, opened_at=9.9)], [], "doubtful"),
    ],
)
def test_silence(connections: list[object], silent: list[int], health: str) -> None:
    """Guards against taking a stopped target for a silent connection, and the reverse."""
    all_ = assign_ids(*connections)
    assert liveness.find_silent(all_, now=10.0, p99_s=P99_S) == silent
    assert liveness.assess_health(all_, now=10.0, p99_s=P99_S).value == health


def test_silence_timeout_follows_the_latency() -> None:
    """Guards against closing the connections of a slow target."""
    slow = assign_ids(STUCK, IDLE)
    assert liveness.find_silent(slow, now=10.0, p99_s=0.2) == []
    assert liveness.find_idle(assign_ids(IDLE, OLD, BUSY), now=10.0) == [1]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300, database=None)
@hypothesis.given(
    bound=strategies.integers(1, 5),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "progress", "finish", "hold", "sweep"]),
            strategies.integers(0, 4),
            strategies.floats(0, 0.5),
        ),
        max_size=60,
    ),
)
def test_bound_holds(bound: int, steps: list[tuple[str, int, float]]) -> None:
    """Guards against more connections than the target accepts, and reuse of a busy one."""
    pool: dict[liveness.ConnectionId, liveness.Connection] = {}
    now = 0.0
    for opened, (step, index, seconds) in enumerate(steps):
        now += seconds
        if step == "ask":
            pick = liveness.pick(pool, now=now, max_connections=bound)
            for name in pick.retire:
                assert pool.pop(name).phase is Phase.IDLE
            if pick.action is liveness.Action.OPEN:
                name = liveness.ConnectionId(opened)
                pool[name] = liveness.Connection(opened_at=now)
                liveness.record_connected(pool[name], now)
                liveness.record_awaiting(pool[name], now)
            elif pick.connection is not None:
                assert pool[pick.connection].phase is Phase.IDLE
                liveness.record_awaiting(pool[pick.connection], now)
            else:
                assert len(pool) == bound
        elif step == "sweep":
            for name in liveness.find_silent(pool, now=now, p99_s=None):
                del pool[name]
        elif pool:
            connection = list(pool.values())[index % len(pool)]
            if step == "progress":
                liveness.record_progress(connection, now)
            elif step == "hold":
                liveness.record_held_by_caller(connection)
            else:
                liveness.record_idle(connection, now)
        assert len(pool) <= bound


def pick_open(connections: object, **details: object) -> liveness.Pick:
    return liveness.Pick(action=liveness.Action.OPEN)


@pytest.mark.parametrize(
    ("name", "value", "check"),
    [
        ("pick", pick_open, test_bound_holds),
        ("MAX_IDLE_S", 99.0, lambda: test_pick([OLD], "open", None, ())),
        ("MIN_SILENT_S", 99.0, lambda: test_silence([STUCK, IDLE], [0], "progressing")),
        ("SILENT_FACTOR", 0.0, test_silence_timeout_follows_the_latency),
    ],
)
def test_broken_policy_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against tests that pass with a broken policy."""
    monkeypatch.setattr(liveness, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
