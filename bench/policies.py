"""Baseline placement policies that hash names and ignore loads, for comparison."""

import bisect
import collections.abc

import xxhash

from ebonyvalve.process import assignment, identity
from ebonyvalve.version import placement, route

VIRTUAL_NODES = 128

Choose = collections.abc.Callable[[identity.ShardId, list[identity.NodeId]], identity.NodeId]


def hash_text(text: str) -> int:
    """Return the hash value that all policies use.

    :param text: the text.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def choose_modulo(shard: identity.ShardId, nodes: list[identity.NodeId]) -> identity.NodeId:
    """Return the node at the hash modulo the number of nodes.

    :param shard: the shard.
    :param nodes: the eligible nodes, sorted.
    """
    return nodes[hash_text(shard) % len(nodes)]


def choose_rendezvous(shard: identity.ShardId, nodes: list[identity.NodeId]) -> identity.NodeId:
    """Return the node with the highest hash of node and shard (rendezvous hashing).

    :param shard: the shard.
    :param nodes: the eligible nodes, sorted.
    """
    return max(nodes, key=lambda node: hash_text(f"{node} {shard}"))


def choose_on_ring(shard: identity.ShardId, nodes: list[identity.NodeId]) -> identity.NodeId:
    """Return the node of the next virtual node on a hash ring (consistent hashing).

    :param shard: the shard.
    :param nodes: the eligible nodes, sorted.
    """
    ring = sorted(
        (hash_text(f"{node}#{replica}"), node) for node in nodes for replica in range(VIRTUAL_NODES)
    )
    return ring[bisect.bisect(ring, (hash_text(shard),)) % len(ring)][1]


def build_place(snapshot: route.Snapshot, choose: Choose) -> assignment.PlaceShards:
    """Return a policy that moves each shard to the node chosen by a function.

    :param snapshot: a configuration with one service.
    :param choose: returns the node of a shard.
    """
    (service,) = snapshot.services.values()
    constraints = placement.build_constraints(snapshot, service)
    # The choice depends on names only, so it is computed once for each set of nodes.
    choices: dict[tuple[identity.NodeId, ...], dict[identity.ShardId, identity.NodeId]] = {}

    def place(view: assignment.PlacementView) -> assignment.Plan:
        nodes = tuple(
            sorted(
                node
                for node, member in view.members.items()
                if placement.is_eligible(member, constraints)
            )
        )
        if nodes not in choices:
            choices[nodes] = {shard: choose(shard, list(nodes)) for shard in view.owners}
        moves = [
            assignment.Move(
                shard=shard,
                source=owner,
                target=choices[nodes][shard],
                reason=assignment.MoveReason.REBALANCE,
            )
            for shard, owner in view.owners.items()
            if owner != choices[nodes][shard]
        ]
        return assignment.Plan(split=[], merge=[], moves=moves)

    return place


BASELINES: dict[str, Choose] = {
    "modulo": choose_modulo,
    "consistent": choose_on_ring,
    "rendezvous": choose_rendezvous,
}
