"""Decides which node owns which shard, with as few moves as possible.

Each plan contains every change that the view still lacks. A move that was planned earlier and is
not visible yet is repeated with the same receiver: a caller that lost the plan receives it again,
and a caller that has already started the move ignores the repetition.
"""

import collections.abc
import dataclasses
import math
import typing

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import objects, route

# Time constants of the two exponentially weighted moving averages of a shard's reported load. The
# slow average is normally used; it reduces noise that lasts 3 s to a third. When the two
# differ by more than CHANGE_THRESHOLD of the larger one, the load has changed, and the fast one is
# used for CHANGE_PERIOD_S. In that time it follows 96% of a change, which reaches it through the
# owners' accounting window of 3 s.
FAST_EWMA_S = 3.0
SLOW_EWMA_S = 30.0
CHANGE_THRESHOLD = 0.5
CHANGE_PERIOD_S = 15.0
# All shards of a service use the fast average once their recent changes sum up to this fraction of
# its load. Replacing the hottest 61 of 100 000 Zipf-distributed keys gives 0.78.
SERVICE_CHANGE_THRESHOLD = 0.25
# A rebalance starts when a node's load differs from its fair share by START_GAP (a fraction of that
# share) and continues until the largest difference is STOP_GAP. The bound on imbalance is 1.25;
# starting at 1.20 leaves room for the error of the averages.
START_GAP = 0.20
STOP_GAP = 0.04
# A node that returned or was cold receives shards until it is less than this below its fair share.
FILL_GAP = 0.10
# A move must leave its receiver at least this far (in fair shares) below the load its donor had.
# Every move is then an improvement, so a series of moves under constant load ends.
MIN_GAIN = 0.02
# How long a gap must last before shards move, so that a short burst moves nothing. A gap below
# LARGE_GAP is within the bound on imbalance and can be observed for longer.
LARGE_GAP = 0.25
LARGE_GAP_S = 3.0
SMALL_GAP_S = 10.0
# A node must have been eligible this long before a rebalance moves shards to it. A node that fails
# repeatedly then causes no moves beyond those of its failures.
MIN_ELIGIBLE_S = 5.0
# A shard whose load is below this fraction of the load to be moved is not worth a handover.
MIN_MOVE_FRACTION = 0.02
# Rebalancing moves per service and ROUND_INTERVAL_S. Requests for a shard wait while it is handed
# over: with 8 of 256 shards, about 3% of the keys wait at a time, and a fair share of 43 shards is
# restored in 6 s.
MOVES_PER_ROUND = 8
# Moves that one decision may queue; MOVES_PER_ROUND limits how fast they are planned. Deciding on
# all moves at the start keeps noise from prolonging a rebalance.
MAX_QUEUED_MOVES = 64
ROUND_INTERVAL_S = 1.0
# Moves per plan away from a node that must be emptied, including earlier ones that are not visible
# yet. The coordinator plans once a second, and at once when members change; three plans move 72
# shards, well above a fair share of 43, within the 3 s after which a drained zone must receive no
# new work.
DRAIN_MOVES_PER_ROUND = 24
# A key gets a shard of its own when its load exceeds SPLIT_SHARE of a node's fair load for
# SPLIT_AFTER_S, and returns to its partition when it stays below MERGE_SHARE for MERGE_AFTER_S.
# Keys with less load are balanced well enough by moving their partitions.
SPLIT_SHARE = 0.20
MERGE_SHARE = 0.08
SPLIT_AFTER_S = 2.0
MERGE_AFTER_S = 30.0
# Limit per service and round for splits of hot keys, and for merges together with the moves that
# prepare them. Each of these is a commit.
KEYS_PER_ROUND = 4
# The load that a new owner reports for a shard is ignored for this time after the change of owner,
# because it has observed too few requests.
IGNORE_LOAD_S = 2.0
# A key that is no longer reported as hot is dropped once its average share is below this.
MIN_KEY_SHARE = 0.01
# A planned move that is not visible after this time is decided again.
PENDING_TIMEOUT_S = 10.0
# Utilisation that is assumed for every node in addition to the measured load, spread over the
# shards of the service. It makes an idle service balance by the number of shards instead of by
# noise.
IDLE_UTILISATION = 0.01
# Weight of the zone's utilisation, relative to the node's, in the choice of a receiver.
ZONE_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingMove:
    """A planned move that the view does not show yet, and when it was first planned."""

    move: assignment.Move
    planned_s: float


@dataclasses.dataclass(kw_only=True)
class State:
    """What placement keeps from one round to the next. An empty state is valid at any time."""

    # Average loads of the shards: the average that decisions use, and the fast one.
    loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    fast_loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    changed_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # The slow averages of shards whose load has changed, as they were before the change.
    load_before_change: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    changed_service_until_s: dict[identity.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    # For hot keys without a shard of their own: the average fraction of their partition's load, and
    # the load itself.
    key_shares: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    key_loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    observed_s: float | None = None
    owners: dict[identity.ShardId, identity.NodeId | None] = dataclasses.field(default_factory=dict)
    # Until when the reported load of a shard is ignored: after a move, and after a split or merge.
    ignore_moved_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    ignore_split_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # The owner that last lost a shard through a failure, drain or rule. A node that returns
    # receives such shards first.
    former_owners: dict[identity.ShardId, identity.NodeId] = dataclasses.field(default_factory=dict)
    eligible_since_s: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    cold_since_s: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    # Nodes that returned or were cold and have not reached their fair share since.
    underfilled: set[identity.NodeId] = dataclasses.field(default_factory=set)
    imbalanced_since_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    large_gap_since_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    # Rebalancing moves that were decided on and are not yet part of a plan.
    move_queues: dict[identity.ServiceId, list[assignment.Move]] = dataclasses.field(
        default_factory=dict
    )
    rebalanced_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    hot_since_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    cool_since_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    pending: dict[identity.ShardId, PendingMove] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Constraints:
    """Where the shards of one service may be: allowed zones for partitions and keys, and drains."""

    service: objects.Service
    # ``None`` allows every zone.
    zones: frozenset[identity.ZoneId] | None
    key_zones: dict[identity.ShardId, frozenset[identity.ZoneId] | None]
    drained_zones: frozenset[identity.ZoneId]
    drained_nodes: frozenset[identity.NodeId]


@dataclasses.dataclass(kw_only=True)
class Layout:
    """The owners and loads of one service's shards, with the moves planned so far applied."""

    constraints: Constraints
    # Members that may own shards, and the load that each can carry, in slots.
    members: dict[identity.NodeId, message.Member]
    capacity: dict[identity.NodeId, float]
    cold: frozenset[identity.NodeId]
    # Loads of the shards in busy slots, including the assumed idle load.
    loads: dict[identity.ShardId, float]
    # The shards that consist of a single key.
    key_shards: list[identity.ShardId]
    owners: dict[identity.ShardId, identity.NodeId]
    shards_by_node: dict[identity.NodeId, set[identity.ShardId]]
    node_loads: dict[identity.NodeId, float]
    zone_loads: dict[identity.ZoneId, float]
    zone_capacity: dict[identity.ZoneId, float]


def build_constraints(snapshot: route.Snapshot, service: objects.Service) -> Constraints:
    """Collect the rules and drain orders that concern a service.

    Rules that name a key replace the rules of the whole service for that key. Several rules of the
    same scope apply together.

    :param snapshot: the configuration.
    :param service: one of its services.
    """
    rules = [rule for rule in snapshot.rules.values() if rule.service == service.name]
    named_keys = {key.name: key for key in snapshot.keys.values() if key.service == service.name}
    service_zones = intersect(rule.zones for rule in rules if not rule.keys)
    key_zones = {}
    for name, key in named_keys.items():
        rule_zones = intersect(rule.zones for rule in rules if name in rule.keys)
        key_zones[identity.name_key(service.name, key.key)] = (
            service_zones if rule_zones is None else rule_zones
        )
    drains = snapshot.drains.values()
    return Constraints(
        service=service,
        zones=service_zones,
        key_zones=key_zones,
        drained_zones=frozenset(drain.zone for drain in drains if drain.zone is not None),
        drained_nodes=frozenset(node for drain in drains for node in drain.nodes),
    )


def intersect(
    zone_lists: collections.abc.Iterable[list[identity.ZoneId]],
) -> frozenset[identity.ZoneId] | None:
    """Return the zones in all lists, or ``None`` when there is no list.

    :param zone_lists: the zones that each rule allows.
    """
    sets = [frozenset(zones) for zones in zone_lists]
    return frozenset.intersection(*sets) if sets else None


def is_eligible(member: message.Member, constraints: Constraints) -> bool:
    """Return whether a member may own shards of a service at all.

    :param member: the member.
    :param constraints: the constraints of the service.
    """
    return (
        member.service == constraints.service.name
        and member.is_target_up
        and not member.is_leaving
        and member.zone not in constraints.drained_zones
        and member.node not in constraints.drained_nodes
    )


def is_allowed(member: message.Member, shard: identity.ShardId, constraints: Constraints) -> bool:
    """Return whether the assignment rules allow a shard in a member's zone.

    :param member: the member.
    :param shard: the shard.
    :param constraints: the constraints of the service.
    """
    zones = constraints.key_zones.get(shard, constraints.zones)
    return zones is None or member.zone in zones


def find_node_reason(
    owner: identity.NodeId | None,
    members: dict[identity.NodeId, message.Member],
    constraints: Constraints,
) -> assignment.MoveReason | None:
    """Return why an owner has to give up every shard, or ``None`` when it is in service.

    :param owner: the owner.
    :param members: the members with a lease.
    :param constraints: the constraints of the service.
    """
    member = members.get(owner) if owner is not None else None
    if member is None or member.service != constraints.service.name or not member.is_target_up:
        return assignment.MoveReason.ORPHANED
    return None if is_eligible(member, constraints) else assignment.MoveReason.LEAVING


def find_reason(
    shard: identity.ShardId,
    owner: identity.NodeId | None,
    members: dict[identity.NodeId, message.Member],
    constraints: Constraints,
) -> assignment.MoveReason | None:
    """Return why a shard can't stay with its owner, or ``None`` when it can.

    :param shard: the shard.
    :param owner: its owner.
    :param members: the members with a lease.
    :param constraints: the constraints of the service.
    """
    reason = find_node_reason(owner, members, constraints)
    if reason is None and owner is not None and not is_allowed(members[owner], shard, constraints):
        return assignment.MoveReason.RULE
    return reason


def find_capacity(
    member: message.Member, service: objects.Service, cold_since_s: float | None, now_s: float
) -> float:
    """Return the load that a member's target can carry at present, in slots.

    In slow start the capacity of a cold target grows linearly from one slot to all of them within
    ``warm_up_s``.

    :param member: the member.
    :param service: its service.
    :param cold_since_s: when the target became cold, or ``None`` when it is not cold.
    :param now_s: the current time.
    """
    slots = float(max(1, member.slots or service.slots))
    if cold_since_s is None:
        return slots
    warm_fraction = (
        min(1.0, (now_s - cold_since_s) / service.warm_up_s) if service.warm_up_s > 0 else 1.0
    )
    return 1.0 + (slots - 1.0) * warm_fraction


def find_parent(
    shard: identity.ShardId, services: dict[identity.ServiceId, objects.Service]
) -> identity.ShardId | None:
    """Return the partition that a key belongs to, or ``None`` for a partition.

    :param shard: the shard.
    :param services: the services of the configuration; one of them is the shard's.
    """
    service, _, key = identity.split_shard(shard)
    if key is None:
        return None
    return identity.name_partition(service, route.find_partition(services[service], key))


def update_loads(
    state: State,
    view: assignment.PlacementView,
    services: dict[identity.ServiceId, objects.Service],
    shards: dict[identity.ServiceId, list[identity.ShardId]],
) -> None:
    """Update the average loads of shards and hot keys, and drop the state of shards that are gone.

    :param state: changed in place.
    :param view: the view.
    :param services: the services of the configuration.
    :param shards: the shards of each keyed service.
    """
    now_s = view.now_s
    is_first = state.observed_s is None
    elapsed_s = 0.0 if state.observed_s is None else max(0.0, now_s - state.observed_s)
    fast_step = 1.0 - math.exp(-elapsed_s / FAST_EWMA_S)
    if not is_first:
        transfer_loads(state, view, services)
    for service, service_shards in shards.items():
        average_loads(state, view, service, service_shards, elapsed_s)
    key_shares = {}
    for key in view.hot_keys.keys() | state.key_shares.keys():
        if key in view.owners or identity.split_shard(key)[0] not in services:
            continue
        share = view.hot_keys.get(key, 0.0)
        old_share = state.key_shares.get(key, share)
        new_share = old_share + fast_step * (share - old_share)
        if key in view.hot_keys or new_share > MIN_KEY_SHARE:
            key_shares[key] = new_share
    state.key_shares = key_shares
    state.key_loads = {
        key: share * state.fast_loads.get(find_parent(key, services) or key, 0.0)
        for key, share in sorted(key_shares.items())
    }
    state.observed_s = now_s
    state.owners = dict(view.owners)
    tables: list[dict[identity.ShardId, typing.Any]] = [
        state.loads,
        state.fast_loads,
        state.load_before_change,
        state.ignore_moved_until_s,
        state.ignore_split_until_s,
        state.changed_until_s,
        state.cool_since_s,
        state.former_owners,
    ]
    for table in tables:
        for shard in [shard for shard in table if shard not in view.owners]:
            del table[shard]
    for shard in [shard for shard in state.hot_since_s if shard not in key_shares]:
        del state.hot_since_s[shard]


def average_loads(
    state: State,
    view: assignment.PlacementView,
    service: identity.ServiceId,
    shards: list[identity.ShardId],
    elapsed_s: float,
) -> None:
    """Update the averages of the loads of a service's shards.

    :param state: changed in place.
    :param view: the view.
    :param service: the service.
    :param shards: its shards.
    :param elapsed_s: the time since the last view.
    """
    now_s = view.now_s
    fast_step = 1.0 - math.exp(-elapsed_s / FAST_EWMA_S)
    slow_step = 1.0 - math.exp(-elapsed_s / SLOW_EWMA_S)
    total_change = 0.0
    for shard in shards:
        owner = view.owners[shard]
        measured = view.loads.get(shard, 0.0)
        slow = state.loads.get(shard)
        if slow is None:
            state.loads[shard] = state.fast_loads[shard] = measured
            continue
        if state.owners.get(shard, owner) != owner and owner is not None:
            state.ignore_moved_until_s[shard] = now_s + IGNORE_LOAD_S
        if owner is None or is_load_ignored(state, shard, now_s):
            continue
        fast = state.fast_loads[shard]
        fast += fast_step * (measured - fast)
        if abs(fast - slow) > CHANGE_THRESHOLD * max(fast, slow):
            state.changed_until_s[shard] = now_s + CHANGE_PERIOD_S
            state.load_before_change.setdefault(shard, slow)
        if state.changed_until_s.get(shard, -math.inf) > now_s:
            total_change += abs(fast - state.load_before_change[shard])
            slow = fast
        else:
            state.load_before_change.pop(shard, None)
            slow += slow_step * (measured - slow)
        state.loads[shard] = slow
        state.fast_loads[shard] = fast
    if total_change > SERVICE_CHANGE_THRESHOLD * sum(state.loads[shard] for shard in shards):
        state.changed_service_until_s[service] = now_s + CHANGE_PERIOD_S
    if state.changed_service_until_s.get(service, -math.inf) > now_s:
        for shard in shards:
            state.loads[shard] = state.fast_loads[shard]


def is_load_ignored(state: State, shard: identity.ShardId, now_s: float) -> bool:
    """Return whether the reported load of a shard covers too short a time to be used.

    :param state: the state.
    :param shard: the shard.
    :param now_s: the current time.
    """
    until_s = state.ignore_moved_until_s.get(shard, -math.inf)
    return max(until_s, state.ignore_split_until_s.get(shard, -math.inf)) > now_s


def transfer_loads(
    state: State,
    view: assignment.PlacementView,
    services: dict[identity.ServiceId, objects.Service],
) -> None:
    """Transfer average load between keys and partitions that were split or merged since last time.

    :param state: changed in place.
    :param view: the view.
    :param services: the services of the configuration.
    """
    for shard in sorted(view.owners.keys() ^ state.owners.keys()):
        parent = (
            find_parent(shard, services) if identity.split_shard(shard)[0] in services else None
        )
        if parent is None or parent not in state.loads:
            continue
        if shard in view.owners:
            moved_load = min(state.key_loads.get(shard, 0.0), state.fast_loads[parent])
            state.loads[shard] = state.fast_loads[shard] = moved_load
        else:
            moved_load = -state.loads.get(shard, 0.0)
        state.fast_loads[parent] -= moved_load
        state.loads[parent] = state.fast_loads[parent]
        state.ignore_split_until_s[parent] = state.ignore_split_until_s[shard] = (
            view.now_s + IGNORE_LOAD_S
        )


def update_members(
    state: State, view: assignment.PlacementView, all_constraints: list[Constraints]
) -> None:
    """Record since when members are eligible, and since when their targets are cold.

    Members of the first view count as eligible for ``MIN_ELIGIBLE_S`` already.

    :param state: changed in place.
    :param view: the view.
    :param all_constraints: the constraints of the keyed services.
    """
    now_s = view.now_s
    since_s = now_s - MIN_ELIGIBLE_S if state.observed_s is None else now_s
    eligible = {
        node
        for constraints in all_constraints
        for node, member in view.members.items()
        if is_eligible(member, constraints)
    }
    cold = {node for node in eligible if view.members[node].is_cold}
    if state.observed_s is not None:
        state.underfilled |= eligible - state.eligible_since_s.keys()
    state.underfilled = (state.underfilled | cold) & eligible
    state.eligible_since_s = {node: state.eligible_since_s.get(node, since_s) for node in eligible}
    state.cold_since_s = {node: state.cold_since_s.get(node, now_s) for node in cold}


def build_layout(
    constraints: Constraints,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
) -> Layout:
    """Build the layout of a service's shards with their present owners.

    :param constraints: the constraints of the service.
    :param view: the view.
    :param state: the state, after :func:`update_loads`.
    :param shards: the shards of the service.
    """
    members = {
        node: member
        for node, member in sorted(view.members.items())
        if is_eligible(member, constraints)
    }
    cold_since_s = state.cold_since_s
    capacity = {
        node: find_capacity(member, constraints.service, cold_since_s.get(node), view.now_s)
        for node, member in members.items()
    }
    slots = sum(member.slots or constraints.service.slots for member in members.values())
    idle_load = IDLE_UTILISATION * slots / max(1, len(shards))
    prefix = identity.name_key(constraints.service.name, identity.KeyId(""))
    layout = Layout(
        constraints=constraints,
        members=members,
        capacity=capacity,
        cold=frozenset(node for node in members if node in cold_since_s),
        loads={shard: state.loads[shard] + idle_load for shard in shards},
        key_shards=[shard for shard in shards if shard.startswith(prefix)],
        owners={},
        shards_by_node={node: set() for node in members},
        node_loads=dict.fromkeys(members, 0.0),
        zone_loads={member.zone: 0.0 for member in members.values()},
        zone_capacity={member.zone: 0.0 for member in members.values()},
    )
    for node, member in members.items():
        layout.zone_capacity[member.zone] += capacity[node]
    for shard in shards:
        owner = view.owners[shard]
        if owner is not None:
            assign(layout, shard, owner)
    return layout


def assign(layout: Layout, shard: identity.ShardId, node: identity.NodeId) -> None:
    """Make a node the owner of a shard and update the sums of the layout.

    :param layout: changed in place.
    :param shard: the shard.
    :param node: its next owner.
    """
    load = layout.loads[shard]
    source = layout.owners.get(shard)
    for holder, change in ((source, -load), (node, load)):
        if holder in layout.members:
            layout.node_loads[holder] += change
            layout.zone_loads[layout.members[holder].zone] += change
    if source in layout.members:
        layout.shards_by_node[source].discard(shard)
    if node in layout.members:
        layout.shards_by_node[node].add(shard)
    layout.owners[shard] = node


def score_node(layout: Layout, node: identity.NodeId, load: float) -> float:
    """Return the weighted utilisation of a node and its zone with more load; lower is better.

    :param layout: the layout.
    :param node: a member in the layout.
    :param load: the load to add, in busy slots.
    """
    zone = layout.members[node].zone
    return (layout.node_loads[node] + load) / layout.capacity[node] + ZONE_WEIGHT * (
        layout.zone_loads[zone] + load
    ) / layout.zone_capacity[zone]


def choose_receiver(layout: Layout, shard: identity.ShardId) -> identity.NodeId | None:
    """Return the allowed node with the lowest score, or ``None`` when no node may own the shard.

    :param layout: the layout.
    :param shard: the shard.
    """
    allowed = [
        node
        for node, member in layout.members.items()
        if is_allowed(member, shard, layout.constraints)
    ]
    load = layout.loads[shard]
    return min(allowed, key=lambda node: (score_node(layout, node, load), node), default=None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FairShare:
    """The load that each node of a service should carry.

    ``utilisation`` is the load per slot of capacity in an even distribution. ``min_loads`` is the
    load that a node can't fall below: that of its heaviest shard, or for a cold node its whole
    present load, because a cold target alone is no reason to move shards.
    """

    utilisation: float
    min_loads: dict[identity.NodeId, float]


def find_fair_share(layout: Layout) -> FairShare:
    """Compute the fair share of the nodes that may own partitions.

    A node whose minimum load exceeds the even load keeps the minimum; the others share the rest.

    :param layout: the layout.
    """
    zones = layout.constraints.zones
    nodes = [
        node for node, member in layout.members.items() if zones is None or member.zone in zones
    ]
    min_loads = {
        node: (
            layout.node_loads[node]
            if node in layout.cold
            else max((layout.loads[shard] for shard in layout.shards_by_node[node]), default=0.0)
        )
        for node in nodes
    }
    total = sum(layout.node_loads[node] for node in nodes)
    utilisation = 0.0
    at_min_load: set[identity.NodeId] = set()
    while len(at_min_load) < len(nodes):
        rest = total - sum(min_loads[node] for node in at_min_load)
        utilisation = rest / sum(layout.capacity[node] for node in nodes if node not in at_min_load)
        above = {
            node
            for node in nodes
            if node not in at_min_load and min_loads[node] > utilisation * layout.capacity[node]
        }
        if not above:
            break
        at_min_load |= above
    return FairShare(utilisation=utilisation, min_loads=min_loads)


def find_gap(layout: Layout, share: FairShare, node: identity.NodeId) -> float:
    """Return how far a node is above (positive) or below its fair share, as a fraction of it.

    :param layout: the layout.
    :param share: from :func:`find_fair_share`.
    :param node: a node that the share covers.
    """
    fair_load = share.utilisation * layout.capacity[node]
    load = layout.node_loads[node]
    goal = fair_load if load < fair_load else max(fair_load, share.min_loads[node])
    return (load - goal) / fair_load if fair_load > 0.0 else 0.0


def pick_move(
    layout: Layout,
    state: State,
    share: FairShare,
    receivers: list[identity.NodeId],
    fixed: collections.abc.Container[identity.ShardId],
    min_gap: float,
) -> tuple[identity.ShardId, identity.NodeId] | None:
    """Return the next shard to move to balance the load and its receiver, or ``None``.

    Tries the most overloaded donor and the least utilised receiver first.

    :param layout: the layout.
    :param state: the state.
    :param share: from :func:`find_fair_share`.
    :param receivers: the nodes that may receive shards.
    :param fixed: shards that must not move now.
    :param min_gap: the minimum difference between the gaps of donor and receiver, in fair shares.
    """
    gaps = {node: find_gap(layout, share, node) for node in share.min_loads}
    donors = sorted((node for node in gaps if gaps[node] > 0.0), key=lambda n: (-gaps[n], n))
    candidates = sorted(
        (node for node in receivers if gaps[node] < 0.0),
        key=lambda node: (score_node(layout, node, 0.0), node),
    )
    for donor in donors:
        movable = sorted(
            (shard for shard in layout.shards_by_node[donor] if shard not in fixed),
            key=lambda shard: (-layout.loads[shard], shard),
        )
        for receiver in candidates:
            if gaps[donor] - gaps[receiver] < min_gap:
                continue
            shard = pick_shard(layout, state, share, movable, donor, receiver)
            if shard is not None:
                return shard, receiver
    return None


def pick_shard(
    layout: Layout,
    state: State,
    share: FairShare,
    movable: list[identity.ShardId],
    donor: identity.NodeId,
    receiver: identity.NodeId,
) -> identity.ShardId | None:
    """Return the shard to move from one node to another, or ``None`` when no shard helps.

    The shard whose load is closest to the load to be moved needs the fewest moves. Shards that the
    receiver lost earlier come first, up to its fair number of shards, so that the return of a node
    restores the assignment before its loss.

    :param layout: the layout.
    :param state: the state.
    :param share: from :func:`find_fair_share`.
    :param movable: the shards of the donor that may move, heaviest first.
    :param donor: the present owner.
    :param receiver: the next owner.
    """
    utilisation, loads, capacity = share.utilisation, layout.node_loads, layout.capacity
    surplus = loads[donor] - max(utilisation * capacity[donor], share.min_loads[donor])
    transferable = min(surplus, utilisation * capacity[receiver] - loads[receiver])
    max_utilisation = loads[donor] / capacity[donor] - MIN_GAIN * utilisation
    member = layout.members[receiver]
    fair_count = len(layout.loads) * capacity[receiver] / sum(capacity.values())
    may_take_back = len(layout.shards_by_node[receiver]) + 1 <= fair_count
    best: identity.ShardId | None = None
    for shard in movable:
        load = layout.loads[shard]
        if (loads[receiver] + load) / capacity[receiver] > max_utilisation:
            continue
        if not is_allowed(member, shard, layout.constraints):
            continue
        if may_take_back and load <= transferable and state.former_owners.get(shard) == receiver:
            return shard
        if best is None or abs(load - transferable) < abs(layout.loads[best] - transferable):
            best = shard
    if best is not None and layout.loads[best] < MIN_MOVE_FRACTION * transferable:
        return None
    return best


def plan_forced(
    layout: Layout,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
    planned: dict[identity.ShardId, assignment.Move],
) -> bool:
    """Plan the moves of shards that can't stay with their owner; return whether any can move.

    Orphaned shards all move at once. Each node that must give up shards for another reason gives up
    at most ``DRAIN_MOVES_PER_ROUND`` at a time.

    :param layout: changed in place.
    :param view: the view.
    :param state: changed in place.
    :param shards: the shards of the service.
    :param planned: the moves planned so far; changed in place.
    """
    is_forced = False
    constraints = layout.constraints
    reasons = {
        owner: find_node_reason(owner, view.members, constraints)
        for owner in {view.owners[shard] for shard in shards}
    }
    forced = []
    for shard in shards:
        owner = view.owners[shard]
        reason = reasons[owner]
        if reason is None and owner is not None:
            # Most services have no rules; skipping them keeps a round short.
            if constraints.zones is None and shard not in constraints.key_zones:
                continue
            if not is_allowed(view.members[owner], shard, constraints):
                reason = assignment.MoveReason.RULE
        if reason is not None:
            forced.append((shard, reason))
    in_flight: dict[identity.NodeId, int] = {}
    for move in planned.values():
        if move.source is not None and move.reason is not assignment.MoveReason.ORPHANED:
            in_flight[move.source] = in_flight.get(move.source, 0) + 1
    for shard, reason in sorted(forced, key=lambda entry: (-layout.loads[entry[0]], entry[0])):
        if shard in planned:
            is_forced = True
            continue
        owner = view.owners[shard]
        receiver = choose_receiver(layout, shard)
        if receiver is None:
            continue
        is_forced = True
        if reason is not assignment.MoveReason.ORPHANED and owner is not None:
            if in_flight.get(owner, 0) >= DRAIN_MOVES_PER_ROUND:
                continue
            in_flight[owner] = in_flight.get(owner, 0) + 1
            state.former_owners[shard] = owner
        assign(layout, shard, receiver)
        planned[shard] = assignment.Move(shard=shard, source=owner, target=receiver, reason=reason)
    return is_forced


def plan_keys(
    layout: Layout,
    view: assignment.PlacementView,
    state: State,
    planned: dict[identity.ShardId, assignment.Move],
) -> tuple[list[identity.ShardId], list[identity.ShardId]]:
    """Return the keys to split off and those to merge, and plan the moves that merges need.

    A key can be merged once its owner also owns its partition.

    :param layout: changed in place.
    :param view: the view.
    :param state: changed in place.
    :param planned: the moves planned so far; changed in place.
    """
    now_s = view.now_s
    services = {layout.constraints.service.name: layout.constraints.service}
    named_keys = layout.constraints.key_zones.keys()
    fair_load = sum(layout.loads.values()) / max(1, len(layout.members))
    split: list[identity.ShardId] = []
    merge: list[identity.ShardId] = []
    merging = sum(move.reason is assignment.MoveReason.HOT_KEY for move in planned.values())
    service_keys = [key for key in state.key_loads if identity.split_shard(key)[0] in services]
    hot_keys = [key for key in service_keys if state.key_loads[key] > SPLIT_SHARE * fair_load]
    for key in service_keys:
        if key not in hot_keys:
            state.hot_since_s.pop(key, None)
    since_s = {key: state.hot_since_s.setdefault(key, now_s) for key in hot_keys}
    persistent = [key for key in hot_keys if now_s - since_s[key] >= SPLIT_AFTER_S]
    persistent.sort(key=lambda key: (-state.key_loads[key], key))
    missing_keys = sorted(key for key in named_keys if key not in view.owners)
    for key in missing_keys + [
        key for key in persistent[:KEYS_PER_ROUND] if key not in missing_keys
    ]:
        parent = find_parent(key, services)
        if parent in layout.owners and parent not in planned:
            split.append(key)
    for key in layout.key_shards:
        if key in named_keys or layout.loads[key] > MERGE_SHARE * fair_load:
            state.cool_since_s.pop(key, None)
            continue
        if now_s - state.cool_since_s.setdefault(key, now_s) < MERGE_AFTER_S or key in planned:
            continue
        parent = find_parent(key, services)
        parent_owner = layout.owners.get(parent) if parent is not None else None
        if parent_owner not in layout.members or parent in planned or merging >= KEYS_PER_ROUND:
            continue
        merging += 1
        if layout.owners.get(key) == parent_owner:
            merge.append(key)
        elif key in layout.owners:
            planned[key] = assignment.Move(
                shard=key,
                source=layout.owners[key],
                target=parent_owner,
                reason=assignment.MoveReason.HOT_KEY,
            )
            assign(layout, key, parent_owner)
    return split, merge


def plan_rebalance(
    layout: Layout,
    state: State,
    now_s: float,
    planned: dict[identity.ShardId, assignment.Move],
) -> None:
    """Plan moves that balance the load, from the queue of the last decision or from a new one.

    :param layout: changed in place.
    :param state: changed in place.
    :param now_s: the current time.
    :param planned: the moves planned so far; changed in place.
    """
    service = layout.constraints.service.name
    fixed = set(planned)
    fixed |= {shard for shard, until_s in state.ignore_moved_until_s.items() if until_s > now_s}
    queue = [
        move
        for move in state.move_queues.get(service, [])
        if layout.owners.get(move.shard) == move.source
        and move.shard not in fixed
        and move.target in layout.members
        and is_allowed(layout.members[move.target], move.shard, layout.constraints)
    ]
    if not queue:
        queue = queue_moves(layout, state, now_s, fixed)
    budget = MOVES_PER_ROUND - len(planned)
    if budget > 0 and now_s - state.rebalanced_s.get(service, -math.inf) >= ROUND_INTERVAL_S:
        for move in queue[:budget]:
            planned[move.shard] = move
            state.rebalanced_s[service] = now_s
        queue = queue[budget:]
    state.move_queues[service] = queue


def queue_moves(
    layout: Layout,
    state: State,
    now_s: float,
    fixed: set[identity.ShardId],
) -> list[assignment.Move]:
    """Return the moves that balance the load; none if it is balanced or became imbalanced recently.

    :param layout: changed in place; the moves are applied to it.
    :param state: changed in place.
    :param now_s: the current time.
    :param fixed: shards that must not move now; changed in place.
    """
    service = layout.constraints.service.name
    # Splitting off a hot key takes fewer moves than moving other shards away from it.
    is_splitting = any(identity.split_shard(key)[0] == service for key in state.hot_since_s)
    queue: list[assignment.Move] = []
    share = find_fair_share(layout)
    receivers = [n for n in share.min_loads if now_s - state.eligible_since_s[n] >= MIN_ELIGIBLE_S]
    below_share = [n for n in receivers if find_gap(layout, share, n) < -FILL_GAP]
    state.underfilled -= set(receivers) - set(below_share) - layout.cold
    below_share = [node for node in below_share if node in state.underfilled]
    min_gap = START_GAP
    if below_share and find_largest_gap(layout, share, receivers) <= START_GAP:
        receivers, min_gap = below_share, FILL_GAP
    while len(queue) < MAX_QUEUED_MOVES:
        gap = find_largest_gap(layout, share, receivers)
        if gap <= min_gap:
            break
        pick = pick_move(layout, state, share, receivers, fixed, min_gap)
        if pick is None:
            break
        # The gap of a node that returned or was cold is not noise and need not be observed as long.
        effective_gap = LARGE_GAP if min_gap == FILL_GAP else gap
        if not queue and (
            is_imbalance_recent(state, service, effective_gap, now_s) or is_splitting
        ):
            return []
        min_gap = STOP_GAP
        shard, receiver = pick
        is_key = identity.split_shard(shard)[2] is not None
        reason = assignment.MoveReason.HOT_KEY if is_key else assignment.MoveReason.REBALANCE
        donor = layout.owners[shard]
        queue.append(assignment.Move(shard=shard, source=donor, target=receiver, reason=reason))
        assign(layout, shard, receiver)
        fixed.add(shard)
        share = find_fair_share(layout)
    state.imbalanced_since_s.pop(service, None)
    state.large_gap_since_s.pop(service, None)
    return queue


def find_largest_gap(layout: Layout, share: FairShare, receivers: list[identity.NodeId]) -> float:
    """Return the largest gap: above the fair share for any node, below it only for receivers.

    :param layout: the layout.
    :param share: from :func:`find_fair_share`.
    :param receivers: the nodes that may receive shards.
    """
    above = [find_gap(layout, share, node) for node in share.min_loads]
    below = [-find_gap(layout, share, node) for node in receivers]
    return max(above + below, default=0.0)


def is_imbalance_recent(
    state: State, service: identity.ServiceId, gap: float, now_s: float
) -> bool:
    """Return whether an imbalance has not lasted long enough to move shards.

    :param state: changed in place.
    :param service: the service.
    :param gap: the largest gap, above ``START_GAP``.
    :param now_s: the current time.
    """
    if gap < LARGE_GAP:
        state.large_gap_since_s.pop(service, None)
    elif now_s - state.large_gap_since_s.setdefault(service, now_s) >= LARGE_GAP_S:
        return False
    return now_s - state.imbalanced_since_s.setdefault(service, now_s) < SMALL_GAP_S


def repeat_pending(
    layout: Layout,
    view: assignment.PlacementView,
    state: State,
    planned: dict[identity.ShardId, assignment.Move],
) -> None:
    """Repeat earlier moves that are not visible yet, have not timed out and are still valid.

    :param layout: changed in place.
    :param view: the view.
    :param state: the state.
    :param planned: the moves planned so far; changed in place.
    """
    for shard, pending in state.pending.items():
        if shard not in layout.loads:
            continue
        move = pending.move
        reason = find_reason(shard, view.owners[shard], view.members, layout.constraints)
        is_voluntary = move.reason in (
            assignment.MoveReason.REBALANCE,
            assignment.MoveReason.HOT_KEY,
        )
        receiver = layout.members.get(move.target)
        if (
            view.owners[shard] == move.source
            and reason is (None if is_voluntary else move.reason)
            and receiver is not None
            and is_allowed(receiver, shard, layout.constraints)
            and view.now_s - pending.planned_s < PENDING_TIMEOUT_S
        ):
            assign(layout, shard, move.target)
            planned[shard] = move


def plan_service(
    constraints: Constraints,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
) -> assignment.Plan:
    """Plan the changes for one service.

    :param constraints: the constraints of the service.
    :param view: the view.
    :param state: changed in place.
    :param shards: the shards of the service, sorted.
    """
    layout = build_layout(constraints, view, state, shards)
    planned: dict[identity.ShardId, assignment.Move] = {}
    repeat_pending(layout, view, state, planned)
    forced = plan_forced(layout, view, state, shards, planned)
    split, merge = plan_keys(layout, view, state, planned)
    if forced:
        state.imbalanced_since_s.pop(constraints.service.name, None)
        state.large_gap_since_s.pop(constraints.service.name, None)
        state.move_queues.pop(constraints.service.name, None)
    else:
        plan_rebalance(layout, state, view.now_s, planned)
    return assignment.Plan(split=split, merge=merge, moves=list(planned.values()))


def build_place(snapshot: route.Snapshot, state: State) -> assignment.PlaceShards:
    """Return the placement function for a configuration.

    :param snapshot: the configuration.
    :param state: changed at each call; the caller keeps it when the configuration changes.
    """
    all_constraints = [
        build_constraints(snapshot, service)
        for _, service in sorted(snapshot.services.items())
        if service.is_keyed
    ]
    services = {constraints.service.name: constraints.service for constraints in all_constraints}
    shards: dict[identity.ServiceId, list[identity.ShardId]] = {}
    known_shards: set[identity.ShardId] = set()

    def place(view: assignment.PlacementView) -> assignment.Plan:
        # The set of shards rarely changes; sorting it at each call would take a third of a round.
        if known_shards != view.owners.keys():
            known_shards.clear()
            known_shards.update(view.owners)
            shards.update({name: [] for name in services})
            for shard in sorted(known_shards):
                service, _, _ = identity.split_shard(shard)
                if service in shards:
                    shards[service].append(shard)
        record_losses(state, view)
        update_members(state, view, all_constraints)
        update_loads(state, view, services, shards)
        plans = [
            plan_service(constraints, view, state, shards[constraints.service.name])
            for constraints in all_constraints
        ]
        plan = assignment.Plan(
            split=[key for service_plan in plans for key in service_plan.split],
            merge=[key for service_plan in plans for key in service_plan.merge],
            moves=[move for service_plan in plans for move in service_plan.moves],
        )
        state.pending = {
            move.shard: PendingMove(move=move, planned_s=find_planned_s(state, move, view.now_s))
            for move in plan.moves
        }
        return plan

    return place


def find_planned_s(state: State, move: assignment.Move, now_s: float) -> float:
    """Return when a move was first planned.

    :param state: the state before this round's moves are recorded.
    :param move: the move.
    :param now_s: the current time.
    """
    pending = state.pending.get(move.shard)
    return pending.planned_s if pending is not None and pending.move == move else now_s


def record_losses(state: State, view: assignment.PlacementView) -> None:
    """Record the last owner of shards whose owner failed, and forget it when the shard is back.

    :param state: changed in place.
    :param view: the view.
    """
    for shard, owner in view.owners.items():
        before = state.owners.get(shard)
        member = view.members.get(before) if before is not None else None
        if before is not None and (member is None or not member.is_target_up):
            state.former_owners[shard] = before
        elif owner != before and state.former_owners.get(shard) == owner:
            state.former_owners.pop(shard, None)


def explain(move: assignment.Move, view: assignment.PlacementView) -> str:
    """Return a log sentence that states why a shard moves.

    :param move: a move planned for the view.
    :param view: the view.
    """
    loads: dict[identity.NodeId, float] = {}
    service, _, key = identity.split_shard(move.shard)
    for shard, owner in view.owners.items():
        if owner is not None and identity.split_shard(shard)[0] == service:
            loads[owner] = loads.get(owner, 0.0) + view.loads.get(shard, 0.0)
    subject = f"key {key} of {service}" if key is not None else f"partition {move.shard}"
    shard_load = view.loads.get(move.shard, 0.0)
    source = move.source
    if source is None:
        cause = "it has no owner"
    elif source not in view.members:
        cause = f"its owner {source} is no longer a member"
    elif move.reason is assignment.MoveReason.ORPHANED:
        cause = f"the target at its owner {source} is down"
    elif move.reason is assignment.MoveReason.LEAVING:
        cause = f"{source} is being taken out of service"
    elif move.reason is assignment.MoveReason.RULE:
        cause = f"the assignment rules do not allow it in zone {view.members[source].zone}"
    else:
        cause = (
            f"{source} carries {loads.get(source, 0.0):.2f} busy slots and "
            f"{move.target} {loads.get(move.target, 0.0):.2f}"
        )
    return f"{subject} ({shard_load:.2f} busy slots) moves to {move.target} because {cause}"
