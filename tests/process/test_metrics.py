"""Tests of the metrics: their values, the number of series, and the page that lists them."""

import enum
import pathlib
import re

import prometheus_client.parser
from returns import result
import trio

from ebonyvalve.process import assignment, identity, metrics, peer, platform, report

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs" / "OPERATIONS.md"
INVENTARIO = identity.ServiceId("inventario")


class Verdict(enum.Enum):
    ANSWERED = "answered"
    NOT_RUN = "not-run"


class Reason(enum.Enum):
    NONE = "none"
    MOVED = "moved"


def read_samples(observed: metrics.Metrics) -> dict[str, float]:
    """Return the value of each series in the exposition text, by its name and labels."""
    text = metrics.render(observed).decode()
    samples: dict[str, float] = {}
    for family in prometheus_client.parser.text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{key}={value}" for key, value in sorted(sample.labels.items()))
            samples[f"{sample.name}{{{labels}}}"] = sample.value
    return samples


def observe_everything(observed: metrics.Metrics, service: identity.ServiceId) -> None:
    metrics.count_request(
        observed, service, verdict=Verdict.NOT_RUN, reason=Reason.MOVED, seconds=0.015
    )
    for attempt in metrics.Attempt:
        metrics.count_attempt(observed, service, attempt)
    metrics.set_loads(observed, service, [1.0, 2.0, 3.0])
    for reason in assignment.MoveReason:
        metrics.count_move(observed, service, reason)
    metrics.set_held_shards(observed, service, 43)
    metrics.count_unowned(observed, service, shards=4, seconds=0.5)


def test_values_of_a_service() -> None:
    """Guards against an observation in the wrong series or in the wrong unit."""
    observed = metrics.build_metrics()
    metrics.set_services(observed, [INVENTARIO])
    observe_everything(observed, INVENTARIO)
    metrics.count_unowned(observed, INVENTARIO, shards=2, seconds=0.25)
    samples = read_samples(observed)
    prefix, suffix = "ebonyvalve_", "{service=inventario}"
    counted = "{reason=moved,service=inventario,verdict=not-run}"
    assert samples[f"{prefix}requests_total{counted}"] == 1
    assert samples[f"{prefix}request_seconds_bucket{{le=0.01,service=inventario}}"] == 0
    assert samples[f"{prefix}request_seconds_bucket{{le=0.019,service=inventario}}"] == 1
    assert samples[f"{prefix}attempts_total{{kind=hedge,service=inventario}}"] == 1
    assert samples[f"{prefix}load_imbalance_ratio{suffix}"] == 1.5
    assert samples[f"{prefix}shard_moves_total{{reason=orphaned,service=inventario}}"] == 1
    assert samples[f"{prefix}held_shards{suffix}"] == 43
    assert samples[f"{prefix}unowned_shards{suffix}"] == 2
    assert samples[f"{prefix}shard_unavailable_seconds_total{suffix}"] == 2.5


def test_values_of_the_node() -> None:
    """Guards against a former role that stays set, and against a negative remaining lease."""
    observed = metrics.build_metrics()
    metrics.set_role(observed, report.Role.COORDINATOR)
    metrics.set_role(observed, report.Role.STANDBY)
    metrics.set_lease(observed, 0.3)
    metrics.set_lease(observed, -1.0)
    metrics.count_expiry(observed)
    metrics.count_renewal(observed, metrics.Renewal.UNANSWERED)
    metrics.set_retry_budget(observed, 12.5)
    metrics.set_config_version(observed, identity.ConfigVersion(530))
    metrics.count_peer_failure(observed, peer.PeerFailure.TIMEOUT)
    state = metrics.TargetState(limit=10.5, in_flight=8, queued=2, is_slow_start=True)
    metrics.set_target(observed, state)
    samples = read_samples(observed)
    expected = {
        "role{role=standby}": 1,
        "role{role=coordinator}": 0,
        "role{role=member}": 0,
        "lease_remaining_seconds{}": 0,
        "lease_expiries_total{}": 1,
        "lease_renewals_total{result=unanswered}": 1,
        "retry_budget_requests{}": 12.5,
        "config_version{}": 530,
        "peer_failures_total{failure=timeout}": 1,
        "target_limit_requests{}": 10.5,
        "target_in_flight_requests{}": 8,
        "target_queued_requests{}": 2,
        "target_slow_start{}": 1,
    }
    assert {name: samples[f"ebonyvalve_{name}"] for name in expected} == expected


def test_imbalance_without_load() -> None:
    """Guards against a division by zero for a service that is idle or has no target."""
    observed = metrics.build_metrics()
    metrics.set_services(observed, [INVENTARIO])
    for loads in ([], [0.0, 0.0]):
        metrics.set_loads(observed, INVENTARIO, loads)
        name = "ebonyvalve_load_imbalance_ratio{service=inventario}"
        assert read_samples(observed)[name] == 1.0


def test_names_from_callers_make_no_series() -> None:
    """Guards against callers that fill the memory of a node by naming unknown services."""
    observed = metrics.build_metrics()
    metrics.set_services(observed, [INVENTARIO])
    observe_everything(observed, identity.ServiceId("x"))
    first = read_samples(observed)
    for number in range(1000):
        observe_everything(observed, identity.ServiceId(f"x{number}"))
    assert read_samples(observed).keys() == first.keys()


def test_series_of_many_services_are_bounded() -> None:
    """Guards against a scrape that grows without bound with the services of the configuration."""
    observed = metrics.build_metrics()
    services = [identity.ServiceId(f"s{number:04}") for number in range(500)]
    metrics.set_services(observed, services)
    for service in services:
        observe_everything(observed, service)
    names = {
        found for name in read_samples(observed) for found in re.findall("service=(\\w+)", name)
    }
    assert len(names) == metrics.MAX_SERVICES + 1


def test_removed_service_loses_its_series() -> None:
    """Guards against series of removed services that accumulate while a node runs."""
    observed = metrics.build_metrics()
    for number in range(100):
        service = identity.ServiceId(f"s{number}")
        metrics.set_services(observed, [service])
        observe_everything(observed, service)
    names = {
        found for name in read_samples(observed) for found in re.findall("service=(\\w+)", name)
    }
    assert names == {"s99"}


def test_two_sets_of_metrics_are_independent() -> None:
    """Guards against a global registry, where the metrics of nodes in one process would collide."""
    first, second = metrics.build_metrics(), metrics.build_metrics()
    metrics.count_expiry(first)
    assert read_samples(first)["ebonyvalve_lease_expiries_total{}"] == 1
    assert read_samples(second)["ebonyvalve_lease_expiries_total{}"] == 0


async def test_platform_is_observed() -> None:
    """Guards against store operations that are not observed, or whose results are changed."""
    observed = metrics.build_metrics()
    memory = platform.Memory(delay_s=0.01)
    services = metrics.observe_platform(observed, platform.open_memory(memory), trio.current_time)
    assert await services.table.commit({"a": 0}, {"a": b"1"}) is platform.CommitState.COMMITTED
    assert await services.table.commit({"a": 0}, {"a": b"1"}) is platform.CommitState.CONFLICT
    row = platform.Row(value=b"1", version=1)
    assert await services.table.read("a") == result.Success(row)
    assert await services.table.scan("a") == result.Success({"a": row})
    assert await services.objects.put("x", b"body") == result.Success(None)
    assert await services.objects.get("x") == result.Success(b"body")
    assert await services.objects.get("y") == result.Failure(platform.StoreFailure.MISSING)
    memory.is_down = True
    assert await services.table.read("a") == result.Failure(platform.StoreFailure.UNAVAILABLE)
    assert await services.table.commit({}, {}) is platform.CommitState.UNKNOWN
    samples = read_samples(observed)
    counts = {
        name: value
        for name, value in samples.items()
        if name.startswith("ebonyvalve_store_seconds_c")
    }
    wanted = [
        ("commit", "answered"),
        ("commit", "conflict"),
        ("commit", "unknown"),
        ("read", "answered"),
        ("read", "unavailable"),
        ("scan", "answered"),
        ("put", "answered"),
        ("get", "answered"),
        ("get", "missing"),
    ]
    assert counts == {
        f"ebonyvalve_store_seconds_count{{operation={operation},result={outcome}}}": 1
        for operation, outcome in wanted
    }
    total = samples["ebonyvalve_store_seconds_sum{operation=commit,result=answered}"]
    assert 0.01 <= total < 1.0


def test_page_lists_every_metric() -> None:
    """Guards against a metric without documentation, or documentation without a metric."""
    observed = metrics.build_metrics()
    listed = set(re.findall(r"^\| `(ebonyvalve_\w+)`", PAGE.read_text(), re.MULTILINE))
    registered = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in observed.registry.collect()
    }
    assert listed == registered
