"""Decides who may hold which keys after the store was restored from an older copy.

The copy may lack the newest writes of the ledger. A node that held keys by a valid lease knows that
nobody else got them, because that would have taken its own release or the end of its lease. Such a
node keeps them. All other keys wait until the leases of the earlier era have certainly ended.
"""

import collections.abc
import dataclasses

import msgspec

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import lease, ledger
from ebonyvalve.process.store import era

# Every lease of an earlier era has ended this long after the restore. A lease is computed from a
# reading of the store's clock that is uncertain by at most the time-out of a call, 2 s, plus 2 ms
# for each second of its age. Half a lease covers both through an outage of half an hour.
INHERITED_S = 1.5 * lease.LEASE_S
ALL_KEYS = (0, identity.LAST_KEY_SLOT)

Range = tuple[int, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inheritance:
    """The spans that this node certainly held when it saw the newest era.

    ``until_s`` is the end of the lease by which it held them, on the store's clock.
    """

    spans: tuple[ledger.Span, ...] = ()
    until_s: float = 0.0


def is_begun(current: ledger.Ledger, number: int) -> bool:
    """Return whether a ledger was written in an era, and not only found in a copy.

    :param current: the ledger.
    :param number: the era.
    """
    return era.find_era(current.since) >= number


def is_newer(
    known: ledger.Ledger, known_version: int, found: ledger.Ledger, found_version: int
) -> bool:
    """Return whether a known ledger is newer than one that was found in the store.

    Within an era the store's own versions tell. A ledger of a later one is always newer.

    :param known: the known ledger.
    :param known_version: the store's own version when it was written.
    :param found: the other ledger.
    :param found_version: the store's own version of its row.
    """
    return (known.since, known_version) > (found.since, found_version)


def inherit(
    current: ledger.Ledger,
    before: Inheritance,
    node: identity.NodeId,
    *,
    number: int,
    until_s: float,
    is_disputed: collections.abc.Callable[[ledger.Span], bool],
) -> Inheritance:
    """Return what a node certainly holds at the end of an era, if its lease is still valid.

    :param current: the ledger that the node knows.
    :param before: what it had inherited from the era before.
    :param node: the node.
    :param number: the era that has ended.
    :param until_s: the end of its lease on the store's clock.
    :param is_disputed: returns whether a write of this node that gives a span away may have been
        applied.
    """
    known = restrict(current, before, number)
    spans = tuple(span for span in known.spans if span.node == node and not is_disputed(span))
    if not is_begun(current, number):
        until_s = min(until_s, before.until_s)
    return Inheritance(spans=spans, until_s=until_s)


def restrict(current: ledger.Ledger, inheritance: Inheritance, number: int) -> ledger.Ledger:
    """Return a ledger without the keys that another node may still hold by an earlier lease.

    :param current: the ledger.
    :param inheritance: what this node certainly held.
    :param number: the era.
    """
    barred: collections.abc.Iterable[Range] = current.unconfirmed
    if not is_begun(current, number):
        barred = (ALL_KEYS,)
    barred = subtract(barred, list_ranges(inheritance))
    if not barred:
        return current
    return ledger.vacate(cut(current, barred), lambda span: _find_parts(span, barred) != [])


def begin(current: ledger.Ledger, *, since: int, settled_s: float) -> ledger.Ledger:
    """Return the first ledger of an era, with fences above all that may have been issued before.

    Every fence is at most the version at which its ledger was written.

    :param current: the newest ledger that the node knows.
    :param since: the version up to which the node has read the store in this era.
    :param settled_s: when all leases of earlier eras have ended, on the store's clock.
    """
    spans = tuple(msgspec.structs.replace(span, fence=since) for span in current.spans)
    return ledger.Ledger(spans=spans, since=since, unconfirmed=(ALL_KEYS,), settled_s=settled_s)


def confirm(current: ledger.Ledger, inheritance: Inheritance) -> ledger.Ledger:
    """Return a ledger that gives a node the unconfirmed keys which it certainly holds.

    :param current: the ledger.
    :param inheritance: what the node holds.
    """
    unconfirmed = tuple(subtract(current.unconfirmed, list_ranges(inheritance)))
    if current.unconfirmed == unconfirmed:
        return current
    confirmed = msgspec.structs.replace(current, unconfirmed=unconfirmed)
    for held in inheritance.spans:
        own_range = [(held.first, held.last)]
        claimed = subtract(own_range, subtract(own_range, current.unconfirmed))
        if any(span.node != held.node for span in _list_spans(current, claimed)):
            confirmed = _assign(confirmed, claimed, held)
    return confirmed


def _assign(
    current: ledger.Ledger, ranges: collections.abc.Sequence[Range], held: ledger.Span
) -> ledger.Ledger:
    """Return a ledger that gives all keys in some ranges to the holder of a span."""
    spans = tuple(
        (
            msgspec.structs.replace(
                span,
                fence=span.fence + 1,
                node=held.node,
                holder=held.holder,
                successor_node="",
                successor="",
                handover="",
            )
            if span.node != held.node and _find_parts(span, ranges)
            else span
        )
        for span in cut(current, ranges).spans
    )
    return msgspec.structs.replace(current, spans=spans)


def clear(current: ledger.Ledger) -> ledger.Ledger:
    """Return a ledger in which all keys are confirmed, after the leases of earlier eras have ended.

    :param current: the ledger.
    """
    return msgspec.structs.replace(current, unconfirmed=(), settled_s=0.0)


def list_ranges(inheritance: Inheritance) -> list[Range]:
    """Return the ranges of keys of an inheritance.

    :param inheritance: what a node holds.
    """
    return [(span.first, span.last) for span in inheritance.spans]


def subtract(
    ranges: collections.abc.Iterable[Range], removed: collections.abc.Iterable[Range]
) -> list[Range]:
    """Return ranges without the keys of others; both are in ascending order and don't overlap.

    :param ranges: the ranges, by first and last key.
    :param removed: the ranges to take out.
    """
    removed = list(removed)
    left = []
    for first, last in ranges:
        for removed_first, removed_last in removed:
            if removed_last < first or removed_first > last:
                continue
            if removed_first > first:
                left.append((first, removed_first - 1))
            first = removed_last + 1
        if first <= last:
            left.append((first, last))
    return left


def cut(current: ledger.Ledger, ranges: collections.abc.Iterable[Range]) -> ledger.Ledger:
    """Return a ledger whose spans each lie within a range or outside of all.

    :param current: the ledger.
    :param ranges: the ranges.
    """
    starts = sorted({start for first, last in ranges for start in (first, last + 1)})
    spans: list[ledger.Span] = []
    for span in current.spans:
        inner = [start for start in starts if span.first < start <= span.last]
        firsts = [span.first, *inner]
        lasts = [*(start - 1 for start in inner), span.last]
        spans.extend(
            msgspec.structs.replace(span, first=first, last=last)
            for first, last in zip(firsts, lasts, strict=True)
        )
    return msgspec.structs.replace(current, spans=tuple(spans))


def _find_parts(span: ledger.Span, ranges: collections.abc.Iterable[Range]) -> list[Range]:
    return [(first, last) for first, last in ranges if first <= span.last and last >= span.first]


def _list_spans(
    current: ledger.Ledger, ranges: collections.abc.Sequence[Range]
) -> list[ledger.Span]:
    return [span for span in current.spans if _find_parts(span, ranges)]
