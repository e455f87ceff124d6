"""Detection of stragglers: targets that are much slower than the others of their service."""

import dataclasses
import statistics

from hdrh import histogram

from ebonyvalve.process import identity

# Weight of the latest reply in the moving average of a target's latency.
MEAN_WEIGHT = 0.1
# A target is slow while its mean latency exceeds this multiple of the median of the others.
SLOW_FACTOR = 3.0
# Consecutive replies with a slow mean after which a target becomes a straggler.
SLOW_REPLIES = 20
# A reply of a straggler is fast if its latency is at most this multiple of that median.
RECOVERED_FACTOR = 2.0
# Consecutive fast replies after which a straggler is used normally again.
FAST_REPLIES = 5
# A bypassed target still gets one in 50 of the requests that it would otherwise get, to detect its
# recovery.
PROBE_ONE_IN = 50
# Bypassing more than this share of the targets would overload the others.
MAX_BYPASSED = 0.5
# Quantiles are cached, because computing one takes about 200 µs and recording a value 1 µs.
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
    """Distribution of the latest latencies, in microseconds.

    Two histograms alternate, so that quantiles cover the last one to two windows.
    """

    current: histogram.HdrHistogram = dataclasses.field(default_factory=lambda: _new_histogram())
    previous: histogram.HdrHistogram = dataclasses.field(default_factory=lambda: _new_histogram())
    replies: int = 0
    quantiles: dict[float, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class ServiceLatencies:
    """Observed latencies of a service."""

    targets: dict[identity.NodeId, TargetLatency] = dataclasses.field(default_factory=dict)
    distribution: Distribution = dataclasses.field(default_factory=Distribution)


def record(
    latencies: ServiceLatencies,
    node: identity.NodeId,
    latency_s: float,
    *,
    is_complete: bool = True,
) -> None:
    """Record the latency of one reply.

    Requests that were cancelled at their deadline, or because a hedge was answered first, count
    with the time until then, as ignoring them would hide the slowest target. If that time is below
    the target's mean, it shows nothing and is ignored.

    :param latencies: the service's latencies.
    :param node: the node of the target.
    :param latency_s: seconds from sending the request to the head of the reply.
    :param is_complete: whether the reply arrived; otherwise the request was cancelled.
    """
    latency = latencies.targets.get(node)
    if not is_complete and (latency is None or latency_s < latency.mean_s):
        return
    _record_distribution(latencies.distribution, latency_s)
    if latency is None:
        latency = latencies.targets[node] = TargetLatency(mean_s=latency_s)
    else:
        latency.mean_s += MEAN_WEIGHT * (latency_s - latency.mean_s)
    median_s = find_median_of_others(latencies, node)
    if median_s is None:
        return
    if latency.is_straggler:
        latency.fast_run = latency.fast_run + 1 if latency_s <= RECOVERED_FACTOR * median_s else 0
        if latency.fast_run >= FAST_REPLIES:
            latencies.targets[node] = TargetLatency(mean_s=latency_s)
        return
    latency.slow_run = latency.slow_run + 1 if latency.mean_s > SLOW_FACTOR * median_s else 0
    if latency.slow_run >= SLOW_REPLIES:
        latency.is_straggler = True


def find_median_of_others(latencies: ServiceLatencies, node: identity.NodeId) -> float | None:
    """Return the median of the other targets' mean latencies in seconds, or ``None`` without any.

    The target itself is excluded, because with two targets it would raise the median.

    :param latencies: the service's latencies.
    :param node: the node of the target.
    """
    others = [latency.mean_s for name, latency in latencies.targets.items() if name != node]
    return statistics.median_low(others) if others else None


def is_bypassed(latencies: ServiceLatencies, node: identity.NodeId) -> bool:
    """Return whether a target is bypassed, so that it gets only one in 50 of its requests.

    If more than :data:`MAX_BYPASSED` of the targets are stragglers, none is bypassed.

    :param latencies: the service's latencies.
    :param node: the node of the target.
    """
    latency = latencies.targets.get(node)
    if latency is None or not latency.is_straggler:
        return False
    stragglers = sum(other.is_straggler for other in latencies.targets.values())
    return stragglers <= MAX_BYPASSED * len(latencies.targets)


def forget(latencies: ServiceLatencies, node: identity.NodeId) -> None:
    """Remove a target that has left or was restarted.

    :param latencies: the service's latencies.
    :param node: the node of the target.
    """
    latencies.targets.pop(node, None)


def read_quantile(latencies: ServiceLatencies, share: float) -> float | None:
    """Return a quantile of the service's latency in seconds, or ``None`` before the first reply.

    The value is cached and may lag by 256 replies.

    :param latencies: the service's latencies.
    :param share: the quantile to return, for example 0.95.
    """
    distribution = latencies.distribution
    if share not in distribution.quantiles:
        counted = (
            distribution.current if not distribution.previous.total_count else distribution.previous
        )
        if distribution.previous.total_count and distribution.current.total_count:
            counted = _new_histogram()
            counted.add(distribution.previous)
            counted.add(distribution.current)
        if not counted.total_count:
            return None
        distribution.quantiles[share] = counted.get_value_at_percentile(share * 100) / 1e6
    return distribution.quantiles[share]


def _record_distribution(distribution: Distribution, latency_s: float) -> None:
    distribution.current.record_value(max(1, int(latency_s * 1e6)))
    distribution.replies += 1
    if distribution.replies % REFRESH_REPLIES == 0 or distribution.replies < REFRESH_REPLIES:
        distribution.quantiles.clear()
    if distribution.replies % WINDOW_REPLIES == 0:
        distribution.previous, distribution.current = distribution.current, distribution.previous
        distribution.current.reset()


def _new_histogram() -> histogram.HdrHistogram:
    """Return a histogram for 1 µs to 60 s with two significant digits."""
    return histogram.HdrHistogram(1, 60_000_000, 2)
