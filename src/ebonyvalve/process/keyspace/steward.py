"""Keeps this node's lease, its announcement and its service's ledger in the table."""

import dataclasses
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import budget, decision, http, identity, member, network
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import grant, lease, ledger, plan, relief
from ebonyvalve.process.load import heat
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

MESH = table.TableName("mesh")
LEASES = table.TableName("lease")
MEMBER_PREFIX = "member/"
BOOK_PREFIX = "book/"
# A follow that returns nothing costs a call; silent connections are found by keep-alive probes.
FOLLOW_S = 10.0
# Changes of many rows at once are taken together.
SETTLE_S = 0.8
RETRY_S = 0.25
# Looks at the ledger even if nothing has changed, because leases and holds end by time.
LOOK_S = 0.25
# All VMs start within 0.3 s, and their targets report within a heartbeat.
GATHER_S = 1.0
GATHER_PAUSE_S = 0.5
# Lets the rates and loads after a move settle before the next one, at either end. Several busy
# targets would else all relieve themselves at the expense of the same idle one.
RELIEF_PAUSE_S = 1.0
# After this long without an answer, the load in the other node's lease row is newer.
LOAD_AGE_S = 1.5
LEDGER_PATH = "/ebonyvalve/ledger/"
PUSH_TIMEOUT_S = 0.5
# A target that is about to get keys is answered when they are free, but within the second after
# which it gives an answer up.
ANSWER_WAIT_S = 0.6


@dataclasses.dataclass(kw_only=True)
class Steward:
    """What the node has in the table, and how far it has read."""

    node: node_module.Node
    store: table.Store
    connect: network.Connect
    mesh_version: int = 0
    announced: member.Member | None = None
    lease_row: lease.LeaseRow | None = None
    lease_version: int = table.MISSING
    leases_read_at: float = float("-inf")
    first_seen_at: float | None = None
    relieved_at: float = float("-inf")
    # When targets last got keys from others, in seconds on the node's clock.
    received_at: dict[identity.Lifetime, float] = dataclasses.field(default_factory=dict)
    # Whether a ledger was written that the service's other nodes have not been told of.
    has_news: bool = False


async def follow_mesh(steward: Steward) -> None:
    """Read members and ledgers, and keep up with their changes, until cancelled.

    :param steward: the state.
    """
    while True:
        if not steward.node.is_mesh_known:
            read = await steward.store.read(MESH)
            is_whole = True
        else:
            read = await steward.store.follow(MESH, steward.mesh_version, FOLLOW_S)
            is_whole = False
        if isinstance(read, table.Rows):
            take_rows(steward, read, is_whole=is_whole)
            await trio.sleep(SETTLE_S)
            continue
        if read is table.Trouble.HISTORY_GONE:
            await _read_again(steward)
            continue
        await trio.sleep(RETRY_S * (1 + steward.node.draw()))


async def _read_again(steward: Steward) -> None:
    read = await steward.store.read(MESH)
    if isinstance(read, table.Rows):
        take_rows(steward, read, is_whole=True)
    else:
        await trio.sleep(RETRY_S)


def take_rows(steward: Steward, read: table.Rows, *, is_whole: bool) -> None:
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
                del node.members[name]
    for row in read.rows:
        _take_row(steward, row)
    steward.mesh_version = max(steward.mesh_version, read.version)
    budget.divide(node.budget, node.place.retries.slack, len(node.members))
    if read.clock is not None:
        node.clock = read.clock
    node.is_mesh_known = True
    node_module.pulse(node)


def _take_row(steward: Steward, row: table.Row) -> None:
    node = steward.node
    key = row.name.key
    try:
        if key.startswith(MEMBER_PREFIX):
            name = identity.NodeId(key.removeprefix(MEMBER_PREFIX))
            if row.is_removed:
                node.members.pop(name, None)
            else:
                _take_member(steward, member.decode(row.value))
        elif key.startswith(BOOK_PREFIX) and not row.is_removed:
            _take_book(steward, identity.ServiceId(key.removeprefix(BOOK_PREFIX)), row)
    except msgspec.DecodeError as exc:
        decision.record(log, logging.ERROR, "row-unreadable", row=key, cause=str(exc))


def _take_member(steward: Steward, known: member.Member) -> None:
    node = steward.node
    before = node.members.get(known.node)
    node.members[known.node] = known
    if before is None or before.lifetime != known.lifetime or before.address != known.address:
        node.views.pop(known.node, None)
    # A node that starts again beside a living target need not wait for its next report.
    if known.node == node.place.node and node.target is None:
        node.target = node_module.Target(
            lifetime=known.lifetime,
            born_ms=0,
            slots=known.slots,
            state=known.state,
            reported_at=node.now(),
            is_assumed=True,
        )
        node.gate.slots = known.slots
    decision.record(
        log,
        logging.INFO,
        "member",
        member=known.node,
        target=known.lifetime,
        state=known.state,
        zone=known.zone,
    )


def _take_book(steward: Steward, service: identity.ServiceId, row: table.Row) -> None:
    before = steward.node.books.get(service)
    if before is not None and before.version >= row.version:
        return
    decoded = ledger.decode(row.value)
    if before is not None:
        _note_receivers(steward, before.ledger, decoded)
    steward.node.books[service] = node_module.Book(ledger=decoded, version=row.version)
    decision.record(
        log,
        logging.INFO,
        "ledger",
        service=service,
        version=row.version,
        spans=len(decoded.spans),
        moving=sum(1 for span in decoded.spans if span.heir),
    )


def _note_receivers(steward: Steward, before: ledger.Ledger, after: ledger.Ledger) -> None:
    if before.spans:
        now = steward.node.now()
        steward.received_at.update(dict.fromkeys(ledger.find_receivers(before, after), now))


async def announce(steward: Steward) -> None:
    """Write the node's own announcement whenever it changes, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        own = node_module.describe(node)
        if own is None or own == steward.announced:
            await changed.wait()
            continue
        name = table.Name(table=MESH, key=MEMBER_PREFIX + node.place.node)
        is_gone = own.state is member.TargetState.GONE
        value = None if is_gone else member.encode(own)
        done = await steward.store.commit({}, {name: value})
        if isinstance(done, table.Committed):
            steward.announced = own
        else:
            await trio.sleep(RETRY_S)


async def keep_lease(steward: Steward) -> None:
    """Renew the node's lease while its target holds keys, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        if not node_module.is_keyed(node) or node.target is None:
            await node.changed.wait()
            continue
        if await _renew(steward):
            await _read_leases(steward)
            await _sleep_until_renewal(steward)
        else:
            await trio.sleep(RETRY_S)


async def _sleep_until_renewal(steward: Steward) -> None:
    """Sleep for a renewal's period, reading leases sooner while members without one have joined."""
    node = steward.node
    renew_at = node.now() + lease.RENEW_S
    while node.now() + GATHER_PAUSE_S < renew_at:
        await trio.sleep(GATHER_PAUSE_S)
        joined = node_module.list_open_members(node, node.place.service)
        if any(one.node not in node.leases for one in joined):
            await _read_leases(steward)
    await trio.sleep(max(0.0, renew_at - node.now()))


async def _renew(steward: Steward) -> bool:
    node = steward.node
    if node.clock is None:
        await _read_leases(steward)
        if node.clock is None:
            return False
    name = table.Name(table=LEASES, key=node.place.node)
    until_s = lease.read_latest(node.clock, node.now()) + lease.LEASE_S
    measured = node_module.measure(node)
    row = lease.LeaseRow(
        until_s=until_s,
        incarnation=node.incarnation,
        offered=measured.offered,
        request_load=measured.work_s / measured.slots,
    )
    done = await steward.store.commit(
        {name: steward.lease_version}, {name: msgspec.json.encode(row)}
    )
    if isinstance(done, table.Committed):
        steward.lease_row, steward.lease_version = row, done.version
        if done.clock is not None:
            node.clock = done.clock
        return True
    if isinstance(done, table.Conflict) or done is table.Trouble.UNKNOWN:
        await _recover_lease(steward, name)
    return False


async def _recover_lease(steward: Steward, name: table.Name) -> None:
    """Find out which lease the table has after a conflict or a lost answer."""
    read = await steward.store.read(LEASES)
    if not isinstance(read, table.Rows):
        return
    rows = {row.name: row for row in read.rows}
    found = rows.get(name)
    if found is None:
        # Another node has ended the lease and may have given the keys away.
        steward.lease_row, steward.lease_version = None, table.MISSING
        decision.record(log, logging.WARNING, "lease-lost", reason="removed by another node")
        await _read_again(steward)
        return
    if found.version == steward.lease_version:
        return
    decoded = msgspec.json.decode(found.value, type=lease.LeaseRow)
    if decoded.incarnation != steward.node.incarnation:
        # Left by the process before this one; its ledger may be older than what is read now.
        await _read_again(steward)
    else:
        steward.lease_row = decoded
    steward.lease_version = found.version


async def _read_leases(steward: Steward) -> None:
    node = steward.node
    read = await steward.store.read(LEASES)
    if not isinstance(read, table.Rows):
        return
    if read.clock is not None:
        node.clock = read.clock
    leases = {}
    for row in read.rows:
        try:
            decoded = msgspec.json.decode(row.value, type=lease.LeaseRow)
        except msgspec.DecodeError as exc:
            decision.record(log, logging.ERROR, "row-unreadable", row=row.name, cause=str(exc))
            continue
        leases[identity.NodeId(row.name.key)] = node_module.OtherLease(
            row=decoded, version=row.version
        )
    node.leases = leases
    steward.leases_read_at = node.now()
    node_module.pulse(node)


def read_hold(steward: Steward) -> float:
    """Return for how many seconds the target may be granted its keys now; 0 for not at all.

    :param steward: the state.
    """
    node = steward.node
    most_s = min(node.place.most_hold_s, find_hold(node.place.heartbeat_s))
    return lease.find_hold(steward.lease_row, node.clock, node.now(), most_s)


def find_hold(heartbeat_s: float) -> float:
    """Return for how many seconds a target holds its keys without a further answer.

    Four lost reports in a row are rare; a target that has fallen silent blocks its keys for as
    long as this.

    :param heartbeat_s: seconds between two reports.
    """
    return max(4.0, 4.0 * heartbeat_s)


def answer_report(steward: Steward) -> grant.Grant | None:
    """Return what the target is to hold, or ``None`` for a service without keys.

    :param steward: the state.
    """
    node = steward.node
    if not node_module.is_keyed(node):
        return None
    book = node.books.get(node.place.service)
    given = grant.answer(
        node.grantor,
        None if book is None else book.ledger,
        now=node.now(),
        hold_s=read_hold(steward),
    )
    node_module.pulse(node)
    return given


async def tend(steward: Steward) -> None:
    """Write what the ledger needs whenever something changes, until cancelled.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        is_able = (
            node_module.is_keyed(node) and node.is_mesh_known and steward.lease_row is not None
        )
        if is_able and await _tend_once(steward):
            continue
        with trio.move_on_after(LOOK_S):
            await changed.wait()


async def _tend_once(steward: Steward) -> bool:
    """Make one write if one is due; return whether the ledger has moved on."""
    node = steward.node
    service = node.place.service
    book = node.books.get(service)
    situation = assess(steward)
    name = table.Name(table=MESH, key=BOOK_PREFIX + service)
    if book is None:
        if not situation.is_leader or not _has_gathered(steward, situation):
            return False
        return await _write(steward, name, table.MISSING, ledger.create(situation.candidates), {})
    proposed = plan.propose(book.ledger, situation)
    if proposed == book.ledger:
        return await _relieve_once(steward, name, book, situation)
    taken = {span.node for span in book.ledger.spans if span.node and span.node in situation.over}
    ended = {
        table.Name(table=LEASES, key=lost): node.leases[identity.NodeId(lost)].version
        for lost in taken
        if identity.NodeId(lost) in node.leases
    }
    return await _write(steward, name, book.version, proposed, ended)


async def _write(
    steward: Steward,
    name: table.Name,
    version: int,
    proposed: ledger.Ledger,
    ended: dict[table.Name, int],
) -> bool:
    node = steward.node
    known = node.books.get(node.place.service)
    based = known.ledger if known is not None else ledger.Ledger(spans=())
    writes: dict[table.Name, bytes | None] = {name: ledger.encode(proposed)}
    writes.update(dict.fromkeys(ended))
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
        _note_receivers(steward, based, proposed)
        steward.has_news = True
        for one in ended:
            node.leases.pop(identity.NodeId(one.key), None)
        node_module.pulse(node)
        return True
    # The ledger or a lease has changed, or the answer was lost: what the table has decides.
    await _read_again(steward)
    await _read_leases(steward)
    await trio.sleep(RETRY_S * node.draw())
    return False


async def _relieve_once(
    steward: Steward, name: table.Name, book: node_module.Book, situation: plan.Situation
) -> bool:
    relieved = _relieve(steward, book.ledger, situation)
    if relieved == book.ledger:
        return False
    is_written = await _write(steward, name, book.version, relieved, {})
    if is_written:
        steward.relieved_at = steward.node.now()
    return is_written


def _relieve(steward: Steward, book: ledger.Ledger, situation: plan.Situation) -> ledger.Ledger:
    """Return the ledger with moves that relieve the own target, if it is too busy."""
    node = steward.node
    now = node.now()
    if situation.is_leaving or now < steward.relieved_at + RELIEF_PAUSE_S:
        return book
    own = next((one for one in situation.candidates if one.node == node.place.node), None)
    if own is None:
        return book
    settling = {name for name, at in steward.received_at.items() if now < at + RELIEF_PAUSE_S} | {
        span.heir for span in book.spans
    }
    if own.lifetime in settling:
        return book
    held = ledger.list_held(book, own.lifetime)
    heat.forget(node.heat, lambda slot: any(span.first <= slot <= span.last for span in held))
    loads = {one.node: _estimate(steward, one) for one in situation.candidates}
    others = [
        load
        for name, load in loads.items()
        if name != node.place.node and load.candidate.lifetime not in settling
    ]
    moves = relief.find_moves(
        book,
        loads[own.node],
        others,
        heat.read_rates(node.heat, now),
        mean=sum(load.offered for load in loads.values()) / len(loads),
    )
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


def _estimate(steward: Steward, one: ledger.Candidate) -> relief.Load:
    node = steward.node
    if one.node == node.place.node:
        measured = node_module.measure(node)
        return relief.Load(
            candidate=one,
            offered=measured.offered,
            request_load=measured.work_s / measured.slots,
        )
    view = node_module.read_view(node, one.node)
    told = node.leases.get(one.node)
    if node.now() - view.reported_at < LOAD_AGE_S or told is None:
        return relief.Load(
            candidate=one, offered=view.offered, request_load=view.work_s / view.slots
        )
    return relief.Load(candidate=one, offered=told.row.offered, request_load=told.row.request_load)


async def push_ledger(steward: Steward) -> None:
    """Tell the service's other nodes of a new ledger, until cancelled.

    Heirs wait for its keys, and a write that is based on an older ledger fails.

    :param steward: the state.
    """
    node = steward.node
    while True:
        changed = node.changed
        book = node.books.get(node.place.service)
        if not steward.has_news or book is None:
            await changed.wait()
            continue
        steward.has_news = False
        others = [
            one.address
            for one in node.members.values()
            if one.service == node.place.service and one.node != node.place.node
        ]
        path = f"{LEDGER_PATH}{node.place.service}/{book.version}"
        request = http.Request(method="POST", path=path, body=ledger.encode(book.ledger))
        async with trio.open_nursery() as nursery:
            for address in others:
                nursery.start_soon(_push, steward, address, request)


async def _push(steward: Steward, address: identity.Address, request: http.Request) -> None:
    sent = await http.fetch(steward.connect, address, request, timeout_s=PUSH_TIMEOUT_S)
    if not isinstance(sent, result.Success):
        # The node learns of it from the store a little later.
        decision.record(
            log, logging.INFO, "push-failed", address=address, cause=sent.failure().value
        )


def take_push(steward: Steward, path: str, body: bytes) -> bool:
    """Take a ledger that another node sends; return whether it could be read.

    :param steward: the state.
    :param path: names the service and the version.
    :param body: the ledger.
    """
    service, _, version = path.removeprefix(LEDGER_PATH).rpartition("/")
    name = table.Name(table=MESH, key=BOOK_PREFIX + service)
    try:
        row = table.Row(name=name, value=body, version=int(version))
        _take_book(steward, identity.ServiceId(service), row)
    except (ValueError, msgspec.DecodeError) as exc:
        decision.record(log, logging.ERROR, "push-unreadable", path=path, cause=str(exc))
        return False
    node_module.pulse(steward.node)
    return True


async def await_keys(steward: Steward) -> None:
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


def assess(steward: Steward) -> plan.Situation:
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
    alive = frozenset(node.leases) - over | {node.place.node}
    candidates = tuple(
        ledger.Candidate(node=one.node, lifetime=one.lifetime, weight=one.slots)
        for one in node_module.list_open_members(node, node.place.service)
        if one.node in alive
    )
    book = node.books.get(node.place.service)
    # A node without a lease row was taken from, or has left: its keys are free as well.
    missing = (
        frozenset(
            identity.NodeId(span.node)
            for span in book.ledger.spans
            if span.node and span.node != node.place.node and span.node not in node.leases
        )
        if book is not None and steward.leases_read_at > float("-inf")
        else frozenset()
    )
    leaders = sorted(one.node for one in candidates)
    hold_s = find_hold(node.place.heartbeat_s)
    is_silent = (
        target is not None and now > node.grantor.ends_at and now > target.reported_at + hold_s
    )
    is_known = target is not None and not target.is_assumed

    def is_lost(holder: identity.Lifetime) -> bool:
        if holder != present:
            # A new lifetime at the target's address proves that the one before has ended.
            return is_known or is_silent
        return is_silent or (target is not None and target.is_dead)

    return plan.Situation(
        node=node.place.node,
        present=present,
        candidates=candidates,
        released=(grant.find_released(node.grantor, book.ledger, now) if book is not None else {}),
        over=over if not missing else over | _confirm_missing(steward, missing),
        is_leaving=target is not None and not node_module.is_open(node),
        is_leader=not leaders or leaders[0] == node.place.node,
        is_lost=is_lost,
    )


def _confirm_missing(
    steward: Steward, missing: frozenset[identity.NodeId]
) -> frozenset[identity.NodeId]:
    """Return the nodes without a lease that may be taken from.

    A node that is granted keys has a lease row from before; one whose row is missing has no
    right to grant. Its heirship may be newer than the leases that were read, though, so that
    members that have announced themselves are left alone.
    """
    return frozenset(name for name in missing if name not in steward.node.members)


def _has_gathered(steward: Steward, situation: plan.Situation) -> bool:
    now = steward.node.now()
    if not situation.candidates:
        return False
    if steward.first_seen_at is None:
        steward.first_seen_at = now
    return now - steward.first_seen_at >= GATHER_S + steward.node.place.heartbeat_s
