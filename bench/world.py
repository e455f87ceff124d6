"""Simulates a mesh in one process: the real node code over an in-memory network and a mock clock.

The network, the table, the object store and the targets are small fakes into which faults are
injected; everything between them is the code that the daemon runs.
"""

import collections
import collections.abc
import dataclasses
import functools
import json
import random
import traceback

import h11
import msgspec
from returns import result
import trio
import trio.testing

from ebonyvalve.connection import wire
from ebonyvalve.process import (
    cell,
    daemon,
    demo,
    identity,
    lease,
    message,
    monitor,
    ownership,
    peer,
    platform,
    settings,
    target,
    timer,
    toy,
)
from ebonyvalve.version import objects, publish

Link = tuple[str, str]
CALLERS = "callers"
STORE = "store"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """The size of a deployment.

    ``between_zones_s`` and ``from_callers_s`` are round-trip times in seconds, between nodes of
    different zones and between a caller and a node. ``keyed`` names the services whose requests
    have keys, and ``slots`` is the concurrency of each target.
    """

    zones: list[str]
    # Instances of each service.
    instances: dict[str, int]
    keyed: frozenset[str]
    slots: int
    between_zones_s: float
    from_callers_s: float


ANDINAFLOTA = Shape(
    zones=["norte", "centro", "sur", "valle"],
    instances={"inventario": 6, "ordenes": 4, "paquetes": 4},
    keyed=frozenset({"inventario"}),
    slots=10,
    between_zones_s=0.0015,
    from_callers_s=0.001,
)
CHAMBRE_NOIRE = Shape(
    zones=["rimouski", "gaspe", "matane"],
    instances={"calendrier": 6, "reservations": 5, "archives": 3},
    keyed=frozenset({"calendrier"}),
    slots=6,
    between_zones_s=0.0005,
    from_callers_s=0.003,
)
# The smallest mesh with a coordinator, two standbys in other zones and an owner beside them.
SMALL = Shape(
    zones=["a", "b", "c"],
    instances={"calendrier": 4, "archives": 2},
    keyed=frozenset({"calendrier"}),
    slots=6,
    between_zones_s=0.0005,
    from_callers_s=0.001,
)


@dataclasses.dataclass(kw_only=True)
class Host:
    """One VM: a node and its local target.

    ``incarnation`` counts the starts of the node and of the target. ``scope`` cancels the running
    node. ``killed`` is set when the node is killed. ``resumed`` is present while the node is
    paused, and set when it resumes.
    """

    cfg: settings.Settings
    toy: toy.Toy
    node: daemon.Node | None = None
    scope: trio.CancelScope | None = None
    killed: trio.Event = dataclasses.field(default_factory=trio.Event)
    incarnation: int = 0
    resumed: trio.Event | None = None


@dataclasses.dataclass(kw_only=True)
class World:
    """The state of all fakes.

    ``cut_links`` holds one-way links that lose everything; their ends are node ids,
    :data:`CALLERS` and :data:`STORE`. ``listeners`` and ``handlers`` hold by address what serves
    connections and control messages, with the node.
    """

    shape: Shape
    random: random.Random
    nursery: trio.Nursery
    memory: platform.Memory = dataclasses.field(default_factory=platform.Memory)
    hosts: dict[identity.NodeId, Host] = dataclasses.field(default_factory=dict)
    cut_links: set[Link] = dataclasses.field(default_factory=set)
    listeners: dict[str, tuple[identity.NodeId, "Serve"]] = dataclasses.field(default_factory=dict)
    handlers: dict[str, tuple[identity.NodeId, peer.Handle]] = dataclasses.field(
        default_factory=dict
    )
    # (time, node, version) of every configuration that a node has put in force.
    adoptions: list[tuple[float, identity.NodeId, int]] = dataclasses.field(default_factory=list)
    # (time, version) of every publication that was accepted.
    published: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    # (node, traceback) of every node that ended by an exception.
    crashes: list[tuple[identity.NodeId, str]] = dataclasses.field(default_factory=list)
    # (shard, node, fencing token) of every assignment ever committed to the table.
    committed: set[tuple[str, str, int]] = dataclasses.field(default_factory=set)
    # Both ends of the connections opened since the last call of :func:`silence`.
    link_ends: list["LinkEnd"] = dataclasses.field(default_factory=list)
    # Control messages sent, replies included.
    messages: int = 0


Serve = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class LinkEnd:
    """The sending direction of one end of a connection; a silent one loses all data."""

    source: str
    destination: str
    is_silent: bool = False


def build_world(shape: Shape, seed: int, nursery: trio.Nursery) -> World:
    """Return a mesh whose nodes and targets are not started yet.

    :param shape: its size.
    :param seed: seeds every random choice.
    :param nursery: runs the tasks of nodes and connections.
    """
    world = World(shape=shape, random=random.Random(seed), nursery=nursery)
    number = 0
    for service, count in shape.instances.items():
        for _ in range(count):
            number += 1
            cfg = _build_settings(shape, service, number)
            world.hosts[cfg.node] = Host(
                cfg=cfg, toy=toy.Toy(node=cfg.node, slots=shape.slots, warm_up_s=1.0)
            )
    return world


def _build_settings(shape: Shape, service: str, number: int) -> settings.Settings:
    name = f"vm-{number}"
    return settings.Settings(
        node=identity.NodeId(name),
        zone=identity.ZoneId(shape.zones[number % len(shape.zones)]),
        service=identity.ServiceId(service),
        caller_address=identity.Address(f"{name}:caller"),
        hop_address=identity.Address(f"{name}:hop"),
        peer_address=identity.Address(f"{name}:peer"),
        operator_address=identity.Address(f"{name}:operator"),
        announce_address=identity.Address(f"{name}:announce"),
        platform_address=identity.Address("store:1"),
        slots=shape.slots,
    )


def list_objects(
    shape: Shape, *, drained: str | None = None, **fields: object
) -> list[objects.AnyObject]:
    """Return the configuration of a mesh.

    :param shape: its size.
    :param drained: the zone to drain, if any.
    :param fields: fields to set on every service.
    """
    defaults: dict[str, object] = {
        "slots": shape.slots,
        "partitions": 64,
        "deadline_ms": 1000,
        "warm_up_s": 1.0,
    }
    entries: list[objects.AnyObject] = [
        objects.Service(
            name=identity.ServiceId(service),
            is_keyed=service in shape.keyed,
            **{**defaults, **fields},  # type: ignore[arg-type]
        )
        for service in shape.instances
    ]
    entries += [objects.AvailabilityZone(name=identity.ZoneId(zone)) for zone in shape.zones]
    if drained is not None:
        entries.append(objects.DrainOrder(name="out", reason="test", zone=identity.ZoneId(drained)))
    return entries


async def publish_objects(
    world: World, entries: list[objects.AnyObject], *, author: str = "operator"
) -> publish.Published:
    """Publish a configuration; if it is accepted, record when.

    :param world: the mesh.
    :param entries: the objects.
    :param author: who publishes.
    """
    clock = timer.Timer(clock=trio.current_time)
    store = build_platform(world, "operator")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, clock)
        head = (await publish.read_head(store.table)).value_or(None)
        request = publish.PublishRequest(
            body=objects.encode_body(objects.ObjectSet(objects=entries)),
            base=identity.ConfigVersion(0) if head is None else publish.find_version(head),
            author=author,
            note="test",
            at="2026-01-01T00:00:00Z",
            publication=f"{world.random.getrandbits(64):016x}",
        )
        published = await publish.publish(store, request, clock)
        nursery.cancel_scope.cancel()
    if published.state is publish.State.ACCEPTED:
        world.published.append((trio.current_time(), published.version))
    return published


def build_platform(world: World, source: str) -> platform.Platform:
    """Return the table and the object store as one process uses them.

    Each call takes 1 ms; over a cut link it fails after 1 s.

    :param world: the mesh.
    :param source: node id of the process, or another name for one outside the mesh.
    """
    inner = platform.open_memory(world.memory)

    def guard(call: collections.abc.Callable[..., collections.abc.Awaitable[object]], loss: object):  # type: ignore[no-untyped-def]
        """Return a function that makes a call, and returns ``loss`` if a link is cut."""

        async def run(*args: object) -> object:
            await wait_resumed(world, source)
            await trio.sleep(0.001)
            if (source, STORE) in world.cut_links:
                await trio.sleep(1.0)
                return loss
            answer = await call(*args)
            if (STORE, source) in world.cut_links:
                await trio.sleep(1.0)
                return loss
            await wait_resumed(world, source)
            return answer

        return run

    async def commit(expected: platform.Expected, writes: platform.Writes) -> platform.CommitState:
        state = await inner.table.commit(expected, writes)
        _record_committed(world, writes)
        return state

    unavailable = result.Failure(platform.StoreFailure.UNAVAILABLE)
    return platform.Platform(
        table=platform.Table(
            read=guard(inner.table.read, unavailable),
            scan=guard(inner.table.scan, unavailable),
            commit=guard(commit, platform.CommitState.UNKNOWN),
        ),
        objects=platform.ObjectStore(
            get=guard(inner.objects.get, unavailable), put=guard(inner.objects.put, unavailable)
        ),
    )


def _record_committed(world: World, writes: platform.Writes) -> None:
    for name in writes:
        kind, _, service = name.partition("/")
        value = world.memory.rows.get(name, platform.Row()).value
        if kind == "page" and value:
            service = service.rpartition("/")[0]
            for entry in msgspec.json.decode(value, type=cell.PageRow).entries:
                shard = identity.name_partition(identity.ServiceId(service), entry.partition)
                world.committed.add((shard, entry.owner, entry.fence))
        elif kind == "hot" and value:
            for hot in msgspec.json.decode(value, type=cell.HotRow).entries:
                shard = identity.name_key(identity.ServiceId(service), hot.key)
                world.committed.add((shard, hot.owner, hot.fence))


async def wait_resumed(world: World, name: str) -> None:
    """Wait while a process is paused; work that it has begun continues when it resumes.

    :param world: the mesh.
    :param name: node id of the process; any other name returns at once.
    """
    host = world.hosts.get(identity.NodeId(name))
    while host is not None and host.resumed is not None:
        # A paused process cannot notice a cancellation before it has resumed.
        with trio.CancelScope(shield=True):
            await host.resumed.wait()


def find_latency(world: World, source: str, destination: str) -> float:
    """Return the one-way latency in seconds between two processes.

    :param world: the mesh.
    :param source: a node id or :data:`CALLERS`.
    :param destination: a node id or :data:`CALLERS`.
    """
    if CALLERS in (source, destination):
        return world.shape.from_callers_s / 2
    source_zone = world.hosts[identity.NodeId(source)].cfg.zone
    destination_zone = world.hosts[identity.NodeId(destination)].cfg.zone
    return 0.00005 if source_zone == destination_zone else world.shape.between_zones_s / 2


class LinkStream(trio.abc.HalfCloseableStream):
    """A stream over the in-memory network; trio requires a class."""

    def __init__(self, *, world: World, link: LinkEnd, inner: trio.StapledStream) -> None:  # type: ignore[type-arg]
        self.world = world
        self.link = link
        self.inner = inner

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Deliver data after the latency; over a cut link, lose it and all later data."""
        await wait_resumed(self.world, self.link.source)
        if (self.link.source, self.link.destination) in self.world.cut_links:
            self.link.is_silent = True
        await trio.sleep(find_latency(self.world, self.link.source, self.link.destination))
        if not self.link.is_silent:
            await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, as the in-memory stream has no send buffer limit."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received data, as soon as the receiving process is not paused."""
        data = await self.inner.receive_some(max_bytes)
        await wait_resumed(self.world, self.link.source)
        return bytes(data)

    async def send_eof(self) -> None:
        """End the sending direction."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection; over a cut or silent link, the other end gets no notice."""
        link = (self.link.source, self.link.destination)
        if link in self.world.cut_links or self.link.is_silent:
            await trio.lowlevel.checkpoint()
            return
        await self.inner.aclose()


def open_pair(world: World, source: str, destination: str) -> tuple[LinkStream, LinkStream]:
    """Return both ends of a new connection.

    :param world: the mesh.
    :param source: the process that connects.
    :param destination: the process that accepts.
    """
    near, far = trio.testing.memory_stream_pair()
    forward = LinkEnd(source=source, destination=destination)
    backward = LinkEnd(source=destination, destination=source)
    world.link_ends += [forward, backward]
    return (
        LinkStream(world=world, link=forward, inner=near),
        LinkStream(world=world, link=backward, inner=far),
    )


async def connect(world: World, source: str, address: str) -> trio.abc.Stream:
    """Open a connection over the in-memory network.

    Never returns if the link is cut in either direction.

    :param world: the mesh.
    :param source: the process that connects.
    :param address: a listener's address.
    :raises OSError: when nothing listens there or the target is down.
    """
    await wait_resumed(world, source)
    owner = address.split(":")[0]
    await trio.sleep(2 * find_latency(world, source, owner))
    if (source, owner) in world.cut_links or (owner, source) in world.cut_links:
        await trio.sleep_forever()
    listener = world.listeners.get(address)
    is_target = address.endswith(":target")
    if listener is None or (is_target and world.hosts[listener[0]].toy.state is toy.ToyState.DOWN):
        raise OSError(f"{address} refuses the connection")
    near, far = open_pair(world, source, owner)
    host = world.hosts[listener[0]]
    # A target keeps its connections when its node is killed.
    killed = trio.Event() if is_target else host.killed
    world.nursery.start_soon(_serve_until, killed, listener[1], far)
    return near


async def _serve_until(killed: trio.Event, serve: Serve, stream: LinkStream) -> None:
    """Serve a connection until it ends or its process is killed, then close it."""
    async with trio.open_nursery() as nursery:

        async def run() -> None:
            await serve(stream)
            nursery.cancel_scope.cancel()

        nursery.start_soon(run)
        await killed.wait()
        nursery.cancel_scope.cancel()
    await trio.aclose_forcefully(stream)


async def listen(
    world: World, node: identity.NodeId, address: identity.Address, serve: Serve
) -> None:
    """Accept connections until cancelled.

    :param world: the mesh.
    :param node: the process that listens.
    :param address: the address to listen on.
    :param serve: called for each connection.
    """
    world.listeners[address] = (node, serve)
    try:
        await trio.sleep_forever()
    finally:
        if world.listeners.get(address) == (node, serve):
            del world.listeners[address]


def build_environment(world: World, node: identity.NodeId) -> daemon.Environment:
    """Return the network, the platform, the clock and the random numbers of one node.

    :param world: the mesh.
    :param node: the node.
    """

    async def ask(
        address: identity.Address, request: message.Message, timeout_s: float
    ) -> peer.AskResult:
        with trio.move_on_after(timeout_s):
            return await _exchange_control(world, node, address, request)
        return result.Failure(peer.PeerFailure.TIMEOUT)

    async def serve_control(handle: peer.Handle, address: identity.Address) -> None:
        world.handlers[address] = (node, handle)
        try:
            await trio.sleep_forever()
        finally:
            if world.handlers.get(address) == (node, handle):
                del world.handlers[address]

    listen_here = functools.partial(listen, world, node)
    return daemon.Environment(
        connect_target=functools.partial(connect, world, node),
        connect_hop=functools.partial(connect, world, node),
        listen=listen_here,
        listen_private=listen_here,
        ask=ask,
        serve_control=serve_control,
        platform=build_platform(world, node),
        clock=trio.current_time,
        random=random.Random(world.random.getrandbits(64)),
    )


async def _exchange_control(
    world: World, source: identity.NodeId, address: identity.Address, request: message.Message
) -> peer.AskResult:
    """Carry a control request and its reply; a cut direction loses one or the other."""
    await wait_resumed(world, source)
    destination = address.split(":")[0]
    world.messages += 2
    await trio.sleep(find_latency(world, source, destination))
    if (source, destination) in world.cut_links:
        await trio.sleep_forever()
    handler = world.handlers.get(address)
    if handler is None:
        return result.Failure(peer.PeerFailure.REFUSED)
    replies: list[message.Message] = []
    answered = trio.Event()

    async def answer() -> None:
        # The handler continues even after the requester has timed out.
        await wait_resumed(world, destination)
        if world.handlers.get(address) is not handler:
            return
        try:
            replies.append(await handler[1](request))
            answered.set()
        except Exception as exc:
            _record_crash(world, world.hosts[handler[0]], exc)

    world.nursery.start_soon(answer)
    await answered.wait()
    await wait_resumed(world, destination)
    await trio.sleep(find_latency(world, destination, source))
    if (destination, source) in world.cut_links:
        await trio.sleep_forever()
    await wait_resumed(world, source)
    return result.Success(replies[0])


async def start(world: World, entries: list[objects.AnyObject]) -> None:
    """Publish a configuration, start every VM and wait until all shards are served.

    :param world: the mesh.
    :param entries: the objects.
    """
    await publish_objects(world, entries)
    for host in world.hosts.values():
        start_target(world, host)
        await start_node(world, host)
    with trio.fail_after(30):
        # Polling costs nothing on a mock clock.
        while not is_converged(world):  # noqa: ASYNC110
            await trio.sleep(0.01)


def start_target(world: World, host: Host) -> None:
    """Start the target of a VM, cold, so that it accepts connections.

    :param world: the mesh.
    :param host: the VM.
    """
    address = f"{host.cfg.node}:target"
    world.listeners[address] = (host.cfg.node, functools.partial(toy.serve, host.toy))
    if host.toy.state is toy.ToyState.DOWN:
        host.toy.state = toy.ToyState.UP
    toy.make_cold(host.toy)


async def start_node(world: World, host: Host) -> None:
    """Start the node of a VM and announce its target to it.

    :param world: the mesh.
    :param host: the VM.
    """
    host.incarnation += 1
    node = daemon.assemble(host.cfg, build_environment(world, host.cfg.node))
    host.node = node
    _record_adoptions(world, node)
    scope = host.scope = trio.CancelScope()
    host.killed = trio.Event()

    async def run() -> None:
        with scope:
            try:
                await daemon.run(node)
            except Exception as exc:
                _record_crash(world, host, exc)

    world.nursery.start_soon(run)
    await announce(world, host)


def _record_crash(world: World, host: Host, exc: Exception) -> None:
    """Record an exception that ended a node, and kill the node as the program would exit."""
    world.crashes.append((host.cfg.node, "".join(traceback.format_exception(exc))))
    kill_node(world, host)


def _record_adoptions(world: World, node: daemon.Node) -> None:
    owned = node.owned
    if owned is None:
        return
    adopt = owned.ports.adopt_config

    def adopt_and_record(version: identity.ConfigVersion, body: bytes) -> None:
        adopt(version, body)
        # A restarted node may begin at an older version, so each incarnation has a name of its own.
        name = identity.NodeId(f"{node.cfg.node}-{node.here.incarnation}")
        world.adoptions.append((trio.current_time(), name, version))

    owned.ports = dataclasses.replace(owned.ports, adopt_config=adopt_and_record)


async def announce(world: World, host: Host) -> None:
    """Announce the target of a VM to its node, if that is running.

    :param world: the mesh.
    :param host: the VM.
    """
    if host.node is None:
        return
    announcement = target.Announcement(
        address=identity.Address(f"{host.cfg.node}:target"),
        incarnation=identity.Incarnation(f"{host.cfg.node}-{host.incarnation}"),
        slots=host.toy.slots,
        is_cold=False,
    )
    await monitor.take_announcement(host.node.monitor, announcement)


def kill_node(world: World, host: Host) -> None:
    """Kill the node of a VM.

    :param world: the mesh.
    :param host: the VM.
    """
    if host.scope is not None:
        host.scope.cancel()
    host.killed.set()
    host.node = None
    if host.resumed is not None:
        resume_node(host)


def kill_target(world: World, host: Host) -> None:
    """Kill the target of a VM; its connections break.

    :param world: the mesh.
    :param host: the VM.
    """
    world.listeners.pop(f"{host.cfg.node}:target", None)
    toy.freeze(host.toy)
    host.toy.state = toy.ToyState.DOWN
    host.toy.thawed.set()


def pause_node(host: Host) -> None:
    """Pause a node, as a suspended process.

    :param host: the VM.
    """
    host.resumed = trio.Event()


def resume_node(host: Host) -> None:
    """Resume a paused node.

    :param host: the VM.
    """
    if host.resumed is not None:
        host.resumed.set()
        host.resumed = None


def silence(world: World, share: float) -> None:
    """Make a random share of the open connections lose all later data.

    :param world: the mesh.
    :param share: probability for each direction of a connection, 0 to 1.
    """
    for link in world.link_ends:
        if world.random.random() < share:
            link.is_silent = True
    world.link_ends.clear()


def find_coordinator(world: World) -> identity.NodeId | None:
    """Return the acting coordinator with the highest term, if there is one.

    :param world: the mesh.
    """
    acting = [
        (host.node.owned.node.term, host.cfg.node)
        for host in world.hosts.values()
        if host.node is not None and host.node.owned is not None and host.node.owned.leadership
    ]
    return max(acting)[1] if acting else None


def is_converged(world: World) -> bool:
    """Return whether every running node knows an owner of every shard, and the owners serve them.

    :param world: the mesh.
    """
    nodes = [host.node for host in world.hosts.values() if host.node is not None]
    return all(_is_node_converged(world, node) for node in nodes)


def _is_node_converged(world: World, node: daemon.Node) -> bool:
    if node.snapshot is None or not lease.is_live(node.here.read_node(), trio.current_time()):
        return False
    state = node.here.read_node()
    for shard in node.shards:
        owner = lease.find_owner(state, shard)
        host = None if owner is None else world.hosts.get(owner)
        if host is None or host.node is None:
            return False
        holding = host.node.here.read_node().holdings.get(shard)
        if holding is None or holding.state is not lease.HoldingState.SERVING:
            return False
    return True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller received. Status 0 means that it got no complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Return the value of the outcome header, or an empty string."""
        return self.headers.get("ebonyvalve-outcome", "")


async def call(
    world: World,
    node: identity.NodeId,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request as a caller and return the answer.

    :param world: the mesh.
    :param node: the node that the caller connects to.
    :param method: the HTTP method.
    :param path: the request target.
    :param body: the whole body.
    :param headers: headers to add.
    :param timeout_s: seconds after which the caller gives up.
    """
    with trio.move_on_after(timeout_s):
        try:
            stream = await connect(world, CALLERS, f"{node}:caller")
        except OSError:
            return Answer(status=0, headers={}, body=b"")
        conn = wire.open_client(stream)
        try:
            pairs = [("host", "x"), ("content-length", str(len(body))), *(headers or {}).items()]
            head = h11.Request(method=method, target=path, headers=pairs)
            await wire.send(conn, head, h11.Data(data=body), h11.EndOfMessage())
            status, answer_headers, answer_body = await demo.read_answer(conn)
            return Answer(status=status, headers=answer_headers, body=answer_body)
        finally:
            with trio.CancelScope(shield=True):
                await wire.close(conn)
    return Answer(status=0, headers={}, body=b"")


def read_body(answer: Answer) -> dict[str, object]:
    """Return the JSON body of a toy target's answer.

    :param answer: an answer with status 200.
    """
    decoded: dict[str, object] = json.loads(answer.body)
    return decoded


def count_owned(world: World) -> collections.Counter[identity.NodeId]:
    """Return the number of shards that each running node holds.

    :param world: the mesh.
    """
    owned: collections.Counter[identity.NodeId] = collections.Counter()
    for host in world.hosts.values():
        if host.node is not None:
            owned[host.cfg.node] = len(host.node.here.read_node().holdings)
    return owned


def read_leadership(world: World) -> ownership.Leadership | None:
    """Return the state that the acting coordinator keeps as such, if there is one.

    :param world: the mesh.
    """
    name = find_coordinator(world)
    host = None if name is None else world.hosts[name]
    if host is None or host.node is None or host.node.owned is None:
        return None
    return host.node.owned.leadership
