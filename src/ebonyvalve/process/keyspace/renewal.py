"""Renews this node's lease in the store, and reads the leases of the other nodes."""

import dataclasses
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, lease, rebalancing, records, restoration
from ebonyvalve.process.store import era, table

log = logging.getLogger(__name__)

# The pause before a failed renewal is tried again doubles up to this many seconds, but is at most
# this share of the time that is left of the lease.
MAX_RETRY_S = 1.0
MAX_DOUBLINGS = 2
RETRY_SHARE = 0.1
# Leases are read this often while they are expected to change.
LEASE_CHECK_INTERVAL_S = 0.5
# All leases are read again by the time this has passed. The oldest of them was renewed up to
# RENEW_S before it was read, and must not seem to have expired by the next read.
LEASES_READ_INTERVAL_S = 3 * lease.RENEW_S
# How many times the leases are read in search of the one of a member without a lease, which is
# written a moment after the member's row. The row of a lost machine remains, but its lease is never
# written.
MAX_LEASE_LOOKUPS = 6


async def keep_lease(reconciler: records.Reconciler) -> None:
    """Renew the node's lease while its target holds keys, until cancelled.

    :param reconciler: the state.
    """
    node = reconciler.node
    failures = 0
    while True:
        if not node_module.is_keyed(node) or node.target is None:
            await node.changed.wait()
            continue
        if await _renew(reconciler):
            if needs_leases(reconciler):
                await read_leases(reconciler)
            await _sleep_until_renewal(reconciler)
            failures = 0
        else:
            failures += 1
            await node_module.pause(node, find_retry_delay(failures, _find_remaining(reconciler)))


def find_retry_delay(failures: int, remaining_s: float) -> float:
    """Return how many seconds to wait before a renewal that has failed is tried again.

    While the store turns a node away, each try costs two calls. A lease that lasts for long needs
    them less often, but one that is about to end has to be renewed as soon as the store returns.

    :param failures: how many tries have failed one after the other, at least 1.
    :param remaining_s: seconds until the lease ends; 0 or less without one.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    backoff_s = min(records.RETRY_S * 2.0**doublings, MAX_RETRY_S)
    return min(backoff_s, max(records.RETRY_S, remaining_s * RETRY_SHARE))


def _find_remaining(reconciler: records.Reconciler) -> float:
    node = reconciler.node
    return lease.find_hold(reconciler.lease_row, node.store_clock, node.now(), lease.LEASE_S)


def needs_leases(reconciler: records.Reconciler) -> bool:
    """Return whether the leases of the other nodes have to be read with this renewal.

    A lease lasts at least until the third renewal after it was read, so that a node need not read
    it at each renewal. A node whose target is busy needs the loads that the leases carry.

    :param reconciler: the state.
    """
    node = reconciler.node
    is_due = node.now() >= reconciler.leases_read_at + LEASES_READ_INTERVAL_S - lease.RENEW_S / 2
    return is_due or node_module.measure_load(node).offered >= rebalancing.BUSY_LOAD


async def _sleep_until_renewal(reconciler: records.Reconciler) -> None:
    """Sleep until the next renewal, but read the leases when members have joined or left.

    The sleep ends early if a write that has to be excluded makes a renewal due.
    """
    node = reconciler.node
    renew_at = node.now() + lease.RENEW_S
    while node.now() + LEASE_CHECK_INTERVAL_S < renew_at:
        await _wait_for_stale_leases(reconciler, LEASE_CHECK_INTERVAL_S)
        if reconciler.is_renewal_due:
            return
        if _is_lease_missing(reconciler) or reconciler.has_stale_leases:
            await read_leases(reconciler)
        if reconciler.has_stale_leases:
            # The store did not answer.
            await node_module.pause(node, LEASE_CHECK_INTERVAL_S)
    await node_module.pause(reconciler.node, max(0.0, renew_at - node.now()))


def _is_lease_missing(reconciler: records.Reconciler) -> bool:
    """Return whether a member has joined whose lease has not been read yet."""
    node = reconciler.node
    joined = node_module.list_open_members(node, node.place.service)
    reconciler.lease_lookups = {
        newcomer.lifetime: reconciler.lease_lookups.get(newcomer.lifetime, 0) + 1
        for newcomer in joined
        if newcomer.node not in node.leases
    }
    return any(count <= MAX_LEASE_LOOKUPS for count in reconciler.lease_lookups.values())


async def _wait_for_stale_leases(reconciler: records.Reconciler, max_s: float) -> None:
    """Wait until another node's lease may have been removed, a renewal is due or the time is up."""
    with trio.move_on_after(max_s):
        while not reconciler.has_stale_leases and not reconciler.is_renewal_due:
            await reconciler.node.changed.wait()


async def _renew(reconciler: records.Reconciler) -> bool:
    """Renew the node's lease; return whether the store has confirmed it."""
    node = reconciler.node
    if node.store_clock is None:
        await read_leases(reconciler)
        if node.store_clock is None:
            return False
    name = records.name_lease_row(node.place.node)
    if _has_lapsed_unrecorded(reconciler):
        _record_lease_loss(reconciler, table.MISSING, "ended before the store had it again")
    until_s = lease.renew(reconciler.lease_row, node.store_clock, node.now())
    load_report = node_module.measure_load(node)
    row = lease.LeaseRow(
        until_s=until_s,
        incarnation=node.incarnation,
        offered=load_report.offered,
        request_load=load_report.request_load,
        era=era.stamp(node.eras),
    )
    done = await reconciler.store.commit(
        {name: reconciler.lease_version}, {name: msgspec.json.encode(row)}
    )
    if isinstance(done, table.Committed):
        if reconciler.lease_row is None and _may_have_held_keys(reconciler):
            reconciler.min_ledger_version = records.UNREACHABLE_VERSION
        open_writes = _list_open_writes(reconciler)
        reconciler.lease_row, reconciler.lease_version = row, done.version
        reconciler.is_renewal_due = False
        records.apply_clock(reconciler, done.clock)
        if open_writes:
            return await _conclude_open_writes(reconciler, open_writes)
        if reconciler.min_ledger_version == records.UNREACHABLE_VERSION:
            # Until the lease was written, other nodes could reassign the target's keys.
            return await _reload_ledger(reconciler)
        return True
    if isinstance(done, table.Conflict) or done is table.Failure.UNKNOWN:
        await _recover_lease(reconciler, name)
    return False


def _list_open_writes(reconciler: records.Reconciler) -> list[records.OpenWrite]:
    """Return the writes that the store may have applied up to now, by the present lease."""
    version = reconciler.lease_version
    return [write for write in reconciler.open_writes if write.lease_version == version]


async def _conclude_open_writes(
    reconciler: records.Reconciler, open_writes: list[records.OpenWrite]
) -> bool:
    """Read the ledger after a renewal that excludes open writes; return whether it was read.

    The store may have applied one of them after the ledger was last read and before the renewal.
    What they take stays withheld until then.
    """
    withheld = [
        dataclasses.replace(write, lease_version=reconciler.lease_version) for write in open_writes
    ]
    reconciler.open_writes = list(withheld)
    if await _reload_ledger(reconciler):
        # Another write may have begun meanwhile.
        reconciler.open_writes = [
            write
            for write in reconciler.open_writes
            if not any(write is other for other in withheld)
        ]
        return True
    reconciler.is_renewal_due = True
    return False


def _is_valid(reconciler: records.Reconciler) -> bool:
    """Return whether the lease that the node last wrote has not ended yet."""
    node = reconciler.node
    return lease.find_hold(reconciler.lease_row, node.store_clock, node.now(), 1.0) > 0.0


def _has_lapsed_unrecorded(reconciler: records.Reconciler) -> bool:
    """Return whether a lease has ended whose row a restored store lacks.

    Without the row, a takeover of the node's keys would not make the next renewal fail.
    """
    is_unrecorded = reconciler.lease_version == table.MISSING
    return is_unrecorded and reconciler.lease_row is not None and not _is_valid(reconciler)


def _may_have_held_keys(reconciler: records.Reconciler) -> bool:
    """Return whether the target may hold keys by the ledger that was read before the lease."""
    node = reconciler.node
    versioned_ledger = node.ledgers.get(node.place.service)
    if versioned_ledger is None:
        return not node.is_mesh_known
    return any(span.node == node.place.node for span in versioned_ledger.ledger.spans)


async def _recover_lease(reconciler: records.Reconciler, name: table.Name) -> None:
    """Read the node's own lease after a conflict or a lost answer."""
    read = await reconciler.store.read(records.LEASES)
    if not isinstance(read, table.Rows):
        return
    rows = {row.name: row for row in read.rows}
    found = rows.get(name)
    is_inherited = _is_valid(reconciler) and (
        reconciler.lease_version == table.MISSING
        or era.is_earlier(reconciler.node.eras, reconciler.lease_version)
    )
    if found is None and is_inherited:
        # The copy of the restored store is older. Nobody takes the keys before the lease has ended.
        reconciler.lease_version = table.MISSING
        return
    if found is None:
        # Another node has ended the lease and may have reassigned the keys.
        _record_lease_loss(reconciler, table.MISSING, "removed by another node")
        return
    if found.version == reconciler.lease_version:
        return
    read_lease = _read_lease(reconciler, found, read.clock)
    if not isinstance(read_lease, result.Success):
        # The lease may have been ended before this row was written in its place.
        _record_lease_loss(reconciler, found.version, read_lease.failure())
        return
    decoded = read_lease.unwrap()
    if decoded.incarnation != reconciler.node.incarnation:
        # Written by the previous incarnation of this node, whose last write of the ledger may
        # still be applied until this one has renewed the lease.
        reconciler.min_ledger_version = records.UNREACHABLE_VERSION
    elif not is_inherited or _ends_later(decoded, reconciler.lease_row):
        reconciler.lease_row = decoded
    reconciler.lease_version = found.version


def _ends_later(found: lease.LeaseRow, known: lease.LeaseRow | None) -> bool:
    return known is None or found.until_s > known.until_s


def _record_lease_loss(reconciler: records.Reconciler, version: int, reason: str) -> None:
    """Grant nothing until a new lease is written and the ledger has been read again."""
    reconciler.lease_row, reconciler.lease_version = None, version
    reconciler.min_ledger_version = records.UNREACHABLE_VERSION
    decision.record(log, logging.WARNING, "lease-lost", reason=reason)


async def _reload_ledger(reconciler: records.Reconciler) -> bool:
    """Read the ledger after a new lease was written; return whether the store has answered."""
    asked_at = reconciler.node.now()
    read = await reconciler.store.read(records.MESH)
    if not isinstance(read, table.Rows):
        return False
    records.apply_rows(reconciler, read, is_whole=True, asked_at=asked_at)
    row_name = records.name_ledger_row(reconciler.node.place.service)
    versions = [row.version for row in read.rows if row.name == row_name]
    # If there is no row, only a ledger written from now on is valid.
    reconciler.min_ledger_version = versions[0] if versions else read.version + 1
    return True


def _read_lease(
    reconciler: records.Reconciler, row: table.Row, clock: lease.StoreClock | None
) -> result.Result[lease.LeaseRow, str]:
    """Decode a lease row, and return the lease or why no node can have written it."""
    node = reconciler.node
    row_name = records.format_row_name(row.name)
    decoded = lease.decode(row.value)
    if isinstance(decoded, result.Success):
        if decoded.unwrap().until_s <= lease.find_latest_end(clock, node.now()):
            decoding.record_readable(node.unreadable_rows, row_name, row.version)
            return decoded
        decoded = result.Failure("the lease lasts longer than any that a node writes")
    decoding.record_unreadable(node.unreadable_rows, log, row_name, row.version, decoded.failure())
    return decoded


async def read_leases(reconciler: records.Reconciler) -> None:
    """Read the leases of all nodes. Nothing changes if the store does not answer.

    :param reconciler: the state.
    """
    node = reconciler.node
    reconciler.leases_asked_at = node.now()
    read = await reconciler.store.read(records.LEASES)
    if not isinstance(read, table.Rows):
        return
    records.apply_clock(reconciler, read.clock)
    leases = {}
    for row in read.rows:
        leases[identity.NodeId(row.name.key)] = _build_versioned_lease(reconciler, row, read.clock)
    row_names = {records.format_row_name(row.name) for row in read.rows}
    decoding.forget_missing(node.unreadable_rows, records.LEASES, row_names)
    node.leases = leases
    reconciler.has_stale_leases = False
    reconciler.leases_read_at = node.now()
    node_module.notify_changed(node)


def _build_versioned_lease(
    reconciler: records.Reconciler, row: table.Row, clock: lease.StoreClock | None
) -> node_module.VersionedLease:
    """Return the lease of a row; an unreadable one counts as renewed just before it was first read.

    Its node may be alive and then writes it again. If not, its keys are taken over once that lease
    has expired, by a write that requires the row to be unchanged. Reading the same row again does
    not extend the lease.
    """
    known = reconciler.node.leases.get(identity.NodeId(row.name.key))
    if known is not None and known.version == row.version:
        return known
    until_s = lease.find_latest_end(clock, reconciler.node.now())
    unknown = lease.LeaseRow(until_s=until_s, incarnation="")
    lease_row = _read_lease(reconciler, row, clock).value_or(unknown)
    return node_module.VersionedLease(row=lease_row, version=row.version)


def apply_conflict(reconciler: records.Reconciler, rows: tuple[table.Row, ...]) -> bool:
    """Apply the rows that caused a write to conflict; return whether anything has changed.

    :param reconciler: the state.
    :param rows: the current ledger and leases from the answer to the write.
    """
    node = reconciler.node
    ledger_before = node.ledgers.get(node.place.service)
    leases_before = dict(node.leases)
    for row in rows:
        is_missing = table.is_missing(row)
        if row.name.table == records.MESH and not is_missing:
            records.apply_row(reconciler, row)
        elif row.name.table == records.LEASES:
            name = identity.NodeId(row.name.key)
            if is_missing:
                node.leases.pop(name, None)
            else:
                node.leases[name] = _build_versioned_lease(reconciler, row, node.store_clock)
    is_changed = (
        node.ledgers.get(node.place.service) is not ledger_before or node.leases != leases_before
    )
    if is_changed:
        node_module.notify_changed(node)
    return is_changed


def find_grant_hold(reconciler: records.Reconciler) -> float:
    """Return how many seconds the target may be granted its keys now; 0 if it may not.

    :param reconciler: the state.
    """
    node = reconciler.node
    max_s = min(node.place.max_hold_s, grant.choose_hold(node.place.heartbeat_s))
    row = reconciler.lease_row
    versioned = node.ledgers.get(node.place.service)
    is_begun = versioned is None or restoration.is_begun(versioned.ledger, node.eras.current)
    if row is not None and not is_begun:
        # A later lease does not protect what only a ledger of an earlier era names.
        until_s = min(row.until_s, reconciler.inheritance.until_s)
        row = msgspec.structs.replace(row, until_s=until_s)
    return lease.find_hold(row, node.store_clock, node.now(), max_s)
