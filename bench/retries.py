"""Simulates how retries multiply the load in an outage, with and without the retry budget."""

import collections.abc
import dataclasses
import random

import defopt

from bench import events
from ebonyvalve.process import budget
from ebonyvalve.request import outcome, retry

NODES = 14
DEADLINE_S = 0.4
REPLY_S = 0.002
OUTAGE_S = 10.0
SERVICES = [("paquetes", 4, 10), ("archives", 3, 6)]
MEAN_S = 0.005
LOAD = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outage:
    """The share of attempts that fail, 0 to 1, and how they fail."""

    name: str
    share: float
    result: outcome.Outcome


@dataclasses.dataclass(kw_only=True)
class Counts:
    """Requests, attempts and answers of one run."""

    requests: int = 0
    attempts: int = 0
    answered: int = 0


OUTAGES = [
    Outage(name="no outage", share=0.0, result=outcome.refuse(outcome.Reason.CONNECT_FAILED)),
    Outage(name="1 in 20 fails", share=0.05, result=outcome.refuse(outcome.Reason.CONNECT_FAILED)),
    Outage(name="half fail", share=0.5, result=outcome.refuse(outcome.Reason.CONNECT_FAILED)),
    Outage(name="no connection", share=1.0, result=outcome.refuse(outcome.Reason.CONNECT_FAILED)),
    Outage(name="all shed", share=1.0, result=outcome.refuse(outcome.Reason.TARGET_SHED)),
    Outage(name="all break off", share=1.0, result=outcome.unknown(outcome.Reason.CONNECTION_LOST)),
]


def submit(
    loop: events.EventLoop,
    counts: Counts,
    outage: Outage,
    buckets: list[budget.Budget],
    targets: int,
) -> None:
    """Send one idempotent request with its retries.

    :param loop: the event loop.
    :param counts: updated in place.
    :param outage: how attempts fail.
    :param buckets: the retry budgets of the nodes.
    :param targets: number of targets of the service.
    """
    bucket = loop.rng.choice(buckets)
    budget.credit(bucket)
    counts.requests += 1
    deadline = loop.now + DEADLINE_S
    attempts = 0

    def attempt() -> None:
        nonlocal attempts
        attempts += 1
        counts.attempts += 1
        events.call_at(loop, loop.now + REPLY_S, reply)

    def reply() -> None:
        if loop.rng.random() >= outage.share:
            counts.answered += 1
            return
        has_other_target = attempts < targets
        decision = retry.decide(
            outage.result,
            is_idempotent=True,
            is_body_held=True,
            is_reply_started=False,
            has_other_target=has_other_target,
            attempts=attempts,
            remaining_s=deadline - loop.now,
            bucket=bucket,
        )
        if decision is retry.Retry.RETRY:
            delay_s = retry.delay(attempts, loop.rng.random(), has_other_target=has_other_target)
            events.call_at(loop, loop.now + delay_s, attempt)

    attempt()


def measure(
    outage: Outage,
    make_budget: collections.abc.Callable[[], budget.Budget],
    rate: float,
    targets: int,
    seed: int,
) -> Counts:
    """Simulate an outage and return the counts.

    :param outage: how attempts fail.
    :param make_budget: returns the retry budget of a node.
    :param rate: requests per second.
    :param targets: number of targets of the service.
    :param seed: seeds the random numbers.
    """
    loop = events.EventLoop(rng=random.Random(seed))
    counts = Counts()
    buckets = [make_budget() for _ in range(NODES)]
    events.schedule_arrivals(
        loop, rate, OUTAGE_S, lambda: submit(loop, counts, outage, buckets, targets)
    )
    events.run_until(loop, OUTAGE_S + DEADLINE_S)
    return counts


def run(*, seed: int = 1) -> None:
    """Print attempts per request during outages.

    :param seed: seeds the random numbers.
    """
    print(f"seed {seed}, {NODES} nodes, outage of {OUTAGE_S:.0f} s, load {LOAD:.0%},")
    print(f"budget {budget.RETRY_SHARE:.0%} of requests and a burst of {budget.BURST:.0f} per node")
    print(
        f"{'service':<10}{'outage':<16}{'budget':<8}{'requests':>9}{'attempts':>9}"
        f"{'load x':>8}{'answered':>10}"
    )
    for service, targets, slots in SERVICES:
        for outage in OUTAGES:
            for name, make_budget in (
                ("no", lambda: budget.Budget(share=1.0, burst=1e9, level=1e9)),
                ("yes", lambda: budget.Budget(share=budget.RETRY_SHARE)),
            ):
                counts = measure(
                    outage, make_budget, targets * slots / MEAN_S * LOAD, targets, seed
                )
                print(
                    f"{service:<10}{outage.name:<16}{name:<8}{counts.requests:>9}"
                    f"{counts.attempts:>9}{counts.attempts / counts.requests:>8.3f}"
                    f"{counts.answered / counts.requests:>10.2%}"
                )


if __name__ == "__main__":
    defopt.run(run)
