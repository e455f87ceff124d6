"""Moves keys from targets that answer late to those that would answer sooner.

A target answers late because it is asked for more than it can do, or because it is slow: where
speeds differ by more than two, equal shares of the keys make the slow targets miss objectives that
the fast ones keep with room to spare.
"""

import bisect
import collections.abc
import dataclasses

from ebonyvalve.process.keyspace import ledger

# Above this a target is relieved although no other one is faster.
BUSY_LOAD = 0.6
# A target this much busier than the mean is relieved; less is noise.
UNEVEN_RATIO = 1.2
# A faster target is given keys up to this load. When neighbours triple its work time for a moment,
# it is still not asked for much more than it can do.
FILL_LOAD = 0.5
# Above this mean load, bursts and hot keys decide; then all targets are to be equally busy.
CALM_LOAD = 0.5
# Work times are known to within a quarter on either side.
SLOWER_RATIO = 1.6
# Part of the difference that a move evens out. The rest is left to the next look, because rates
# are known only roughly.
STEP_SHARE = 0.8
# Part of its load that a target gives away at once because others are faster.
MAX_GIVEN_SHARE = 0.5
MAX_MOVES = 3
# A move that brings less than this share of a target's room isn't worth its cost.
MIN_GAIN = 0.04
# Queues grow without bound as the load nears 1; the expected time stays finite.
MAX_OFFERED = 0.95
BISECTION_STEPS = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What a target is asked for: work that arrives a second over the work it can do.

    ``request_load`` is the load of one request a second; times the slots, it is the work time.
    """

    candidate: ledger.Candidate
    offered: float
    request_load: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A range of keys and the target that shall get it."""

    first: int
    last: int
    successor: ledger.Candidate


def expect_answer(load: Load, offered: float) -> float:
    """Return the expected seconds to an answer at a load.

    :param load: the target.
    :param offered: what it would be asked for.
    """
    work_s = load.request_load * load.candidate.weight
    # With several slots, hardly anything waits below half load.
    return work_s * (1.0 + offered**4 / (1.0 - min(offered, MAX_OFFERED)))


def find_successor(
    own: Load, others: collections.abc.Iterable[Load], *, mean: float
) -> Load | None:
    """Return the target that should get keys of another one, if that is worth a move.

    :param own: the load of the target that may give keys.
    :param others: the loads of those that may take keys now.
    :param mean: the mean load of all targets.
    """
    if is_busy(own):
        if own.offered < UNEVEN_RATIO * mean:
            return None
        idle = [one for one in others if one.offered <= mean]
        return min(idle, key=lambda one: (one.offered, one.candidate.lifetime), default=None)
    if mean > CALM_LOAD:
        return None
    soonest = min(
        (one for one in others if one.offered <= FILL_LOAD),
        key=lambda one: (_expect_now(one), one.candidate.lifetime),
        default=None,
    )
    if soonest is None or soonest.offered >= FILL_LOAD:
        return None
    return soonest if _expect_now(own) > SLOWER_RATIO * _expect_now(soonest) else None


def is_busy(load: Load) -> bool:
    """Return whether a target is relieved although no other one is faster.

    :param load: the target.
    """
    return load.offered >= BUSY_LOAD


def _expect_now(load: Load) -> float:
    return expect_answer(load, load.offered)


def choose_rate(own: Load, heir: Load) -> float:
    """Return how many requests a second should move: to be as busy, or to answer as soon.

    :param own: the load of the target that gives keys.
    :param heir: the load of the one that gets them.
    """
    if is_busy(own):
        return (own.offered - heir.offered) / (own.request_load + heir.request_load)
    # Others that are as slow have as good a claim to the heir's room.
    low, high = 0.0, MAX_GIVEN_SHARE * own.offered / own.request_load
    for _ in range(BISECTION_STEPS):
        rate = (low + high) / 2
        here_s = expect_answer(own, own.offered - rate * own.request_load)
        if here_s > expect_answer(heir, heir.offered + rate * heir.request_load):
            low = rate
        else:
            high = rate
    return min(low, (FILL_LOAD - heir.offered) / heir.request_load)


def find_moves(
    book: ledger.Ledger,
    own: Load,
    others: collections.abc.Sequence[Load],
    rates: collections.abc.Mapping[int, float],
    *,
    mean: float,
) -> list[Move]:
    """Return the moves that relieve a target.

    :param book: the service's ledger, none of whose spans of this target is moving.
    :param own: the load of the target.
    :param others: the loads of those of the others that may take keys now.
    :param rates: requests a second by key of the target.
    :param mean: the mean load of all targets.
    """
    spans = ledger.list_held(book, own.candidate.lifetime)
    if any(span.successor for span in spans):
        return []
    left = list(others)
    busy = sorted(rates.items())
    pieces = [_build_segment(span, busy) for span in spans]
    moves: list[Move] = []
    # One that is only slower gives a part at a time, as the others of its kind do.
    most = MAX_MOVES if is_busy(own) else 1
    while len(moves) < most:
        heir = find_successor(own, left, mean=mean)
        if heir is None:
            break
        cut = _cut_segment(pieces, STEP_SHARE * choose_rate(own, heir))
        if cut is None:
            break
        first, last, rate = cut
        if rate * own.request_load < MIN_GAIN:
            break
        moves.append(Move(first=first, last=last, successor=heir.candidate))
        own = dataclasses.replace(own, offered=max(0.0, own.offered - rate * own.request_load))
        left.remove(heir)
    return moves


@dataclasses.dataclass(kw_only=True)
class _Segment:
    """What is left of a span: its ends and the rates of its busy keys in order."""

    first: int
    last: int
    busy: list[tuple[int, float]]


def _build_segment(span: ledger.Span, busy: list[tuple[int, float]]) -> _Segment:
    start = bisect.bisect_left(busy, span.first, key=_read_key_slot)
    end = bisect.bisect_right(busy, span.last, key=_read_key_slot)
    return _Segment(first=span.first, last=span.last, busy=busy[start:end])


def _read_key_slot(entry: tuple[int, float]) -> int:
    return entry[0]


def _cut_segment(pieces: list[_Segment], wanted: float) -> tuple[int, int, float] | None:
    """Cut the end of a piece whose rate comes closest to what is wanted, and return it."""
    best: tuple[float, _Segment, int, bool, float] | None = None
    for piece in pieces:
        for is_left in (True, False):
            found = _measure_end(piece, wanted, is_left=is_left)
            if found is None:
                continue
            count, rate = found
            gap = abs(wanted - rate)
            if best is None or gap < best[0]:
                best = (gap, piece, count, is_left, rate)
    if best is None:
        return None
    _, piece, count, is_left, rate = best
    if count == len(piece.busy):
        pieces.remove(piece)
        return piece.first, piece.last, rate
    if is_left:
        # Quiet keys up to the next busy one go along.
        first, last = piece.first, piece.busy[count][0] - 1
        piece.first, piece.busy = last + 1, piece.busy[count:]
    else:
        first, last = piece.busy[-count - 1][0] + 1, piece.last
        piece.last, piece.busy = first - 1, piece.busy[:-count]
    return first, last, rate


def _measure_end(piece: _Segment, wanted: float, *, is_left: bool) -> tuple[int, float] | None:
    """Return how many busy keys from one end come closest to the wanted rate, and their rate."""
    total = 0.0
    count = 0
    for _, rate in piece.busy if is_left else reversed(piece.busy):
        if total + rate > wanted and (total + rate - wanted) > (wanted - total):
            break
        total += rate
        count += 1
    return (count, total) if count else None
