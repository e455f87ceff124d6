"""Predicts which shards would move, by simulating placement from the owners that nodes report."""

import collections
import collections.abc

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import check, forecast, objects, plan, route

Owners = dict[identity.ShardId, identity.NodeId | None]


def build_preview(
    targets: collections.abc.Sequence[check.Target], owners: Owners
) -> plan.PreviewFunction:
    """Return a preview function for the present owners that treats all shards as equally busy.

    :param targets: the targets in service.
    :param owners: the owner of every shard.
    """
    members = {target.node: _build_member(target) for target in targets}

    def preview(before: objects.ObjectSet, after: objects.ObjectSet) -> list[plan.Impact]:
        old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
        new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
        # Moves that placement would make under the old configuration are not part of the change.
        assigned_before = _simulate(old, members, owners)
        assigned_after = _simulate(new, members, assigned_before.owners)
        estimates = plan.build_estimate(targets)(before, after)
        return [
            _build_impact(new, impact, assigned_before, assigned_after, targets)
            for impact in estimates
        ]

    return preview


def _build_member(target: check.Target) -> message.Member:
    return message.Member(
        node=target.node,
        incarnation=identity.Incarnation(""),
        zone=target.zone,
        service=target.service,
        peer_address=identity.Address(""),
        hop_address=identity.Address(""),
        slots=target.slots,
        is_target_up=True,
    )


def _simulate(
    snapshot: route.Snapshot, members: dict[identity.NodeId, message.Member], owners: Owners
) -> forecast.StableAssignment:
    view = assignment.PlacementView(
        members=members, owners=owners, loads={}, hot_keys={}, now_s=0.0
    )
    return forecast.simulate(snapshot, view)


def _find_partition(snapshot: route.Snapshot, shard: identity.ShardId) -> identity.ShardId:
    service, _, key = identity.split_shard(shard)
    if key is None:
        return shard
    return identity.name_partition(service, route.find_partition(snapshot.services[service], key))


def _build_impact(
    snapshot: route.Snapshot,
    estimate: plan.Impact,
    assigned_before: forecast.StableAssignment,
    assigned_after: forecast.StableAssignment,
    targets: collections.abc.Sequence[check.Target],
) -> plan.Impact:
    service = estimate.service
    if not snapshot.services[service].is_keyed:
        return estimate
    owners_before, owners_after = assigned_before.owners, assigned_after.owners
    shards = [shard for shard in owners_after if identity.split_shard(shard)[0] == service]

    def find_before(shard: identity.ShardId) -> identity.NodeId | None:
        return owners_before.get(shard, owners_before.get(_find_partition(snapshot, shard)))

    counts_before = collections.Counter(find_before(shard) for shard in shards)
    counts_after = collections.Counter(owners_after[shard] for shard in shards)
    return plan.Impact(
        service=service,
        shard_count=len(shards),
        moving=sum(find_before(shard) != owners_after[shard] for shard in shards),
        shards=sorted(shard for shard in shards if find_before(shard) != owners_after[shard]),
        loads=[
            plan.LoadChange(
                node=target.node,
                zone=target.zone,
                before_percent=round(100 * counts_before[target.node] / len(shards), 1),
                after_percent=round(100 * counts_after[target.node] / len(shards), 1),
            )
            for target in targets
            if target.service == service and counts_before[target.node] != counts_after[target.node]
        ],
        is_estimate=False,
        takes_s=assigned_after.takes_s,
    )
