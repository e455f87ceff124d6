"""Members and ledgers as rows of the table, and what the nodes tell each other of them."""

import dataclasses
import functools
import logging

from returns import result
import trio

from ebonyvalve.process import budget, decision, decoding, identity, member, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import lease, ledger
from ebonyvalve.process.store import follow, table

log = logging.getLogger(__name__)

MESH = table.TableName("mesh")
LEASES = table.TableName("lease")
MEMBER_PREFIX = "member/"
LEDGER_PREFIX = "book/"
# A follow that returns nothing costs a call; silent connections are found by keep-alive probes.
FOLLOW_S = 10.0
# Changes of many rows at once are taken together.
DEBOUNCE_S = 0.8
# A store that refuses is asked again soon, since its outages end without notice.
RETRY_S = 0.25
# Above all versions of the store.
UNREACHABLE_VERSION = decoding.MAX_COUNT + 1
LEDGER_PATH = "/ebonyvalve/ledger/"


def name_member_row(name: identity.NodeId) -> table.Name:
    """Return the place of a node's announcement.

    :param name: the node.
    """
    return table.Name(table=MESH, key=MEMBER_PREFIX + name)


def name_ledger_row(service: identity.ServiceId) -> table.Name:
    """Return the place of a service's ledger.

    :param service: the service.
    """
    return table.Name(table=MESH, key=LEDGER_PREFIX + service)


def name_lease_row(name: identity.NodeId) -> table.Name:
    """Return the place of a node's lease.

    :param name: the node.
    """
    return table.Name(table=LEASES, key=name)


@dataclasses.dataclass(kw_only=True)
class Reconciler:
    """What the node has in the table, and how far it has read."""

    node: node_module.Node
    store: table.Store
    connect: network.Connect
    mesh_version: int = 0
    announced_member: member.Member | None = None
    lease_row: lease.LeaseRow | None = None
    lease_version: int = table.MISSING
    leases_read_at: float = float("-inf")
    leases_asked_at: float = float("-inf")
    # When this node takes the keys of lost ones, if there are any.
    takeover_at: float | None = None
    discovery_started_at: float | None = None
    rebalanced_at: float = float("-inf")
    rates_read_at: float = float("-inf")
    # When targets last got keys from others, in seconds on the node's clock.
    received_keys_at: dict[identity.Lifetime, float] = dataclasses.field(default_factory=dict)
    # Whether a write waits for members that are as new as the ledger.
    needs_members: bool = False
    # The nodes that a ledger written here concerns and that have not been told of it.
    nodes_to_notify: set[identity.NodeId] = dataclasses.field(default_factory=set)
    # How often the leases of members that have none were looked for.
    lease_lookups: dict[identity.Lifetime, int] = dataclasses.field(default_factory=dict)
    # The node grants by no older ledger. Its own lease was ended before this version was read, so
    # that others may have got its target's keys.
    min_ledger_version: int = 0
    # Whether the lease of a node may have been removed since the leases were read.
    has_stale_leases: bool = False


async def follow_mesh(steward: Reconciler) -> None:
    """Read members and ledgers, and keep up with their changes, until cancelled.

    :param steward: the state.
    """
    while True:
        read: table.Rows | table.Failure | None
        if not steward.node.is_mesh_known:
            read = await steward.store.read(MESH)
            is_whole = True
        else:
            version = steward.mesh_version
            read = await follow.run_interruptible(
                functools.partial(steward.store.follow, MESH, version, FOLLOW_S),
                steward.node.follow_restart.wait,
            )
            is_whole = False
            if read is None:
                continue
        if isinstance(read, table.Rows):
            apply_rows(steward, read, is_whole=is_whole)
            await _debounce(steward)
            continue
        if read is table.Failure.HISTORY_GONE:
            await reload_mesh(steward)
            continue
        await node_module.pause(steward.node, RETRY_S * (1 + steward.node.draw()))


async def _debounce(steward: Reconciler) -> None:
    """Wait until further changes have come, or until a write needs to know of them."""
    with trio.move_on_after(DEBOUNCE_S):
        while not steward.needs_members:
            await steward.node.changed.wait()


def has_current_members(steward: Reconciler, book: node_module.VersionedLedger) -> bool:
    """Return whether the known members are as new as a ledger; see to it if they are not.

    A ledger comes sooner than the members where another node tells it or a write conflicts. What
    is worked out from older members may undo what their own nodes have just written, and they
    would undo that in turn.

    :param steward: the state.
    :param book: the ledger that a write is to be based on.
    """
    if steward.mesh_version >= book.version:
        return True
    if not steward.needs_members:
        steward.needs_members = True
        node_module.notify_changed(steward.node)
    return False


async def reload_mesh(steward: Reconciler) -> None:
    read = await steward.store.read(MESH)
    if isinstance(read, table.Rows):
        apply_rows(steward, read, is_whole=True)
    else:
        await node_module.pause(steward.node, RETRY_S)


def apply_rows(steward: Reconciler, read: table.Rows, *, is_whole: bool) -> None:
    """Take in members and ledgers.

    :param steward: the state.
    :param read: the rows.
    :param is_whole: whether they are all there are.
    """
    node = steward.node
    if is_whole:
        names = {row.name.key for row in read.rows}
        for name in list(node.members):
            if MEMBER_PREFIX + name not in names:
                drop_member(steward, name)
        places = {format_row_name(row.name) for row in read.rows}
        decoding.forget_missing(node.unreadable_rows, MESH, places)
    for row in read.rows:
        apply_row(steward, row)
    steward.mesh_version = max(steward.mesh_version, read.version)
    steward.needs_members = False
    budget.divide_burst(node.budget, node.place.retries.slack, len(node.members))
    apply_clock(steward, read.clock)
    node.is_mesh_known = True
    node_module.notify_changed(node)


def apply_clock(steward: Reconciler, read: lease.StoreClock | None) -> None:
    """Take in a reading of the store's clock.

    :param steward: the state.
    :param read: the reading that came with an answer, if there was one.
    """
    node = steward.node
    if read is not None:
        node.store_clock = lease.choose_clock(node.store_clock, read, node.now())


def apply_row(steward: Reconciler, row: table.Row) -> None:
    """Take in a member or a ledger; one that can't be read leaves what the node knows as it is.

    :param steward: the state.
    :param row: its row.
    """
    key = row.name.key
    fault = ""
    if key.startswith(MEMBER_PREFIX):
        name = identity.NodeId(key.removeprefix(MEMBER_PREFIX))
        if row.is_removed:
            drop_member(steward, name)
        else:
            fault = _apply_member_row(steward, name, row)
    elif key.startswith(LEDGER_PREFIX) and not row.is_removed:
        fault = _apply_ledger(steward, identity.ServiceId(key.removeprefix(LEDGER_PREFIX)), row)
    place = format_row_name(row.name)
    if fault and key == MEMBER_PREFIX + steward.node.place.node:
        # Nodes that start now know nothing of this one until it is written anew.
        steward.announced_member = None
    if fault:
        decoding.record_unreadable(steward.node.unreadable_rows, log, place, row.version, fault)
    else:
        decoding.record_readable(steward.node.unreadable_rows, place, row.version)


def format_row_name(name: table.Name) -> str:
    """Return the name of a row for operators.

    :param name: the row's place.
    """
    return f"{name.table}/{name.key}"


def _apply_member_row(steward: Reconciler, name: identity.NodeId, row: table.Row) -> str:
    """Take in an announcement; return what is wrong with it, or an empty text."""
    decoded = member.decode(row.value)
    if not isinstance(decoded, result.Success):
        return decoded.failure()
    known = decoded.unwrap()
    if known.node != name:
        return f"the announcement is of node {known.node!r}"
    _apply_member(steward, known)
    return ""


def drop_member(steward: Reconciler, name: identity.NodeId) -> None:
    """Forget a node whose row was removed.

    :param steward: the state.
    :param name: the node.
    """
    node = steward.node
    node.members.pop(name, None)
    book = node.ledgers.get(node.place.service)
    if book is None or name not in node.leases:
        return
    # Its lease may have been removed with it; then its keys are free.
    if name in ledger.list_nodes(book.ledger):
        steward.has_stale_leases = True


def _apply_member(steward: Reconciler, known: member.Member) -> None:
    node = steward.node
    before = node.members.get(known.node)
    node.members[known.node] = known
    if before is None or before.lifetime != known.lifetime or before.address != known.address:
        node.target_views.pop(known.node, None)
    # A node that starts again beside a living target need not wait for its next report.
    if known.node == node.place.node and node.target is None:
        node.target = node_module.Target(
            lifetime=known.lifetime,
            started_at_ms=0,
            slots=known.slots,
            state=known.state,
            reported_at=node.now(),
            is_assumed=True,
        )
        node.admission.slots = known.slots
    decision.record(
        log,
        logging.INFO,
        "member",
        member=known.node,
        target=known.lifetime,
        state=known.state,
        zone=known.zone,
    )


def _apply_ledger(steward: Reconciler, service: identity.ServiceId, row: table.Row) -> str:
    """Take in a ledger that is newer than the known one; return what is wrong with it, if it is."""
    before = steward.node.ledgers.get(service)
    if before is not None and before.version >= row.version:
        return ""
    read = ledger.decode(row.value)
    if not isinstance(read, result.Success):
        return read.failure()
    decoded = read.unwrap()
    if before is not None:
        record_receivers(steward, before.ledger, decoded)
    steward.node.ledgers[service] = node_module.VersionedLedger(ledger=decoded, version=row.version)
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


def record_receivers(steward: Reconciler, before: ledger.Ledger, after: ledger.Ledger) -> None:
    if before.spans:
        now = steward.node.now()
        steward.received_keys_at.update(dict.fromkeys(ledger.find_receivers(before, after), now))


async def push_ledger(steward: Reconciler) -> None:
    """Tell the nodes that a new ledger concerns of it, until cancelled.

    Heirs wait for its keys. The others learn of it from the store a little later, and from the
    answers of nodes that no longer hold a key; telling all of them would cost a write of the
    ledger as many messages as there are nodes, over the link of one.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        book = node.ledgers.get(node.place.service)
        if not steward.nodes_to_notify or book is None:
            await changed.wait()
            continue
        names, steward.nodes_to_notify = steward.nodes_to_notify - {node.place.node}, set()
        path = f"{LEDGER_PATH}{node.place.service}/{book.version}"
        await push.send(node, steward.connect, names, path, ledger.encode(book.ledger))


def apply_push(steward: Reconciler, path: str, body: bytes) -> bool:
    """Take a ledger that another node sends; return whether it could be read.

    :param steward: the state.
    :param path: names the service and the version.
    :param body: the ledger.
    """
    name, _, version = path.removeprefix(LEDGER_PATH).rpartition("/")
    service = identity.ServiceId(name)
    number = decoding.read_count(version)
    if number:
        row = table.Row(name=name_ledger_row(service), value=body, version=number)
        fault = _apply_ledger(steward, service, row)
        if not fault:
            place = format_row_name(row.name)
            decoding.record_readable(steward.node.unreadable_rows, place, number)
    else:
        fault = "the version is no number"
    if fault:
        decision.record(log, logging.ERROR, "push-unreadable", path=path[:200], cause=fault)
        return False
    node_module.notify_changed(steward.node)
    return True
