"""This node's lease in the table, and those of the others."""

import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, lease, rebalancing, records
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

# Leases are read this often while there is reason to think that they have changed.
LEASE_CHECK_INTERVAL_S = 0.5
# The oldest lease read is renewed RENEW_S before that, and must not seem to have ended.
LEASES_READ_INTERVAL_S = 3 * lease.RENEW_S
# A member without a lease is looked for this often: its row comes a moment after the member's. The
# member of a lost machine stays, and its lease never comes.
MAX_LEASE_LOOKUPS = 6


async def keep_lease(steward: records.Reconciler) -> None:
    """Renew the node's lease while its target holds keys, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        if not node_module.is_keyed(node) or node.target is None:
            await node.changed.wait()
            continue
        if await _renew(steward):
            if needs_leases(steward):
                await read_leases(steward)
            await _sleep_until_renewal(steward)
        else:
            await node_module.pause(steward.node, records.RETRY_S)


def needs_leases(steward: records.Reconciler) -> bool:
    """Return whether the other nodes' leases are to be read with this renewal.

    A lease that was read lasts until the third renewal after it at least, so that a calm node need
    not know of each. One whose target is busy needs the loads that come with them.

    :param steward: the state.
    """
    node = steward.node
    is_due = node.now() >= steward.leases_read_at + LEASES_READ_INTERVAL_S - lease.RENEW_S / 2
    return is_due or node_module.measure_load(node).offered >= rebalancing.BUSY_LOAD


async def _sleep_until_renewal(steward: records.Reconciler) -> None:
    """Sleep for a renewal's period, reading leases sooner if members have come or gone."""
    node = steward.node
    renew_at = node.now() + lease.RENEW_S
    while node.now() + LEASE_CHECK_INTERVAL_S < renew_at:
        await _wait_for_stale_leases(steward, LEASE_CHECK_INTERVAL_S)
        if _is_lease_missing(steward) or steward.has_stale_leases:
            await read_leases(steward)
        if steward.has_stale_leases:
            # The store did not answer.
            await node_module.pause(node, LEASE_CHECK_INTERVAL_S)
    await node_module.pause(steward.node, max(0.0, renew_at - node.now()))


def _is_lease_missing(steward: records.Reconciler) -> bool:
    """Return whether a member has joined whose lease was not read yet."""
    node = steward.node
    joined = node_module.list_open_members(node, node.place.service)
    steward.lease_lookups = {
        one.lifetime: steward.lease_lookups.get(one.lifetime, 0) + 1
        for one in joined
        if one.node not in node.leases
    }
    return any(count <= MAX_LEASE_LOOKUPS for count in steward.lease_lookups.values())


async def _wait_for_stale_leases(steward: records.Reconciler, most_s: float) -> None:
    """Wait until the lease of another node may have been removed, but no longer than given."""
    with trio.move_on_after(most_s):
        while not steward.has_stale_leases:
            await steward.node.changed.wait()


async def _renew(steward: records.Reconciler) -> bool:
    node = steward.node
    if node.store_clock is None:
        await read_leases(steward)
        if node.store_clock is None:
            return False
    if steward.min_ledger_version == records.UNREACHABLE_VERSION and not await _reload_ledger(
        steward
    ):
        return False
    name = records.name_lease_row(node.place.node)
    until_s = lease.renew(steward.lease_row, node.store_clock, node.now())
    measured = node_module.measure_load(node)
    row = lease.LeaseRow(
        until_s=until_s,
        incarnation=node.incarnation,
        offered=measured.offered,
        request_load=measured.request_load,
    )
    done = await steward.store.commit(
        {name: steward.lease_version}, {name: msgspec.json.encode(row)}
    )
    if isinstance(done, table.Committed):
        steward.lease_row, steward.lease_version = row, done.version
        records.apply_clock(steward, done.clock)
        return True
    if isinstance(done, table.Conflict) or done is table.Failure.UNKNOWN:
        await _recover_lease(steward, name)
    return False


async def _recover_lease(steward: records.Reconciler, name: table.Name) -> None:
    """Find out which lease the table has after a conflict or a lost answer."""
    read = await steward.store.read(records.LEASES)
    if not isinstance(read, table.Rows):
        return
    rows = {row.name: row for row in read.rows}
    found = rows.get(name)
    if found is None:
        # Another node has ended the lease and may have given the keys away.
        await _record_lease_loss(steward, table.MISSING, "removed by another node")
        return
    if found.version == steward.lease_version:
        return
    read_lease = _read_lease(steward, found, read.clock)
    if not isinstance(read_lease, result.Success):
        # The lease may have been ended before another writer left this in its place.
        await _record_lease_loss(steward, found.version, read_lease.failure())
        return
    decoded = read_lease.unwrap()
    if decoded.incarnation != steward.node.incarnation:
        # Left by the process before this one; its ledger may be older than what is read now.
        await records.reload_mesh(steward)
    else:
        steward.lease_row = decoded
    steward.lease_version = found.version


async def _record_lease_loss(steward: records.Reconciler, version: int, reason: str) -> None:
    """Grant nothing until a lease has been written again and the ledger has been read since."""
    steward.lease_row, steward.lease_version = None, version
    steward.min_ledger_version = records.UNREACHABLE_VERSION
    decision.record(log, logging.WARNING, "lease-lost", reason=reason)
    await _reload_ledger(steward)


async def _reload_ledger(steward: records.Reconciler) -> bool:
    """Read the ledger after the loss of the lease; return whether the store has answered."""
    read = await steward.store.read(records.MESH)
    if not isinstance(read, table.Rows):
        return False
    records.apply_rows(steward, read, is_whole=True)
    place = records.name_ledger_row(steward.node.place.service)
    versions = [row.version for row in read.rows if row.name == place]
    # Without a row, only a ledger that is written from now on counts.
    steward.min_ledger_version = versions[0] if versions else read.version + 1
    return True


def _read_lease(
    steward: records.Reconciler, row: table.Row, clock: lease.StoreClock | None
) -> result.Result[lease.LeaseRow, str]:
    """Return the lease of a row, or why no node can have written it."""
    node = steward.node
    place = records.format_row_name(row.name)
    decoded = lease.decode(row.value)
    if isinstance(decoded, result.Success):
        if decoded.unwrap().until_s <= lease.find_latest_end(clock, node.now()):
            decoding.record_readable(node.unreadable_rows, place, row.version)
            return decoded
        decoded = result.Failure("the lease lasts longer than any that a node writes")
    decoding.record_unreadable(node.unreadable_rows, log, place, row.version, decoded.failure())
    return decoded


async def read_leases(steward: records.Reconciler) -> None:
    node = steward.node
    steward.leases_asked_at = node.now()
    read = await steward.store.read(records.LEASES)
    if not isinstance(read, table.Rows):
        return
    records.apply_clock(steward, read.clock)
    leases = {}
    for row in read.rows:
        leases[identity.NodeId(row.name.key)] = _build_versioned_lease(steward, row, read.clock)
    places = {records.format_row_name(row.name) for row in read.rows}
    decoding.forget_missing(node.unreadable_rows, records.LEASES, places)
    node.leases = leases
    steward.has_stale_leases = False
    steward.leases_read_at = node.now()
    node_module.notify_changed(node)


def _build_versioned_lease(
    steward: records.Reconciler, row: table.Row, clock: lease.StoreClock | None
) -> node_module.VersionedLease:
    """Return the lease of a row; one that can't be read counts as renewed just before.

    Its node may be alive, and then writes it anew. The keys of one that has ended are taken later
    by a write that requires this very row. It keeps the end that it got when it was first read.
    """
    known = steward.node.leases.get(identity.NodeId(row.name.key))
    if known is not None and known.version == row.version:
        return known
    until_s = lease.find_latest_end(clock, steward.node.now())
    unknown = lease.LeaseRow(until_s=until_s, incarnation="")
    held = _read_lease(steward, row, clock).value_or(unknown)
    return node_module.VersionedLease(row=held, version=row.version)


def apply_conflict(steward: records.Reconciler, rows: tuple[table.Row, ...]) -> bool:
    """Take in the rows on which a write depended; return whether any was news.

    :param steward: the state.
    :param rows: the ledger and leases, as the answer to the write gives them.
    """
    node = steward.node
    book_before = node.ledgers.get(node.place.service)
    leases_before = dict(node.leases)
    for row in rows:
        is_missing = row.is_removed or row.version == table.MISSING
        if row.name.table == records.MESH and not is_missing:
            records.apply_row(steward, row)
        elif row.name.table == records.LEASES:
            name = identity.NodeId(row.name.key)
            if is_missing:
                node.leases.pop(name, None)
            else:
                node.leases[name] = _build_versioned_lease(steward, row, node.store_clock)
    is_news = (
        node.ledgers.get(node.place.service) is not book_before or node.leases != leases_before
    )
    if is_news:
        node_module.notify_changed(node)
    return is_news


def find_grant_hold(steward: records.Reconciler) -> float:
    """Return for how many seconds the target may be granted its keys now; 0 for not at all.

    :param steward: the state.
    """
    node = steward.node
    most_s = min(node.place.max_hold_s, grant.choose_hold(node.place.heartbeat_s))
    return lease.find_hold(steward.lease_row, node.store_clock, node.now(), most_s)
