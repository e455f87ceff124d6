"""A demo: a small mesh in one process on loopback, with toy targets and light traffic."""

import collections
import dataclasses
import functools
import json
import random
import socket
import sys

import h11
import msgspec
from returns import result
import trio

from ebonyvalve import errors
from ebonyvalve.connection import channel, wire
from ebonyvalve.process import (
    daemon,
    http,
    identity,
    lease,
    network,
    platform,
    settings,
    target,
    timer,
    toy,
)
from ebonyvalve.version import objects, publish

SERVICE = identity.ServiceId("bookings")
ZONES = ["zone-a", "zone-b", "zone-c"]
NODES = 6
PARTITIONS = 64
KEYS = 40
REQUEST_PAUSE_S = 0.02
READY_TIMEOUT_S = 10.0
PRINT_PERIOD_S = 2.0
# Below Linux's default for ip_local_port_range, above the ports of well-known services.
MIN_PORT = 10_000
MAX_PORT = 32_000

# A process takes its ports from blocks that no other process uses.
BLOCK_PORTS = 100
# The blocks of a process leave most of the range to others.
MAX_BLOCKS = 12

# Test libraries seed the random module's own generator, with which parallel processes would draw
# the same blocks.
_port_rng = random.SystemRandom()
# A block belongs to the process that has bound a datagram socket to its first port.
_blocks: list[socket.socket] = []
# The ports of the process's blocks, those that were picked longest ago first.
_ports: collections.deque[int] = collections.deque()
_picked_ports: set[int] = set()


@dataclasses.dataclass(kw_only=True)
class Mesh:
    """The nodes and targets of the demo, and the results of its requests.

    ``tokens`` holds the last one-time token by key, ``failures`` describes each wrong answer.
    """

    nodes: list[daemon.Node]
    targets: list[toy.Toy]
    target_addresses: list[identity.Address]
    store: platform.Platform
    tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    failures: list[str] = dataclasses.field(default_factory=list)
    answered: int = 0


def pick_addresses(count: int) -> list[identity.Address]:
    """Return loopback addresses with free ports, which no other process is given.

    The ports lie below the range from which the kernel takes those of outgoing connections. A port
    in that range might be taken before a process that starts slowly listens on it. A port is given
    out again only after all others of the process.

    :param count: number of addresses.
    """
    picked: list[identity.Address] = []
    while len(picked) < count:
        if (not _ports or _ports[0] in _picked_ports) and len(_blocks) < MAX_BLOCKS:
            _reserve_block()
        port = _ports.popleft()
        _ports.append(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _picked_ports.add(port)
        picked.append(identity.Address(f"127.0.0.1:{port}"))
    return picked


def _reserve_block() -> None:
    """Add the ports of a block that no process has reserved."""
    while True:
        first = _port_rng.randrange(MIN_PORT, MAX_PORT, BLOCK_PORTS)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(("127.0.0.1", first))
        except OSError:
            sock.close()
            continue
        _blocks.append(sock)
        _ports.extendleft(range(first + BLOCK_PORTS - 1, first - 1, -1))
        return


def build_settings(index: int) -> settings.Settings:
    """Return the settings of one node of the demo.

    :param index: the node's number, from 0.
    """
    caller, hop, peer, operator, announce, store = pick_addresses(6)
    return settings.Settings(
        node=identity.NodeId(f"vm-{index + 1}"),
        zone=identity.ZoneId(ZONES[index % len(ZONES)]),
        service=SERVICE,
        caller_address=caller,
        hop_address=hop,
        peer_address=peer,
        operator_address=operator,
        announce_address=announce,
        platform_address=store,
        slots=6,
    )


def build_environment(
    control: channel.Channel, store: platform.Platform, rng: random.Random
) -> daemon.Environment:
    """Return real sockets and clock for nodes that share a process on loopback.

    :param control: the control channel that they share.
    :param store: the platform.
    :param rng: their source of random numbers.
    """
    return daemon.Environment(
        connect_target=network.connect_tcp,
        connect_hop=network.connect_tcp,
        listen=network.listen_tcp,
        listen_private=network.listen_tcp,
        ask=control.ask,
        serve_control=control.serve,
        platform=store,
        clock=timer.read_boot_clock,
        random=rng,
    )


def build_mesh(control: channel.Channel) -> Mesh:
    """Assemble the nodes and targets of the demo.

    :param control: the control channel that the nodes share.
    """
    store = platform.open_memory(platform.Memory())
    environment = build_environment(control, store, random.Random())
    nodes = [daemon.assemble(build_settings(index), environment) for index in range(NODES)]
    return Mesh(
        nodes=nodes,
        targets=[
            toy.Toy(node=node.cfg.node, slots=6, clock=timer.read_boot_clock) for node in nodes
        ],
        target_addresses=pick_addresses(NODES),
        store=store,
    )


def list_objects() -> list[objects.AnyObject]:
    """Return the configuration of the demo."""
    zones = [objects.AvailabilityZone(name=identity.ZoneId(zone)) for zone in ZONES]
    service = objects.Service(
        name=SERVICE, slots=6, partitions=PARTITIONS, deadline_ms=1000, warm_up_s=1.0
    )
    return [service, *zones]


async def run(seconds: float | None) -> int:
    """Run the demo; return 0 if requests were answered and every answer was right, else 1.

    :param seconds: how long to run; ``None`` to run until cancelled.
    """
    async with channel.open_channel() as control:
        mesh = build_mesh(control)
        clock = mesh.nodes[0].timer
        with trio.move_on_after(float("inf") if seconds is None else seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timer.run, timer.Timer(clock=timer.read_boot_clock))
                await publish_objects(mesh.store, list_objects(), clock)
                for toy_target, address in zip(mesh.targets, mesh.target_addresses, strict=True):
                    serve = functools.partial(toy.serve, toy_target)
                    nursery.start_soon(network.listen_tcp, address, serve)
                for node in mesh.nodes:
                    nursery.start_soon(daemon.run, node)
                await _announce_all(mesh)
                await _wait_ready(mesh)
                first = mesh.nodes[0].cfg.caller_address
                print(f"try: curl -i http://{first}/{SERVICE}/room-1/slots", flush=True)
                nursery.start_soon(_print_forever, mesh)
                await _call_forever(mesh)
    print(f"{mesh.answered} requests answered, {len(mesh.failures)} wrong", flush=True)
    for line in mesh.failures[:10]:
        print(line, file=sys.stderr)
    return 0 if mesh.answered and not mesh.failures else 1


async def publish_objects(
    store: platform.Platform, entries: list[objects.AnyObject], clock: timer.Timer
) -> None:
    """Publish the first configuration.

    :param store: the platform.
    :param entries: the objects.
    :param clock: the timer service.
    :raises errors.InvariantError: if the configuration is refused.
    """
    request = publish.PublishRequest(
        body=objects.encode_body(objects.ObjectSet(objects=entries)),
        base=identity.ConfigVersion(0),
        author="demo",
        note="first configuration",
        at="2026-01-01T00:00:00Z",
        publication="demo",
    )
    published = await publish.publish(store, request, clock)
    if published.state is not publish.State.ACCEPTED:
        raise errors.InvariantError(f"the demo's configuration was not accepted: {published.cause}")


async def _announce_all(mesh: Mesh) -> None:
    for node, address in zip(mesh.nodes, mesh.target_addresses, strict=True):
        entry = target.Announcement(
            address=address, incarnation=identity.Incarnation("1"), slots=6, is_cold=False
        )
        body = msgspec.json.encode(entry)
        request = http.Request(method="PUT", path="/announce", body=body)
        while True:
            replied = await http.fetch(
                network.connect_tcp, node.cfg.announce_address, request, timeout_s=1.0
            )
            if isinstance(replied, result.Success):
                break
            await trio.sleep(0.05)


async def _wait_ready(mesh: Mesh) -> None:
    """Wait until every node knows an owner of every partition, at most :data:`READY_TIMEOUT_S`."""
    with trio.move_on_after(READY_TIMEOUT_S):
        for node in mesh.nodes:
            while _count_owned(node) < PARTITIONS:
                await node.here.changed.wait()


def _count_owned(node: daemon.Node) -> int:
    state = node.here.read_node()
    return sum(lease.find_owner(state, shard) is not None for shard in node.shards)


async def _print_forever(mesh: Mesh) -> None:
    while True:
        state = mesh.nodes[0].here.read_node()
        owned = collections.Counter(lease.find_owner(state, shard) for shard in state.routes)
        counts = " ".join(f"{node}:{count}" for node, count in sorted(owned.items(), key=str))
        print(f"term {state.term}, shards by owner: {counts}; {mesh.answered} answered", flush=True)
        await trio.sleep(PRINT_PERIOD_S)


async def _call_forever(mesh: Mesh) -> None:
    expected: collections.Counter[str] = collections.Counter()
    number = 0
    while True:
        number += 1
        key = f"salle-{number % KEYS}"
        address = mesh.nodes[number % NODES].cfg.caller_address
        if number % 4 == 0 and key in mesh.tokens:
            expected[key] += 1
            path = f"/{SERVICE}/{key}/book"
            answer = await call(address, "POST", path, b"me", token=mesh.tokens[key])
        else:
            answer = await call(address, "GET", f"/{SERVICE}/{key}/slots", b"")
        _check_answer(mesh, key, expected[key], answer)
        await trio.sleep(REQUEST_PAUSE_S)


def _check_answer(
    mesh: Mesh, key: str, count: int, answer: tuple[int, dict[str, str], bytes]
) -> None:
    status, headers, body = answer
    if "ebonyvalve-token" in headers:
        mesh.tokens[key] = headers["ebonyvalve-token"]
    if status == 200 and json.loads(body)["count"] == count:
        mesh.answered += 1
    else:
        mesh.failures.append(f"{key}: expected count {count}, got {status} {headers} {body!r}")


async def call(
    address: identity.Address, method: str, path: str, body: bytes, *, token: str | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP request on a new connection; return status, headers and body of the answer.

    Status 0 means that no complete answer came.

    :param address: where the node serves callers.
    :param method: the HTTP method.
    :param path: the request target.
    :param body: the request's body.
    :param token: the one-time token, for a method that is not idempotent.
    """
    conn = wire.open_client(await network.connect_tcp(address))
    try:
        headers = [("host", address), ("content-length", str(len(body)))]
        headers += [] if token is None else [("ebonyvalve-token", token)]
        head = h11.Request(method=method, target=path, headers=headers)
        await wire.send(conn, head, h11.Data(data=body), h11.EndOfMessage())
        return await read_answer(conn)
    finally:
        await wire.close(conn)


async def read_answer(conn: wire.Wire) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an answer; status 0 if it is incomplete.

    :param conn: the client's side of a connection on which a request was sent.
    """
    status, headers, body = 0, {}, b""
    while True:
        received = await wire.receive(conn)
        if isinstance(received, result.Failure):
            return 0, {}, b""
        event = received.unwrap()
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, headers, body
        else:
            return 0, {}, b""
