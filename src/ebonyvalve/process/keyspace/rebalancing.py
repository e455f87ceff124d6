"""Moves keys from targets that answer late to targets that would answer sooner.

A target answers late because it is overloaded, or because it is slow: if speeds differ by more than
a factor of two, equal shares of the keys make slow targets miss objectives that fast ones meet
easily.
"""

import bisect
import collections.abc
import dataclasses

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.process.load import rates

# At this load or above, a target gives keys away even if no other one is faster.
BUSY_LOAD = 0.6
# A busy target gives keys away if its load is this many times the mean; less is noise.
UNEVEN_RATIO = 1.2
# A faster target receives keys up to this load, so that it is not badly overloaded when neighbours
# on its machine triple its work time for a moment.
FILL_LOAD = 0.5
# Up to this mean load, keys move to faster targets. Above it bursts and hot keys matter more, and
# all targets are to be equally busy.
CALM_LOAD = 0.5
# A target counts as slower if it answers this many times as late as another one. Work times are
# known to within a quarter on either side.
SLOWER_RATIO = 1.6
# The share of the difference that one move evens out. The rest is left to the next check, because
# rates are known only roughly.
STEP_SHARE = 0.8
# The largest share of its load that a target gives away at once because another one is faster.
MAX_GIVEN_SHARE = 0.5
# A hot range is spread at once over up to this many targets.
MAX_MOVES = 48
# A difference of less than this many standard deviations of the measured rate is taken for noise.
# Rates of a few requests per second vary by a fifth and more between two checks.
MIN_DEVIATIONS = 3.0
# A move of less load than this, as a share of the target's capacity, is not worth its cost.
MIN_GAIN = 0.04
# The expected queue grows without bound as the load approaches 1; this keeps it finite.
MAX_OFFERED = 0.95
BISECTION_STEPS = 12
# The pause after a move, at both ends, until rates and loads are measured again. Without it,
# several busy targets would all move keys to the same idle one.
REBALANCE_PAUSE_S = 1.0
# The shortest interval between two checks of the rates of single keys.
RATE_CHECK_INTERVAL_S = 0.5
# The same while the rates show a new hot range.
SURGE_CHECK_INTERVAL_S = 0.25
# Targets that only are slower than others check in turn, this far apart on average, so that the
# writes of the ledger don't grow with their number.
SLOW_CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """The load of a target.

    ``offered`` is the work that arrives per second divided by the work it can do per second.
    ``request_load`` is what one request per second adds to it; multiplied by the target's slots, it
    is the work time in seconds. ``deviation`` is the standard deviation of ``offered``, known for
    the own target only.
    """

    candidate: ledger.Candidate
    offered: float
    request_load: float
    deviation: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A range of keys and the target that is to get it."""

    first: int
    last: int
    successor: ledger.Candidate


@dataclasses.dataclass(kw_only=True)
class Pacing:
    """When keys were last moved and rates last checked, in seconds on the node's clock.

    ``slow_check_at`` is when a target that is not busy may move keys to a faster one, ``None``
    before its first check. ``received_at`` is when each target last received keys from another one.
    """

    moved_at: float = float("-inf")
    checked_at: float = float("-inf")
    slow_check_at: float | None = None
    received_at: dict[identity.Lifetime, float] = dataclasses.field(default_factory=dict)


def propose(
    current: ledger.Ledger,
    own: ledger.Candidate,
    measure_loads: collections.abc.Callable[[], collections.abc.Mapping[identity.Lifetime, Load]],
    key_rates: rates.KeyRates,
    surge: rates.Surge,
    pacing: Pacing,
    now: float,
    draw: collections.abc.Callable[[], float],
) -> list[Move]:
    """Return the moves of keys away from a target that are due now.

    :param current: the service's ledger.
    :param own: the target.
    :param measure_loads: returns the loads of all targets that may hold keys, with the own one. It
        is called only when a check is due.
    :param key_rates: the usual rates of the target's keys.
    :param surge: the rates of the last moment.
    :param pacing: when keys were last moved; the time of this check is recorded.
    :param now: seconds on the node's clock.
    :param draw: returns random numbers from 0 to 1.
    """
    has_surged = rates.has_surged(surge, now)
    # The rate of a new hot range still rises when its first part is moved.
    pause_s = SURGE_CHECK_INTERVAL_S if has_surged else REBALANCE_PAUSE_S
    interval_s = SURGE_CHECK_INTERVAL_S if has_surged else RATE_CHECK_INTERVAL_S
    if now < max(pacing.moved_at + pause_s, pacing.checked_at + interval_s):
        return []
    pacing.checked_at = now
    unsettled = {name for name, at in pacing.received_at.items() if now < at + REBALANCE_PAUSE_S}
    if own.lifetime in unsettled:
        return []
    # Other targets that are about to receive keys are passed over too. The own target does not wait
    # for keys that move to it, because they arrive only after one or two heartbeats.
    unsettled |= {identity.Lifetime(span.successor) for span in current.spans if span.successor}
    loads = measure_loads()
    own_load = loads[own.lifetime]
    if has_surged:
        key_rates = surge.recent
        own_load = dataclasses.replace(
            own_load, offered=rates.read_total(key_rates, now) * own_load.request_load
        )
    if not is_busy(own_load) and not _is_slow_check_due(pacing, len(loads), now, draw):
        return []
    others = [
        load for name, load in loads.items() if name != own.lifetime and name not in unsettled
    ]
    mean = sum(load.offered for load in loads.values()) / len(loads)
    # Avoids sorting the rates of thousands of keys when nothing will be moved.
    if find_successor(own_load, others, mean=mean) is None:
        return []
    held_spans = ledger.list_held(current, own.lifetime)
    rates.retain(key_rates, [(span.first, span.last) for span in held_spans])
    return find_moves(current, own_load, others, rates.read_rates(key_rates, now), mean=mean)


def _is_slow_check_due(
    pacing: Pacing, targets: int, now: float, draw: collections.abc.Callable[[], float]
) -> bool:
    """Return whether a target that is not busy may check now, and choose its next turn if so."""
    interval_s = SLOW_CHECK_INTERVAL_S * targets
    if pacing.slow_check_at is None:
        pacing.slow_check_at = now + interval_s * draw()
    if now < pacing.slow_check_at:
        return False
    pacing.slow_check_at = now + interval_s * (0.5 + draw())
    return True


def expect_answer(load: Load, offered: float) -> float:
    """Return the expected seconds to an answer of a target at a given load.

    :param load: the target.
    :param offered: the load that it would have.
    """
    # The weight of a target is its number of slots.
    work_s = load.request_load * load.candidate.weight
    # With several slots, requests hardly wait below half load.
    return work_s * (1.0 + offered**4 / (1.0 - min(offered, MAX_OFFERED)))


def find_successor(
    own_load: Load, others: collections.abc.Iterable[Load], *, mean: float
) -> Load | None:
    """Return the target that should receive keys from the own one, or ``None`` for no move.

    :param own_load: the load of the target that may give keys away.
    :param others: the loads of the targets that may take keys now.
    :param mean: the mean load of all targets.
    """
    if is_busy(own_load):
        if not _is_uneven(own_load, mean):
            return None
        idle = [load for load in others if load.offered <= mean]
        return min(idle, key=lambda load: (load.offered, load.candidate.lifetime), default=None)
    if mean > CALM_LOAD:
        return None
    fastest = min(
        (load for load in others if load.offered <= FILL_LOAD),
        key=lambda load: (_expect_current_answer(load), load.candidate.lifetime),
        default=None,
    )
    if fastest is None or fastest.offered >= FILL_LOAD:
        return None
    return (
        fastest
        if _expect_current_answer(own_load) > SLOWER_RATIO * _expect_current_answer(fastest)
        else None
    )


def is_busy(load: Load) -> bool:
    """Return whether a target gives keys away even if no other one is faster.

    :param load: the target.
    """
    return load.offered >= BUSY_LOAD


def _is_uneven(own_load: Load, mean: float) -> bool:
    """Return whether a target is busier than the mean beyond the noise of its measured rate."""
    excess = own_load.offered - mean
    return excess >= max((UNEVEN_RATIO - 1.0) * mean, MIN_DEVIATIONS * own_load.deviation)


def _expect_current_answer(load: Load) -> float:
    return expect_answer(load, load.offered)


def choose_rate(own_load: Load, successor: Load) -> float:
    """Return how many requests per second should move to a faster successor.

    It is enough for both to answer equally soon.

    :param own_load: the load of the target that gives keys away.
    :param successor: the load of the target that gets them.
    """
    # Other targets that are equally slow need part of the successor's spare capacity as well.
    low, high = 0.0, MAX_GIVEN_SHARE * own_load.offered / own_load.request_load
    for _ in range(BISECTION_STEPS):
        rate = (low + high) / 2
        here_s = expect_answer(own_load, own_load.offered - rate * own_load.request_load)
        if here_s > expect_answer(successor, successor.offered + rate * successor.request_load):
            low = rate
        else:
            high = rate
    return min(low, (FILL_LOAD - successor.offered) / successor.request_load)


def find_moves(
    current: ledger.Ledger,
    own_load: Load,
    others: collections.abc.Sequence[Load],
    rates_by_slot: collections.abc.Mapping[int, float],
    *,
    mean: float,
) -> list[Move]:
    """Return the moves of keys away from a target.

    A busy target doesn't wait for spans that are still moving, whose load counts no longer. Others
    do, since they move keys only to answer sooner.

    :param current: the service's ledger.
    :param own_load: the load of the target.
    :param others: the loads of the other targets that may take keys now.
    :param rates_by_slot: requests per second by key slot of the target.
    :param mean: the mean load of all targets.
    """
    spans = ledger.list_held(current, own_load.candidate.lifetime)
    used = sorted(rates_by_slot.items())
    segments = [_build_segment(span, used) for span in spans if not span.successor]
    if len(segments) < len(spans):
        kept_rate = sum(rate for segment in segments for _, rate in segment.used)
        own_load = dataclasses.replace(
            own_load, offered=min(own_load.offered, kept_rate * own_load.request_load)
        )
        if not is_busy(own_load):
            return []
    successor = find_successor(own_load, others, mean=mean)
    if successor is None:
        return []
    if is_busy(own_load):
        return _spread(segments, own_load, others, mean)
    # A target that is only slow makes one move at a time, because other slow targets do so as well.
    move = _cut_move(segments, own_load, successor, STEP_SHARE * choose_rate(own_load, successor))
    return [] if move is None else [move[0]]


def _spread(
    segments: list["_Segment"],
    own_load: Load,
    others: collections.abc.Iterable[Load],
    mean: float,
) -> list[Move]:
    """Return the moves that bring a busy target down to the load that its receivers get too.

    A hot range may be worth the work of many targets. If it were given away in steps, each of them
    would take two heartbeats, and the heat would be over before the last one.
    """
    level = _find_level(own_load, others, mean)
    receivers = sorted(
        (load for load in others if load.offered < level),
        key=lambda load: (-_find_headroom(load, level), load.candidate.lifetime),
    )
    moves: list[Move] = []
    for successor in receivers[:MAX_MOVES]:
        excess_rate = (own_load.offered - level) / own_load.request_load
        wanted_rate = min(excess_rate, _find_headroom(successor, level))
        cut_move = _cut_move(segments, own_load, successor, wanted_rate)
        if cut_move is None:
            break
        move, rate = cut_move
        moves.append(move)
        own_load = dataclasses.replace(
            own_load, offered=max(0.0, own_load.offered - rate * own_load.request_load)
        )
    return moves


def _find_headroom(load: Load, level: float) -> float:
    """Return how many requests per second a target may get until it has a given load."""
    return (level - load.offered) / load.request_load


def _find_level(own_load: Load, others: collections.abc.Iterable[Load], mean: float) -> float:
    """Return the load at which a busy target and its receivers are equally busy.

    Targets that do well as they are stay out of it: the level is at least the one at which a target
    counts as busy.
    """
    low, high = min(own_load.offered, max(BUSY_LOAD, mean)), own_load.offered
    loads = list(others)
    for _ in range(BISECTION_STEPS):
        level = (low + high) / 2
        headrooms = sorted(
            (_find_headroom(load, level) for load in loads if load.offered < level), reverse=True
        )
        if sum(headrooms[:MAX_MOVES]) < (own_load.offered - level) / own_load.request_load:
            low = level
        else:
            high = level
    return high


def _cut_move(
    segments: list["_Segment"], own_load: Load, successor: Load, wanted_rate: float
) -> tuple[Move, float] | None:
    """Cut off a move of about the wanted rate; return it with its rate, or ``None``."""
    cut_range = _cut_segment(segments, wanted_rate)
    if cut_range is None:
        return None
    first, last, rate = cut_range
    if rate * own_load.request_load < MIN_GAIN:
        return None
    return Move(first=first, last=last, successor=successor.candidate), rate


@dataclasses.dataclass(kw_only=True)
class _Segment:
    """The rest of a span: its first and last key, and the rates of its used keys in order."""

    first: int
    last: int
    used: list[tuple[int, float]]


def _build_segment(span: ledger.Span, used: list[tuple[int, float]]) -> _Segment:
    start = bisect.bisect_left(used, span.first, key=_read_key_slot)
    end = bisect.bisect_right(used, span.last, key=_read_key_slot)
    return _Segment(first=span.first, last=span.last, used=used[start:end])


def _read_key_slot(entry: tuple[int, float]) -> int:
    return entry[0]


def _cut_segment(segments: list[_Segment], wanted_rate: float) -> tuple[int, int, float] | None:
    """Cut the end off a segment whose rate comes closest to the wanted one.

    Returns the first key, the last key and the rate of what was cut off.
    """
    best: tuple[float, _Segment, int, bool, float] | None = None
    for segment in segments:
        for is_left in (True, False):
            end = _measure_end(segment, wanted_rate, is_left=is_left)
            if end is None:
                continue
            count, rate = end
            gap = abs(wanted_rate - rate)
            if best is None or gap < best[0]:
                best = (gap, segment, count, is_left, rate)
    if best is None:
        return None
    _, segment, count, is_left, rate = best
    if count == len(segment.used):
        segments.remove(segment)
        return segment.first, segment.last, rate
    if is_left:
        # Unused keys up to the next used one move as well.
        first, last = segment.first, segment.used[count][0] - 1
        segment.first, segment.used = last + 1, segment.used[count:]
    else:
        first, last = segment.used[-count - 1][0] + 1, segment.last
        segment.last, segment.used = first - 1, segment.used[:-count]
    return first, last, rate


def _measure_end(
    segment: _Segment, wanted_rate: float, *, is_left: bool
) -> tuple[int, float] | None:
    """Return how many used keys from one end come closest to the wanted rate, and their rate."""
    total = 0.0
    count = 0
    for _, rate in segment.used if is_left else reversed(segment.used):
        if total + rate > wanted_rate and (total + rate - wanted_rate) > (wanted_rate - total):
            break
        total += rate
        count += 1
    return (count, total) if count else None
