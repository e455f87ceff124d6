"""Tests the checkers of bench/history.py on planted faults, and the real code with them."""

import collections.abc
import dataclasses

import pytest
import trio

from bench import faults, history
from ebonyvalve import errors
from ebonyvalve.process import cell, identity, lease, limit, message, ownership, quarantine
from ebonyvalve.process import toy as toys
from ebonyvalve.request import exchange, local, outcome, token
from ebonyvalve.version import route

Plant = collections.abc.Callable[[pytest.MonkeyPatch], None]
# Enough traffic for requests of one key to overlap.
HEAVY_TRAFFIC = dataclasses.replace(
    faults.SHORT_SCENARIO, callers=4, keys=3, pause_s=0.02, service_time_s=0.02
)


def find_rules(
    seed: int, injected: list[faults.Fault], scenario: faults.Scenario = faults.SHORT_SCENARIO
) -> set[history.Rule]:
    """Return the rules that a schedule breaks."""
    recorded = faults.record_schedule(seed, injected, scenario)
    return {violation.rule for violation in history.check(recorded)}


def break_lease(patch: pytest.MonkeyPatch) -> None:
    """Serve every shard that the node holds, whether or not its lease is valid."""

    def find_fence(
        state: lease.Node, shard: identity.ShardId, key: identity.KeyId, now: float
    ) -> identity.Fence | None:
        holding = state.holdings.get(shard)
        return None if holding is None or key in holding.excluded else holding.fence

    patch.setattr(lease, "lapse", lambda state, now: state)
    patch.setattr(lease, "find_fence", find_fence)


def break_commit(patch: pytest.MonkeyPatch) -> None:
    """Apply and announce assignments without committing them to the table."""

    async def skip(
        state: ownership.State, leadership: ownership.Leadership, planned: object
    ) -> None:
        await trio.lowlevel.checkpoint()
        assert isinstance(planned, cell.Transaction)
        leadership.rules = cell.apply_changes(leadership.rules, planned.changes)

    patch.setattr(ownership, "_commit", skip)


def break_slow_start(patch: pytest.MonkeyPatch) -> None:
    """Admit as many requests as the announced slots from the first one on."""
    patch.setattr(limit, "read_limit", lambda target: target.slots)


def break_drain(patch: pytest.MonkeyPatch) -> None:
    """Ignore drain orders."""
    patch.setattr(route, "is_drained", lambda *args: False)


def break_identity(patch: pytest.MonkeyPatch) -> None:
    """Send each request with the id of the previous one."""
    original = local.list_extra
    previous_id = [b"none"]

    def mix(call: exchange.Call, now_s: float) -> exchange.Headers:
        headers = dict(original(call, now_s))
        mixed = {**headers, b"ebonyvalve-request-id": previous_id[0]}
        previous_id[0] = headers[b"ebonyvalve-request-id"]
        return list(mixed.items())

    patch.setattr(local, "list_extra", mix)


def break_refusal(patch: pytest.MonkeyPatch) -> None:
    """Answer ``not-run`` for requests of which it is unknown whether they ran."""
    patch.setattr(outcome, "unknown", outcome.refuse)


def break_tokens(patch: pytest.MonkeyPatch) -> None:
    """Accept every token as unused."""
    fresh = token.Finding(standing=token.Standing.FRESH)
    patch.setattr(token, "check", lambda *args, **kwargs: fresh)


def break_versions(patch: pytest.MonkeyPatch) -> None:
    """Put the previous configuration back in force after each new one."""
    original = ownership._adopt
    bodies: dict[str, tuple[int, bytes]] = {}

    def adopt(state: ownership.State, version: int, body: bytes) -> None:
        previous = bodies.get(state.node.node)
        original(state, identity.ConfigVersion(version), body)
        if previous is not None and previous[0] < version:
            state.ports.adopt_config(identity.ConfigVersion(previous[0]), previous[1])
        bodies[state.node.node] = (version, body)

    patch.setattr(ownership, "_adopt", adopt)


def break_quarantine(patch: pytest.MonkeyPatch) -> None:
    """Let quarantined requests run."""
    patch.setattr(quarantine, "is_quarantined", lambda *args: False)


def break_invariant(patch: pytest.MonkeyPatch) -> None:
    """End a node by an exception when it is asked to release shards."""

    def fail(state: lease.Node, request: message.Revoke, now: float) -> None:
        raise errors.InvariantError("planted")

    patch.setattr(lease, "begin_release", fail)


# Light traffic, so that the schedules fit into a test run; bench.faults runs heavier ones.
LIGHT_TRAFFIC = dataclasses.replace(faults.SHORT_SCENARIO, callers=1, pause_s=0.08)
WITHOUT_FENCE_CHECK = dataclasses.replace(
    faults.SHORT_SCENARIO,
    checks_fence=False,
    warm_up_s=0.2,
    max_onset_s=0.1,
    min_fault_s=2.9,
    max_fault_s=3.0,
    callers=6,
    keys=8,
    pause_s=0.03,
)
SEEDS = 8
PLANTED = [
    # Targets that check fencing tokens would hide that a node serves without a lease.
    (
        break_lease,
        faults.Fault.OWNER_CUT_FROM_COORDINATOR,
        WITHOUT_FENCE_CHECK,
        history.Rule.ONE_OWNER,
        2,
    ),
    (break_commit, faults.Fault.TWO_PUBLISHES, faults.SHORT_SCENARIO, history.Rule.COMMITTED, 1),
    (break_slow_start, faults.Fault.TARGET_LOST, HEAVY_TRAFFIC, history.Rule.COLD, 1),
    (break_drain, faults.Fault.ZONE_OUT, faults.SHORT_SCENARIO, history.Rule.DRAINED, 2),
    (break_identity, faults.Fault.TWO_PUBLISHES, faults.SHORT_SCENARIO, history.Rule.WHOLE, 1),
    (break_refusal, faults.Fault.SILENT_CONNECTIONS, HEAVY_TRAFFIC, history.Rule.NOT_RUN, 1),
    (break_tokens, faults.Fault.SILENT_CONNECTIONS, HEAVY_TRAFFIC, history.Rule.ONCE, 3),
    (break_versions, faults.Fault.TWO_PUBLISHES, faults.SHORT_SCENARIO, history.Rule.IN_FORCE, 1),
    (break_quarantine, faults.Fault.CRASHING_REQUEST, faults.SHORT_SCENARIO, history.Rule.CRASH, 2),
    (break_invariant, faults.Fault.ZONE_OUT, faults.SHORT_SCENARIO, history.Rule.NO_EXCEPTION, 1),
]


@pytest.mark.parametrize(
    ("plant", "fault", "scenario", "rule", "seed"),
    PLANTED,
    ids=[entry[0].__name__ for entry in PLANTED],
)
def test_planted(
    monkeypatch: pytest.MonkeyPatch,
    plant: Plant,
    fault: faults.Fault,
    scenario: faults.Scenario,
    rule: history.Rule,
    seed: int,
) -> None:
    """Guards against a checker that no longer detects the fault that it is meant for."""
    plant(monkeypatch)
    # Any change of the code shifts the random draws of a schedule, and with them whether the
    # planted fault affects a request, so it only has to show with one of several seeds.
    seeds = range(seed, seed + SEEDS)
    assert any(rule in find_rules(number, [fault], scenario) for number in seeds)


def test_every_rule_is_planted() -> None:
    """Guards against a new rule whose checker is not tested on a planted fault."""
    assert {rule for _, _, _, rule, _ in PLANTED} == set(history.Rule)


def test_overlap() -> None:
    """Guards against a checker that misses two targets running requests of one key at once."""
    runs = [
        toys.Run(
            node=identity.NodeId(node),
            key="k",
            method="GET",
            fence=f"calendrier/0:{fence}",
            request_id=node,
            path="/calendrier/k/look",
            start_s=start_s,
            end_s=start_s + 1.0,
            is_applied=True,
        )
        for node, fence, start_s in [("a", 1, 0.0), ("b", 2, 0.5)]
    ]
    violations = history.check_one_owner(
        history.History(runs=runs, keyed=frozenset({"calendrier"}))
    )
    assert [violation.rule for violation in violations] == [history.Rule.ONE_OWNER]


def test_lagging_version() -> None:
    """Guards against a checker that misses a node without the accepted configuration."""
    recorded = history.History(published=[(1.0, 2)], final_versions={"a": 2, "b": 1}, end_s=10.0)
    assert [violation.rule for violation in history.check_in_force(recorded)] == [
        history.Rule.IN_FORCE
    ]


@pytest.mark.parametrize("seed", range(24))
def test_schedule(seed: int) -> None:
    """Guards against node code that breaks a rule under a single fault or a pair of faults."""
    assert find_rules(seed, faults.draw_faults(seed), LIGHT_TRAFFIC) == set()


def test_repeatable() -> None:
    """Guards against schedules that cannot be reproduced from their seed."""
    injected = [faults.Fault.NODE_LOST]
    first = faults.record_schedule(5, injected, faults.SHORT_SCENARIO)
    assert first.sent
    assert faults.record_schedule(5, injected, faults.SHORT_SCENARIO) == first
