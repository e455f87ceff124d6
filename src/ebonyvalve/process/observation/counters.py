"""Counters and latency histograms of one node, in the text format of Prometheus."""

import bisect
import collections
import collections.abc
import dataclasses

# Bounds in seconds around the latency objectives of 0.1 to 1 s.
BOUNDS_S = (0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
PREFIX = "ebonyvalve"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(kw_only=True)
class Counters:
    """What was counted since the start.

    ``requests`` by service, outcome and reason; ``latency`` by service, one count for each bound
    and one for all above.
    """

    requests: collections.Counter[tuple[str, str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    latency_s: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


def count(tally: Counters, service: str, outcome: str, reason: str, took_s: float) -> None:
    """Count the end of a request.

    :param tally: the counters.
    :param service: its service.
    :param outcome: what became of it.
    :param reason: why.
    :param took_s: seconds from its arrival.
    """
    tally.requests[service, outcome, reason] += 1
    buckets = tally.latency.setdefault(service, [0] * (len(BOUNDS_S) + 1))
    buckets[bisect.bisect_left(BOUNDS_S, took_s)] += 1
    tally.latency_s[service] += took_s  # type: ignore[assignment]


def render(tally: Counters, gauges: collections.abc.Mapping[str, float]) -> bytes:
    """Return everything as text.

    ``prometheus_client`` writes it; it is imported here because most processes are never asked.

    :param tally: the counters.
    :param gauges: present values by name.
    """
    import prometheus_client
    from prometheus_client import core

    def collect() -> collections.abc.Iterator[core.Metric]:
        counted = core.CounterMetricFamily(
            f"{PREFIX}_requests", "Requests by outcome", labels=["service", "outcome", "reason"]
        )
        for labels, number in tally.requests.items():
            counted.add_metric(list(labels), number)
        yield counted
        timed = core.HistogramMetricFamily(
            f"{PREFIX}_request_seconds", "Seconds to the end of a request", labels=["service"]
        )
        for service, buckets in tally.latency.items():
            timed.add_metric([service], _accumulate(buckets), sum_value=tally.latency_s[service])
        yield timed
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
