"""Eras of the store: after a restore from a copy, its versions go back and are issued again.

Inside a node a version is one number that never goes back: the era, then the store's own version.
In era 0, also with a store that knows no eras, it is the store's own number.
"""

import collections.abc
import dataclasses
import logging

import msgspec

from ebonyvalve.process import decision, decoding

log = logging.getLogger(__name__)

# The store counts its writes in the lower bits. At 1000 writes a second they last for 34 years.
ERA_SIZE = 2**40
# Versions with the era stay within ``decoding.MAX_COUNT``, which JSON readers represent exactly.
MAX_ERA = decoding.MAX_COUNT // ERA_SIZE


def _ignore_restore(before: int, current: int) -> None:
    pass


@dataclasses.dataclass(kw_only=True)
class Tracker:
    """The newest era of the store that this node has seen.

    ``is_known`` is set once an answer has told the era. ``base`` is the first version that the
    store has told in the era; rows up to it may come from the copy. It is ``None`` until then.
    ``seen_at`` is when the era was first seen, in seconds on the node's clock. ``restores`` counts
    those that this process has noticed. ``on_restore`` is called with the eras before and after
    one, before anything of the new era is applied.
    """

    current: int = 0
    is_known: bool = False
    base: int | None = None
    seen_at: float = float("-inf")
    restores: int = 0
    on_restore: collections.abc.Callable[[int, int], None] = _ignore_restore


def compose(number: int, version: int) -> int:
    """Return the version as one number; 0, for a row that does not exist, stays 0.

    :param number: the era.
    :param version: the store's own version.
    """
    return number * ERA_SIZE + version if version else 0


def find_era(version: int) -> int:
    """Return the era of a version.

    :param version: the number of era and version.
    """
    return version // ERA_SIZE


def find_own_version(version: int) -> int:
    """Return the store's own version.

    :param version: the number of era and version.
    """
    return version % ERA_SIZE


def observe(tracker: Tracker, number: int, now: float, *, source: str) -> None:
    """Record the era of an answer or a message; an earlier one changes nothing.

    :param tracker: the state.
    :param number: the era.
    :param now: seconds on the node's clock.
    :param source: who told it, for the log.
    """
    was_known, tracker.is_known = tracker.is_known, True
    if number <= tracker.current:
        return
    before, tracker.current = tracker.current, number
    tracker.base, tracker.seen_at = None, now
    if was_known:
        tracker.restores += 1
        decision.record(
            log, logging.WARNING, "store-restored", before=before, era=number, source=source
        )
        tracker.on_restore(before, number)


def record_version(tracker: Tracker, version: int) -> None:
    """Record a version of the whole store in the current era.

    :param tracker: the state.
    :param version: the number of era and version.
    """
    if tracker.current and tracker.base is None and version:
        tracker.base = version


def find_base(tracker: Tracker) -> int:
    """Return the version up to which rows of the current era may come from the copy.

    It is 0 in era 0, in which no row does.

    :param tracker: the state.
    """
    if tracker.base is not None:
        return tracker.base
    return compose(tracker.current, ERA_SIZE - 1) if tracker.current else 0


def is_earlier(tracker: Tracker, version: int) -> bool:
    """Return whether a version is of an earlier era, so that the store no longer knows it.

    :param tracker: the state.
    :param version: the number of era and version; 0 is of every era.
    """
    return version != 0 and find_era(version) < tracker.current


def stamp(tracker: Tracker) -> int | msgspec.UnsetType:
    """Return the era for a row of this node, which is left out of the row in era 0.

    :param tracker: the state.
    """
    return tracker.current or msgspec.UNSET


def is_copied(tracker: Tracker, stamped: int | msgspec.UnsetType, version: int) -> bool:
    """Return whether a row of a node may have come from the copy.

    Nodes of an earlier release stamp no era, so that only the version tells of their rows.

    :param tracker: the state.
    :param stamped: the era in the row.
    :param version: the version of the row.
    """
    number = 0 if isinstance(stamped, msgspec.UnsetType) else stamped
    return number < tracker.current and version <= find_base(tracker)
