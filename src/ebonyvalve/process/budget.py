"""Token buckets that limit retries and hedges to a share of the requests."""

import dataclasses

from ebonyvalve.process import identity

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.05
# Allows a node with little traffic to retry, and limits an idle node to a burst of 10 retries.
BURST = 10.0


@dataclasses.dataclass(kw_only=True)
class Budget:
    """Token bucket to which each request adds ``share`` of an extra attempt.

    ``level`` is the number of extra attempts that it holds, and ``burst`` the maximum.
    """

    share: float
    burst: float = BURST
    level: float = BURST


@dataclasses.dataclass(kw_only=True)
class ServiceBudgets:
    """A token bucket for each service, all with the same share and burst."""

    share: float
    burst: float = BURST
    buckets: dict[identity.ServiceId, Budget] = dataclasses.field(default_factory=dict)


def find_budget(budgets: ServiceBudgets, service: identity.ServiceId) -> Budget:
    """Return the bucket of a service; a new one is created full.

    :param budgets: the buckets of all services.
    :param service: a service of the configuration.
    """
    bucket = budgets.buckets.get(service)
    if bucket is None:
        share, burst = budgets.share, budgets.burst
        bucket = budgets.buckets[service] = Budget(share=share, burst=burst, level=burst)
    return bucket


def credit(budget: Budget) -> None:
    """Add the share of one request to the bucket.

    :param budget: the bucket.
    """
    budget.level = min(budget.burst, budget.level + budget.share)


def compute_share(ratio: float) -> float:
    """Return the share of an extra attempt that each request adds.

    Half of the ratio is held in reserve, as in :func:`divide_burst`.

    :param ratio: extra attempts per request that all nodes together may make.
    """
    return ratio / 2


def set_share(budgets: ServiceBudgets, share: float) -> None:
    """Change the share of an extra attempt that each request adds.

    :param budgets: the buckets of all services.
    :param share: from :func:`compute_share`.
    """
    budgets.share = share
    for bucket in budgets.buckets.values():
        bucket.share = share


def divide_burst(budgets: ServiceBudgets, slack: float, nodes: int) -> None:
    """Set the burst to a node's part of the extra attempts that all nodes may make together.

    Half is held in reserve, because a window may begin just before one burst and end just after the
    next.

    :param budgets: the buckets of all services.
    :param slack: extra attempts that all nodes together may make for one service.
    :param nodes: the number of nodes.
    """
    budgets.burst = slack / (2 * max(1, nodes))
    for bucket in budgets.buckets.values():
        bucket.burst = budgets.burst
        bucket.level = min(bucket.level, bucket.burst)


def spend(budget: Budget) -> bool:
    """Take one extra attempt out of the bucket, and return whether there was one.

    :param budget: the bucket.
    """
    # The level is a sum of shares such as 0.1; without the tolerance, rounding could withhold a
    # whole attempt.
    if budget.level < 1.0 - 1e-9:
        return False
    budget.level -= 1.0
    return True
