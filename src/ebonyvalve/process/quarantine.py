"""Quarantine of requests that were in flight when a target crashed.

A request that crashes its target would crash further targets if it were retried, so requests with
its fingerprint are refused by all nodes for a while.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity, message

QUARANTINE_S = 60.0
# If 24 nodes each lose a target with 10 requests in flight every 2 s, there are 7200 entries.
CAPACITY = 8192


@dataclasses.dataclass(kw_only=True)
class Quarantine:
    """Quarantined fingerprints with the time until which each is refused."""

    until: dict[identity.Fingerprint, float] = dataclasses.field(default_factory=dict)
    # Entries that this node has added and not yet reported.
    unreported: set[identity.Fingerprint] = dataclasses.field(default_factory=set)


def record_crash(
    state: Quarantine, fingerprints: collections.abc.Iterable[identity.Fingerprint], now: float
) -> None:
    """Quarantine every request that a target was running when it crashed.

    The request that caused the crash can't be distinguished from the others. Finding it by running
    them one at a time would crash a target again, while refusing the others costs them 60 s.

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
    """Return the entries that this node has added and not reported, for its next heartbeat.

    They stay unreported until :func:`confirm` is called, because a heartbeat may be lost.

    :param state: the node's quarantine.
    :param now: seconds on the node's clock.
    """
    return [
        message.Quarantined(fingerprint=fingerprint, remaining_s=state.until[fingerprint] - now)
        for fingerprint in sorted(state.unreported)
        if state.until.get(fingerprint, now) > now
    ]


def confirm(state: Quarantine, reported: collections.abc.Iterable[message.Quarantined]) -> None:
    """Record that the coordinator has received the entries of a heartbeat.

    :param state: the node's quarantine.
    :param reported: from :func:`export_unreported`.
    """
    state.unreported.difference_update(entry.fingerprint for entry in reported)


def export_all(state: Quarantine, now: float) -> list[message.Quarantined]:
    """Return all entries that are in force, for the coordinator's renewals.

    :param state: the coordinator's quarantine.
    :param now: seconds on the node's clock.
    """
    return [
        message.Quarantined(fingerprint=fingerprint, remaining_s=until - now)
        for fingerprint, until in state.until.items()
        if until > now
    ]


def import_entries(
    state: Quarantine, entries: collections.abc.Iterable[message.Quarantined], now: float
) -> None:
    """Add entries of other nodes.

    Each transfer delays the end of an entry by the time that it takes. Two nodes that report an
    entry to each other would keep it forever if such a delay extended it. A known entry is extended
    only by more than half a period, which only another crash can cause.

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
    """Remove entries that ended so long ago that no report of them can still be in transit.

    :param state: the node's quarantine.
    :param now: seconds on the node's clock.
    """
    for fingerprint in [
        other for other, until in state.until.items() if until + QUARANTINE_S / 2 <= now
    ]:
        del state.until[fingerprint]
        state.unreported.discard(fingerprint)


def _insert(state: Quarantine, fingerprint: identity.Fingerprint, until: float, now: float) -> None:
    """Add or replace an entry; if the quarantine is full, drop the entry that ends first."""
    if fingerprint not in state.until and len(state.until) >= CAPACITY:
        forget(state, now)
        if len(state.until) >= CAPACITY:
            earliest = min(state.until, key=lambda other: state.until[other])
            del state.until[earliest]
            state.unreported.discard(earliest)
    state.until[fingerprint] = until
