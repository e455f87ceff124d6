"""Predicts which shards would move, by running placement on the owners that the nodes report."""

import collections
import collections.abc

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import check, forecast, objects, plan, route

Owners = dict[identity.ShardId, identity.NodeId | None]


def build_preview(
    targets: collections.abc.Sequence[check.Target], owners: Owners
) -> plan.PreviewFunction:
    """Return a preview for the owners at present, with every shard taken to be equally busy.

    :param targets: the targets in service.
    :param owners: the owner of every shard.
    """
    members = {target.node: _build_member(target) for target in targets}

    def preview(before: objects.ObjectSet, after: objects.ObjectSet) -> list[plan.Impact]:
        old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
        new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
        # Moves that placement would make anyway do not belong to the change.
        settled = _settle(old, members, owners)
        final = _settle(new, members, settled.owners)
        estimates = plan.build_estimate(targets)(before, after)
        return [_summarise(new, impact, settled, final, targets) for impact in estimates]

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


def _settle(
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


def _summarise(
    snapshot: route.Snapshot,
    estimate: plan.Impact,
    settled: forecast.StableAssignment,
    final: forecast.StableAssignment,
    targets: collections.abc.Sequence[check.Target],
) -> plan.Impact:
    service = estimate.service
    if not snapshot.services[service].is_keyed:
        return estimate
    before, after = settled.owners, final.owners
    shards = [shard for shard in after if identity.split_shard(shard)[0] == service]

    def find_before(shard: identity.ShardId) -> identity.NodeId | None:
        return before.get(shard, before.get(_find_partition(snapshot, shard)))

    held = collections.Counter(find_before(shard) for shard in shards)
    holding = collections.Counter(after[shard] for shard in shards)
    return plan.Impact(
        service=service,
        shard_count=len(shards),
        moving=sum(find_before(shard) != after[shard] for shard in shards),
        shards=sorted(shard for shard in shards if find_before(shard) != after[shard]),
        loads=[
            plan.LoadChange(
                node=target.node,
                zone=target.zone,
                before_percent=round(100 * held[target.node] / len(shards), 1),
                after_percent=round(100 * holding[target.node] / len(shards), 1),
            )
            for target in targets
            if target.service == service and held[target.node] != holding[target.node]
        ],
        is_estimate=False,
        takes_s=final.takes_s,
    )
