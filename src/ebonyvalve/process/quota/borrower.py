"""What a node has borrowed of an account's limit: which requests it admits, and when it asks.

A request is admitted with one unit of allowance. If there is none, it waits for the answer of a
lender. If no lender has any, it is refused at once, without a message.
"""

import collections
import collections.abc
import dataclasses
import math

from ebonyvalve.process import identity
from ebonyvalve.process.quota import lender, limits

# Allowance is asked for the demand of this part of its lifetime, which keeps it from expiring.
HORIZON_SHARE = 0.6
# Of the expected demand, this many standard deviations are not asked for in advance: allowance that
# expires is lost for the other nodes.
MARGIN_DEVIATIONS = 0.5
# Allowance is asked for in advance only of a lender that seems to have this part of it.
MIN_AHEAD_SHARE = 0.5
# More is asked for when less than the demand of this many seconds is left.
LOW_S = 0.08
# Allowance that can be spent for less than this part of its lifetime is given back.
AGED_SHARE = 0.3
# Time constant of the demand's rate.
MEMORY_S = 1.0
# A lender that has not answered for this long no longer keeps the node from asking another one.
HEDGE_S = 0.06
# A lender that gave no answer is asked again after this long.
LOST_RETRY_S = 1.0
# Without the answer of a node that lends for this long, no lender is reachable.
UNREACHABLE_S = 1.5
# Bounds what refused callers are told, in seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
# A node that has gained nothing lately expects this part of the account's rate.
MIN_SHARE = 0.1
# Refused callers return up to this part later than the allowance is expected, spread evenly.
RETRY_JITTER = 0.3


@dataclasses.dataclass(kw_only=True)
class Holding:
    """Allowance of one lender that can be spent until ``expires_at``."""

    lender: identity.NodeId
    count: int
    expires_at: float
    lifetime_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Level:
    """What a lender had left, as of ``at``."""

    count: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pending:
    """A request for allowance that has not been answered yet."""

    ask: lender.Ask
    sent_at: float


@dataclasses.dataclass(kw_only=True)
class Account:
    """What a node has borrowed of an account. Times are seconds on the node's clock.

    ``waiting`` are the requests that wait for an answer, oldest first. ``blocked_until`` maps the
    lenders that had nothing, or gave no answer, to when they are asked again. ``levels`` are what
    the lenders had left at their last answers. ``granted_at`` is
    when a node that lends last answered. ``demand`` counts the requests that have arrived, and
    ``gained`` the allowance that was granted, both decaying, as of ``counted_at``. ``promised_at``
    is when the last caller was told to return that was refused since allowance was last granted.
    """

    counted_at: float
    granted_at: float
    holdings: list[Holding] = dataclasses.field(default_factory=list)
    pending: dict[identity.NodeId, Pending] = dataclasses.field(default_factory=dict)
    blocked_until: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    levels: dict[identity.NodeId, Level] = dataclasses.field(default_factory=dict)
    waiting: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    demand: float = 0.0
    gained: float = 0.0
    sequence: int = 0
    promised_at: float = float("-inf")


def open_account(now: float) -> Account:
    """Return the state of an account at a node that has not asked for allowance yet.

    :param now: seconds on the node's clock.
    """
    # The numbers of a restarted process have to be above those of its predecessor.
    return Account(counted_at=now, granted_at=now, sequence=int(now * 1000))


def record_arrival(account: Account, now: float) -> None:
    """Count a request of the account.

    :param account: the state.
    :param now: seconds on the node's clock.
    """
    _decay(account, now)
    account.demand += 1.0


def _decay(account: Account, now: float) -> None:
    factor = math.exp(-max(0.0, now - account.counted_at) / MEMORY_S)
    account.demand *= factor
    account.gained *= factor
    account.counted_at = now


def spend(account: Account, now: float) -> bool:
    """Admit one request with borrowed allowance; return whether there was any.

    :param account: the state.
    :param now: seconds on the node's clock.
    """
    account.holdings = [held for held in account.holdings if held.expires_at > now and held.count]
    if not account.holdings:
        return False
    oldest = min(account.holdings, key=lambda held: held.expires_at)
    oldest.count -= 1
    return True


def plan(
    account: Account,
    me: identity.NodeId,
    name: identity.AccountId,
    lenders: collections.abc.Sequence[identity.NodeId],
    limit: limits.Limit,
    bounds: limits.Bounds,
    now: float,
) -> list[tuple[identity.NodeId, lender.Ask]]:
    """Return the lenders to ask now, and what for. They count as asked from now on.

    :param account: the state.
    :param me: this node.
    :param name: the account.
    :param lenders: its lenders, the preferred one first.
    :param limit: the account's limit.
    :param bounds: the tolerance of the platform.
    :param now: seconds on the node's clock.
    """
    _decay(account, now)
    lifetime_s = limits.find_lifetime(limit, bounds)
    rate = account.demand / MEMORY_S
    expected = rate * lifetime_s * HORIZON_SHARE
    ahead = max(0, math.floor(expected - MARGIN_DEVIATIONS * math.sqrt(expected)))
    reserve = min(ahead, math.ceil(rate * LOW_S)) if ahead else 0
    asks: list[tuple[identity.NodeId, lender.Ask]] = []
    levels = {other: _estimate_level(account, other, limit, bounds, now) for other in lenders}
    # The lender with the most left is asked first, among equal ones the first in the order.
    for other in sorted(lenders, key=lambda other: levels[other], reverse=True):
        if other in account.pending or now < account.blocked_until.get(other, now):
            continue
        aged = [held for held in account.holdings if held.lender == other and _is_aged(held, now)]
        returned = sum(held.count for held in aged)
        covered = _count_covered(account, now) - returned
        need = len(account.waiting) - covered
        if need + reserve <= 0 and not returned:
            continue
        wanted = max(need + ahead, 0)
        is_low = levels[other] < max(1.0, MIN_AHEAD_SHARE * wanted)
        if not wanted or (need <= 0 and is_low):
            continue
        for held in aged:
            account.holdings.remove(held)
        account.sequence += 1
        ask = lender.Ask(
            account=name,
            borrower=me,
            sequence=account.sequence,
            urgent=max(0, need),
            wanted=wanted,
            held=sum(held.count for held in account.holdings if held.lender == other),
            returned=returned,
        )
        account.pending[other] = Pending(ask=ask, sent_at=now)
        asks.append((other, ask))
    return asks


def _estimate_level(
    account: Account,
    other: identity.NodeId,
    limit: limits.Limit,
    bounds: limits.Bounds,
    now: float,
) -> float:
    """Return what a lender should have by now if nobody else has asked it."""
    capacity = limits.find_capacity(limit, bounds) / limits.LENDERS
    level = account.levels.get(other)
    if level is None:
        return capacity
    return min(capacity, level.count + (now - level.at) * limit.rate_per_s / limits.LENDERS)


def _is_aged(held: Holding, now: float) -> bool:
    return held.count > 0 and held.expires_at - now < AGED_SHARE * held.lifetime_s


def _count_covered(account: Account, now: float) -> int:
    """Return what can be spent, or is asked for and should be answered soon."""
    held = sum(held.count for held in account.holdings if held.expires_at > now)
    expected = sum(
        pending.ask.wanted
        for pending in account.pending.values()
        if now - pending.sent_at < HEDGE_S
    )
    return held + expected


def receive(
    account: Account,
    other: identity.NodeId,
    ask: lender.Ask,
    grant: lender.Grant | None,
    now: float,
) -> None:
    """Record the answer of a lender.

    :param account: the state.
    :param other: the lender.
    :param ask: what it was asked for.
    :param grant: the answer, or ``None`` if there was none in time.
    :param now: seconds on the node's clock.
    """
    pending = account.pending.get(other)
    if pending is None or pending.ask.sequence != ask.sequence:
        return
    del account.pending[other]
    if grant is None:
        account.blocked_until[other] = now + LOST_RETRY_S
        return
    account.blocked_until.pop(other, None)
    if grant.is_lender:
        account.granted_at = now
        account.levels[other] = Level(count=grant.left, at=now)
    if grant.retry_s > 0:
        account.blocked_until[other] = now + grant.retry_s
    expires_at = pending.sent_at + grant.lifetime_s
    if grant.count and now < expires_at:
        _decay(account, now)
        account.gained += grant.count
        account.promised_at = float("-inf")
        account.holdings.append(
            Holding(
                lender=other,
                count=grant.count,
                expires_at=expires_at,
                lifetime_s=grant.lifetime_s,
            )
        )


def take_admitted(account: Account, now: float) -> list[int]:
    """Return the waiting requests that borrowed allowance admits, oldest first.

    :param account: the state.
    :param now: seconds on the node's clock.
    """
    admitted: list[int] = []
    while account.waiting and spend(account, now):
        admitted.append(account.waiting.popleft())
    return admitted


def is_unreachable(account: Account, now: float) -> bool:
    """Return whether no node that lends has answered for some time.

    :param account: the state.
    :param now: seconds on the node's clock.
    """
    return now - account.granted_at > UNREACHABLE_S


def promise(
    account: Account,
    lenders: collections.abc.Sequence[identity.NodeId],
    limit: limits.Limit,
    now: float,
    draw: float,
) -> float:
    """Return after how many seconds a refused caller should return.

    That is when allowance is expected at this node, beyond that for the callers refused before it.

    :param account: the state.
    :param lenders: the lenders.
    :param limit: the account's limit.
    :param now: seconds on the node's clock.
    :param draw: a random number from 0 to 1.
    """
    _decay(account, now)
    next_at = min((account.blocked_until.get(other, now) for other in lenders), default=now)
    # Allowance that was gained from full buckets says nothing of what comes next.
    share = min(limit.rate_per_s, max(MIN_SHARE * limit.rate_per_s, account.gained / MEMORY_S))
    interval_s = 1.0 / share
    account.promised_at = min(
        max(account.promised_at + interval_s, next_at), now + MAX_RETRY_AFTER_S
    )
    retry_s = max(MIN_RETRY_AFTER_S, account.promised_at - now)
    return retry_s * (1.0 + RETRY_JITTER * draw)


@dataclasses.dataclass(kw_only=True)
class Emergency:
    """The requests that a node may admit without a lender: ``count`` in each window.

    The count was computed for the members in ``zones``.
    """

    count: int = 0
    zones: collections.abc.Mapping[identity.NodeId, identity.ZoneId] | None = None
    admitted_at: collections.deque[float] = dataclasses.field(default_factory=collections.deque)


def find_emergency_share(
    me: identity.NodeId,
    ranked: collections.abc.Sequence[identity.NodeId],
    bounds: limits.Bounds,
) -> int:
    """Return how many requests of an account this node may admit in a window without a lender.

    :param me: this node.
    :param ranked: the members, the first ones by the account's ranking at least.
    :param bounds: the tolerance of the platform.
    """
    total = limits.find_emergency_count(bounds)
    if me not in ranked[:total]:
        return 0
    return max(1, total // len(ranked))


def admit_emergency(emergency: Emergency, bounds: limits.Bounds, now: float) -> bool:
    """Admit a request without a lender; return whether the share allows it.

    :param emergency: the state.
    :param bounds: the tolerance of the platform.
    :param now: seconds on the node's clock.
    """
    admitted = emergency.admitted_at
    while admitted and now - admitted[0] > bounds.window_s:
        admitted.popleft()
    if len(admitted) >= emergency.count:
        return False
    admitted.append(now)
    return True
