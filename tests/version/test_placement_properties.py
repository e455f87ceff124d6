"""Property tests of placement over random cells, and broken variants that each must catch."""

import collections.abc
import copy
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import objects, placement, route
from tests.version import worlds

Plan = collections.abc.Callable[[worlds.World], assignment.Plan]


@strategies.composite
def draw_world(draw: strategies.DrawFn) -> worlds.World:
    nodes = draw(strategies.integers(1, 7))
    world = worlds.build_world(nodes)
    for number in range(nodes):
        worlds.change_member(
            world,
            number,
            slots=draw(strategies.integers(1, 20)),
            is_cold=draw(strategies.booleans()),
            is_leaving=draw(strategies.integers(0, 4)) == 0,
            is_target_up=draw(strategies.integers(0, 4)) > 0,
        )
    owners = strategies.sampled_from([None, worlds.node(99), *world.members])
    for shard in world.owners:
        world.owners[shard] = draw(owners)
        world.loads[shard] = draw(strategies.sampled_from([0.0, 0.01, 0.1, 0.5, 4.0]))
    zones = strategies.sampled_from(worlds.ZONES)
    if draw(strategies.booleans()):
        world.entries.append(objects.DrainOrder(name="out", reason="test", zone=draw(zones)))
    if draw(strategies.booleans()):
        allowed = draw(strategies.lists(zones, min_size=1, unique=True))
        world.entries.append(
            objects.AssignmentRule(name="rule", service=worlds.SERVICE.name, zones=allowed)
        )
    return world


def check_moves(world: worlds.World, plan: Plan) -> None:
    for _ in range(20):
        planned = plan(world)
        shards = [move.shard for move in planned.moves]
        assert len(shards) == len(set(shards)), "moved twice"
        assert all(worlds.may_own(world, move.target, move.shard) for move in planned.moves)
        assert all(move.source != move.target for move in planned.moves)
        worlds.carry_out(world, planned, 1.0)


def check_loss(world: worlds.World, plan: Plan) -> None:
    hypothesis.assume(check_convergence(world, plan) and world.members)
    lost_node = min(world.members)
    owned = {shard for shard, owner in world.owners.items() if owner == lost_node}
    worlds.remove_node(world, int(lost_node[1:]))
    moved = [move.shard for move in plan(world).moves]
    eligible_nodes = [
        node for node in world.members if worlds.may_own(world, node, worlds.shard(0))
    ]
    unowned = {shard for shard, owner in world.owners.items() if owner not in world.members}
    assert set(moved) == (unowned if eligible_nodes else set()) and set(moved) <= owned | unowned


def check_determinism(world: worlds.World, plan: Plan) -> None:
    shuffled = copy.deepcopy(world)
    shuffled.owners = dict(reversed(shuffled.owners.items()))
    shuffled.members = dict(reversed(shuffled.members.items()))
    for _ in range(20):
        planned = plan(world)
        assert plan(shuffled) == planned
        worlds.carry_out(world, planned, 1.0)
        worlds.carry_out(shuffled, planned, 1.0)


def check_convergence(world: worlds.World, plan: Plan) -> bool:
    rounds_without_moves = 0
    for _ in range(400):
        planned = plan(world)
        rounds_without_moves = (
            0 if planned.moves or planned.split or planned.merge else rounds_without_moves + 1
        )
        if rounds_without_moves > 40:
            return True
        worlds.carry_out(world, planned, 1.0)
    raise AssertionError("still moving after 400 s of constant load")


CHECKS = [check_moves, check_loss, check_determinism, check_convergence]
Check = collections.abc.Callable[[worlds.World, Plan], object]


def run_check(check: Check, plan: Plan, examples: int) -> None:
    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(draw_world())
    def run(world: worlds.World) -> None:
        check(world, plan)

    run()


@pytest.mark.parametrize("check", CHECKS)
def test_property_holds(check: Check) -> None:
    """Guards against failures in combinations of faults that the other tests do not list."""
    run_check(check, worlds.build_plan, 40)


Moves = list[assignment.Move]


def edit_moves(edit: collections.abc.Callable[[worlds.World, Moves], Moves]) -> Plan:
    """Return a variant of placement whose moves are replaced by ``edit``."""

    def plan(world: worlds.World) -> assignment.Plan:
        planned = worlds.build_plan(world)
        return dataclasses.replace(planned, moves=edit(world, planned.moves))

    return plan


def redirect(moves: Moves, target: identity.NodeId) -> Moves:
    return [dataclasses.replace(move, target=target) for move in moves]


def add_healthy(world: worlds.World, moves: Moves) -> Moves:
    healthy = [(shard, owner) for shard, owner in world.owners.items() if owner is not None]
    return moves + [
        dataclasses.replace(move, shard=shard, source=owner)
        for move, (shard, owner) in zip(moves[:1], healthy, strict=False)
    ]


def move_back_and_forth(world: worlds.World, moves: Moves) -> Moves:
    shard, owner = next(iter(world.owners.items()))
    reason = assignment.MoveReason.REBALANCE
    others = [node for node in world.members if node != owner]
    return moves or [
        assignment.Move(shard=shard, source=owner, target=node, reason=reason)
        for node in others[:1]
    ]


@pytest.mark.parametrize(
    ("check", "edit"),
    [
        (check_moves, lambda world, moves: redirect(moves, max(world.members))),
        (check_moves, lambda world, moves: moves + moves[:1]),
        (check_loss, add_healthy),
        (check_determinism, lambda world, moves: redirect(moves, next(iter(world.members)))),
        (check_convergence, move_back_and_forth),
    ],
)
def test_broken_variant_is_noticed(
    check: Check, edit: collections.abc.Callable[[worlds.World, Moves], Moves]
) -> None:
    """Guards against property checks that pass regardless of what placement does."""
    with pytest.raises(AssertionError):
        run_check(check, edit_moves(edit), 40)


def test_unknown_services_are_left_alone() -> None:
    """Guards against an exception for shards of a service that is no longer configured."""
    world = worlds.build_world()
    world.owners[identity.ShardId("gone/1")] = worlds.node(1)
    world.hot_keys[identity.ShardId("gone/key:x")] = 0.5
    snapshot = route.build_snapshot(identity.ConfigVersion(1), world.entries)
    planned = placement.build_place(snapshot, world.state)(worlds.build_view(world))
    assert planned == assignment.Plan(split=[], merge=[], moves=[])
