"""Runs daemons with targets on in-memory streams and a mock clock, without a store."""

import collections.abc
import dataclasses
import functools
import math
import random

import h11
import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve.platform import daemon, operator, sockets
from ebonyvalve.process import http, identity, member, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.process.store import table
from ebonyvalve.request import buffering, delivery, front
from tests import places

HOST = "shop.example"
KEYED = "lookup"
SERVICES = {"a": KEYED, "b": "orders", "c": "orders", "d": "spare"}
# Larger than the reply buffer, so that the caller gets the beginning before the reply is complete.
LARGE_BYTES = buffering.MAX_BUFFERED_BYTES + 20_000
# How much of a large answer the target sends first; it fills the buffer too.
LARGE_PART_BYTES = buffering.MAX_BUFFERED_BYTES + 10_000
WORK_S = 0.5
# Time-out of the routes with the prefix ``/brief/``: between the two parts of an answer.
BRIEF_S = 1.6 * WORK_S
# Work times by kind of request, if they differ from ``WORK_S``.
WORK_TIMES_S = {
    "fast": 0.0,
    "soon": 0.5 * WORK_S,
    "last": BRIEF_S - 0.01,
    "chunks": BRIEF_S - 0.01,
    "late": 2.0 * WORK_S,
}
# Times between the two parts of an answer.
PART_TIMES_S = {
    "halves": WORK_S,
    "cut": WORK_S,
    "large": WORK_S,
    "large-cut": WORK_S,
    "large-last": BRIEF_S - 0.01 - WORK_S,
}
LARGE_KINDS = frozenset({"large", "large-cut", "large-last"})
# The connection ends after the first part, the first time that the request runs.
CUT_KINDS = frozenset({"cut", "large-cut"})


WriteHook = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class World:
    """The nodes by name, and the requests that each target has run.

    ``nurseries`` run the nodes and their connections; cancelling one ends the process of its node.
    ``write_hooks`` are called after each write to a connection that was opened to an address.
    """

    nursery: trio.Nursery
    nurseries: dict[str, trio.Nursery] = dataclasses.field(default_factory=dict)
    write_hooks: dict[str, WriteHook] = dataclasses.field(default_factory=dict)
    daemons: dict[str, daemon.Daemon] = dataclasses.field(default_factory=dict)
    ran: dict[str, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Client:
    """A keep-alive connection of a caller."""

    stream: trio.abc.Stream
    http: h11.Connection = dataclasses.field(default_factory=lambda: h11.Connection(h11.CLIENT))


def build_config(
    version: int,
    *,
    routes: collections.abc.Mapping[str, object] | None = None,
    services: collections.abc.Mapping[str, object] | None = None,
    limits: collections.abc.Mapping[str, object] | None = None,
    **fields: object,
) -> bytes:
    """Encode a configuration with changes.

    ``routes`` has fields of routes by prefix and ``services`` those of services by name; ``None``
    in place of the fields removes one. ``limits`` has fields of the limits, and ``fields`` those of
    all routes.
    """
    all_routes: dict[str, dict[str, object]] = {
        "/brief/": {"backend": "orders", "type": "idempotent", "timeout_s": BRIEF_S},
        "/lookup/": {"backend": KEYED, "type": "idempotent"},
        "/orders/": {"backend": "orders", "type": "non_idempotent"},
        "/reads/": {"backend": "orders", "type": "idempotent"},
    }
    all_services: dict[str, dict[str, object]] = {
        name: {"sharded": name == KEYED, "max_conns": 130} for name in SERVICES.values()
    }
    resources = []
    for kind, known, changes in (
        ("routes", all_routes, routes or {}),
        ("services", all_services, services or {}),
    ):
        for name, change in changes.items():
            if change is None:
                del known[name]
            else:
                assert isinstance(change, dict)
                known[name] = {**known.get(name, {"type": "idempotent"}), **change}
        for name, spec in known.items():
            if kind == "routes":
                common = {"hostname": HOST, "prefix": name, "timeout_s": 3.0, "attempts": 2}
                spec = {**common, **spec, **fields}
            resources.append({"res_type": kind, "metadata": {"name": name}, "spec": spec})
    all_limits = {
        "max_header_bytes": 8192,
        "max_body_bytes": 20_000,
        "header_timeout_s": 3.0,
        "idle_timeout_s": 6.0,
        **(limits or {}),
    }
    resources.append({"res_type": "limits", "metadata": {}, "spec": all_limits})
    return msgspec.json.encode({"version": f"{version:08x}", "resources": resources})


def apply_config(running: daemon.Daemon, config: bytes, version: int) -> None:
    """Apply a configuration at a node, as if the store had sent it."""
    name = table.Name(table=operator.OPERATOR_TABLE, key=operator.CONFIG_KEY)
    row = table.Row(name=name, value=config, version=version, is_removed=False)
    rows = table.Rows(rows=(row,), version=version, clock=None)
    operator.apply(running.node, running.origin.current, rows, is_whole=False)
    assert running.node.refusal_reasons == ()


async def serve_target(world: World, name: str, stream: trio.abc.Stream) -> None:
    """Answer requests; the last part of the path says how."""
    protocol = h11.Connection(h11.SERVER)
    try:
        while True:
            head, body = await http.receive_message(stream, protocol)
            if not isinstance(head, h11.Request):
                return
            headers = {key.decode(): value.decode() for key, value in head.headers}
            request_id = headers["x-attempt-id"]
            world.ran[name].append(request_id)
            kind = head.target.decode().rpartition("/")[2]
            if kind != "fast":
                await trio.sleep(WORK_TIMES_S.get(kind, WORK_S))
            is_first_run = sum(ids.count(request_id) for ids in world.ran.values()) == 1
            if kind == "break" and is_first_run:
                return
            content = (
                b"x" * LARGE_BYTES if kind in LARGE_KINDS else b"%s %d" % (name.encode(), len(body))
            )
            length = ("content-length", str(len(content)))
            chunked = ("transfer-encoding", "chunked")
            reply = h11.Response(
                status_code=200,
                headers=[
                    chunked if kind == "chunks" else length,
                    ("x-attempt-id", request_id),
                    ("x-response-seal", "seal"),
                ],
            )
            if kind in PART_TIMES_S:
                size = LARGE_PART_BYTES if kind in LARGE_KINDS else 1
                part = h11.Data(data=content[:size])
                await stream.send_all((protocol.send(reply) or b"") + (protocol.send(part) or b""))
                if kind in CUT_KINDS and is_first_run:
                    return
                await trio.sleep(PART_TIMES_S[kind])
                parts = [h11.Data(data=content[size:]), h11.EndOfMessage()]
                await stream.send_all(b"".join(protocol.send(part) or b"" for part in parts))
            else:
                await http.send_message(stream, protocol, reply, content)
            protocol.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        # The node closed the connection.
        return
    finally:
        await trio.aclose_forcefully(stream)


async def run_node(
    running: daemon.Daemon, *, task_status: trio.TaskStatus[trio.Nursery] = trio.TASK_STATUS_IGNORED
) -> None:
    """Run what the process of a node runs, except for its listeners."""
    async with trio.open_nursery() as nursery:
        running.callers.nursery = nursery
        nursery.start_soon(timer.run, running.timer)
        nursery.start_soon(delivery.run_queue, running.origin.delivery)
        nursery.start_soon(daemon.sweep, running)
        task_status.started(nursery)


async def open_world(nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch) -> World:
    """Start the nodes of ``SERVICES`` with a target each, in one configuration."""
    world = World(nursery=nursery)
    monkeypatch.setattr(sockets, "connect", functools.partial(connect, world))
    monkeypatch.setattr(timer, "read_boot_clock", trio.current_time)
    # The queue is also checked whenever a request ends.
    monkeypatch.setattr(delivery, "QUEUE_CHECK_INTERVAL_S", daemon.SWEEP_INTERVAL_S)
    address = "10.0.0.1:1"
    for name, service in SERVICES.items():
        place = places.build_place(name, service, address, heartbeat_s=1.0, store=address)
        place = dataclasses.replace(place, target_address=identity.Address(f"target-{name}:1"))
        world.ran[name] = []
        running = world.daemons[name] = daemon.build(place)
        apply_config(running, build_config(1), 1)
        running.node.is_informed = True
        lifetime = identity.Lifetime(f"i-{name}@1")
        target = node_module.Target(
            lifetime=lifetime,
            started_at_ms=1,
            slots=2,
            state=member.TargetState.READY,
            reported_at=0.0,
            # The keys of its ledger count as granted, and its first report is never overdue.
            is_assumed=True,
        )
        running.node.started_at = math.inf
        running.node.draw = random.Random(name).random
        node_module.set_target(running.node, target, 0.0)
        world.nurseries[name] = await nursery.start(run_node, running)
    span = ledger.Span(first=0, last=identity.LAST_KEY_SLOT, fence=1, node="a", holder="i-a@1")
    versioned = node_module.VersionedLedger(ledger=ledger.Ledger(spans=(span,)), version=1)
    for running in world.daemons.values():
        running.node.ledgers[identity.ServiceId(KEYED)] = versioned
        for name, service in SERVICES.items():
            running.node.members[identity.NodeId(name)] = member.Member(
                node=identity.NodeId(name),
                address=identity.Address(f"peers-{name}:1"),
                zone=identity.ZoneId("z1"),
                service=identity.ServiceId(service),
                lifetime=identity.Lifetime(f"i-{name}@1"),
                slots=2,
                state=member.TargetState.READY,
            )
    # The nodes apply limits periodically.
    await trio.sleep(2 * daemon.SWEEP_INTERVAL_S)
    return world


def end_node(world: World, name: str) -> None:
    """End the process of a node, and remove it from the members that the others know."""
    world.nurseries[name].cancel_scope.cancel()
    # Its connections in the pools of the others can't be seen to be closed, as they are no sockets.
    for running in world.daemons.values():
        running.node.members.pop(identity.NodeId(name), None)


def set_granted(running: daemon.Daemon, *, is_granted: bool) -> None:
    """Set whether a node's target has the keys that the ledger assigns to it."""
    target = running.node.target
    assert target is not None
    running.node.target = dataclasses.replace(
        target, is_assumed=is_granted, reported_at=trio.current_time()
    )
    node_module.notify_changed(running.node)


async def connect(world: World, address: str) -> trio.abc.Stream:
    """Open a connection to the callers' or the peers' address of a node, or to its target."""
    kind, _, name = address.removesuffix(":1").partition("-")
    near, far = trio.testing.memory_stream_pair()
    if kind == "target":
        world.nursery.start_soon(serve_target, world, name, far)
    elif name not in world.daemons or world.nurseries[name].cancel_scope.cancel_called:
        raise OSError("nobody listens")
    else:
        running = world.daemons[name]
        listener = running.peers if kind == "peers" else running.callers
        hook = world.write_hooks.get(address.removesuffix(":1"))
        if hook is not None:
            add_write_hook(far.send_stream, hook)
        world.nurseries[name].start_soon(front.serve, listener, far)
    return near


def add_write_hook(stream: trio.testing.MemorySendStream, hook: WriteHook) -> None:
    """Call a function after each write to a stream of a pair."""
    deliver = stream.send_all_hook
    assert deliver is not None

    async def run() -> None:
        await deliver()
        await hook()

    stream.send_all_hook = run


async def open_client(world: World, name: str) -> Client:
    return Client(stream=await connect(world, f"callers-{name}"))


def build_head(client: Client, path: str, request_id: str, *, body: str = "") -> bytes:
    """Return the head of a request; ``body`` is the header that announces a body."""
    method = "POST" if path.startswith("/orders/") else "GET"
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", f"x-attempt-id: {request_id}"]
    lines += ["x-shard-key: 7", body or "content-length: 0"]
    # h11 only parses the answer; the bytes of the request are written by the test.
    client.http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
    client.http.send(h11.EndOfMessage())
    return "\r\n".join([*lines, "", ""]).encode()


async def receive(client: Client) -> tuple[int, bytes]:
    """Return status and body of the answer, or 0 if the connection ended before its end."""
    status, body = 0, b""
    while True:
        try:
            event = client.http.next_event()
        except h11.RemoteProtocolError:
            return 0, body
        if event is h11.NEED_DATA:
            try:
                client.http.receive_data(bytes(await client.stream.receive_some()))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return 0, body
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            if client.http.our_state is h11.DONE and client.http.their_state is h11.DONE:
                client.http.start_next_cycle()
            return status, body
        elif not isinstance(event, h11.InformationalResponse):
            return 0, body


def find_ran(world: World, request_id: str) -> bytes:
    """Return the name of the node whose target has run a request."""
    return next(name for name, ids in world.ran.items() if request_id in ids).encode()
