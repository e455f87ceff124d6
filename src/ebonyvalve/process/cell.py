"""Decisions of a cell's coordinator and standbys, as pure functions of state, event and time.

A cell is a group of nodes with one coordinator, which renews their leases, assigns shards to them
and commits the assignments to the table. A node claims the cell by writing a cell row with a higher
term that names it as coordinator. This module covers the rows in the table, claims of the cell, the
consent of standbys, leases, and which shards to revoke, commit and grant.

Used by ``process.daemon``; ``platform.daemon`` uses ``process.keyspace``.
"""

import collections.abc
import dataclasses
import enum
import logging
import math
import typing

import msgspec
from returns import result

from ebonyvalve import errors
from ebonyvalve.process import assignment, decision, decoding, identity, lease, message, platform

log = logging.getLogger(__name__)

PAGE_PARTITIONS = 64
MAX_STANDBYS = 2
# A standby is replaced after missing one request for consent and the time of a slow reply. Its last
# consent is valid for another 100 ms, so renewals continue while the row is written.
STANDBY_SILENCE_S = 0.200
# After two lost heartbeats, a node counts as out of reach of the coordinator.
NODE_SILENCE_S = 0.300
# A node that reports this often in a row that its lease isn't valid doesn't receive its renewals.
MAX_UNRECEIVED_RENEWALS = 3
# The term is the high part of route and member versions, so they exceed those of earlier terms.
TERM_SHIFT = 32


class NodeInstance(msgspec.Struct, kw_only=True, frozen=True):
    """One process of a node, as the cell row names it."""

    node: identity.NodeId
    incarnation: identity.Incarnation
    address: identity.Address


class CellRow(msgspec.Struct, kw_only=True, frozen=True):
    """The row ``cell/{cell}``, which names the coordinator of a term and its standbys."""

    term: identity.Term
    coordinator: NodeInstance
    standbys: list[NodeInstance] = []


class PageEntry(msgspec.Struct, kw_only=True, frozen=True):
    """The assignment of one partition."""

    partition: identity.Partition
    owner: identity.NodeId
    fence: identity.Fence


class PageRow(msgspec.Struct, kw_only=True, frozen=True):
    """The row ``page/{service}/{n}`` with the assignments of up to 64 partitions."""

    entries: list[PageEntry] = []


class HotEntry(msgspec.Struct, kw_only=True, frozen=True):
    """The assignment of a key that is a shard of its own."""

    key: identity.KeyId
    parent: identity.ShardId
    owner: identity.NodeId
    fence: identity.Fence


class HotRow(msgspec.Struct, kw_only=True, frozen=True):
    """The row ``hot/{service}`` with the assignments of a service's hot keys."""

    entries: list[HotEntry] = []


class HeartbeatAnswer(enum.Enum):
    """The coordinator's answer to a heartbeat."""

    RENEW = "renew"
    # Not all standbys have consented, or the cell has several nodes but no standby.
    NO_CONSENT = "no-consent"
    # The coordinator does not know which shards the node holds and has to ask.
    COLLECT = "collect"
    # The lease of the node's previous process has not expired yet.
    OLD_INCARNATION = "old-incarnation"
    # The node has a newer configuration than the coordinator.
    BEHIND_CONFIG = "behind-config"
    # The node has followed a higher term.
    SUPERSEDED = "superseded"
    # The node does not receive its renewals.
    UNRECEIVED = "unseen"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holder:
    """What a node that may be serving a shard was last granted of it."""

    fence: identity.Fence
    excluded: frozenset[identity.KeyId] = frozenset()
    # Whether the node is known to hold the shard under this fencing token and with these excluded
    # keys, from its acceptance of the grant or from its own report.
    is_accepted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """A shard's committed owner and all nodes that may still be serving it."""

    owner: identity.NodeId = lease.NOBODY
    fence: identity.Fence = identity.Fence(0)
    # The partition of a key, if the shard is a key that was split off.
    parent: identity.ShardId | None = None
    holders: dict[identity.NodeId, Holder] = dataclasses.field(default_factory=dict)
    # The node that the shard is being moved to, and why.
    target: identity.NodeId | None = None
    reason: assignment.MoveReason | None = None
    # Whether the shard may be granted under its committed fencing token: no node has been granted
    # it yet, or its former holder has handed over the token memory.
    is_grantable: bool = False
    # The earliest time at which the shard may get a new holder.
    free_at_s: float = -math.inf
    # The key was merged back into its partition; the entry remains until no node holds it.
    is_merged: bool = False
    # The routes version of the last change.
    changed_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeLease:
    """A node's lease as the coordinator counts it, so that it expires later than at the node."""

    member: message.Member
    end_s: float
    last_heartbeat_at_s: float
    # Consecutive heartbeats that reported no valid lease although the previous one was renewed.
    unreceived: int = 0
    # Whether the last heartbeat was answered with a renewal.
    was_renewed: bool = False
    # Whether the node counts as a member while its lease is valid: it reported holdings, or its
    # lease was renewed since.
    has_joined: bool = False
    loads: list[message.ShardLoad] = dataclasses.field(default_factory=list)
    hot_keys: list[tuple[identity.ServiceId, identity.KeyId, float]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Coordinator:
    """State of the coordinator. It is replaced rather than changed in place."""

    cell: identity.CellId
    instance: NodeInstance
    zone: identity.ZoneId
    row: CellRow
    # When the coordinator took up the role.
    started_at_s: float
    # Until this time, nodes that have not answered may serve under the former coordinator's leases.
    unknown_until_s: float
    # Standbys in a write of the cell row whose outcome is not yet known.
    proposed_standbys: list[NodeInstance] = dataclasses.field(default_factory=list)
    consents: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    leases: dict[identity.NodeId, NodeLease] = dataclasses.field(default_factory=dict)
    assignments: dict[identity.ShardId, Assignment] = dataclasses.field(default_factory=dict)
    # By node, the digest of the holdings that the coordinator attributes to it.
    digests: dict[identity.NodeId, int] = dataclasses.field(default_factory=dict)
    # Keys that were merged back into their partition, with the routes version of the merge.
    removed_keys: dict[identity.ShardId, int] = dataclasses.field(default_factory=dict)
    pending_splits: dict[identity.ShardId, identity.ShardId] = dataclasses.field(
        default_factory=dict
    )
    pending_merges: frozenset[identity.ShardId] = frozenset()
    # Versions of the rows that the coordinator has read or written.
    row_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    routes_version: int = 0
    members_version: int = 0
    config_version: identity.ConfigVersion = identity.ConfigVersion(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A committed change of a shard's assignment."""

    shard: identity.ShardId
    previous_owner: identity.NodeId
    owner: identity.NodeId
    fence: identity.Fence
    reason: assignment.MoveReason
    parent: identity.ShardId | None = None
    is_split: bool = False
    is_merged: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Transaction:
    """A conditional write to the table and the changes that it commits."""

    expected: dict[str, int]
    writes: dict[str, bytes | None]
    changes: list[Change]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Actions:
    """The revokes and grants that the coordinator has to send now."""

    revokes: list[tuple[identity.NodeId, identity.ShardId]]
    grants: dict[identity.NodeId, list[message.Holding]]


T = typing.TypeVar("T")
# Returns, by service, for how many seconds requests of a lost owner may still run.
FindGrace = collections.abc.Callable[[identity.ServiceId], float]
FindParent = collections.abc.Callable[[identity.ShardId], identity.ShardId]


# Rows


def name_cell_row(cell: identity.CellId) -> str:
    """Return the key of the cell row.

    :param cell: the cell.
    """
    return f"cell/{cell}"


def name_node_row(node: identity.NodeId) -> str:
    """Return the key of a node's announcement.

    :param node: the node.
    """
    return f"node/{node}"


def name_assignment_row(shard: identity.ShardId) -> str:
    """Return the key of the row that contains a shard's assignment.

    :param shard: a partition or a key.
    """
    service, partition, _ = identity.split_shard(shard)
    return (
        f"hot/{service}" if partition is None else f"page/{service}/{partition // PAGE_PARTITIONS}"
    )


def encode_row(row: CellRow | PageRow | HotRow | message.Member) -> bytes:
    """Return a row's value.

    :param row: the row.
    """
    return msgspec.json.encode(row)


def decode_cell(value: bytes) -> CellRow:
    """Return the cell row.

    :param value: the row's value.
    """
    return _decode(value, CellRow)


def read_members(rows: collections.abc.Mapping[str, platform.Row]) -> list[message.Member]:
    """Return the nodes that have announced themselves. Unreadable rows are logged and skipped.

    :param rows: the rows by name.
    """
    members = []
    for name, row in rows.items():
        decoded = decoding.decode(row.value, message.Member, find_member_fault)
        fault = "" if isinstance(decoded, result.Success) else decoded.failure()
        # The announcement of a later process shows that a node's process has ended, so a row with
        # another node's announcement must not be used.
        if not fault and name_node_row(decoded.unwrap().node) != name:
            fault = "the announcement names another node"
        if fault:
            decision.record(log, logging.ERROR, "row-unreadable", row=name, cause=fault)
        else:
            members.append(decoded.unwrap())
    return members


def find_member_fault(member: message.Member) -> str:
    """Return what is wrong with a node's announcement, or an empty string.

    :param member: the announcement.
    """
    for address in (member.peer_address, member.hop_address):
        if not decoding.is_address(address):
            return f"address {address!r} is not host:port"
    return (
        ""
        if 0 <= member.slots <= decoding.MAX_SLOTS
        else f"number of slots {member.slots} is out of range"
    )


def _decode(value: bytes, kind: type[T]) -> T:
    decoded = decoding.decode(value, kind)
    if not isinstance(decoded, result.Success):
        raise errors.InvariantError(f"a {kind.__name__} cannot be decoded: {decoded.failure()}")
    row: T = decoded.unwrap()
    return row


# Consent and claims


@dataclasses.dataclass(frozen=True, kw_only=True)
class Standby:
    """A node's promise to coordinators not to claim the cell before a certain time."""

    promised_until_s: float = -math.inf
    # No consent is given while the outcome of a claim is unknown, because it may have taken effect.
    is_claiming: bool = False


def give_consent(
    standby: Standby, *, followed_term: identity.Term, requested_term: identity.Term, now: float
) -> Standby | None:
    """Return the state after giving consent, or ``None`` if consent is refused.

    :param standby: the state.
    :param followed_term: the highest term that the node has followed.
    :param requested_term: the term of the coordinator that asks for consent.
    :param now: the time in seconds at which the request was received.
    """
    if standby.is_claiming or requested_term < followed_term:
        return None
    return dataclasses.replace(
        standby, promised_until_s=max(standby.promised_until_s, lease.compute_promise_end(now))
    )


def find_lease_bound(
    row: CellRow | None,
    *,
    instance: NodeInstance,
    standby: Standby,
    announced: dict[identity.NodeId, identity.Incarnation],
    read_at_s: float,
    now: float,
) -> float | None:
    """Return the time at which every lease under a cell row has expired if it is claimed now.

    ``None`` means that the row must not be claimed. A standby may claim after the end of its
    promise. A process that isn't named in the row may claim if one that is has ended, because no
    lease is renewed then once the last consent has run out. A process has ended if the claimant
    listens on its address, or if a later process announced itself under its node id.

    :param row: the cell row, or ``None`` if there is none.
    :param instance: the claimant.
    :param standby: what the claimant has promised.
    :param announced: incarnations by node, from the announcements.
    :param read_at_s: when the row was read, in seconds.
    :param now: the time in seconds.
    """
    if now < standby.promised_until_s:
        return None
    if row is None:
        return now
    if row.coordinator == instance:
        return lease.compute_lease_end(now)
    if instance in row.standbys:
        return lease.compute_lease_end(max(standby.promised_until_s, read_at_s))
    if any(_has_ended(named, instance, announced) for named in [row.coordinator, *row.standbys]):
        return lease.compute_lease_end(lease.compute_promise_end(now))
    return None


def _has_ended(
    named: NodeInstance,
    instance: NodeInstance,
    announced: dict[identity.NodeId, identity.Incarnation],
) -> bool:
    if named.incarnation == instance.incarnation:
        return False
    if named.address == instance.address:
        return True
    return announced.get(named.node, named.incarnation) != named.incarnation


def claim(row: CellRow | None, instance: NodeInstance, followed_term: identity.Term) -> CellRow:
    """Return the cell row that a claimant writes.

    :param row: the row that it replaces.
    :param instance: the claimant.
    :param followed_term: the highest term that it has followed.
    """
    if row is None:
        return CellRow(term=identity.Term(followed_term + 1), coordinator=instance)
    others = [named for named in row.standbys if named.node != instance.node]
    term = identity.Term(max(row.term, followed_term) + 1)
    return CellRow(term=term, coordinator=instance, standbys=others)


def hand_over(row: CellRow, instance: NodeInstance) -> CellRow:
    """Return the cell row in which a stopping coordinator names its successor.

    :param row: the row that it replaces.
    :param instance: one of its standbys.
    """
    others = [named for named in row.standbys if named.node != instance.node]
    return CellRow(term=identity.Term(row.term + 1), coordinator=instance, standbys=others)


def open_coordinator(
    row: CellRow,
    *,
    cell: identity.CellId,
    instance: NodeInstance,
    zone: identity.ZoneId,
    version: int,
    unknown_until_s: float,
    now: float,
) -> Coordinator:
    """Return the state of a coordinator whose claim was committed.

    :param row: the cell row as committed.
    :param cell: the cell.
    :param instance: the coordinator.
    :param zone: its zone.
    :param version: the version of the cell row.
    :param unknown_until_s: from :func:`find_lease_bound`.
    :param now: the time in seconds.
    """
    base = row.term << TERM_SHIFT
    return Coordinator(
        cell=cell,
        instance=instance,
        zone=zone,
        row=row,
        started_at_s=now,
        unknown_until_s=unknown_until_s,
        row_versions={name_cell_row(cell): version},
        routes_version=base,
        members_version=base,
    )


def load_rows(
    state: Coordinator, rows: dict[str, tuple[bytes, int]], find_grace: FindGrace
) -> Coordinator:
    """Update the assignments from rows of the table.

    After a claim, the holders of the shards are unknown, and no shard is granted until the leases
    of the former coordinator have expired. Later, a row differs from the coordinator's state only
    if the reply to one of its own writes was lost; what that write assigned was not yet granted.

    :param state: the coordinator.
    :param rows: values and versions of ``page/`` and ``hot/`` rows.
    :param find_grace: returns, by service, the grace period in seconds after the loss of an owner.
    """
    changes: dict[identity.ShardId, Assignment] = {}
    for name, (value, _) in rows.items():
        service = identity.ServiceId(name.split("/")[1])
        for shard, found in _list_entries(name, service, value):
            entry = state.assignments.get(shard)
            if entry is None:
                free_at = state.unknown_until_s + find_grace(service)
                changes[shard] = dataclasses.replace(found, free_at_s=free_at)
            elif (entry.owner, entry.fence) != (found.owner, found.fence):
                changes[shard] = dataclasses.replace(
                    entry,
                    owner=found.owner,
                    fence=found.fence,
                    parent=found.parent,
                    target=None if entry.target == found.owner else entry.target,
                    is_grantable=True,
                    is_merged=False,
                )
        if name.startswith("hot/"):
            listed = {shard for shard, _ in _list_entries(name, service, value)}
            for shard, entry in state.assignments.items():
                if (
                    name_assignment_row(shard) == name
                    and shard not in listed
                    and not entry.is_merged
                ):
                    changes[shard] = dataclasses.replace(entry, is_merged=True, target=None)
    versions = {**state.row_versions, **{name: version for name, (_, version) in rows.items()}}
    return _put_assignments(dataclasses.replace(state, row_versions=versions), changes)


def _list_entries(
    name: str, service: identity.ServiceId, value: bytes
) -> list[tuple[identity.ShardId, Assignment]]:
    if not value:
        return []
    if name.startswith("hot/"):
        return [
            (
                identity.name_key(service, entry.key),
                Assignment(owner=entry.owner, fence=entry.fence, parent=entry.parent),
            )
            for entry in _decode(value, HotRow).entries
        ]
    return [
        (
            identity.name_partition(service, entry.partition),
            Assignment(owner=entry.owner, fence=entry.fence),
        )
        for entry in _decode(value, PageRow).entries
    ]


def add_unassigned(
    state: Coordinator, shards: collections.abc.Iterable[identity.ShardId]
) -> Coordinator:
    """Add the shards of the configuration that have never been assigned.

    :param state: the coordinator.
    :param shards: the partitions of every keyed service.
    """
    return _put_assignments(
        state, {shard: Assignment() for shard in shards if shard not in state.assignments}
    )


# Members and leases


def list_required(state: Coordinator) -> list[NodeInstance]:
    """Return the standbys whose consent is needed for a renewal.

    While the outcome of a write of the cell row is unknown, its old and its new standbys count.

    :param state: the coordinator.
    """
    return list(
        {
            instance.node: instance for instance in [*state.proposed_standbys, *state.row.standbys]
        }.values()
    )


def record_consent(state: Coordinator, node: identity.NodeId, sent_at_s: float) -> Coordinator:
    """Record a consent, which is valid from the time at which it was requested.

    :param state: the coordinator.
    :param node: the standby.
    :param sent_at_s: the time in seconds.
    """
    until = max(lease.compute_consent_end(sent_at_s), state.consents.get(node, -math.inf))
    return dataclasses.replace(state, consents={**state.consents, node: until})


def handle_heartbeat(
    state: Coordinator, heartbeat: message.Heartbeat, now: float
) -> tuple[Coordinator, HeartbeatAnswer]:
    """Decide how to answer a heartbeat. ``RENEW`` extends the lease, counted from ``now``.

    :param state: the coordinator.
    :param heartbeat: the heartbeat.
    :param now: the time in seconds.
    """
    node = heartbeat.member.node
    node_lease = state.leases.get(node)
    if heartbeat.term > state.row.term:
        return state, HeartbeatAnswer.SUPERSEDED
    if node_lease is not None and node_lease.member.incarnation != heartbeat.member.incarnation:
        return state, (
            HeartbeatAnswer.OLD_INCARNATION if now < node_lease.end_s else HeartbeatAnswer.COLLECT
        )
    if node_lease is None or now >= node_lease.end_s or heartbeat.term < state.row.term:
        return state, HeartbeatAnswer.COLLECT
    unreceived = 0 if heartbeat.is_live else node_lease.unreceived + int(node_lease.was_renewed)
    updated = dataclasses.replace(
        node_lease,
        member=heartbeat.member,
        last_heartbeat_at_s=now,
        unreceived=unreceived,
        was_renewed=False,
    )
    state = _put_lease(state, updated)
    if heartbeat.config_version > state.config_version:
        return state, HeartbeatAnswer.BEHIND_CONFIG
    if unreceived >= MAX_UNRECEIVED_RENEWALS:
        return state, HeartbeatAnswer.UNRECEIVED
    if not may_renew(state, node, now):
        return state, HeartbeatAnswer.NO_CONSENT
    renewed = dataclasses.replace(
        updated,
        end_s=max(updated.end_s, lease.compute_lease_end(now)),
        has_joined=True,
        was_renewed=True,
        loads=heartbeat.loads or updated.loads,
        hot_keys=heartbeat.hot_keys or updated.hot_keys,
    )
    return _put_lease(state, renewed), HeartbeatAnswer.RENEW


def may_renew(state: Coordinator, node: identity.NodeId, now: float) -> bool:
    """Return whether the coordinator may renew a node's lease.

    Without a standby, only the coordinator's own node is renewed: if the coordinator were lost, no
    node would know when the last of its leases ends.

    :param state: the coordinator.
    :param node: the node.
    :param now: the time in seconds.
    """
    required = list_required(state)
    if not required and node != state.instance.node:
        return False
    return lease.may_renew(state.consents, [instance.node for instance in required], now)


def build_renewal(
    state: Coordinator, heartbeat: message.Heartbeat, quarantine: list[message.Quarantined]
) -> message.Renewal:
    """Return the renewal to send in reply to a heartbeat.

    :param state: the coordinator, after :func:`handle_heartbeat`.
    :param heartbeat: the heartbeat.
    :param quarantine: the quarantined requests to distribute.
    """
    is_new = heartbeat.members_version != state.members_version
    members = [node_lease.member for node_lease in state.leases.values()] if is_new else []
    return message.Renewal(
        term=state.row.term,
        lease_s=lease.LEASE_S,
        coordinator=state.instance.node,
        config_version=state.config_version,
        routes_version=state.routes_version,
        routes=list_routes(state, heartbeat.routes_version),
        members_version=state.members_version,
        members=members,
        quarantine=quarantine,
        holdings_digest=(
            _confirm_holdings(state, heartbeat.member.node) if heartbeat.is_suspended else None
        ),
    )


def _confirm_holdings(state: Coordinator, node: identity.NodeId) -> int | None:
    """Return the digest that confirms a node's suspended holdings, or ``None``.

    The holdings may be served again only if the node is the sole holder of each, under the
    committed fencing token. After a claim, nodes that have not answered yet may hold anything else.
    """
    for entry in state.assignments.values():
        holder = entry.holders.get(node)
        if holder is None:
            continue
        is_current = entry.owner == node and holder.fence == entry.fence
        if not is_current or len(entry.holders) > 1:
            return None
    return state.digests.get(node, 0)


def list_routes(state: Coordinator, known_version: int) -> list[message.Route]:
    """Return the routes that changed since a version.

    :param state: the coordinator.
    :param known_version: the routes version that the node has; with one of an earlier term, all
        routes are returned.
    """
    if known_version == state.routes_version:
        return []
    routes = [
        message.Route(shard=shard, owner=entry.owner, fence=entry.fence)
        for shard, entry in state.assignments.items()
        if entry.changed_version > known_version and entry.fence > 0 and not entry.is_merged
    ]
    gone = [
        message.Route(shard=shard, owner=lease.NOBODY, fence=identity.Fence(0))
        for shard, changed in state.removed_keys.items()
        if changed > known_version
    ]
    return routes + gone


def record_holdings(
    state: Coordinator,
    following: message.Following,
    find_parent: FindParent,
    now: float,
) -> Coordinator:
    """Record the shards that a node reports to hold.

    The node may be serving them. Those that it should not hold are revoked by
    :func:`list_actions`; until then it counts as their holder, and they are granted to no other.

    :param state: the coordinator.
    :param following: the node's report.
    :param find_parent: returns the partition of a key's shard.
    :param now: the time in seconds.
    """
    node = following.member.node
    end_s = max(lease.compute_lease_end(now), state.unknown_until_s)
    node_lease = NodeLease(
        member=following.member,
        end_s=end_s,
        last_heartbeat_at_s=now,
        has_joined=bool(following.holdings),
    )
    state = _put_lease(state, node_lease)
    changes: dict[identity.ShardId, Assignment] = {}
    for holding in following.holdings:
        entry = state.assignments.get(holding.shard)
        if entry is None:
            is_key = identity.split_shard(holding.shard)[2] is not None
            parent = find_parent(holding.shard) if is_key else None
            entry = Assignment(fence=holding.fence, parent=parent, is_merged=is_key)
        is_owner = entry.owner == node
        holder = Holder(
            fence=holding.fence,
            excluded=frozenset(holding.excluded),
            is_accepted=is_owner and holding.fence == entry.fence,
        )
        changes[holding.shard] = dataclasses.replace(
            entry,
            holders={**entry.holders, node: holder},
            # The node has not received the committed fencing token, and refuses it from the former
            # coordinator by now, so no request was served under it.
            is_grantable=entry.is_grantable or (is_owner and holding.fence < entry.fence),
        )
    return _put_assignments(state, changes)


def expire(
    state: Coordinator, find_grace: FindGrace, now: float
) -> tuple[Coordinator, list[identity.NodeId]]:
    """Remove nodes whose lease has surely expired, and return the state and the removed nodes.

    Their shards become free after the grace period of the service.

    :param state: the coordinator.
    :param find_grace: returns, by service, the grace period in seconds after the loss of an owner.
    :param now: the time in seconds.
    """
    lost = [node for node, node_lease in state.leases.items() if now >= node_lease.end_s]
    for node in lost:
        state = _drop_node(state, node, find_grace)
    return state, lost


def _drop_node(state: Coordinator, node: identity.NodeId, find_grace: FindGrace) -> Coordinator:
    end_s = state.leases[node].end_s
    leases = {other: node_lease for other, node_lease in state.leases.items() if other != node}
    state = _increment_members_version(dataclasses.replace(state, leases=leases))
    changes = {}
    for shard, entry in state.assignments.items():
        if entry.target == node:
            entry = dataclasses.replace(entry, target=None, reason=None)
            changes[shard] = entry
        if node in entry.holders:
            holders = {other: holder for other, holder in entry.holders.items() if other != node}
            service = identity.split_shard(shard)[0]
            free_at = max(entry.free_at_s, end_s + find_grace(service))
            changes[shard] = dataclasses.replace(
                entry, holders=holders, free_at_s=free_at, is_grantable=False
            )
    return _put_assignments(state, changes)


def is_drained(state: Coordinator, node: identity.NodeId) -> bool:
    """Return whether a stopping node has no shards left.

    For the coordinator's own node, every move must be finished as well, because the coordinator
    keeps the token memories of moving shards, and its successor does not get them.

    :param state: the coordinator.
    :param node: the node.
    """
    entries = state.assignments.values()
    if any(node == entry.owner or node in entry.holders for entry in entries):
        return False
    if node != state.instance.node:
        return True
    return all(
        entry.target is None and all(holder.is_accepted for holder in entry.holders.values())
        for entry in entries
    )


def is_member(state: Coordinator, node: identity.NodeId, now: float) -> bool:
    """Return whether a node has a valid lease and receives its renewals.

    :param state: the coordinator.
    :param node: the node.
    :param now: the time in seconds.
    """
    node_lease = state.leases.get(node)
    if node_lease is None or not node_lease.has_joined:
        return False
    return now < node_lease.end_s and node_lease.unreceived < MAX_UNRECEIVED_RENEWALS


def should_step_down(state: Coordinator, now: float) -> bool:
    """Return whether more than half of the nodes have been silent for too long.

    :param state: the coordinator.
    :param now: the time in seconds.
    """
    return _is_majority_silent(state, now, NODE_SILENCE_S)


def _is_majority_silent(state: Coordinator, now: float, silence_s: float) -> bool:
    silent = [
        node_lease
        for node_lease in state.leases.values()
        if now - node_lease.last_heartbeat_at_s > silence_s
    ]
    return 2 * len(silent) > len(state.leases)


def choose_standbys(state: Coordinator, now: float) -> list[NodeInstance]:
    """Return the standbys that the cell row should name.

    Standbys that answer are kept. Others are added from zones without a coordinator or standby; a
    node of the coordinator's own zone is chosen only if there is no other. A coordinator that hears
    from less than half of the nodes replaces no standby: it is about to step down, and then only
    the standbys can claim the cell.

    :param state: the coordinator.
    :param now: the time in seconds.
    """
    if _is_majority_silent(state, now, STANDBY_SILENCE_S):
        return state.row.standbys
    kept = [instance for instance in state.row.standbys if not _is_silent(state, instance, now)]
    zones = {state.zone} | {_find_zone(state, instance.node) for instance in kept}
    named = {instance.node for instance in kept}
    spare = [
        node_lease.member
        for node, node_lease in sorted(state.leases.items())
        if node not in named
        and node != state.instance.node
        and not node_lease.member.is_leaving
        and now - node_lease.last_heartbeat_at_s <= STANDBY_SILENCE_S
    ]
    for member in sorted(spare, key=lambda member: member.zone == state.zone):
        if len(kept) >= MAX_STANDBYS or (member.zone in zones and kept):
            continue
        kept.append(make_instance(member))
        zones.add(member.zone)
    return kept


def make_instance(member: message.Member) -> NodeInstance:
    """Return the entry of a node in the cell row.

    :param member: the node.
    """
    return NodeInstance(
        node=member.node, incarnation=member.incarnation, address=member.peer_address
    )


def propose_standbys(
    state: Coordinator, standbys: list[NodeInstance]
) -> tuple[Coordinator, CellRow]:
    """Return the state during a write of the cell row, and the row to write.

    :param state: the coordinator.
    :param standbys: the new standbys; each must have consented already.
    """
    row = CellRow(term=state.row.term, coordinator=state.row.coordinator, standbys=standbys)
    return dataclasses.replace(state, proposed_standbys=standbys), row


def record_cell_row(state: Coordinator, row: CellRow, version: int) -> Coordinator:
    """Record the cell row as committed or as read back, when no write of it is in flight.

    :param state: the coordinator.
    :param row: the row.
    :param version: its version.
    """
    versions = {**state.row_versions, name_cell_row(state.cell): version}
    return dataclasses.replace(state, row=row, proposed_standbys=[], row_versions=versions)


def _is_silent(state: Coordinator, instance: NodeInstance, now: float) -> bool:
    node_lease = state.leases.get(instance.node)
    if node_lease is not None and node_lease.member.incarnation != instance.incarnation:
        return True
    if node_lease is not None and node_lease.member.is_leaving:
        return True
    asked_at = state.consents.get(instance.node, -math.inf) - lease.CONSENT_S
    return now > max(asked_at, state.started_at_s) + STANDBY_SILENCE_S


def _find_zone(state: Coordinator, node: identity.NodeId) -> identity.ZoneId:
    node_lease = state.leases.get(node)
    return node_lease.member.zone if node_lease is not None else identity.ZoneId("")


# Assignment


def build_view(
    state: Coordinator, shards: collections.abc.Container[identity.ShardId], now: float
) -> assignment.PlacementView:
    """Return the input of placement.

    The owner of a moving shard is the node that it moves to; one whose owner was lost has none.

    :param state: the coordinator.
    :param shards: the partitions of the configuration in force.
    :param now: the time in seconds.
    """
    members = {
        node: node_lease.member
        for node, node_lease in state.leases.items()
        if is_member(state, node, now)
    }
    owners: dict[identity.ShardId, identity.NodeId | None] = {}
    for shard, entry in state.assignments.items():
        if entry.is_merged or (entry.parent or shard) not in shards:
            continue
        owner = entry.target if entry.target is not None else entry.owner
        is_held = entry.target is not None or entry.is_grantable or bool(entry.holders)
        owners[shard] = owner if owner in members and is_held else None
    return assignment.PlacementView(
        members=members,
        owners=owners,
        loads={
            entry.shard: entry.load
            for node_lease in state.leases.values()
            for entry in node_lease.loads
        },
        hot_keys={
            identity.name_key(service, key): share
            for node_lease in state.leases.values()
            for service, key, share in node_lease.hot_keys
        },
        now_s=now,
    )


def apply_plan(
    state: Coordinator, plan: assignment.Plan, find_parent: FindParent, now: float
) -> Coordinator:
    """Start the moves, splits and merges of a plan that are possible.

    :param state: the coordinator.
    :param plan: the plan.
    :param find_parent: returns the partition of a key's shard.
    :param now: the time in seconds.
    """
    changes = {}
    pending = {
        entry.parent for entry in state.assignments.values() if entry.is_merged and entry.holders
    }
    for move in plan.moves:
        entry = state.assignments.get(move.shard)
        if entry is None or entry.target is not None or move.shard in pending:
            continue
        if not entry.holders and not entry.is_grantable and now < entry.free_at_s:
            # The owner may still report that it holds the shard, and keep it.
            continue
        is_idle = move.target == entry.owner and (entry.is_grantable or bool(entry.holders))
        if is_member(state, move.target, now) and not is_idle and not entry.is_merged:
            changes[move.shard] = dataclasses.replace(entry, target=move.target, reason=move.reason)
    state = _put_assignments(state, changes)
    splits = {shard: find_parent(shard) for shard in plan.split if shard not in state.assignments}
    merges = frozenset(shard for shard in plan.merge if shard in state.assignments)
    return dataclasses.replace(
        state,
        pending_splits={**state.pending_splits, **splits},
        pending_merges=state.pending_merges | merges,
    )


def list_actions(state: Coordinator, now: float) -> Actions:
    """Return the shards to revoke and to grant now.

    :param state: the coordinator.
    :param now: the time in seconds.
    """
    excluded = _list_excluded(state)
    merged = [entry for entry in state.assignments.values() if entry.is_merged]
    revokes: list[tuple[identity.NodeId, identity.ShardId]] = []
    grants: dict[identity.NodeId, list[message.Holding]] = {}
    for shard, entry in state.assignments.items():
        keys = excluded.get(shard, frozenset())
        if _needs_no_action(entry, keys):
            continue
        revokes += [
            (node, shard) for node in entry.holders if _should_revoke(state, shard, entry, node)
        ]
        if _may_grant(state, shard, entry, keys, now) and _is_exclusive(
            state, shard, entry, merged
        ):
            holding = message.Holding(shard=shard, fence=entry.fence, excluded=sorted(keys))
            grants.setdefault(entry.owner, []).append(holding)
    return Actions(revokes=revokes, grants=grants)


def _needs_no_action(entry: Assignment, excluded: frozenset[identity.KeyId]) -> bool:
    """Return whether a shard needs no action, as is the case for nearly all shards at any time."""
    holder = entry.holders.get(entry.owner)
    if holder is None or len(entry.holders) > 1 or entry.target is not None or entry.is_merged:
        return False
    return holder.is_accepted and holder.fence == entry.fence and holder.excluded == excluded


def _list_excluded(
    state: Coordinator,
) -> dict[identity.ShardId, frozenset[identity.KeyId]]:
    excluded: dict[identity.ShardId, set[identity.KeyId]] = {}
    for shard, entry in state.assignments.items():
        key = identity.split_shard(shard)[2] if entry.parent is not None else None
        if key is not None and entry.parent is not None and not entry.is_merged:
            excluded.setdefault(entry.parent, set()).add(key)
    return {shard: frozenset(keys) for shard, keys in excluded.items()}


def _should_revoke(
    state: Coordinator, shard: identity.ShardId, entry: Assignment, node: identity.NodeId
) -> bool:
    if node not in state.leases:
        return False
    if entry.is_merged:
        return not _merges_in_place(state, entry, node)
    return node != (entry.target if entry.target is not None else entry.owner)


def _merges_in_place(state: Coordinator, entry: Assignment, node: identity.NodeId) -> bool:
    """Return whether a node that holds a merged key also owns and holds its partition.

    A grant of the partition then merges them at the node.
    """
    parent = state.assignments.get(entry.parent) if entry.parent is not None else None
    return parent is not None and parent.owner == node and node in parent.holders


def _may_grant(
    state: Coordinator,
    shard: identity.ShardId,
    entry: Assignment,
    excluded: frozenset[identity.KeyId],
    now: float,
) -> bool:
    """Return whether a shard can be granted to its committed owner now.

    No other node may hold it. The owner must lack the committed fencing token or the present
    excluded keys, or must not have accepted its last grant.
    """
    if entry.is_merged or entry.owner not in state.leases or entry.target is not None:
        return False
    if any(node != entry.owner for node in entry.holders):
        return False
    holder = entry.holders.get(entry.owner)
    if holder is not None and holder.is_accepted and holder.excluded == excluded:
        return holder.fence < entry.fence and entry.is_grantable
    if holder is None and not (entry.is_grantable and now >= entry.free_at_s):
        return False
    return holder is None or holder.fence == entry.fence or entry.is_grantable


def _is_exclusive(
    state: Coordinator, shard: identity.ShardId, entry: Assignment, merged: list[Assignment]
) -> bool:
    """Return whether no other node can serve keys of the shard as part of another shard."""
    if entry.parent is not None:
        parent = state.assignments.get(entry.parent, Assignment())
        key = identity.split_shard(shard)[2]
        return all(
            node == entry.owner or (holder.is_accepted and key in holder.excluded)
            for node, holder in parent.holders.items()
        )
    return all(
        node == entry.owner and node in entry.holders
        for child in merged
        if child.parent == shard
        for node in child.holders
    )


def record_grant_sent(
    state: Coordinator, node: identity.NodeId, holdings: list[message.Holding]
) -> Coordinator:
    """Record a node as holder of shards that are about to be granted to it.

    :param state: the coordinator.
    :param node: the node.
    :param holdings: from :func:`list_actions`.
    """
    changes = {}
    for holding in holdings:
        entry = state.assignments[holding.shard]
        holder = Holder(fence=holding.fence, excluded=frozenset(holding.excluded))
        changes[holding.shard] = dataclasses.replace(entry, holders={**entry.holders, node: holder})
    return _put_assignments(state, changes)


def record_grant_accepted(
    state: Coordinator, node: identity.NodeId, holdings: list[message.Holding]
) -> Coordinator:
    """Record that a node has accepted a grant.

    :param state: the coordinator.
    :param node: the node.
    :param holdings: the holdings that were granted.
    """
    changes = {}
    merged = {shard: entry for shard, entry in state.assignments.items() if entry.is_merged}
    for holding in holdings:
        entry = state.assignments.get(holding.shard)
        holder = entry.holders.get(node) if entry is not None else None
        granted = Holder(fence=holding.fence, excluded=frozenset(holding.excluded))
        if entry is None or holder is None or holder != granted:
            continue
        accepted = dataclasses.replace(granted, is_accepted=True)
        changes[holding.shard] = dataclasses.replace(
            entry, holders={**entry.holders, node: accepted}
        )
        for shard, child in merged.items():
            if child.parent == holding.shard and node in child.holders:
                changes[shard] = _drop_holder(child, node)
    return _put_assignments(state, changes)


def record_release(
    state: Coordinator,
    node: identity.NodeId,
    shard: identity.ShardId,
    *,
    has_memory: bool,
) -> Coordinator:
    """Record that a node does not hold a shard and will not accept an earlier grant of it.

    A release under an earlier fencing token doesn't show what was served under the committed one,
    so its token memory does not make the shard grantable.

    :param state: the coordinator.
    :param node: the node.
    :param shard: the shard.
    :param has_memory: whether the coordinator has the node's token memory, or the node has not held
        the shard.
    """
    entry = state.assignments.get(shard)
    if entry is None or node not in entry.holders:
        return state
    is_current = entry.holders[node].fence == entry.fence
    is_grantable = has_memory if is_current else entry.is_grantable
    entry = dataclasses.replace(_drop_holder(entry, node), is_grantable=is_grantable)
    return _put_assignments(state, {shard: entry})


def cancel_moves(
    state: Coordinator, shards: collections.abc.Iterable[identity.ShardId]
) -> Coordinator:
    """Cancel moves that are not committed; their shards return to the committed owner.

    :param state: the coordinator.
    :param shards: the shards.
    """
    changes = {
        shard: dataclasses.replace(state.assignments[shard], target=None, reason=None)
        for shard in shards
        if shard in state.assignments and state.assignments[shard].target is not None
    }
    return _put_assignments(state, changes)


def _drop_holder(entry: Assignment, node: identity.NodeId) -> Assignment:
    holders = {other: holder for other, holder in entry.holders.items() if other != node}
    return dataclasses.replace(entry, holders=holders)


def build_transaction(state: Coordinator, now: float) -> Transaction | None:
    """Return the write that commits every move, split and merge that is due, or ``None``.

    :param state: the coordinator.
    :param now: the time in seconds.
    """
    changes = [
        change
        for shard, entry in state.assignments.items()
        if entry.target is not None
        and (change := _build_move(state, shard, entry, now)) is not None
    ]
    moved = {change.shard for change in changes}
    for shard, parent in state.pending_splits.items():
        if (
            shard not in state.assignments
            and _is_held_by_owner(state, parent)
            and parent not in moved
        ):
            parent_entry = state.assignments[parent]
            changes.append(_make_split(shard, parent, parent_entry))
            moved.add(parent)
    for shard in sorted(state.pending_merges):
        entry = state.assignments.get(shard)
        partition = entry.parent if entry is not None else None
        if entry is None or partition is None or moved & {shard, partition}:
            continue
        if not (_is_held_by_owner(state, shard) and _is_held_by_owner(state, partition)):
            continue
        if state.assignments[partition].owner == entry.owner:
            changes += _make_merge(shard, entry, partition, state.assignments[partition])
            moved |= {shard, partition}
    if not changes:
        return None
    names = sorted({name_assignment_row(change.shard) for change in changes})
    expected = {name: state.row_versions.get(name, 0) for name in names}
    cell_row = name_cell_row(state.cell)
    expected[cell_row] = state.row_versions[cell_row]
    pages: dict[str, list[tuple[identity.ShardId, Assignment]]] = {name: [] for name in names}
    for shard, entry in apply_changes(state, changes).assignments.items():
        name = name_assignment_row(shard)
        if name in pages and entry.fence > 0 and not entry.is_merged:
            pages[name].append((shard, entry))
    writes: dict[str, bytes | None] = {
        name: _encode_page(name, sorted(listed, key=lambda item: item[0]))
        for name, listed in pages.items()
    }
    return Transaction(expected=expected, writes=writes, changes=changes)


def _build_move(
    state: Coordinator, shard: identity.ShardId, entry: Assignment, now: float
) -> Change | None:
    target = entry.target
    if target is None or target not in state.leases or now < entry.free_at_s:
        return None
    if any(node != target for node in entry.holders):
        return None
    return Change(
        shard=shard,
        previous_owner=entry.owner,
        owner=target,
        fence=_next_fence(entry),
        reason=entry.reason or assignment.MoveReason.ORPHANED,
        parent=entry.parent,
    )


def _next_fence(*entries: Assignment) -> identity.Fence:
    fences = [entry.fence for entry in entries]
    fences += [holder.fence for entry in entries for holder in entry.holders.values()]
    return identity.Fence(max(fences) + 1)


def _is_held_by_owner(state: Coordinator, shard: identity.ShardId) -> bool:
    """Return whether the owner alone holds a shard, and no move or merge is in progress.

    The owner must have a lease, and hold the shard under the committed fencing token.
    """
    entry = state.assignments.get(shard)
    if entry is None or entry.target is not None or entry.is_merged:
        return False
    if set(entry.holders) != {entry.owner} or entry.owner not in state.leases:
        return False
    holder = entry.holders[entry.owner]
    return holder.is_accepted and holder.fence == entry.fence


def _make_split(
    shard: identity.ShardId, parent: identity.ShardId, parent_entry: Assignment
) -> Change:
    # The key's fencing token exceeds its partition's, because targets may compare tokens by key.
    return Change(
        shard=shard,
        previous_owner=parent_entry.owner,
        owner=parent_entry.owner,
        fence=_next_fence(parent_entry),
        reason=assignment.MoveReason.HOT_KEY,
        parent=parent,
        is_split=True,
    )


def _make_merge(
    shard: identity.ShardId, entry: Assignment, parent: identity.ShardId, parent_entry: Assignment
) -> list[Change]:
    key = Change(
        shard=shard,
        previous_owner=entry.owner,
        owner=entry.owner,
        fence=entry.fence,
        reason=assignment.MoveReason.HOT_KEY,
        parent=parent,
        is_merged=True,
    )
    partition = Change(
        shard=parent,
        previous_owner=parent_entry.owner,
        owner=parent_entry.owner,
        fence=_next_fence(entry, parent_entry),
        reason=assignment.MoveReason.HOT_KEY,
    )
    return [key, partition]


def _encode_page(name: str, listed: list[tuple[identity.ShardId, Assignment]]) -> bytes:
    if name.startswith("hot/"):
        return encode_row(
            HotRow(
                entries=[
                    HotEntry(
                        key=identity.split_shard(shard)[2] or identity.KeyId(""),
                        parent=entry.parent or shard,
                        owner=entry.owner,
                        fence=entry.fence,
                    )
                    for shard, entry in listed
                ]
            )
        )
    entries = [
        PageEntry(
            partition=identity.split_shard(shard)[1] or identity.Partition(0),
            owner=entry.owner,
            fence=entry.fence,
        )
        for shard, entry in listed
    ]
    return encode_row(PageRow(entries=sorted(entries, key=lambda entry: entry.partition)))


def apply_changes(state: Coordinator, changes: list[Change]) -> Coordinator:
    """Apply committed changes to the assignments.

    :param state: the coordinator.
    :param changes: the changes.
    """
    updated: dict[identity.ShardId, Assignment] = {}
    for change in changes:
        entry = state.assignments.get(change.shard, Assignment())
        if change.is_split:
            # The node serves the key as part of its partition until it receives the grant.
            holder = Holder(fence=identity.Fence(change.fence - 1))
            entry = Assignment(holders={change.owner: holder})
        updated[change.shard] = dataclasses.replace(
            entry,
            owner=change.owner,
            fence=change.fence,
            parent=change.parent,
            target=None,
            reason=None,
            is_grantable=True,
            is_merged=change.is_merged,
        )
    done = {change.shard for change in changes}
    state = dataclasses.replace(
        state,
        pending_splits={
            shard: parent for shard, parent in state.pending_splits.items() if shard not in done
        },
        pending_merges=state.pending_merges - done,
    )
    return _put_assignments(state, updated)


def record_commit(state: Coordinator, transaction: Transaction) -> Coordinator:
    """Record the versions of rows after a commit.

    Each written row is assumed to be one version higher. If the table counts differently, the next
    commit conflicts and the rows are read back.

    :param state: the coordinator.
    :param transaction: the committed write.
    """
    written = {name: transaction.expected[name] + 1 for name in transaction.writes}
    return dataclasses.replace(state, row_versions={**state.row_versions, **written})


# Updates that also maintain digests and versions


def _put_assignments(
    state: Coordinator, changes: dict[identity.ShardId, Assignment]
) -> Coordinator:
    if not changes:
        return state
    assigned = dict(state.assignments)
    digests = dict(state.digests)
    removed = dict(state.removed_keys)
    version = state.routes_version + 1
    is_rerouted = False
    for shard, entry in changes.items():
        before = assigned.get(shard, Assignment())
        for node, holder in [*before.holders.items(), *entry.holders.items()]:
            digests[node] = digests.get(node, 0) ^ _digest(shard, holder)
        if (before.owner, before.fence, before.is_merged) != (
            entry.owner,
            entry.fence,
            entry.is_merged,
        ):
            is_rerouted = True
            entry = dataclasses.replace(entry, changed_version=version)
            removed.pop(shard, None)
            if entry.is_merged:
                removed[shard] = version
        assigned[shard] = entry
        if entry.is_merged and not entry.holders:
            del assigned[shard]
    return dataclasses.replace(
        state,
        assignments=assigned,
        digests=digests,
        removed_keys=removed,
        routes_version=version if is_rerouted else state.routes_version,
    )


def _digest(shard: identity.ShardId, holder: Holder) -> int:
    holding = message.Holding(shard=shard, fence=holder.fence, excluded=sorted(holder.excluded))
    return lease.digest_holdings([holding])


def _put_lease(state: Coordinator, node_lease: NodeLease) -> Coordinator:
    node = node_lease.member.node
    before = state.leases.get(node)
    state = dataclasses.replace(state, leases={**state.leases, node: node_lease})
    return (
        state
        if before is not None and before.member == node_lease.member
        else _increment_members_version(state)
    )


def _increment_members_version(state: Coordinator) -> Coordinator:
    return dataclasses.replace(state, members_version=state.members_version + 1)
