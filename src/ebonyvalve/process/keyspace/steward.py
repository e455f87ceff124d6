"""Writes what the ledger of the own service needs, and answers the target's reports."""

import dataclasses
import logging

import trio

from ebonyvalve.process import decision, decoding, identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, lease, ledger, plan, records, relief, tenure
from ebonyvalve.process.load import heat
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

# Looks at the ledger even if nothing has changed, because leases and holds end by time.
LOOK_S = 0.25
# All VMs start within 0.3 s, and their targets report within a heartbeat.
GATHER_S = 1.0
# Lets the rates and loads after a move settle before the next one, at either end. Several busy
# targets would else all relieve themselves at the expense of the same idle one.
RELIEF_PAUSE_S = 1.0
# The rates of single keys are looked at this often at most.
RATE_LOOK_S = 0.5
# After this long without an answer, the load in the other node's lease row may be newer.
LOAD_AGE_S = 1.5
# A target that is about to get keys is answered when they are free, but within the second after
# which it gives an answer up.
ANSWER_WAIT_S = 0.6
# The leader takes the keys of lost nodes at once; another one after this or twice this time, if the
# leader has not.
TAKE_PAUSE_S = 0.3
# Leases that were read before are read again before keys are taken.
FRESH_S = 1.0


def answer_report(steward: records.Steward) -> grant.Grant | None:
    """Return what the target is to hold, or ``None`` for a service without keys.

    :param steward: the state.
    """
    node = steward.node
    if not node_module.is_keyed(node):
        return None
    book = node.books.get(node.place.service)
    if book is not None and book.version < steward.least_ledger:
        book = None
    given = grant.answer(
        node.grantor,
        None if book is None else book.ledger,
        now=node.now(),
        hold_s=tenure.read_hold(steward),
    )
    node_module.pulse(node)
    return given


async def tend(steward: records.Steward) -> None:
    """Write what the ledger needs whenever something changes, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        node_module.note_silence(node)
        is_able = (
            node_module.is_keyed(node) and node.is_mesh_known and steward.lease_row is not None
        )
        if is_able and await _tend_once(steward):
            continue
        with trio.move_on_after(LOOK_S):
            await changed.wait()


async def _tend_once(steward: records.Steward) -> bool:
    """Make one write if one is due; return whether the ledger has moved on."""
    node = steward.node
    service = node.place.service
    book = node.books.get(service)
    name = records.name_book(service)
    if decoding.is_unreadable(node.unreadable, records.describe_place(name)):
        # A write can only be based on the row that is there, of which nothing is known.
        return False
    situation = assess(steward)
    if book is None:
        if not situation.is_leader or not _has_gathered(steward, situation):
            return False
        # A write raises a fence by one, so that none is above the store's counter of writes.
        created = ledger.create(situation.candidates, fence=steward.mesh_version)
        return await _write(steward, name, table.MISSING, created, {})
    lost = ledger.list_nodes(book.ledger) & situation.over
    if not lost:
        steward.take_at = None
    elif not await _may_take(steward, situation):
        situation = dataclasses.replace(situation, over=situation.over - lost)
    proposed = plan.propose(book.ledger, situation)
    if proposed == book.ledger:
        return await _relieve_once(steward, name, book, situation)
    if not records.has_members_of(steward, book):
        return False
    # A node that is thought to have no lease must have none when its keys are taken.
    ended = {
        records.name_lease(lost): _read_lease_version(node, lost)
        for lost in ledger.list_nodes(book.ledger) & situation.over
    }
    return await _write(steward, name, book.version, proposed, ended)


async def _may_take(steward: records.Steward, situation: plan.Situation) -> bool:
    """Return whether this node should take the keys of nodes whose leases are thought to be over.

    All nodes think so at the same moment, and one write is enough. A node that the store has
    refused for a while thinks so of nodes that have renewed their leases meanwhile.
    """
    node = steward.node
    now = node.now()
    if steward.take_at is None:
        steward.take_at = now if situation.is_leader else now + TAKE_PAUSE_S * (1 + node.draw())
    if now < steward.take_at:
        return False
    if now < steward.leases_read_at + FRESH_S:
        return True
    if now >= steward.leases_asked_at + FRESH_S:
        await tenure.read_leases(steward)
    return False


def _read_lease_version(node: node_module.Node, name: identity.NodeId) -> int:
    known = node.leases.get(name)
    return table.MISSING if known is None else known.version


async def _write(
    steward: records.Steward,
    name: table.Name,
    version: int,
    proposed: ledger.Ledger,
    ended: dict[table.Name, int],
) -> bool:
    node = steward.node
    known = node.books.get(node.place.service)
    based = known.ledger if known is not None else ledger.Ledger(spans=())
    writes: dict[table.Name, bytes | None] = {name: ledger.encode(proposed)}
    writes.update(dict.fromkeys(one for one, held in ended.items() if held != table.MISSING))
    done = await steward.store.commit({name: version, **ended}, writes)
    decision.record(
        log,
        logging.INFO,
        "ledger-written",
        result=type(done).__name__ if not isinstance(done, table.Trouble) else done,
        based_on=version,
        spans=len(proposed.spans),
        ended=",".join(one.key for one in ended),
    )
    if isinstance(done, table.Committed):
        node.books[node.place.service] = node_module.Book(ledger=proposed, version=done.version)
        records.note_receivers(steward, based, proposed)
        steward.untold |= ledger.find_concerned(based, proposed)
        for one in ended:
            node.leases.pop(identity.NodeId(one.key), None)
        node_module.pulse(node)
        return True
    if isinstance(done, table.Conflict):
        # The answer holds what has changed, so that the next write can be worked out from it.
        if tenure.take_conflict(steward, done.rows):
            return True
    elif done is table.Trouble.UNKNOWN:
        # The write may have been done: what the table has decides.
        await records.read_again(steward)
        await tenure.read_leases(steward)
    await node_module.pause(steward.node, records.RETRY_S * (1 + node.draw()))
    return False


async def _relieve_once(
    steward: records.Steward, name: table.Name, book: node_module.Book, situation: plan.Situation
) -> bool:
    relieved = _relieve(steward, book.ledger, situation)
    if relieved == book.ledger or not records.has_members_of(steward, book):
        return False
    is_written = await _write(steward, name, book.version, relieved, {})
    if is_written:
        steward.relieved_at = steward.node.now()
    return is_written


def _relieve(
    steward: records.Steward, book: ledger.Ledger, situation: plan.Situation
) -> ledger.Ledger:
    """Return the ledger with moves that relieve the own target, if it is too busy."""
    node = steward.node
    now = node.now()
    if situation.is_leaving or now < steward.relieved_at + RELIEF_PAUSE_S:
        return book
    if now < steward.rated_at + RATE_LOOK_S:
        return book
    steward.rated_at = now
    own = next((one for one in situation.candidates if one.node == node.place.node), None)
    if own is None:
        return book
    settling = {name for name, at in steward.received_at.items() if now < at + RELIEF_PAUSE_S}
    if own.lifetime in settling:
        return book
    # Keys that are on their way here come after a heartbeat or two, too late to wait for them.
    settling |= {identity.Lifetime(span.heir) for span in book.spans if span.heir}
    loads = {one.node: _estimate(steward, one) for one in situation.candidates}
    others = [
        load
        for name, load in loads.items()
        if name != node.place.node and load.candidate.lifetime not in settling
    ]
    mean = sum(load.offered for load in loads.values()) / len(loads)
    # Sorting the rates of thousands of keys is work that a calm target need not do.
    if relief.find_heir(loads[own.node], others, mean=mean) is None:
        return book
    held = ledger.list_held(book, own.lifetime)
    heat.keep(node.heat, [(span.first, span.last) for span in held])
    rates = heat.read_rates(node.heat, now)
    moves = relief.find_moves(book, loads[own.node], others, rates, mean=mean)
    for move in moves:
        book = ledger.order_move(book, move.first, move.last, move.heir)
        decision.record(
            log,
            logging.INFO,
            "relief",
            first=move.first,
            last=move.last,
            heir=move.heir.node,
            own_load=round(loads[own.node].offered, 3),
            heir_load=round(loads[move.heir.node].offered, 3),
        )
    return book


def _estimate(steward: records.Steward, one: ledger.Candidate) -> relief.Load:
    node = steward.node
    if one.node == node.place.node:
        measured = node_module.measure(node)
        return relief.Load(
            candidate=one,
            offered=measured.offered,
            request_load=measured.request_load,
        )
    view = node_module.read_view(node, one.node)
    told = node.leases.get(one.node)
    is_newer = view.reported_at > min(node.now() - LOAD_AGE_S, steward.leases_read_at)
    if is_newer or told is None or not told.row.request_load:
        return relief.Load(candidate=one, offered=view.offered, request_load=view.request_load)
    return relief.Load(candidate=one, offered=told.row.offered, request_load=told.row.request_load)


async def await_keys(steward: records.Steward) -> None:
    """Wait a moment while keys are on their way to the target beside this node.

    :param steward: the state.
    """
    node = steward.node
    with trio.move_on_after(ANSWER_WAIT_S):
        while True:
            changed = node.changed
            book = node.books.get(node.place.service)
            target = node.target
            if book is None or target is None or target.state is not member.TargetState.READY:
                return
            if not any(span.heir == target.lifetime for span in book.ledger.spans):
                return
            await changed.wait()


def assess(steward: records.Steward) -> plan.Situation:
    """Return what the node knows when it looks at the ledger now.

    :param steward: the state.
    """
    node = steward.node
    now = node.now()
    target = node.target
    present = target.lifetime if target is not None else ledger.NOBODY
    over = frozenset(
        name
        for name, other in node.leases.items()
        if name != node.place.node
        and node.clock is not None
        and lease.is_over(other.row, node.clock, now)
    )
    # Nodes read an odd row at different times, so that they disagree on when its lease is over; one
    # that had taken it for alive would give keys back to a lost node.
    unknown = {name for name, other in node.leases.items() if not other.row.incarnation}
    alive = frozenset(node.leases) - over - unknown | {node.place.node}
    book = node.books.get(node.place.service)
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
    return plan.Situation(
        node=node.place.node,
        present=present,
        candidates=candidates,
        released=(grant.find_released(node.grantor, book.ledger, now) if book is not None else {}),
        over=over | _find_missing(steward),
        is_leaving=target is not None and not node_module.is_open(node),
        is_leader=not leaders or leaders[0] == node.place.node,
        is_lost=is_lost,
    )


def _find_missing(steward: records.Steward) -> frozenset[identity.NodeId]:
    """Return the holders without a lease that may be taken from.

    One without a row has no right to grant, but the row may be newer than the leases that were
    read. So members that have announced themselves are left alone, and the write that takes the
    keys of another requires that there is still no row.
    """
    node = steward.node
    book = node.books.get(node.place.service)
    if book is None or steward.leases_read_at == float("-inf"):
        return frozenset()
    known = {node.place.node, *node.leases, *node.members}
    return frozenset(ledger.list_nodes(book.ledger) - known)


def _has_gathered(steward: records.Steward, situation: plan.Situation) -> bool:
    now = steward.node.now()
    if not situation.candidates:
        return False
    if steward.first_seen_at is None:
        steward.first_seen_at = now
    return now - steward.first_seen_at >= GATHER_S + steward.node.place.heartbeat_s
