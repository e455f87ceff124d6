"""Leases: how long a node may grant keys to its target, measured on the store's clock.

A node writes to its lease row the store time until which it grants keys. Other nodes may take the
keys over once the store's own clock has passed that time, in a transaction that requires the row
to be unchanged. The clocks of two nodes are therefore never compared.
"""

import dataclasses
import math

import msgspec
from returns import result

from ebonyvalve.process import decoding

# A node keeps its keys through an outage of the store of LEASE_S - RENEW_S seconds. Outages of 9 s
# are common.
LEASE_S = 12.0
RENEW_S = 2.5
# Quartz clocks drift by far less than 0.1%; the clocks of targets by up to 2%.
NODE_DRIFT = 0.001
TARGET_DRIFT = 0.02
# Covers rounding and the time that an answer takes within one machine.
MARGIN_S = 0.05


class LeaseRow(msgspec.Struct, kw_only=True, frozen=True):
    """A node's promise to grant its target no keys after a time on the store's clock.

    ``incarnation`` is empty if the row could not be read and ``until_s`` is the latest possible.
    ``era`` is the era of the store in which it was written, absent in era 0.
    ``offered`` and ``request_load`` are the load of the target when the row was written, for nodes
    that have had no recent answer from it.
    """

    until_s: decoding.Seconds
    incarnation: str
    offered: decoding.Load = 0.0
    request_load: decoding.Load = 0.0
    era: decoding.Count | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreClock:
    """A reading of the store's clock, taken between two times on the node's clock, in seconds."""

    asked_at: float
    answered_at: float
    read_s: float


def decode(value: bytes) -> result.Result[LeaseRow, str]:
    """Decode a lease row, and return the lease or why it is invalid.

    :param value: the value of the row.
    """
    return decoding.decode(value, LeaseRow)


def read_latest(clock: StoreClock, now: float) -> float:
    """Return the latest time that the store's clock may show now.

    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    return clock.read_s + (now - clock.asked_at) * (1 + NODE_DRIFT)


def read_earliest(clock: StoreClock, now: float) -> float:
    """Return the earliest time that the store's clock may show now.

    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    return clock.read_s + (now - clock.answered_at) * (1 - NODE_DRIFT)


def choose_clock(known: StoreClock | None, new: StoreClock, now: float) -> StoreClock:
    """Return the more precise of two readings, or the new one if they contradict each other.

    An answer that took seconds gives only a rough reading of the store's clock.

    :param known: the reading in use.
    :param new: a reading that has just been taken.
    :param now: seconds on the node's clock.
    """
    if known is None:
        return new
    earliest, latest = read_earliest(known, now), read_latest(known, now)
    new_earliest, new_latest = read_earliest(new, now), read_latest(new, now)
    is_contradicted = new_latest < earliest or new_earliest > latest
    return new if is_contradicted or new_latest - new_earliest < latest - earliest else known


def renew(row: LeaseRow | None, clock: StoreClock, now: float) -> float:
    """Return the store time until which a renewed lease lasts.

    It is never earlier than the end of the current lease. Otherwise a renewal whose answer is lost
    would let other nodes take the keys while this one still relies on the longer lease.

    :param row: the lease that the node knows to be in the store.
    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    until_s = read_latest(clock, now) + LEASE_S
    return until_s if row is None else max(until_s, row.until_s)


def find_latest_end(clock: StoreClock | None, now: float) -> float:
    """Return the store time by which every lease written so far has expired.

    A node may have computed its lease from a reading of the store's clock that is off by as long
    as a long poll lasts, which is less than a lease. The third lease covers the drift of an old
    reading.

    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    return math.inf if clock is None else read_latest(clock, now) + 3 * LEASE_S


def find_hold(row: LeaseRow | None, clock: StoreClock | None, now: float, max_s: float) -> float:
    """Return how many seconds on its own clock a target may hold its keys; 0 if it may not.

    :param row: the node's lease as the store has it.
    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    :param max_s: the longest hold in seconds.
    """
    if row is None or clock is None:
        return 0.0
    remaining_s = row.until_s - read_latest(clock, now) - MARGIN_S
    return max(0.0, min(max_s, remaining_s / (1 + TARGET_DRIFT)))


def find_hold_end(now: float, hold_s: float) -> float:
    """Return when a hold granted now has certainly expired, in seconds on the node's clock.

    :param now: seconds on the node's clock when the answer was written.
    :param hold_s: the hold in seconds on the target's clock.
    """
    return now + hold_s * (1 + TARGET_DRIFT) + MARGIN_S


def is_expired(row: LeaseRow, clock: StoreClock, now: float) -> bool:
    """Return whether the lease of another node has certainly expired.

    :param row: the other node's lease.
    :param clock: a reading of the store's clock.
    :param now: seconds on this node's clock.
    """
    return read_earliest(clock, now) > row.until_s
