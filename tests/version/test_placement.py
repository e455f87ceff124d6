"""Tests of placement: checks for single failures, and broken variants that they must catch."""

import collections
import collections.abc
import functools
import random
import typing

import pytest

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import objects, placement, route
from tests.version import worlds

Reason = assignment.MoveReason
KEY = identity.name_key(worlds.SERVICE.name, identity.KeyId("hot"))
PARENT = identity.name_partition(
    worlds.SERVICE.name, route.find_partition(worlds.SERVICE, identity.KeyId("hot"))
)


def drain(**fields: typing.Any) -> objects.DrainOrder:
    return objects.DrainOrder(name=f"drain-{fields}", reason="test", **fields)


def remove_two_nodes(world: worlds.World) -> None:
    worlds.remove_node(world, 1)
    worlds.remove_node(world, 2)


def add_objects(*entries: objects.AnyObject) -> collections.abc.Callable[[worlds.World], None]:
    return lambda world: world.entries.extend(entries)


B = identity.ZoneId("b")
WITHOUT_C = objects.AssignmentRule(name="rule", service=worlds.SERVICE.name, zones=worlds.ZONES[:2])
# Name of the fault: the change, the nodes that lose their shards, the reason of the moves.
FAULTS: dict[str, tuple[collections.abc.Callable[[worlds.World], None], list[int], Reason]] = {
    "lost": (functools.partial(worlds.remove_node, number=1), [1], Reason.ORPHANED),
    "two-lost": (remove_two_nodes, [1, 2], Reason.ORPHANED),
    "target-down": (
        functools.partial(worlds.change_member, number=1, is_target_up=False),
        [1],
        Reason.ORPHANED,
    ),
    "leaving": (
        functools.partial(worlds.change_member, number=1, is_leaving=True),
        [1],
        Reason.LEAVING,
    ),
    "node-drained": (add_objects(drain(nodes=[worlds.node(1)])), [1], Reason.LEAVING),
    "zone-drained": (add_objects(drain(zone=B)), [1, 4], Reason.LEAVING),
    "rule-changed": (add_objects(WITHOUT_C), [2, 5], Reason.RULE),
}


def check_fault(name: str) -> None:
    """Guards against moves of unaffected shards, wrong targets and an imbalanced result."""
    fault, node_numbers, reason = FAULTS[name]
    # With two nodes, each owns 30 shards, more than a drain moves in one round.
    world = worlds.build_world(nodes=2 if name == "leaving" else 6)
    worlds.run(world, 5.0)
    lost_nodes = {worlds.node(number) for number in node_numbers}
    affected = {shard for shard, owner in world.owners.items() if owner in lost_nodes}
    fault(world)
    plans = worlds.run(world, 30.0)
    moves = worlds.list_moves(plans)
    assert {move.shard for move in moves} == affected and len(moves) == len(affected)
    assert {move.reason for move in moves} == {reason}
    assert all(worlds.may_own(world, move.target, move.shard) for move in moves)
    if reason is Reason.ORPHANED:
        assert len(plans[0].moves) == len(affected), "orphaned shards must all move at once"
    for planned in plans:
        for source, number in collections.Counter(m.source for m in planned.moves).items():
            assert source is None or reason is Reason.ORPHANED or number <= 24
    loads = [load for node, load in worlds.find_loads(world).items() if node not in lost_nodes]
    assert max(loads) * len(loads) <= 1.1 * sum(loads)


@pytest.mark.parametrize("zones", [["a", "b", "c"], []], ids=["all-drained", "all-down"])
def test_no_eligible_target_moves_nothing(zones: list[identity.ZoneId]) -> None:
    """Guards against moves, or an exception, when no node is eligible to own shards."""
    world = worlds.build_world()
    world.entries += [drain(zone=zone) for zone in zones]
    for number in range(0 if zones else len(world.members)):
        worlds.change_member(world, number, is_target_up=False)
    assert worlds.list_moves(worlds.run(world, 20.0)) == []


def check_return(noise: float = 0.0) -> None:
    """Guards against moving more than a fair share to a node that returns after a loss."""
    world = worlds.build_world()
    rng = random.Random(1)
    exact_loads = dict(world.loads)
    member = world.members[worlds.node(1)]
    worlds.run(world, 5.0)
    owned = {shard for shard, owner in world.owners.items() if owner == member.node}
    worlds.remove_node(world, 1)
    worlds.run(world, 20.0)
    world.members[member.node] = member
    returned_s = world.now_s
    moves: list[assignment.Move] = []
    for _ in range(120):
        world.loads = {
            shard: load * rng.uniform(1 - noise, 1 + noise) for shard, load in exact_loads.items()
        }
        planned = worlds.build_plan(world)
        assert (
            not planned.moves or world.now_s - returned_s >= 5.0
        ), "a move to a node that just returned"
        assert len(planned.moves) <= 8
        worlds.carry_out(world, planned)
        moves += planned.moves
    assert {move.target for move in moves} == {member.node}
    assert len(moves) <= len(world.owners) // len(world.members), "more than its fair share"
    assert len({move.shard for move in moves} & owned) >= 0.6 * len(moves), "not what it lost"
    world.loads = exact_loads
    loads = worlds.find_loads(world).values()
    assert max(loads) * len(loads) <= 1.2 * sum(loads)


def check_cold() -> None:
    """Guards against giving a cold target its full share at once instead of in a slow start."""
    world = worlds.build_world(load=1.0)
    worlds.run(world, 5.0)
    member = world.members[worlds.node(1)]
    worlds.remove_node(world, 1)
    worlds.run(world, 5.0)
    world.members[member.node] = member
    worlds.change_member(world, 1, is_cold=True)
    start_s = world.now_s
    for _ in range(40):
        worlds.carry_out(world, worlds.build_plan(world))
        warmth = (world.now_s - start_s) / worlds.SERVICE.warm_up_s
        load = worlds.find_loads(world)[member.node]
        assert load <= 1.0 + (member.slots - 1.0) * warmth, "more than the slow start allows"
    assert load > 0.5 * sum(world.loads.values()) / len(
        world.members
    ), "no work for a target in slow start"


def check_noise(level: float) -> None:
    """Guards against moves that are caused only by noise in the reported loads."""
    world = worlds.build_world()
    rng = random.Random(2)
    exact_loads = dict(world.loads)
    for _ in range(600):
        world.loads = {
            shard: load * rng.uniform(1 - level, 1 + level) for shard, load in exact_loads.items()
        }
        planned = worlds.build_plan(world)
        assert planned == assignment.Plan(split=[], merge=[], moves=[])
        world.now_s += 0.5


def add_hot_key(world: worlds.World, share: float) -> None:
    world.loads[PARENT] += share * sum(world.loads.values()) / len(world.members)
    world.hot_keys[KEY] = 0.9


def check_hot_key() -> None:
    """Guards against a hot key that overloads its target, or is never merged after it cooled."""
    world = worlds.build_world()
    worlds.run(world, 5.0)
    add_hot_key(world, 0.6)
    for shard, owner in world.owners.items():
        world.loads[shard] *= 0.1 if owner == worlds.node(0) else 1.0
    owner = world.owners[PARENT]
    plans = worlds.run(world, 30.0)
    assert [key for planned in plans for key in planned.split] == [KEY]
    moves = worlds.list_moves(plans)
    assert (moves[0].shard, moves[0].source, moves[0].reason) == (KEY, owner, Reason.HOT_KEY)
    assert len(moves) <= 8
    loads = worlds.find_loads(world).values()
    assert max(loads) * len(loads) <= 1.25 * sum(loads)
    world.loads[KEY] = 0.01
    merged = [key for planned in worlds.run(world, 20.0) for key in planned.merge]
    assert not merged, "merged without hysteresis"
    merged = [key for planned in worlds.run(world, 60.0) for key in planned.merge]
    assert merged == [KEY] and KEY not in world.owners


def test_key_beyond_a_share_leaves_the_rest_even() -> None:
    """Guards against endless moves when one key exceeds a fair share, so balance is impossible."""
    world = worlds.build_world()
    worlds.run(world, 5.0)
    add_hot_key(world, 12.0)
    worlds.run(world, 120.0)
    assert worlds.list_moves(worlds.run(world, 60.0)) == []
    loads = sorted(worlds.find_loads(world).values())
    assert loads[-2] <= 1.25 * sum(loads[:-1]) / (len(loads) - 1)


def test_burst_splits_nothing() -> None:
    """Guards against a split, which costs a commit, for a key that is hot for only a second."""
    world = worlds.build_world()
    worlds.run(world, 5.0)
    before = dict(world.loads)
    add_hot_key(world, 0.6)
    plans = worlds.run(world, 1.0)
    world.loads, world.hot_keys = before, {}
    plans += worlds.run(world, 30.0)
    assert not any(planned.split or planned.moves for planned in plans)


def check_named_key() -> None:
    """Guards against serving a named key in a zone that its assignment rule excludes."""
    world = worlds.build_world()
    home = world.owners[PARENT]
    assert home is not None
    zones = [zone for zone in worlds.ZONES if zone != world.members[home].zone][:1]
    service = worlds.SERVICE.name
    key = objects.Key(name="vip", service=service, key=identity.KeyId("hot"), reason="test")
    rule = objects.AssignmentRule(name="elsewhere", service=service, zones=zones, keys=["vip"])
    world.entries += [key, rule]
    plans = worlds.run(world, 60.0)
    assert [name for planned in plans for name in planned.split] == [KEY]
    assert not any(planned.merge for planned in plans), "a named key must stay apart"
    owner = world.owners[KEY]
    assert owner is not None and worlds.may_own(world, owner, KEY)
    assert {move.shard for move in worlds.list_moves(plans)} <= {KEY}
    world.entries = [worlds.SERVICE]
    worlds.run(world, 60.0)
    assert KEY not in world.owners, "still apart without its Key object"


def check_repeated_plan() -> None:
    """Guards against planning another target for a move that may already be in progress."""
    world = worlds.build_world()
    worlds.run(world, 5.0)
    worlds.change_member(world, 1, is_leaving=True)
    first = worlds.build_plan(world)
    world.now_s += 0.5
    # A different load would suggest other targets.
    world.loads = {
        shard: load * (1 + number % 3) for number, (shard, load) in enumerate(world.loads.items())
    }
    assert first.moves and worlds.build_plan(world).moves == first.moves
    lost_target = first.moves[0].target
    del world.members[lost_target]
    second = worlds.build_plan(world)
    assert lost_target not in {move.target for move in second.moves}
    kept = {move.shard: move.target for move in second.moves}
    assert all(kept[m.shard] == m.target for m in first.moves if m.target != lost_target)


def check_slots() -> None:
    """Guards against giving targets with different numbers of slots the same load."""
    world = worlds.build_world(nodes=3)
    worlds.change_member(world, 0, slots=20)
    world.owners = dict.fromkeys(world.owners, None)
    worlds.run(world, 1.0)
    loads = worlds.find_loads(world)
    assert loads[worlds.node(0)] == pytest.approx(sum(loads.values()) / 2, rel=0.1)


def check_zones() -> None:
    """Guards against placing most of the load in one zone, whose loss would then affect it all."""
    world = worlds.build_world(nodes=4)
    worlds.change_member(world, 1, zone="a")
    worlds.change_member(world, 3, zone="c")
    world.owners = dict.fromkeys(list(world.owners)[:2])
    worlds.run(world, 0.5)
    zones = {world.members[owner].zone for owner in world.owners.values() if owner is not None}
    assert zones == {"a", "c"}, "two shards in one zone while another is empty"


def check_unownable_key() -> None:
    """Guards against a key that no node may own and that stops the rebalancing of its service."""
    world = worlds.build_world()
    zone = identity.ZoneId("nowhere")
    service = worlds.SERVICE.name
    key = objects.Key(name="vip", service=service, key=identity.KeyId("hot"), reason="test")
    rule = objects.AssignmentRule(name="no", service=service, zones=[zone], keys=["vip"])
    world.entries += [key, rule]
    worlds.run(world, 5.0)
    assert KEY in world.owners
    for shard, owner in world.owners.items():
        world.loads[shard] *= 0.1 if owner == worlds.node(0) else 1.0
    worlds.run(world, 30.0)
    loads = worlds.find_loads(world)
    assert loads[worlds.node(0)] >= 0.8 * sum(loads.values()) / len(loads)


def test_idle_service_balances_by_number() -> None:
    """Guards against assigning all shards to one node while their loads are reported as zero."""
    world = worlds.build_world(load=0.0)
    world.owners = dict.fromkeys(world.owners, None)
    worlds.run(world, 0.5)
    assert set(collections.Counter(world.owners.values()).values()) == {10}


def return_always(value: object) -> collections.abc.Callable[..., object]:
    return lambda *_: value


Check = collections.abc.Callable[[], None]
SINGLE_CHECKS: list[Check] = [check_cold, check_hot_key, check_named_key, check_repeated_plan]
SINGLE_CHECKS += [check_slots, check_zones, check_unownable_key]
CHECKS: dict[str, Check] = {check.__name__: check for check in SINGLE_CHECKS}
CHECKS |= {f"fault-{name}": functools.partial(check_fault, name) for name in FAULTS}
CHECKS |= {f"return-{noise}": functools.partial(check_return, noise) for noise in (0.0, 0.2)}
CHECKS |= {f"noise-{level}": functools.partial(check_noise, level) for level in (0.1, 0.3, 0.5)}


@pytest.mark.parametrize("name", CHECKS)
def test_rule_is_kept(name: str) -> None:
    """Guards against the failure that the docstring of each check describes."""
    CHECKS[name]()


WITHOUT_SMOOTHING = {
    "SLOW_EWMA_S": 0.01,
    "FAST_EWMA_S": 0.01,
    "is_imbalance_recent": return_always(False),
}
# Each row replaces attributes of placement so that one rule is broken, and names the check that
# must fail.
BROKEN: list[tuple[dict[str, object], str]] = [
    ({"is_eligible": return_always(True)}, "fault-zone-drained"),
    ({"is_allowed": return_always(True)}, "fault-rule-changed"),
    ({"DRAIN_MOVES_PER_ROUND": 1000}, "fault-leaving"),
    ({"score_node": return_always(0.0)}, "fault-lost"),
    ({"MIN_ELIGIBLE_S": 0.0, "LARGE_GAP_S": 0.0}, "return-0.0"),
    ({"MOVES_PER_ROUND": 1000}, "return-0.0"),
    ({"START_GAP": 2.0, "FILL_GAP": 2.0}, "return-0.0"),
    ({"record_losses": return_always(None)}, "return-0.0"),
    ({"find_capacity": return_always(10.0)}, "check_cold"),
    (WITHOUT_SMOOTHING, "noise-0.5"),
    ({"SPLIT_SHARE": 5.0}, "check_hot_key"),
    ({"MERGE_AFTER_S": 0.0}, "check_hot_key"),
    ({"MERGE_SHARE": 0.0}, "check_hot_key"),
    ({"is_allowed": return_always(True)}, "check_named_key"),
    ({"repeat_pending": return_always(None)}, "check_repeated_plan"),
    ({"ZONE_WEIGHT": 0.0}, "check_zones"),
    ({"find_capacity": return_always(10.0)}, "check_slots"),
    ({"plan_forced": return_always(True)}, "check_unownable_key"),
]


@pytest.mark.parametrize(("changes", "name"), BROKEN)
def test_check_notices_broken_rule(
    monkeypatch: pytest.MonkeyPatch, changes: dict[str, object], name: str
) -> None:
    """Guards against checks that pass regardless of what placement does."""
    for attribute, value in changes.items():
        monkeypatch.setattr(placement, attribute, value)
    with pytest.raises(AssertionError):
        CHECKS[name]()


@pytest.mark.parametrize(
    ("reason", "source", "cause"),
    [
        (Reason.ORPHANED, None, "it has no owner"),
        (Reason.ORPHANED, worlds.node(9), "n9 is no longer a member"),
        (Reason.ORPHANED, worlds.node(1), "the target at its owner n1 is down"),
        (Reason.LEAVING, worlds.node(1), "n1 is being taken out of service"),
        (Reason.RULE, worlds.node(1), "do not allow it in zone b"),
        (Reason.REBALANCE, worlds.node(1), "n1 carries 6.00 busy slots and n2 6.00"),
    ],
)
def test_explanation_names_the_cause(
    reason: Reason, source: identity.NodeId | None, cause: str
) -> None:
    """Guards against log lines that do not state why a shard moves."""
    move = assignment.Move(
        shard=worlds.shard(1), source=source, target=worlds.node(2), reason=reason
    )
    sentence = placement.explain(move, worlds.build_view(worlds.build_world()))
    assert sentence.startswith("partition stock/1 ") and cause in sentence
