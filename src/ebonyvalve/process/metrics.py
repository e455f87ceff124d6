"""Prometheus metrics of the process. docs/OPERATIONS.md lists them with their units."""

import collections.abc
import dataclasses
import enum

import prometheus_client
from returns import result

from ebonyvalve.process import assignment, identity, peer, platform, report

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Services beyond this number, or not in the configuration, share the series OTHER_SERVICE.
MAX_SERVICES = 64
OTHER_SERVICE = "other"
# 0.019 s is the latency objective for the 99th percentile.
REQUEST_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.019, 0.03, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)
# Leases of 450 ms outlast the replacement of a standby if the table answers within 0.1 s.
STORE_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)
PREFIX = "ebonyvalve_"


class Operation(enum.Enum):
    """An operation on the platform."""

    READ = "read"
    SCAN = "scan"
    COMMIT = "commit"
    GET = "get"
    PUT = "put"


class StoreOutcome(enum.Enum):
    """How an operation on the platform ended."""

    ANSWERED = "answered"
    MISSING = "missing"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class Renewal(enum.Enum):
    """How a heartbeat ended."""

    RENEWED = "renewed"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Attempt(enum.Enum):
    """Why a request was sent again."""

    RETRY = "retry"
    HEDGE = "hedge"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetState:
    """State of the local target; the numbers are in requests."""

    limit: float
    in_flight: int
    queued: int
    is_slow_start: bool


@dataclasses.dataclass(kw_only=True)
class Metrics:
    """The registry, its metrics, and the services that have their own series."""

    registry: prometheus_client.CollectorRegistry
    requests: prometheus_client.Counter
    request_seconds: prometheus_client.Histogram
    attempts: prometheus_client.Counter
    retry_budget: prometheus_client.Gauge
    target_limit: prometheus_client.Gauge
    target_in_flight: prometheus_client.Gauge
    target_queued: prometheus_client.Gauge
    target_slow_start: prometheus_client.Gauge
    load_imbalance: prometheus_client.Gauge
    moves: prometheus_client.Counter
    held_shards: prometheus_client.Gauge
    unowned_shards: prometheus_client.Gauge
    unavailable_seconds: prometheus_client.Counter
    renewals: prometheus_client.Counter
    lease_expiries: prometheus_client.Counter
    lease_remaining: prometheus_client.Gauge
    role: prometheus_client.Gauge
    config_version: prometheus_client.Gauge
    peer_failures: prometheus_client.Counter
    store_seconds: prometheus_client.Histogram
    services: set[identity.ServiceId] = dataclasses.field(default_factory=set)


def build_metrics() -> Metrics:
    """Return metrics in a new registry."""
    # Creation timestamps would double the number of series of counters and histograms.
    prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
    registry = prometheus_client.CollectorRegistry()

    def counter(name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(PREFIX + name, text, labels, registry=registry)

    def gauge(name: str, text: str, *labels: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(PREFIX + name, text, labels, registry=registry)

    def histogram(
        name: str, text: str, buckets: tuple[float, ...], *labels: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            PREFIX + name, text, labels, buckets=buckets, registry=registry
        )

    return Metrics(
        registry=registry,
        requests=counter("requests", "Requests by outcome.", "service", "verdict", "reason"),
        request_seconds=histogram(
            "request_seconds", "Time to the end of the answer.", REQUEST_BUCKETS_S, "service"
        ),
        attempts=counter("attempts", "Requests sent once more.", "service", "kind"),
        retry_budget=gauge("retry_budget_requests", "Retries that the budget still allows."),
        target_limit=gauge("target_limit_requests", "Concurrency limit of the target."),
        target_in_flight=gauge("target_in_flight_requests", "Requests the target runs."),
        target_queued=gauge("target_queued_requests", "Requests that wait for the target."),
        target_slow_start=gauge("target_slow_start", "1 while the target is in slow start."),
        load_imbalance=gauge(
            "load_imbalance_ratio", "Load of the busiest target over the mean.", "service"
        ),
        moves=counter("shard_moves", "Shards that changed their owner.", "service", "reason"),
        held_shards=gauge("held_shards", "Shards that this node owns.", "service"),
        unowned_shards=gauge("unowned_shards", "Shards without an owner.", "service"),
        unavailable_seconds=counter(
            "shard_unavailable_seconds", "Time without an owner, summed over shards.", "service"
        ),
        renewals=counter("lease_renewals", "Heartbeats by their end.", "result"),
        lease_expiries=counter("lease_expiries", "Leases that expired before a renewal."),
        lease_remaining=gauge("lease_remaining_seconds", "Time to the end of the lease."),
        role=gauge("role", "1 for the role of this node in its cell.", "role"),
        config_version=gauge("config_version", "Version of the configuration in force."),
        peer_failures=counter("peer_failures", "Control requests without a reply.", "failure"),
        store_seconds=histogram(
            "store_seconds",
            "Time of an operation on the platform.",
            STORE_BUCKETS_S,
            "operation",
            "result",
        ),
    )


def render(metrics: Metrics) -> bytes:
    """Return the exposition text, whose type is ``CONTENT_TYPE``.

    :param metrics: made by :func:`build_metrics`.
    """
    return prometheus_client.generate_latest(metrics.registry)


def set_services(metrics: Metrics, services: collections.abc.Iterable[identity.ServiceId]) -> None:
    """Give these services their own series, and drop the series of all others.

    :param metrics: the metrics.
    :param services: the services of the configuration in force; of more than
        :data:`MAX_SERVICES`, the first by name are taken.
    """
    kept = set(sorted(services)[:MAX_SERVICES])
    for service in metrics.services - kept:
        for metric in _list_by_service(metrics):
            metric.remove_by_labels({"service": service})
    metrics.services = kept


def count_request(
    metrics: Metrics,
    service: identity.ServiceId,
    *,
    verdict: enum.Enum,
    reason: enum.Enum,
    seconds: float,
) -> None:
    """Count a request and observe its duration.

    :param metrics: the metrics.
    :param service: its service, which may be unknown.
    :param verdict: whether it ran.
    :param reason: why it was not answered.
    :param seconds: time from its first byte to the end of its answer.
    """
    # Verdict and reason are enums, so that no text from a caller becomes a label.
    label = _label_service(metrics, service)
    metrics.requests.labels(label, verdict.value, reason.value).inc()
    metrics.request_seconds.labels(label).observe(seconds)


def count_attempt(metrics: Metrics, service: identity.ServiceId, attempt: Attempt) -> None:
    """Count a request that was sent again.

    :param metrics: the metrics.
    :param service: its service.
    :param attempt: why it was sent again.
    """
    metrics.attempts.labels(_label_service(metrics, service), attempt.value).inc()


def set_retry_budget(metrics: Metrics, requests: float) -> None:
    """Set how many retries the budget still allows.

    :param metrics: the metrics.
    :param requests: number of requests.
    """
    metrics.retry_budget.set(requests)


def set_target(metrics: Metrics, state: TargetState) -> None:
    """Set the state of the local target.

    :param metrics: the metrics.
    :param state: limit, requests in flight and waiting, and slow start.
    """
    metrics.target_limit.set(state.limit)
    metrics.target_in_flight.set(state.in_flight)
    metrics.target_queued.set(state.queued)
    metrics.target_slow_start.set(state.is_slow_start)


def set_loads(
    metrics: Metrics, service: identity.ServiceId, loads: collections.abc.Collection[float]
) -> None:
    """Set the load imbalance of a service: maximum over mean, 1 without load.

    :param metrics: the metrics.
    :param service: the service.
    :param loads: load of each target, in seconds of target time per second.
    """
    mean = sum(loads) / len(loads) if loads else 0.0
    ratio = max(loads) / mean if mean > 0 else 1.0
    metrics.load_imbalance.labels(_label_service(metrics, service)).set(ratio)


def count_move(
    metrics: Metrics, service: identity.ServiceId, reason: assignment.MoveReason
) -> None:
    """Count a shard that changed its owner.

    :param metrics: the metrics.
    :param service: its service.
    :param reason: why it moved.
    """
    metrics.moves.labels(_label_service(metrics, service), reason.value).inc()


def set_held_shards(metrics: Metrics, service: identity.ServiceId, shards: int) -> None:
    """Set the number of shards of a service that this node owns.

    :param metrics: the metrics.
    :param service: the service.
    :param shards: their number.
    """
    metrics.held_shards.labels(_label_service(metrics, service)).set(shards)


def count_unowned(
    metrics: Metrics, service: identity.ServiceId, *, shards: int, seconds: float
) -> None:
    """Add the time for which shards had no owner. The coordinator calls this periodically.

    :param metrics: the metrics.
    :param service: the service.
    :param shards: how many shards have no owner now.
    :param seconds: time since the previous call.
    """
    label = _label_service(metrics, service)
    metrics.unowned_shards.labels(label).set(shards)
    metrics.unavailable_seconds.labels(label).inc(shards * seconds)


def count_renewal(metrics: Metrics, renewal: Renewal) -> None:
    """Count a heartbeat.

    :param metrics: the metrics.
    :param renewal: its result.
    """
    metrics.renewals.labels(renewal.value).inc()


def count_expiry(metrics: Metrics) -> None:
    """Count a lease that expired before it was renewed.

    :param metrics: the metrics.
    """
    metrics.lease_expiries.inc()


def set_lease(metrics: Metrics, remaining_s: float) -> None:
    """Set the time to the end of this node's lease.

    :param metrics: the metrics.
    :param remaining_s: in seconds; 0 if it has expired.
    """
    metrics.lease_remaining.set(max(remaining_s, 0.0))


def set_role(metrics: Metrics, role: report.Role) -> None:
    """Set the role of this node in its cell.

    :param metrics: the metrics.
    :param role: its current role.
    """
    for other in report.Role:
        metrics.role.labels(other.value).set(other is role)


def set_config_version(metrics: Metrics, version: identity.ConfigVersion) -> None:
    """Set the version of the configuration in force.

    :param metrics: the metrics.
    :param version: the version.
    """
    metrics.config_version.set(version)


def count_peer_failure(metrics: Metrics, failure: peer.PeerFailure) -> None:
    """Count a control request that got no reply.

    :param metrics: the metrics.
    :param failure: the reason.
    """
    metrics.peer_failures.labels(failure.value).inc()


def observe_store(
    metrics: Metrics, operation: Operation, outcome: StoreOutcome, seconds: float
) -> None:
    """Count an operation on the platform and observe its duration.

    :param metrics: the metrics.
    :param operation: the kind of operation.
    :param outcome: how it ended.
    :param seconds: time from the request to the reply, or until it was given up.
    """
    metrics.store_seconds.labels(operation.value, outcome.value).observe(seconds)


def observe_platform(
    metrics: Metrics, services: platform.Platform, clock: collections.abc.Callable[[], float]
) -> platform.Platform:
    """Return a platform that passes each operation to another one and observes it.

    :param metrics: the metrics.
    :param services: the platform to observe.
    :param clock: returns the current time in seconds.
    """

    async def read(key: str) -> platform.RowResult:
        start_s = clock()
        answer = await services.table.read(key)
        observe_store(metrics, Operation.READ, _classify(answer), clock() - start_s)
        return answer

    async def scan(prefix: str) -> platform.RowsResult:
        start_s = clock()
        answer = await services.table.scan(prefix)
        observe_store(metrics, Operation.SCAN, _classify(answer), clock() - start_s)
        return answer

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        start_s = clock()
        state = await services.table.commit(expected, writes)
        observe_store(metrics, Operation.COMMIT, OUTCOME_OF[state], clock() - start_s)
        return state

    async def get(name: str) -> platform.BodyResult:
        start_s = clock()
        answer = await services.objects.get(name)
        observe_store(metrics, Operation.GET, _classify(answer), clock() - start_s)
        return answer

    async def put(name: str, body: bytes) -> platform.PutResult:
        start_s = clock()
        answer = await services.objects.put(name, body)
        observe_store(metrics, Operation.PUT, _classify(answer), clock() - start_s)
        return answer

    return platform.Platform(
        table=platform.Table(read=read, scan=scan, commit=commit),
        objects=platform.ObjectStore(get=get, put=put),
    )


OUTCOME_OF = {
    platform.CommitState.COMMITTED: StoreOutcome.ANSWERED,
    platform.CommitState.CONFLICT: StoreOutcome.CONFLICT,
    platform.CommitState.UNKNOWN: StoreOutcome.UNKNOWN,
}


def _classify(answer: result.Result[object, platform.StoreFailure]) -> StoreOutcome:
    if isinstance(answer, result.Success):
        return StoreOutcome.ANSWERED
    if answer.failure() is platform.StoreFailure.MISSING:
        return StoreOutcome.MISSING
    return StoreOutcome.UNAVAILABLE


def _label_service(metrics: Metrics, service: identity.ServiceId) -> str:
    return service if service in metrics.services else OTHER_SERVICE


def _list_by_service(
    metrics: Metrics,
) -> list[prometheus_client.Counter | prometheus_client.Gauge | prometheus_client.Histogram]:
    return [
        metrics.requests,
        metrics.request_seconds,
        metrics.attempts,
        metrics.load_imbalance,
        metrics.moves,
        metrics.held_shards,
        metrics.unowned_shards,
        metrics.unavailable_seconds,
    ]
