"""Shows what a change of configuration would do to the assignment of shards."""

import collections
import dataclasses

import msgspec

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import placement, route

# Time between simulated rounds. A shard is taken to be handed over within it.
ROUND_S = 1.0
# The assignment is final when nothing was planned for this time; a rebalance starts after
# RETURN_S and SMALL_GAP_S.
QUIET_S = placement.RETURN_S + placement.SMALL_GAP_S + 4.0
# Ends the simulation of a configuration under which the assignment does not come to rest.
MAX_ROUNDS = 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forecast:
    """The difference between the assignments that two configurations lead to.

    ``moves`` has one entry for each shard with another owner. ``loads_before`` and ``loads_after``
    are in target seconds per second; ``added_loads`` lists the targets that get more.
    ``stranded`` lists shards that no target may own, and ``zones_at_risk`` the zones without which
    the targets left could not carry a service. ``takes_s`` is the time until the last planned move
    if each handover takes up to one second.
    """

    moves: list[assignment.Move]
    reasons: dict[assignment.MoveReason, int]
    split: list[identity.ShardId]
    merge: list[identity.ShardId]
    loads_before: dict[identity.NodeId, float]
    loads_after: dict[identity.NodeId, float]
    added_loads: dict[identity.NodeId, float]
    stranded: list[identity.ShardId]
    zones_at_risk: list[tuple[identity.ServiceId, identity.ZoneId]]
    takes_s: float
    is_final: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StableAssignment:
    """The assignment that a configuration leads to."""

    owners: dict[identity.ShardId, identity.NodeId | None]
    loads: dict[identity.ShardId, float]
    reasons: dict[identity.ShardId, assignment.MoveReason]
    takes_s: float
    is_final: bool


def simulate(snapshot: route.Snapshot, view: assignment.PlacementView) -> StableAssignment:
    """Apply plans to a view under constant load until nothing is planned any more.

    Cold targets are taken to be warm, as the result is that after their slow start.

    :param snapshot: the configuration.
    :param view: the view to start from.
    """
    services = {name: entry for name, entry in snapshot.services.items() if entry.is_keyed}
    owners = {
        shard: owner
        for shard, owner in view.owners.items()
        if identity.split_shard(shard)[0] in services
    }
    for name, service in services.items():
        for number in range(service.partitions):
            owners.setdefault(identity.name_partition(name, identity.Partition(number)), None)
    loads = {shard: view.loads.get(shard, 0.0) for shard in owners}
    members = {
        node: msgspec.structs.replace(member, is_cold=False)
        for node, member in view.members.items()
    }
    hot_keys = dict(view.hot_keys)
    place = placement.build_place(snapshot, placement.State())
    reasons: dict[identity.ShardId, assignment.MoveReason] = {}
    elapsed_s = takes_s = 0.0
    for _ in range(MAX_ROUNDS):
        current = dataclasses.replace(
            view,
            members=members,
            owners=dict(owners),
            loads=dict(loads),
            hot_keys=dict(hot_keys),
            now_s=view.now_s + elapsed_s,
        )
        plan = place(current)
        for key in plan.split:
            parent = placement.find_parent(key, services)
            if parent is not None:
                loads[key] = hot_keys.pop(key, 0.0) * loads[parent]
                loads[parent] -= loads[key]
                owners[key] = owners[parent]
        for key in plan.merge:
            parent = placement.find_parent(key, services)
            if parent is not None:
                loads[parent] += loads.pop(key)
                del owners[key]
        for move in plan.moves:
            owners[move.shard] = move.target
            reasons.setdefault(move.shard, move.reason)
        elapsed_s += ROUND_S
        if plan.moves or plan.split or plan.merge:
            takes_s = elapsed_s
        elif elapsed_s - takes_s >= QUIET_S:
            break
    return StableAssignment(
        owners=owners,
        loads=loads,
        reasons=reasons,
        takes_s=takes_s,
        is_final=elapsed_s - takes_s >= QUIET_S,
    )


def sum_by_node(settled: StableAssignment) -> dict[identity.NodeId, float]:
    """Return the load of each owner.

    :param settled: an assignment.
    """
    loads: dict[identity.NodeId, float] = collections.defaultdict(float)
    for shard, owner in settled.owners.items():
        if owner is not None:
            loads[owner] += settled.loads[shard]
    return dict(loads)


def list_zones_at_risk(
    snapshot: route.Snapshot, view: assignment.PlacementView, settled: StableAssignment
) -> list[tuple[identity.ServiceId, identity.ZoneId]]:
    """Return the zones whose loss leaves a service too few slots for its load.

    :param snapshot: the configuration.
    :param view: the view.
    :param settled: the assignment that the configuration leads to.
    """
    found = []
    for name, service in sorted(snapshot.services.items()):
        if not service.is_keyed:
            continue
        limits = placement.build_constraints(snapshot, service)
        slots: dict[identity.ZoneId, int] = collections.defaultdict(int)
        for member in view.members.values():
            is_in_zones = limits.zones is None or member.zone in limits.zones
            if is_in_zones and placement.is_eligible(member, limits):
                slots[member.zone] += member.slots or service.slots
        load = sum(
            carried
            for shard, carried in settled.loads.items()
            if identity.split_shard(shard)[0] == name
        )
        for zone in sorted(slots):
            left = sum(slots.values()) - slots[zone]
            if left == 0 or left < load:
                found.append((name, zone))
    return found


def compare_configurations(
    before: route.Snapshot, after: route.Snapshot, view: assignment.PlacementView
) -> Forecast:
    """Return what changes when one configuration replaces another.

    Moves that would happen under the old configuration as well are not counted.

    :param before: the configuration in force.
    :param after: the configuration to come.
    :param view: the present members, owners and loads.
    """
    old, new = simulate(before, view), simulate(after, view)
    moves = []
    for shard, owner in sorted(new.owners.items()):
        source = old.owners.get(shard)
        if shard not in old.owners:
            parent = placement.find_parent(shard, after.services)
            source = old.owners.get(parent) if parent is not None else None
        if owner is None or owner == source:
            continue
        reason = new.reasons.get(shard, assignment.MoveReason.REBALANCE)
        moves.append(assignment.Move(shard=shard, source=source, target=owner, reason=reason))
    loads_before, loads_after = sum_by_node(old), sum_by_node(new)
    limits = {
        name: placement.build_constraints(after, service)
        for name, service in after.services.items()
    }
    return Forecast(
        moves=moves,
        reasons=dict(collections.Counter(move.reason for move in moves)),
        split=sorted(new.owners.keys() - old.owners.keys() - list_partitions(new)),
        merge=sorted(old.owners.keys() - new.owners.keys() - list_partitions(old)),
        loads_before=loads_before,
        loads_after=loads_after,
        added_loads={
            node: load - loads_before.get(node, 0.0)
            for node, load in sorted(loads_after.items())
            if load - loads_before.get(node, 0.0) > 1e-9
        },
        stranded=[
            shard
            for shard, owner in sorted(new.owners.items())
            if placement.find_reason(
                shard, owner, view.members, limits[identity.split_shard(shard)[0]]
            )
        ],
        zones_at_risk=list_zones_at_risk(after, view, new),
        takes_s=new.takes_s,
        is_final=old.is_final and new.is_final,
    )


def list_partitions(settled: StableAssignment) -> set[identity.ShardId]:
    """Return the shards that are partitions.

    :param settled: an assignment.
    """
    return {shard for shard in settled.owners if identity.split_shard(shard)[2] is None}
