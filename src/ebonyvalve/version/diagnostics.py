"""Builds a node's answers to operators: readiness, status of the mesh, and routing of a key."""

import collections
import collections.abc

from ebonyvalve.process import (
    identity,
    lease,
    limit,
    message,
    ownership,
    report,
    site,
    straggler,
    target,
    telemetry,
)
from ebonyvalve.version import route

# Upper bound of the remaining lease time that is shown. Tests use leases that never end.
MAX_LEASE_LEFT_S = 3600.0


def list_obstacles(here: site.Site, snapshot: route.Snapshot | None) -> list[str]:
    """Return the reasons why the node cannot serve at present; empty when it can.

    :param here: the node's state.
    :param snapshot: the configuration in force.
    """
    node = here.read_node()
    obstacles = []
    if snapshot is None:
        obstacles.append("no configuration has been received")
    if not lease.is_live(node, here.now()):
        coordinator = node.coordinator or "no coordinator known"
        obstacles.append(f"the lease has expired or was never granted (coordinator: {coordinator})")
    if not target.is_up(here.target):
        obstacles.append(f"the target is {here.target.state.value}: {here.target.reason}")
    if here.is_stopping:
        obstacles.append("the node is stopping")
    return obstacles


def build_status(
    here: site.Site,
    snapshot: route.Snapshot | None,
    ownership_state: ownership.State,
    *,
    does_store_answer: bool,
) -> report.Status:
    """Return the node's view of the mesh.

    :param here: the node's state.
    :param snapshot: the configuration in force.
    :param ownership_state: the state of ownership.
    :param does_store_answer: whether the table service responds at present.
    """
    node = here.read_node()
    lease_left_s = node.lease_end_s - here.now()
    return report.Status(
        node=here.node,
        zone=here.zone,
        incarnation=here.incarnation,
        role=telemetry.find_role(ownership_state, here.now()),
        coordinator=node.coordinator,
        term=node.term,
        lease=_find_lease(node, lease_left_s),
        lease_left_ms=int(min(max(lease_left_s, 0.0), MAX_LEASE_LEFT_S) * 1000),
        config_version=node.config_version,
        does_store_answer=does_store_answer,
        targets=[
            _describe_target(here, member, ownership_state) for member in node.members.values()
        ],
        zones=_list_zones(node, snapshot),
        shards=[
            report.Shard(shard=entry.shard, owner=entry.owner, fence=entry.fence)
            for entry in sorted(node.routes.values(), key=lambda entry: entry.shard)
        ],
        drains=_list_drains(node, snapshot),
    )


def _find_lease(node: lease.Node, lease_left_s: float) -> report.LeaseState:
    if lease_left_s > 0:
        return report.LeaseState.HELD
    never = node.lease_end_s == float("-inf")
    return report.LeaseState.NEVER if never else report.LeaseState.LAPSED


def _describe_target(
    here: site.Site, member: message.Member, ownership_state: ownership.State
) -> report.Target:
    latencies = here.latencies[member.service]
    latency = latencies.targets.get(member.node)
    is_here = member.node == here.node
    version = None
    if ownership_state.leadership is not None:
        version = ownership_state.leadership.config_versions.get(member.node)
    return report.Target(
        node=member.node,
        zone=member.zone,
        service=member.service,
        slots=member.slots,
        is_up=member.is_target_up,
        is_cold=member.is_cold,
        is_leaving=member.is_leaving,
        is_straggler=straggler.is_bypassed(latencies, member.node),
        limit=limit.read_limit(here.admission) if is_here else None,
        in_flight=here.in_flight[member.node],
        latency_ms=None if latency is None else latency.mean_s * 1000,
        config_version=version,
    )


def _list_zones(node: lease.Node, snapshot: route.Snapshot | None) -> list[report.Zone]:
    by_zone: dict[identity.ZoneId, list[message.Member]] = collections.defaultdict(list)
    for member in node.members.values():
        by_zone[member.zone].append(member)
    names = set(by_zone) | set({} if snapshot is None else snapshot.zones)
    drained = set() if snapshot is None else {order.zone for order in snapshot.drains.values()}
    return [
        report.Zone(
            name=name,
            targets=len(by_zone[name]),
            targets_up=sum(member.is_target_up for member in by_zone[name]),
            slots=sum(member.slots for member in by_zone[name]),
            is_drained=name in drained,
        )
        for name in sorted(names)
    ]


def _list_drains(node: lease.Node, snapshot: route.Snapshot | None) -> list[report.Drain]:
    if snapshot is None:
        return []
    drains = []
    for order in snapshot.drains.values():
        leaving = {
            member.node
            for member in node.members.values()
            if member.zone == order.zone or member.node in order.nodes
        }
        drains.append(
            report.Drain(
                name=order.name,
                reason=order.reason,
                zone=order.zone,
                nodes=list(order.nodes),
                shards_left=sum(entry.owner in leaving for entry in node.routes.values()),
            )
        )
    return drains


ChooseRoute = collections.abc.Callable[
    [identity.ServiceId, identity.KeyId], tuple[report.RouteKind, identity.NodeId | None, str]
]


def explain(
    here: site.Site,
    snapshot: route.Snapshot | None,
    ownership_state: ownership.State,
    service: identity.ServiceId,
    key: identity.KeyId,
    choose_route: ChooseRoute,
) -> report.Explanation | None:
    """Return who owns a key and why, and how a request for it would be routed now.

    The result is ``None`` without a configuration or when it lacks the service.

    :param here: the node's state.
    :param snapshot: the configuration in force.
    :param ownership_state: the state of ownership.
    :param service: the service.
    :param key: the key.
    :param choose_route: returns the routing decision, the node it names, and its reason.
    """
    service_object = None if snapshot is None else snapshot.services.get(service)
    if snapshot is None or service_object is None:
        return None
    node = here.read_node()
    shard = route.find_shard(service_object, key, node.routes) if service_object.is_keyed else None
    entry = None if shard is None else node.routes.get(shard)
    owner = None if entry is None or entry.owner == lease.NOBODY else entry.owner
    kind, route_node, reason = choose_route(service, key)
    # Only the coordinator knows the time and cause of the last change of owner.
    causes = {} if ownership_state.leadership is None else ownership_state.leadership.last_moves
    last_change = None if shard is None else causes.get(shard)
    refusals = list_obstacles(here, snapshot)
    if reason != "none":
        refusals.append(f"the request would be held or refused: {reason}")
    return report.Explanation(
        node=here.node,
        service=service,
        key=key,
        config_version=node.config_version,
        shard=shard,
        owner=owner,
        owner_zone=(
            node.members[owner].zone if owner is not None and owner in node.members else None
        ),
        fence=None if entry is None else entry.fence,
        rules=[
            rule.name
            for rule in snapshot.rules.values()
            if rule.service == service and _rule_applies(snapshot, rule.keys, key)
        ],
        owned_for_s=None if last_change is None else here.now() - last_change[0],
        cause="" if last_change is None else last_change[1],
        route=kind,
        route_node=route_node,
        refusals=refusals,
    )


def _rule_applies(snapshot: route.Snapshot, names: list[str], key: identity.KeyId) -> bool:
    if not names:
        return True
    return any(name in snapshot.keys and snapshot.keys[name].key == key for name in names)
