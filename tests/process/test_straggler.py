"""Stragglers are bypassed, and come back when they answer in time."""

import pytest

from ebonyvalve.process import identity, straggler

NODES = [identity.NodeId(f"n{index}") for index in range(4)]


def fill(book: straggler.ServiceLatencies, slow: set[int], targets: int = 4) -> None:
    for _ in range(60):
        for index, node in enumerate(NODES[:targets]):
            straggler.record(book, node, 0.05 if index in slow else 0.005)


def list_bypassed(book: straggler.ServiceLatencies) -> list[identity.NodeId]:
    return [node for node in NODES if straggler.is_bypassed(book, node)]


def test_straggler_is_bypassed_and_recovers() -> None:
    """Guards against a straggler that keeps its share, or is lost for good."""
    book = straggler.ServiceLatencies()
    fill(book, set())
    assert list_bypassed(book) == []
    fill(book, {2})
    assert list_bypassed(book) == [NODES[2]]
    for _ in range(straggler.FAST_REPLIES - 1):
        straggler.record(book, NODES[2], 0.005)
    assert list_bypassed(book) == [NODES[2]]
    straggler.record(book, NODES[2], 0.005)
    assert list_bypassed(book) == []


@pytest.mark.parametrize(
    ("targets", "slow"), [(4, {0, 1, 2}), (4, {0, 1, 2, 3}), (3, {0, 1}), (1, {0})]
)
def test_majority_is_never_bypassed(targets: int, slow: set[int]) -> None:
    """Guards against a slow service whose last targets get all requests."""
    book = straggler.ServiceLatencies()
    fill(book, set(), targets)
    fill(book, slow, targets)
    assert list_bypassed(book) == []


def test_cancelled_attempts_show_slowness_only() -> None:
    """Guards against hedges that hide the slow target, or make a cancelled one look fast."""
    book = straggler.ServiceLatencies()
    fill(book, set())
    straggler.record(book, NODES[0], 0.0001, is_complete=False)
    assert book.targets[NODES[0]].mean_s == pytest.approx(0.005)
    for _ in range(60):
        straggler.record(book, NODES[0], 0.05, is_complete=False)
    assert list_bypassed(book) == [NODES[0]]


def test_quantiles_cover_recent_replies_only() -> None:
    """Guards against a hedge time that old replies hold up."""
    book = straggler.ServiceLatencies()
    assert straggler.read_quantile(book, 0.95) is None
    for latency_s in [0.2] * 5000 + [0.01] * 3 * straggler.WINDOW_REPLIES:
        straggler.record(book, NODES[0], latency_s)
    assert straggler.read_quantile(book, 0.95) == pytest.approx(0.01, rel=0.02)
    straggler.forget(book, NODES[0])
    assert not book.targets


def record_all(
    book: straggler.ServiceLatencies, node: identity.NodeId, latency_s: float, **_: bool
) -> None:
    WHOLE_RECORD(book, node, latency_s)


def record_complete(
    book: straggler.ServiceLatencies,
    node: identity.NodeId,
    latency_s: float,
    *,
    is_complete: bool = True,
) -> None:
    if is_complete:
        WHOLE_RECORD(book, node, latency_s)


def record_for_ever(spread: straggler.Distribution, latency_s: float) -> None:
    spread.filling.record_value(int(latency_s * 1e6))
    spread.known.clear()


WHOLE_RECORD = straggler.record


@pytest.mark.parametrize(
    ("name", "value", "check"),
    [
        ("SLOW", 20.0, test_straggler_is_bypassed_and_recovers),
        ("RECOVERED", 0.0, test_straggler_is_bypassed_and_recovers),
        ("MAX_BYPASSED", 1.0, lambda: test_majority_is_never_bypassed(3, {0, 1})),
        ("record", record_all, test_cancelled_attempts_show_slowness_only),
        ("record", record_complete, test_cancelled_attempts_show_slowness_only),
        ("_record_spread", record_for_ever, test_quantiles_cover_recent_replies_only),
    ],
)
def test_broken_detection_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against checks that pass whatever the code does."""
    monkeypatch.setattr(straggler, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
