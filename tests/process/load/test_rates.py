"""Request rates of keys under a load that changes within seconds."""

import pytest

from ebonyvalve.process.load import rates


def test_rates_follow_the_load_and_fade() -> None:
    """A key that was busy five seconds ago must not still count as busy."""
    state = rates.KeyRates(updated_at=0.0)
    now = 0.0
    for _ in range(2000):
        now += 0.01
        rates.record(state, 7, now)
    assert rates.read_rates(state, now)[7] == pytest.approx(100, rel=0.05)
    assert rates.read_total(state, now) == pytest.approx(100, rel=0.05)
    assert rates.read_rates(state, now + 5.0)[7] < 10
    assert rates.read_rates(state, now + 60.0) == {}


def test_keys_that_moved_away_are_dropped() -> None:
    """The load of keys that have moved to another target must not be counted."""
    state = rates.KeyRates(updated_at=0.0)
    for key_slot in (5, 10, 15, 20, 25):
        rates.record(state, key_slot, 0.0)
    rates.retain(state, [(0, 9), (15, 20)])
    assert set(rates.read_rates(state, 0.0)) == {5, 15, 20}
    assert rates.read_total(state, 0.0) == pytest.approx(3 / rates.MEMORY_S)
    rates.retain(state, [])
    assert rates.read_total(state, 0.0) == 0.0


def test_overload_that_lasts_is_no_surge() -> None:
    """Guards against moves without end beside a key that no move can relieve.

    Load pattern: one key gets a third of a service's lookups, and most of them are refused. Single
    requests for the other keys of its target looked like rates for as long as that lasted, and half
    of all keys were moved in 8 s of a play.
    """
    surge = rates.start_surge(0.0)
    for number in range(40):
        rates.record_surge(surge, number, number / 10)
    assert not rates.has_surged(surge, 4.0)
    surged_at = []
    for number in range(146 * 8):
        now = 4.0 + number / 146
        rates.record_surge(surge, 7, now)
        if rates.has_surged(surge, now):
            surged_at.append(now)
    # Within a check of the rates, and no longer than the usual rates take to rise.
    assert surged_at[0] < 4.25
    assert surged_at[-1] < 4.0 + 2 * rates.MEMORY_S
