"""Tests of finding the outcome of a write by reading back when its reply was lost."""

import collections
import dataclasses
import random

import pytest
from returns import result
import trio.testing

from ebonyvalve.process import commit, platform


def row(value: bytes, version: int) -> platform.Row:
    return platform.Row(value=value, version=version)


MISSING = platform.Row()
OWN = b"node-1 term 8"
OTHER = b"node-2 term 8"
# expected versions, writes, rows read back, outcome
CASES: dict[str, tuple[dict[str, int], dict[str, bytes | None], dict[str, platform.Row], str]] = {
    "applied": ({"a": 3}, {"a": OWN}, {"a": row(OWN, 4)}, "committed"),
    "same version, value of another": ({"a": 3}, {"a": OWN}, {"a": row(OTHER, 4)}, "conflict"),
    "not applied yet": ({"a": 3}, {"a": OWN}, {"a": row(b"old", 3)}, "unchanged"),
    "overwritten since": ({"a": 3}, {"a": OWN}, {"a": row(OTHER, 5)}, "ambiguous"),
    "one of two overwritten": (
        {"a": 3, "b": 1},
        {"a": OWN, "b": OWN},
        {"a": row(OTHER, 9), "b": row(OWN, 2)},
        "committed",
    ),
    "one of two taken by another": (
        {"a": 3, "b": 1},
        {"a": OWN, "b": OWN},
        {"a": row(OTHER, 9), "b": row(OTHER, 2)},
        "conflict",
    ),
    "created": ({"a": 0}, {"a": OWN}, {"a": row(OWN, 1)}, "committed"),
    "created above a deleted row": ({"a": 0}, {"a": OWN}, {"a": row(OWN, 6)}, "committed"),
    # The other writer's row may be deleted, and the delayed write may be applied then.
    "created by another": ({"a": 0}, {"a": OWN}, {"a": row(OTHER, 1)}, "ambiguous"),
    "created by another, and blocked for good": (
        {"a": 0, "b": 2},
        {"a": OWN},
        {"a": row(OTHER, 1), "b": row(OTHER, 3)},
        "conflict",
    ),
    "created by another above a deleted row": (
        {"a": 0},
        {"a": OWN},
        {"a": row(OTHER, 6)},
        "ambiguous",
    ),
    "deleted by somebody": ({"a": 3}, {"a": None}, {"a": MISSING}, "ambiguous"),
    "delete beside a write": (
        {"a": 3, "b": 1},
        {"a": None, "b": OWN},
        {"a": MISSING, "b": row(OWN, 2)},
        "committed",
    ),
    "condition on another row has changed": (
        {"a": 3, "b": 1},
        {"a": OWN},
        {"a": row(b"old", 3), "b": row(OTHER, 2)},
        "conflict",
    ),
    "empty value of a missing row": ({"a": 3}, {"a": b""}, {"a": MISSING}, "ambiguous"),
    "without a condition": ({}, {"a": OWN}, {"a": row(OTHER, 2)}, "ambiguous"),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_classify_write(
    case: tuple[dict[str, int], dict[str, bytes | None], dict[str, platform.Row], str],
) -> None:
    """Guards against a writer that takes another's write for its own, or its own for failed."""
    expected, writes, rows, outcome = case
    assert commit.classify_write(expected, writes, rows) is commit.WriteOutcome(outcome)


def open_late(memory: platform.Memory, *, also: platform.Writes | None) -> platform.Table:
    """Return a table whose first commit is applied only while the second is under way."""
    inner = platform.open_memory(memory).table
    waiting: list[tuple[platform.Expected, platform.Writes]] = []

    async def commit_late(
        expected: platform.Expected, writes: platform.Writes
    ) -> platform.CommitState:
        if not waiting:
            waiting.append((expected, writes))
            return platform.CommitState.UNKNOWN
        if also is not None:
            platform.apply_commit(memory, {}, also)
        platform.apply_commit(memory, *waiting[0])
        return await inner.commit(expected, writes)

    return platform.Table(read=inner.read, scan=inner.scan, commit=commit_late)


async def test_write_applied_late(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reporting a conflict if a repeated write conflicts with its first attempt."""
    memory = platform.Memory()
    table = open_late(memory, also=None)
    state = await commit.commit_and_verify(table, {"a": 0}, {"a": OWN})
    assert state is platform.CommitState.COMMITTED
    assert memory.rows["a"] == row(OWN, 1)


async def test_write_overtaken(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reporting a write as applied after another writer's made it conflict."""
    memory = platform.Memory()
    table = open_late(memory, also={"a": OTHER})
    platform.apply_commit(memory, {}, {"a": b"old"})
    state = await commit.commit_and_verify(table, {"a": 1}, {"a": OWN})
    assert state is platform.CommitState.CONFLICT
    assert memory.rows["a"] == row(OTHER, 2)


async def test_unconditional_write_is_not_repeated(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against repeating a write without conditions, which could undo another writer's."""
    memory = platform.Memory(is_down=True)
    state = await commit.commit_and_verify(platform.open_memory(memory).table, {}, {"a": OWN})
    assert state is platform.CommitState.UNKNOWN
    memory.is_down = False
    commits = memory.commits
    await commit.commit_and_verify(open_late(memory, also=None), {}, {"a": OWN})
    assert memory.commits == commits


@dataclasses.dataclass(kw_only=True)
class FaultyTable:
    """A table that loses replies, delays and drops commits, and has a concurrent writer."""

    rng: random.Random
    allows_deletes: bool
    memory: platform.Memory = dataclasses.field(default_factory=platform.Memory)
    delayed: list[tuple[platform.Expected, platform.Writes]] = dataclasses.field(
        default_factory=list
    )
    applied: int = 0


def apply(faulty: FaultyTable, expected: platform.Expected, writes: platform.Writes) -> bool:
    state = platform.apply_commit(faulty.memory, expected, writes)
    is_applied = state is platform.CommitState.COMMITTED
    faulty.applied += is_applied
    return is_applied


def interleave(faulty: FaultyTable) -> None:
    """Apply delayed commits and writes of another writer at random."""
    for entry in list(faulty.delayed):
        if faulty.rng.random() < 0.3:
            faulty.delayed.remove(entry)
            apply(faulty, *entry)
    while faulty.rng.random() < 0.25:
        key = faulty.rng.choice("ab")
        value = None if faulty.allows_deletes and faulty.rng.random() < 0.4 else OTHER
        platform.apply_commit(faulty.memory, {}, {key: value})


def open_faulty(faulty: FaultyTable) -> platform.Table:
    inner = platform.open_memory(faulty.memory).table

    async def read(key: str) -> platform.RowResult:
        interleave(faulty)
        if faulty.rng.random() < 0.1:
            return result.Failure(platform.StoreFailure.UNAVAILABLE)
        return await inner.read(key)

    async def commit_faultily(
        expected: platform.Expected, writes: platform.Writes
    ) -> platform.CommitState:
        interleave(faulty)
        outcome = faulty.rng.choice(["answered", "lost", "dropped", "delayed"])
        if outcome == "delayed":
            faulty.delayed.append((expected, writes))
        if outcome in ("delayed", "dropped"):
            return platform.CommitState.UNKNOWN
        is_applied = apply(faulty, expected, writes)
        if outcome == "lost":
            return platform.CommitState.UNKNOWN
        return platform.CommitState.COMMITTED if is_applied else platform.CommitState.CONFLICT

    return platform.Table(read=read, scan=inner.scan, commit=commit_faultily)


@pytest.mark.parametrize("allows_deletes", [False, True])
async def test_outcomes_hold_under_faults(
    allows_deletes: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an outcome that contradicts what was applied to the table.

    A committed write must have been applied. A write that conflicted must never be applied, not
    even by a delayed attempt that arrives later.
    """
    counts: collections.Counter[platform.CommitState] = collections.Counter()
    for seed in range(3000):
        rng = random.Random(seed)
        faulty = FaultyTable(rng=rng, allows_deletes=allows_deletes)
        for _ in range(rng.randrange(4)):
            interleave(faulty)
        rows = {key: faulty.memory.rows.get(key, platform.Row()) for key in "ab"}
        expected = {key: max(row.version, 0) for key, row in rows.items()}
        writes: platform.Writes = dict.fromkeys(rng.choice(["a", "ab"]), OWN)
        if allows_deletes and rng.random() < 0.2:
            writes["b"] = None
        state = await commit.commit_and_verify(open_faulty(faulty), expected, writes)
        for entry in faulty.delayed:
            apply(faulty, *entry)
        counts[state] += 1
        if state is platform.CommitState.COMMITTED:
            assert faulty.applied >= 1, seed
        if state is platform.CommitState.CONFLICT:
            assert faulty.applied == 0, seed
        if not allows_deletes:
            assert faulty.applied <= 1, seed
    assert min(counts.values()) > 50 and len(counts) == 3, counts
