"""The interface of the store, whatever protocol it speaks."""

import collections.abc
import dataclasses
import enum
import typing

from ebonyvalve.process.keyspace import lease

TableName = typing.NewType("TableName", str)
MISSING = 0


class Failure(enum.Enum):
    """Why a call to the store gave no result."""

    # Nothing was done: the call was refused, or no connection was made.
    UNAVAILABLE = "unavailable"
    # The answer was lost. The write may have been applied, or may still be applied later.
    UNKNOWN = "unknown"
    # The changes that a follow asked for are no longer kept; the table has to be read again.
    HISTORY_GONE = "history-gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Name:
    """Identifies a row of the store; ``part`` is the partition of its table."""

    table: TableName
    key: str
    part: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row. Version 0 means that it does not exist."""

    name: Name
    value: bytes = b""
    version: int = MISSING
    is_removed: bool = False


def is_missing(row: Row) -> bool:
    """Return whether a row does not exist, because it was removed or never written.

    :param row: the row.
    """
    return row.is_removed or row.version == MISSING


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rows:
    """Rows as of one moment, with the newest version and a reading of the store's clock.

    ``has_more`` is set if this is one page of several, ``is_relayed`` if another node has sent
    them. They were current at least ``lead_s`` seconds after they were requested, which is negative
    for rows that another node had read before, and ``None`` if unknown.
    """

    rows: tuple[Row, ...]
    version: int
    clock: lease.StoreClock | None
    has_more: bool = False
    is_relayed: bool = False
    lead_s: float | None = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """A transaction that was applied; ``version`` is the new version of all rows it wrote."""

    version: int
    clock: lease.StoreClock | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A transaction that was not applied, with the current rows that its conditions named."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Store:
    """The calls of the store.

    ``read(table)`` returns all rows of a table's unnamed part.
    ``follow(table, version, wait seconds)`` is a long poll that returns the rows that changed after
    a version as soon as there is one.
    ``commit(expected versions, writes)`` applies all writes or none; ``None`` removes a row.
    """

    read: collections.abc.Callable[[TableName], collections.abc.Awaitable[Rows | Failure]]
    follow: collections.abc.Callable[
        [TableName, int, float], collections.abc.Awaitable[Rows | Failure]
    ]
    commit: collections.abc.Callable[
        [dict[Name, int], dict[Name, bytes | None]],
        collections.abc.Awaitable[Committed | Conflict | Failure],
    ]
