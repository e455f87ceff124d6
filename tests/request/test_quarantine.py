"""Tests of the fingerprints and the quarantine of requests that crash targets."""

import hypothesis
from hypothesis import strategies
import pytest

from ebonyvalve.process import identity, message, quarantine
from ebonyvalve.request import fingerprints

TEXT = strategies.text("ab/", max_size=3)
FIELDS = strategies.fixed_dictionaries(
    {
        "service": TEXT,
        "key": strategies.none() | TEXT,
        "method": TEXT,
        "path": TEXT,
        "length": strategies.none() | strategies.integers(0, 12),
        "head": strategies.binary(max_size=3),
    }
)
ONE = identity.Fingerprint("one")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500, database=None)
@hypothesis.given(first=FIELDS, second=FIELDS)
def test_fingerprints_differ_with_any_field(
    first: dict[str, object], second: dict[str, object]
) -> None:
    """Guards against an innocent request that shares the fingerprint of a crashing one."""
    names = [fingerprints.compute_fingerprint(**fields) for fields in (first, second)]  # type: ignore[arg-type]
    same = {**first, "key": first["key"] or ""} == {**second, "key": second["key"] or ""}
    assert (names[0] == names[1]) == same


def test_only_the_head_of_a_body_counts() -> None:
    """Guards against a fingerprint that depends on how much of the body was buffered."""
    fields = {"service": "s", "key": None, "method": "PUT", "path": "/é\udcff", "length": 9000}
    heads = [bytes(4096) + tail for tail in (b"", b"x", bytes(4096))]
    names = {fingerprints.compute_fingerprint(**fields, head=head) for head in heads}  # type: ignore[arg-type]
    assert len(names) == 1


def test_every_request_in_flight_is_quarantined_for_a_minute() -> None:
    """Guards against a quarantine that omits the crashing request of several in flight."""
    state = quarantine.Quarantine()
    names = [identity.Fingerprint(str(index)) for index in range(10)]
    quarantine.record_crash(state, names, 100.0)
    assert all(quarantine.is_quarantined(state, name, 159.9) for name in names)
    assert not any(quarantine.is_quarantined(state, name, 160.0) for name in names)
    quarantine.forget(state, 190.0)
    assert not state.until


def test_entries_end_although_nodes_exchange_them() -> None:
    """Guards against an entry that two nodes keep alive by reporting it to each other."""
    states = [quarantine.Quarantine(), quarantine.Quarantine()]
    quarantine.record_crash(states[0], [ONE], 0.0)
    now = 0.0
    while now < 120.0:
        for sender, receiver in (states, states[::-1]):
            entries = quarantine.export_all(sender, now)
            now += 0.05
            quarantine.import_entries(receiver, entries, now)
            quarantine.forget(receiver, now)
        assert now < 61.0 or not any(quarantine.is_quarantined(state, ONE, now) for state in states)
    quarantine.record_crash(states[0], [ONE], now)
    quarantine.import_entries(states[1], quarantine.export_unreported(states[0], now), now)
    assert quarantine.is_quarantined(states[1], ONE, now + 59.0)


def test_lost_heartbeat_reports_again() -> None:
    """Guards against an entry that other nodes never get, and against one that lasts too long."""
    state = quarantine.Quarantine()
    quarantine.record_crash(state, [ONE], 0.0)
    assert (
        quarantine.export_unreported(state, 1.0) == quarantine.export_unreported(state, 1.0) != []
    )
    quarantine.confirm(state, quarantine.export_unreported(state, 1.0))
    assert quarantine.export_unreported(state, 1.0) == []
    other = quarantine.Quarantine()
    quarantine.import_entries(other, [message.Quarantined(fingerprint=ONE, remaining_s=1e9)], 0.0)
    assert quarantine.export_unreported(other, 1.0) == []
    assert not quarantine.is_quarantined(other, ONE, quarantine.QUARANTINE_S)


def test_quarantine_is_bounded() -> None:
    """Guards against a flood of crashes that fills the memory; the oldest entries go first."""
    state = quarantine.Quarantine()
    names = [identity.Fingerprint(str(index)) for index in range(quarantine.CAPACITY + 3)]
    for index, name in enumerate(names):
        quarantine.record_crash(state, [name], index / 1000)
    assert len(state.until) == quarantine.CAPACITY >= len(state.unreported)
    assert not quarantine.is_quarantined(state, names[2], 9.0)
    assert quarantine.is_quarantined(state, names[3], 9.0)


def import_longest(
    state: quarantine.Quarantine, entries: list[message.Quarantined], now: float
) -> None:
    for entry in entries:
        until = now + entry.remaining_s
        state.until[entry.fingerprint] = max(until, state.until.get(entry.fingerprint, 0.0))


@pytest.mark.parametrize(
    ("name", "value", "check"),
    [
        ("QUARANTINE_S", 30.0, test_every_request_in_flight_is_quarantined_for_a_minute),
        ("import_entries", import_longest, test_entries_end_although_nodes_exchange_them),
        ("import_entries", import_longest, test_lost_heartbeat_reports_again),
        ("confirm", lambda state, reported: None, test_lost_heartbeat_reports_again),
    ],
)
def test_broken_quarantine_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against checks that pass whatever the code does."""
    monkeypatch.setattr(quarantine, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
