"""Every checker of bench/history.py finds a planted fault, and the real code passes them."""

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

Break = collections.abc.Callable[[pytest.MonkeyPatch], None]
# Busy enough for requests of one key to overlap.
BUSY = dataclasses.replace(
    faults.SHORT_COURSE, callers=4, keys=3, pause_s=0.02, service_time_s=0.02
)


def find_rules(
    seed: int, kinds: list[faults.Fault], course: faults.Course = faults.SHORT_COURSE
) -> set[history.Rule]:
    """Return the rules that a schedule breaks."""
    played = faults.record_schedule(seed, kinds, course)
    return {violation.rule for violation in history.check(played)}


def break_lease(patch: pytest.MonkeyPatch) -> None:
    """Serve whatever the node holds, whether or not its lease is valid."""

    def find_fence(
        state: lease.Node, shard: identity.ShardId, key: identity.KeyId, now: float
    ) -> identity.Fence | None:
        held = state.holdings.get(shard)
        return None if held is None or key in held.excluded else held.fence

    patch.setattr(lease, "lapse", lambda state, now: state)
    patch.setattr(lease, "find_fence", find_fence)


def break_commit(patch: pytest.MonkeyPatch) -> None:
    """Apply and announce assignments that are not written to the table."""

    async def skip(state: ownership.State, duty: ownership.Leadership, planned: object) -> None:
        await trio.lowlevel.checkpoint()
        assert isinstance(planned, cell.Transaction)
        duty.rules = cell.apply_changes(duty.rules, planned.changes)

    patch.setattr(ownership, "_commit", skip)


def break_slow_start(patch: pytest.MonkeyPatch) -> None:
    """Admit up to the announced slots from the first request on."""
    patch.setattr(limit, "read_limit", lambda target: target.slots)


def break_drain(patch: pytest.MonkeyPatch) -> None:
    """Ignore drain orders."""
    patch.setattr(route, "is_drained", lambda *args: False)


def break_identity(patch: pytest.MonkeyPatch) -> None:
    """Send each request under the id of the one before it."""
    real = local.list_extra
    last = [b"none"]

    def mix(call: exchange.Call, now_s: float) -> exchange.Headers:
        headers = dict(real(call, now_s))
        mixed = {**headers, b"ebonyvalve-request-id": last[0]}
        last[0] = headers[b"ebonyvalve-request-id"]
        return list(mixed.items())

    patch.setattr(local, "list_extra", mix)


def break_refusal(patch: pytest.MonkeyPatch) -> None:
    """Say that a request did not run although it was sent."""
    patch.setattr(outcome, "unknown", outcome.refuse)


def break_tokens(patch: pytest.MonkeyPatch) -> None:
    """Take every token for a fresh one."""
    fresh = token.Finding(standing=token.Standing.FRESH)
    patch.setattr(token, "check", lambda *args, **kwargs: fresh)


def break_versions(patch: pytest.MonkeyPatch) -> None:
    """Put the former configuration in force again after a new one."""
    real = ownership._adopt
    bodies: dict[str, tuple[int, bytes]] = {}

    def adopt(state: ownership.State, version: int, body: bytes) -> None:
        former = bodies.get(state.node.node)
        real(state, identity.ConfigVersion(version), body)
        if former is not None and former[0] < version:
            state.ports.adopt_config(identity.ConfigVersion(former[0]), former[1])
        bodies[state.node.node] = (version, body)

    patch.setattr(ownership, "_adopt", adopt)


def break_quarantine(patch: pytest.MonkeyPatch) -> None:
    """Let quarantined requests run."""
    patch.setattr(quarantine, "is_quarantined", lambda *args: False)


def break_invariant(patch: pytest.MonkeyPatch) -> None:
    """Stop a node by an exception when it is asked to release shards."""

    def fail(state: lease.Node, request: message.Revoke, now: float) -> None:
        raise errors.InvariantError("planted")

    patch.setattr(lease, "begin_release", fail)


# Light traffic keeps the schedules within the time of a test run; bench.faults has heavier ones.
LIGHT = dataclasses.replace(faults.SHORT_COURSE, callers=1, pause_s=0.08)
FENCELESS = dataclasses.replace(
    faults.SHORT_COURSE,
    checks_fence=False,
    warm_s=0.2,
    spread_s=0.1,
    shortest_s=2.9,
    longest_s=3.0,
    callers=6,
    keys=8,
    pause_s=0.03,
)
SEEDS = 8
PLANTED = [
    # Targets that check fencing tokens would hide a node that serves without a lease.
    (break_lease, faults.Fault.OWNER_CUT_FROM_COORDINATOR, FENCELESS, history.Rule.ONE_OWNER, 2),
    (break_commit, faults.Fault.TWO_PUBLISHES, faults.SHORT_COURSE, history.Rule.COMMITTED, 1),
    (break_slow_start, faults.Fault.TARGET_LOST, BUSY, history.Rule.COLD, 1),
    (break_drain, faults.Fault.ZONE_OUT, faults.SHORT_COURSE, history.Rule.DRAINED, 2),
    (break_identity, faults.Fault.TWO_PUBLISHES, faults.SHORT_COURSE, history.Rule.WHOLE, 1),
    (break_refusal, faults.Fault.SILENT_CONNECTIONS, BUSY, history.Rule.NOT_RUN, 1),
    (break_tokens, faults.Fault.SILENT_CONNECTIONS, BUSY, history.Rule.ONCE, 3),
    (break_versions, faults.Fault.TWO_PUBLISHES, faults.SHORT_COURSE, history.Rule.IN_FORCE, 1),
    (break_quarantine, faults.Fault.CRASHING_REQUEST, faults.SHORT_COURSE, history.Rule.CRASH, 2),
    (break_invariant, faults.Fault.ZONE_OUT, faults.SHORT_COURSE, history.Rule.NO_EXCEPTION, 1),
]


@pytest.mark.parametrize(
    ("plant", "fault", "course", "rule", "seed"),
    PLANTED,
    ids=[entry[0].__name__ for entry in PLANTED],
)
def test_planted(
    monkeypatch: pytest.MonkeyPatch,
    plant: Break,
    fault: faults.Fault,
    course: faults.Course,
    rule: history.Rule,
    seed: int,
) -> None:
    """Guards against a checker that no longer sees the fault that it is there for."""
    plant(monkeypatch)
    # A change anywhere shifts the draws of a schedule, and with them whether the planted fault
    # meets a request; the first of a few seeds that shows it is enough.
    seeds = range(seed, seed + SEEDS)
    assert any(rule in find_rules(number, [fault], course) for number in seeds)


def test_every_rule_is_planted() -> None:
    """Guards against a new rule whose checker is never shown to work."""
    assert {rule for _, _, _, rule, _ in PLANTED} == set(history.Rule)


def test_overlap() -> None:
    """Guards against missing two targets that run requests of one key at one time."""
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
    found = history.check_one_owner(history.History(runs=runs, keyed=frozenset({"calendrier"})))
    assert [violation.rule for violation in found] == [history.Rule.ONE_OWNER]


def test_lagging_version() -> None:
    """Guards against missing a node that never gets an accepted configuration."""
    played = history.History(published=[(1.0, 2)], final={"a": 2, "b": 1}, end_s=10.0)
    assert [violation.rule for violation in history.check_in_force(played)] == [
        history.Rule.IN_FORCE
    ]


@pytest.mark.parametrize("seed", range(24))
def test_schedule(seed: int) -> None:
    """Guards against a rule broken under a single fault or a pair."""
    assert find_rules(seed, faults.draw_faults(seed), LIGHT) == set()


def test_repeatable() -> None:
    """Guards against a seed that does not repeat its schedule."""
    kinds = [faults.Fault.NODE_LOST]
    first = faults.record_schedule(5, kinds, faults.SHORT_COURSE)
    assert first.sent
    assert faults.record_schedule(5, kinds, faults.SHORT_COURSE) == first
