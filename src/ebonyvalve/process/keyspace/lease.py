"""How long a node may renew its target's keys, counted on the store's clock.

A node writes the store time until which it renews. Others may take its keys once the store's own
clock has passed that time, in a transaction that requires the row to be unchanged. So no two
nodes' clocks are ever compared.
"""

import dataclasses
import math

import msgspec
from returns import result

from ebonyvalve.process import decoding

# A node survives a store that is away for LEASE_S - RENEW_S seconds. Outages of 9 s are usual.
LEASE_S = 12.0
RENEW_S = 2.5
# Quartz clocks differ by far less than 0.1%; the users' targets by up to 2%.
NODE_DRIFT = 0.001
TARGET_DRIFT = 0.02
# Covers the way of an answer within one machine and rounding.
MARGIN_S = 0.05


class LeaseRow(msgspec.Struct, kw_only=True, frozen=True):
    """A node's promise not to renew its target's keys after a time of the store's clock.

    ``incarnation`` is empty where the row could not be read and the promise is the latest possible.
    ``offered`` and ``request_load`` are the load of its target when the row was written, for
    nodes that had no answer from it lately.
    """

    until_s: decoding.Seconds
    incarnation: str
    offered: decoding.Load = 0.0
    request_load: decoding.Load = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreClock:
    """One reading of the store's clock, between two times of the node's clock, in seconds."""

    asked_at: float
    answered_at: float
    read_s: float


def decode(value: bytes) -> result.Result[LeaseRow, str]:
    """Return the lease of a row, or what is wrong with it.

    :param value: the row's bytes.
    """
    return decoding.decode(value, LeaseRow)


def read_latest(clock: StoreClock, now: float) -> float:
    """Return the latest time that the store's clock may show.

    :param clock: a reading.
    :param now: seconds on the node's clock.
    """
    return clock.read_s + (now - clock.asked_at) * (1 + NODE_DRIFT)


def read_earliest(clock: StoreClock, now: float) -> float:
    """Return the earliest time that the store's clock may show.

    :param clock: a reading.
    :param now: seconds on the node's clock.
    """
    return clock.read_s + (now - clock.answered_at) * (1 - NODE_DRIFT)


def choose_clock(known: StoreClock | None, new: StoreClock, now: float) -> StoreClock:
    """Return the reading to go on with: the narrower one, or the new one if they contradict.

    An answer that took seconds says little of the store's clock.

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
    """Return the store time until which a renewal shall last.

    It is never earlier than what the row says. Otherwise a renewal whose answer was lost would
    let others take the keys while the node still believes in the longer lease.

    :param row: the lease that the node knows to be in the store.
    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    until_s = read_latest(clock, now) + LEASE_S
    return until_s if row is None else max(until_s, row.until_s)


def find_latest_end(clock: StoreClock | None, now: float) -> float:
    """Return the store time by which all leases that have been written so far have ended.

    A node may count from a reading of the store's clock that is off by as long as a follow lasts,
    which is less than a lease; the third covers the drift of an old reading.

    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    """
    return math.inf if clock is None else read_latest(clock, now) + 3 * LEASE_S


def find_hold(row: LeaseRow | None, clock: StoreClock | None, now: float, max_s: float) -> float:
    """Return for how many seconds of its own clock a target may hold its keys; 0 for not at all.

    :param row: the node's lease as the store has it.
    :param clock: a reading of the store's clock.
    :param now: seconds on the node's clock.
    :param most_s: the longest hold.
    """
    if row is None or clock is None:
        return 0.0
    left_s = row.until_s - read_latest(clock, now) - MARGIN_S
    return max(0.0, min(max_s, left_s / (1 + TARGET_DRIFT)))


def find_hold_end(now: float, hold_s: float) -> float:
    """Return when a hold given now has certainly ended, on the node's clock.

    :param now: seconds on the node's clock when the answer was written.
    :param hold_s: the hold in seconds of the target's clock.
    """
    return now + hold_s * (1 + TARGET_DRIFT) + MARGIN_S


def is_expired(row: LeaseRow, clock: StoreClock, now: float) -> bool:
    """Return whether a lease of another node has certainly ended.

    :param row: the other node's lease.
    :param clock: a reading of the store's clock.
    :param now: seconds on this node's clock.
    """
    return read_earliest(clock, now) > row.until_s
