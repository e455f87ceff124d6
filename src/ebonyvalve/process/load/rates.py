"""Request rates of the keys of one target, as counts that decay exponentially."""

import bisect
import collections.abc
import dataclasses
import math

# The time constant of the decay. Hot keys change within seconds; a shorter time would follow single
# requests.
MEMORY_S = 2.0
# The time constant by which a sudden rise is measured.
RECENT_MEMORY_S = 0.3
# A rise by this many standard deviations is not explained by chance.
MIN_SURGE_DEVIATIONS = 4.0
# Keys with a lower rate, in requests per second, are insignificant and dropped.
MIN_RATE = 0.02
# Insignificant keys are dropped this often.
COMPACT_S = 1.0


@dataclasses.dataclass(kw_only=True)
class KeyRates:
    """Counts by key slot that decay over ``memory_s``, as of ``updated_at`` on the node's clock."""

    updated_at: float
    memory_s: float = MEMORY_S
    counts: dict[int, float] = dataclasses.field(default_factory=dict)
    # Counts are stored multiplied by this, so that decay takes one multiplication for all of them.
    scale: float = 1.0
    total: float = 0.0
    compacted_at: float = float("-inf")


@dataclasses.dataclass(kw_only=True)
class Surge:
    """Whether requests arrive faster than usual, and for which keys.

    Both count refused requests in full, unlike the rates by which targets are compared: callers
    have not retried yet when a rise begins. ``usual`` has no keys.
    """

    recent: KeyRates
    usual: KeyRates


def start_surge(now: float) -> Surge:
    """Return the state before any request.

    :param now: seconds on the node's clock.
    """
    return Surge(
        recent=KeyRates(updated_at=now, memory_s=RECENT_MEMORY_S), usual=KeyRates(updated_at=now)
    )


def record_surge(surge: Surge, key_slot: int, now: float) -> None:
    """Count one request, whether it was refused or not.

    :param surge: the state.
    :param key_slot: the slot of its key.
    :param now: seconds on the node's clock.
    """
    record(surge.recent, key_slot, now)
    record(surge.usual, 0, now)


def has_surged(surge: Surge, now: float) -> bool:
    """Return whether the last moment's rate is too high for chance to explain it.

    An overload that lasts is no surge: single requests of the last moment say little of a key's
    rate, and the usual rates know it by then.

    :param surge: the state.
    :param now: seconds on the node's clock.
    """
    usual = read_total(surge.usual, now)
    deviation = _find_deviation(usual, surge.recent.memory_s)
    return read_total(surge.recent, now) > usual + MIN_SURGE_DEVIATIONS * deviation


def record(key_rates: KeyRates, key_slot: int, now: float, weight: float = 1.0) -> None:
    """Count one request.

    :param key_rates: the state.
    :param key_slot: the slot of its key.
    :param now: seconds on the node's clock.
    :param weight: how many requests it counts as.
    """
    _decay(key_rates, now)
    key_rates.counts[key_slot] = key_rates.counts.get(key_slot, 0.0) + weight * key_rates.scale
    key_rates.total += weight * key_rates.scale


def read_rates(key_rates: KeyRates, now: float) -> dict[int, float]:
    """Return the requests per second by key slot.

    :param key_rates: the state.
    :param now: seconds on the node's clock.
    """
    _decay(key_rates, now)
    _compact(key_rates)
    factor = 1.0 / (key_rates.scale * key_rates.memory_s)
    return {key_slot: count * factor for key_slot, count in key_rates.counts.items()}


def read_total(key_rates: KeyRates, now: float) -> float:
    """Return the requests per second for all keys of the target.

    :param key_rates: the state.
    :param now: seconds on the node's clock.
    """
    _decay(key_rates, now)
    return key_rates.total / (key_rates.scale * key_rates.memory_s)


def find_deviation(key_rates: KeyRates, now: float) -> float:
    """Return the standard deviation of the total rate, in requests per second.

    Arrivals are counted as if they were independent of each other.

    :param key_rates: the state.
    :param now: seconds on the node's clock.
    """
    return _find_deviation(read_total(key_rates, now), key_rates.memory_s)


def _find_deviation(rate: float, memory_s: float) -> float:
    """Return the standard deviation of a rate that is measured by counts which decay."""
    return math.sqrt(rate / (2.0 * memory_s))


def retain(key_rates: KeyRates, held_ranges: collections.abc.Sequence[tuple[int, int]]) -> None:
    """Drop all keys except those that the target still holds.

    :param key_rates: the state.
    :param held_ranges: the first and last key slot of each held range, in ascending order.
    """
    firsts = [first for first, _ in held_ranges]
    retained = {}
    for key_slot, count in key_rates.counts.items():
        index = bisect.bisect_right(firsts, key_slot) - 1
        if index >= 0 and key_slot <= held_ranges[index][1]:
            retained[key_slot] = count
    key_rates.counts = retained
    key_rates.total = sum(retained.values())


def _decay(key_rates: KeyRates, now: float) -> None:
    elapsed_s = now - key_rates.updated_at
    if elapsed_s <= 0:
        return
    key_rates.updated_at = now
    # The bound on the exponent prevents an overflow after a long pause.
    memory_s = key_rates.memory_s
    key_rates.scale *= math.exp(min(elapsed_s, 100 * memory_s) / memory_s)
    if key_rates.scale > 1e9 or now - key_rates.compacted_at > COMPACT_S:
        key_rates.compacted_at = now
        _compact(key_rates)


def _compact(key_rates: KeyRates) -> None:
    min_count = MIN_RATE * key_rates.memory_s
    key_rates.counts = {
        key_slot: count / key_rates.scale
        for key_slot, count in key_rates.counts.items()
        if count / key_rates.scale >= min_count
    }
    key_rates.total /= key_rates.scale
    key_rates.scale = 1.0
