"""Quarantine of requests that crash targets.

When a target crashes, any request that it was running may be the cause, up to as many as it has
slots, and most of them are innocent. A request that was running in several crashes at different
times, and was never answered in between, is not, and is quarantined. The nodes of a cell follow a
stricter rule instead; see :mod:`ebonyvalve.process.quarantine`.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

# Two crashes may be a coincidence: a popular request is running somewhere at any moment.
QUARANTINE_CRASHES = 3
# Crashes are remembered this long, since each trial after that costs the requests of others.
MEMORY_S = 600.0
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
    _limit_size(quarantine)


def record_answer(quarantine: Quarantine, fingerprint: identity.Fingerprint) -> None:
    """Forget the crashes in which a request was running, after a target has answered it.

    :param quarantine: the state.
    :param fingerprint: the fingerprint of the request.
    """
    quarantine.crashes.pop(fingerprint, None)


def is_quarantined(quarantine: Quarantine, fingerprint: identity.Fingerprint, now: float) -> bool:
    """Return whether a request must not be sent to a target.

    :param quarantine: the state.
    :param fingerprint: the fingerprint of the request.
    :param now: seconds on the node's clock.
    """
    times = quarantine.crashes.get(fingerprint, [])
    return sum(crashed_at > now - MEMORY_S for crashed_at in times) >= QUARANTINE_CRASHES


def export_entries(
    quarantine: Quarantine, now: float
) -> list[tuple[identity.Fingerprint, list[float]]]:
    """Return each remembered request with the ages of its crashes in seconds, oldest first.

    :param quarantine: the state.
    :param now: seconds on the node's clock.
    """
    entries = []
    for fingerprint, times in quarantine.crashes.items():
        ages = [now - crashed_at for crashed_at in times if crashed_at > now - MEMORY_S]
        if ages:
            entries.append((fingerprint, ages))
    return entries


def import_entries(
    quarantine: Quarantine,
    entries: collections.abc.Iterable[tuple[identity.Fingerprint, list[float]]],
    now: float,
) -> None:
    """Add what another node remembers.

    Nodes hear of the same crash at slightly different times. The longer list therefore replaces the
    shorter one, since a crash that is in both would otherwise count twice.

    :param quarantine: the state.
    :param entries: from :func:`export_entries` of the other node.
    :param now: seconds on this node's clock.
    """
    known = dict(export_entries(quarantine, now))
    for fingerprint, ages in entries:
        recent = [age for age in ages if age < MEMORY_S]
        if len(recent) > len(known.get(fingerprint, [])):
            quarantine.crashes.pop(fingerprint, None)
            quarantine.crashes[fingerprint] = [now - age for age in recent]
    _limit_size(quarantine)


def _limit_size(quarantine: Quarantine) -> None:
    while len(quarantine.crashes) > CAPACITY:
        del quarantine.crashes[next(iter(quarantine.crashes))]
