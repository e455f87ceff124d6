"""Token buckets that keep retries and hedges to a share of the requests."""

import dataclasses

from ebonyvalve.process import identity

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.05
# Lets a node with little traffic retry; it bounds the retries of an idle node to 10 in a burst.
BURST = 10.0


@dataclasses.dataclass(kw_only=True)
class Budget:
    """A bucket into which each request puts ``share`` of an extra attempt."""

    share: float
    burst: float = BURST
    level: float = BURST


@dataclasses.dataclass(kw_only=True)
class ServiceBudgets:
    """A bucket for each service, all with the same share and burst."""

    share: float
    burst: float = BURST
    buckets: dict[identity.ServiceId, Budget] = dataclasses.field(default_factory=dict)


def find_budget(budgets: ServiceBudgets, service: identity.ServiceId) -> Budget:
    """Return the bucket of a service; a new one is full.

    :param budgets: the buckets.
    :param service: one that the configuration names.
    """
    bucket = budgets.buckets.get(service)
    if bucket is None:
        share, burst = budgets.share, budgets.burst
        bucket = budgets.buckets[service] = Budget(share=share, burst=burst, level=burst)
    return bucket


def credit(budget: Budget) -> None:
    """Credit one request.

    :param budget: the bucket.
    """
    budget.level = min(budget.burst, budget.level + budget.share)


def compute_share(ratio: float) -> float:
    """Return how much of an extra attempt each request earns.

    Half is kept back, as of the burst in :func:`divide`.

    :param ratio: extra attempts for each request that all nodes together may make.
    """
    return ratio / 2


def set_share(budgets: ServiceBudgets, share: float) -> None:
    """Change how much of an extra attempt each request earns.

    :param budgets: the buckets.
    :param share: from :func:`choose_share`.
    """
    budgets.share = share
    for bucket in budgets.buckets.values():
        bucket.share = share


def divide_burst(budgets: ServiceBudgets, slack: float, nodes: int) -> None:
    """Give a node its part of the extra attempts that all nodes together may make in a burst.

    Half is kept back: a window may begin just before one burst and end just after the next.

    :param budgets: the buckets.
    :param slack: extra attempts of all nodes for one service.
    :param nodes: how many nodes there are.
    """
    budgets.burst = slack / (2 * max(1, nodes))
    for bucket in budgets.buckets.values():
        bucket.burst = budgets.burst
        bucket.level = min(bucket.level, bucket.burst)


def spend(budget: Budget) -> bool:
    """Take one extra attempt and return whether there was one.

    :param budget: the bucket.
    """
    # The level is a sum of tenths; the tolerance keeps rounding from withholding a whole attempt.
    if budget.level < 1.0 - 1e-9:
        return False
    budget.level -= 1.0
    return True
