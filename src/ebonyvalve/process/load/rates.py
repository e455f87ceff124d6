"""How often each key is asked for: decayed counts of the keys of one target."""

import bisect
import collections.abc
import dataclasses
import math

# Hot keys change within seconds; a shorter memory would follow single requests.
MEMORY_S = 2.0
# A key with less than this rate says nothing and is forgotten.
MIN_RATE = 0.02
COMPACT_S = 1.0


@dataclasses.dataclass(kw_only=True)
class KeyRates:
    """Decayed counts by key, all as of ``at`` in seconds on the node's clock."""

    updated_at: float
    counts: dict[int, float] = dataclasses.field(default_factory=dict)
    # Counts are kept multiplied by this, so that decay costs one multiplication for all.
    scale: float = 1.0
    total: float = 0.0
    compacted_at: float = float("-inf")


def record(heat: KeyRates, slot: int, now: float, weight: float = 1.0) -> None:
    """Count one request.

    :param heat: the state.
    :param slot: its key.
    :param now: seconds on the node's clock.
    :param weight: how much it counts.
    """
    _decay(heat, now)
    heat.counts[slot] = heat.counts.get(slot, 0.0) + weight * heat.scale
    heat.total += weight * heat.scale


def read_rates(heat: KeyRates, now: float) -> dict[int, float]:
    """Return requests a second by key.

    :param heat: the state.
    :param now: seconds on the node's clock.
    """
    _decay(heat, now)
    _compact(heat)
    factor = 1.0 / (heat.scale * MEMORY_S)
    return {slot: count * factor for slot, count in heat.counts.items()}


def read_total(heat: KeyRates, now: float) -> float:
    """Return requests a second for all keys of the target.

    :param heat: the state.
    :param now: seconds on the node's clock.
    """
    _decay(heat, now)
    return heat.total / (heat.scale * MEMORY_S)


def retain(heat: KeyRates, held: collections.abc.Sequence[tuple[int, int]]) -> None:
    """Drop the keys that the target no longer holds.

    :param heat: the state.
    :param held: first and last key of what it holds, in ascending order.
    """
    firsts = [first for first, _ in held]
    kept = {}
    for slot, count in heat.counts.items():
        index = bisect.bisect_right(firsts, slot) - 1
        if index >= 0 and slot <= held[index][1]:
            kept[slot] = count
    heat.counts = kept
    heat.total = sum(kept.values())


def _decay(heat: KeyRates, now: float) -> None:
    elapsed_s = now - heat.updated_at
    if elapsed_s <= 0:
        return
    heat.updated_at = now
    heat.scale *= math.exp(min(elapsed_s, 100 * MEMORY_S) / MEMORY_S)
    if heat.scale > 1e9 or now - heat.compacted_at > COMPACT_S:
        heat.compacted_at = now
        _compact(heat)


def _compact(heat: KeyRates) -> None:
    least = MIN_RATE * MEMORY_S
    heat.counts = {
        slot: count / heat.scale
        for slot, count in heat.counts.items()
        if count / heat.scale >= least
    }
    heat.total /= heat.scale
    heat.scale = 1.0
