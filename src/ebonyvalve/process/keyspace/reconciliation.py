"""Keeps the ledger of the node's own service up to date, and answers its target's reports."""

import dataclasses
import enum
import logging

import trio

from ebonyvalve.process import decision, decoding, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import (
    grant,
    lease,
    ledger,
    plan,
    rebalancing,
    records,
    recovery,
    renewal,
)
from ebonyvalve.process.load import rates
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

# The ledger is checked this often even if nothing has changed, because leases and holds expire.
CHECK_INTERVAL_S = 0.25
# How long the leader waits for targets before it writes the first ledger, in addition to one
# heartbeat: all VMs start within 0.3 s, and their targets report within a heartbeat.
DISCOVERY_S = 1.0
# If the last answer of a node is older than this, the load in its lease row may be newer.
MAX_LOAD_AGE_S = 1.5
# The answer to a target that is about to receive keys waits this long for them to be released. The
# target abandons the report after 1 s.
ANSWER_WAIT_S = 0.6
# The leader takes over the keys of lost nodes at once. The others wait one to two times as long as
# this, in case the leader does not.
TAKEOVER_PAUSE_S = 0.3
# The keys of this many lost nodes are taken over in one write. Each has a condition and a removal
# in it, and the store accepts 100 entries.
MAX_TAKEOVERS = 40
# Leases read longer ago than this are read again before keys are taken over.
MAX_LEASES_AGE_S = 1.0


class Written(enum.Enum):
    """What became of a write of the ledger."""

    COMMITTED = "committed"
    # Another node has written before; its ledger is known now.
    OVERTAKEN = "overtaken"
    # Nothing is known that was not known before.
    FAILED = "failed"


def answer_report(reconciler: records.Reconciler) -> grant.Grant | None:
    """Return the answer to the target's last report, or ``None`` for a service without keys.

    :param reconciler: the state.
    """
    node = reconciler.node
    if not node_module.is_keyed(node):
        return None
    versioned_ledger = node.ledgers.get(node.place.service)
    if versioned_ledger is not None and versioned_ledger.version < reconciler.min_ledger_version:
        versioned_ledger = None
    grantable = None
    if versioned_ledger is not None:
        grantable = _find_grantable(reconciler, versioned_ledger)
        grantable = recovery.restrict(reconciler, grantable)
    given = grant.answer(
        node.grantor,
        grantable,
        now=node.now(),
        hold_s=renewal.find_grant_hold(reconciler),
    )
    node_module.notify_changed(node)
    return given


def _find_grantable(
    reconciler: records.Reconciler, versioned_ledger: node_module.VersionedLedger
) -> ledger.Ledger:
    """Return the ledger without the keys that an open write may have taken from the target."""
    reconciler.open_writes = [
        write
        for write in reconciler.open_writes
        if write.ledger_version == versioned_ledger.version
        and write.lease_version == reconciler.lease_version
    ]
    if not reconciler.open_writes:
        return versioned_ledger.ledger
    return ledger.vacate(
        versioned_ledger.ledger,
        lambda span: any(
            ledger.find_span(write.proposed, span.first).holder != span.holder
            for write in reconciler.open_writes
        ),
    )


async def reconcile(reconciler: records.Reconciler) -> None:
    """Make the changes that the ledger needs whenever something changes, until cancelled.

    :param reconciler: the state.
    """
    node = reconciler.node
    while True:
        changed = node.changed
        node_module.record_silence(node)
        is_able = (
            node_module.is_keyed(node) and node.is_mesh_known and reconciler.lease_row is not None
        )
        if is_able and await _reconcile_once(reconciler):
            continue
        with trio.move_on_after(CHECK_INTERVAL_S):
            await changed.wait()


async def _reconcile_once(reconciler: records.Reconciler) -> bool:
    """Write one change to the ledger if one is due; return whether to check again."""
    node = reconciler.node
    service = node.place.service
    versioned_ledger = node.ledgers.get(service)
    name = records.name_ledger_row(service)
    if decoding.is_unreadable(node.unreadable_rows, records.format_row_name(name)):
        # A write is conditional on the current row, whose content is unknown.
        return False
    observation = observe(reconciler)
    if versioned_ledger is None:
        if not observation.is_leader or not _has_discovered(reconciler, observation):
            return False
        if records.is_outdated(reconciler):
            return False
        # Each write raises a fence by at most one, so that no fence of an earlier ledger exceeds
        # the store's counter of writes.
        created = recovery.create(reconciler, observation)
        written = await _write_ledger(reconciler, name, table.MISSING, created, {})
        return written is not Written.FAILED
    if not recovery.is_begun(reconciler, versioned_ledger):
        begun = recovery.begin(reconciler, versioned_ledger, observation)
        if begun is None:
            return False
        written = await _write_ledger(reconciler, name, versioned_ledger.version, begun, {})
        return written is not Written.FAILED
    settled, is_write_due = recovery.settle(reconciler, versioned_ledger, observation)
    versioned_ledger = dataclasses.replace(versioned_ledger, ledger=settled)
    lost_nodes = ledger.list_nodes(versioned_ledger.ledger) & observation.expired_nodes
    if not lost_nodes:
        reconciler.takeover_at = None
    else:
        may_take_over = await _may_take_over(reconciler, observation)
        taken_over = sorted(lost_nodes)[:MAX_TAKEOVERS] if may_take_over else []
        observation = dataclasses.replace(observation, expired_nodes=frozenset(taken_over))
    proposed = plan.propose(versioned_ledger.ledger, observation)
    if proposed == versioned_ledger.ledger and not is_write_due:
        return await _rebalance_once(reconciler, name, versioned_ledger, observation)
    if not records.has_current_members(reconciler, versioned_ledger):
        return False
    # The write fails if one of these nodes has renewed its lease meanwhile, or has written one
    # where none was known.
    ended_leases = {
        records.name_lease_row(lost_node): _read_lease_version(node, lost_node)
        for lost_node in ledger.list_nodes(versioned_ledger.ledger) & observation.expired_nodes
    }
    written = await _write_ledger(
        reconciler, name, versioned_ledger.version, proposed, ended_leases
    )
    return written is not Written.FAILED


async def _may_take_over(reconciler: records.Reconciler, observation: plan.Observation) -> bool:
    """Return whether this node should now take over the keys of nodes with expired leases.

    All nodes see a lease expire at the same moment, but a single write is enough. A node that the
    store has refused for a while may see leases as expired that have been renewed since, so it
    reads them again first.
    """
    node = reconciler.node
    now = node.now()
    if reconciler.takeover_at is None:
        reconciler.takeover_at = (
            now if observation.is_leader else now + TAKEOVER_PAUSE_S * (1 + node.draw())
        )
    if now < reconciler.takeover_at:
        return False
    if now < reconciler.leases_read_at + MAX_LEASES_AGE_S:
        return True
    if now >= reconciler.leases_asked_at + MAX_LEASES_AGE_S:
        await renewal.read_leases(reconciler)
    return False


def _read_lease_version(node: node_module.Node, name: identity.NodeId) -> int:
    versioned_lease = node.leases.get(name)
    return table.MISSING if versioned_lease is None else versioned_lease.version


async def _write_ledger(
    reconciler: records.Reconciler,
    name: table.Name,
    version: int,
    proposed: ledger.Ledger,
    ended_leases: dict[table.Name, int],
) -> Written:
    """Write a ledger and remove ended leases.

    The write requires that the ledger and the leases still have the given versions. If it takes
    keys from this node's target, it also requires the node's own lease: the next renewal, also that
    of a restarted process, excludes a write that the store has delayed.
    """
    node = reconciler.node
    current = node.ledgers.get(node.place.service)
    base = current.ledger if current is not None else ledger.Ledger(spans=())
    expected = {name: version, **ended_leases}
    open_handover = records.OpenWrite(
        proposed=proposed, ledger_version=version, lease_version=reconciler.lease_version
    )
    reconciler.open_handovers = [
        write for write in reconciler.open_handovers if write.ledger_version == version
    ]
    reconciler.open_handovers.append(open_handover)
    open_write = None
    if _takes_own_keys(node, base, proposed):
        expected[records.name_lease_row(node.place.node)] = reconciler.lease_version
        open_write = records.OpenWrite(
            proposed=proposed, ledger_version=version, lease_version=reconciler.lease_version
        )
        reconciler.open_writes.append(open_write)
    writes: dict[table.Name, bytes | None] = {name: ledger.encode(proposed)}
    writes.update(
        dict.fromkeys(
            row_name
            for row_name, lease_version in ended_leases.items()
            if lease_version != table.MISSING
        )
    )
    done = await reconciler.store.commit(expected, writes)
    if done is not table.Failure.UNKNOWN:
        reconciler.open_writes = [
            write for write in reconciler.open_writes if write is not open_write
        ]
        reconciler.open_handovers = [
            write for write in reconciler.open_handovers if write is not open_handover
        ]
    decision.record(
        log,
        logging.INFO,
        "ledger-written",
        result=type(done).__name__ if not isinstance(done, table.Failure) else done,
        based_on=version,
        spans=len(proposed.spans),
        ended=",".join(row_name.key for row_name in ended_leases),
    )
    if isinstance(done, table.Committed):
        node.ledgers[node.place.service] = node_module.VersionedLedger(
            ledger=proposed,
            version=done.version,
            written_at=records.find_written_at(node, done.version),
        )
        records.record_receivers(reconciler, base, proposed)
        reconciler.nodes_to_notify |= ledger.find_affected_nodes(base, proposed)
        for row_name in ended_leases:
            node.leases.pop(identity.NodeId(row_name.key), None)
        node_module.notify_changed(node)
        return Written.COMMITTED
    if isinstance(done, table.Conflict):
        # The answer has the changed rows, from which the next write can be planned. They may have
        # arrived on another way during the call.
        is_changed = renewal.apply_conflict(reconciler, done.rows)
        if is_changed or node.ledgers.get(node.place.service) is not current:
            return Written.OVERTAKEN
    elif done is table.Failure.UNKNOWN:
        # The write may have been applied, or may be applied later.
        if open_write is not None:
            reconciler.is_renewal_due = True
            node_module.notify_changed(node)
        await records.reload_mesh(reconciler)
        await renewal.read_leases(reconciler)
    await node_module.pause(reconciler.node, records.RETRY_S * (1 + node.draw()))
    return Written.FAILED


def _takes_own_keys(node: node_module.Node, base: ledger.Ledger, proposed: ledger.Ledger) -> bool:
    """Return whether a ledger takes keys from the node's target without a handover."""
    return any(
        span.node == node.place.node
        and not span.successor
        and ledger.find_span(proposed, span.first).holder != span.holder
        for span in base.spans
    )


async def _rebalance_once(
    reconciler: records.Reconciler,
    name: table.Name,
    versioned_ledger: node_module.VersionedLedger,
    observation: plan.Observation,
) -> bool:
    """Write moves of keys to other targets if they are due; return whether to check again.

    The members may be older than the ledger: a move changes the node's own spans only, and one to a
    target that has left is cancelled.
    """
    rebalanced = _rebalance(reconciler, versioned_ledger.ledger, observation)
    if rebalanced == versioned_ledger.ledger:
        return False
    written = await _write_ledger(reconciler, name, versioned_ledger.version, rebalanced, {})
    if written is Written.COMMITTED:
        reconciler.pacing.moved_at = reconciler.node.now()
    else:
        # Nothing was moved. With many writers, the next one is overtaken too if it waits.
        reconciler.pacing.checked_at = reconciler.pacing.slow_check_at = float("-inf")
    return written is not Written.FAILED


def _rebalance(
    reconciler: records.Reconciler, planned: ledger.Ledger, observation: plan.Observation
) -> ledger.Ledger:
    """Return the ledger with moves of keys to other targets, if the own one is too busy."""
    node = reconciler.node
    own_candidate = next(
        (candidate for candidate in observation.candidates if candidate.node == node.place.node),
        None,
    )
    if observation.is_leaving or own_candidate is None:
        return planned
    loads: dict[identity.Lifetime, rebalancing.Load] = {}

    def measure_loads() -> dict[identity.Lifetime, rebalancing.Load]:
        for candidate in observation.candidates:
            loads[candidate.lifetime] = _estimate_load(reconciler, candidate)
        return loads

    moves = rebalancing.propose(
        planned,
        own_candidate,
        measure_loads,
        node.key_rates,
        node.surge,
        reconciler.pacing,
        node.now(),
        node.draw,
    )
    for move in moves:
        planned = ledger.plan_move(planned, move.first, move.last, move.successor)
        decision.record(
            log,
            logging.INFO,
            "relief",
            first=move.first,
            last=move.last,
            heir=move.successor.node,
            own_load=round(loads[own_candidate.lifetime].offered, 3),
            heir_load=round(loads[move.successor.lifetime].offered, 3),
        )
    return planned


def _estimate_load(reconciler: records.Reconciler, candidate: ledger.Candidate) -> rebalancing.Load:
    """Return the load of a target from its last answer, or from its lease row if that is newer."""
    node = reconciler.node
    if candidate.node == node.place.node:
        load_report = node_module.measure_load(node)
        deviation = rates.find_deviation(node.key_rates, node.now())
        return rebalancing.Load(
            candidate=candidate,
            offered=load_report.offered,
            request_load=load_report.request_load,
            deviation=deviation * load_report.request_load,
        )
    view = node_module.read_view(node, candidate.node)
    versioned_lease = node.leases.get(candidate.node)
    is_newer = view.reported_at > min(node.now() - MAX_LOAD_AGE_S, reconciler.leases_read_at)
    if is_newer or versioned_lease is None or not versioned_lease.row.request_load:
        return rebalancing.Load(
            candidate=candidate, offered=view.offered, request_load=view.request_load
        )
    return rebalancing.Load(
        candidate=candidate,
        offered=versioned_lease.row.offered,
        request_load=versioned_lease.row.request_load,
    )


async def await_keys(reconciler: records.Reconciler) -> None:
    """Wait a moment while keys are moving to the target beside this node.

    :param reconciler: the state.
    """
    node = reconciler.node
    with trio.move_on_after(ANSWER_WAIT_S):
        while True:
            changed = node.changed
            versioned_ledger = node.ledgers.get(node.place.service)
            target = node.target
            if (
                versioned_ledger is None
                or target is None
                or target.state is not member.TargetState.READY
            ):
                return
            if not any(span.successor == target.lifetime for span in versioned_ledger.ledger.spans):
                return
            await changed.wait()


def observe(reconciler: records.Reconciler) -> plan.Observation:
    """Return what the node knows now, as the input to the next change of the ledger.

    :param reconciler: the state.
    """
    node = reconciler.node
    now = node.now()
    target = node.target
    own_lifetime = target.lifetime if target is not None else ledger.NO_HOLDER
    expired_nodes = frozenset(
        name
        for name, other in node.leases.items()
        if name != node.place.node
        and node.store_clock is not None
        and lease.is_expired(other.row, node.store_clock, now)
        and not recovery.may_have_been_renewed(node, other.row)
    )
    # Nodes read an unreadable lease at different times and disagree on when it expires. A node that
    # still took it for valid would give keys back to a lost node.
    unreadable = {name for name, other in node.leases.items() if not other.row.incarnation}
    alive = frozenset(node.leases) - expired_nodes - unreadable | {node.place.node}
    versioned_ledger = node.ledgers.get(node.place.service)
    is_silent = target is not None and target.is_silent
    is_known = target is not None and not target.is_assumed

    def is_lost(holder: identity.Lifetime) -> bool:
        if holder != own_lifetime:
            # A new lifetime at the target's address proves that the previous one has ended.
            return is_known or is_silent
        return is_silent or (target is not None and target.is_dead)

    # A silent target still has its row, but must not get back the keys that were taken from it.
    candidates = tuple(
        ledger.Candidate(node=announced.node, lifetime=announced.lifetime, weight=announced.slots)
        for announced in node_module.list_open_members(node, node.place.service)
        if announced.node in alive
        and not (announced.node == node.place.node and is_lost(announced.lifetime))
    )
    # Without candidates, every node may act as the leader.
    candidate_nodes = sorted(candidate.node for candidate in candidates)
    return plan.Observation(
        node=node.place.node,
        own_lifetime=own_lifetime,
        candidates=candidates,
        released=(
            grant.find_released(node.grantor, versioned_ledger.ledger, now)
            if versioned_ledger is not None
            else {}
        ),
        expired_nodes=expired_nodes | _find_nodes_without_lease(reconciler),
        is_leaving=target is not None and not node_module.is_open(node),
        is_leader=not candidate_nodes or candidate_nodes[0] == node.place.node,
        is_lost=is_lost,
    )


def _find_nodes_without_lease(reconciler: records.Reconciler) -> frozenset[identity.NodeId]:
    """Return the holders without a lease whose keys may be taken over.

    A node without a lease row must not grant keys, but its row may be newer than the leases that
    were read. Announced members are therefore excluded, and the write that takes over the keys of
    another node requires that there is still no row.
    """
    node = reconciler.node
    versioned_ledger = node.ledgers.get(node.place.service)
    if versioned_ledger is None or reconciler.leases_read_at == float("-inf"):
        return frozenset()
    if not recovery.has_settled(node):
        # The copy of a restored store may lack leases that have not ended.
        return frozenset()
    known = {node.place.node, *node.leases, *node.members}
    return frozenset(ledger.list_nodes(versioned_ledger.ledger) - known)


def _has_discovered(reconciler: records.Reconciler, observation: plan.Observation) -> bool:
    """Return whether the wait for targets before the first ledger is over."""
    now = reconciler.node.now()
    if not observation.candidates:
        return False
    if reconciler.discovery_started_at is None:
        reconciler.discovery_started_at = now
    return now - reconciler.discovery_started_at >= DISCOVERY_S + reconciler.node.place.heartbeat_s
