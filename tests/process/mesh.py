"""A cell of several nodes in one process, on a mock clock, with faults that tests inject."""

import collections
import collections.abc
import dataclasses

from returns import result
import trio

from ebonyvalve.process import (
    assignment,
    identity,
    lease,
    message,
    ownership,
    peer,
    platform,
    timer,
)

SERVICE = identity.ServiceId("stock")
CELL = identity.CellId("main")
# A key that always stays in its partition, and keys of partition 0 that may be split off.
KEY = identity.KeyId("k")
HOT_KEYS = [identity.KeyId("hot1"), identity.KeyId("hot2")]
HALF_TRIP_S = 0.00075
MAX_TOKENS = 20
# The clocks of two nodes drift apart by the bound that leases allow for.
CLOCK_RATES = [0.0005, -0.0005]


@dataclasses.dataclass(kw_only=True)
class Host:
    """A node whose process can be paused, ended and started again."""

    name: identity.NodeId
    zone: identity.ZoneId
    starts: int = 0
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    state: ownership.State | None = None
    memory: dict[identity.ShardId, set[str]] = dataclasses.field(default_factory=dict)
    resumed: trio.Event = dataclasses.field(default_factory=trio.Event)
    paused: trio.Event = dataclasses.field(default_factory=trio.Event)
    shards: int = 0
    cancelled: list[identity.ShardId] = dataclasses.field(default_factory=list)
    is_store_lost: bool = False
    release_s: float = 0.0
    # The clocks of the nodes differ in rate and origin.
    clock_rate: float = 1.0
    clock_start_s: float = 0.0
    # Replaced whenever the node's view of ownership changes.
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(kw_only=True)
class Interval:
    """A period in which a node would have served a shard."""

    node: identity.NodeId
    shard: identity.ShardId
    fence: identity.Fence
    start_s: float
    end_s: float


@dataclasses.dataclass(kw_only=True)
class Mesh:
    """The nodes, the store and the network between them."""

    nursery: trio.Nursery
    store: platform.Memory
    hosts: dict[identity.NodeId, Host] = dataclasses.field(default_factory=dict)
    # Pairs of sender and receiver between which requests and replies are lost.
    lost_links: set[tuple[identity.NodeId, identity.NodeId]] = dataclasses.field(
        default_factory=set
    )
    partitions: int = 8
    checks_fence: bool = True
    deadline_s: float = 0.4
    history: list[Interval] = dataclasses.field(default_factory=list)
    open: dict[tuple[identity.NodeId, identity.ShardId, identity.Fence], Interval] = (
        dataclasses.field(default_factory=dict)
    )
    step_s: float = 0.002
    # By shard and fencing token, the one-time tokens used so far; and owners that lacked some.
    used: dict[tuple[identity.ShardId, identity.Fence], set[str]] = dataclasses.field(
        default_factory=dict
    )
    unknown_uses: list[str] = dataclasses.field(default_factory=list)
    # Plans that tests add to the result of placement.
    plans: list[assignment.Plan] = dataclasses.field(default_factory=list)
    asked: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


def read_clock(host: Host) -> float:
    return host.clock_start_s + host.clock_rate * trio.current_time()


def list_shards(mesh: Mesh) -> list[identity.ShardId]:
    return [
        identity.name_partition(SERVICE, identity.Partition(number))
        for number in range(mesh.partitions)
    ]


def place(mesh: Mesh, view: assignment.PlacementView) -> assignment.Plan:
    """Assign unowned shards, and those of leaving nodes, to the members with the fewest shards."""
    members = [node for node, member in view.members.items() if not member.is_leaving]
    counts = dict.fromkeys(sorted(members), 0)
    for owner in view.owners.values():
        if owner in counts:
            counts[owner] += 1
    moves = []
    for shard, owner in sorted(view.owners.items()):
        if counts and (owner is None or owner not in counts):
            target = min(counts, key=lambda node: (counts[node], node))
            counts[target] += 1
            reason = assignment.MoveReason.ORPHANED
            if owner is not None:
                reason = assignment.MoveReason.LEAVING
            moves.append(assignment.Move(shard=shard, source=owner, target=target, reason=reason))
    plan = mesh.plans.pop(0) if mesh.plans else assignment.Plan(split=[], merge=[], moves=[])
    return assignment.Plan(split=plan.split, merge=plan.merge, moves=moves + plan.moves)


def start(mesh: Mesh, name: str, zone: str) -> Host:
    """Start a node, or restart it after it was lost."""
    node = identity.NodeId(name)
    host = mesh.hosts.setdefault(node, Host(name=node, zone=identity.ZoneId(zone)))
    host.starts += 1
    host.scope = trio.CancelScope()
    resume(host)
    host.memory = {}
    host.shards = 0
    host.clock_start_s = 1000.0 * len(mesh.hosts)
    host.clock_rate = 1.0 + CLOCK_RATES[len(mesh.hosts) % 2]
    clock = timer.Timer(clock=lambda: read_clock(host))
    host.state = ownership.open_state(CELL, _make_ports(mesh, host, clock))
    mesh.nursery.start_soon(_run_host, host, host.state, clock)
    return host


def lose(host: Host) -> None:
    """End the process of a node without a handover."""
    host.scope.cancel()
    host.state = None


def pause(host: Host) -> None:
    host.resumed = trio.Event()
    host.paused.set()


def resume(host: Host) -> None:
    host.paused = trio.Event()
    host.resumed.set()


async def _run_host(host: Host, state: ownership.State, clock: timer.Timer) -> None:
    with host.scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_timer, host, clock)
            nursery.start_soon(ownership.run, state)


async def _run_timer(host: Host, clock: timer.Timer) -> None:
    """Run the timer service, except while the node is paused."""
    while True:
        await host.resumed.wait()
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timer.run, clock)
                await host.paused.wait()
                scope.cancel()


def _make_ports(mesh: Mesh, host: Host, clock: timer.Timer) -> ownership.Ports:
    backing = platform.open_memory(mesh.store)
    member = message.Member(
        node=host.name,
        incarnation=identity.Incarnation(f"{host.name}{host.starts}"),
        zone=host.zone,
        service=SERVICE,
        peer_address=identity.Address(host.name),
        hop_address=identity.Address(host.name),
        slots=10,
        is_target_up=True,
    )

    async def release(shards: list[identity.ShardId]) -> list[message.TokenMemory]:
        await trio.sleep(host.release_s)
        return [
            message.TokenMemory(
                shard=shard,
                epochs=[],
                used=[
                    message.UsedToken(token=token, verdict="answered", status=200, age_s=0.0)
                    for token in sorted(host.memory.pop(shard, set()))
                ],
            )
            for shard in shards
        ]

    def install(memories: list[message.TokenMemory]) -> None:
        for memory in memories:
            host.memory[memory.shard] = {entry.token for entry in memory.used}

    def inherit(source: message.Holding, target: message.Holding) -> None:
        known = host.memory.setdefault(target.shard, set())
        known |= host.memory.get(source.shard, set())

    def forget(shards: list[identity.ShardId]) -> None:
        for shard in shards:
            host.memory.pop(shard, None)

    def adopt_config(version: identity.ConfigVersion, body: bytes) -> None:
        host.shards = int(body)

    def list_config_shards() -> frozenset[identity.ShardId]:
        return frozenset(list_shards(mesh)[: host.shards])

    async def ask(
        address: identity.Address, request: message.Message, timeout_s: float
    ) -> peer.AskResult:
        return await _ask(mesh, host, identity.NodeId(address), request, timeout_s)

    async def read(key: str) -> platform.RowResult:
        found = await backing.table.read(key)
        await host.resumed.wait()
        if host.is_store_lost:
            return result.Failure(platform.StoreFailure.UNAVAILABLE)
        return found

    async def scan(prefix: str) -> platform.RowsResult:
        found = await backing.table.scan(prefix)
        await host.resumed.wait()
        if host.is_store_lost:
            return result.Failure(platform.StoreFailure.UNAVAILABLE)
        return found

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        if host.is_store_lost:
            await trio.sleep(mesh.store.delay_s)
            return platform.CommitState.UNKNOWN
        outcome = await backing.table.commit(expected, writes)
        await host.resumed.wait()
        return outcome

    def notify() -> None:
        host.changed.set()
        host.changed = trio.Event()

    return ownership.Ports(
        notify=notify,
        ask=ask,
        table=platform.Table(read=read, scan=scan, commit=commit),
        objects=backing.objects,
        timer=clock,
        place=lambda view: place(mesh, view),
        release=release,
        install=install,
        inherit=inherit,
        forget=forget,
        cancel_requests=host.cancelled.extend,
        adopt_config=adopt_config,
        describe_member=lambda: member,
        collect_loads=list,
        collect_hot_keys=list,
        collect_new_quarantine=list,
        install_quarantine=lambda entries: None,
        list_shards=list_config_shards,
        describe_service=lambda service: ownership.ServiceTraits(
            checks_fence=mesh.checks_fence, deadline_s=mesh.deadline_s
        ),
        find_parent=lambda shard: list_shards(mesh)[0],
    )


async def _ask(
    mesh: Mesh,
    source: Host,
    name: identity.NodeId,
    request: message.Message,
    timeout_s: float,
) -> peer.AskResult:
    mesh.asked[type(request).__name__] += 1
    reply: peer.AskResult = result.Failure(peer.PeerFailure.TIMEOUT)
    with trio.move_on_after(timeout_s):
        reply = await _exchange(mesh, source, name, request)
    await source.resumed.wait()
    return reply


async def _exchange(
    mesh: Mesh, source: Host, name: identity.NodeId, request: message.Message
) -> peer.AskResult:
    await trio.sleep(HALF_TRIP_S)
    target = mesh.hosts.get(name)
    if target is None or (source.name, name) in mesh.lost_links:
        await trio.sleep_forever()
    assert target is not None
    await target.resumed.wait()
    state = target.state
    if state is None:
        # A lost VM does not reply.
        await trio.sleep_forever()
    assert state is not None
    answer = await ownership.handle(state, request)
    await trio.sleep(HALF_TRIP_S)
    if (name, source.name) in mesh.lost_links:
        await trio.sleep_forever()
    return result.Success(answer)


async def leave(host: Host) -> bool:
    """Stop a node gracefully, and return whether it handed over its shards first."""
    assert host.state is not None
    is_done = await ownership.leave(host.state)
    lose(host)
    return is_done


def find_owner(mesh: Mesh, shard: identity.ShardId) -> Host:
    for host in mesh.hosts.values():
        if list_served(host, [shard]):
            return host
    raise LookupError(shard)


def list_standbys(mesh: Mesh) -> list[Host]:
    state = find_coordinator(mesh).state
    assert state is not None
    assert state.leadership is not None
    return [mesh.hosts[instance.node] for instance in state.leadership.rules.row.standbys]


def find_plain_owner(mesh: Mesh) -> Host:
    """Return an owner that is neither coordinator nor standby."""
    busy = [find_coordinator(mesh), *list_standbys(mesh)]
    return next(host for host in mesh.hosts.values() if host not in busy)


def cut_off(mesh: Mesh, name: str) -> None:
    """Lose all messages between a node and the others, in both directions."""
    for other in mesh.hosts:
        if other != name:
            mesh.lost_links |= {(identity.NodeId(name), other), (other, identity.NodeId(name))}


def find_coordinator(mesh: Mesh) -> Host:
    leading = [
        host
        for host in mesh.hosts.values()
        if host.state is not None and host.state.leadership is not None
    ]
    return max(leading, key=lambda host: host.state.node.term if host.state else 0)


def list_served(host: Host, shards: list[identity.ShardId]) -> dict[identity.ShardId, int]:
    """Return the shards that a node would serve now, with their fencing tokens."""
    if host.state is None or not host.resumed.is_set():
        return {}
    now = read_clock(host)
    found = {}
    for shard in shards:
        key = identity.split_shard(shard)[2] or KEY
        found[shard] = lease.find_fence(host.state.node, shard, key, now)
    return {shard: fence for shard, fence in found.items() if fence is not None}


def observe(mesh: Mesh) -> None:
    """Record which shards every node would serve now, and use a one-time token of each."""
    now = trio.current_time()
    partition = list_shards(mesh)[0]
    for host in mesh.hosts.values():
        if host.state is None or not host.resumed.is_set():
            continue
        served = list_served(host, list(host.state.node.holdings))
        for shard, fence in served.items():
            _use_token(mesh, host, shard, identity.Fence(fence))
            if identity.split_shard(shard)[2] is None:
                _extend(mesh, host, shard, identity.Fence(fence), now)
        for key in HOT_KEYS:
            key_shard = identity.name_key(SERVICE, key)
            for shard in (partition, key_shard):
                held_fence = lease.find_fence(host.state.node, shard, key, read_clock(host))
                if held_fence is not None:
                    _extend(mesh, host, key_shard, held_fence, now)


def _use_token(mesh: Mesh, host: Host, shard: identity.ShardId, fence: identity.Fence) -> None:
    """Record if the owner lacks a token used under its fencing token, and use another token."""
    used = mesh.used.setdefault((shard, fence), set())
    known = host.memory.setdefault(shard, set())
    if not used <= known:
        mesh.unknown_uses.append(f"{host.name} {shard} fence {fence} at {trio.current_time():.3f}")
    if len(used) < MAX_TOKENS:
        token = f"{host.name}-{fence}-{len(used)}"
        used.add(token)
        known.add(token)


def _extend(
    mesh: Mesh, host: Host, shard: identity.ShardId, fence: identity.Fence, now: float
) -> None:
    key = (host.name, shard, fence)
    known = mesh.open.get(key)
    if known is not None and now - known.end_s < 2.25 * mesh.step_s:
        known.end_s = now
        return
    mesh.open[key] = Interval(node=host.name, shard=shard, fence=fence, start_s=now, end_s=now)
    mesh.history.append(mesh.open[key])


def find_conflicts(history: list[Interval]) -> list[tuple[Interval, Interval]]:
    """Return pairs of intervals in which two nodes would serve one shard.

    A later interval with a lower fencing token counts as a conflict as well.
    """
    conflicts = []
    by_shard: dict[identity.ShardId, list[Interval]] = {}
    for interval in history:
        by_shard.setdefault(interval.shard, []).append(interval)
    for intervals in by_shard.values():
        intervals.sort(key=lambda interval: interval.start_s)
        for position, first in enumerate(intervals):
            for second in intervals[position + 1 :]:
                is_overlap = second.start_s <= first.end_s and first.node != second.node
                if is_overlap or second.fence < first.fence:
                    conflicts.append((first, second))
    return conflicts


def find_gaps(mesh: Mesh, since_s: float) -> dict[identity.ShardId, float]:
    """Return, by shard, the longest time after ``since_s`` in which no node served it."""
    now = trio.current_time()
    gaps = {}
    for shard in list_shards(mesh):
        covered = sorted(
            (interval.start_s, interval.end_s)
            for interval in mesh.history
            if interval.shard == shard and interval.end_s >= since_s
        )
        reached, longest = since_s, 0.0
        for start_s, end_s in covered:
            longest = max(longest, start_s - reached)
            reached = max(reached, end_s)
        gaps[shard] = max(longest, now - reached)
    return gaps


async def watch(mesh: Mesh, period_s: float) -> None:
    """Observe all nodes for a period."""
    end_s = trio.current_time() + period_s
    while trio.current_time() < end_s:
        observe(mesh)
        await trio.sleep(mesh.step_s)


def write_config(mesh: Mesh, version: int, shards: int) -> None:
    """Publish a configuration, whose body is the number of partitions."""
    name = f"digest{version}"
    mesh.store.bodies[name] = str(shards).encode()
    row = mesh.store.rows.get(ownership.HEAD_ROW, platform.Row())
    value = b'{"version":%d,"digest":"%s","author":"a","note":"n","at":"t"}' % (
        version,
        name.encode(),
    )
    mesh.store.rows[ownership.HEAD_ROW] = platform.Row(value=value, version=row.version + 1)
