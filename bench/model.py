"""A model of one cell for the placement benches: keys, their owners and the effect of plans."""

import collections.abc
import dataclasses
import random

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import objects, placement, route

# Time between two placement rounds, as at the coordinator; planned moves show in the next round.
ROUND_S = 1.0
# Mean load as a share of all slots.
UTILISATION = 0.6
# Key loads follow a Zipf distribution. With this many keys at exponent 1.0 the hottest carries 8%
# of all load, which is half the share of one of six targets: no key exceeds a target's share.
KEYS = 100_000
EXPONENT = 1.0
# Number of hot keys that :func:`change_hot_keys` replaces.
HOT_CHANGED = 61


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A keyed service and the zone of each of its instances."""

    name: str
    service: identity.ServiceId
    zones: list[identity.ZoneId]
    slots: int
    partitions: int = 256


# The real distribution of the instances over zones is not known; an even one is assumed.
ANDINAFLOTA = Deployment(
    name="Andinaflota",
    service=identity.ServiceId("inventario"),
    zones=[identity.ZoneId(zone) for zone in ("ec-a", "ec-b", "ec-c", "ec-d", "ec-a", "ec-b")],
    slots=10,
)
CHAMBRE_NOIRE = Deployment(
    name="Chambre Noire",
    service=identity.ServiceId("calendrier"),
    zones=[identity.ZoneId(zone) for zone in ("qc-a", "qc-b", "qc-c") * 2],
    slots=6,
)
DEPLOYMENTS = [ANDINAFLOTA, CHAMBRE_NOIRE]


@dataclasses.dataclass(kw_only=True)
class Cell:
    """The nodes of a service, the load of its keys, and the owner of each shard."""

    service: objects.Service
    members: dict[identity.NodeId, message.Member]
    owners: dict[identity.ShardId, identity.NodeId | None]
    # Keys with their loads and partitions, sorted by load until the first change of the hot keys.
    keys: list[identity.KeyId]
    rates: list[float]
    parents: list[identity.ShardId]
    now_s: float = 0.0
    moves: list[assignment.Move] = dataclasses.field(default_factory=list)


def build_cell(deployment: Deployment, rng: random.Random, keys: int = KEYS) -> Cell:
    """Return a cell without owners.

    :param deployment: its service and nodes.
    :param rng: draws the names of the keys.
    :param keys: the number of keys.
    """
    service = objects.Service(
        name=deployment.service, partitions=deployment.partitions, slots=deployment.slots
    )
    members = [
        message.Member(
            node=identity.NodeId(f"{deployment.service}-{number}"),
            incarnation=identity.Incarnation("1"),
            zone=zone,
            service=deployment.service,
            peer_address=identity.Address(""),
            hop_address=identity.Address(""),
            slots=deployment.slots,
            is_target_up=True,
        )
        for number, zone in enumerate(deployment.zones, 1)
    ]
    names = [identity.KeyId(f"{rng.getrandbits(48):012x}") for _ in range(keys)]
    weights = [1.0 / (rank + 1) ** EXPONENT for rank in range(keys)]
    scale = UTILISATION * deployment.slots * len(members) / sum(weights)
    return Cell(
        service=service,
        members={member.node: member for member in members},
        owners={
            identity.name_partition(service.name, identity.Partition(number)): None
            for number in range(deployment.partitions)
        },
        keys=names,
        rates=[scale * weight for weight in weights],
        parents=[
            identity.name_partition(service.name, route.find_partition(service, key))
            for key in names
        ],
    )


def change_hot_keys(cell: Cell, rng: random.Random) -> None:
    """Swap the loads of the hottest keys with those of as many keys outside the hottest 1000.

    :param cell: changed in place.
    :param rng: draws the keys.
    """
    by_load = sorted(range(len(cell.rates)), key=lambda index: -cell.rates[index])
    for hot, cold in zip(
        by_load[:HOT_CHANGED], rng.sample(by_load[1000:], HOT_CHANGED), strict=True
    ):
        cell.rates[hot], cell.rates[cold] = cell.rates[cold], cell.rates[hot]


def find_shards(cell: Cell) -> list[identity.ShardId]:
    """Return the shard that serves each key.

    :param cell: the cell.
    """
    split_shards = {
        key: shard for shard in cell.owners if (key := identity.split_shard(shard)[2]) is not None
    }
    return [
        split_shards.get(key, parent) for key, parent in zip(cell.keys, cell.parents, strict=True)
    ]


def sum_loads(cell: Cell) -> dict[identity.ShardId, float]:
    """Return the exact load of each shard.

    :param cell: the cell.
    """
    loads = dict.fromkeys(cell.owners, 0.0)
    for shard, rate in zip(find_shards(cell), cell.rates, strict=True):
        loads[shard] += rate
    return loads


def list_hot_shares(
    cell: Cell, loads: dict[identity.ShardId, float]
) -> dict[identity.ShardId, float]:
    """Return the exact share of each hot key in the load of its partition.

    :param cell: the cell.
    :param loads: from :func:`sum_loads`.
    """
    min_rate = 0.03 * sum(cell.rates) / len(cell.members)
    hot_indexes = [index for index, rate in enumerate(cell.rates) if rate >= min_rate]
    shares = {}
    for index in hot_indexes:
        shard = identity.name_key(cell.service.name, cell.keys[index])
        if shard not in cell.owners:
            shares[shard] = cell.rates[index] / loads[cell.parents[index]]
    return shares


def find_imbalance(cell: Cell, loads: dict[identity.ShardId, float], nodes: set[str]) -> float:
    """Return the load of the busiest node over the mean.

    :param cell: the cell.
    :param loads: the exact loads.
    :param nodes: the nodes to compare.
    """
    loads_by_node = dict.fromkeys(nodes, 0.0)
    for shard, owner in cell.owners.items():
        if owner in loads_by_node:
            loads_by_node[owner] += loads[shard]
    return max(loads_by_node.values()) * len(loads_by_node) / sum(loads_by_node.values())


def count_owned(cell: Cell, nodes: collections.abc.Container[str]) -> int:
    """Return the number of shards that some nodes own.

    :param cell: the cell.
    :param nodes: the nodes to count.
    """
    return sum(owner in nodes for owner in cell.owners.values())


def run_round(
    cell: Cell,
    place: assignment.PlaceShards,
    loads: dict[identity.ShardId, float],
    hot_keys: dict[identity.ShardId, float],
) -> assignment.Plan:
    """Plan one round, apply the plan and advance the time.

    :param cell: changed in place.
    :param place: the placement policy.
    :param loads: the loads as reported.
    :param hot_keys: the shares of hot keys as reported.
    """
    for shard, owner in cell.owners.items():
        if owner not in cell.members:
            cell.owners[shard] = None
    view = assignment.PlacementView(
        members=dict(cell.members),
        owners=dict(cell.owners),
        loads=loads,
        hot_keys=hot_keys,
        now_s=cell.now_s,
    )
    plan = place(view)
    for key in plan.split:
        parent = placement.find_parent(key, {cell.service.name: cell.service})
        cell.owners[key] = cell.owners[parent] if parent is not None else None
    for key in plan.merge:
        del cell.owners[key]
    for move in plan.moves:
        cell.owners[move.shard] = move.target
    cell.moves.extend(plan.moves)
    cell.now_s += ROUND_S
    return plan


def build_snapshot(
    cell: Cell, entries: collections.abc.Iterable[objects.AnyObject] = ()
) -> route.Snapshot:
    """Return a configuration with the cell's service.

    :param cell: the cell.
    :param entries: further objects.
    """
    return route.build_snapshot(identity.ConfigVersion(1), [cell.service, *entries])
