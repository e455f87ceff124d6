"""Requests that were running when targets crashed; one that did again and again runs no more.

A crash shows up to as many suspects as the target has slots, and most are innocent. What ran in
several crashes, at different times, is not.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

# Two may be chance: a popular request runs somewhere at any moment.
QUARANTINE_CRASHES = 3
# A caller that sends such a request again does so within seconds, and targets take some to return.
MEMORY_S = 60.0
# A fault that ends several targets at once is one crash for what ran on them.
SAME_CRASH_S = 0.1
# 24 nodes that each lose a target with 10 requests every 2 s make 7200 entries a minute.
CAPACITY = 8192


@dataclasses.dataclass(kw_only=True)
class Quarantine:
    """The times of the crashes in which each request was running, oldest entries first."""

    crashes: dict[identity.Fingerprint, list[float]] = dataclasses.field(default_factory=dict)


def record_crash(
    suspicion: Quarantine,
    fingerprints: collections.abc.Iterable[identity.Fingerprint],
    now: float,
) -> None:
    """Note what a target was running when it crashed.

    :param suspicion: the state.
    :param fingerprints: of the requests.
    :param now: seconds on the node's clock.
    """
    for name in set(fingerprints):
        times = [at for at in suspicion.crashes.pop(name, []) if at > now - MEMORY_S]
        if not times or now - times[-1] > SAME_CRASH_S:
            times.append(now)
        suspicion.crashes[name] = times
    while len(suspicion.crashes) > CAPACITY:
        del suspicion.crashes[next(iter(suspicion.crashes))]


def is_quarantined(suspicion: Quarantine, fingerprint: identity.Fingerprint, now: float) -> bool:
    """Return whether a request must not reach a target.

    :param suspicion: the state.
    :param fingerprint: of the request.
    :param now: seconds on the node's clock.
    """
    times = suspicion.crashes.get(fingerprint, [])
    return sum(at > now - MEMORY_S for at in times) >= QUARANTINE_CRASHES
