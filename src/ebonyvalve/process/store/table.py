"""The table that outlives every process, as the decisions see it."""

import collections.abc
import dataclasses
import enum
import typing

from ebonyvalve.process.keyspace import lease

TableName = typing.NewType("TableName", str)
MISSING = 0


class Failure(enum.Enum):
    """Why a call of the store gave no result."""

    # Nothing was done: refused, or no connection was made.
    UNAVAILABLE = "unavailable"
    # The answer was lost. A write may have been applied, or may be applied later.
    UNKNOWN = "unknown"
    # The history that a feed asked for is gone; read everything again.
    HISTORY_GONE = "history-gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Name:
    """The place of a row."""

    table: TableName
    key: str
    part: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One row. Version 0 means that it does not exist."""

    name: Name
    value: bytes = b""
    version: int = MISSING
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rows:
    """Rows as of one moment, with the newest version and a reading of the store's clock.

    ``has_more`` says that they are one page of several.
    """

    rows: tuple[Row, ...]
    version: int
    clock: lease.StoreClock | None
    has_more: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """A transaction that was applied. ``version`` is the version of all rows that it wrote."""

    version: int
    clock: lease.StoreClock | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A transaction of which nothing was applied, with the rows of its conditions."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Store:
    """The calls of the table.

    ``commit(expected versions, writes)`` applies all or nothing; ``None`` removes a row.
    ``read`` returns all rows of a table's part; ``follow(table, version, wait seconds)`` returns
    the rows that changed after a version as soon as there is one.
    """

    read: collections.abc.Callable[[TableName], collections.abc.Awaitable[Rows | Failure]]
    follow: collections.abc.Callable[
        [TableName, int, float], collections.abc.Awaitable[Rows | Failure]
    ]
    commit: collections.abc.Callable[
        [dict[Name, int], dict[Name, bytes | None]],
        collections.abc.Awaitable[Committed | Conflict | Failure],
    ]
