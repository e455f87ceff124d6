"""Request counters and latency histograms of a node, in the text format of Prometheus."""

import bisect
import collections
import collections.abc
import dataclasses

# Upper bounds of the histogram buckets in seconds, around latency objectives of 0.1 to 1 s.
BOUNDS_S = (0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
PREFIX = "ebonyvalve"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(kw_only=True)
class Counters:
    """The counters since the process started.

    ``requests`` counts requests by service, outcome and reason. ``latency`` has one count for each
    histogram bucket by service, the last for everything above the highest bound. ``latency_s`` is
    the sum of the latencies in seconds by service. ``quotas`` counts requests and messages of
    client accounts with limits, by account and event. ``unanswered`` counts requests that were
    passed on and ended without a whole answer, by listener and cause.
    """

    requests: collections.Counter[tuple[str, str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    latency_s: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    quotas: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    unanswered: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def count(counters: Counters, service: str, outcome: str, reason: str, took_s: float) -> None:
    """Count a request that has ended.

    :param counters: the counters.
    :param service: the service.
    :param outcome: how the request ended.
    :param reason: the reason for the outcome.
    :param took_s: seconds from the arrival of the request to its end.
    """
    counters.requests[service, outcome, reason] += 1
    buckets = counters.latency.setdefault(service, [0] * (len(BOUNDS_S) + 1))
    buckets[bisect.bisect_left(BOUNDS_S, took_s)] += 1
    counters.latency_s[service] += took_s  # type: ignore[assignment]


def render(counters: Counters, gauges: collections.abc.Mapping[str, float]) -> bytes:
    """Return all metrics in the text format of Prometheus.

    ``prometheus_client`` is imported here because most processes are never asked for metrics.

    :param counters: the counters.
    :param gauges: the current values of the gauges by name.
    """
    import prometheus_client
    from prometheus_client import core

    def collect() -> collections.abc.Iterator[core.Metric]:
        request_count = core.CounterMetricFamily(
            f"{PREFIX}_requests", "Requests by outcome", labels=["service", "outcome", "reason"]
        )
        for labels, number in counters.requests.items():
            request_count.add_metric(list(labels), number)
        yield request_count
        if counters.quotas:
            quota_count = core.CounterMetricFamily(
                f"{PREFIX}_quota", "Quotas of client accounts", labels=["account", "event"]
            )
            for quota_labels, number in counters.quotas.items():
                quota_count.add_metric(list(quota_labels), number)
            yield quota_count
        unanswered_count = core.CounterMetricFamily(
            f"{PREFIX}_unanswered",
            "Requests that were passed on and ended without a whole answer",
            labels=["listener", "cause"],
        )
        for unanswered_labels, number in counters.unanswered.items():
            unanswered_count.add_metric(list(unanswered_labels), number)
        yield unanswered_count
        request_time = core.HistogramMetricFamily(
            f"{PREFIX}_request_seconds", "Seconds to the end of a request", labels=["service"]
        )
        for service, buckets in counters.latency.items():
            request_time.add_metric(
                [service], _accumulate(buckets), sum_value=counters.latency_s[service]
            )
        yield request_time
        for name, value in gauges.items():
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", name.replace("_", " "), value=value)

    registry = prometheus_client.CollectorRegistry()
    collector = type("Collector", (), {"collect": lambda _: collect()})()
    registry.register(collector)
    return prometheus_client.generate_latest(registry)


def _accumulate(buckets: list[int]) -> list[tuple[str, float]]:
    total = 0
    pairs: list[tuple[str, float]] = []
    for bound, number in zip([*map(str, BOUNDS_S), "+Inf"], buckets, strict=True):
        total += number
        pairs.append((bound, total))
    return pairs
