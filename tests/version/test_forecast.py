"""Tests of the forecast of a change of configuration."""

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
    """Guards against a preview that differs from what the coordinator does after publishing."""
    world = worlds.build_world(nodes)
    shown = forecast.compare_configurations(build(), build(*drain("b")), worlds.view(world))
    world.entries += drain("b")
    worlds.run(world, 60.0)
    assert {move.shard: move.target for move in shown.moves} == {
        shard: owner
        for number, (shard, owner) in enumerate(world.owners.items())
        if owner != worlds.node(number % nodes)
    }
    assert shown.reasons == {assignment.MoveReason.LEAVING: 20}
    loads = worlds.find_loads(world)
    assert shown.added_loads == pytest.approx(
        {node: load - 36.0 / nodes for node, load in loads.items() if load > 36.0 / nodes}
    )
    assert sum(shown.added_loads.values()) == pytest.approx(12.0)
    assert shown.is_final and not shown.stranded


def test_equal_configurations_move_nothing() -> None:
    """Guards against moves shown for a change that has nothing to do with them."""
    world = worlds.build_world()
    worlds.lose(world, 1)
    shown = forecast.compare_configurations(build(), build(), worlds.view(world))
    assert (shown.moves, shown.added_loads, shown.split, shown.merge) == ([], {}, [], [])


def test_stranded_shards_and_zones_at_risk_are_named() -> None:
    """Guards against a plan that looks safe and leaves keys without a possible owner."""
    view = worlds.view(worlds.build_world())
    everything = forecast.compare_configurations(build(), build(*drain("a", "b", "c")), view)
    assert len(everything.stranded) == 60 and not everything.moves
    one = forecast.compare_configurations(build(), build(*drain("a")), view)
    assert not one.stranded
    assert one.zones_at_risk == [(worlds.SERVICE.name, "b"), (worlds.SERVICE.name, "c")]
    assert forecast.compare_configurations(build(), build(), view).zones_at_risk == []


def test_named_key_is_shown_as_split_and_moved() -> None:
    """Guards against a preview that ignores keys which get shards of their own."""
    world = worlds.build_world()
    key = identity.KeyId("vip")
    shard = identity.name_key(worlds.SERVICE.name, key)
    home = world.members[world.owners[worlds.shard(find_number(key))] or worlds.node(0)]
    zone = next(zone for zone in worlds.ZONES if zone != home.zone)
    named = objects.Key(name="vip", service=worlds.SERVICE.name, key=key, reason="test")
    rule = objects.AssignmentRule(
        name="rule", service=worlds.SERVICE.name, zones=[zone], keys=["vip"]
    )
    shown = forecast.compare_configurations(build(), build(named, rule), worlds.view(world))
    assert shown.split == [shard]
    assert [(move.shard, move.source, move.reason) for move in shown.moves] == [
        (shard, home.node, assignment.MoveReason.RULE)
    ]


def find_number(key: identity.KeyId) -> int:
    return route.find_partition(worlds.SERVICE, key)
