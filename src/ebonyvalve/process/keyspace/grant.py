"""What the target beside this node holds, and when a range that it loses is provably free."""

import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import lease, ledger


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """A status report of the target beside this node.

    ``holds`` are ``(first, last, fence)`` that it holds or still works on, ``released`` are
    ``(first, last, handover)`` that it released since its last answered report.
    """

    lifetime: identity.Lifetime
    sequence: int
    holds: tuple[tuple[int, int, int], ...]
    released: tuple[tuple[int, int, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """The answer to a report: all that the target is to hold, and for how long.

    ``None`` for ``spans`` renews nothing.
    """

    spans: tuple[ledger.Span, ...] | None
    hold_s: float


@dataclasses.dataclass(kw_only=True)
class Grantor:
    """What the node knows of the holds of the target beside it.

    ``ends_at`` is when everything granted so far has lapsed. ``withheld`` maps the first and last
    key of a range that answers leave out to the report that was answered so for the first time.
    """

    lifetime: identity.Lifetime = ledger.NO_HOLDER
    sequence: int = -1
    ends_at: float = 0.0
    holds: tuple[tuple[int, int, int], ...] = ()
    released: list[tuple[int, int, str]] = dataclasses.field(default_factory=list)
    withheld: dict[tuple[int, int], int] = dataclasses.field(default_factory=dict)
    granted: tuple[tuple[int, int], ...] = ()


def choose_hold(heartbeat_s: float) -> float:
    """Return for how many seconds a target holds its keys without a further answer.

    Four lost reports in a row are rare; a target that has fallen silent blocks its keys for as
    long as this.

    :param heartbeat_s: seconds between two reports.
    """
    return max(4.0, 4.0 * heartbeat_s)


def start(*, now: float, max_hold_s: float) -> Grantor:
    """Return the state of a node that has just started.

    The node before it may have granted keys until now.

    :param now: seconds on the node's clock.
    :param max_hold_s: the longest hold that was ever granted.
    """
    return Grantor(ends_at=lease.find_hold_end(now, max_hold_s))


def record_report(grantor: Grantor, report: Report) -> None:
    """Note what the target says.

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


def answer(grantor: Grantor, book: ledger.Ledger | None, *, now: float, hold_s: float) -> Grant:
    """Return the answer to the last report.

    :param grantor: the state.
    :param book: the service's ledger, or ``None`` if it is not known.
    :param now: seconds on the node's clock.
    :param hold_s: for how long the node may grant, in seconds of the target's clock.
    """
    if book is None or hold_s <= 0:
        grantor.granted = ()
        return Grant(spans=None, hold_s=0.0)
    held = ledger.list_held(book, grantor.lifetime)
    spans = tuple(span for span in held if not span.successor)
    moving = {(span.first, span.last) for span in held if span.successor}
    grantor.withheld = {
        place: grantor.withheld.get(place, grantor.sequence) for place in sorted(moving)
    }
    grantor.ends_at = max(grantor.ends_at, lease.find_hold_end(now, hold_s))
    grantor.granted = tuple((span.first, span.last) for span in spans)
    return Grant(spans=spans, hold_s=hold_s)


def find_released(grantor: Grantor, book: ledger.Ledger, now: float) -> dict[int, str]:
    """Return the moving spans that the target has certainly let go, with their handovers.

    :param grantor: the state.
    :param book: the service's ledger.
    :param now: seconds on the node's clock.
    """
    free = {}
    for span in ledger.list_held(book, grantor.lifetime):
        if not span.successor:
            continue
        since = grantor.withheld.get((span.first, span.last))
        is_told = since is not None and grantor.sequence > since
        is_held = any(first <= span.last and last >= span.first for first, last, _ in grantor.holds)
        if (is_told and not is_held) or now > grantor.ends_at:
            free[span.first] = _find_handover(grantor, span)
    return free


def _find_handover(grantor: Grantor, span: ledger.Span) -> str:
    for first, last, handover in reversed(grantor.released):
        if first <= span.first and last >= span.last:
            return handover
    return ""


def is_granted(grantor: Grantor, slot: int, now: float) -> bool:
    """Return whether the target holds a key by the last answer.

    :param grantor: the state.
    :param slot: the key.
    :param now: seconds on the node's clock.
    """
    return now < grantor.ends_at and any(first <= slot <= last for first, last in grantor.granted)
