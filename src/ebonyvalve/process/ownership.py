"""Shard ownership of a node: lease renewal, claims of the cell, and the coordinator's tasks.

A node claims the cell by writing a cell row with a higher term that names it as coordinator.
The decisions are pure functions in ``lease`` and ``cell``; this module calls them with messages of
peers, rows of the table and the time, and sends what they return.

Used by ``process.daemon``; ``platform.daemon`` uses ``process.keyspace``.
"""

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
# Time limit of a release, which waits for the requests in flight; their default deadline is 400 ms.
# After it, the revoke is sent again.
RELEASE_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 2.0
STORE_TIMEOUT_S = 5.0
# No planned move starts while reads of the store take longer than this, because the shard would
# have no owner until the store has answered the commit.
SLOW_STORE_S = 0.1
# After this time without a reply to a commit, the shards of planned moves return to their owners.
LATE_COMMIT_S = 0.25
# A node that is not a standby tries to claim the cell after this time without a coordinator.
CLAIM_DELAY_S = 1.5
# A coordinator that has stepped down leaves the cell to its standbys for this time.
RECLAIM_DELAY_S = 1.0
RETRY_INTERVAL_S = 0.1
# A cell that has never assigned a shard waits this long for its nodes to join; otherwise the first
# node would get every shard.
DISCOVERY_S = 1.0
# Longest pause between reads of the cell row while the store does not answer. A store that has just
# recovered handles 2000 reads/s; 780 nodes reading 10 times a second would send 7800.
MAX_SEARCH_INTERVAL_S = 1.0
FIRST_RETRY_INTERVAL_S = 0.005
# Loads are not sent with every heartbeat: those of about 40 shards exceed the rest of it.
LOAD_REPORT_INTERVAL_S = 1.0
NO_OTHER_MEMBER = "no other member"
LEAVE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceTraits:
    """Properties of a service on which ownership depends."""

    checks_fence: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """Functions of the rest of the node that ownership calls.

    ``release`` returns the token memories of shards once none of their requests is in flight, and
    drops them; if it is cancelled, the memories stay. ``install`` stores memories that came with a
    grant. ``inherit`` adds the used tokens and epochs of a holding, with its own epoch, to the
    memory of another holding at this node. ``forget`` drops the memories of shards.
    ``cancel_requests`` cancels running requests and keeps the memories. ``notify`` is called
    whenever the node's view of ownership or members has changed.
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
    """The fields of the row ``config/head`` that ownership reads."""

    version: identity.ConfigVersion
    digest: str


@dataclasses.dataclass(kw_only=True)
class PendingRelease:
    """The release of a shard that waits for its requests in flight."""

    scope: trio.CancelScope
    done: trio.Event


@dataclasses.dataclass(kw_only=True)
class Leadership:
    """State of the coordinator's tasks, from the claim until it steps down."""

    # The state of the coordinator; the functions of ``cell`` return its replacement.
    rules: cell.Coordinator
    scope: trio.CancelScope
    nursery: trio.Nursery
    is_loaded: bool = False
    # The node is stopping and hands its role over; it renews no more leases.
    is_handing_over: bool = False
    last_sequence: int = 0
    # Token memories of released shards that are not granted yet.
    memories: dict[identity.ShardId, message.TokenMemory] = dataclasses.field(default_factory=dict)
    collecting: set[identity.NodeId] = dataclasses.field(default_factory=set)
    revoking: set[tuple[identity.NodeId, identity.ShardId]] = dataclasses.field(default_factory=set)
    granting: set[identity.NodeId] = dataclasses.field(default_factory=set)
    wanted_standbys: list[cell.NodeInstance] = dataclasses.field(default_factory=list)
    quarantine: dict[identity.Fingerprint, float] = dataclasses.field(default_factory=dict)
    # Shown to operators: the configuration of each node, and when and why each shard moved last.
    config_versions: dict[identity.NodeId, identity.ConfigVersion] = dataclasses.field(
        default_factory=dict
    )
    last_moves: dict[identity.ShardId, tuple[float, str]] = dataclasses.field(default_factory=dict)
    store_lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    store_responsive_at_s: float = -math.inf
    planned_at_s: float = -math.inf
    # Summary of the inputs of the last plan: members version, configuration version and number of
    # orphans.
    planned_for: tuple[int, int, int] = (-1, -1, -1)
    plan_due: trio.Event = dataclasses.field(default_factory=trio.Event)
    commit_due: trio.Event = dataclasses.field(default_factory=trio.Event)
    poll_due: trio.Event = dataclasses.field(default_factory=trio.Event)
    # Set and replaced on every change, for tasks that wait for a condition.
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(kw_only=True)
class State:
    """Ownership state of one node, which lives as long as the process."""

    cell_id: identity.CellId
    ports: Ports
    node: lease.Node
    # When the last renewal was applied, or when the node started if there was none.
    renewed_at_s: float
    standby: cell.Standby = dataclasses.field(default_factory=cell.Standby)
    leadership: Leadership | None = None
    nursery: trio.Nursery | None = None
    is_leaving: bool = False
    config_body: bytes = b""
    stepped_down_at_s: float = -math.inf
    loads_sent_at_s: float = -math.inf
    releasing: dict[identity.ShardId, PendingRelease] = dataclasses.field(default_factory=dict)
    # Answers to Revoke, kept in case a reply was lost. A repeated Revoke must not be answered as if
    # the shard had never been held, or an empty token memory would replace the shard's.
    released: dict[identity.ShardId, tuple[message.Holding, list[message.TokenMemory]]] = (
        dataclasses.field(default_factory=dict)
    )
    # The heartbeat that awaits a reply. It is cancelled when the node follows another coordinator,
    # so that the first heartbeat to the new one doesn't wait for a coordinator that was lost.
    heartbeat_scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    heartbeat_due: trio.Event = dataclasses.field(default_factory=trio.Event)
    search_due: trio.Event = dataclasses.field(default_factory=trio.Event)
    renewed: trio.Event = dataclasses.field(default_factory=trio.Event)
    consented: trio.Event = dataclasses.field(default_factory=trio.Event)


def open_state(cell_id: identity.CellId, ports: Ports) -> State:
    """Return the state of a node that has just started.

    :param cell_id: the cell that the node belongs to.
    :param ports: functions of the rest of the node.
    """
    member = ports.describe_member()
    node = lease.Node(node=member.node, incarnation=member.incarnation)
    now = timer.now(ports.timer)
    return State(cell_id=cell_id, ports=ports, node=node, renewed_at_s=now)


async def run(state: State) -> None:
    """Run the node's heartbeats, and the tasks of a standby or coordinator, until cancelled.

    :param state: from :func:`open_state`.
    """
    async with trio.open_nursery() as nursery:
        state.nursery = nursery
        nursery.start_soon(_announce, state)
        nursery.start_soon(_send_heartbeats, state)
        nursery.start_soon(_watch_lease, state)
        nursery.start_soon(_claim_when_promise_ends, state)
        nursery.start_soon(_search, state)


async def leave(state: State) -> bool:
    """Move the node's shards and its role to others, and return whether that succeeded in time.

    :param state: the node; :func:`run` must be running.
    """
    state.is_leaving = True
    state.heartbeat_due.set()
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
    """Handle a control message of a peer and return the reply.

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
                return message.Config(version=request.version, body=state.config_body)
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
    """Wait for an event or until a time, whichever comes first."""
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


def _make_find_grace(state: State) -> cell.FindGrace:
    def find_grace(service: identity.ServiceId) -> float:
        """Return the grace period of a service in seconds.

        It is 0 if the service's targets check fencing tokens and so refuse the requests of a lost
        owner, otherwise the deadline of its requests.
        """
        traits = state.ports.describe_service(service)
        return 0.0 if traits.checks_fence else traits.deadline_s

    return find_grace


def _make_instance(state: State) -> cell.NodeInstance:
    return cell.make_instance(state.ports.describe_member())


# The node


def _put_node(state: State, node: lease.Node) -> None:
    """Replace the node's state, and cancel the requests of shards that this suspends."""
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


async def _send_heartbeats(state: State) -> None:
    refusals = 0
    while True:
        started = _now(state)
        state.heartbeat_due = trio.Event()
        is_refused = await _send_heartbeat(state)
        refusals = refusals + 1 if is_refused else 0
        # A new coordinator refuses heartbeats until its standbys have consented, which takes a few
        # milliseconds. Waiting for the next regular heartbeat would let the lease lapse.
        period = FIRST_RETRY_INTERVAL_S * 2**refusals if is_refused else lease.HEARTBEAT_S
        await _wait_event(state, state.heartbeat_due, started + min(period, lease.HEARTBEAT_S))


async def _send_heartbeat(state: State) -> bool:
    """Send one heartbeat, apply its reply, and return whether it was refused."""
    node, pending = lease.begin_heartbeat(state.node, _now(state))
    _put_node(state, node)
    if node.coordinator == lease.NOBODY:
        state.search_due.set()
        return False
    reply: peer.AskResult = result.Failure(peer.PeerFailure.TIMEOUT)
    with state.heartbeat_scope:
        reply = await _ask(
            state, node.coordinator_address, _make_heartbeat(state), lease.HEARTBEAT_S
        )
    state.heartbeat_scope = trio.CancelScope()
    state.ports.observe_heartbeat(reply)
    renewal = reply.value_or(None)
    if not isinstance(renewal, message.Renewal):
        is_refused = isinstance(renewal, message.Refused)
        if isinstance(renewal, message.Refused) and renewal.term <= node.term:
            decision.record(
                log, logging.INFO, "heartbeat-refused", node=node.node, reason=renewal.reason
            )
        if _now(state) - state.renewed_at_s > lease.HEARTBEAT_S:
            state.search_due.set()
        return is_refused
    node, outcome = lease.apply_renewal(state.node, pending, renewal, _now(state))
    if outcome is lease.RenewalState.NEEDS_CONFIG:
        await _fetch_config(state, renewal.config_version)
        node, outcome = lease.apply_renewal(state.node, pending, renewal, _now(state))
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
    has_loads = _now(state) - state.loads_sent_at_s >= LOAD_REPORT_INTERVAL_S
    if has_loads:
        state.loads_sent_at_s = _now(state)
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
        new_quarantine=ports.collect_new_quarantine(),
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
    state.config_body = body
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
    member = state.ports.describe_member()
    if request.coordinator == member.node and (
        state.leadership is None or state.leadership.rules.row.term != request.term
    ):
        # A coordinator that is stopping has named this node as its successor in the cell row.
        state.search_due.set()
        return message.Done()
    _follow(
        state,
        term=request.term,
        coordinator=request.coordinator,
        address=request.address,
        sequence=request.sequence,
    )
    state.heartbeat_due.set()
    return message.Following(
        member=member,
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
    sequence: int,
) -> None:
    if term > state.node.term:
        state.heartbeat_scope.cancel()
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
        sequence=sequence,
        now=_now(state),
    )
    _put_node(state, node)


async def _handle_revoke(state: State, request: message.Revoke) -> message.Message:
    if not all(lease.accepts(state.node, request, shard) for shard in request.shards):
        return _refuse(state, "overtaken order")
    node, held = lease.begin_release(state.node, request, _now(state))
    _put_node(state, node)
    for shard in held:
        # Shards are released one by one, so that a long request of one doesn't delay the others.
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
                # A grant or a new coordinator has ended the release; the shard keeps its memories.
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
    node, is_accepted = lease.grant(before, request, _now(state))
    _put_node(state, node)
    if not is_accepted:
        return _refuse(state, "overtaken order")
    memories = {memory.shard: memory for memory in request.memories}
    for holding in request.holdings:
        if holding.shard in state.releasing:
            state.releasing[holding.shard].scope.cancel()
        state.released.pop(holding.shard, None)
        _update_memory(state, before, holding, memories.get(holding.shard))
    return message.Granted(term=request.term)


def _update_memory(
    state: State, before: lease.Node, holding: message.Holding, memory: message.TokenMemory | None
) -> None:
    """Set up the token memory of a granted shard.

    A shard that stays at this node keeps its memory. A key that is split off takes its part of its
    partition's memory, and a partition takes over the memory of a key that is merged back.
    """
    ports = state.ports
    held = before.holdings.get(holding.shard)
    is_kept = held is not None and held.fence == holding.fence
    is_serving = held is not None and held.state is lease.HoldingState.SERVING
    if memory is not None and not is_kept:
        ports.forget([holding.shard])
        ports.install([memory])
    elif held is not None and is_serving and not is_kept:
        ports.inherit(message.Holding(shard=holding.shard, fence=held.fence), holding)
    elif not is_kept:
        ports.forget([holding.shard])
        _inherit_from_partition(state, before, holding)
    for key in lease.list_merged_keys(before, holding):
        service = identity.split_shard(holding.shard)[0]
        shard = identity.name_key(service, key)
        if shard in before.holdings:
            source = message.Holding(shard=shard, fence=before.holdings[shard].fence)
            ports.inherit(source, holding)
            ports.forget([shard])


def _inherit_from_partition(state: State, before: lease.Node, holding: message.Holding) -> None:
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
        state.standby, followed_term=state.node.term, requested_term=request.term, now=_now(state)
    )
    if standby is None:
        return _refuse(state, "no consent")
    state.standby = standby
    state.consented.set()
    return message.Consent(term=request.term)


async def _claim_when_promise_ends(state: State) -> None:
    """Claim the cell as a standby when the coordinator stops asking for consent."""
    while True:
        promised = state.standby.promised_until_s
        # One request for consent is overdue. If the row is read now, a claim takes one round trip.
        early = promised - lease.CONSENT_PERIOD_S
        if _now(state) < early:
            await timer.wait_until(state.ports.timer, early)
            continue
        state.consented = trio.Event()
        if promised > -math.inf and state.leadership is None and not state.is_leaving:
            row, version, read_at = await _read_cell(state)
            await timer.wait_until(state.ports.timer, promised)
            is_standby = row is not None and _make_instance(state) in row.standbys
            if is_standby and state.standby.promised_until_s == promised:
                await _claim(state, row, version, read_at, {})
        if state.standby.promised_until_s == promised:
            await state.consented.wait()


async def _read_cell(state: State) -> tuple[cell.CellRow | None, int, float]:
    """Return the cell row, its version (-1 if the store did not answer) and the time of reading."""
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
    """Look up the coordinator in the cell row whenever heartbeats fail."""
    pause_s = RETRY_INTERVAL_S
    while True:
        await state.search_due.wait()
        state.search_due = trio.Event()
        row, version, read_at = await _read_cell(state)
        if version >= 0:
            pause_s = RETRY_INTERVAL_S
            await _follow_or_claim(state, row, version, read_at)
        else:
            pause_s = min(2 * pause_s, MAX_SEARCH_INTERVAL_S)
        await _sleep(state, pause_s)


async def _follow_or_claim(
    state: State, row: cell.CellRow | None, version: int, read_at: float
) -> None:
    instance = _make_instance(state)
    if state.leadership is not None or state.is_leaving or state.standby.is_claiming:
        return
    if row is not None and row.term > state.node.term:
        if row.coordinator == instance:
            await _become_coordinator(state, row, version, lease.compute_lease_end(_now(state)))
            return
        _follow(
            state,
            term=row.term,
            coordinator=row.coordinator.node,
            address=row.coordinator.address,
            sequence=0,
        )
        state.heartbeat_due.set()
    since = max(state.renewed_at_s, state.standby.promised_until_s)
    if row is None:
        await _claim(state, row, version, read_at, {})
    elif row.coordinator == instance:
        if _now(state) - state.stepped_down_at_s > RECLAIM_DELAY_S:
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
    instance = _make_instance(state)
    unknown_until_s = cell.find_lease_bound(
        row,
        instance=instance,
        standby=state.standby,
        announced=announced,
        read_at_s=read_at,
        now=_now(state),
    )
    if unknown_until_s is None or state.standby.is_claiming:
        return
    claimed = cell.claim(row, instance, state.node.term)
    state.standby = dataclasses.replace(state.standby, is_claiming=True)
    is_written, version = await _write_cell(state, claimed, version)
    state.standby = dataclasses.replace(state.standby, is_claiming=False)
    if is_written:
        await _become_coordinator(state, claimed, version, unknown_until_s)
    else:
        state.search_due.set()


async def _write_cell(state: State, row: cell.CellRow, version: int) -> tuple[bool, int]:
    """Write the cell row until the outcome is known.

    Return whether the row is in force, and its version.
    """
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
        # The write has not been applied yet but still may be. Repeating it resolves this.
        await _sleep(state, RETRY_INTERVAL_S)


async def _become_coordinator(
    state: State, row: cell.CellRow, version: int, unknown_until_s: float
) -> None:
    member = state.ports.describe_member()
    instance = _make_instance(state)
    _follow(state, term=row.term, coordinator=instance.node, address=instance.address, sequence=0)
    rules = cell.open_coordinator(
        row,
        cell=state.cell_id,
        instance=instance,
        zone=member.zone,
        version=version,
        unknown_until_s=unknown_until_s,
        now=_now(state),
    )
    decision.record(log, logging.WARNING, "claimed", node=instance.node, term=row.term)
    if state.nursery is not None:
        await state.nursery.start(_run_coordinator, state, rules)


# The coordinator


async def _run_coordinator(
    state: State,
    rules: cell.Coordinator,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    async with trio.open_nursery() as nursery:
        leadership = Leadership(rules=rules, scope=nursery.cancel_scope, nursery=nursery)
        state.leadership = leadership
        task_status.started()
        nursery.start_soon(_ask_consents, state, leadership)
        await _load_assignments(state, leadership)
        nursery.start_soon(_poll_head, state, leadership)
        nursery.start_soon(_assign_shards, state, leadership)
        nursery.start_soon(_commit_moves, state, leadership)
        state.heartbeat_due.set()


def _step_down(state: State, leadership: Leadership, reason: str) -> None:
    if state.leadership is not leadership:
        return
    decision.record(
        log,
        logging.WARNING,
        "stepped-down",
        node=state.node.node,
        term=leadership.rules.row.term,
        reason=reason,
    )
    state.leadership = None
    state.stepped_down_at_s = _now(state)
    leadership.scope.cancel()
    state.search_due.set()


async def _load_assignments(state: State, leadership: Leadership) -> None:
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
    rules = cell.load_rows(leadership.rules, found, _make_find_grace(state))
    leadership.rules = dataclasses.replace(rules, config_version=state.node.config_version)
    leadership.is_loaded = True
    leadership.wanted_standbys = leadership.rules.row.standbys
    members = cell.read_members(nodes)
    addresses = {member.node: member.peer_address for member in members}
    addresses |= {node: member.peer_address for node, member in state.node.members.items()}
    for node, address in addresses.items():
        if node != state.node.node:
            _start_collect(state, leadership, node, address)


def _notify_changed(leadership: Leadership) -> None:
    leadership.plan_due.set()
    leadership.changed.set()
    leadership.changed = trio.Event()


def _next_sequence(leadership: Leadership) -> int:
    leadership.last_sequence += 1
    return leadership.last_sequence


def _handle_heartbeat(state: State, heartbeat: message.Heartbeat) -> message.Message:
    leadership = state.leadership
    if leadership is None or not leadership.is_loaded:
        return _refuse(state, "not coordinator")
    _expire_leases(state, leadership)
    leadership.rules, answer = cell.handle_heartbeat(leadership.rules, heartbeat, _now(state))
    leadership.config_versions[heartbeat.member.node] = heartbeat.config_version
    if leadership.is_handing_over:
        return _refuse(state, "handing over")
    if answer is cell.HeartbeatAnswer.RENEW:
        return _renew(state, leadership, heartbeat)
    if answer is cell.HeartbeatAnswer.COLLECT:
        _start_collect(state, leadership, heartbeat.member.node, heartbeat.member.peer_address)
    elif answer is cell.HeartbeatAnswer.SUPERSEDED:
        _step_down(state, leadership, "higher term")
    elif answer is cell.HeartbeatAnswer.BEHIND_CONFIG:
        leadership.poll_due.set()
    return _refuse(state, answer.value)


def _renew(state: State, leadership: Leadership, heartbeat: message.Heartbeat) -> message.Message:
    now = _now(state)
    for entry in heartbeat.new_quarantine:
        until = now + entry.remaining_s
        known = leadership.quarantine.get(entry.fingerprint, -math.inf)
        leadership.quarantine[entry.fingerprint] = max(until, known)
    leadership.quarantine = {
        fingerprint: until for fingerprint, until in leadership.quarantine.items() if until > now
    }
    if (
        leadership.rules.members_version,
        leadership.rules.config_version,
    ) != leadership.planned_for[:2]:
        _notify_changed(leadership)
    entries = [
        message.Quarantined(fingerprint=fingerprint, remaining_s=until - now)
        for fingerprint, until in leadership.quarantine.items()
    ]
    return cell.build_renewal(leadership.rules, heartbeat, entries)


def _start_collect(
    state: State, leadership: Leadership, node: identity.NodeId, address: identity.Address
) -> None:
    if node not in leadership.collecting:
        leadership.collecting.add(node)
        leadership.nursery.start_soon(_collect, state, leadership, node, address)


async def _collect(
    state: State, leadership: Leadership, node: identity.NodeId, address: identity.Address
) -> None:
    instance = _make_instance(state)
    request = message.Follow(
        term=leadership.rules.row.term,
        coordinator=instance.node,
        address=instance.address,
        sequence=_next_sequence(leadership),
    )
    reply = (await _ask(state, address, request, ASK_TIMEOUT_S)).value_or(None)
    leadership.collecting.discard(node)
    if isinstance(reply, message.Following) and reply.term == request.term:
        if reply.member.node in leadership.rules.leases:
            return
        leadership.rules = cell.record_holdings(
            leadership.rules, reply, state.ports.find_parent, _now(state)
        )
        decision.record(
            log,
            logging.INFO,
            "member",
            node=reply.member.node,
            holdings=len(reply.holdings),
            term=request.term,
        )
        if reply.config_version > leadership.rules.config_version:
            leadership.poll_due.set()
        _notify_changed(leadership)
    elif isinstance(reply, message.Refused) and reply.term > request.term:
        _step_down(state, leadership, "higher term")


def _expire_leases(state: State, leadership: Leadership) -> None:
    leadership.rules, lost = cell.expire(leadership.rules, _make_find_grace(state), _now(state))
    if lost:
        _drop_stale_memories(leadership)
        decision.record(log, logging.WARNING, "leases-expired", nodes=",".join(lost))
        _notify_changed(leadership)


def _drop_stale_memories(leadership: Leadership) -> None:
    """Drop memories of shards that may have been served since; they lack the tokens used then."""
    assigned = leadership.rules.assignments
    leadership.memories = {
        shard: memory
        for shard, memory in leadership.memories.items()
        if shard in assigned and assigned[shard].is_grantable
    }


async def _ask_consents(state: State, leadership: Leadership) -> None:
    subscription = timer.subscribe(state.ports.timer, period_s=lease.CONSENT_PERIOD_S)
    while True:
        if cell.should_step_down(leadership.rules, _now(state)):
            _step_down(state, leadership, "nodes silent")
            return
        if leadership.is_loaded:
            leadership.wanted_standbys = cell.choose_standbys(leadership.rules, _now(state))
        asked = {
            standby.node: standby
            for standby in [*cell.list_required(leadership.rules), *leadership.wanted_standbys]
        }
        for standby in asked.values():
            leadership.nursery.start_soon(_ask_consent, state, leadership, standby)
        await timer.tick(state.ports.timer, subscription)


async def _ask_consent(state: State, leadership: Leadership, standby: cell.NodeInstance) -> None:
    request = message.AskConsent(
        term=leadership.rules.row.term,
        coordinator=leadership.rules.instance.node,
        incarnation=leadership.rules.instance.incarnation,
    )
    until = _now(state) + lease.CONSENT_PERIOD_S
    retry_s = FIRST_RETRY_INTERVAL_S
    while True:
        sent_at = _now(state)
        reply = (await _ask(state, standby.address, request, ASK_TIMEOUT_S)).value_or(None)
        retry_s *= 2
        # A standby whose own claim conflicted refuses consent until it has read the row back.
        is_refused = isinstance(reply, message.Refused) and reply.term <= request.term
        if not is_refused or _now(state) + retry_s >= until:
            break
        await _sleep(state, retry_s)
    if isinstance(reply, message.Consent) and reply.term == request.term:
        leadership.rules = cell.record_consent(leadership.rules, standby.node, sent_at)
        await _replace_standbys(state, leadership)
    elif isinstance(reply, message.Refused) and reply.term > request.term:
        _step_down(state, leadership, "higher term")
    else:
        await _replace_standbys(state, leadership)


async def _replace_standbys(state: State, leadership: Leadership) -> None:
    """Write the wanted standbys to the cell row once all of them have consented."""
    wanted = leadership.wanted_standbys
    is_same = {standby.node: standby for standby in wanted} == {
        standby.node: standby for standby in leadership.rules.row.standbys
    }
    has_consent = lease.may_renew(
        leadership.rules.consents, [standby.node for standby in wanted], _now(state)
    )
    if is_same or not has_consent or not leadership.is_loaded or leadership.is_handing_over:
        return
    if leadership.store_lock.locked():
        return
    async with leadership.store_lock:
        leadership.rules, row = cell.propose_standbys(leadership.rules, wanted)
        version = leadership.rules.row_versions[cell.name_cell_row(state.cell_id)]
        is_written, version = await _write_cell(state, row, version)
        if not is_written:
            _step_down(state, leadership, "cell row changed")
            return
        leadership.rules = cell.record_cell_row(leadership.rules, row, version)
        names = ",".join(standby.node for standby in row.standbys)
        decision.record(log, logging.WARNING, "standbys", term=row.term, standbys=names)
    # The coordinator's own node renews at once instead of at its next heartbeat.
    state.heartbeat_due.set()
    _notify_changed(leadership)


async def _poll_head(state: State, leadership: Leadership) -> None:
    while True:
        due = _now(state) + HEAD_POLL_INTERVAL_S
        leadership.poll_due = trio.Event()
        row, version, asked_at = await _read_cell(state)
        if version >= 0:
            if row is None or row.term != leadership.rules.row.term:
                _step_down(state, leadership, "cell row changed")
                return
            if _now(state) - asked_at < SLOW_STORE_S:
                leadership.store_responsive_at_s = _now(state)
        head = await _read_head(state)
        if head is not None and head.version > state.node.config_version:
            await _fetch_body(state, head)
        if state.node.config_version > leadership.rules.config_version:
            leadership.rules = dataclasses.replace(
                leadership.rules, config_version=state.node.config_version
            )
            _notify_changed(leadership)
        await _wait_event(state, leadership.poll_due, due)


async def _assign_shards(state: State, leadership: Leadership) -> None:
    """Plan moves, and send revokes and grants, whenever something has changed."""
    while True:
        leadership.plan_due = trio.Event()
        _expire_leases(state, leadership)
        _plan(state, leadership)
        actions = cell.list_actions(leadership.rules, _now(state))
        for node, shard in actions.revokes:
            if (node, shard) not in leadership.revoking:
                leadership.revoking.add((node, shard))
                leadership.nursery.start_soon(_revoke, state, leadership, node, shard)
        for node, holdings in actions.grants.items():
            if node not in leadership.granting:
                leadership.granting.add(node)
                leadership.rules = cell.record_grant_sent(leadership.rules, node, holdings)
                leadership.nursery.start_soon(_grant, state, leadership, node, holdings)
        leadership.commit_due.set()
        await _wait_event(state, leadership.plan_due, _find_next_check(state, leadership))


def _find_next_check(state: State, leadership: Leadership) -> float:
    now = _now(state)
    times = [node_lease.end_s for node_lease in leadership.rules.leases.values()]
    times += [entry.free_at_s for entry in leadership.rules.assignments.values()]
    times += [leadership.rules.unknown_until_s, now + PLAN_INTERVAL_S]
    return min(at for at in times if at > now)


def _summarise_plan_inputs(leadership: Leadership, now: float) -> tuple[int, int, int]:
    """Return a summary whose change requires a new plan at once."""
    rules = leadership.rules
    orphans = sum(
        not entry.holders and entry.target is None and now >= entry.free_at_s
        for entry in rules.assignments.values()
    )
    return rules.members_version, rules.config_version, orphans


def _plan(state: State, leadership: Leadership) -> None:
    now = _now(state)
    if now < leadership.rules.unknown_until_s:
        return
    summary = _summarise_plan_inputs(leadership, now)
    if summary == leadership.planned_for and now - leadership.planned_at_s < PLAN_INTERVAL_S:
        return
    leadership.planned_for, leadership.planned_at_s = summary, now
    shards = state.ports.list_shards()
    leadership.rules = cell.add_unassigned(leadership.rules, shards)
    if now < leadership.rules.started_at_s + DISCOVERY_S and _is_unassigned(leadership):
        return
    view = cell.build_view(leadership.rules, shards, now)
    if not view.members or not view.owners:
        return
    plan = state.ports.place(view)
    if now - leadership.store_responsive_at_s > 2 * HEAD_POLL_INTERVAL_S:
        orphaned = [move for move in plan.moves if view.owners.get(move.shard) is None]
        plan = assignment.Plan(split=[], merge=[], moves=orphaned)
    leadership.rules = cell.apply_plan(leadership.rules, plan, state.ports.find_parent, now)


def _is_unassigned(leadership: Leadership) -> bool:
    return all(entry.fence == 0 for entry in leadership.rules.assignments.values())


async def _revoke(
    state: State, leadership: Leadership, node: identity.NodeId, shard: identity.ShardId
) -> None:
    node_lease = leadership.rules.leases.get(node)
    reply: message.Message | None = None
    if node_lease is not None:
        request = message.Revoke(
            term=leadership.rules.row.term,
            shards=[shard],
            incarnation=node_lease.member.incarnation,
            sequence=_next_sequence(leadership),
        )
        address = node_lease.member.peer_address
        reply = (await _ask(state, address, request, RELEASE_TIMEOUT_S)).value_or(None)
    if isinstance(reply, message.Released):
        memories = {memory.shard: memory for memory in reply.memories}
        was_held = any(holding.shard == shard for holding in reply.holdings)
        if was_held:
            leadership.memories.pop(shard, None)
        leadership.memories.update(memories)
        has_memory = not was_held or shard in memories
        leadership.rules = cell.record_release(leadership.rules, node, shard, has_memory=has_memory)
        _drop_stale_memories(leadership)
    else:
        await _sleep(state, RETRY_INTERVAL_S)
    leadership.revoking.discard((node, shard))
    _notify_changed(leadership)


async def _grant(
    state: State, leadership: Leadership, node: identity.NodeId, holdings: list[message.Holding]
) -> None:
    node_lease = leadership.rules.leases.get(node)
    reply: message.Message | None = None
    if node_lease is not None:
        request = message.Grant(
            term=leadership.rules.row.term,
            holdings=holdings,
            memories=[
                leadership.memories[holding.shard]
                for holding in holdings
                if holding.shard in leadership.memories
            ],
            incarnation=node_lease.member.incarnation,
            sequence=_next_sequence(leadership),
        )
        reply = (
            await _ask(state, node_lease.member.peer_address, request, ASK_TIMEOUT_S)
        ).value_or(None)
    if isinstance(reply, message.Granted):
        leadership.rules = cell.record_grant_accepted(leadership.rules, node, holdings)
        for holding in holdings:
            leadership.memories.pop(holding.shard, None)
    else:
        await _sleep(state, RETRY_INTERVAL_S)
    leadership.granting.discard(node)
    _notify_changed(leadership)


async def _commit_moves(state: State, leadership: Leadership) -> None:
    while True:
        await leadership.commit_due.wait()
        leadership.commit_due = trio.Event()
        async with leadership.store_lock:
            transaction = cell.build_transaction(leadership.rules, _now(state))
            if transaction is not None and not leadership.is_handing_over:
                await _commit(state, leadership, transaction)


async def _commit(state: State, leadership: Leadership, transaction: cell.Transaction) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_late_moves, state, leadership)
        outcome = platform.CommitState.UNKNOWN
        with trio.move_on_after(STORE_TIMEOUT_S):
            outcome = await state.ports.table.commit(transaction.expected, transaction.writes)
        is_applied = outcome is platform.CommitState.COMMITTED
        if is_applied:
            leadership.rules = cell.record_commit(leadership.rules, transaction)
        else:
            is_applied = await _read_back(state, leadership, transaction)
        nursery.cancel_scope.cancel()
    if is_applied:
        leadership.rules = cell.apply_changes(leadership.rules, transaction.changes)
        _log_changes(state, leadership, transaction.changes)
        _send_routes(state, leadership, transaction.changes)
    _notify_changed(leadership)


async def _cancel_late_moves(state: State, leadership: Leadership) -> None:
    """Cancel planned moves, so that their shards return to their owners, if a commit is late.

    The commit may still take effect. Shards that are being released for the next commit are
    included.
    """
    await _sleep(state, LATE_COMMIT_S)
    planned = [
        shard
        for shard, entry in leadership.rules.assignments.items()
        if entry.target is not None
        and entry.is_grantable
        and entry.owner in leadership.rules.leases
    ]
    leadership.rules = cell.cancel_moves(leadership.rules, planned)
    decision.record(log, logging.WARNING, "commit-late", shards=len(planned))
    leadership.store_responsive_at_s = -math.inf
    _notify_changed(leadership)


async def _read_back(state: State, leadership: Leadership, transaction: cell.Transaction) -> bool:
    """Read the rows of a write whose outcome is unknown, and return whether it was applied."""
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
    if row != leadership.rules.row:
        _step_down(state, leadership, "cell row changed")
        return False
    leadership.rules = cell.record_cell_row(
        leadership.rules, leadership.rules.row, cell_row.version
    )
    is_applied = all(rows[name].value == value for name, value in transaction.writes.items())
    found_rows = {name: (found.value, found.version) for name, found in rows.items()}
    if is_applied:
        versions = {name: found.version for name, found in rows.items()}
        leadership.rules = dataclasses.replace(
            leadership.rules, row_versions={**leadership.rules.row_versions, **versions}
        )
    else:
        leadership.rules = cell.load_rows(leadership.rules, found_rows, _make_find_grace(state))
        decision.record(
            log,
            logging.WARNING,
            "commit-not-applied",
            term=leadership.rules.row.term,
            rows=",".join(rows),
            outcome="read-back",
        )
    return is_applied


def _log_changes(state: State, leadership: Leadership, changes: list[cell.Change]) -> None:
    for change in changes:
        leadership.last_moves[change.shard] = (_now(state), change.reason.value)
        state.ports.observe_move(identity.split_shard(change.shard)[0], change.reason)
        decision.record(
            log,
            logging.INFO,
            "assigned",
            shard=change.shard,
            source=change.previous_owner or "-",
            to=change.owner,
            fence=change.fence,
            term=leadership.rules.row.term,
            reason=change.reason.value,
        )


def _send_routes(state: State, leadership: Leadership, changes: list[cell.Change]) -> None:
    """Send former owners the routes of moved shards, so that they can forward requests at once."""
    routes: dict[identity.NodeId, list[message.Route]] = {}
    for change in changes:
        if (
            change.previous_owner != change.owner
            and change.previous_owner in leadership.rules.leases
        ):
            route = message.Route(shard=change.shard, owner=change.owner, fence=change.fence)
            routes.setdefault(change.previous_owner, []).append(route)
    for node, changed in routes.items():
        request = message.Rerouted(term=leadership.rules.row.term, routes=changed)
        address = leadership.rules.leases[node].member.peer_address
        leadership.nursery.start_soon(_ask, state, address, request, ASK_TIMEOUT_S)


async def _handle_leave(state: State, request: message.Leave) -> message.Message:
    leadership = state.leadership
    if leadership is None or not leadership.is_loaded:
        return _refuse(state, "not coordinator")
    node_lease = leadership.rules.leases.get(request.node)
    if node_lease is None or node_lease.member.incarnation != request.incarnation:
        return message.Done()
    now = _now(state)
    others = [node for node in leadership.rules.leases if node != request.node]
    if not any(cell.is_member(leadership.rules, node, now) for node in others):
        return _refuse(state, NO_OTHER_MEMBER)
    member = msgspec.structs.replace(node_lease.member, is_leaving=True)
    leases = {
        **leadership.rules.leases,
        request.node: dataclasses.replace(node_lease, member=member),
    }
    leadership.rules = dataclasses.replace(
        leadership.rules, leases=leases, members_version=leadership.rules.members_version + 1
    )
    _notify_changed(leadership)
    until = now + LEAVE_TIMEOUT_S
    while not cell.is_drained(leadership.rules, request.node):
        if _now(state) >= until or state.leadership is not leadership:
            return _refuse(state, "still holding shards")
        await _wait_event(state, leadership.changed, until)
    return message.Done()


async def _hand_over(state: State, leadership: Leadership) -> None:
    """Name a standby as coordinator, so that it need not wait until its consent has run out."""
    now = _now(state)
    ready = [
        standby
        for standby in leadership.rules.row.standbys
        if now < leadership.rules.consents.get(standby.node, -math.inf)
    ]
    if not ready:
        return
    leadership.is_handing_over = True
    async with leadership.store_lock:
        row = cell.hand_over(leadership.rules.row, ready[0])
        version = leadership.rules.row_versions[cell.name_cell_row(state.cell_id)]
        is_written, _ = await _write_cell(state, row, version)
    if is_written:
        request = message.Follow(
            term=row.term, coordinator=ready[0].node, address=ready[0].address, sequence=0
        )
        await _ask(state, ready[0].address, request, ASK_TIMEOUT_S)
    _step_down(state, leadership, "handed over")
