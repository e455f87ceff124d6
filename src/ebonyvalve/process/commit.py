"""Settles a conditional write whose reply was lost, by reading the table back."""

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
    # No row has changed. The write was not applied, or not yet.
    UNCHANGED = "unchanged"
    # Rows have changed so often, or so, that the write cannot be told from others.
    AMBIGUOUS = "ambiguous"


def classify_write(
    expected: platform.Expected, writes: platform.Writes, rows: dict[str, platform.Row]
) -> WriteOutcome:
    """Decide from the rows whether a write was applied.

    Every value must be unique to its writer and attempt, for example by containing the writer's
    incarnation and term, because another writer may have reached the same version. As a write is
    all or nothing, one row that shows it is enough.

    :param expected: the version that was required of each key.
    :param writes: the new value of each key; ``None`` deletes it.
    :param rows: what was read back for all keys of both.
    """
    for key, value in writes.items():
        if value is not None and rows[key].version > 0 and rows[key].value == value:
            return WriteOutcome.COMMITTED
    # A row with a version above 0 never returns to it, so that a write that is blocked by one can't
    # be applied later. A missing row that was created may be deleted again, and then let through a
    # write that is still on its way.
    is_blocked = any(
        version > 0 and rows[key].version != version for key, version in expected.items()
    )
    if is_blocked and any(_shows_not_applied(expected.get(key), rows[key]) for key in writes):
        return WriteOutcome.CONFLICT
    if expected and all(rows[key].version == version for key, version in expected.items()):
        return WriteOutcome.UNCHANGED
    return WriteOutcome.AMBIGUOUS


def _shows_not_applied(version: int | None, row: platform.Row) -> bool:
    """Return whether a written row, which has another value, shows that the write is not applied.

    The next version, if another writer has it, was not ours. A row that was deleted before resumes
    at an unknown version, so that a missing row's next version is known only if it is 1.
    """
    if version is None:
        return False
    return row.version == version + 1 or 0 < version == row.version


async def commit_and_verify(
    table: platform.Table, expected: platform.Expected, writes: platform.Writes
) -> platform.CommitState:
    """Commit a conditional write and settle an unknown reply by reading back.

    If no row has changed, the write may still be on its way. It is sent again: whichever of the two
    is applied first makes the other one conflict. ``UNKNOWN`` is returned if the table does not
    answer, or if later writes have hidden whether this one was applied.

    :param table: the table service.
    :param expected: the version that each key must have; 0 for a missing row.
    :param writes: the new value of each key, unique to this write (see :func:`judge`).
    """
    state = await table.commit(expected, writes)
    if state is not platform.CommitState.UNKNOWN:
        return state
    # Without a written row under a condition, sending again could undo the write of another.
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
                # Either the first send was applied in between, or another writer's commit.
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
