"""Observed latency of the targets of one service, and which of them are stragglers."""

import dataclasses
import statistics

from hdrh import histogram

from ebonyvalve.process import identity

MEAN_WEIGHT = 0.1
SLOW = 3.0
# Replies in a row after which a slow target is bypassed.
SLOW_REPLIES = 20
RECOVERED = 2.0
# Replies in a row after which a bypassed target is used again.
FAST_REPLIES = 5
# One in 50 of the requests that a bypassed target would otherwise get detects its recovery.
PROBE_ONE_IN = 50
# Bypassing more than this share of the targets would overload the others.
MAX_BYPASSED = 0.5
# A quantile costs about 200 µs to read, a record 1 µs.
REFRESH_REPLIES = 256
WINDOW_REPLIES = 4096


@dataclasses.dataclass(kw_only=True)
class TargetLatency:
    """Observed latency of one target."""

    mean_s: float
    slow_run: int = 0
    fast_run: int = 0
    is_straggler: bool = False


@dataclasses.dataclass(kw_only=True)
class Distribution:
    """Distribution of the latest replies, in microseconds.

    Two histograms take turns, so that quantiles cover between one and two windows.
    """

    filling: histogram.HdrHistogram = dataclasses.field(default_factory=lambda: _new_histogram())
    full: histogram.HdrHistogram = dataclasses.field(default_factory=lambda: _new_histogram())
    replies: int = 0
    known: dict[float, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class ServiceLatencies:
    """Observed latency of a service."""

    targets: dict[identity.NodeId, TargetLatency] = dataclasses.field(default_factory=dict)
    spread: Distribution = dataclasses.field(default_factory=Distribution)


def record(
    book: ServiceLatencies, node: identity.NodeId, latency_s: float, *, is_complete: bool = True
) -> None:
    """Note the latency of one reply.

    Requests that are cancelled at their deadline, or because a hedge answered first, are noted with
    the time they took until then; leaving them out would hide the slowest target. Below the mean
    that time says nothing, and is left out.

    :param book: the service's latencies.
    :param node: the node beside the target.
    :param latency_s: seconds from sending the request to the head of the reply.
    :param is_complete: whether the reply came, rather than the request being cancelled.
    """
    latency = book.targets.get(node)
    if not is_complete and (latency is None or latency_s < latency.mean_s):
        return
    _record_spread(book.spread, latency_s)
    if latency is None:
        latency = book.targets[node] = TargetLatency(mean_s=latency_s)
    else:
        latency.mean_s += MEAN_WEIGHT * (latency_s - latency.mean_s)
    usual_s = find_median_of_others(book, node)
    if usual_s is None:
        return
    if latency.is_straggler:
        latency.fast_run = latency.fast_run + 1 if latency_s <= RECOVERED * usual_s else 0
        if latency.fast_run >= FAST_REPLIES:
            book.targets[node] = TargetLatency(mean_s=latency_s)
        return
    latency.slow_run = latency.slow_run + 1 if latency.mean_s > SLOW * usual_s else 0
    if latency.slow_run >= SLOW_REPLIES:
        latency.is_straggler = True


def find_median_of_others(book: ServiceLatencies, node: identity.NodeId) -> float | None:
    """Return the median of the other targets' mean latencies in seconds, or ``None`` without any.

    The target itself is left out, since with two targets it would pull the median up.

    :param book: the service's latencies.
    :param node: the node beside the target.
    """
    others = [latency.mean_s for name, latency in book.targets.items() if name != node]
    return statistics.median_low(others) if others else None


def is_bypassed(book: ServiceLatencies, node: identity.NodeId) -> bool:
    """Return whether a target gets only probes.

    :param book: the service's latencies.
    :param node: the node beside the target.
    """
    latency = book.targets.get(node)
    if latency is None or not latency.is_straggler:
        return False
    stragglers = sum(other.is_straggler for other in book.targets.values())
    return stragglers <= MAX_BYPASSED * len(book.targets)


def forget(book: ServiceLatencies, node: identity.NodeId) -> None:
    """Forget a target that left or got a new incarnation.

    :param book: the service's latencies.
    :param node: the node beside the target.
    """
    book.targets.pop(node, None)


def read_quantile(book: ServiceLatencies, share: float) -> float | None:
    """Return a quantile of the service's latency in seconds, or ``None`` before the first replies.

    The value may lag by 256 replies.

    :param book: the service's latencies.
    :param share: for example 0.95.
    """
    spread = book.spread
    if share not in spread.known:
        counted = spread.filling if not spread.full.total_count else spread.full
        if spread.full.total_count and spread.filling.total_count:
            counted = _new_histogram()
            counted.add(spread.full)
            counted.add(spread.filling)
        if not counted.total_count:
            return None
        spread.known[share] = counted.get_value_at_percentile(share * 100) / 1e6
    return spread.known[share]


def _record_spread(spread: Distribution, latency_s: float) -> None:
    spread.filling.record_value(max(1, int(latency_s * 1e6)))
    spread.replies += 1
    if spread.replies % REFRESH_REPLIES == 0 or spread.replies < REFRESH_REPLIES:
        spread.known.clear()
    if spread.replies % WINDOW_REPLIES == 0:
        spread.full, spread.filling = spread.filling, spread.full
        spread.filling.reset()


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, 60_000_000, 2)
