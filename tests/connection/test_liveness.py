"""Policy of the connection pool."""

import hypothesis
from hypothesis import strategies
import pytest

from ebonyvalve.connection import liveness

Phase = liveness.Phase
P99_S = 0.02


def make(phase: Phase, asked_at: float, progress_at: float, opened_at: float = 0.0) -> object:
    return liveness.Connection(
        opened_at=opened_at, phase=phase, awaiting_since=asked_at, progress_at=progress_at
    )


def number(*connections: object) -> dict[liveness.ConnectionId, liveness.Connection]:
    return {liveness.ConnectionId(index): one for index, one in enumerate(connections)}  # type: ignore[misc]


IDLE = make(Phase.IDLE, 9.0, 9.9)
OLD = make(Phase.IDLE, 4.0, 4.9)
STUCK = make(Phase.AWAITING, 9.5, 9.4)
BUSY = make(Phase.AWAITING, 9.9, 9.8)
HELD = make(Phase.HELD_BY_CALLER, 5.0, 5.0)
CONNECTING = make(Phase.CONNECTING, 0.0, 0.0, opened_at=9.999)


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
        # An idle connection that progressed after the overdue one was asked is trusted.
        ([STUCK, IDLE], "reuse", 1, ()),
        ([STUCK, make(Phase.IDLE, 9.0, 9.3)], "open", None, ()),
        ([STUCK, make(Phase.IDLE, 9.0, 9.3), BUSY], "open", None, (1,)),
    ],
)
def test_pick(
    connections: list[object], use: str, which: int | None, retire: tuple[int, ...]
) -> None:
    """Guards against reuse of a silent connection, and against probing where connecting does."""
    pick = liveness.pick(number(*connections), now=10.0, max_connections=3, p99_s=P99_S)
    assert (pick.action.value, pick.connection, pick.retire) == (use, which, retire)


@pytest.mark.parametrize(
    ("connections", "silent", "health"),
    [
        ([BUSY, IDLE], [], "progressing"),
        ([STUCK, IDLE], [0], "progressing"),
        ([HELD, IDLE], [], "progressing"),
        # All of them stopped together; nothing tells the target from its connections.
        ([STUCK, make(Phase.IDLE, 9.0, 9.4)], [], "doubtful"),
        ([STUCK, make(Phase.AWAITING, 9.6, 0.0, opened_at=9.6)], [], "stalled"),
        ([STUCK, STUCK], [], "doubtful"),
        ([STUCK, make(Phase.AWAITING, 9.9, 0.0, opened_at=9.9)], [], "doubtful"),
    ],
)
def test_silence(connections: list[object], silent: list[int], health: str) -> None:
    """Guards against a stopped target taken for a silent connection, and the reverse."""
    all_ = number(*connections)
    assert liveness.find_silent(all_, now=10.0, p99_s=P99_S) == silent
    assert liveness.assess_health(all_, now=10.0, p99_s=P99_S).value == health


def test_patience_follows_the_target() -> None:
    """Guards against retiring the connections of a slow target."""
    slow = number(STUCK, IDLE)
    assert liveness.find_silent(slow, now=10.0, p99_s=0.2) == []
    assert liveness.find_idle(number(IDLE, OLD, BUSY), now=10.0) == [1]


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
        ("SILENT_FACTOR", 0.0, test_patience_follows_the_target),
    ],
)
def test_broken_policy_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against checks that pass whatever the code does."""
    monkeypatch.setattr(liveness, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
