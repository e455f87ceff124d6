"""Quarantine of requests that crash targets.

When a target crashes, any request that it was running may be the cause, up to as many as it has
slots, and most of them are innocent. A request that was running in several crashes at different
times is not, and is quarantined. The nodes of a cell follow a stricter rule instead; see
:mod:`ebonyvalve.process.quarantine`.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

# Two crashes may be a coincidence: a popular request is running somewhere at any moment.
QUARANTINE_CRASHES = 3
# Crashes are remembered this long. Callers retry such a request within seconds, and targets take
# some seconds to restart.
MEMORY_S = 60.0
# Crashes within this time count as one, because a single fault can end several targets at once.
SAME_CRASH_S = 0.1
# 24 nodes that each lose a target with 10 requests every 2 s make 7200 entries a minute.
CAPACITY = 8192


@dataclasses.dataclass(kw_only=True)
class Quarantine:
    """The times of the crashes in which each request was running, by the time of its last crash."""

    crashes: dict[identity.Fingerprint, list[float]] = dataclasses.field(default_factory=dict)


def record_crash(
    quarantine: Quarantine,
    fingerprints: collections.abc.Iterable[identity.Fingerprint],
    now: float,
) -> None:
    """Record the requests that a target was running when it crashed.

    :param quarantine: the state.
    :param fingerprints: the fingerprints of the requests.
    :param now: seconds on the node's clock.
    """
    for fingerprint in set(fingerprints):
        times = [
            crashed_at
            for crashed_at in quarantine.crashes.pop(fingerprint, [])
            if crashed_at > now - MEMORY_S
        ]
        if not times or now - times[-1] > SAME_CRASH_S:
            times.append(now)
        quarantine.crashes[fingerprint] = times
    while len(quarantine.crashes) > CAPACITY:
        del quarantine.crashes[next(iter(quarantine.crashes))]


def is_quarantined(quarantine: Quarantine, fingerprint: identity.Fingerprint, now: float) -> bool:
    """Return whether a request must not be sent to a target.

    :param quarantine: the state.
    :param fingerprint: the fingerprint of the request.
    :param now: seconds on the node's clock.
    """
    times = quarantine.crashes.get(fingerprint, [])
    return sum(crashed_at > now - MEMORY_S for crashed_at in times) >= QUARANTINE_CRASHES
