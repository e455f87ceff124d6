"""Token buckets that keep retries and hedges to a share of the requests."""

import dataclasses

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


def earn(budget: Budget) -> None:
    """Credit one request.

    :param budget: the bucket.
    """
    budget.level = min(budget.burst, budget.level + budget.share)


def choose_share(ratio: float) -> float:
    """Return how much of an extra attempt each request earns.

    Half is kept back, as of the burst in :func:`divide`.

    :param ratio: extra attempts for each request that all nodes together may make.
    """
    return ratio / 2


def divide(budget: Budget, slack: float, nodes: int) -> None:
    """Give a node its part of the extra attempts that all nodes together may make in a burst.

    Half is kept back: a window may begin just before one burst and end just after the next.

    :param budget: the bucket.
    :param slack: extra attempts of all nodes.
    :param nodes: how many nodes there are.
    """
    budget.burst = slack / (2 * max(1, nodes))
    budget.level = min(budget.level, budget.burst)


def spend(budget: Budget) -> bool:
    """Take one extra attempt and return whether there was one.

    :param budget: the bucket.
    """
    # The level is a sum of tenths; the tolerance keeps rounding from withholding a whole attempt.
    if budget.level < 1.0 - 1e-9:
        return False
    budget.level -= 1.0
    return True
