"""A node stops granting keys before another may take them over, whatever their clocks show."""

import fractions

import hypothesis
from hypothesis import strategies as st
import pytest

from ebonyvalve.process.keyspace import lease

NS_PER_S = 1_000_000_000

Number = float | fractions.Fraction


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    renewed_at=st.floats(0, 100),
    answer_s=st.floats(0, 2),
    waited_s=st.floats(0, 20),
    taker_delay_s=st.floats(0, 5),
    drift=st.floats(-lease.NODE_DRIFT, lease.NODE_DRIFT),
    target_slowness=st.floats(0, lease.TARGET_DRIFT),
)
def test_hold_ends_before_the_lease_is_over(
    renewed_at: float,
    answer_s: float,
    waited_s: float,
    taker_delay_s: float,
    drift: float,
    target_slowness: float,
) -> None:
    """A hold that outlasts the lease would give keys two owners.

    Other nodes take keys over by the store's clock, while the target's clock may run 2% slow.
    """
    # The node reads the store's clock at renewed_at, with an answer that takes answer_s.
    clock = lease.StoreClock(
        asked_at=renewed_at, answered_at=renewed_at + answer_s, read_s=1000 + answer_s / 2
    )
    until_s = lease.read_latest(clock, renewed_at) + lease.LEASE_S
    row = lease.LeaseRow(until_s=until_s, incarnation="a")
    granted_at = renewed_at + answer_s + waited_s
    hold_s = lease.find_hold(row, clock, granted_at, 10.0)
    # The time on the store's clock when the target's hold ends.
    node_elapsed = (granted_at - renewed_at) / (1 + drift)
    ends = 1000 + node_elapsed + hold_s * (1 + target_slowness) if hold_s else 0.0
    taker = lease.StoreClock(asked_at=0.0, answered_at=taker_delay_s, read_s=ends - taker_delay_s)
    if hold_s:
        assert not lease.is_expired(row, taker, taker_delay_s)


def test_node_survives_an_outage_of_the_store() -> None:
    """A running node must not lose its keys because the store is unavailable for 9 s."""
    clock = lease.StoreClock(asked_at=0.0, answered_at=0.01, read_s=50.0)
    row = lease.LeaseRow(until_s=50.0 + lease.LEASE_S, incarnation="a")
    assert lease.find_hold(row, clock, 9.0, 10.0) > 2.0


def test_no_lease_grants_nothing() -> None:
    """A node that has not read the store yet must not grant keys."""
    clock = lease.StoreClock(asked_at=0.0, answered_at=0.01, read_s=50.0)
    assert lease.find_hold(None, clock, 1.0, 10.0) == 0.0
    row = lease.LeaseRow(until_s=62.0, incarnation="a")
    assert lease.find_hold(row, None, 1.0, 10.0) == 0.0


def build_seconds(first: int, last: int) -> st.SearchStrategy[fractions.Fraction]:
    """Return a strategy of exact seconds, in nanoseconds; sums of floats would be rounded."""
    return st.builds(
        fractions.Fraction, st.integers(first * NS_PER_S, last * NS_PER_S), st.just(NS_PER_S)
    )


def check_renewals(readings: list[tuple[Number, Number, Number]], rounding_s: float) -> None:
    """Renew a lease after each reading of the store's clock, and check its end."""
    now: Number = 0
    clock, row = None, None
    for answer_s, share, pause_s in readings:
        # The store's clock shows the node's time plus 1000, anywhere within the answer.
        read = lease.StoreClock(
            asked_at=now, answered_at=now + answer_s, read_s=1000 + now + share * answer_s
        )
        now += answer_s
        clock = lease.choose_clock(clock, read, now)
        assert lease.read_earliest(clock, now) <= 1000 + now + rounding_s
        assert 1000 + now <= lease.read_latest(clock, now) + rounding_s
        until_s = lease.renew(row, clock, now)
        assert row is None or until_s >= row.until_s
        assert until_s + rounding_s >= 1000 + now + lease.LEASE_S
        row = lease.LeaseRow(until_s=until_s, incarnation="a")
        now += pause_s


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    readings=st.lists(
        st.tuples(
            build_seconds(0, 8),
            build_seconds(0, 1),
            build_seconds(0, 5).map(lambda pause_s: pause_s + fractions.Fraction(1, 100)),
        ),
        min_size=1,
        max_size=8,
    )
)
def test_renewals_never_end_earlier(
    readings: list[tuple[fractions.Fraction, fractions.Fraction, fractions.Fraction]],
) -> None:
    """Slow answers make the readings of the store's clock differ; a renewal may be done unheard.

    If it ended before the lease that the node knows, another would take keys that are granted.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(lease, "NODE_DRIFT", fractions.Fraction(1, 1000))
        patch.setattr(lease, "LEASE_S", fractions.Fraction(12))
        check_renewals(readings, 0)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    readings=st.lists(
        st.tuples(st.floats(0, 8), st.floats(0, 1), st.floats(0.01, 5)), min_size=1, max_size=8
    )
)
@hypothesis.example(
    readings=[
        (0.0, 0.0, 1.5572653519948152),
        (0.950151199535828, 0.0, 1.828624853587729),
        (5.329724045135268e-15, 0.0, 1.7614485172302659),
        (5.329724045135268e-15, 0.0, 1.0),
    ]
)
def test_rounding_of_renewals_is_far_below_the_margin(
    readings: list[tuple[float, float, float]],
) -> None:
    """The margin of a hold has to cover the rounding of floats, besides the time of an answer."""
    check_renewals(readings, lease.MARGIN_S / 1_000_000)


def test_slow_answer_does_not_blur_the_clock() -> None:
    """An answer that took 6 s made every node wait 6 s longer for the end of a lease."""
    sharp = lease.StoreClock(asked_at=0.0, answered_at=0.004, read_s=100.0)
    slow = lease.StoreClock(asked_at=2.0, answered_at=8.0, read_s=108.0)
    assert lease.choose_clock(sharp, slow, 8.0) is sharp


def test_clock_of_another_store_is_taken() -> None:
    """If a new reading contradicts the one in use, the old one is no longer valid."""
    known = lease.StoreClock(asked_at=0.0, answered_at=0.004, read_s=100.0)
    other = lease.StoreClock(asked_at=5.0, answered_at=5.5, read_s=3.0)
    assert lease.choose_clock(known, other, 5.5) is other
