"""The limit of a client account, and the figures that lenders and borrowers derive from it."""

import dataclasses

# An account's requests go through this many lenders, each with an equal part of its limit.
LENDERS = 3
# Parts of the tolerance of the platform that are used. The rest covers requests that were admitted
# at different times and run at the same time, and the drift of clocks.
USED_EXCESS = 0.5
CAPACITY_SLACK = 0.3
EMERGENCY_SLACK = 0.4
# Longest time for which a borrowed allowance can be spent.
MAX_LIFETIME_S = 1.0
MIN_LIFETIME_S = 0.25
# Allowances on loan may take this part of what a lender holds at most, if demand equals the limit.
MAX_LOAN_SHARE = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the platform tolerates over all nodes.

    In no window of ``window_s`` seconds may more than (rate x window + burst) x (1 + ``excess``) +
    ``slack`` requests of an account run.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """The limit of an account: requests per second, and the burst in requests."""

    rate_per_s: float
    burst: float = 0.0


def find_bound(limit: Limit, bounds: Bounds) -> float:
    """Return the most requests of an account that may run in a window.

    :param limit: the account's limit.
    :param bounds: the tolerance.
    """
    return (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.excess) + bounds.slack


def find_capacity(limit: Limit, bounds: Bounds) -> float:
    """Return the allowance in requests that all lenders of an account may hold and have on loan.

    With this capacity, at most rate x window + capacity requests are admitted in a window, whatever
    happens to the allowances on loan.

    :param limit: the account's limit.
    :param bounds: the tolerance.
    """
    tolerated = bounds.excess * (limit.rate_per_s * bounds.window_s + limit.burst)
    return limit.burst + USED_EXCESS * tolerated + CAPACITY_SLACK * bounds.slack


def find_lifetime(limit: Limit, bounds: Bounds) -> float:
    """Return for how many seconds a borrowed allowance can be spent.

    It is shorter for an account with a small burst, because the lenders could not hold what is on
    loan for longer.

    :param limit: the account's limit.
    :param bounds: the tolerance.
    """
    wanted = MAX_LOAN_SHARE * find_capacity(limit, bounds) / limit.rate_per_s
    return min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, wanted))


def find_emergency_count(bounds: Bounds) -> int:
    """Return how many requests of an account all nodes without a lender may admit in a window.

    :param bounds: the tolerance.
    """
    return int(EMERGENCY_SLACK * bounds.slack)
