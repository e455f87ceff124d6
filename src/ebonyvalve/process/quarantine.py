"""Quarantine of requests during which a target died."""

import collections.abc
import dataclasses

from ebonyvalve.process import identity, message

QUARANTINE_S = 60.0
# 24 nodes that each lose a target with 10 requests in flight every 2 s make 7200 entries.
CAPACITY = 8192


@dataclasses.dataclass(kw_only=True)
class Quarantine:
    """Quarantined fingerprints with the time at which each is released."""

    until: dict[identity.Fingerprint, float] = dataclasses.field(default_factory=dict)
    # Entries that this node made and has not yet reported.
    unreported: set[identity.Fingerprint] = dataclasses.field(default_factory=set)


def record_crash(
    state: Quarantine, fingerprints: collections.abc.Iterable[identity.Fingerprint], now: float
) -> None:
    """Quarantine every request that a target was running when it died.

    Nothing tells the request that caused the crash from the others. Finding it by running them one
    at a time would crash a target again, while refusing the others costs them 60 s.

    :param state: the node's quarantine.
    :param fingerprints: of the requests in flight.
    :param now: seconds on the node's clock.
    """
    for fingerprint in fingerprints:
        _insert(state, fingerprint, now + QUARANTINE_S, now)
        state.unreported.add(fingerprint)


def is_quarantined(state: Quarantine, fingerprint: identity.Fingerprint, now: float) -> bool:
    """Return whether a request must be refused.

    :param state: the node's quarantine.
    :param fingerprint: of the request.
    :param now: seconds on the node's clock.
    """
    return state.until.get(fingerprint, now) > now


def export_unreported(state: Quarantine, now: float) -> list[message.Quarantined]:
    """Return the entries that this node made and has not reported, for its next heartbeat.

    They stay unreported until :func:`confirm`, because a heartbeat may be lost.

    :param state: the node's quarantine.
    :param now: seconds on the node's clock.
    """
    return [
        message.Quarantined(fingerprint=name, remaining_s=state.until[name] - now)
        for name in sorted(state.unreported)
        if state.until.get(name, now) > now
    ]


def confirm(state: Quarantine, reported: collections.abc.Iterable[message.Quarantined]) -> None:
    """Note that the coordinator has the entries of a heartbeat.

    :param state: the node's quarantine.
    :param reported: from :func:`export_new`.
    """
    state.unreported.difference_update(entry.fingerprint for entry in reported)


def export_all(state: Quarantine, now: float) -> list[message.Quarantined]:
    """Return all entries, for the coordinator's renewals.

    :param state: the coordinator's quarantine.
    :param now: seconds on the node's clock.
    """
    return [
        message.Quarantined(fingerprint=name, remaining_s=until - now)
        for name, until in state.until.items()
        if until > now
    ]


def import_entries(
    state: Quarantine, entries: collections.abc.Iterable[message.Quarantined], now: float
) -> None:
    """Add entries of other nodes.

    An entry is older by the time of each transfer than it says. Two nodes that report it to each
    other would keep it for ever, if a known one were lengthened by so little; only another crash
    ends more than half a period later.

    :param state: the node's quarantine.
    :param entries: from a heartbeat or a renewal.
    :param now: seconds on the node's clock.
    """
    for entry in entries:
        remaining_s = min(entry.remaining_s, QUARANTINE_S)
        known_until = state.until.get(entry.fingerprint, float("-inf"))
        if remaining_s > 0 and now + remaining_s > known_until + QUARANTINE_S / 2:
            _insert(state, entry.fingerprint, now + remaining_s, now)


def forget(state: Quarantine, now: float) -> None:
    """Remove entries whose time is over by so much that no report of them is under way.

    :param state: the node's quarantine.
    :param now: seconds on the node's clock.
    """
    for name in [name for name, until in state.until.items() if until + QUARANTINE_S / 2 <= now]:
        del state.until[name]
        state.unreported.discard(name)


def _insert(state: Quarantine, name: identity.Fingerprint, until: float, now: float) -> None:
    if name not in state.until and len(state.until) >= CAPACITY:
        forget(state, now)
        if len(state.until) >= CAPACITY:
            first = min(state.until, key=lambda other: state.until[other])
            del state.until[first]
            state.unreported.discard(first)
    state.until[name] = until
