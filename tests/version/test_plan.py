"""Tests of the plan and preview that operators read before publishing."""

import pathlib

from ebonyvalve.process import identity
from ebonyvalve.version import check, load, objects, plan, preview, route

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
EMPTY_SET = objects.ObjectSet(objects=[])


def read_set(*names: str) -> objects.ObjectSet:
    return load.read_directories([EXAMPLES / name for name in names]).unwrap().objects


def build(before: objects.ObjectSet, after: objects.ObjectSet) -> plan.Plan:
    return plan.build_plan(base=identity.ConfigVersion(1), before=before, after=after)


def test_drain_names_moves_loads_and_duration() -> None:
    """Guards against a plan of a drain that omits the load it adds to other targets."""
    built = build(read_set("andinaflota"), read_set("andinaflota", "andinaflota-drain"))
    lines = plan.render_plan(built)
    assert built.is_safe
    assert "inventario: 2 targets in quito-sur: 16.7% -> 25% of its load each" in lines
    assert any(line.startswith("inventario: about 86 of 258 shards move") for line in lines)
    assert "meanwhile: zone quito-norte receives no new work; requests in flight end normally" in (
        lines
    )
    assert lines[-1] == "safe to publish"


def test_return_states_the_slow_start() -> None:
    """Guards against a plan that omits the slow start of targets after a drain has ended."""
    built = build(read_set("andinaflota", "andinaflota-drain"), read_set("andinaflota"))
    assert "zone quito-norte takes load gradually for 20 s or longer" in built.refused_meanwhile


def test_unsafe_plan_says_why() -> None:
    """Guards against a verdict that refuses a plan without naming the reason."""
    built = build(EMPTY_SET, read_set("faulty/drain-too-few-slots"))
    assert not built.is_safe
    assert built.verdict == (
        "not safe to publish: DrainOrder work zone: only 20 of 30 slots of store would remain, "
        "25 are needed"
    )


def test_equal_sets_and_removed_services() -> None:
    """Guards against publishing an unchanged set, and a plan that omits a removed service."""
    all_objects = read_set("chambre-noire")
    assert (
        build(all_objects, all_objects).verdict == "nothing to publish: these objects are in force"
    )
    rest = objects.sort_objects(
        entry
        for entry in all_objects.objects
        if not (isinstance(entry, objects.Service) and entry.name == "archives")
    )
    refused = build(all_objects, rest).refused_meanwhile
    assert refused == ["every request to archives is refused once the version is in force"]


def test_preview_names_the_shards_of_the_drained_zone() -> None:
    """Guards against a preview that names other shards than those of the drained zone."""
    before, after = read_set("chambre-noire"), read_set("chambre-noire", "chambre-noire-drain")
    targets = check.list_stated_targets(before)
    service = identity.ServiceId("calendrier")
    holders = [target for target in targets if target.service == service]
    shards = route.list_shards(route.build_snapshot(identity.ConfigVersion(1), before.objects))
    # A rule restricts the named key to this zone; with another owner it would move because of the
    # rule.
    owners = {shard: holders[index % 6] for index, shard in enumerate(shards)}
    key = next(shard for shard in owners if identity.split_shard(shard)[2] is not None)
    owners[key] = next(target for target in holders if target.zone == "gaspe")
    drained = sorted(shard for shard, target in owners.items() if target.zone == "gaspe")
    built = plan.build_plan(
        base=identity.ConfigVersion(1),
        before=before,
        after=after,
        targets=targets,
        preview=preview.build_preview(targets, {s: t.node for s, t in owners.items()}),
    )
    (impact,) = [entry for entry in built.impacts if entry.service == service]
    assert impact.shards == drained
    assert {load.after_percent for load in impact.loads if load.zone == "gaspe"} == {0.0}
    assert not impact.is_estimate
    assert any("calendrier: moving: " in line for line in plan.render_plan(built))


def test_preview_passes_over_shards_that_are_not_configured() -> None:
    """Guards against an exception when nodes still report the shards of a removed service."""
    all_objects = read_set("chambre-noire")
    targets = check.list_stated_targets(all_objects)
    owners: preview.Owners = {
        identity.ShardId("gone/7"): targets[0].node,
        identity.ShardId("gone/key:a"): None,
        identity.ShardId("calendrier/9999"): targets[0].node,
    }
    impacts = preview.build_preview(targets, owners)(all_objects, all_objects)
    assert [impact.moving for impact in impacts] == [0, 0, 0]
