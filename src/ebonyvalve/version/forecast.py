"""Simulates placement to predict how a change of configuration alters the assignment of shards."""

import collections
import dataclasses

import msgspec

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import placement, route

# Simulated time between rounds, within which each handover is assumed to complete.
ROUND_S = 1.0
# The assignment is final when nothing was planned for this time. It exceeds the delay before a
# rebalance starts, MIN_ELIGIBLE_S and SMALL_GAP_S.
QUIET_S = placement.MIN_ELIGIBLE_S + placement.SMALL_GAP_S + 4.0
# Ends the simulation of a configuration under which the assignment never becomes stable.
MAX_ROUNDS = 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forecast:
    """The difference between the stable assignments under two configurations.

    ``moves`` has one entry for each shard whose owner differs. ``loads_before`` and ``loads_after``
    are in target seconds per second (busy slots); ``added_loads`` holds the nodes whose load
    increases. ``stranded`` lists shards that no target may own, and ``zones_at_risk`` the zones
    after whose loss the remaining targets could not carry the load of a service. ``takes_s`` is the
    time until the last planned move if each handover takes up to one second.
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
    """The assignment in which no more moves are planned under a configuration."""

    owners: dict[identity.ShardId, identity.NodeId | None]
    loads: dict[identity.ShardId, float]
    reasons: dict[identity.ShardId, assignment.MoveReason]
    takes_s: float
    is_final: bool


def simulate(snapshot: route.Snapshot, view: assignment.PlacementView) -> StableAssignment:
    """Apply plans to a view under constant load until nothing more is planned.

    Cold targets are treated as warm, because the result describes the time after their slow start.

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


def sum_by_node(assigned: StableAssignment) -> dict[identity.NodeId, float]:
    """Return the load of each owner.

    :param assigned: an assignment.
    """
    loads: dict[identity.NodeId, float] = collections.defaultdict(float)
    for shard, owner in assigned.owners.items():
        if owner is not None:
            loads[owner] += assigned.loads[shard]
    return dict(loads)


def list_zones_at_risk(
    snapshot: route.Snapshot, view: assignment.PlacementView, assigned: StableAssignment
) -> list[tuple[identity.ServiceId, identity.ZoneId]]:
    """Return the zones whose loss would leave a service with fewer slots than its load needs.

    :param snapshot: the configuration.
    :param view: the view.
    :param assigned: the stable assignment under the configuration.
    """
    at_risk = []
    for name, service in sorted(snapshot.services.items()):
        if not service.is_keyed:
            continue
        constraints = placement.build_constraints(snapshot, service)
        slots: dict[identity.ZoneId, int] = collections.defaultdict(int)
        for member in view.members.values():
            is_in_zones = constraints.zones is None or member.zone in constraints.zones
            if is_in_zones and placement.is_eligible(member, constraints):
                slots[member.zone] += member.slots or service.slots
        load = sum(
            shard_load
            for shard, shard_load in assigned.loads.items()
            if identity.split_shard(shard)[0] == name
        )
        for zone in sorted(slots):
            remaining = sum(slots.values()) - slots[zone]
            if remaining == 0 or remaining < load:
                at_risk.append((name, zone))
    return at_risk


def compare_configurations(
    before: route.Snapshot, after: route.Snapshot, view: assignment.PlacementView
) -> Forecast:
    """Return the effect of replacing one configuration by another.

    Moves that would also happen under the old configuration are not counted.

    :param before: the configuration in force.
    :param after: the configuration that would replace it.
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
    constraints = {
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
                shard, owner, view.members, constraints[identity.split_shard(shard)[0]]
            )
        ],
        zones_at_risk=list_zones_at_risk(after, view, new),
        takes_s=new.takes_s,
        is_final=old.is_final and new.is_final,
    )


def list_partitions(assigned: StableAssignment) -> set[identity.ShardId]:
    """Return the shards that are partitions.

    :param assigned: an assignment.
    """
    return {shard for shard in assigned.owners if identity.split_shard(shard)[2] is None}
