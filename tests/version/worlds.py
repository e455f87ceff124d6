"""A simulated cell with one service for the tests of placement."""

import dataclasses

import msgspec

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import objects, placement, route

SERVICE = objects.Service(name=identity.ServiceId("stock"), partitions=60, slots=10)
ZONES = [identity.ZoneId(zone) for zone in ("a", "b", "c")]


@dataclasses.dataclass(kw_only=True)
class World:
    """Members, owners, loads and configuration of the cell, which a test modifies."""

    members: dict[identity.NodeId, message.Member]
    owners: dict[identity.ShardId, identity.NodeId | None]
    loads: dict[identity.ShardId, float]
    hot_keys: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    entries: list[objects.AnyObject] = dataclasses.field(default_factory=lambda: [SERVICE])
    state: placement.State = dataclasses.field(default_factory=placement.State)
    now_s: float = 1000.0


def node(number: int) -> identity.NodeId:
    return identity.NodeId(f"n{number}")


def shard(number: int) -> identity.ShardId:
    return identity.name_partition(SERVICE.name, identity.Partition(number))


def build_world(nodes: int = 6, load: float = 0.6) -> World:
    """Return a balanced cell, in which partition n belongs to node n modulo ``nodes``."""
    members = {
        node(number): message.Member(
            node=node(number),
            incarnation=identity.Incarnation("1"),
            zone=ZONES[number % len(ZONES)],
            service=SERVICE.name,
            peer_address=identity.Address(""),
            hop_address=identity.Address(""),
            slots=10,
            is_target_up=True,
        )
        for number in range(nodes)
    }
    shards = [shard(number) for number in range(SERVICE.partitions)]
    return World(
        members=members,
        owners={name: node(number % nodes) for number, name in enumerate(shards)},
        loads={name: load * (0.5 + number // nodes % 2) for number, name in enumerate(shards)},
    )


def change_member(world: World, number: int, **fields: object) -> None:
    world.members[node(number)] = msgspec.structs.replace(world.members[node(number)], **fields)


def remove_node(world: World, number: int) -> None:
    del world.members[node(number)]
    for name, owner in world.owners.items():
        if owner == node(number):
            world.owners[name] = None


def build_view(world: World) -> assignment.PlacementView:
    return assignment.PlacementView(
        members=dict(world.members),
        owners=dict(world.owners),
        loads=dict(world.loads),
        hot_keys=dict(world.hot_keys),
        now_s=world.now_s,
    )


def build_plan(world: World) -> assignment.Plan:
    snapshot = route.build_snapshot(identity.ConfigVersion(1), world.entries)
    return placement.build_place(snapshot, world.state)(build_view(world))


def carry_out(world: World, planned: assignment.Plan, elapsed_s: float = 0.5) -> None:
    services = {SERVICE.name: SERVICE}
    for key in planned.split:
        parent = placement.find_parent(key, services)
        assert parent is not None
        world.owners[key] = world.owners[parent]
        world.loads[key] = world.hot_keys.pop(key, 0.0) * world.loads[parent]
        world.loads[parent] -= world.loads[key]
    for key in planned.merge:
        parent = placement.find_parent(key, services)
        assert parent is not None
        assert world.owners.pop(key) == world.owners[parent], "merged away from its partition"
        world.loads[parent] += world.loads.pop(key)
    for move in planned.moves:
        assert world.owners[move.shard] == move.source
        world.owners[move.shard] = move.target
    world.now_s += elapsed_s


def run(world: World, seconds: float) -> list[assignment.Plan]:
    """Plan and carry out the plans every 0.5 s of simulated time; return the plans."""
    plans = []
    for _ in range(round(seconds / 0.5)):
        plans.append(build_plan(world))
        carry_out(world, plans[-1])
    return plans


def list_moves(plans: list[assignment.Plan]) -> list[assignment.Move]:
    return [move for planned in plans for move in planned.moves]


def find_loads(world: World) -> dict[identity.NodeId, float]:
    loads = dict.fromkeys(world.members, 0.0)
    for name, owner in world.owners.items():
        if owner in loads:
            loads[owner] += world.loads[name]
    return loads


def may_own(world: World, owner: identity.NodeId, name: identity.ShardId) -> bool:
    """Return whether the configuration allows an owner, independently of the code under test."""
    member = world.members.get(owner)
    if member is None or not member.is_target_up or member.is_leaving:
        return False
    if member.service != identity.split_shard(name)[0]:
        return False
    key = identity.split_shard(name)[2]
    key_names = [
        entry.name for entry in world.entries if isinstance(entry, objects.Key) and entry.key == key
    ]
    rules = [entry for entry in world.entries if isinstance(entry, objects.AssignmentRule)]
    key_rules = [rule for rule in rules if set(rule.keys) & set(key_names)]
    for rule in key_rules or [rule for rule in rules if not rule.keys]:
        if member.zone not in rule.zones:
            return False
    drains = [entry for entry in world.entries if isinstance(entry, objects.DrainOrder)]
    return not any(drain.zone == member.zone or owner in drain.nodes for drain in drains)
