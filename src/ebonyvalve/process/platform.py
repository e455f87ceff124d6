"""Interfaces of the platform's table service and object store, and a stand-in in memory."""

import collections.abc
import dataclasses
import enum

from returns import result
import trio


class CommitState(enum.Enum):
    """The result of a conditional write."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    # The reply was lost, invalid or late. The write may have been applied; a read shows whether it
    # was.
    UNKNOWN = "unknown"


class StoreFailure(enum.Enum):
    """Why a read, or a write of an object, failed."""

    UNAVAILABLE = "unavailable"
    MISSING = "missing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the table. Version 0 means that the row does not exist."""

    value: bytes = b""
    version: int = 0


RowResult = result.Result[Row, StoreFailure]
RowsResult = result.Result[dict[str, Row], StoreFailure]
BodyResult = result.Result[bytes, StoreFailure]
PutResult = result.Result[None, StoreFailure]
# The version that the row of each key must have; 0 for a missing row.
Expected = dict[str, int]
# The new value of each key; ``None`` deletes the row.
Writes = dict[str, bytes | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """The table service.

    ``read`` returns one row, and ``scan`` the rows whose keys begin with a prefix. ``commit``
    applies all writes if every expected version matches, and none otherwise. Writing ``None``
    deletes a row. Versions of a row always grow, also when a deleted row is written again.
    """

    read: collections.abc.Callable[[str], collections.abc.Awaitable[RowResult]]
    scan: collections.abc.Callable[[str], collections.abc.Awaitable[RowsResult]]
    commit: collections.abc.Callable[[Expected, Writes], collections.abc.Awaitable[CommitState]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObjectStore:
    """The object store, which keeps immutable bodies by name."""

    get: collections.abc.Callable[[str], collections.abc.Awaitable[BodyResult]]
    put: collections.abc.Callable[[str, bytes], collections.abc.Awaitable[PutResult]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """The services of the platform."""

    table: Table
    objects: ObjectStore


@dataclasses.dataclass(kw_only=True)
class Memory:
    """State of the stand-in, with the faults that tests inject.

    ``delay_s`` is the delay of every operation in seconds. ``reads`` and ``commits`` count the
    operations on the table.
    """

    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    bodies: dict[str, bytes] = dataclasses.field(default_factory=dict)
    delay_s: float = 0.0
    is_down: bool = False
    # How many of the next commits are applied although their replies are lost.
    lost_replies: int = 0
    reads: int = 0
    commits: int = 0


def open_memory(memory: Memory) -> Platform:
    """Return platform services that keep their data in memory.

    :param memory: the state, which several nodes may share.
    """

    async def read(key: str) -> RowResult:
        memory.reads += 1
        await trio.sleep(memory.delay_s)
        if memory.is_down:
            return result.Failure(StoreFailure.UNAVAILABLE)
        row = memory.rows.get(key, Row())
        return result.Success(row if row.version > 0 else Row())

    async def scan(prefix: str) -> RowsResult:
        memory.reads += 1
        await trio.sleep(memory.delay_s)
        if memory.is_down:
            return result.Failure(StoreFailure.UNAVAILABLE)
        return result.Success(dict(_list_rows(memory, prefix)))

    async def commit(expected: Expected, writes: Writes) -> CommitState:
        memory.commits += 1
        await trio.sleep(memory.delay_s)
        if memory.is_down:
            return CommitState.UNKNOWN
        state = apply_commit(memory, expected, writes)
        if state is CommitState.COMMITTED and memory.lost_replies > 0:
            memory.lost_replies -= 1
            return CommitState.UNKNOWN
        return state

    async def get(name: str) -> BodyResult:
        await trio.sleep(memory.delay_s)
        if memory.is_down:
            return result.Failure(StoreFailure.UNAVAILABLE)
        if name not in memory.bodies:
            return result.Failure(StoreFailure.MISSING)
        return result.Success(memory.bodies[name])

    async def put(name: str, body: bytes) -> PutResult:
        await trio.sleep(memory.delay_s)
        if memory.is_down:
            return result.Failure(StoreFailure.UNAVAILABLE)
        memory.bodies[name] = body
        return result.Success(None)

    return Platform(
        table=Table(read=read, scan=scan, commit=commit), objects=ObjectStore(get=get, put=put)
    )


def apply_commit(memory: Memory, expected: Expected, writes: Writes) -> CommitState:
    """Apply a conditional write to the stand-in; return whether it was committed or conflicts.

    :param memory: the stand-in's state.
    :param expected: the version that the row of each key must have; 0 for a missing row.
    :param writes: the new value of each key; ``None`` deletes it.
    """
    for key, version in expected.items():
        row = memory.rows.get(key, Row())
        if _live_version(row) != version:
            return CommitState.CONFLICT
    for key, value in writes.items():
        row = memory.rows.get(key, Row())
        memory.rows[key] = Row(value=value or b"", version=abs(row.version) + 1)
        if value is None:
            # A deleted row is kept with a negative version, so that versions never repeat.
            memory.rows[key] = Row(version=-(abs(row.version) + 1))
    return CommitState.COMMITTED


def _live_version(row: Row) -> int:
    return max(row.version, 0)


def _list_rows(memory: Memory, prefix: str) -> collections.abc.Iterator[tuple[str, Row]]:
    for key in sorted(memory.rows):
        if key.startswith(prefix) and memory.rows[key].version > 0:
            yield key, memory.rows[key]
