"""Moves busy keys from a target that is asked for more than it can do to those with room."""

import bisect
import collections.abc
import dataclasses

from ebonyvalve.process.keyspace import ledger

# Below this a target answers within its objective, however uneven the shares are.
BUSY = 0.6
# A target this much busier than the mean is relieved; less is noise.
UNEVEN = 1.2
# Part of the difference that a move evens out. The rest is left to the next look, because rates
# are known only roughly.
STEP = 0.8
MOST_MOVES = 3
# A move that brings less than this share of a target's room isn't worth its cost.
LEAST_GAIN = 0.04


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What a target is asked for: work that arrives a second over the work it can do.

    ``request_load`` is the load of one request a second.
    """

    candidate: ledger.Candidate
    offered: float
    request_load: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A range of keys and the target that shall get it."""

    first: int
    last: int
    heir: ledger.Candidate


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
    if any(span.heir for span in spans):
        return []
    loads = {load.candidate.lifetime: load for load in others}
    offered = {name: load.offered for name, load in loads.items()}
    left = own.offered
    busy = sorted(rates.items())
    pieces = [_list_rates(span, busy) for span in spans]
    moves: list[Move] = []
    while offered and len(moves) < MOST_MOVES:
        if left < BUSY or left < UNEVEN * mean:
            break
        name = min(offered, key=lambda one: (offered[one], one))
        heir = loads[name]
        if offered[name] > mean:
            break
        per_request = own.request_load + heir.request_load
        wanted = STEP * (left - offered[name]) / per_request
        cut = _cut(pieces, wanted)
        if cut is None:
            break
        first, last, rate = cut
        if rate * own.request_load < LEAST_GAIN:
            break
        moves.append(Move(first=first, last=last, heir=heir.candidate))
        left -= rate * own.request_load
        del offered[name]
    return moves


@dataclasses.dataclass(kw_only=True)
class _Piece:
    """What is left of a span: its ends and the rates of its busy keys in order."""

    first: int
    last: int
    busy: list[tuple[int, float]]


def _list_rates(span: ledger.Span, busy: list[tuple[int, float]]) -> _Piece:
    start = bisect.bisect_left(busy, span.first, key=_read_slot)
    end = bisect.bisect_right(busy, span.last, key=_read_slot)
    return _Piece(first=span.first, last=span.last, busy=busy[start:end])


def _read_slot(entry: tuple[int, float]) -> int:
    return entry[0]


def _cut(pieces: list[_Piece], wanted: float) -> tuple[int, int, float] | None:
    """Cut the end of a piece whose rate comes closest to what is wanted, and return it."""
    best: tuple[float, _Piece, int, bool, float] | None = None
    for piece in pieces:
        for is_left in (True, False):
            found = _measure(piece, wanted, is_left=is_left)
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


def _measure(piece: _Piece, wanted: float, *, is_left: bool) -> tuple[int, float] | None:
    """Return how many busy keys from one end come closest to the wanted rate, and their rate."""
    total = 0.0
    count = 0
    for _, rate in piece.busy if is_left else reversed(piece.busy):
        if total + rate > wanted and (total + rate - wanted) > (wanted - total):
            break
        total += rate
        count += 1
    return (count, total) if count else None
