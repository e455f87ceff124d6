"""Members and ledgers as rows of the store, and the messages that announce new ledgers."""

import collections.abc
import dataclasses
import functools
import logging
import urllib.parse

from returns import result
import trio

from ebonyvalve.process import budget, decision, decoding, identity, member, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import lease, ledger, rebalancing, restoration
from ebonyvalve.process.store import era, follow, table

log = logging.getLogger(__name__)

MESH = table.TableName("mesh")
LEASES = table.TableName("lease")
MEMBER_PREFIX = "member/"
LEDGER_PREFIX = "book/"
# A follow that times out without changes costs one call. Dead connections are found by keep-alive
# probes, not by this time.
FOLLOW_S = 10.0
# A shorter follow would be rounded to none, and repeated until its time has come.
MIN_FOLLOW_S = 0.05
# Changes to many rows at once are collected for this long and read in one call.
DEBOUNCE_S = 0.8
# A store that refuses calls is asked again soon, because its outages end without notice.
RETRY_S = 0.25
# Bounds how long ago a node of an earlier release that follows the store for others had read the
# rows that it sends.
UNKNOWN_AGE_S = 9.0
# Higher than any version that the store can reach.
UNREACHABLE_VERSION = decoding.MAX_COUNT + 1
LEDGER_PATH = "/ebonyvalve/ledger/"
# After a restore, nodes whose rows the copy lacks are given this long to write them again. Each
# notices the restore with its next call, a lease renewal at the latest.
REWRITE_S = 2 * lease.RENEW_S
# The departures that are remembered in case that the store forgets them.
MAX_REMOVED = 256
# A target that has left may run on for some seconds, and its reports may be late by some seconds.
DEPARTED_RETENTION_S = 600.0


def name_member_row(name: identity.NodeId) -> table.Name:
    """Return the name of the row with a node's announcement.

    :param name: the node.
    """
    return table.Name(table=MESH, key=MEMBER_PREFIX + name)


def name_ledger_row(service: identity.ServiceId) -> table.Name:
    """Return the name of the row with a service's ledger.

    :param service: the service.
    """
    return table.Name(table=MESH, key=LEDGER_PREFIX + service)


def name_lease_row(name: identity.NodeId) -> table.Name:
    """Return the name of the row with a node's lease.

    :param name: the node.
    """
    return table.Name(table=LEASES, key=name)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OpenWrite:
    """A write of the ledger whose result is not known.

    The store may still apply it while the ledger and the node's lease have these versions.
    """

    proposed: ledger.Ledger
    ledger_version: int
    lease_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class DepartedRow:
    """The row of a node whose target has left. ``seen_at`` is in seconds on the node's clock."""

    version: int
    seen_at: float


# Gets rows of members and ledgers that were complete at a time, in seconds on the node's clock, and
# whether these are all rows.
OnRows = collections.abc.Callable[[table.Rows, float, bool], None]


def ignore_rows(rows: table.Rows, current_at: float, is_whole: bool) -> None:
    """Do nothing with rows."""


@dataclasses.dataclass(kw_only=True)
class Reconciler:
    """The node's rows in the store, and how far it has read the other rows.

    ``mesh_version`` is the version up to which members and ledgers have been read.
    ``announced_version`` is that of the node's row when it wrote ``announced_member``, and
    ``own_row_version`` the one that the row has as far as the node knows.
    ``leases_asked_at`` is when the leases were last requested, ``leases_read_at`` when an answer
    last arrived. Times are in seconds on the node's clock. ``on_rows`` gets all rows that are read,
    and ``find_follow_s`` returns the longest wait for changes.
    """

    node: node_module.Node
    store: table.Store
    connect: network.Connect
    mesh_version: int = 0
    announced_member: member.Member | None = None
    announced_version: int = table.MISSING
    own_row_version: int = table.MISSING
    lease_row: lease.LeaseRow | None = None
    lease_version: int = table.MISSING
    leases_read_at: float = float("-inf")
    leases_asked_at: float = float("-inf")
    # When this node is to take over the keys of lost nodes; None if there are no lost nodes.
    takeover_at: float | None = None
    discovery_started_at: float | None = None
    pacing: rebalancing.Pacing = dataclasses.field(default_factory=rebalancing.Pacing)
    # Whether a write is waiting for members that are as new as the ledger.
    needs_members: bool = False
    # Whether the last changes came from another node, which collects them for a while.
    is_relayed: bool = False
    # The nodes that are affected by a ledger written here and have not been notified of it.
    nodes_to_notify: set[identity.NodeId] = dataclasses.field(default_factory=set)
    # How many times the leases have been read in search of the one of each member without a lease.
    lease_lookups: dict[identity.Lifetime, int] = dataclasses.field(default_factory=dict)
    # The node grants nothing by an older ledger than this. It had no lease before this version was
    # read, so that other targets may have received its target's keys.
    min_ledger_version: int = 0
    # Writes that take keys from this node's target and may still be applied.
    open_writes: list[OpenWrite] = dataclasses.field(default_factory=list)
    # Whether the lease is to be renewed early, after which no open write can be applied any more.
    is_renewal_due: bool = False
    # Whether the lease of a node may have been removed since the leases were last read.
    has_stale_leases: bool = False
    on_rows: OnRows = ignore_rows
    find_follow_s: collections.abc.Callable[[], float] = lambda: FOLLOW_S
    # What the node certainly held when it saw the newest era of the store.
    inheritance: restoration.Inheritance = dataclasses.field(
        default_factory=restoration.Inheritance
    )
    # Writes that complete moves away from this node's target and may have been applied.
    open_handovers: list[OpenWrite] = dataclasses.field(default_factory=list)
    # Whether the members of an earlier era are known, which are newer than those of the copy.
    has_earlier_members: bool = False
    # When the members are read again to drop those that have not written their rows again.
    reread_at: float | None = None
    # When this node is to begin or to clear the ledger after a restore; None if neither is due.
    restoration_at: float | None = None
    # Lifetimes of targets that have left or whose rows were removed, the oldest first.
    removed_lifetimes: dict[identity.Lifetime, None] = dataclasses.field(default_factory=dict)
    # The rows of nodes whose targets have left; no member has one of these names.
    departed_rows: dict[identity.NodeId, DepartedRow] = dataclasses.field(default_factory=dict)


async def follow_mesh(reconciler: Reconciler) -> None:
    """Read members and ledgers and follow their changes, until cancelled.

    :param reconciler: the state.
    """
    while True:
        read: table.Rows | table.Failure | None
        asked_at = reconciler.node.now()
        is_reread = _is_reread_due(reconciler)
        if is_reread or not reconciler.node.is_mesh_known:
            read = await reconciler.store.read(MESH)
            is_whole = True
        else:
            # Other nodes collect changes for a while, which a write can't wait for.
            wait_s = 0.0 if reconciler.needs_members else _find_follow_wait(reconciler)
            version = reconciler.mesh_version
            read = await follow.run_interruptible(
                functools.partial(reconciler.store.follow, MESH, version, wait_s),
                reconciler.node.follow_restart.wait,
            )
            is_whole = False
            if read is None:
                continue
        if isinstance(read, table.Rows):
            apply_rows(reconciler, read, is_whole=is_whole, asked_at=asked_at)
            if is_reread:
                reconciler.reread_at = None
            reconciler.is_relayed = read.is_relayed
            if not read.is_relayed:
                await _debounce(reconciler)
            continue
        if read is table.Failure.HISTORY_GONE:
            await reload_mesh(reconciler)
            continue
        await node_module.pause(reconciler.node, RETRY_S * (1 + reconciler.node.draw()))


def _is_reread_due(reconciler: Reconciler) -> bool:
    reread_at = reconciler.reread_at
    return reread_at is not None and reconciler.node.now() >= reread_at


def _find_follow_wait(reconciler: Reconciler) -> float:
    """Return the longest wait of the next follow in seconds."""
    longest_s = reconciler.find_follow_s()
    if reconciler.reread_at is None:
        return longest_s
    return min(longest_s, max(MIN_FOLLOW_S, reconciler.reread_at - reconciler.node.now()))


async def _debounce(reconciler: Reconciler) -> None:
    """Wait for further changes to arrive, or until a write needs to know of them."""
    with trio.move_on_after(DEBOUNCE_S):
        while not reconciler.needs_members and not is_outdated(reconciler):
            await reconciler.node.changed.wait()


def is_outdated(reconciler: Reconciler) -> bool:
    """Return whether members and ledgers have not been read since the store was restored.

    :param reconciler: the state.
    """
    return era.find_era(reconciler.mesh_version) < reconciler.node.eras.current


def has_current_members(
    reconciler: Reconciler, versioned_ledger: node_module.VersionedLedger
) -> bool:
    """Return whether the known members are as new as a ledger, and request them if not.

    A ledger arrives before the members if another node pushes it or a write conflicts. A change
    planned from older members could undo what their nodes have just written, and those would undo
    it in turn.

    :param reconciler: the state.
    :param versioned_ledger: the ledger on which a write is to be based.
    """
    if reconciler.mesh_version >= versioned_ledger.version:
        return True
    if not reconciler.needs_members:
        reconciler.needs_members = True
        node_module.notify_changed(reconciler.node)
        if reconciler.is_relayed:
            node_module.restart_mesh_follow(reconciler.node)
    return False


async def reload_mesh(reconciler: Reconciler) -> None:
    """Read all members and ledgers again, or wait a moment if the store does not answer.

    :param reconciler: the state.
    """
    asked_at = reconciler.node.now()
    read = await reconciler.store.read(MESH)
    if isinstance(read, table.Rows):
        apply_rows(reconciler, read, is_whole=True, asked_at=asked_at)
    else:
        await node_module.pause(reconciler.node, RETRY_S)


def apply_rows(
    reconciler: Reconciler,
    read: table.Rows,
    *,
    is_whole: bool,
    asked_at: float = float("-inf"),
) -> None:
    """Apply rows of members and ledgers.

    :param reconciler: the state.
    :param read: the rows.
    :param is_whole: whether these are all rows of the table, so that missing ones were removed.
    :param asked_at: when they were requested, in seconds on the node's clock, if known.
    """
    node = reconciler.node
    lead_s = -UNKNOWN_AGE_S if read.lead_s is None else read.lead_s
    reconciler.on_rows(read, asked_at + lead_s, is_whole)
    if is_whole:
        names = {row.name.key for row in read.rows}
        is_early = node.now() < node.eras.seen_at + REWRITE_S and reconciler.has_earlier_members
        for name in list(node.members):
            if MEMBER_PREFIX + name not in names and not is_early:
                drop_member(reconciler, name)
        for name in list(reconciler.departed_rows):
            if MEMBER_PREFIX + name not in names:
                del reconciler.departed_rows[name]
        _forget_lost_ledgers(reconciler, names)
        if MEMBER_PREFIX + node.place.node not in names:
            _record_own_row(reconciler, None, table.MISSING, read.version)
        row_names = {format_row_name(row.name) for row in read.rows}
        decoding.forget_missing(node.unreadable_rows, MESH, row_names)
    for row in read.rows:
        # All rows may have been read again while another node was asked for the changes.
        if is_whole or row.version > reconciler.mesh_version:
            apply_row(reconciler, row)
    reconciler.mesh_version = max(reconciler.mesh_version, read.version)
    reconciler.needs_members = False
    budget.divide_burst(node.budget, node.place.retries.slack, len(node.members))
    apply_clock(reconciler, read.clock)
    node.is_mesh_known = True
    node_module.notify_changed(node)


def _forget_lost_ledgers(reconciler: Reconciler, names: set[str]) -> None:
    """Let ledgers that the copy of a restored store lacks be written as new rows."""
    node = reconciler.node
    for service, versioned in node.ledgers.items():
        if LEDGER_PREFIX + service not in names and era.is_earlier(node.eras, versioned.version):
            node.ledgers[service] = dataclasses.replace(versioned, version=table.MISSING)


def apply_clock(reconciler: Reconciler, read: lease.StoreClock | None) -> None:
    """Update the node's reading of the store's clock.

    :param reconciler: the state.
    :param read: the reading that came with an answer, if any.
    """
    node = reconciler.node
    if read is not None:
        node.store_clock = lease.choose_clock(node.store_clock, read, node.now())


def apply_row(reconciler: Reconciler, row: table.Row) -> None:
    """Apply the row of a member or a ledger; an invalid row changes nothing that the node knows.

    :param reconciler: the state.
    :param row: the row.
    """
    key = row.name.key
    fault = ""
    is_missing = table.is_missing(row)
    if key.startswith(MEMBER_PREFIX):
        name = identity.NodeId(key.removeprefix(MEMBER_PREFIX))
        if is_missing:
            known = reconciler.node.members.get(name)
            if known is not None:
                _remember_removed(reconciler, known.lifetime)
            reconciler.departed_rows.pop(name, None)
            drop_member(reconciler, name)
        else:
            fault = _apply_member_row(reconciler, name, row)
    elif key.startswith(LEDGER_PREFIX) and not is_missing:
        fault = _apply_ledger(reconciler, identity.ServiceId(key.removeprefix(LEDGER_PREFIX)), row)
    row_name = format_row_name(row.name)
    if key == MEMBER_PREFIX + reconciler.node.place.node:
        decoded = None if is_missing else member.decode(row.value).value_or(None)
        version = table.MISSING if is_missing else row.version
        _record_own_row(reconciler, decoded, version, row.version)
    if fault:
        decoding.record_unreadable(
            reconciler.node.unreadable_rows, log, row_name, row.version, fault
        )
    else:
        decoding.record_readable(reconciler.node.unreadable_rows, row_name, row.version)


def _record_own_row(
    reconciler: Reconciler, found: member.Member | None, version: int, read_version: int
) -> None:
    """Record the node's own row, and write it again if another one has taken its place.

    It may be an earlier row that the store has written late, or one that nodes can't read. The
    nodes that start now know no other.
    """
    if read_version <= reconciler.announced_version:
        return
    reconciler.own_row_version = version
    known = reconciler.announced_member
    if known is None:
        return
    # The row may also be one that is being written, whose answer has not arrived yet.
    for expected in (known, node_module.build_member(reconciler.node)):
        is_removal = expected is not None and node_module.is_removal(expected)
        if found == expected or (found is None and is_removal):
            break
    else:
        reconciler.announced_member = None
        decision.record(log, logging.WARNING, "own-row-replaced", version=read_version)


def format_row_name(name: table.Name) -> str:
    """Return the name of a row as it is shown to operators.

    :param name: the name of the row.
    """
    return f"{name.table}/{name.key}"


def _apply_member_row(reconciler: Reconciler, name: identity.NodeId, row: table.Row) -> str:
    """Apply an announcement; return why it is invalid, or an empty string."""
    decoded = member.decode(row.value)
    if not isinstance(decoded, result.Success):
        return decoded.failure()
    announced = decoded.unwrap()
    if announced.node != name:
        return f"the announcement is of node {announced.node!r}"
    if reconciler.has_earlier_members and era.is_copied(
        reconciler.node.eras, announced.era, row.version
    ):
        # What this node knows is newer, and the row's own node writes it again.
        return ""
    if name == reconciler.node.place.node:
        node_module.record_own_row(reconciler.node, announced)
    if member.has_left(announced):
        _record_departed(reconciler, announced, row.version)
    else:
        reconciler.departed_rows.pop(name, None)
        _apply_member(reconciler, announced)
    return ""


def _record_departed(reconciler: Reconciler, announced: member.Member, version: int) -> None:
    """Forget a node whose target has left, but not that it has."""
    name = announced.node
    known = reconciler.departed_rows.get(name)
    if known is None or known.version != version:
        now = reconciler.node.now()
        reconciler.departed_rows[name] = DepartedRow(version=version, seen_at=now)
    _remember_removed(reconciler, announced.lifetime)
    drop_member(reconciler, name)


def _remember_removed(reconciler: Reconciler, lifetime: identity.Lifetime) -> None:
    """Remember the lifetime of a target that has left, since a copy may bring it back."""
    reconciler.removed_lifetimes[lifetime] = None
    while len(reconciler.removed_lifetimes) > MAX_REMOVED:
        del reconciler.removed_lifetimes[next(iter(reconciler.removed_lifetimes))]


def drop_member(reconciler: Reconciler, name: identity.NodeId) -> None:
    """Forget a node whose row was removed.

    :param reconciler: the state.
    :param name: the node.
    """
    node = reconciler.node
    node.members.pop(name, None)
    versioned_ledger = node.ledgers.get(node.place.service)
    if versioned_ledger is None or name not in node.leases:
        return
    # Its lease may have been removed as well, which frees its keys.
    if name in ledger.list_nodes(versioned_ledger.ledger):
        reconciler.has_stale_leases = True


def _apply_member(reconciler: Reconciler, announced: member.Member) -> None:
    node = reconciler.node
    announced = node_module.apply_departure(node, announced)
    before = node.members.get(announced.node)
    node.members[announced.node] = announced
    if (
        before is None
        or before.lifetime != announced.lifetime
        or before.address != announced.address
    ):
        node.target_views.pop(announced.node, None)
    decision.record(
        log,
        logging.INFO,
        "member",
        member=announced.node,
        target=announced.lifetime,
        state=announced.state,
        zone=announced.zone,
    )


def _apply_ledger(reconciler: Reconciler, service: identity.ServiceId, row: table.Row) -> str:
    """Apply a ledger if it is newer than the known one; return why it is invalid, if it is."""
    before = reconciler.node.ledgers.get(service)
    if before is not None and before.version >= row.version:
        return ""
    read = ledger.decode(row.value)
    if not isinstance(read, result.Success):
        return read.failure()
    decoded = read.unwrap()
    if decoded.since > row.version:
        return "begun after its own version"
    node = reconciler.node
    if era.find_era(decoded.since) > node.eras.current:
        era.observe(node.eras, era.find_era(decoded.since), node.now(), source="ledger")
    written_at = find_written_at(node, row.version)
    if before is not None and restoration.is_newer(
        before.ledger, before.written_at, decoded, written_at
    ):
        # The store has an earlier ledger again. This one is written anew from what is known.
        node.ledgers[service] = dataclasses.replace(before, version=row.version)
        decision.record(
            log, logging.INFO, "ledger-kept", service=service, version=row.version, row=written_at
        )
        return ""
    if before is not None:
        if service == node.place.service and _is_replaced(node, before.ledger, decoded):
            inherit_keys(reconciler, node.eras.current)
        record_receivers(reconciler, before.ledger, decoded)
    node.ledgers[service] = node_module.VersionedLedger(
        ledger=decoded, version=row.version, written_at=written_at
    )
    decision.record(
        log,
        logging.INFO,
        "ledger",
        service=service,
        version=row.version,
        spans=len(decoded.spans),
        moving=sum(1 for span in decoded.spans if span.successor),
    )
    return ""


def find_written_at(node: node_module.Node, version: int) -> int:
    """Return the store's own version of a row that has just been written or read.

    :param node: the node.
    :param version: the version of the row.
    """
    return era.find_own_version(version) if node.eras.current else version


def _is_replaced(node: node_module.Node, known: ledger.Ledger, found: ledger.Ledger) -> bool:
    """Return whether a ledger was begun anew although this era had one already.

    A write of an earlier era that the store has applied late may have taken its place.
    """
    return known.since != found.since and restoration.is_begun(known, node.eras.current)


def inherit_keys(reconciler: Reconciler, number: int) -> None:
    """Record what the node certainly holds as an era of the store ends.

    :param reconciler: the state.
    :param number: the era that has ended.
    """
    node = reconciler.node
    versioned = node.ledgers.get(node.place.service)
    row, before = reconciler.lease_row, reconciler.inheritance
    reconciler.inheritance = restoration.Inheritance()
    is_valid = lease.find_hold(row, node.store_clock, node.now(), 1.0) > 0.0
    if versioned is None or row is None or not is_valid:
        return
    if versioned.version < reconciler.min_ledger_version:
        return
    known = versioned

    def is_disputed(span: ledger.Span) -> bool:
        writes = [
            write
            for write in reconciler.open_writes
            if write.lease_version == reconciler.lease_version
        ]
        return any(
            write.ledger_version == known.version
            and ledger.find_span(write.proposed, span.first).holder != span.holder
            for write in (*writes, *reconciler.open_handovers)
        )

    reconciler.inheritance = restoration.inherit(
        known.ledger,
        before,
        node.place.node,
        number=number,
        until_s=row.until_s,
        is_disputed=is_disputed,
    )


def record_receivers(reconciler: Reconciler, before: ledger.Ledger, after: ledger.Ledger) -> None:
    """Record the time at which targets received keys from others.

    :param reconciler: the state.
    :param before: the earlier ledger; without spans if there was none.
    :param after: the later one.
    """
    if before.spans:
        now = reconciler.node.now()
        reconciler.pacing.received_at.update(
            dict.fromkeys(ledger.find_receivers(before, after), now)
        )


async def push_ledger(reconciler: Reconciler) -> None:
    """Push each new ledger to the nodes that it affects, until cancelled.

    Successors wait for the keys in it. The other nodes read it from the store a little later, or
    learn of it from the answers of nodes that no longer hold a key. Pushing it to every node would
    cost one message per node for each write, all over the link of the writer.

    :param reconciler: the state.
    """
    node = reconciler.node
    while True:
        changed = node.changed
        versioned_ledger = node.ledgers.get(node.place.service)
        if not reconciler.nodes_to_notify or versioned_ledger is None:
            await changed.wait()
            continue
        recipients, reconciler.nodes_to_notify = (
            reconciler.nodes_to_notify - {node.place.node},
            set(),
        )
        service = urllib.parse.quote(node.place.service, safe="")
        path = f"{LEDGER_PATH}{service}/{versioned_ledger.version}"
        await push.send(
            node, reconciler.connect, recipients, path, ledger.encode(versioned_ledger.ledger)
        )


def apply_push(reconciler: Reconciler, path: str, body: bytes) -> bool:
    """Apply a ledger that another node has pushed; return whether it was valid.

    :param reconciler: the state.
    :param path: the path of the message, which names the service and the version.
    :param body: the ledger.
    """
    name, _, version = path.removeprefix(LEDGER_PATH).rpartition("/")
    service = identity.ServiceId(urllib.parse.unquote(name))
    version_number = decoding.read_count(version)
    if version_number:
        row = table.Row(name=name_ledger_row(service), value=body, version=version_number)
        fault = _apply_ledger(reconciler, service, row)
        if not fault:
            row_name = format_row_name(row.name)
            decoding.record_readable(reconciler.node.unreadable_rows, row_name, version_number)
    else:
        fault = "the version is not a positive number"
    if fault:
        decision.record(log, logging.ERROR, "push-unreadable", path=path[:200], cause=fault)
        return False
    node_module.notify_changed(reconciler.node)
    return True
