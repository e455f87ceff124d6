"""Grants of key ranges to the target beside this node.

Tracks what the target holds, and when a range that it gives up is certain to be free.
"""

import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import lease, ledger


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """A status report of the target beside this node.

    ``holds`` lists the ranges that it holds or still works on as ``(first, last, fence)``.
    ``released`` lists those that it has released since its last answered report as
    ``(first, last, handover)``.
    """

    lifetime: identity.Lifetime
    sequence: int
    holds: tuple[tuple[int, int, int], ...]
    released: tuple[tuple[int, int, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """The answer to a report: every span that the target may hold, and for how many seconds.

    If ``spans`` is ``None``, no hold is renewed.
    """

    spans: tuple[ledger.Span, ...] | None
    hold_s: float


@dataclasses.dataclass(kw_only=True)
class Grantor:
    """What the node knows of its target's holds.

    ``ends_at`` is when everything granted so far has expired, and ``inherited_until`` when
    everything that ended processes of the node granted has, in seconds on the node's clock.
    ``withheld`` has the ranges that answers leave out because they move, by first and last key,
    each with the sequence number of the first report that was answered without it. ``granted``
    has the first and last key of the ranges in the last answer. ``sequence`` and ``holds`` are
    those of the last report, ``released`` comes from all reports of the lifetime.
    """

    lifetime: identity.Lifetime = ledger.NO_HOLDER
    sequence: int = -1
    ends_at: float = 0.0
    inherited_until: float = float("-inf")
    holds: tuple[tuple[int, int, int], ...] = ()
    released: list[tuple[int, int, str]] = dataclasses.field(default_factory=list)
    withheld: dict[tuple[int, int], int] = dataclasses.field(default_factory=dict)
    granted: tuple[tuple[int, int], ...] = ()


def choose_hold(heartbeat_s: float) -> float:
    """Return how many seconds a target may hold its keys without another answer.

    Four lost reports in a row are rare. A longer hold would block the keys of a target that has
    fallen silent for longer.

    :param heartbeat_s: seconds between two reports.
    """
    return max(4.0, 4.0 * heartbeat_s)


def start(*, now: float, max_hold_s: float) -> Grantor:
    """Return the state of a node that has just started.

    The previous incarnation of the node may have granted keys until now.

    :param now: seconds on the node's clock.
    :param max_hold_s: the longest hold that any incarnation grants, in seconds.
    """
    ends_at = lease.find_hold_end(now, max_hold_s)
    return Grantor(ends_at=ends_at, inherited_until=ends_at)


def record_report(grantor: Grantor, report: Report) -> None:
    """Update the state from a report of the target.

    :param grantor: the state.
    :param report: a report that is newer than the last one.
    """
    if report.lifetime != grantor.lifetime:
        grantor.lifetime = report.lifetime
        grantor.released.clear()
        grantor.withheld.clear()
        grantor.granted = ()
    grantor.sequence = report.sequence
    grantor.holds = report.holds
    grantor.released.extend(report.released)


def answer(grantor: Grantor, current: ledger.Ledger | None, *, now: float, hold_s: float) -> Grant:
    """Return the answer to the last report.

    :param grantor: the state.
    :param current: the service's ledger, or ``None`` if it is not known.
    :param now: seconds on the node's clock.
    :param hold_s: how long the node may grant, in seconds on the target's clock.
    """
    if current is None or hold_s <= 0:
        grantor.granted = ()
        return Grant(spans=None, hold_s=0.0)
    held_spans = ledger.list_held(current, grantor.lifetime)
    # A release can't be recognized yet, so that the target goes on serving what it holds.
    is_inheriting = now <= grantor.inherited_until
    spans: list[ledger.Span] = []
    moving: list[tuple[int, int]] = []
    for span in held_spans:
        if span.successor and not (is_inheriting and _is_held(grantor, span)):
            moving.append((span.first, span.last))
        else:
            spans.append(span)
    grantor.withheld = {
        key_range: grantor.withheld.get(key_range, grantor.sequence) for key_range in sorted(moving)
    }
    grantor.ends_at = max(grantor.ends_at, lease.find_hold_end(now, hold_s))
    grantor.granted = tuple((span.first, span.last) for span in spans)
    return Grant(spans=tuple(spans), hold_s=hold_s)


def find_released(grantor: Grantor, current: ledger.Ledger, now: float) -> dict[int, str]:
    """Return the handovers of the moving spans that the target has certainly released.

    A span is released when the target has seen an answer without it and no longer reports it, or
    when all holds have expired. Reports from before a grant of an ended process lack the span too
    and may arrive late, so that the first case counts only after those grants have expired. The
    handovers are by first key; one is empty if none was given.

    :param grantor: the state.
    :param current: the service's ledger.
    :param now: seconds on the node's clock.
    """
    free = {}
    for span in ledger.list_held(current, grantor.lifetime):
        if not span.successor:
            continue
        withheld_since = grantor.withheld.get((span.first, span.last))
        is_informed = withheld_since is not None and grantor.sequence > withheld_since
        is_released = is_informed and now > grantor.inherited_until and not _is_held(grantor, span)
        if is_released or now > grantor.ends_at:
            free[span.first] = _find_handover(grantor, span)
    return free


def _is_held(grantor: Grantor, span: ledger.Span) -> bool:
    """Return whether the target's last report names a key of a span."""
    return any(first <= span.last and last >= span.first for first, last, _ in grantor.holds)


def _find_handover(grantor: Grantor, span: ledger.Span) -> str:
    for first, last, handover in reversed(grantor.released):
        if first <= span.first and last >= span.last:
            return handover
    return ""


def is_granted(grantor: Grantor, key_slot: int, now: float) -> bool:
    """Return whether the last answer grants a key to the target.

    :param grantor: the state.
    :param key_slot: the slot of the key.
    :param now: seconds on the node's clock.
    """
    return now < grantor.ends_at and any(
        first <= key_slot <= last for first, last in grantor.granted
    )
