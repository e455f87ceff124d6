"""Decides which node owns which shard, moving as few shards as possible.

A plan states everything that is still to be done for a view. Moves that were planned before and
are not yet visible in the view are repeated with the same target, so a caller that lost a plan gets
it again and a caller with a move in flight ignores the repetition.
"""

import collections.abc
import dataclasses
import math
import typing

from ebonyvalve.process import assignment, identity, message
from ebonyvalve.version import objects, route

# Time constants of the averages over reported loads. The slow one counts; it reduces noise that
# lasts 3 s to a third. Once the fast one differs from it by half, the shard's load has changed, and
# the fast one counts for CHANGED_S, in which it sees 96% of a change that has passed the 3 s of the
# owners' accounting.
FAST_S = 3.0
SLOW_S = 30.0
CHANGED_PART = 0.5
CHANGED_S = 15.0
# The same for all shards of a service once their recent changes sum up to this part of its load. A
# change of the hottest 61 of 100 000 Zipf keys gives 0.78.
CHANGED_SUM = 0.25
# A node this far from its share starts a rebalance, which then goes on to the lower figure. The
# bound on imbalance is 1.25; starting at 1.20 leaves room for the error of the averages.
START_GAP = 0.20
STOP_GAP = 0.04
# A node that came back or was cold is filled until it lacks less than this.
FILL_GAP = 0.10
# A move must leave its target at least this far (in shares) below where its source was. It makes
# each move an improvement, so that a series of moves under constant load ends.
MIN_GAIN = 0.02
# How long a gap must last before shards move; a shorter burst moves nothing. A gap below LARGE_GAP
# keeps to the bound, so it can be watched for longer.
LARGE_GAP = 0.25
LARGE_GAP_S = 3.0
SMALL_GAP_S = 10.0
# A node must have been eligible this long before shards move to it without need, so that a node
# that fails repeatedly costs only the moves of its losses.
RETURN_S = 5.0
# A shard lighter than this part of the difference is not worth a handover.
LEAST_PART = 0.02
# Shards per round to even out the load, per service, and the time between rounds. Requests for a
# shard wait while it is handed over: at 8 of 256 shards about 3% of the keys wait at once, and a
# fair share of 43 shards is restored in 6 s.
STEP_MOVES = 8
# Moves decided on at once, which STEP_MOVES then limits. Deciding on all moves at the start keeps
# noise from prolonging a rebalance.
QUEUE_MOVES = 64
STEP_S = 1.0
# Shards per round from one node that must be emptied. The coordinator plans once a second; three
# rounds move 72 shards, well above a fair share of 43, within the 3 s after which a drained zone
# gets no new work.
DRAIN_MOVES = 24
# A key is split off above the first share of a target's fair load and merged below the second.
# Smaller keys are balanced well enough by moving their partitions.
SPLIT_SHARE = 0.20
MERGE_SHARE = 0.08
SPLIT_S = 2.0
MERGE_S = 30.0
# Keys split off, and keys merged or on their way to it, per service and round; each is a commit.
STEP_KEYS = 4
# After a shard changed owner, the new owner's account of its load is too short to be used.
HOLD_S = 2.0
# A key that is no longer reported is forgotten once its average share has fallen below this.
LEAST_KEY_SHARE = 0.01
# A planned move that is not visible after this time is decided anew.
PENDING_S = 10.0
# Utilisation that every node is taken to have besides the measured load, spread over its shards.
# It makes idle services balance by number of shards instead of by noise.
IDLE_UTILISATION = 0.01
# Weight of the zone's utilisation, relative to the node's, in the choice of a target.
ZONE_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pending:
    """A move that was planned and is not yet visible."""

    move: assignment.Move
    planned_s: float


@dataclasses.dataclass(kw_only=True)
class State:
    """What placement remembers from one round to the next. It may start empty at any time."""

    # Averages of the loads of shards: the one that counts, and the fast one.
    loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    fast_loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    changed_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # The loads of changed shards before the change.
    changed_from: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    changed_service_until_s: dict[identity.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    # For hot keys that are part of their partition: the average share of its load, and the load.
    key_shares: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    key_loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    measured_s: float | None = None
    owners: dict[identity.ShardId, identity.NodeId | None] = dataclasses.field(default_factory=dict)
    # Until when the reported load of a shard is not used: after a move, and after a split or merge.
    held_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    divided_until_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # The node that last lost a shard by failure or drain; a node that returns gets these first.
    former: dict[identity.ShardId, identity.NodeId] = dataclasses.field(default_factory=dict)
    eligible_since_s: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    cold_since_s: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    # Nodes that came back or were cold and have not had their share since.
    filling: set[identity.NodeId] = dataclasses.field(default_factory=set)
    uneven_since_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    large_since_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    # Moves that even out the load, decided on and not yet planned.
    queues: dict[identity.ServiceId, list[assignment.Move]] = dataclasses.field(
        default_factory=dict
    )
    moved_s: dict[identity.ServiceId, float] = dataclasses.field(default_factory=dict)
    hot_since_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    cool_since_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    pending: dict[identity.ShardId, Pending] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Constraints:
    """Where the shards of one service may be: zones for its partitions, and for named keys."""

    service: objects.Service
    # ``None`` allows every zone.
    zones: frozenset[identity.ZoneId] | None
    key_zones: dict[identity.ShardId, frozenset[identity.ZoneId] | None]
    drained_zones: frozenset[identity.ZoneId]
    drained_nodes: frozenset[identity.NodeId]


@dataclasses.dataclass(kw_only=True)
class Board:
    """The shards of one service as they will be once the moves planned so far are done."""

    limits: Constraints
    # Members that may own shards, and the load in slots that each can take.
    members: dict[identity.NodeId, message.Member]
    capacity: dict[identity.NodeId, float]
    cold: frozenset[identity.NodeId]
    weights: dict[identity.ShardId, float]
    # The shards that are single keys.
    apart: list[identity.ShardId]
    owners: dict[identity.ShardId, identity.NodeId]
    held: dict[identity.NodeId, set[identity.ShardId]]
    node_weight: dict[identity.NodeId, float]
    zone_weight: dict[identity.ZoneId, float]
    zone_capacity: dict[identity.ZoneId, float]


def build_constraints(snapshot: route.Snapshot, service: objects.Service) -> Constraints:
    """Collect the rules and drain orders that concern a service.

    A rule that names a key replaces the rules of the service for that key. Several rules of the
    same scope all apply.

    :param snapshot: the configuration.
    :param service: one of its services.
    """
    rules = [rule for rule in snapshot.rules.values() if rule.service == service.name]
    named = {key.name: key for key in snapshot.keys.values() if key.service == service.name}
    general = intersect(rule.zones for rule in rules if not rule.keys)
    key_zones = {}
    for name, key in named.items():
        own = intersect(rule.zones for rule in rules if name in rule.keys)
        key_zones[identity.name_key(service.name, key.key)] = general if own is None else own
    drains = snapshot.drains.values()
    return Constraints(
        service=service,
        zones=general,
        key_zones=key_zones,
        drained_zones=frozenset(drain.zone for drain in drains if drain.zone is not None),
        drained_nodes=frozenset(node for drain in drains for node in drain.nodes),
    )


def intersect(
    zone_lists: collections.abc.Iterable[list[identity.ZoneId]],
) -> frozenset[identity.ZoneId] | None:
    """Return the zones in all lists, or ``None`` when there is no list.

    :param zone_lists: zones that single rules allow.
    """
    sets = [frozenset(zones) for zones in zone_lists]
    return frozenset.intersection(*sets) if sets else None


def is_eligible(member: message.Member, constraints: Constraints) -> bool:
    """Say whether a member may get shards of a service at all.

    :param member: the member.
    :param limits: the limits of the service.
    """
    return (
        member.service == constraints.service.name
        and member.is_target_up
        and not member.is_leaving
        and member.zone not in constraints.drained_zones
        and member.node not in constraints.drained_nodes
    )


def is_allowed(member: message.Member, shard: identity.ShardId, constraints: Constraints) -> bool:
    """Say whether the assignment rules allow a shard in a member's zone.

    :param member: the member.
    :param shard: the shard.
    :param limits: the limits of the service.
    """
    zones = constraints.key_zones.get(shard, constraints.zones)
    return zones is None or member.zone in zones


def find_node_reason(
    owner: identity.NodeId | None,
    members: dict[identity.NodeId, message.Member],
    limits: Constraints,
) -> assignment.MoveReason | None:
    """Return why no shard can stay with an owner, or ``None`` when the owner is in service.

    :param owner: the owner.
    :param members: the members with a lease.
    :param limits: the limits of the service.
    """
    member = members.get(owner) if owner is not None else None
    if member is None or member.service != limits.service.name or not member.is_target_up:
        return assignment.MoveReason.ORPHANED
    return None if is_eligible(member, limits) else assignment.MoveReason.LEAVING


def find_reason(
    shard: identity.ShardId,
    owner: identity.NodeId | None,
    members: dict[identity.NodeId, message.Member],
    limits: Constraints,
) -> assignment.MoveReason | None:
    """Return why a shard can't stay with its owner, or ``None`` when it can.

    :param shard: the shard.
    :param owner: its owner.
    :param members: the members with a lease.
    :param limits: the limits of the service.
    """
    reason = find_node_reason(owner, members, limits)
    if reason is None and owner is not None and not is_allowed(members[owner], shard, limits):
        return assignment.MoveReason.RULE
    return reason


def find_capacity(
    member: message.Member, service: objects.Service, cold_since_s: float | None, now_s: float
) -> float:
    """Return the load in slots that a member's target can take at present.

    Slow start lets a cold target take one slot at first and all of them after ``warm_up_s``.

    :param member: the member.
    :param service: its service.
    :param cold_since_s: since when the target is cold, or ``None``.
    :param now_s: the time.
    """
    slots = float(max(1, member.slots or service.slots))
    if cold_since_s is None:
        return slots
    warmth = min(1.0, (now_s - cold_since_s) / service.warm_up_s) if service.warm_up_s > 0 else 1.0
    return 1.0 + (slots - 1.0) * warmth


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


def observe(
    state: State,
    view: assignment.PlacementView,
    services: dict[identity.ServiceId, objects.Service],
    shards: dict[identity.ServiceId, list[identity.ShardId]],
) -> None:
    """Take a view into the smoothed loads and the times that hysteresis needs.

    :param state: changed in place.
    :param view: the view.
    :param services: the services of the configuration.
    :param shards: the shards of each keyed service.
    """
    now_s = view.now_s
    first = state.measured_s is None
    elapsed_s = 0.0 if state.measured_s is None else max(0.0, now_s - state.measured_s)
    fast_step = 1.0 - math.exp(-elapsed_s / FAST_S)
    if not first:
        transfer_loads(state, view, services)
    for service, listed in shards.items():
        average_loads(state, view, service, listed, elapsed_s)
    key_shares = {}
    for key in view.hot_keys.keys() | state.key_shares.keys():
        if key in view.owners or identity.split_shard(key)[0] not in services:
            continue
        share = view.hot_keys.get(key, 0.0)
        old = state.key_shares.get(key, share)
        value = old + fast_step * (share - old)
        if key in view.hot_keys or value > LEAST_KEY_SHARE:
            key_shares[key] = value
    state.key_shares = key_shares
    state.key_loads = {
        key: share * state.fast_loads.get(find_parent(key, services) or key, 0.0)
        for key, share in sorted(key_shares.items())
    }
    state.measured_s = now_s
    state.owners = dict(view.owners)
    tables: list[dict[identity.ShardId, typing.Any]] = [
        state.loads,
        state.fast_loads,
        state.changed_from,
        state.held_until_s,
        state.divided_until_s,
        state.changed_until_s,
        state.cool_since_s,
        state.former,
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
    fast_step = 1.0 - math.exp(-elapsed_s / FAST_S)
    slow_step = 1.0 - math.exp(-elapsed_s / SLOW_S)
    changed = 0.0
    for shard in shards:
        owner = view.owners[shard]
        measured = view.loads.get(shard, 0.0)
        slow = state.loads.get(shard)
        if slow is None:
            state.loads[shard] = state.fast_loads[shard] = measured
            continue
        if state.owners.get(shard, owner) != owner and owner is not None:
            state.held_until_s[shard] = now_s + HOLD_S
        if owner is None or is_held(state, shard, now_s):
            continue
        fast = state.fast_loads[shard]
        fast += fast_step * (measured - fast)
        if abs(fast - slow) > CHANGED_PART * max(fast, slow):
            state.changed_until_s[shard] = now_s + CHANGED_S
            state.changed_from.setdefault(shard, slow)
        if state.changed_until_s.get(shard, -math.inf) > now_s:
            changed += abs(fast - state.changed_from[shard])
            slow = fast
        else:
            state.changed_from.pop(shard, None)
            slow += slow_step * (measured - slow)
        state.loads[shard] = slow
        state.fast_loads[shard] = fast
    if changed > CHANGED_SUM * sum(state.loads[shard] for shard in shards):
        state.changed_service_until_s[service] = now_s + CHANGED_S
    if state.changed_service_until_s.get(service, -math.inf) > now_s:
        for shard in shards:
            state.loads[shard] = state.fast_loads[shard]


def is_held(state: State, shard: identity.ShardId, now_s: float) -> bool:
    """Say whether the reported load of a shard is too young to be used.

    :param state: the state.
    :param shard: the shard.
    :param now_s: the time.
    """
    held_s = state.held_until_s.get(shard, -math.inf)
    return max(held_s, state.divided_until_s.get(shard, -math.inf)) > now_s


def transfer_loads(
    state: State,
    view: assignment.PlacementView,
    services: dict[identity.ServiceId, objects.Service],
) -> None:
    """Carry the smoothed loads over when keys were split off or merged since the last view.

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
            moved = min(state.key_loads.get(shard, 0.0), state.fast_loads[parent])
            state.loads[shard] = state.fast_loads[shard] = moved
        else:
            moved = -state.loads.get(shard, 0.0)
        state.fast_loads[parent] -= moved
        state.loads[parent] = state.fast_loads[parent]
        state.divided_until_s[parent] = state.divided_until_s[shard] = view.now_s + HOLD_S


def observe_members(
    state: State, view: assignment.PlacementView, all_limits: list[Constraints]
) -> None:
    """Note since when members are eligible, and since when their targets are cold.

    Members of the first view count as eligible for long.

    :param state: changed in place.
    :param view: the view.
    :param all_limits: the limits of the keyed services.
    """
    now_s = view.now_s
    since_s = now_s - RETURN_S if state.measured_s is None else now_s
    eligible = {
        node
        for limits in all_limits
        for node, member in view.members.items()
        if is_eligible(member, limits)
    }
    cold = {node for node in eligible if view.members[node].is_cold}
    if state.measured_s is not None:
        state.filling |= eligible - state.eligible_since_s.keys()
    state.filling = (state.filling | cold) & eligible
    state.eligible_since_s = {node: state.eligible_since_s.get(node, since_s) for node in eligible}
    state.cold_since_s = {node: state.cold_since_s.get(node, now_s) for node in cold}


def build_board(
    limits: Constraints,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
) -> Board:
    """Lay out the shards of a service at their present owners.

    :param limits: the limits of the service.
    :param view: the view.
    :param state: the state, after :func:`observe`.
    :param shards: the shards of the service.
    """
    members = {
        node: member for node, member in sorted(view.members.items()) if is_eligible(member, limits)
    }
    cold_since_s = state.cold_since_s
    capacity = {
        node: find_capacity(member, limits.service, cold_since_s.get(node), view.now_s)
        for node, member in members.items()
    }
    slots = sum(member.slots or limits.service.slots for member in members.values())
    idle = IDLE_UTILISATION * slots / max(1, len(shards))
    prefix = identity.name_key(limits.service.name, identity.KeyId(""))
    board = Board(
        limits=limits,
        members=members,
        capacity=capacity,
        cold=frozenset(node for node in members if node in cold_since_s),
        weights={shard: state.loads[shard] + idle for shard in shards},
        apart=[shard for shard in shards if shard.startswith(prefix)],
        owners={},
        held={node: set() for node in members},
        node_weight=dict.fromkeys(members, 0.0),
        zone_weight={member.zone: 0.0 for member in members.values()},
        zone_capacity={member.zone: 0.0 for member in members.values()},
    )
    for node, member in members.items():
        board.zone_capacity[member.zone] += capacity[node]
    for shard in shards:
        owner = view.owners[shard]
        if owner is not None:
            put(board, shard, owner)
    return board


def put(board: Board, shard: identity.ShardId, node: identity.NodeId) -> None:
    """Move a shard to a node on the board.

    :param board: changed in place.
    :param shard: the shard.
    :param node: its next owner.
    """
    weight = board.weights[shard]
    source = board.owners.get(shard)
    for holder, change in ((source, -weight), (node, weight)):
        if holder in board.members:
            board.node_weight[holder] += change
            board.zone_weight[board.members[holder].zone] += change
    if source in board.members:
        board.held[source].discard(shard)
    if node in board.members:
        board.held[node].add(shard)
    board.owners[shard] = node


def rate(board: Board, node: identity.NodeId, weight: float) -> float:
    """Return how busy a node and its zone would be with more load; lower is better.

    :param board: the board.
    :param node: a member on the board.
    :param weight: the load to add.
    """
    zone = board.members[node].zone
    return (board.node_weight[node] + weight) / board.capacity[node] + ZONE_WEIGHT * (
        board.zone_weight[zone] + weight
    ) / board.zone_capacity[zone]


def choose_target(board: Board, shard: identity.ShardId) -> identity.NodeId | None:
    """Return the node that can take a shard best, or ``None`` when no node may have it.

    :param board: the board.
    :param shard: the shard.
    """
    allowed = [
        node for node, member in board.members.items() if is_allowed(member, shard, board.limits)
    ]
    weight = board.weights[shard]
    return min(allowed, key=lambda node: (rate(board, node, weight), node), default=None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """What the nodes of a service should carry.

    ``level`` is the load per unit of capacity when all is even. ``floors`` gives what a node can't
    fall below: its heaviest shard, and for a cold node all it has, as coldness alone moves nothing.
    """

    level: float
    floors: dict[identity.NodeId, float]


def find_share(board: Board) -> Share:
    """Compute the even load of the nodes that may own partitions.

    A node whose floor is above the even load keeps its floor, and the others share the rest.

    :param board: the board.
    """
    zones = board.limits.zones
    nodes = [
        node for node, member in board.members.items() if zones is None or member.zone in zones
    ]
    floors = {
        node: (
            board.node_weight[node]
            if node in board.cold
            else max((board.weights[shard] for shard in board.held[node]), default=0.0)
        )
        for node in nodes
    }
    total = sum(board.node_weight[node] for node in nodes)
    level = 0.0
    pinned: set[identity.NodeId] = set()
    while len(pinned) < len(nodes):
        rest = total - sum(floors[node] for node in pinned)
        level = rest / sum(board.capacity[node] for node in nodes if node not in pinned)
        above = {
            node
            for node in nodes
            if node not in pinned and floors[node] > level * board.capacity[node]
        }
        if not above:
            break
        pinned |= above
    return Share(level=level, floors=floors)


def find_gap(board: Board, share: Share, node: identity.NodeId) -> float:
    """Return how far a node is above (positive) or below its share, in shares.

    :param board: the board.
    :param share: from :func:`find_share`.
    :param node: a node that the share covers.
    """
    even = share.level * board.capacity[node]
    weight = board.node_weight[node]
    goal = even if weight < even else max(even, share.floors[node])
    return (weight - goal) / even if even > 0.0 else 0.0


def pick_move(
    board: Board,
    state: State,
    share: Share,
    receivers: list[identity.NodeId],
    fixed: collections.abc.Container[identity.ShardId],
    least_gap: float,
) -> tuple[identity.ShardId, identity.NodeId] | None:
    """Return the shard whose move evens out the load most, and its target.

    :param board: the board.
    :param state: the state.
    :param share: from :func:`find_share`.
    :param receivers: the nodes that may get shards.
    :param fixed: shards that must not move now.
    :param least_gap: the least difference between source and target, in shares.
    """
    gaps = {node: find_gap(board, share, node) for node in share.floors}
    donors = sorted((node for node in gaps if gaps[node] > 0.0), key=lambda n: (-gaps[n], n))
    takers = sorted(
        (node for node in receivers if gaps[node] < 0.0),
        key=lambda node: (rate(board, node, 0.0), node),
    )
    for donor in donors:
        movable = sorted(
            (shard for shard in board.held[donor] if shard not in fixed),
            key=lambda shard: (-board.weights[shard], shard),
        )
        for taker in takers:
            if gaps[donor] - gaps[taker] < least_gap:
                continue
            shard = fit_shard(board, state, share, movable, donor, taker)
            if shard is not None:
                return shard, taker
    return None


def fit_shard(
    board: Board,
    state: State,
    share: Share,
    movable: list[identity.ShardId],
    donor: identity.NodeId,
    taker: identity.NodeId,
) -> identity.ShardId | None:
    """Return the shard to move from one node to another, or ``None`` when none helps.

    The shard closest to what the taker lacks takes the fewest moves. Shards that the taker lost
    come first, up to its fair number, so that its return restores the assignment before its loss.

    :param board: the board.
    :param state: the state.
    :param share: from :func:`find_share`.
    :param movable: the shards of the donor that may move, heaviest first.
    :param donor: the present owner.
    :param taker: the next owner.
    """
    level, weight, capacity = share.level, board.node_weight, board.capacity
    surplus = weight[donor] - max(level * capacity[donor], share.floors[donor])
    room = min(surplus, level * capacity[taker] - weight[taker])
    highest = weight[donor] / capacity[donor] - MIN_GAIN * level
    member = board.members[taker]
    fair_number = len(board.weights) * capacity[taker] / sum(capacity.values())
    takes_back = len(board.held[taker]) + 1 <= fair_number
    best: identity.ShardId | None = None
    for shard in movable:
        load = board.weights[shard]
        if (weight[taker] + load) / capacity[taker] > highest:
            continue
        if not is_allowed(member, shard, board.limits):
            continue
        if takes_back and load <= room and state.former.get(shard) == taker:
            return shard
        if best is None or abs(load - room) < abs(board.weights[best] - room):
            best = shard
    if best is not None and board.weights[best] < LEAST_PART * room:
        return None
    return best


def plan_forced(
    board: Board,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
    planned: dict[identity.ShardId, assignment.Move],
) -> bool:
    """Plan the moves of shards that can't stay where they are; say whether any can move.

    Orphans all move at once. Nodes that must be emptied give up ``DRAIN_MOVES`` shards at a time.

    :param board: changed in place.
    :param view: the view.
    :param state: changed in place.
    :param shards: the shards of the service.
    :param planned: the moves planned so far; changed in place.
    """
    is_forced = False
    limits = board.limits
    reasons = {
        owner: find_node_reason(owner, view.members, limits)
        for owner in {view.owners[shard] for shard in shards}
    }
    forced = []
    for shard in shards:
        owner = view.owners[shard]
        reason = reasons[owner]
        if reason is None and owner is not None:
            # Most services have no rules; this keeps a round short.
            if limits.zones is None and shard not in limits.key_zones:
                continue
            if not is_allowed(view.members[owner], shard, limits):
                reason = assignment.MoveReason.RULE
        if reason is not None:
            forced.append((shard, reason))
    in_flight: dict[identity.NodeId, int] = {}
    for move in planned.values():
        if move.source is not None and move.reason is not assignment.MoveReason.ORPHANED:
            in_flight[move.source] = in_flight.get(move.source, 0) + 1
    for shard, reason in sorted(forced, key=lambda entry: (-board.weights[entry[0]], entry[0])):
        if shard in planned:
            is_forced = True
            continue
        owner = view.owners[shard]
        target = choose_target(board, shard)
        if target is None:
            continue
        is_forced = True
        if reason is not assignment.MoveReason.ORPHANED and owner is not None:
            if in_flight.get(owner, 0) >= DRAIN_MOVES:
                continue
            in_flight[owner] = in_flight.get(owner, 0) + 1
            state.former[shard] = owner
        put(board, shard, target)
        planned[shard] = assignment.Move(shard=shard, source=owner, target=target, reason=reason)
    return is_forced


def plan_keys(
    board: Board,
    view: assignment.PlacementView,
    state: State,
    planned: dict[identity.ShardId, assignment.Move],
) -> tuple[list[identity.ShardId], list[identity.ShardId]]:
    """Return the keys to split off and those to merge, and plan the moves that merging needs.

    :param board: changed in place.
    :param view: the view.
    :param state: changed in place.
    :param planned: the moves planned so far; changed in place.
    """
    now_s = view.now_s
    services = {board.limits.service.name: board.limits.service}
    named = board.limits.key_zones.keys()
    fair = sum(board.weights.values()) / max(1, len(board.members))
    split: list[identity.ShardId] = []
    merge: list[identity.ShardId] = []
    busy = sum(move.reason is assignment.MoveReason.HOT_KEY for move in planned.values())
    own = [key for key in state.key_loads if identity.split_shard(key)[0] in services]
    hot = [key for key in own if state.key_loads[key] > SPLIT_SHARE * fair]
    for key in own:
        if key not in hot:
            state.hot_since_s.pop(key, None)
    since_s = {key: state.hot_since_s.setdefault(key, now_s) for key in hot}
    lasting = [key for key in hot if now_s - since_s[key] >= SPLIT_S]
    lasting.sort(key=lambda key: (-state.key_loads[key], key))
    missing = sorted(key for key in named if key not in view.owners)
    for key in missing + [key for key in lasting[:STEP_KEYS] if key not in missing]:
        parent = find_parent(key, services)
        if parent in board.owners and parent not in planned:
            split.append(key)
    for key in board.apart:
        if key in named or board.weights[key] > MERGE_SHARE * fair:
            state.cool_since_s.pop(key, None)
            continue
        if now_s - state.cool_since_s.setdefault(key, now_s) < MERGE_S or key in planned:
            continue
        parent = find_parent(key, services)
        home = board.owners.get(parent) if parent is not None else None
        if home not in board.members or parent in planned or busy >= STEP_KEYS:
            continue
        busy += 1
        if board.owners.get(key) == home:
            merge.append(key)
        elif key in board.owners:
            planned[key] = assignment.Move(
                shard=key,
                source=board.owners[key],
                target=home,
                reason=assignment.MoveReason.HOT_KEY,
            )
            put(board, key, home)
    return split, merge


def plan_rebalance(
    board: Board,
    state: State,
    now_s: float,
    planned: dict[identity.ShardId, assignment.Move],
) -> None:
    """Plan moves that even out the load once it has been uneven for some time.

    :param board: changed in place.
    :param state: changed in place.
    :param now_s: the time.
    :param planned: the moves planned so far; changed in place.
    """
    service = board.limits.service.name
    fixed = set(planned)
    fixed |= {shard for shard, until_s in state.held_until_s.items() if until_s > now_s}
    queue = [
        move
        for move in state.queues.get(service, [])
        if board.owners.get(move.shard) == move.source
        and move.shard not in fixed
        and move.target in board.members
        and is_allowed(board.members[move.target], move.shard, board.limits)
    ]
    if not queue:
        queue = find_queue(board, state, now_s, fixed)
    budget = STEP_MOVES - len(planned)
    if budget > 0 and now_s - state.moved_s.get(service, -math.inf) >= STEP_S:
        for move in queue[:budget]:
            planned[move.shard] = move
            state.moved_s[service] = now_s
        queue = queue[budget:]
    state.queues[service] = queue


def find_queue(
    board: Board,
    state: State,
    now_s: float,
    fixed: set[identity.ShardId],
) -> list[assignment.Move]:
    """Return the moves that even out the load, or none while it is even or not uneven for long.

    :param board: changed in place; the moves are done on it.
    :param state: changed in place.
    :param now_s: the time.
    :param fixed: shards that must not move now; changed in place.
    """
    service = board.limits.service.name
    # Moving a hot key alone takes fewer moves than moving others away from it.
    is_splitting = any(identity.split_shard(key)[0] == service for key in state.hot_since_s)
    queue: list[assignment.Move] = []
    share = find_share(board)
    receivers = [n for n in share.floors if now_s - state.eligible_since_s[n] >= RETURN_S]
    lacking = [n for n in receivers if find_gap(board, share, n) < -FILL_GAP]
    state.filling -= set(receivers) - set(lacking) - board.cold
    lacking = [node for node in lacking if node in state.filling]
    least_gap = START_GAP
    if lacking and find_largest_gap(board, share, receivers) <= START_GAP:
        receivers, least_gap = lacking, FILL_GAP
    while len(queue) < QUEUE_MOVES:
        gap = find_largest_gap(board, share, receivers)
        if gap <= least_gap:
            break
        pick = pick_move(board, state, share, receivers, fixed, least_gap)
        if pick is None:
            break
        # A node that fills up is no noise; its gap need not be watched for as long.
        shown_gap = LARGE_GAP if least_gap == FILL_GAP else gap
        if not queue and (is_recent(state, service, shown_gap, now_s) or is_splitting):
            return []
        least_gap = STOP_GAP
        shard, target = pick
        is_key = identity.split_shard(shard)[2] is not None
        reason = assignment.MoveReason.HOT_KEY if is_key else assignment.MoveReason.REBALANCE
        source = board.owners[shard]
        queue.append(assignment.Move(shard=shard, source=source, target=target, reason=reason))
        put(board, shard, target)
        fixed.add(shard)
        share = find_share(board)
    state.uneven_since_s.pop(service, None)
    state.large_since_s.pop(service, None)
    return queue


def find_largest_gap(board: Board, share: Share, receivers: list[identity.NodeId]) -> float:
    """Return how far a node is from its share at most: above it, or below it for a receiver.

    :param board: the board.
    :param share: from :func:`find_share`.
    :param receivers: the nodes that may get shards.
    """
    above = [find_gap(board, share, node) for node in share.floors]
    below = [-find_gap(board, share, node) for node in receivers]
    return max(above + below, default=0.0)


def is_recent(state: State, service: identity.ServiceId, gap: float, now_s: float) -> bool:
    """Say whether an uneven load has not lasted long enough to move shards.

    :param state: changed in place.
    :param service: the service.
    :param gap: the largest gap, above ``START_GAP``.
    :param now_s: the time.
    """
    if gap < LARGE_GAP:
        state.large_since_s.pop(service, None)
    elif now_s - state.large_since_s.setdefault(service, now_s) >= LARGE_GAP_S:
        return False
    return now_s - state.uneven_since_s.setdefault(service, now_s) < SMALL_GAP_S


def keep_pending(
    board: Board,
    view: assignment.PlacementView,
    state: State,
    planned: dict[identity.ShardId, assignment.Move],
) -> None:
    """Repeat the moves that were planned before, still make sense and are not yet visible.

    :param board: changed in place.
    :param view: the view.
    :param state: the state.
    :param planned: the moves planned so far; changed in place.
    """
    for shard, pending in state.pending.items():
        if shard not in board.weights:
            continue
        move = pending.move
        reason = find_reason(shard, view.owners[shard], view.members, board.limits)
        is_voluntary = move.reason in (
            assignment.MoveReason.REBALANCE,
            assignment.MoveReason.HOT_KEY,
        )
        target = board.members.get(move.target)
        if (
            view.owners[shard] == move.source
            and reason is (None if is_voluntary else move.reason)
            and target is not None
            and is_allowed(target, shard, board.limits)
            and view.now_s - pending.planned_s < PENDING_S
        ):
            put(board, shard, move.target)
            planned[shard] = move


def plan_service(
    limits: Constraints,
    view: assignment.PlacementView,
    state: State,
    shards: list[identity.ShardId],
) -> assignment.Plan:
    """Plan the changes for one service.

    :param limits: the limits of the service.
    :param view: the view.
    :param state: changed in place.
    :param shards: the shards of the service, sorted.
    """
    board = build_board(limits, view, state, shards)
    planned: dict[identity.ShardId, assignment.Move] = {}
    keep_pending(board, view, state, planned)
    forced = plan_forced(board, view, state, shards, planned)
    split, merge = plan_keys(board, view, state, planned)
    if forced:
        state.uneven_since_s.pop(limits.service.name, None)
        state.large_since_s.pop(limits.service.name, None)
        state.queues.pop(limits.service.name, None)
    else:
        plan_rebalance(board, state, view.now_s, planned)
    return assignment.Plan(split=split, merge=merge, moves=list(planned.values()))


def build_place(snapshot: route.Snapshot, state: State) -> assignment.PlaceShards:
    """Return the placement function for a configuration.

    :param snapshot: the configuration.
    :param state: kept by the caller when the configuration changes; changed at each call.
    """
    all_limits = [
        build_constraints(snapshot, service)
        for _, service in sorted(snapshot.services.items())
        if service.is_keyed
    ]
    services = {limits.service.name: limits.service for limits in all_limits}
    shards: dict[identity.ServiceId, list[identity.ShardId]] = {}
    known: set[identity.ShardId] = set()

    def place(view: assignment.PlacementView) -> assignment.Plan:
        # Shards change seldom; sorting them at each call would take a third of a round.
        if known != view.owners.keys():
            known.clear()
            known.update(view.owners)
            shards.update({name: [] for name in services})
            for shard in sorted(known):
                service, _, _ = identity.split_shard(shard)
                if service in shards:
                    shards[service].append(shard)
        note_losses(state, view)
        observe_members(state, view, all_limits)
        observe(state, view, services, shards)
        plans = [
            plan_service(limits, view, state, shards[limits.service.name]) for limits in all_limits
        ]
        plan = assignment.Plan(
            split=[key for part in plans for key in part.split],
            merge=[key for part in plans for key in part.merge],
            moves=[move for part in plans for move in part.moves],
        )
        state.pending = {
            move.shard: Pending(move=move, planned_s=find_planned_s(state, move, view.now_s))
            for move in plan.moves
        }
        return plan

    return place


def find_planned_s(state: State, move: assignment.Move, now_s: float) -> float:
    """Return when a move was first planned.

    :param state: the state before this round's moves are noted.
    :param move: the move.
    :param now_s: the time.
    """
    pending = state.pending.get(move.shard)
    return pending.planned_s if pending is not None and pending.move == move else now_s


def note_losses(state: State, view: assignment.PlacementView) -> None:
    """Note the last owner of shards whose owner failed since the last view.

    :param state: changed in place.
    :param view: the view.
    """
    for shard, owner in view.owners.items():
        before = state.owners.get(shard)
        member = view.members.get(before) if before is not None else None
        if before is not None and (member is None or not member.is_target_up):
            state.former[shard] = before
        elif owner != before and state.former.get(shard) == owner:
            state.former.pop(shard, None)


def explain(move: assignment.Move, view: assignment.PlacementView) -> str:
    """Return a sentence for the log that says why a shard moves.

    :param move: a move planned for the view.
    :param view: the view.
    """
    loads: dict[identity.NodeId, float] = {}
    service, _, key = identity.split_shard(move.shard)
    for shard, owner in view.owners.items():
        if owner is not None and identity.split_shard(shard)[0] == service:
            loads[owner] = loads.get(owner, 0.0) + view.loads.get(shard, 0.0)
    thing = f"key {key} of {service}" if key is not None else f"partition {move.shard}"
    carried = view.loads.get(move.shard, 0.0)
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
    return f"{thing} ({carried:.2f} busy slots) moves to {move.target} because {cause}"
