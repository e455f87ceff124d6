"""Tests of load measurement and of the detection of hot keys."""

import itertools
import random

import pytest

from ebonyvalve.process import accounting, identity

SERVICE = identity.ServiceId("stock")
FIRST = identity.name_partition(SERVICE, identity.Partition(1))
SECOND = identity.name_partition(SERVICE, identity.Partition(2))


def record_many(
    account: accounting.Account, shard: identity.ShardId, rate: float, start_s: float, end_s: float
) -> None:
    for number in range(round((end_s - start_s) * rate)):
        key = identity.KeyId(f"k{number % 10}")
        accounting.record(account, shard, key, 0.01, start_s + number / rate)


@pytest.mark.parametrize("end_s", [2.0, 20.0, 200.0])
def test_load_is_the_rate_of_target_seconds(end_s: float) -> None:
    """Guards against a wrong load of a new shard, or after the landmark has moved."""
    account = accounting.Account(landmark_s=0.0)
    record_many(account, FIRST, 100.0, 0.0, end_s)
    assert accounting.find_load(account, FIRST, end_s) == pytest.approx(1.0, rel=0.05)


def test_load_follows_a_change_within_ten_seconds() -> None:
    """Guards against an average that adapts too slowly for the bound of 30 s."""
    account = accounting.Account(landmark_s=0.0)
    record_many(account, FIRST, 100.0, 0.0, 60.0)
    record_many(account, FIRST, 300.0, 60.0, 70.0)
    assert accounting.find_load(account, FIRST, 70.0) >= 2.8
    assert accounting.find_load(account, FIRST, 80.0) <= 0.3


def draw_keys(number: int) -> list[identity.KeyId]:
    rng = random.Random(1)
    weights = list(itertools.accumulate(1.0 / (rank + 1) for rank in range(100_000)))
    return [
        identity.KeyId(f"k{i}") for i in rng.choices(range(100_000), cum_weights=weights, k=number)
    ]


def check_sketch() -> None:
    account = accounting.Account(landmark_s=0.0)
    exact: dict[identity.KeyId, float] = {}
    for key in draw_keys(20_000):
        accounting.record(account, FIRST, key, 1.0, 0.0)
        exact[key] = exact.get(key, 0.0) + 1.0
        assert len(account.key_sums) <= 512, "the sketch grows with the number of keys"
    for key, value in exact.items():
        counted = account.key_sums.get((FIRST, key), 0.0)
        assert value - 20_000 / 257 <= counted <= value, "outside the stated error"
    listed = accounting.list_hot_keys(account, 0.0)
    assert [key for _, key, _ in listed] == ["k0", "k1"]
    assert listed[0][2] == pytest.approx(exact[identity.KeyId("k0")] / 20_000, abs=0.004)


def test_sketch_is_bounded_and_finds_hot_keys() -> None:
    """Guards against memory that grows with the number of keys, and missed hot keys."""
    check_sketch()


@pytest.mark.parametrize(("name", "value"), [("KEY_COUNTERS", 400), ("KEY_COUNTERS", 8)])
def test_sketch_check_can_fail(monkeypatch: pytest.MonkeyPatch, name: str, value: int) -> None:
    """Guards against a check that passes although there are too many or too few counters."""
    monkeypatch.setattr(accounting, name, value)
    with pytest.raises(AssertionError):
        check_sketch()


def test_long_keys_and_single_keys_are_not_tracked() -> None:
    """Guards against memory used by long keys, and split-off keys that are reported again."""
    account = accounting.Account(landmark_s=0.0)
    accounting.record(account, FIRST, identity.KeyId("x" * 257), 1.0, 0.0)
    key = identity.KeyId("apart")
    accounting.record(account, identity.name_key(SERVICE, key), key, 1.0, 0.0)
    assert accounting.list_hot_keys(account, 0.0) == []
    assert len(accounting.list_loads(account, 0.0)) == 2


def test_released_shards_and_split_keys_leave_the_account() -> None:
    """Guards against load that is reported by two owners after a move."""
    account = accounting.Account(landmark_s=0.0)
    hot, cold = identity.KeyId("hot"), identity.KeyId("cold")
    for shard in (FIRST, SECOND):
        accounting.record(account, shard, hot, 3.0, 0.0)
        accounting.record(account, shard, cold, 1.0, 0.0)
    accounting.forget(account, SECOND)
    assert [entry.shard for entry in accounting.list_loads(account, 0.0)] == [FIRST]
    before = accounting.find_load(account, FIRST, 0.0)
    accounting.forget_key(account, FIRST, hot)
    assert accounting.find_load(account, FIRST, 0.0) == pytest.approx(before / 4.0)
    assert accounting.list_hot_keys(account, 0.0) == [(SERVICE, cold, 1.0)]
