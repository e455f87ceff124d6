"""Tests of ``lease`` and ``cell`` under all orders of claims, renewals, releases and losses."""

import collections.abc
import dataclasses
import functools

from hypothesis import settings, stateful, strategies
import pytest

from ebonyvalve.process import assignment, cell, identity, lease, message

CELL = identity.CellId("main")
ZONE = identity.ZoneId("z1")
SERVICE = identity.ServiceId("stock")
SHARD = identity.name_partition(SERVICE, identity.Partition(0))
KEY = identity.KeyId("k")
NAMES = [identity.NodeId(name) for name in "abc"]
CELL_ROW = cell.name_cell_row(CELL)
PAGE = cell.name_assignment_row(SHARD)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Envelope:
    """A message in transit, which may be delivered late or never."""

    source: identity.NodeId
    target: identity.NodeId
    body: message.Message
    pending: lease.PendingHeartbeat | None = None
    sent_at_s: float = 0.0
    # A release that waits for requests in flight; its delivery ends the release.
    is_release: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Three nodes that can each be coordinator, the table, and the messages in transit."""

    now: float = 0.0
    nodes: dict[identity.NodeId, lease.Node]
    standbys: dict[identity.NodeId, cell.Standby]
    coordinators: dict[identity.NodeId, cell.Coordinator]
    rows: dict[str, tuple[bytes, int]]
    sent: tuple[Envelope, ...] = ()
    sequence: int = 0


def make_member(node: identity.NodeId) -> message.Member:
    return message.Member(
        node=node,
        incarnation=identity.Incarnation(f"{node}1"),
        zone=ZONE,
        service=SERVICE,
        peer_address=identity.Address(node),
        hop_address=identity.Address(node),
        slots=1,
    )


def make_instance(node: identity.NodeId) -> cell.NodeInstance:
    return cell.make_instance(make_member(node))


def no_wait(service: identity.ServiceId) -> float:
    return 0.0


def make_world() -> World:
    """Return a cell with coordinator a and standby b, in which c holds the shard."""
    a, b, c = NAMES
    row = cell.CellRow(
        term=identity.Term(1), coordinator=make_instance(a), standbys=[make_instance(b)]
    )
    entry = cell.PageEntry(partition=identity.Partition(0), owner=c, fence=identity.Fence(1))
    rows = {
        CELL_ROW: (cell.encode_row(row), 1),
        PAGE: (cell.encode_row(cell.PageRow(entries=[entry])), 1),
    }
    nodes = {}
    for name in NAMES:
        state = lease.Node(node=name, incarnation=make_member(name).incarnation)
        nodes[name] = lease.follow(
            state,
            term=row.term,
            coordinator=a,
            address=identity.Address(a),
            sequence=0,
            now=0.0,
        )
    nodes[c] = dataclasses.replace(
        nodes[c],
        holdings={SHARD: lease.HeldShard(fence=identity.Fence(1))},
        lease_end_s=lease.LEASE_S,
        digest=lease.digest_holdings([message.Holding(shard=SHARD, fence=identity.Fence(1))]),
    )
    coordinator = open_coordinator(row, a, 1, 0.0, 0.0)
    coordinator = cell.load_rows(coordinator, {PAGE: rows[PAGE]}, no_wait)
    for name in NAMES:
        coordinator = collect(coordinator, nodes[name], 0.0)
    coordinator = cell.record_consent(coordinator, b, 0.0)
    standbys = {name: cell.Standby() for name in NAMES}
    standbys[b] = cell.Standby(promised_until_s=lease.compute_promise_end(0.0))
    return World(nodes=nodes, standbys=standbys, coordinators={a: coordinator}, rows=rows)


def open_coordinator(
    row: cell.CellRow, node: identity.NodeId, version: int, bound: float, now: float
) -> cell.Coordinator:
    return cell.open_coordinator(
        row,
        cell=CELL,
        instance=make_instance(node),
        zone=ZONE,
        version=version,
        unknown_until_s=bound,
        now=now,
    )


def collect(coordinator: cell.Coordinator, node: lease.Node, now: float) -> cell.Coordinator:
    following = message.Following(
        member=make_member(node.node),
        term=node.term,
        holdings=lease.list_holdings(node),
        config_version=node.config_version,
    )
    return cell.record_holdings(coordinator, following, lambda shard: SHARD, now)


def find_servers(world: World) -> list[identity.NodeId]:
    return [
        name
        for name, node in world.nodes.items()
        if lease.find_fence(node, SHARD, KEY, world.now) is not None
    ]


# Steps. Each returns the world after the step, or None if the step is impossible.


def pass_time(world: World, period_s: float) -> World | None:
    return dataclasses.replace(world, now=world.now + period_s)


def send(world: World, *envelopes: Envelope) -> World:
    return dataclasses.replace(world, sent=(*world.sent, *envelopes))


def put_node(world: World, node: lease.Node) -> World:
    return dataclasses.replace(world, nodes={**world.nodes, node.node: node})


def put_coordinator(world: World, coordinator: cell.Coordinator) -> World:
    return dataclasses.replace(
        world, coordinators={**world.coordinators, coordinator.instance.node: coordinator}
    )


def begin_heartbeat(world: World, name: identity.NodeId) -> World | None:
    node, pending = lease.begin_heartbeat(world.nodes[name], world.now)
    body = message.Heartbeat(
        member=make_member(name),
        term=node.term,
        routes_version=0,
        members_version=0,
        config_version=node.config_version,
        is_live=lease.is_live(node, world.now),
        is_suspended=any(map(lease.is_suspended, node.holdings.values())),
    )
    envelope = Envelope(source=name, target=node.coordinator, body=body, pending=pending)
    return send(put_node(world, node), envelope)


def ask_consent(world: World, name: identity.NodeId) -> World | None:
    coordinator = world.coordinators.get(name)
    if coordinator is None:
        return None
    body = message.AskConsent(
        term=coordinator.row.term, coordinator=name, incarnation=coordinator.instance.incarnation
    )
    asked = [
        Envelope(source=name, target=instance.node, body=body, sent_at_s=world.now)
        for instance in cell.list_required(coordinator)
    ]
    return send(world, *asked) if asked else None


def claim(world: World, name: identity.NodeId) -> World | None:
    value, version = world.rows[CELL_ROW]
    row = cell.decode_cell(value)
    bound = cell.find_lease_bound(
        row,
        instance=make_instance(name),
        standby=world.standbys[name],
        announced={},
        read_at_s=world.now,
        now=world.now,
    )
    if bound is None or name in world.coordinators:
        return None
    claimed = cell.claim(row, make_instance(name), world.nodes[name].term)
    rows = {**world.rows, CELL_ROW: (cell.encode_row(claimed), version + 1)}
    coordinator = open_coordinator(claimed, name, version + 1, bound, world.now)
    coordinator = cell.load_rows(coordinator, {PAGE: rows[PAGE]}, no_wait)
    node = lease.follow(
        world.nodes[name],
        term=claimed.term,
        coordinator=name,
        address=identity.Address(name),
        sequence=0,
        now=world.now,
    )
    world = dataclasses.replace(put_node(world, node), rows=rows)
    world = put_coordinator(world, coordinator)
    return send_follow(world, name)


def send_follow(world: World, name: identity.NodeId) -> World | None:
    coordinator = world.coordinators.get(name)
    if coordinator is None:
        return None
    world = dataclasses.replace(world, sequence=world.sequence + 1)
    body = message.Follow(
        term=coordinator.row.term,
        coordinator=name,
        address=identity.Address(name),
        sequence=world.sequence,
    )
    missing = [other for other in NAMES if other not in coordinator.leases]
    if not missing:
        return None
    return send(world, *(Envelope(source=name, target=other, body=body) for other in missing))


def run_coordinator(world: World, name: identity.NodeId, target: identity.NodeId) -> World | None:
    """Expire leases, plan a move to a node, commit, and send revokes and grants."""
    coordinator = world.coordinators.get(name)
    if coordinator is None:
        return None
    coordinator, _ = cell.expire(coordinator, no_wait, world.now)
    move = assignment.Move(
        shard=SHARD, source=None, target=target, reason=assignment.MoveReason.RULE
    )
    plan = assignment.Plan(split=[], merge=[], moves=[move])
    if world.now >= coordinator.unknown_until_s:
        coordinator = cell.apply_plan(coordinator, plan, lambda shard: SHARD, world.now)
    world = commit(put_coordinator(world, coordinator), name)
    coordinator = world.coordinators.get(name, coordinator)
    actions = cell.list_actions(coordinator, world.now)
    for node, shard in actions.revokes:
        world = dataclasses.replace(world, sequence=world.sequence + 1)
        revoke = message.Revoke(
            term=coordinator.row.term,
            shards=[shard],
            incarnation=coordinator.leases[node].member.incarnation,
            sequence=world.sequence,
        )
        world = send(world, Envelope(source=name, target=node, body=revoke))
    for node, holdings in actions.grants.items():
        coordinator = cell.record_grant_sent(coordinator, node, holdings)
        world = dataclasses.replace(
            put_coordinator(world, coordinator), sequence=world.sequence + 1
        )
        grant = message.Grant(
            term=coordinator.row.term,
            holdings=holdings,
            memories=[],
            incarnation=coordinator.leases[node].member.incarnation,
            sequence=world.sequence,
        )
        world = send(world, Envelope(source=name, target=node, body=grant))
    return world


def commit(world: World, name: identity.NodeId) -> World:
    coordinator = world.coordinators[name]
    transaction = cell.build_transaction(coordinator, world.now)
    if transaction is None:
        return world
    if any(world.rows[row][1] != version for row, version in transaction.expected.items()):
        return drop_coordinator(world, name)
    written = {
        row: (value or b"", world.rows[row][1] + 1) for row, value in transaction.writes.items()
    }
    coordinator = cell.apply_changes(
        cell.record_commit(coordinator, transaction), transaction.changes
    )
    return put_coordinator(dataclasses.replace(world, rows={**world.rows, **written}), coordinator)


def drop_coordinator(world: World, name: identity.NodeId) -> World:
    coordinators = {
        node: coordinator for node, coordinator in world.coordinators.items() if node != name
    }
    return dataclasses.replace(world, coordinators=coordinators)


def lose_message(world: World, index: int) -> World | None:
    if index >= len(world.sent):
        return None
    return dataclasses.replace(world, sent=world.sent[:index] + world.sent[index + 1 :])


def deliver(world: World, index: int, is_reply_lost: bool) -> World | None:
    """Deliver a message, and send its reply unless that is lost."""
    if index >= len(world.sent):
        return None
    envelope = world.sent[index]
    world = dataclasses.replace(world, sent=world.sent[:index] + world.sent[index + 1 :])
    before = len(world.sent)
    world = _handle(world, envelope)
    return dataclasses.replace(world, sent=world.sent[:before]) if is_reply_lost else world


def _handle(world: World, envelope: Envelope) -> World:
    node = world.nodes[envelope.target]
    coordinator = world.coordinators.get(envelope.target)
    reply = functools.partial(
        dataclasses.replace, envelope, source=envelope.target, target=envelope.source
    )
    match envelope.body:
        case message.Heartbeat() as heartbeat if coordinator is not None:
            coordinator, _ = cell.expire(coordinator, no_wait, world.now)
            coordinator, answer = cell.handle_heartbeat(coordinator, heartbeat, world.now)
            world = put_coordinator(world, coordinator)
            if answer is cell.HeartbeatAnswer.RENEW:
                return send(world, reply(body=cell.build_renewal(coordinator, heartbeat, [])))
        case message.Renewal() as renewal if envelope.pending is not None:
            return put_node(
                world, lease.apply_renewal(node, envelope.pending, renewal, world.now)[0]
            )
        case message.AskConsent() as request:
            standby = cell.give_consent(
                world.standbys[envelope.target],
                followed_term=node.term,
                requested_term=request.term,
                now=world.now,
            )
            if standby is not None:
                standbys = {**world.standbys, envelope.target: standby}
                world = dataclasses.replace(world, standbys=standbys)
                return send(world, reply(body=message.Consent(term=request.term)))
        case message.Consent() as consent if coordinator is not None:
            if consent.term == coordinator.row.term:
                coordinator = cell.record_consent(coordinator, envelope.source, envelope.sent_at_s)
                return put_coordinator(world, coordinator)
        case message.Follow() as request if request.term >= node.term:
            if coordinator is not None and coordinator.row.term < request.term:
                world = drop_coordinator(world, envelope.target)
            node = lease.follow(
                node,
                term=request.term,
                coordinator=request.coordinator,
                address=request.address,
                sequence=request.sequence,
                now=world.now,
            )
            following = message.Following(
                member=make_member(node.node),
                term=node.term,
                holdings=lease.list_holdings(node),
                config_version=node.config_version,
            )
            return send(put_node(world, node), reply(body=following))
        case message.Following() as following if coordinator is not None:
            is_new = following.member.node not in coordinator.leases
            if following.term == coordinator.row.term and is_new:
                coordinator = cell.record_holdings(
                    coordinator, following, lambda shard: SHARD, world.now
                )
                return put_coordinator(world, coordinator)
        case message.Revoke() as request if envelope.is_release:
            held = node.holdings.get(SHARD)
            if held is not None and held.state is not lease.HoldingState.RELEASING:
                return world
            node = lease.end_release(node, [SHARD])
            holdings = [
                message.Holding(shard=SHARD, fence=identity.Fence(0)) for _ in [held] if held
            ]
            released = message.Released(term=request.term, holdings=holdings, memories=[])
            return send(put_node(world, node), reply(body=released, is_release=False))
        case message.Revoke() as request if lease.accepts(node, request, SHARD):
            node, _ = lease.begin_release(node, request, world.now)
            return send(put_node(world, node), dataclasses.replace(envelope, is_release=True))
        case message.Released() as released if coordinator is not None:
            if released.term == coordinator.row.term:
                has_memory = not released.holdings
                return put_coordinator(
                    world,
                    cell.record_release(coordinator, envelope.source, SHARD, has_memory=has_memory),
                )
        case message.Grant() as request:
            node, is_taken = lease.grant(node, request, world.now)
            if is_taken:
                granted = message.Granted(term=request.term)
                return send(put_node(world, node), reply(body=granted))
    return world


Step = collections.abc.Callable[[World], World | None]
PERIODS = [0.05, 0.16, 0.31, 0.46]


# Exhaustive exploration

DEPTH = 5
BROKEN_DEPTH = 4


def run_steps(world: World, *steps: Step) -> World:
    for step in steps:
        after = step(world)
        assert after is not None
        world = after
    return world


def deliver_first(world: World) -> World | None:
    return deliver(world, 0, False)


def wait_long(world: World) -> World | None:
    return pass_time(world, 0.31)


def drop_all(world: World) -> World | None:
    return dataclasses.replace(world, sent=())


def collect_node(world: World, name: identity.NodeId, other: identity.NodeId) -> World | None:
    """Let a coordinator collect the holdings of one node; messages to others are lost."""
    world = run_steps(world, functools.partial(send_follow, name=name))
    kept = tuple(envelope for envelope in world.sent if envelope.target == other)
    return run_steps(dataclasses.replace(world, sent=kept), deliver_first, deliver_first)


def renew_lease(world: World, name: identity.NodeId) -> World | None:
    """Renew the lease of a node with a heartbeat that is answered at once."""
    world = run_steps(dataclasses.replace(world, sent=()), lambda w: begin_heartbeat(w, name))
    return run_steps(world, deliver_first, deliver_first)


def start_undisturbed() -> World:
    return make_world()


def start_after_claim() -> World:
    """Start after b claimed the cell and renewed its own lease; c has not answered."""
    _, b, _ = NAMES
    return run_steps(
        make_world(),
        wait_long,
        lambda w: claim(w, b),
        drop_all,
        lambda w: collect_node(w, b, b),
        lambda w: renew_lease(w, b),
    )


def start_after_lapse() -> World:
    """Start after c was silent until its shard was moved to b, whose lease is valid."""
    a, b, c = NAMES
    world = make_world()
    for _ in range(4):
        world = run_steps(
            world,
            lambda w: pass_time(w, 0.16),
            lambda w: ask_consent(w, a),
            deliver_first,
            deliver_first,
            lambda w: renew_lease(w, b),
        )
    world = run_steps(world, lambda w: run_coordinator(w, a, b), deliver_first, deliver_first)
    assert find_servers(world) == [b]
    return run_steps(world, lambda w: collect_node(w, a, c))


def start_in_move() -> World:
    """Start when the coordinator has asked c to release the shard for b."""
    a, b, _ = NAMES
    return run_steps(make_world(), lambda w: renew_lease(w, b), lambda w: run_coordinator(w, a, b))


STARTS = [start_undisturbed, start_after_claim, start_after_lapse, start_in_move]


def list_steps(world: World) -> list[Step]:
    """Return all steps to explore from a world."""
    a, b, c = NAMES
    steps: list[Step] = [
        lambda w: begin_heartbeat(w, b),
        lambda w: begin_heartbeat(w, c),
        lambda w: ask_consent(w, a),
        lambda w: claim(w, b),
        lambda w: pass_time(w, 0.16),
        wait_long,
    ]
    steps += [
        functools.partial(run_coordinator, name=name, target=b) for name in world.coordinators
    ]
    for index in range(len(world.sent)):
        steps.append(functools.partial(deliver, index=index, is_reply_lost=False))
        steps.append(functools.partial(deliver, index=index, is_reply_lost=True))
    return steps


def explore(world: World, depth: int) -> tuple[int, int]:
    """Return how many worlds were visited, and in how many of them two nodes served the shard."""
    visited, conflicts = 1, int(len(find_servers(world)) > 1)
    if depth == 0 or conflicts:
        return visited, conflicts
    # Losing a reply that was never sent leads to the same world as delivering without a reply.
    before = world
    for step in list_steps(world):
        after = step(world)
        if after is None or after == before:
            continue
        before = after
        below = explore(after, depth - 1)
        visited, conflicts = visited + below[0], conflicts + below[1]
    return visited, conflicts


@pytest.mark.parametrize("start", STARTS)
def test_every_interleaving_has_one_owner(start: collections.abc.Callable[[], World]) -> None:
    """Guards against two owners after any order of claims, renewals, releases and lost replies."""
    visited, conflicts = explore(start(), DEPTH)
    print(f"{start.__name__} depth={DEPTH} visited={visited}")
    assert visited > 1000
    assert conflicts == 0


def keep_serving(state: lease.Node, now: float) -> lease.Node:
    """Replace ``lease.lapse`` by one that does not suspend the holdings."""
    return state


def ignore_leases(*args: object, now: float, **others: object) -> float:
    """Replace ``find_lease_bound`` by one that ignores leases of the former coordinator."""
    return now


def accept_all(*args: object) -> bool:
    """Replace ``lease.accepts`` by one that accepts outdated revokes and grants."""
    return True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken:
    """A function to break, and the start from which the exploration must find that."""

    module: object
    name: str
    stand_in: object
    start: collections.abc.Callable[[], World]


def start_with_duplicate() -> World:
    """Start after c released the shard while a duplicate of an earlier grant is in transit."""
    a, b, c = NAMES
    world = run_steps(make_world(), lambda w: renew_lease(w, b), lambda w: renew_lease(w, c))
    late = message.Grant(
        term=identity.Term(1),
        holdings=[message.Holding(shard=SHARD, fence=identity.Fence(1))],
        memories=[],
        incarnation=world.nodes[c].incarnation,
        sequence=0,
    )
    world = run_steps(world, lambda w: run_coordinator(w, a, b), deliver_first, deliver_first)
    return send(world, Envelope(source=a, target=c, body=late))


BROKEN = [
    Broken(module=lease, name="lapse", stand_in=keep_serving, start=start_after_lapse),
    Broken(module=cell, name="find_lease_bound", stand_in=ignore_leases, start=start_after_claim),
    Broken(module=lease, name="accepts", stand_in=accept_all, start=start_with_duplicate),
]


@pytest.mark.parametrize("broken", BROKEN, ids=lambda broken: broken.name)
def test_exploration_finds_broken_rule(broken: Broken, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exploration that finds no conflict although a function is broken."""
    assert explore(broken.start(), BROKEN_DEPTH)[1] == 0
    monkeypatch.setattr(broken.module, broken.name, broken.stand_in)
    assert explore(broken.start(), BROKEN_DEPTH)[1] > 0


class Terms(stateful.RuleBasedStateMachine):
    """Random steps of three nodes. At most one may serve the shard, under rising fencing tokens."""

    def __init__(self) -> None:
        super().__init__()
        self.world = make_world()
        self.highest = 0

    @stateful.initialize(start=strategies.sampled_from(STARTS))
    def begin(self, start: collections.abc.Callable[[], World]) -> None:
        self.world = start()

    def take(self, world: World | None) -> None:
        if world is not None:
            self.world = world

    @stateful.rule(period_s=strategies.sampled_from(PERIODS))
    def pass_time(self, period_s: float) -> None:
        self.take(pass_time(self.world, period_s))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def begin_heartbeat(self, name: identity.NodeId) -> None:
        self.take(begin_heartbeat(self.world, name))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def renew_lease(self, name: identity.NodeId) -> None:
        """Deliver a heartbeat and its renewal ahead of older messages."""
        kept = self.world.sent
        self.take(begin_heartbeat(dataclasses.replace(self.world, sent=()), name))
        self.take(deliver(self.world, 0, False))
        self.take(deliver(self.world, 0, False))
        self.world = dataclasses.replace(self.world, sent=(*kept, *self.world.sent))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def ask_consent(self, name: identity.NodeId) -> None:
        self.take(ask_consent(self.world, name))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def claim(self, name: identity.NodeId) -> None:
        self.take(claim(self.world, name))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def send_follow(self, name: identity.NodeId) -> None:
        self.take(send_follow(self.world, name))

    @stateful.rule(name=strategies.sampled_from(NAMES), owner=strategies.sampled_from(NAMES))
    def run_coordinator(self, name: identity.NodeId, owner: identity.NodeId) -> None:
        self.take(run_coordinator(self.world, name, owner))

    @stateful.rule(index=strategies.integers(0, 5), is_reply_lost=strategies.booleans())
    def deliver(self, index: int, is_reply_lost: bool) -> None:
        self.take(deliver(self.world, index, is_reply_lost and index % 2 == 0))

    @stateful.rule(count=strategies.integers(1, 8))
    def deliver_all(self, count: int) -> None:
        """Deliver messages in order, so that complete exchanges are frequent."""
        for _ in range(count):
            self.take(deliver(self.world, 0, False))

    @stateful.rule(index=strategies.integers(0, 5))
    def lose_message(self, index: int) -> None:
        self.take(lose_message(self.world, index))

    @stateful.invariant()
    def has_one_owner(self) -> None:
        servers = find_servers(self.world)
        assert len(servers) <= 1, servers
        for name in servers:
            fence = self.world.nodes[name].holdings[SHARD].fence
            assert fence >= self.highest
            self.highest = fence


TestTerms = Terms.TestCase
TestTerms.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
