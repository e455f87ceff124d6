"""Answers requests for allowance: how much a node lends of an account's limit, and for how long."""

import dataclasses
import math

import msgspec

from ebonyvalve.process import decoding, identity
from ebonyvalve.process.quota import bucket, limits, roles

# Where all borrowers of an account ask in vain more often than this, they have to wait longer.
MAX_VAIN_ASKS_PER_S = 10.0
# Time constant of that rate.
MEMORY_S = 1.0
# A borrower that found nothing asks again after this part of the lifetime of an allowance.
RETRY_SHARE = 0.5
# Requests that one node may ask for at once; far above what it could serve in a second.
MAX_COUNT = 1_000_000


class Ask(msgspec.Struct, kw_only=True, frozen=True):
    """A request for allowance.

    ``sequence`` rises with each request of a borrower to a lender. ``urgent`` of the ``wanted``
    requests wait. ``held`` is what is left of earlier allowances of the same lender, ``returned``
    what of these was not and will not be spent.
    """

    account: identity.AccountId
    borrower: identity.NodeId
    sequence: decoding.Count
    urgent: decoding.Count
    wanted: decoding.Count
    held: decoding.Count = 0
    returned: decoding.Count = 0


class Grant(msgspec.Struct, kw_only=True, frozen=True):
    """The answer: ``count`` requests may be admitted within ``lifetime_s`` after the request.

    ``left`` is what the lender could have lent beyond that. ``is_lender`` is false if the node may
    not lend now. ``retry_s`` says when to ask again if the answer does not cover the requests that
    wait, else it is 0.
    """

    count: decoding.Count
    lifetime_s: decoding.Seconds
    left: decoding.Count = 0
    retry_s: decoding.Seconds = 0.0
    is_lender: bool = True


# A node that does not lend now is asked again after this many seconds.
NOT_LENDING_RETRY_S = 0.5
NOT_LENDING = Grant(count=0, lifetime_s=0.0, retry_s=NOT_LENDING_RETRY_S, is_lender=False)


@dataclasses.dataclass(kw_only=True)
class Desk:
    """What a node lends of one account.

    The bucket ``lent`` is created empty when the node begins to lend. ``vain_asks`` counts the
    requests that found nothing, decaying, as of ``counted_at``.
    """

    role: roles.LenderRole = dataclasses.field(default_factory=roles.LenderRole)
    lent: bucket.Bucket | None = None
    vain_asks: float = 0.0
    counted_at: float = 0.0


def answer(
    desk: Desk,
    me: identity.NodeId,
    limit: limits.Limit,
    bounds: limits.Bounds,
    knowledge: roles.Knowledge,
    ask: Ask,
    now: float,
) -> Grant:
    """Answer a request for allowance.

    :param desk: the state for the account.
    :param me: this node.
    :param limit: the account's limit in force.
    :param bounds: the tolerance of the platform.
    :param knowledge: how current the known members are.
    :param ask: the request.
    :param now: seconds on the node's clock.
    """
    if not roles.may_lend(desk.role, me, knowledge, now):
        return NOT_LENDING
    lent = _find_bucket(desk, limit, bounds, knowledge, now)
    if not bucket.settle(
        lent, ask.borrower, sequence=ask.sequence, held=ask.held, returned=ask.returned
    ):
        return NOT_LENDING
    lifetime_s = limits.find_lifetime(limit, bounds)
    count = bucket.lend(
        lent,
        ask.borrower,
        sequence=ask.sequence,
        urgent=ask.urgent,
        wanted=min(ask.wanted, MAX_COUNT),
        expires_at=now + lifetime_s,
    )
    retry_s = 0.0
    if count < max(1, ask.urgent):
        crowd = max(1.0, _count_vain(desk, now) / MAX_VAIN_ASKS_PER_S)
        retry_s = max(lifetime_s * RETRY_SHARE * crowd**2, (1.0 - lent.level) / lent.rate)
    return Grant(count=count, lifetime_s=lifetime_s, left=math.floor(lent.level), retry_s=retry_s)


def _count_vain(desk: Desk, now: float) -> float:
    """Count a request that found nothing, and return how many there are in a second."""
    factor = math.exp(-max(0.0, now - desk.counted_at) / MEMORY_S)
    desk.vain_asks = desk.vain_asks * factor + 1.0
    desk.counted_at = now
    return desk.vain_asks / MEMORY_S


def _find_bucket(
    desk: Desk,
    limit: limits.Limit,
    bounds: limits.Bounds,
    knowledge: roles.Knowledge,
    now: float,
) -> bucket.Bucket:
    """Return the refilled bucket, which is empty when the node begins to lend.

    It has been filling since the node was allowed to lend, also if nobody has asked it.
    """
    rate = limit.rate_per_s / limits.LENDERS
    capacity = limits.find_capacity(limit, bounds) / limits.LENDERS
    started_at = roles.find_ready_time(desk.role, knowledge)
    lent = desk.lent
    if lent is None or lent.updated_at < started_at:
        # What an earlier turn as a lender has left has expired.
        desk.lent = lent = bucket.Bucket(rate=rate, capacity=capacity, updated_at=started_at)
    if lent.rate != rate or lent.capacity != capacity:
        bucket.set_limit(lent, rate=rate, capacity=capacity, now=now)
    bucket.refill(lent, now)
    return lent
