"""Drives the rules of leases and of the cell with the peers, the table and the timer."""

import collections.abc
import dataclasses
import logging
import math

import msgspec
from returns import result
import trio

from ebonyvalve.process import (
    assignment,
    cell,
    decision,
    decoding,
    identity,
    lease,
    message,
    peer,
    platform,
    timer,
)

log = logging.getLogger(__name__)

HEAD_ROW = "config/head"
HEAD_POLL_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 0.1
# A release waits for the requests in flight, whose deadlines are below this.
RELEASE_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 2.0
STORE_TIMEOUT_S = 5.0
# While the store takes longer than this, no planned move is begun, because the shard would have no
# owner until the commit is answered.
SLOW_STORE_S = 0.1
# A commit that takes longer than this is no longer waited for by the shards of planned moves.
LATE_COMMIT_S = 0.25
# Without a coordinator for so long, a node that is no standby looks whether it may claim the cell.
CLAIM_DELAY_S = 1.5
# After stepping down a coordinator leaves the cell to its standbys for so long.
RECLAIM_DELAY_S = 1.0
RETRY_INTERVAL_S = 0.1
# A cell that has never assigned a shard waits this long for its nodes, or the first of them would
# get every shard.
DISCOVERY_S = 1.0
# Longest pause between reads of the cell row while the store does not answer. A store that has just
# come back bears 2000 reads/s; 780 nodes that read 10 times a second would make 7800.
MAX_SEARCH_INTERVAL_S = 1.0
FIRST_RETRY_INTERVAL_S = 0.005
# Loads of some forty shards are larger than the rest of a heartbeat.
LOAD_REPORT_INTERVAL_S = 1.0
NO_OTHER_MEMBER = "no other member"
LEAVE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceTraits:
    """What ownership needs to know of a service."""

    checks_fence: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """What ownership uses. ``release`` may be cancelled and then leaves the memories in place.

    ``release`` returns the token memories once no request of the shards is in flight, and drops
    them. ``install`` puts memories in place. ``inherit`` adds the used tokens and epochs of a
    holding, with its own epoch, to the memory of another one at this node. ``forget`` drops the
    memories of shards. ``abandon`` cancels running requests and keeps the memories. ``notify`` is
    called whenever the node's view of ownership or members has changed.
    """

    ask: peer.Ask
    table: platform.Table
    objects: platform.ObjectStore
    timer: timer.Timer
    place: assignment.PlaceShards
    release: collections.abc.Callable[
        [list[identity.ShardId]], collections.abc.Awaitable[list[message.TokenMemory]]
    ]
    install: collections.abc.Callable[[list[message.TokenMemory]], None]
    inherit: collections.abc.Callable[[message.Holding, message.Holding], None]
    forget: collections.abc.Callable[[list[identity.ShardId]], None]
    cancel_requests: collections.abc.Callable[[list[identity.ShardId]], None]
    adopt_config: collections.abc.Callable[[identity.ConfigVersion, bytes], None]
    describe_member: collections.abc.Callable[[], message.Member]
    collect_loads: collections.abc.Callable[[], list[message.ShardLoad]]
    collect_hot_keys: collections.abc.Callable[
        [], list[tuple[identity.ServiceId, identity.KeyId, float]]
    ]
    collect_new_quarantine: collections.abc.Callable[[], list[message.Quarantined]]
    install_quarantine: collections.abc.Callable[[list[message.Quarantined]], None]
    list_shards: collections.abc.Callable[[], frozenset[identity.ShardId]]
    describe_service: collections.abc.Callable[[identity.ServiceId], ServiceTraits]
    find_parent: collections.abc.Callable[[identity.ShardId], identity.ShardId]
    notify: collections.abc.Callable[[], None] = lambda: None
    observe_move: collections.abc.Callable[[identity.ServiceId, assignment.MoveReason], None] = (
        lambda service, reason: None
    )
    observe_heartbeat: collections.abc.Callable[[peer.AskResult], None] = lambda reply: None


class Head(msgspec.Struct, kw_only=True, frozen=True):
    """The row ``config/head``, as far as ownership reads it."""

    version: identity.ConfigVersion
    digest: str


@dataclasses.dataclass(kw_only=True)
class PendingRelease:
    """A release that waits for the requests in flight."""

    scope: trio.CancelScope
    done: trio.Event


@dataclasses.dataclass(kw_only=True)
class Leadership:
    """State of the coordinator's role, from claim to stepping down."""

    rules: cell.Coordinator
    scope: trio.CancelScope
    nursery: trio.Nursery
    is_loaded: bool = False
    # The node stops and hands its role over; it renews no lease.
    is_closing: bool = False
    order: int = 0
    memories: dict[identity.ShardId, message.TokenMemory] = dataclasses.field(default_factory=dict)
    collecting: set[identity.NodeId] = dataclasses.field(default_factory=set)
    revoking: set[tuple[identity.NodeId, identity.ShardId]] = dataclasses.field(default_factory=set)
    granting: set[identity.NodeId] = dataclasses.field(default_factory=set)
    wanted: list[cell.NodeInstance] = dataclasses.field(default_factory=list)
    quarantine: dict[identity.Fingerprint, float] = dataclasses.field(default_factory=dict)
    # What operators see: by node the configuration it has, by shard when and why it changed owner.
    config_versions: dict[identity.NodeId, identity.ConfigVersion] = dataclasses.field(
        default_factory=dict
    )
    last_moves: dict[identity.ShardId, tuple[float, str]] = dataclasses.field(default_factory=dict)
    store_lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    store_checked_s: float = -math.inf
    planned_s: float = -math.inf
    planned_for: tuple[int, int, int] = (-1, -1, -1)
    wake: trio.Event = dataclasses.field(default_factory=trio.Event)
    commit: trio.Event = dataclasses.field(default_factory=trio.Event)
    poll: trio.Event = dataclasses.field(default_factory=trio.Event)
    # Replaced on every change, for those who wait for a condition.
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(kw_only=True)
class State:
    """Ownership at one node, for the life of the process."""

    cell_id: identity.CellId
    ports: Ports
    node: lease.Node
    # When the last renewal was applied, or the node started.
    renewed_at_s: float
    standby: cell.Standby = dataclasses.field(default_factory=cell.Standby)
    leadership: Leadership | None = None
    nursery: trio.Nursery | None = None
    is_leaving: bool = False
    body: bytes = b""
    stepped_down_s: float = -math.inf
    loads_sent_s: float = -math.inf
    releasing: dict[identity.ShardId, PendingRelease] = dataclasses.field(default_factory=dict)
    # Answers to Revoke, kept in case the reply was lost: a shard that was held must not look as
    # if it had never been, or its token memory would be replaced by an empty one.
    released: dict[identity.ShardId, tuple[message.Holding, list[message.TokenMemory]]] = (
        dataclasses.field(default_factory=dict)
    )
    # The heartbeat under way. It is given up when the node follows another coordinator, so that the
    # first heartbeat to that one does not wait for the reply of a lost one.
    beating: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    beat: trio.Event = dataclasses.field(default_factory=trio.Event)
    search: trio.Event = dataclasses.field(default_factory=trio.Event)
    renewed: trio.Event = dataclasses.field(default_factory=trio.Event)
    consented: trio.Event = dataclasses.field(default_factory=trio.Event)


def open_state(cell_id: identity.CellId, ports: Ports) -> State:
    """Return the state of a node that has just started.

    :param cell_id: the cell that the node belongs to.
    :param ports: what ownership uses.
    """
    member = ports.describe_member()
    node = lease.Node(node=member.node, incarnation=member.incarnation)
    now = timer.now(ports.timer)
    return State(cell_id=cell_id, ports=ports, node=node, renewed_at_s=now)


async def run(state: State) -> None:
    """Run heartbeats, and the coordinator's or a standby's role, until cancelled.

    :param state: from :func:`open_state`.
    """
    async with trio.open_nursery() as nursery:
        state.nursery = nursery
        nursery.start_soon(_announce, state)
        nursery.start_soon(_beat, state)
        nursery.start_soon(_watch_lease, state)
        nursery.start_soon(_watch_promise, state)
        nursery.start_soon(_search, state)


async def leave(state: State) -> bool:
    """Move the node's shards and its role to others, and return whether that succeeded in time.

    :param state: the node; its loops must be running.
    """
    state.is_leaving = True
    state.beat.set()
    ports = state.ports
    deadline = timer.now(ports.timer) + LEAVE_TIMEOUT_S
    request = message.Leave(node=state.node.node, incarnation=state.node.incarnation)
    while timer.now(ports.timer) < deadline:
        address = state.node.coordinator_address
        reply = await _ask(state, address, request, deadline - timer.now(ports.timer))
        if isinstance(reply.value_or(None), message.Done):
            if state.leadership is not None:
                await _hand_over(state, state.leadership)
            return True
        refusal = reply.value_or(None)
        if isinstance(refusal, message.Refused) and refusal.reason == NO_OTHER_MEMBER:
            return False
        await timer.wait_until(ports.timer, timer.now(ports.timer) + RETRY_INTERVAL_S)
    return False


async def handle(state: State, request: message.Message) -> message.Message:
    """Answer a control message.

    :param state: the node.
    :param request: the message.
    """
    match request:
        case message.Heartbeat():
            return _handle_heartbeat(state, request)
        case message.AskConsent():
            return _handle_consent(state, request)
        case message.Follow():
            return _handle_follow(state, request)
        case message.Revoke():
            return await _handle_revoke(state, request)
        case message.Grant():
            return _handle_grant(state, request)
        case message.Rerouted():
            return _handle_reroute(state, request)
        case message.FetchConfig():
            if request.version == state.node.config_version:
                return message.Config(version=request.version, body=state.body)
            return _refuse(state, "no such configuration")
        case message.Leave():
            return await _handle_leave(state, request)
    return _refuse(state, "not a request")


def _refuse(state: State, reason: str) -> message.Refused:
    return message.Refused(term=state.node.term, reason=reason)


def _now(state: State) -> float:
    return timer.now(state.ports.timer)


async def _sleep(state: State, period_s: float) -> None:
    await timer.wait_until(state.ports.timer, _now(state) + period_s)


async def _wait_event(state: State, event: trio.Event, until_s: float) -> None:
    """Wait until an event or a time, whichever is first."""
    async with trio.open_nursery() as nursery:

        async def wait() -> None:
            await timer.wait_until(state.ports.timer, until_s)
            nursery.cancel_scope.cancel()

        if until_s < math.inf:
            nursery.start_soon(wait)
        await event.wait()
        nursery.cancel_scope.cancel()


async def _ask(
    state: State, address: identity.Address, request: message.Message, timeout_s: float
) -> peer.AskResult:
    if address == state.ports.describe_member().peer_address:
        with trio.move_on_after(timeout_s):
            return result.Success(await handle(state, request))
        return result.Failure(peer.PeerFailure.TIMEOUT)
    return await state.ports.ask(address, request, timeout_s)


def _find_wait(state: State) -> cell.FindGrace:
    def wait(service: identity.ServiceId) -> float:
        traits = state.ports.describe_service(service)
        return 0.0 if traits.checks_fence else traits.deadline_s

    return wait


def _make_seat(state: State) -> cell.NodeInstance:
    return cell.make_instance(state.ports.describe_member())


# The node


def _put_node(state: State, node: lease.Node) -> None:
    """Replace the node's state and cancel the requests of shards that it no longer serves."""
    before = state.node
    state.node = node
    lapsed = [
        shard
        for shard, held in node.holdings.items()
        if lease.is_suspended(held)
        and shard in before.holdings
        and not lease.is_suspended(before.holdings[shard])
    ]
    if lapsed:
        decision.record(log, logging.WARNING, "lease-lapsed", node=node.node, shards=len(lapsed))
        state.ports.cancel_requests(lapsed)
    if node.lease_end_s > before.lease_end_s:
        state.renewed.set()
    if (
        node.holdings is not before.holdings
        or node.routes is not before.routes
        or node.members is not before.members
        or not lease.is_live(before, _now(state))
    ):
        state.ports.notify()


async def _announce(state: State) -> None:
    member = state.ports.describe_member()
    name = cell.name_node_row(member.node)
    value = cell.encode_row(member)
    while True:
        found = (await state.ports.table.read(name)).value_or(None)
        if found is not None and found.value == value:
            return
        if found is not None:
            await state.ports.table.commit({name: found.version}, {name: value})
        await _sleep(state, RETRY_INTERVAL_S)


async def _beat(state: State) -> None:
    refusals = 0
    while True:
        started = _now(state)
        state.beat = trio.Event()
        is_refused = await _beat_once(state)
        refusals = refusals + 1 if is_refused else 0
        # A new coordinator refuses until its standbys have consented, which takes a few
        # milliseconds; the next regular heartbeat would come after the lease has lapsed.
        period = FIRST_RETRY_INTERVAL_S * 2**refusals if is_refused else lease.HEARTBEAT_S
        await _wait_event(state, state.beat, started + min(period, lease.HEARTBEAT_S))


async def _beat_once(state: State) -> bool:
    """Send a heartbeat, and return whether it was refused."""
    node, beat = lease.begin_heartbeat(state.node, _now(state))
    _put_node(state, node)
    if node.coordinator == lease.NOBODY:
        state.search.set()
        return False
    reply: peer.AskResult = result.Failure(peer.PeerFailure.TIMEOUT)
    with state.beating:
        reply = await _ask(
            state, node.coordinator_address, _make_heartbeat(state), lease.HEARTBEAT_S
        )
    state.beating = trio.CancelScope()
    state.ports.observe_heartbeat(reply)
    renewal = reply.value_or(None)
    if not isinstance(renewal, message.Renewal):
        is_refused = isinstance(renewal, message.Refused)
        if isinstance(renewal, message.Refused) and renewal.term <= node.term:
            decision.record(
                log, logging.INFO, "heartbeat-refused", node=node.node, reason=renewal.reason
            )
        if _now(state) - state.renewed_at_s > lease.HEARTBEAT_S:
            state.search.set()
        return is_refused
    node, outcome = lease.apply_renewal(state.node, beat, renewal, _now(state))
    if outcome is lease.RenewalState.NEEDS_CONFIG:
        await _fetch_config(state, renewal.config_version)
        node, outcome = lease.apply_renewal(state.node, beat, renewal, _now(state))
    _put_node(state, node)
    if outcome is lease.RenewalState.APPLIED:
        state.renewed_at_s = _now(state)
        state.ports.install_quarantine(renewal.quarantine)
    return False


def _make_heartbeat(state: State) -> message.Heartbeat:
    ports = state.ports
    member = ports.describe_member()
    if state.is_leaving:
        member = msgspec.structs.replace(member, is_leaving=True)
    has_loads = _now(state) - state.loads_sent_s >= LOAD_REPORT_INTERVAL_S
    if has_loads:
        state.loads_sent_s = _now(state)
    return message.Heartbeat(
        member=member,
        term=state.node.term,
        routes_version=state.node.routes_version,
        members_version=state.node.members_version,
        config_version=state.node.config_version,
        is_live=lease.is_live(state.node, _now(state)),
        is_suspended=any(map(lease.is_suspended, state.node.holdings.values())),
        loads=ports.collect_loads() if has_loads else [],
        hot_keys=ports.collect_hot_keys() if has_loads else [],
        crashed=ports.collect_new_quarantine(),
    )


async def _fetch_config(state: State, version: identity.ConfigVersion) -> None:
    request = message.FetchConfig(version=version)
    reply = await _ask(state, state.node.coordinator_address, request, FETCH_TIMEOUT_S)
    found = reply.value_or(None)
    if isinstance(found, message.Config) and found.version == version:
        _adopt(state, version, found.body)
        return
    head = await _read_head(state)
    if head is not None and head.version >= version:
        await _fetch_body(state, head)


async def _read_head(state: State) -> Head | None:
    row = (await state.ports.table.read(HEAD_ROW)).value_or(None)
    if row is None or row.version == 0:
        return None
    decoded = decoding.decode(row.value, Head)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "head-unreadable", cause=decoded.failure())
        return None
    head: Head = decoded.unwrap()
    return head


async def _fetch_body(state: State, head: Head) -> None:
    body = (await state.ports.objects.get(head.digest)).value_or(None)
    if body is not None:
        _adopt(state, head.version, body)


def _adopt(state: State, version: identity.ConfigVersion, body: bytes) -> None:
    if version <= state.node.config_version:
        return
    state.ports.adopt_config(version, body)
    state.body = body
    _put_node(state, lease.adopt_config(state.node, version))
    decision.record(log, logging.INFO, "config-adopted", node=state.node.node, version=version)


async def _watch_lease(state: State) -> None:
    while True:
        state.renewed = trio.Event()
        if lease.is_live(state.node, _now(state)):
            await timer.wait_until(state.ports.timer, state.node.lease_end_s)
            continue
        _put_node(state, lease.lapse(state.node, _now(state)))
        await state.renewed.wait()


def _handle_follow(state: State, request: message.Follow) -> message.Message:
    if request.term < state.node.term:
        return _refuse(state, "lower term")
    own = state.ports.describe_member()
    if request.coordinator == own.node and (
        state.leadership is None or state.leadership.rules.row.term != request.term
    ):
        # The coordinator that stops has named this node its successor in the cell row.
        state.search.set()
        return message.Done()
    _follow(
        state,
        term=request.term,
        coordinator=request.coordinator,
        address=request.address,
        order=request.order,
    )
    state.beat.set()
    return message.Following(
        member=own,
        term=state.node.term,
        holdings=lease.list_holdings(state.node),
        config_version=state.node.config_version,
    )


def _follow(
    state: State,
    *,
    term: identity.Term,
    coordinator: identity.NodeId,
    address: identity.Address,
    order: int,
) -> None:
    if term > state.node.term:
        state.beating.cancel()
        for pending in state.releasing.values():
            pending.scope.cancel()
        state.released.clear()
        if state.leadership is not None and state.leadership.rules.row.term < term:
            _step_down(state, state.leadership, "higher term")
        decision.record(
            log, logging.INFO, "follow", node=state.node.node, term=term, to=coordinator
        )
    node = lease.follow(
        state.node,
        term=term,
        coordinator=coordinator,
        address=address,
        order=order,
        now=_now(state),
    )
    _put_node(state, node)


async def _handle_revoke(state: State, request: message.Revoke) -> message.Message:
    if not all(lease.accepts(state.node, request, shard) for shard in request.shards):
        return _refuse(state, "overtaken order")
    node, held = lease.begin_release(state.node, request, _now(state))
    _put_node(state, node)
    for shard in held:
        # Each shard alone, so that a long request of one does not hold up the others' memories.
        if shard in state.releasing:
            await state.releasing[shard].done.wait()
        else:
            await _release(state, shard)
    if any(shard in state.node.holdings for shard in request.shards):
        return _refuse(state, "release cancelled")
    kept = [state.released[shard] for shard in request.shards if shard in state.released]
    return message.Released(
        term=request.term,
        holdings=[holding for holding, _ in kept],
        memories=[memory for _, memories in kept for memory in memories],
    )


async def _release(state: State, shard: identity.ShardId) -> None:
    pending = PendingRelease(scope=trio.CancelScope(), done=trio.Event())
    state.releasing[shard] = pending
    try:
        with pending.scope:
            memories = await state.ports.release([shard])
            held = state.node.holdings[shard]
            if held.state is not lease.HoldingState.RELEASING:
                # A grant or a new coordinator came while the last request ended.
                state.ports.install(memories)
                return
            holding = message.Holding(shard=shard, fence=held.fence)
            state.released[shard] = (holding, memories)
            _put_node(state, lease.end_release(state.node, [shard]))
    finally:
        del state.releasing[shard]
        pending.done.set()


def _handle_grant(state: State, request: message.Grant) -> message.Message:
    before = state.node
    node, is_taken = lease.grant(before, request, _now(state))
    _put_node(state, node)
    if not is_taken:
        return _refuse(state, "overtaken order")
    memories = {memory.shard: memory for memory in request.memories}
    for holding in request.holdings:
        if holding.shard in state.releasing:
            state.releasing[holding.shard].scope.cancel()
        state.released.pop(holding.shard, None)
        _place_memory(state, before, holding, memories.get(holding.shard))
    return message.Granted(term=request.term)


def _place_memory(
    state: State, before: lease.Node, holding: message.Holding, memory: message.TokenMemory | None
) -> None:
    """Put the token memory of a granted shard in place.

    A shard that stays at this node keeps its memory; a key that is split off inherits the one of
    its partition, and the partition inherits the one of a key that goes back.
    """
    ports = state.ports
    held = before.holdings.get(holding.shard)
    is_kept = held is not None and held.fence == holding.fence
    is_raised = held is not None and held.state is lease.HoldingState.SERVING
    if memory is not None and not is_kept:
        ports.forget([holding.shard])
        ports.install([memory])
    elif held is not None and is_raised and not is_kept:
        ports.inherit(message.Holding(shard=holding.shard, fence=held.fence), holding)
    elif not is_kept:
        ports.forget([holding.shard])
        _inherit_partition(state, before, holding)
    for key in lease.list_merged_keys(before, holding):
        service = identity.split_shard(holding.shard)[0]
        shard = identity.name_key(service, key)
        if shard in before.holdings:
            source = message.Holding(shard=shard, fence=before.holdings[shard].fence)
            ports.inherit(source, holding)
            ports.forget([shard])


def _inherit_partition(state: State, before: lease.Node, holding: message.Holding) -> None:
    key = identity.split_shard(holding.shard)[2]
    if key is None:
        return
    parent = state.ports.find_parent(holding.shard)
    held = before.holdings.get(parent)
    is_serving = held is not None and held.state is lease.HoldingState.SERVING
    if held is not None and is_serving and key not in held.excluded:
        state.ports.inherit(message.Holding(shard=parent, fence=held.fence), holding)


def _handle_reroute(state: State, request: message.Rerouted) -> message.Message:
    if request.term != state.node.term:
        return _refuse(state, "other term")
    for route in request.routes:
        state.released.pop(route.shard, None)
    _put_node(state, lease.reroute(state.node, request.routes))
    return message.Done()


# Standby, search and claims


def _handle_consent(state: State, request: message.AskConsent) -> message.Message:
    standby = cell.give_consent(
        state.standby, seen=state.node.term, asked=request.term, now=_now(state)
    )
    if standby is None:
        return _refuse(state, "no consent")
    state.standby = standby
    state.consented.set()
    return message.Consent(term=request.term)


async def _watch_promise(state: State) -> None:
    """Claim the cell when the coordinator stops asking for consent."""
    while True:
        promised = state.standby.promised_until_s
        # One request was missed: read the row, so that a claim costs one round trip only.
        early = promised - lease.CONSENT_PERIOD_S
        if _now(state) < early:
            await timer.wait_until(state.ports.timer, early)
            continue
        state.consented = trio.Event()
        if promised > -math.inf and state.leadership is None and not state.is_leaving:
            row, version, read_at = await _read_cell(state)
            await timer.wait_until(state.ports.timer, promised)
            is_seated = row is not None and _make_seat(state) in row.standbys
            if is_seated and state.standby.promised_until_s == promised:
                await _claim(state, row, version, read_at, {})
        if state.standby.promised_until_s == promised:
            await state.consented.wait()


async def _read_cell(state: State) -> tuple[cell.CellRow | None, int, float]:
    """Return the cell row, its version (-1 if the store did not answer) and the time of asking."""
    read_at = _now(state)
    found = platform.Row()
    is_read = False
    with trio.move_on_after(STORE_TIMEOUT_S):
        reply = await state.ports.table.read(cell.name_cell_row(state.cell_id))
        is_read = isinstance(reply, result.Success)
        found = reply.value_or(found)
    if not is_read:
        return None, -1, read_at
    if found.version == 0:
        return None, 0, read_at
    return cell.decode_cell(found.value), found.version, _now(state)


async def _search(state: State) -> None:
    """Find the coordinator in the cell row when heartbeats fail."""
    pause_s = RETRY_INTERVAL_S
    while True:
        await state.search.wait()
        state.search = trio.Event()
        row, version, read_at = await _read_cell(state)
        if version >= 0:
            pause_s = RETRY_INTERVAL_S
            await _consider_row(state, row, version, read_at)
        else:
            pause_s = min(2 * pause_s, MAX_SEARCH_INTERVAL_S)
        await _sleep(state, pause_s)


async def _consider_row(
    state: State, row: cell.CellRow | None, version: int, read_at: float
) -> None:
    seat = _make_seat(state)
    if state.leadership is not None or state.is_leaving or state.standby.is_claiming:
        return
    if row is not None and row.term > state.node.term:
        if row.coordinator == seat:
            await _take_up(state, row, version, lease.compute_lease_end(_now(state)))
            return
        _follow(
            state,
            term=row.term,
            coordinator=row.coordinator.node,
            address=row.coordinator.address,
            order=0,
        )
        state.beat.set()
    since = max(state.renewed_at_s, state.standby.promised_until_s)
    if row is None:
        await _claim(state, row, version, read_at, {})
    elif row.coordinator == seat:
        if _now(state) - state.stepped_down_s > RECLAIM_DELAY_S:
            await _claim(state, row, version, read_at, {})
    elif _now(state) - since > CLAIM_DELAY_S:
        rows = (await state.ports.table.scan("node/")).value_or({})
        members = cell.read_members(rows)
        announced = {member.node: member.incarnation for member in members}
        await _claim(state, row, version, read_at, announced)


async def _claim(
    state: State,
    row: cell.CellRow | None,
    version: int,
    read_at: float,
    announced: dict[identity.NodeId, identity.Incarnation],
) -> None:
    seat = _make_seat(state)
    bound = cell.find_lease_bound(
        row,
        seat=seat,
        standby=state.standby,
        announced=announced,
        read_at_s=read_at,
        now=_now(state),
    )
    if bound is None or state.standby.is_claiming:
        return
    claimed = cell.claim(row, seat, state.node.term)
    state.standby = dataclasses.replace(state.standby, is_claiming=True)
    is_ours, version = await _write_cell(state, claimed, version)
    state.standby = dataclasses.replace(state.standby, is_claiming=False)
    if is_ours:
        await _take_up(state, claimed, version, bound)
    else:
        state.search.set()


async def _write_cell(state: State, row: cell.CellRow, version: int) -> tuple[bool, int]:
    """Write the cell row until the outcome is known; return whether it is in force."""
    name = cell.name_cell_row(state.cell_id)
    value = cell.encode_row(row)
    while True:
        outcome = platform.CommitState.UNKNOWN
        with trio.move_on_after(STORE_TIMEOUT_S):
            outcome = await state.ports.table.commit({name: version}, {name: value})
        if outcome is platform.CommitState.COMMITTED:
            return True, version + 1
        found, found_version, _ = await _read_cell(state)
        if found == row:
            return True, found_version
        if found_version >= 0 and found_version != version:
            return False, found_version
        # Not applied yet, but it may still be. Writing the same again settles it.
        await _sleep(state, RETRY_INTERVAL_S)


async def _take_up(state: State, row: cell.CellRow, version: int, bound: float) -> None:
    member = state.ports.describe_member()
    seat = _make_seat(state)
    _follow(state, term=row.term, coordinator=seat.node, address=seat.address, order=0)
    rules = cell.open_coordinator(
        row,
        cell=state.cell_id,
        seat=seat,
        zone=member.zone,
        version=version,
        unknown_until_s=bound,
        now=_now(state),
    )
    decision.record(log, logging.WARNING, "claimed", node=seat.node, term=row.term)
    if state.nursery is not None:
        await state.nursery.start(_coordinate, state, rules)


# The coordinator


async def _coordinate(
    state: State,
    rules: cell.Coordinator,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    async with trio.open_nursery() as nursery:
        duty = Leadership(rules=rules, scope=nursery.cancel_scope, nursery=nursery)
        state.leadership = duty
        task_status.started()
        nursery.start_soon(_ask_consents, state, duty)
        await _load(state, duty)
        nursery.start_soon(_poll_head, state, duty)
        nursery.start_soon(_lead, state, duty)
        nursery.start_soon(_commit_moves, state, duty)
        state.beat.set()


def _step_down(state: State, duty: Leadership, reason: str) -> None:
    if state.leadership is not duty:
        return
    decision.record(
        log,
        logging.WARNING,
        "stepped-down",
        node=state.node.node,
        term=duty.rules.row.term,
        reason=reason,
    )
    state.leadership = None
    state.stepped_down_s = _now(state)
    duty.scope.cancel()
    state.search.set()


async def _load(state: State, duty: Leadership) -> None:
    table = state.ports.table
    rows: dict[str, platform.Row] = {}
    nodes: dict[str, platform.Row] = {}

    async def scan(prefix: str, into: dict[str, platform.Row]) -> None:
        while True:
            found = (await table.scan(prefix)).value_or(None)
            if found is not None:
                into.update(found)
                return
            await _sleep(state, RETRY_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(scan, "page/", rows)
        nursery.start_soon(scan, "hot/", rows)
        nursery.start_soon(scan, "node/", nodes)
    found = {name: (row.value, row.version) for name, row in rows.items()}
    rules = cell.load_rows(duty.rules, found, _find_wait(state))
    duty.rules = dataclasses.replace(rules, config_version=state.node.config_version)
    duty.is_loaded = True
    duty.wanted = duty.rules.row.standbys
    members = cell.read_members(nodes)
    addresses = {member.node: member.peer_address for member in members}
    addresses |= {node: member.peer_address for node, member in state.node.members.items()}
    for node, address in addresses.items():
        if node != state.node.node:
            _start_collect(state, duty, node, address)


def _wake(duty: Leadership) -> None:
    duty.wake.set()
    duty.changed.set()
    duty.changed = trio.Event()


def _next_order(duty: Leadership) -> int:
    duty.order += 1
    return duty.order


def _handle_heartbeat(state: State, beat: message.Heartbeat) -> message.Message:
    duty = state.leadership
    if duty is None or not duty.is_loaded:
        return _refuse(state, "not coordinator")
    _expire(state, duty)
    duty.rules, answer = cell.handle_heartbeat(duty.rules, beat, _now(state))
    duty.config_versions[beat.member.node] = beat.config_version
    if duty.is_closing:
        return _refuse(state, "handing over")
    if answer is cell.HeartbeatAnswer.RENEW:
        return _renew(state, duty, beat)
    if answer is cell.HeartbeatAnswer.COLLECT:
        _start_collect(state, duty, beat.member.node, beat.member.peer_address)
    elif answer is cell.HeartbeatAnswer.SUPERSEDED:
        _step_down(state, duty, "higher term")
    elif answer is cell.HeartbeatAnswer.BEHIND_CONFIG:
        duty.poll.set()
    return _refuse(state, answer.value)


def _renew(state: State, duty: Leadership, beat: message.Heartbeat) -> message.Message:
    now = _now(state)
    for entry in beat.crashed:
        until = now + entry.remaining_s
        known = duty.quarantine.get(entry.fingerprint, -math.inf)
        duty.quarantine[entry.fingerprint] = max(until, known)
    duty.quarantine = {print_: until for print_, until in duty.quarantine.items() if until > now}
    if (duty.rules.members_version, duty.rules.config_version) != duty.planned_for[:2]:
        _wake(duty)
    entries = [
        message.Quarantined(fingerprint=print_, remaining_s=until - now)
        for print_, until in duty.quarantine.items()
    ]
    return cell.build_renewal(duty.rules, beat, entries)


def _start_collect(
    state: State, duty: Leadership, node: identity.NodeId, address: identity.Address
) -> None:
    if node not in duty.collecting:
        duty.collecting.add(node)
        duty.nursery.start_soon(_collect, state, duty, node, address)


async def _collect(
    state: State, duty: Leadership, node: identity.NodeId, address: identity.Address
) -> None:
    own = _make_seat(state)
    request = message.Follow(
        term=duty.rules.row.term,
        coordinator=own.node,
        address=own.address,
        order=_next_order(duty),
    )
    reply = (await _ask(state, address, request, ASK_TIMEOUT_S)).value_or(None)
    duty.collecting.discard(node)
    if isinstance(reply, message.Following) and reply.term == request.term:
        if reply.member.node in duty.rules.leases:
            return
        duty.rules = cell.record_holdings(duty.rules, reply, state.ports.find_parent, _now(state))
        decision.record(
            log,
            logging.INFO,
            "member",
            node=reply.member.node,
            holdings=len(reply.holdings),
            term=request.term,
        )
        if reply.config_version > duty.rules.config_version:
            duty.poll.set()
        _wake(duty)
    elif isinstance(reply, message.Refused) and reply.term > request.term:
        _step_down(state, duty, "higher term")


def _expire(state: State, duty: Leadership) -> None:
    duty.rules, lost = cell.expire(duty.rules, _find_wait(state), _now(state))
    if lost:
        _drop_memories(duty)
        decision.record(log, logging.WARNING, "leases-expired", nodes=",".join(lost))
        _wake(duty)


def _drop_memories(duty: Leadership) -> None:
    """Drop memories of shards that somebody has held since and used tokens that they lack."""
    assigned = duty.rules.assignments
    duty.memories = {
        shard: memory
        for shard, memory in duty.memories.items()
        if shard in assigned and assigned[shard].is_ready
    }


async def _ask_consents(state: State, duty: Leadership) -> None:
    subscription = timer.subscribe(state.ports.timer, period_s=lease.CONSENT_PERIOD_S)
    while True:
        if cell.should_step_down(duty.rules, _now(state)):
            _step_down(state, duty, "nodes silent")
            return
        if duty.is_loaded:
            duty.wanted = cell.choose_standbys(duty.rules, _now(state))
        asked = {seat.node: seat for seat in [*cell.list_required(duty.rules), *duty.wanted]}
        for seat in asked.values():
            duty.nursery.start_soon(_ask_consent, state, duty, seat)
        await timer.tick(state.ports.timer, subscription)


async def _ask_consent(state: State, duty: Leadership, seat: cell.NodeInstance) -> None:
    request = message.AskConsent(
        term=duty.rules.row.term,
        coordinator=duty.rules.seat.node,
        incarnation=duty.rules.seat.incarnation,
    )
    until = _now(state) + lease.CONSENT_PERIOD_S
    retry_s = FIRST_RETRY_INTERVAL_S
    while True:
        sent_at = _now(state)
        reply = (await _ask(state, seat.address, request, ASK_TIMEOUT_S)).value_or(None)
        retry_s *= 2
        # A standby that lost the race for the claim refuses until it has read the row back.
        is_refused = isinstance(reply, message.Refused) and reply.term <= request.term
        if not is_refused or _now(state) + retry_s >= until:
            break
        await _sleep(state, retry_s)
    if isinstance(reply, message.Consent) and reply.term == request.term:
        duty.rules = cell.record_consent(duty.rules, seat.node, sent_at)
        await _replace_standbys(state, duty)
    elif isinstance(reply, message.Refused) and reply.term > request.term:
        _step_down(state, duty, "higher term")
    else:
        await _replace_standbys(state, duty)


async def _replace_standbys(state: State, duty: Leadership) -> None:
    """Write the wanted standbys to the cell row once all of them have consented."""
    wanted = duty.wanted
    is_same = {seat.node: seat for seat in wanted} == {
        seat.node: seat for seat in duty.rules.row.standbys
    }
    has_consent = lease.may_renew(duty.rules.consents, [seat.node for seat in wanted], _now(state))
    if is_same or not has_consent or not duty.is_loaded or duty.is_closing:
        return
    if duty.store_lock.locked():
        return
    async with duty.store_lock:
        duty.rules, row = cell.propose_standbys(duty.rules, wanted)
        version = duty.rules.versions[cell.name_cell_row(state.cell_id)]
        is_ours, version = await _write_cell(state, row, version)
        if not is_ours:
            _step_down(state, duty, "cell row changed")
            return
        duty.rules = cell.record_cell_row(duty.rules, row, version)
        names = ",".join(seat.node for seat in row.standbys)
        decision.record(log, logging.WARNING, "standbys", term=row.term, standbys=names)
    # Nodes that waited for consent need not wait for their next heartbeat here.
    state.beat.set()
    _wake(duty)


async def _poll_head(state: State, duty: Leadership) -> None:
    while True:
        due = _now(state) + HEAD_POLL_INTERVAL_S
        duty.poll = trio.Event()
        row, version, asked_at = await _read_cell(state)
        if version >= 0:
            if row is None or row.term != duty.rules.row.term:
                _step_down(state, duty, "cell row changed")
                return
            if _now(state) - asked_at < SLOW_STORE_S:
                duty.store_checked_s = _now(state)
        head = await _read_head(state)
        if head is not None and head.version > state.node.config_version:
            await _fetch_body(state, head)
        if state.node.config_version > duty.rules.config_version:
            duty.rules = dataclasses.replace(duty.rules, config_version=state.node.config_version)
            _wake(duty)
        await _wait_event(state, duty.poll, due)


async def _lead(state: State, duty: Leadership) -> None:
    """Plan, revoke and grant whenever something has changed."""
    while True:
        duty.wake = trio.Event()
        _expire(state, duty)
        _plan(state, duty)
        actions = cell.list_actions(duty.rules, _now(state))
        for node, shard in actions.revokes:
            if (node, shard) not in duty.revoking:
                duty.revoking.add((node, shard))
                duty.nursery.start_soon(_revoke, state, duty, node, shard)
        for node, holdings in actions.grants.items():
            if node not in duty.granting:
                duty.granting.add(node)
                duty.rules = cell.record_grant_sent(duty.rules, node, holdings)
                duty.nursery.start_soon(_grant, state, duty, node, holdings)
        duty.commit.set()
        await _wait_event(state, duty.wake, _find_next(state, duty))


def _find_next(state: State, duty: Leadership) -> float:
    now = _now(state)
    times = [known.end_s for known in duty.rules.leases.values()]
    times += [entry.free_at_s for entry in duty.rules.assignments.values()]
    times += [duty.rules.unknown_until_s, now + PLAN_INTERVAL_S]
    return min(at for at in times if at > now)


def _summarise(duty: Leadership, now: float) -> tuple[int, int, int]:
    """Return what calls for a new plan at once when it changes."""
    rules = duty.rules
    orphans = sum(
        not entry.holders and entry.target is None and now >= entry.free_at_s
        for entry in rules.assignments.values()
    )
    return rules.members_version, rules.config_version, orphans


def _plan(state: State, duty: Leadership) -> None:
    now = _now(state)
    if now < duty.rules.unknown_until_s:
        return
    summary = _summarise(duty, now)
    if summary == duty.planned_for and now - duty.planned_s < PLAN_INTERVAL_S:
        return
    duty.planned_for, duty.planned_s = summary, now
    shards = state.ports.list_shards()
    duty.rules = cell.add_unassigned(duty.rules, shards)
    if now < duty.rules.since_s + DISCOVERY_S and _is_unassigned(duty):
        return
    view = cell.build_view(duty.rules, shards, now)
    if not view.members or not view.owners:
        return
    plan = state.ports.place(view)
    if now - duty.store_checked_s > 2 * HEAD_POLL_INTERVAL_S:
        orphaned = [move for move in plan.moves if view.owners.get(move.shard) is None]
        plan = assignment.Plan(split=[], merge=[], moves=orphaned)
    duty.rules = cell.apply_plan(duty.rules, plan, state.ports.find_parent, now)


def _is_unassigned(duty: Leadership) -> bool:
    return all(entry.fence == 0 for entry in duty.rules.assignments.values())


async def _revoke(
    state: State, duty: Leadership, node: identity.NodeId, shard: identity.ShardId
) -> None:
    known = duty.rules.leases.get(node)
    reply: message.Message | None = None
    if known is not None:
        request = message.Revoke(
            term=duty.rules.row.term,
            shards=[shard],
            to=known.member.incarnation,
            order=_next_order(duty),
        )
        address = known.member.peer_address
        reply = (await _ask(state, address, request, RELEASE_TIMEOUT_S)).value_or(None)
    if isinstance(reply, message.Released):
        memories = {memory.shard: memory for memory in reply.memories}
        was_held = any(holding.shard == shard for holding in reply.holdings)
        if was_held:
            duty.memories.pop(shard, None)
        duty.memories.update(memories)
        has_memory = not was_held or shard in memories
        duty.rules = cell.record_release(duty.rules, node, shard, has_memory=has_memory)
        _drop_memories(duty)
    else:
        await _sleep(state, RETRY_INTERVAL_S)
    duty.revoking.discard((node, shard))
    _wake(duty)


async def _grant(
    state: State, duty: Leadership, node: identity.NodeId, holdings: list[message.Holding]
) -> None:
    known = duty.rules.leases.get(node)
    reply: message.Message | None = None
    if known is not None:
        request = message.Grant(
            term=duty.rules.row.term,
            holdings=holdings,
            memories=[
                duty.memories[holding.shard]
                for holding in holdings
                if holding.shard in duty.memories
            ],
            to=known.member.incarnation,
            order=_next_order(duty),
        )
        reply = (await _ask(state, known.member.peer_address, request, ASK_TIMEOUT_S)).value_or(
            None
        )
    if isinstance(reply, message.Granted):
        duty.rules = cell.record_grant_accepted(duty.rules, node, holdings)
        for holding in holdings:
            duty.memories.pop(holding.shard, None)
    else:
        await _sleep(state, RETRY_INTERVAL_S)
    duty.granting.discard(node)
    _wake(duty)


async def _commit_moves(state: State, duty: Leadership) -> None:
    while True:
        await duty.commit.wait()
        duty.commit = trio.Event()
        async with duty.store_lock:
            transaction = cell.build_transaction(duty.rules, _now(state))
            if transaction is not None and not duty.is_closing:
                await _commit(state, duty, transaction)


async def _commit(state: State, duty: Leadership, transaction: cell.Transaction) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_undo_late, state, duty)
        outcome = platform.CommitState.UNKNOWN
        with trio.move_on_after(STORE_TIMEOUT_S):
            outcome = await state.ports.table.commit(transaction.expected, transaction.writes)
        is_ours = outcome is platform.CommitState.COMMITTED
        if is_ours:
            duty.rules = cell.record_commit(duty.rules, transaction)
        else:
            is_ours = await _read_back(state, duty, transaction)
        nursery.cancel_scope.cancel()
    if is_ours:
        duty.rules = cell.apply_changes(duty.rules, transaction.changes)
        _log_changes(state, duty, transaction.changes)
        _send_routes(state, duty, transaction.changes)
    _wake(duty)


async def _undo_late(state: State, duty: Leadership) -> None:
    """Give shards back to their owners while a commit is late; it may still take effect.

    This includes shards that are being released for the next commit.
    """
    await _sleep(state, LATE_COMMIT_S)
    planned = [
        shard
        for shard, entry in duty.rules.assignments.items()
        if entry.target is not None and entry.is_ready and entry.owner in duty.rules.leases
    ]
    duty.rules = cell.cancel_moves(duty.rules, planned)
    decision.record(log, logging.WARNING, "commit-late", shards=len(planned))
    duty.store_checked_s = -math.inf
    _wake(duty)


async def _read_back(state: State, duty: Leadership, transaction: cell.Transaction) -> bool:
    """Read the rows of a write whose outcome is not known, and return whether it took effect."""
    while True:
        rows: dict[str, platform.Row] = {}
        for name in transaction.expected:
            found = (await state.ports.table.read(name)).value_or(None)
            if found is None:
                break
            rows[name] = found
        else:
            break
        await _sleep(state, RETRY_INTERVAL_S)
    cell_row = rows.pop(cell.name_cell_row(state.cell_id))
    row = cell.decode_cell(cell_row.value) if cell_row.version else None
    if row != duty.rules.row:
        _step_down(state, duty, "cell row changed")
        return False
    duty.rules = cell.record_cell_row(duty.rules, duty.rules.row, cell_row.version)
    is_ours = all(rows[name].value == value for name, value in transaction.writes.items())
    found_rows = {name: (found.value, found.version) for name, found in rows.items()}
    if is_ours:
        versions = {name: found.version for name, found in rows.items()}
        duty.rules = dataclasses.replace(duty.rules, versions={**duty.rules.versions, **versions})
    else:
        duty.rules = cell.load_rows(duty.rules, found_rows, _find_wait(state))
        decision.record(
            log,
            logging.WARNING,
            "commit-not-applied",
            term=duty.rules.row.term,
            rows=",".join(rows),
            outcome="read-back",
        )
    return is_ours


def _log_changes(state: State, duty: Leadership, changes: list[cell.Change]) -> None:
    for change in changes:
        duty.last_moves[change.shard] = (_now(state), change.reason.value)
        state.ports.observe_move(identity.split_shard(change.shard)[0], change.reason)
        decision.record(
            log,
            logging.INFO,
            "assigned",
            shard=change.shard,
            source=change.before or "-",
            to=change.owner,
            fence=change.fence,
            term=duty.rules.row.term,
            reason=change.reason.value,
        )


def _send_routes(state: State, duty: Leadership, changes: list[cell.Change]) -> None:
    """Tell former owners where their shards went, so that they can pass requests on at once."""
    routes: dict[identity.NodeId, list[message.Route]] = {}
    for change in changes:
        if change.before != change.owner and change.before in duty.rules.leases:
            route = message.Route(shard=change.shard, owner=change.owner, fence=change.fence)
            routes.setdefault(change.before, []).append(route)
    for node, changed in routes.items():
        request = message.Rerouted(term=duty.rules.row.term, routes=changed)
        address = duty.rules.leases[node].member.peer_address
        duty.nursery.start_soon(_ask, state, address, request, ASK_TIMEOUT_S)


async def _handle_leave(state: State, request: message.Leave) -> message.Message:
    duty = state.leadership
    if duty is None or not duty.is_loaded:
        return _refuse(state, "not coordinator")
    known = duty.rules.leases.get(request.node)
    if known is None or known.member.incarnation != request.incarnation:
        return message.Done()
    now = _now(state)
    others = [node for node in duty.rules.leases if node != request.node]
    if not any(cell.is_member(duty.rules, node, now) for node in others):
        return _refuse(state, NO_OTHER_MEMBER)
    member = msgspec.structs.replace(known.member, is_leaving=True)
    leases = {**duty.rules.leases, request.node: dataclasses.replace(known, member=member)}
    duty.rules = dataclasses.replace(
        duty.rules, leases=leases, members_version=duty.rules.members_version + 1
    )
    _wake(duty)
    until = now + LEAVE_TIMEOUT_S
    while not cell.is_drained(duty.rules, request.node):
        if _now(state) >= until or state.leadership is not duty:
            return _refuse(state, "still holding shards")
        await _wait_event(state, duty.changed, until)
    return message.Done()


async def _hand_over(state: State, duty: Leadership) -> None:
    """Name a standby as coordinator, so that the cell need not wait for the end of consents."""
    now = _now(state)
    ready = [
        seat
        for seat in duty.rules.row.standbys
        if now < duty.rules.consents.get(seat.node, -math.inf)
    ]
    if not ready:
        return
    duty.is_closing = True
    async with duty.store_lock:
        row = cell.hand_over(duty.rules.row, ready[0])
        version = duty.rules.versions[cell.name_cell_row(state.cell_id)]
        is_written, _ = await _write_cell(state, row, version)
    if is_written:
        request = message.Follow(
            term=row.term, coordinator=ready[0].node, address=ready[0].address, order=0
        )
        await _ask(state, ready[0].address, request, ASK_TIMEOUT_S)
    _step_down(state, duty, "handed over")
