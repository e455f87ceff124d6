"""Writes what the ledger of the own service needs, and answers the target's reports."""

import dataclasses
import logging

import trio

from ebonyvalve.process import decision, decoding, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, lease, ledger, plan, rebalancing, records, renewal
from ebonyvalve.process.load import rates
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

# Looks at the ledger even if nothing has changed, because leases and holds end by time.
CHECK_INTERVAL_S = 0.25
# All VMs start within 0.3 s, and their targets report within a heartbeat.
DISCOVERY_S = 1.0
# Lets the rates and loads after a move settle before the next one, at either end. Several busy
# targets would else all relieve themselves at the expense of the same idle one.
REBALANCE_PAUSE_S = 1.0
# The rates of single keys are looked at this often at most.
RATE_CHECK_INTERVAL_S = 0.5
# After this long without an answer, the load in the other node's lease row may be newer.
MAX_LOAD_AGE_S = 1.5
# A target that is about to get keys is answered when they are free, but within the second after
# which it gives an answer up.
ANSWER_WAIT_S = 0.6
# The leader takes the keys of lost nodes at once; another one after this or twice this time, if the
# leader has not.
TAKEOVER_PAUSE_S = 0.3
# Leases that were read before are read again before keys are taken.
MAX_LEASES_AGE_S = 1.0


def answer_report(steward: records.Reconciler) -> grant.Grant | None:
    """Return what the target is to hold, or ``None`` for a service without keys.

    :param steward: the state.
    """
    node = steward.node
    if not node_module.is_keyed(node):
        return None
    book = node.ledgers.get(node.place.service)
    if book is not None and book.version < steward.min_ledger_version:
        book = None
    given = grant.answer(
        node.grantor,
        None if book is None else book.ledger,
        now=node.now(),
        hold_s=renewal.find_grant_hold(steward),
    )
    node_module.notify_changed(node)
    return given


async def reconcile(steward: records.Reconciler) -> None:
    """Write what the ledger needs whenever something changes, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        node_module.record_silence(node)
        is_able = (
            node_module.is_keyed(node) and node.is_mesh_known and steward.lease_row is not None
        )
        if is_able and await _reconcile_once(steward):
            continue
        with trio.move_on_after(CHECK_INTERVAL_S):
            await changed.wait()


async def _reconcile_once(steward: records.Reconciler) -> bool:
    """Make one write if one is due; return whether the ledger has moved on."""
    node = steward.node
    service = node.place.service
    book = node.ledgers.get(service)
    name = records.name_ledger_row(service)
    if decoding.is_unreadable(node.unreadable_rows, records.format_row_name(name)):
        # A write can only be based on the row that is there, of which nothing is known.
        return False
    situation = observe(steward)
    if book is None:
        if not situation.is_leader or not _has_discovered(steward, situation):
            return False
        # A write raises a fence by one, so that none is above the store's counter of writes.
        created = ledger.create(situation.candidates, fence=steward.mesh_version)
        return await _write_ledger(steward, name, table.MISSING, created, {})
    lost = ledger.list_nodes(book.ledger) & situation.expired_nodes
    if not lost:
        steward.takeover_at = None
    elif not await _may_take_over(steward, situation):
        situation = dataclasses.replace(situation, expired_nodes=situation.expired_nodes - lost)
    proposed = plan.propose(book.ledger, situation)
    if proposed == book.ledger:
        return await _rebalance_once(steward, name, book, situation)
    if not records.has_current_members(steward, book):
        return False
    # A node that is thought to have no lease must have none when its keys are taken.
    ended = {
        records.name_lease_row(lost): _read_lease_version(node, lost)
        for lost in ledger.list_nodes(book.ledger) & situation.expired_nodes
    }
    return await _write_ledger(steward, name, book.version, proposed, ended)


async def _may_take_over(steward: records.Reconciler, situation: plan.Observation) -> bool:
    """Return whether this node should take the keys of nodes whose leases are thought to be over.

    All nodes think so at the same moment, and one write is enough. A node that the store has
    refused for a while thinks so of nodes that have renewed their leases meanwhile.
    """
    node = steward.node
    now = node.now()
    if steward.takeover_at is None:
        steward.takeover_at = (
            now if situation.is_leader else now + TAKEOVER_PAUSE_S * (1 + node.draw())
        )
    if now < steward.takeover_at:
        return False
    if now < steward.leases_read_at + MAX_LEASES_AGE_S:
        return True
    if now >= steward.leases_asked_at + MAX_LEASES_AGE_S:
        await renewal.read_leases(steward)
    return False


def _read_lease_version(node: node_module.Node, name: identity.NodeId) -> int:
    known = node.leases.get(name)
    return table.MISSING if known is None else known.version


async def _write_ledger(
    steward: records.Reconciler,
    name: table.Name,
    version: int,
    proposed: ledger.Ledger,
    ended: dict[table.Name, int],
) -> bool:
    node = steward.node
    known = node.ledgers.get(node.place.service)
    based = known.ledger if known is not None else ledger.Ledger(spans=())
    writes: dict[table.Name, bytes | None] = {name: ledger.encode(proposed)}
    writes.update(dict.fromkeys(one for one, held in ended.items() if held != table.MISSING))
    done = await steward.store.commit({name: version, **ended}, writes)
    decision.record(
        log,
        logging.INFO,
        "ledger-written",
        result=type(done).__name__ if not isinstance(done, table.Failure) else done,
        based_on=version,
        spans=len(proposed.spans),
        ended=",".join(one.key for one in ended),
    )
    if isinstance(done, table.Committed):
        node.ledgers[node.place.service] = node_module.VersionedLedger(
            ledger=proposed, version=done.version
        )
        records.record_receivers(steward, based, proposed)
        steward.nodes_to_notify |= ledger.find_affected_nodes(based, proposed)
        for one in ended:
            node.leases.pop(identity.NodeId(one.key), None)
        node_module.notify_changed(node)
        return True
    if isinstance(done, table.Conflict):
        # The answer holds what has changed, so that the next write can be worked out from it.
        if renewal.apply_conflict(steward, done.rows):
            return True
    elif done is table.Failure.UNKNOWN:
        # The write may have been done: what the table has decides.
        await records.reload_mesh(steward)
        await renewal.read_leases(steward)
    await node_module.pause(steward.node, records.RETRY_S * (1 + node.draw()))
    return False


async def _rebalance_once(
    steward: records.Reconciler,
    name: table.Name,
    book: node_module.VersionedLedger,
    situation: plan.Observation,
) -> bool:
    relieved = _rebalance(steward, book.ledger, situation)
    if relieved == book.ledger or not records.has_current_members(steward, book):
        return False
    is_written = await _write_ledger(steward, name, book.version, relieved, {})
    if is_written:
        steward.rebalanced_at = steward.node.now()
    return is_written


def _rebalance(
    steward: records.Reconciler, book: ledger.Ledger, situation: plan.Observation
) -> ledger.Ledger:
    """Return the ledger with moves that relieve the own target, if it is too busy."""
    node = steward.node
    now = node.now()
    if situation.is_leaving or now < steward.rebalanced_at + REBALANCE_PAUSE_S:
        return book
    if now < steward.rates_read_at + RATE_CHECK_INTERVAL_S:
        return book
    steward.rates_read_at = now
    own = next((one for one in situation.candidates if one.node == node.place.node), None)
    if own is None:
        return book
    settling = {
        name for name, at in steward.received_keys_at.items() if now < at + REBALANCE_PAUSE_S
    }
    if own.lifetime in settling:
        return book
    # Keys that are on their way here come after a heartbeat or two, too late to wait for them.
    settling |= {identity.Lifetime(span.successor) for span in book.spans if span.successor}
    loads = {one.node: _estimate_load(steward, one) for one in situation.candidates}
    others = [
        load
        for name, load in loads.items()
        if name != node.place.node and load.candidate.lifetime not in settling
    ]
    mean = sum(load.offered for load in loads.values()) / len(loads)
    # Sorting the rates of thousands of keys is work that a calm target need not do.
    if rebalancing.find_successor(loads[own.node], others, mean=mean) is None:
        return book
    held = ledger.list_held(book, own.lifetime)
    rates.retain(node.key_rates, [(span.first, span.last) for span in held])
    rates_by_slot = rates.read_rates(node.key_rates, now)
    moves = rebalancing.find_moves(book, loads[own.node], others, rates_by_slot, mean=mean)
    for move in moves:
        book = ledger.plan_move(book, move.first, move.last, move.successor)
        decision.record(
            log,
            logging.INFO,
            "relief",
            first=move.first,
            last=move.last,
            heir=move.successor.node,
            own_load=round(loads[own.node].offered, 3),
            heir_load=round(loads[move.successor.node].offered, 3),
        )
    return book


def _estimate_load(steward: records.Reconciler, one: ledger.Candidate) -> rebalancing.Load:
    node = steward.node
    if one.node == node.place.node:
        measured = node_module.measure_load(node)
        return rebalancing.Load(
            candidate=one,
            offered=measured.offered,
            request_load=measured.request_load,
        )
    view = node_module.read_view(node, one.node)
    told = node.leases.get(one.node)
    is_newer = view.reported_at > min(node.now() - MAX_LOAD_AGE_S, steward.leases_read_at)
    if is_newer or told is None or not told.row.request_load:
        return rebalancing.Load(candidate=one, offered=view.offered, request_load=view.request_load)
    return rebalancing.Load(
        candidate=one, offered=told.row.offered, request_load=told.row.request_load
    )


async def await_keys(steward: records.Reconciler) -> None:
    """Wait a moment while keys are on their way to the target beside this node.

    :param steward: the state.
    """
    node = steward.node
    with trio.move_on_after(ANSWER_WAIT_S):
        while True:
            changed = node.changed
            book = node.ledgers.get(node.place.service)
            target = node.target
            if book is None or target is None or target.state is not member.TargetState.READY:
                return
            if not any(span.successor == target.lifetime for span in book.ledger.spans):
                return
            await changed.wait()


def observe(steward: records.Reconciler) -> plan.Observation:
    """Return what the node knows when it looks at the ledger now.

    :param steward: the state.
    """
    node = steward.node
    now = node.now()
    target = node.target
    present = target.lifetime if target is not None else ledger.NO_HOLDER
    over = frozenset(
        name
        for name, other in node.leases.items()
        if name != node.place.node
        and node.store_clock is not None
        and lease.is_expired(other.row, node.store_clock, now)
    )
    # Nodes read an odd row at different times, so that they disagree on when its lease is over; one
    # that had taken it for alive would give keys back to a lost node.
    unknown = {name for name, other in node.leases.items() if not other.row.incarnation}
    alive = frozenset(node.leases) - over - unknown | {node.place.node}
    book = node.ledgers.get(node.place.service)
    is_silent = target is not None and target.is_silent
    is_known = target is not None and not target.is_assumed

    def is_lost(holder: identity.Lifetime) -> bool:
        if holder != present:
            # A new lifetime at the target's address proves that the one before has ended.
            return is_known or is_silent
        return is_silent or (target is not None and target.is_dead)

    # A target that has fallen silent keeps its row, but would be given back what is taken from it.
    candidates = tuple(
        ledger.Candidate(node=one.node, lifetime=one.lifetime, weight=one.slots)
        for one in node_module.list_open_members(node, node.place.service)
        if one.node in alive and not (one.node == node.place.node and is_lost(one.lifetime))
    )
    leaders = sorted(one.node for one in candidates)
    return plan.Observation(
        node=node.place.node,
        own_lifetime=present,
        candidates=candidates,
        released=(grant.find_released(node.grantor, book.ledger, now) if book is not None else {}),
        expired_nodes=over | _find_nodes_without_lease(steward),
        is_leaving=target is not None and not node_module.is_open(node),
        is_leader=not leaders or leaders[0] == node.place.node,
        is_lost=is_lost,
    )


def _find_nodes_without_lease(steward: records.Reconciler) -> frozenset[identity.NodeId]:
    """Return the holders without a lease that may be taken from.

    One without a row has no right to grant, but the row may be newer than the leases that were
    read. So members that have announced themselves are left alone, and the write that takes the
    keys of another requires that there is still no row.
    """
    node = steward.node
    book = node.ledgers.get(node.place.service)
    if book is None or steward.leases_read_at == float("-inf"):
        return frozenset()
    known = {node.place.node, *node.leases, *node.members}
    return frozenset(ledger.list_nodes(book.ledger) - known)


def _has_discovered(steward: records.Reconciler, situation: plan.Observation) -> bool:
    now = steward.node.now()
    if not situation.candidates:
        return False
    if steward.discovery_started_at is None:
        steward.discovery_started_at = now
    return now - steward.discovery_started_at >= DISCOVERY_S + steward.node.place.heartbeat_s
