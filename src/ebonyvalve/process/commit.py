"""Conditional writes whose outcome is found by reading the rows back if the reply is lost."""

import enum

from returns import result
import trio

from ebonyvalve.process import platform

MAX_READ_BACKS = 4
READ_BACK_PAUSE_S = 0.05


class WriteOutcome(enum.Enum):
    """What the rows show about a write whose reply was lost."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    # No row has changed: the write was not applied, but may be applied later.
    UNCHANGED = "unchanged"
    # Other writes have changed the rows so that this one's outcome can't be determined.
    AMBIGUOUS = "ambiguous"


def classify_write(
    expected: platform.Expected, writes: platform.Writes, rows: dict[str, platform.Row]
) -> WriteOutcome:
    """Determine from the rows whether a write was applied.

    Every value must be unique to its writer and attempt, for example by containing the writer's
    incarnation and term, because another writer may have reached the same version. As a write is
    atomic, one row that shows it is enough.

    :param expected: the version that was required of each key.
    :param writes: the new value of each key; ``None`` deletes it.
    :param rows: the rows as read back, for all keys of both.
    """
    for key, value in writes.items():
        if value is not None and rows[key].version > 0 and rows[key].value == value:
            return WriteOutcome.COMMITTED
    # A version above 0 never recurs, so a write that fails such a condition can't apply later.
    # A row that was expected to be missing may be created and deleted again, and then satisfy the
    # condition of a write that is still in flight.
    is_blocked = any(
        version > 0 and rows[key].version != version for key, version in expected.items()
    )
    if is_blocked and any(_shows_not_applied(expected.get(key), rows[key]) for key in writes):
        return WriteOutcome.CONFLICT
    if expected and all(rows[key].version == version for key, version in expected.items()):
        return WriteOutcome.UNCHANGED
    return WriteOutcome.AMBIGUOUS


def _shows_not_applied(version: int | None, row: platform.Row) -> bool:
    """Return whether a row that has another value than the written one shows that the write failed.

    The next version after the expected one belongs to another writer then. A deleted row that is
    created again resumes at an unknown version, so the next version of a missing row is known only
    if it is 1.
    """
    if version is None:
        return False
    return row.version == version + 1 or 0 < version == row.version


async def commit_and_verify(
    table: platform.Table, expected: platform.Expected, writes: platform.Writes
) -> platform.CommitState:
    """Commit a conditional write, and read the rows back if the outcome is unknown.

    If no row has changed, the write may still be in flight, so it is sent again: whichever of the
    two is applied first makes the other one conflict. ``UNKNOWN`` is returned if the table does not
    answer, or if later writes hide whether this one was applied.

    :param table: the table service.
    :param expected: the version that each key must have; 0 for a missing row.
    :param writes: the new value of each key, unique to this write (see :func:`classify_write`).
    """
    state = await table.commit(expected, writes)
    if state is not platform.CommitState.UNKNOWN:
        return state
    # Unless a written row has a condition, repeating the write could undo another writer's.
    is_repeatable = any(key in expected for key in writes)
    for attempt in range(MAX_READ_BACKS):
        outcome = await _read_back(table, expected, writes)
        if outcome is WriteOutcome.COMMITTED:
            return platform.CommitState.COMMITTED
        if outcome is WriteOutcome.CONFLICT:
            return platform.CommitState.CONFLICT
        if outcome is WriteOutcome.AMBIGUOUS:
            return platform.CommitState.UNKNOWN
        if outcome is WriteOutcome.UNCHANGED and is_repeatable:
            state = await table.commit(expected, writes)
            if state is platform.CommitState.COMMITTED:
                return state
            if state is platform.CommitState.CONFLICT:
                # Either the first attempt or another writer's commit was applied in the meantime.
                continue
        await trio.sleep(READ_BACK_PAUSE_S * 2**attempt)
    return platform.CommitState.UNKNOWN


async def _read_back(
    table: platform.Table, expected: platform.Expected, writes: platform.Writes
) -> WriteOutcome | None:
    rows: dict[str, platform.Row] = {}
    for key in [*expected, *writes]:
        answer = await table.read(key)
        if not isinstance(answer, result.Success):
            return None
        rows[key] = answer.unwrap()
    return classify_write(expected, writes, rows)
