"""Tests of the simulation that predicts the effect of a change of configuration."""

import pytest

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import forecast, objects, route
from tests.version import worlds


def build(*entries: objects.AnyObject) -> route.Snapshot:
    return route.build_snapshot(identity.ConfigVersion(1), [worlds.SERVICE, *entries])


def drain(*zones: str) -> list[objects.DrainOrder]:
    return [
        objects.DrainOrder(name=zone, reason="test", zone=identity.ZoneId(zone)) for zone in zones
    ]


@pytest.mark.parametrize("nodes", [3, 6])
def test_drain_shows_what_then_happens(nodes: int) -> None:
    """Guards against a forecast that differs from what the coordinator does after publishing."""
    world = worlds.build_world(nodes)
    predicted = forecast.compare_configurations(
        build(), build(*drain("b")), worlds.build_view(world)
    )
    world.entries += drain("b")
    worlds.run(world, 60.0)
    assert {move.shard: move.target for move in predicted.moves} == {
        shard: owner
        for number, (shard, owner) in enumerate(world.owners.items())
        if owner != worlds.node(number % nodes)
    }
    assert predicted.reasons == {assignment.MoveReason.LEAVING: 20}
    loads = worlds.find_loads(world)
    assert predicted.added_loads == pytest.approx(
        {node: load - 36.0 / nodes for node, load in loads.items() if load > 36.0 / nodes}
    )
    assert sum(predicted.added_loads.values()) == pytest.approx(12.0)
    assert predicted.is_final and not predicted.stranded


def test_equal_configurations_move_nothing() -> None:
    """Guards against attributing to a change the moves that happen without it."""
    world = worlds.build_world()
    worlds.remove_node(world, 1)
    predicted = forecast.compare_configurations(build(), build(), worlds.build_view(world))
    assert (predicted.moves, predicted.added_loads, predicted.split, predicted.merge) == (
        [],
        {},
        [],
        [],
    )


def test_stranded_shards_and_zones_at_risk_are_named() -> None:
    """Guards against a forecast that omits shards without a possible owner, or zones at risk."""
    view = worlds.build_view(worlds.build_world())
    all_drained = forecast.compare_configurations(build(), build(*drain("a", "b", "c")), view)
    assert len(all_drained.stranded) == 60 and not all_drained.moves
    one_drained = forecast.compare_configurations(build(), build(*drain("a")), view)
    assert not one_drained.stranded
    assert one_drained.zones_at_risk == [(worlds.SERVICE.name, "b"), (worlds.SERVICE.name, "c")]
    assert forecast.compare_configurations(build(), build(), view).zones_at_risk == []


def test_named_key_is_shown_as_split_and_moved() -> None:
    """Guards against a forecast that ignores keys that get their own shard."""
    world = worlds.build_world()
    key = identity.KeyId("vip")
    shard = identity.name_key(worlds.SERVICE.name, key)
    home = world.members[world.owners[worlds.shard(find_partition_number(key))] or worlds.node(0)]
    zone = next(zone for zone in worlds.ZONES if zone != home.zone)
    named = objects.Key(name="vip", service=worlds.SERVICE.name, key=key, reason="test")
    rule = objects.AssignmentRule(
        name="rule", service=worlds.SERVICE.name, zones=[zone], keys=["vip"]
    )
    predicted = forecast.compare_configurations(
        build(), build(named, rule), worlds.build_view(world)
    )
    assert predicted.split == [shard]
    assert [(move.shard, move.source, move.reason) for move in predicted.moves] == [
        (shard, home.node, assignment.MoveReason.RULE)
    ]


def find_partition_number(key: identity.KeyId) -> int:
    return route.find_partition(worlds.SERVICE, key)
