"""Tests of the detection of stragglers and of their recovery."""

import pytest

from ebonyvalve.process import identity, straggler

NODES = [identity.NodeId(f"n{index}") for index in range(4)]


def fill(latencies: straggler.ServiceLatencies, slow: set[int], targets: int = 4) -> None:
    for _ in range(60):
        for index, node in enumerate(NODES[:targets]):
            straggler.record(latencies, node, 0.05 if index in slow else 0.005)


def list_bypassed(latencies: straggler.ServiceLatencies) -> list[identity.NodeId]:
    return [node for node in NODES if straggler.is_bypassed(latencies, node)]


def test_straggler_is_bypassed_and_recovers() -> None:
    """Guards against a straggler that is not bypassed, or is still bypassed after its recovery."""
    latencies = straggler.ServiceLatencies()
    fill(latencies, set())
    assert list_bypassed(latencies) == []
    fill(latencies, {2})
    assert list_bypassed(latencies) == [NODES[2]]
    for _ in range(straggler.FAST_REPLIES - 1):
        straggler.record(latencies, NODES[2], 0.005)
    assert list_bypassed(latencies) == [NODES[2]]
    straggler.record(latencies, NODES[2], 0.005)
    assert list_bypassed(latencies) == []


@pytest.mark.parametrize(
    ("targets", "slow"), [(4, {0, 1, 2}), (4, {0, 1, 2, 3}), (3, {0, 1}), (1, {0})]
)
def test_majority_is_never_bypassed(targets: int, slow: set[int]) -> None:
    """Guards against a slow service whose few remaining targets get all requests."""
    latencies = straggler.ServiceLatencies()
    fill(latencies, set(), targets)
    fill(latencies, slow, targets)
    assert list_bypassed(latencies) == []


def test_cancelled_attempts_show_slowness_only() -> None:
    """Guards against hedges that hide a slow target or make it look fast by cancelling requests."""
    latencies = straggler.ServiceLatencies()
    fill(latencies, set())
    straggler.record(latencies, NODES[0], 0.0001, is_complete=False)
    assert latencies.targets[NODES[0]].mean_s == pytest.approx(0.005)
    for _ in range(60):
        straggler.record(latencies, NODES[0], 0.05, is_complete=False)
    assert list_bypassed(latencies) == [NODES[0]]


def test_quantiles_cover_recent_replies_only() -> None:
    """Guards against a hedge delay that is too long because of old replies."""
    latencies = straggler.ServiceLatencies()
    assert straggler.read_quantile(latencies, 0.95) is None
    for latency_s in [0.2] * 5000 + [0.01] * 3 * straggler.WINDOW_REPLIES:
        straggler.record(latencies, NODES[0], latency_s)
    assert straggler.read_quantile(latencies, 0.95) == pytest.approx(0.01, rel=0.02)
    straggler.forget(latencies, NODES[0])
    assert not latencies.targets


def record_all(
    latencies: straggler.ServiceLatencies, node: identity.NodeId, latency_s: float, **_: bool
) -> None:
    ORIGINAL_RECORD(latencies, node, latency_s)


def record_complete(
    latencies: straggler.ServiceLatencies,
    node: identity.NodeId,
    latency_s: float,
    *,
    is_complete: bool = True,
) -> None:
    if is_complete:
        ORIGINAL_RECORD(latencies, node, latency_s)


def record_for_ever(distribution: straggler.Distribution, latency_s: float) -> None:
    distribution.current.record_value(int(latency_s * 1e6))
    distribution.quantiles.clear()


ORIGINAL_RECORD = straggler.record


@pytest.mark.parametrize(
    ("name", "value", "check"),
    [
        ("SLOW_FACTOR", 20.0, test_straggler_is_bypassed_and_recovers),
        ("RECOVERED_FACTOR", 0.0, test_straggler_is_bypassed_and_recovers),
        ("MAX_BYPASSED", 1.0, lambda: test_majority_is_never_bypassed(3, {0, 1})),
        ("record", record_all, test_cancelled_attempts_show_slowness_only),
        ("record", record_complete, test_cancelled_attempts_show_slowness_only),
        ("_record_distribution", record_for_ever, test_quantiles_cover_recent_replies_only),
    ],
)
def test_broken_detection_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against checks above that pass although the detection is broken."""
    monkeypatch.setattr(straggler, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
