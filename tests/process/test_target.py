"""Tests of the rules by which a node takes its target as up or down."""

import collections.abc

import pytest

from ebonyvalve.process import identity, target

Event = collections.abc.Callable[[target.Target, float], object]


def announce(state: target.Target, now_s: float) -> None:
    entry = target.Announcement(
        address=identity.Address("127.0.0.1:1"), incarnation=identity.Incarnation("1"), slots=4
    )
    target.announce(state, entry, now_s)


def refuse(state: target.Target, now_s: float) -> None:
    target.record_refusal(state, now_s)


def miss(state: target.Target, now_s: float) -> None:
    target.record_miss(state, now_s)


def reply(state: target.Target, now_s: float) -> None:
    target.record_reply(state, now_s)


def probe_answered(state: target.Target, now_s: float) -> None:
    target.record_probe(state, True, now_s)


def probe_lost(state: target.Target, now_s: float) -> None:
    target.record_probe(state, False, now_s)


CASES = [
    pytest.param([announce], True, id="announced"),
    pytest.param([announce, refuse], False, id="refused connection"),
    pytest.param([announce, probe_lost], True, id="one lost probe"),
    pytest.param([announce, probe_lost, probe_lost], False, id="two lost probes"),
    pytest.param([announce, probe_lost, reply, probe_lost], True, id="reply between lost probes"),
    pytest.param([announce, *[miss] * 4], True, id="four missed deadlines"),
    pytest.param([announce, *[miss] * 5], False, id="healthy, but every deadline missed"),
    pytest.param([announce, *[miss] * 4, reply, miss], True, id="reply between missed deadlines"),
    pytest.param([announce, refuse, probe_answered], False, id="one answered probe"),
    pytest.param([announce, refuse, probe_answered, probe_answered], True, id="back"),
    pytest.param([announce, refuse, announce], True, id="announced again"),
    pytest.param([probe_answered, probe_answered], False, id="never announced"),
]


@pytest.mark.parametrize(("events", "is_up"), CASES)
def test_state_after_events(events: list[Event], is_up: bool) -> None:
    """Guards against a dead target that is kept in service, and a live one that is taken out."""
    state = target.Target()
    for number, event in enumerate(events):
        event(state, 1.0 + number * 0.1)
    assert target.is_up(state) is is_up


@pytest.mark.parametrize(
    ("in_flight", "silent_s", "is_due"),
    [(0, 0.5, False), (0, 1.1, True), (1, 0.2, False), (1, 0.3, True)],
)
def test_probe_is_made_only_in_silence(in_flight: int, silent_s: float, is_due: bool) -> None:
    """Guards against probes of a target that answers requests; each costs 6 ms."""
    state = target.Target()
    announce(state, 1.0)
    assert target.is_probe_due(state, in_flight, 1.0 + silent_s) is is_due


def test_grant_is_not_lengthened_while_the_target_is_silent() -> None:
    """Guards against a frozen target whose grant gets a later end with each request sent to it."""
    state = target.Target()
    announce(state, 1.0)
    assert target.record_sent(state, 2.0) == 2.0
    assert target.record_sent(state, 2.4) == 2.0
    target.record_reply(state, 2.5)
    assert target.record_sent(state, 2.6) == 2.6
