"""Assembles a node from its parts, and runs it as the program ``ebonyvalved``."""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import pathlib
import random
import secrets
import ssl
import sys

import defopt
from returns import result
import trio

import ebonyvalve
from ebonyvalve import errors
from ebonyvalve.connection import channel, pool
from ebonyvalve.process import (
    accounting,
    assignment,
    decision,
    handover,
    identity,
    lease,
    limit,
    message,
    metrics,
    monitor,
    network,
    operator,
    ownership,
    peer,
    platform,
    quarantine,
    remote,
    report,
    settings,
    signals,
    site,
    straggler,
    target,
    telemetry,
    timer,
    token_memory,
)
from ebonyvalve.request import exchange, front, handler, outcome, routing
from ebonyvalve.version import diagnostics, objects, placement, route

log = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 1.0
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
SWEEP_PERIOD_S = 0.1
IDLE_SWEEP_PERIOD_S = 1.0
# A graceful stop waits this long for requests in flight. Requests that run longer have passed their
# deadline.
STOP_GRACE_S = 60.0
# Other nodes learn from their next renewal that this node has left, and callers that keep a
# connection open from their next reply.
STOP_ANNOUNCE_S = 1.0
# A caller sends its request at once when its connection is accepted.
LAST_REQUESTS_S = 0.25
STOP_POLL_INTERVAL_S = 0.02
STORE_CHECK_TIMEOUT_S = 0.5
STORE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """What a node uses of its environment: real sockets, clock and platform, or those of a test.

    ``connect_target`` opens connections to the target, ``connect_hop`` to other nodes. ``listen``
    accepts connections of callers and of the target, ``listen_private`` those of other nodes and of
    operators. ``ask`` sends a control message to another node, and ``serve_control`` answers those
    of other nodes until cancelled.
    """

    connect_target: network.Connect
    connect_hop: network.Connect
    listen: network.Listen
    listen_private: network.Listen
    ask: peer.Ask
    serve_control: collections.abc.Callable[
        [peer.Handle, identity.Address], collections.abc.Awaitable[None]
    ]
    platform: platform.Platform
    clock: timer.Clock
    random: random.Random


@dataclasses.dataclass(kw_only=True)
class Node:
    """An assembled node.

    ``snapshot``, ``shards`` and ``place`` are derived from the configuration in force; ``snapshot``
    and ``place`` are ``None`` before the first one. ``place`` plans which shards are split, merged
    and moved. ``placing`` keeps the state of placement when the configuration changes.
    ``listeners`` holds the scopes of the listeners for callers and for other nodes, and
    ``connections`` those of the connections that they accepted.
    """

    cfg: settings.Settings
    timer: timer.Timer
    environment: Environment
    here: site.Site
    monitor: monitor.Monitor
    handler: handler.Handler
    caller_front: front.Front
    hop_front: front.Front
    metrics: metrics.Metrics
    owned: ownership.State | None = None
    snapshot: route.Snapshot | None = None
    shards: frozenset[identity.ShardId] = frozenset()
    place: assignment.PlaceShards | None = None
    placing: placement.State = dataclasses.field(default_factory=placement.State)
    listeners: set[trio.CancelScope] = dataclasses.field(default_factory=set)
    connections: set[trio.CancelScope] = dataclasses.field(default_factory=set)


def assemble(cfg: settings.Settings, environment: Environment) -> Node:
    """Build a node without starting it.

    :param cfg: its settings.
    :param environment: its sockets, clock and platform.
    """
    clock = timer.Timer(clock=environment.clock)
    node_metrics = metrics.build_metrics()
    environment = dataclasses.replace(
        environment,
        platform=metrics.observe_platform(node_metrics, environment.platform, environment.clock),
    )
    incarnation = identity.Incarnation(f"{environment.random.getrandbits(64):016x}")
    unowned = lease.Node(node=cfg.node, incarnation=incarnation)

    def read_node() -> lease.Node:
        return unowned if node.owned is None else node.owned.node

    here = site.Site(
        node=cfg.node,
        zone=cfg.zone,
        incarnation=incarnation,
        now=environment.clock,
        read_node=read_node,
        random=environment.random,
        target=target.Target(slots=cfg.slots),
        admission=limit.create(slots=cfg.slots, warm_up_s=0.0),
        account=accounting.Account(landmark_s=environment.clock()),
    )
    target_pool = pool.Pool(
        connect=environment.connect_target, now=environment.clock, max_connections=cfg.connections
    )
    request_handler = handler.Handler(
        here=here,
        snapshot=lambda: node.snapshot,
        target_pool=target_pool,
        hop_pool=pool.Pool(
            connect=environment.connect_hop, now=environment.clock, max_connections=cfg.connections
        ),
        log_answered_share=cfg.log_answered_share,
        observe=functools.partial(_count_request, node_metrics),
    )
    node = Node(
        cfg=cfg,
        timer=clock,
        environment=environment,
        here=here,
        monitor=monitor.Monitor(
            here=here,
            timer=clock,
            connect=environment.connect_target,
            drop_idle=functools.partial(pool.close_idle, target_pool),
        ),
        handler=request_handler,
        caller_front=_build_front(cfg, request_handler, environment.clock, is_hop=False),
        hop_front=_build_front(cfg, request_handler, environment.clock, is_hop=True),
        metrics=node_metrics,
    )
    node.owned = ownership.open_state(cfg.cell, _build_ports(node))
    return node


def _count_request(
    node_metrics: metrics.Metrics,
    call: exchange.Call,
    call_outcome: outcome.Outcome,
    seconds: float,
) -> None:
    # A request that arrived as a hop is counted at its origin.
    if not call.is_hop:
        metrics.count_request(
            node_metrics,
            call.service,
            verdict=call_outcome.verdict,
            reason=call_outcome.reason,
            seconds=seconds,
        )


def _count_heartbeat(node_metrics: metrics.Metrics, reply: peer.AskResult) -> None:
    if isinstance(reply, result.Failure):
        metrics.count_peer_failure(node_metrics, reply.failure())
        metrics.count_renewal(node_metrics, metrics.Renewal.UNANSWERED)
        return
    is_renewed = isinstance(reply.unwrap(), message.Renewal)
    metrics.count_renewal(
        node_metrics, metrics.Renewal.RENEWED if is_renewed else metrics.Renewal.REFUSED
    )


def _build_front(
    cfg: settings.Settings, request_handler: handler.Handler, clock: timer.Clock, *, is_hop: bool
) -> front.Front:
    def find_limits(name: identity.ServiceId) -> tuple[float, int]:
        snapshot = request_handler.snapshot()
        service = None if snapshot is None else snapshot.services.get(name)
        if service is None:
            return DEFAULT_DEADLINE_S, DEFAULT_MAX_BODY_BYTES
        return service.deadline_ms / 1000, service.max_body_bytes

    async def handle(call: exchange.Call, caller: exchange.Caller) -> outcome.Outcome:
        return await handler.handle(request_handler, call, caller)

    return front.Front(
        now=clock,
        handle=handle,
        find_limits=find_limits,
        is_hop=is_hop,
        max_connections=cfg.caller_connections,
    )


def _build_ports(node: Node) -> ownership.Ports:
    here = node.here

    def find_life(service: identity.ServiceId) -> float:
        return _find_service(node, service).token_life_s

    def describe_service(service: identity.ServiceId) -> ownership.ServiceTraits:
        config = _find_service(node, service)
        return ownership.ServiceTraits(
            checks_fence=config.checks_fence, deadline_s=config.deadline_ms / 1000
        )

    def place(view: assignment.PlacementView) -> assignment.Plan:
        if node.place is None:
            return assignment.Plan(split=[], merge=[], moves=[])
        return node.place(view)

    def find_parent(shard: identity.ShardId) -> identity.ShardId:
        service, _, key = identity.split_shard(shard)
        if key is None:
            return shard
        partition = route.find_partition(_find_service(node, service), key)
        return identity.name_partition(service, partition)

    def install_quarantine(entries: list[message.Quarantined]) -> None:
        quarantine.confirm(here.quarantined, entries)
        quarantine.import_entries(here.quarantined, entries, here.now())

    return ownership.Ports(
        ask=node.environment.ask,
        table=node.environment.platform.table,
        objects=node.environment.platform.objects,
        timer=node.timer,
        place=place,
        release=functools.partial(handover.release, here, node.timer),
        install=lambda moved: handover.install(here, moved, find_life),
        inherit=lambda source, recipient: handover.inherit(here, source, recipient, find_life),
        forget=functools.partial(handover.forget, here),
        cancel_requests=functools.partial(handover.cancel_requests, here),
        notify=functools.partial(site.notify, here),
        adopt_config=functools.partial(adopt_config, node),
        describe_member=functools.partial(describe_member, node),
        collect_loads=lambda: accounting.list_loads(here.account, here.now()),
        collect_hot_keys=lambda: accounting.list_hot_keys(here.account, here.now()),
        collect_new_quarantine=lambda: quarantine.export_unreported(here.quarantined, here.now()),
        install_quarantine=install_quarantine,
        list_shards=lambda: node.shards,
        describe_service=describe_service,
        find_parent=find_parent,
        observe_move=functools.partial(metrics.count_move, node.metrics),
        observe_heartbeat=functools.partial(_count_heartbeat, node.metrics),
    )


def _find_service(node: Node, service: identity.ServiceId) -> objects.Service:
    """Return a service of the configuration in force; one with default fields if it has none."""
    found = None if node.snapshot is None else node.snapshot.services.get(service)
    return objects.Service(name=service) if found is None else found


def adopt_config(node: Node, version: identity.ConfigVersion, body: bytes) -> None:
    """Apply a configuration to the node.

    :param node: the node.
    :param version: its version.
    :param body: its objects, as published.
    """
    decoded = objects.decode_body(body)
    entries = decoded.unwrap().objects
    node.snapshot = route.build_snapshot(version, entries)
    node.place = placement.build_place(node.snapshot, node.placing)
    metrics.set_services(node.metrics, node.snapshot.services)
    node.shards = frozenset(route.list_shards(node.snapshot))
    is_drained = route.is_drained(node.snapshot, node.cfg.node, node.cfg.zone)
    if not is_drained:
        node.here.drained_since_s = None
    elif node.here.drained_since_s is None:
        node.here.drained_since_s = node.here.now()
    service = _find_service(node, node.cfg.service)
    node.here.admission.warm_up_s = service.warm_up_s
    site.notify(node.here)


def describe_member(node: Node) -> message.Member:
    """Return what a heartbeat says about this node.

    :param node: the node.
    """
    cfg, here = node.cfg, node.here
    is_drained = node.snapshot is not None and route.is_drained(node.snapshot, cfg.node, cfg.zone)
    return message.Member(
        node=cfg.node,
        incarnation=here.incarnation,
        zone=cfg.zone,
        service=cfg.service,
        peer_address=cfg.peer_address,
        hop_address=cfg.hop_address,
        slots=here.target.slots,
        is_target_up=target.is_up(here.target),
        is_cold=here.admission.phase is limit.Phase.WARMING,
        is_leaving=here.is_stopping or is_drained,
    )


def _build_sources(node: Node, owned: ownership.State) -> operator.Sources:
    async def read_status() -> report.Status:
        with trio.move_on_after(STORE_CHECK_TIMEOUT_S):
            row = await node.environment.platform.table.read(ownership.HEAD_ROW)
            does_answer = isinstance(row, result.Success)
            return diagnostics.build_status(
                node.here, node.snapshot, owned, does_store_answer=does_answer
            )
        return diagnostics.build_status(node.here, node.snapshot, owned, does_store_answer=False)

    def choose_route(
        service: identity.ServiceId, key: identity.KeyId
    ) -> tuple[report.RouteKind, identity.NodeId | None, str]:
        config = _find_service(node, service)
        chosen = routing.choose(
            handler.build_view(node.here, key),
            service,
            shard=handler.find_shard(node.here, config, key),
        )
        return report.RouteKind(chosen.choice.value), chosen.node, chosen.reason.value

    return operator.Sources(
        list_obstacles=lambda: diagnostics.list_obstacles(node.here, node.snapshot),
        read_status=read_status,
        explain=lambda service, key: diagnostics.explain(
            node.here, node.snapshot, owned, service, key, choose_route
        ),
        render_metrics=functools.partial(metrics.render, node.metrics),
    )


async def run(node: Node) -> None:
    """Run a node until cancelled.

    :param node: an assembled node.
    :raises errors.InvariantError: if the node was not built by :func:`assemble`.
    """
    owned = node.owned
    if owned is None:
        raise errors.InvariantError(
            "the ownership state is not set; build the node with assemble()"
        )
    cfg, environment = node.cfg, node.environment
    serve_announcements = monitor.build_server(node.monitor)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, node.timer)
        nursery.start_soon(_sweep_pools, node)
        nursery.start_soon(_refresh_periodically, node, owned)
        nursery.start_soon(monitor.run, node.monitor)
        nursery.start_soon(
            environment.serve_control, functools.partial(ownership.handle, owned), cfg.peer_address
        )
        nursery.start_soon(environment.listen, cfg.announce_address, serve_announcements)
        serve_operators = operator.build_server(_build_sources(node, owned))
        nursery.start_soon(environment.listen_private, cfg.operator_address, serve_operators)
        nursery.start_soon(
            _listen, node, environment.listen_private, cfg.hop_address, node.hop_front
        )
        nursery.start_soon(_listen, node, environment.listen, cfg.caller_address, node.caller_front)
        nursery.start_soon(ownership.run, owned)


async def _listen(
    node: Node, listen: network.Listen, address: identity.Address, served: front.Front
) -> None:
    """Accept connections until cancelled, or until the node stops, which keeps those accepted."""

    async def serve(stream: trio.abc.Stream) -> None:
        with trio.CancelScope(shield=served.is_stopping) as scope:
            node.connections.add(scope)
            try:
                await front.serve(served, stream)
            finally:
                node.connections.discard(scope)

    with trio.CancelScope() as scope:
        node.listeners.add(scope)
        await listen(address, serve)


async def stop(node: Node) -> None:
    """Hand over the node's shards, then finish the requests of callers and of other nodes.

    Requests are taken until callers and nodes have been told to use other nodes, and each one that
    was taken is answered or refused. The wait ends after :data:`STOP_GRACE_S` seconds.

    :param node: a running node.
    """
    fronts = (node.caller_front, node.hop_front)
    node.here.is_stopping = True
    if node.owned is not None:
        await ownership.leave(node.owned)
    for served in fronts:
        front.announce_close(served)
    await timer.wait_until(node.timer, timer.now(node.timer) + STOP_ANNOUNCE_S)
    try:
        for connection in node.connections:
            connection.shield = True
        for listener in node.listeners:
            listener.cancel()
        await timer.wait_until(node.timer, timer.now(node.timer) + LAST_REQUESTS_S)
        with trio.move_on_after(STOP_GRACE_S):
            polls = timer.subscribe(node.timer, period_s=STOP_POLL_INTERVAL_S)
            while not all(front.is_quiet(served) for served in fronts):
                await timer.tick(node.timer, polls)
    finally:
        for connection in node.connections:
            connection.shield = False


async def _refresh_periodically(node: Node, owned: ownership.State) -> None:
    """Update the metrics and drop expired entries of the token memories, once a second."""
    subscription = timer.subscribe(node.timer, period_s=telemetry.PERIOD_S)
    last_s = timer.now(node.timer)
    while True:
        now_s = await timer.tick(node.timer, subscription)
        telemetry.refresh(node.metrics, node.here, owned, elapsed_s=now_s - last_s)
        for tokens in node.here.token_memories.values():
            token_memory.forget(tokens, now_s)
        last_s = now_s


async def _sweep_pools(node: Node) -> None:
    """Sweep the connection pools and drop expired quarantine entries, periodically."""
    pools = (node.handler.target_pool, node.handler.hop_pool)
    while True:
        # Every wake-up of an idle process costs CPU, so sweeps are rare without open connections.
        period_s = (
            SWEEP_PERIOD_S
            if any(connection_pool.connections for connection_pool in pools)
            else IDLE_SWEEP_PERIOD_S
        )
        now_s = timer.now(node.timer)
        await timer.wait_until(node.timer, now_s + period_s)
        quarantine.forget(node.here.quarantined, timer.now(node.timer))
        p99_s = straggler.read_quantile(node.here.latencies[node.cfg.service], 0.99)
        for connection_pool in pools:
            await pool.sweep(connection_pool, p99_s=p99_s)


@contextlib.asynccontextmanager
async def open_environment(cfg: settings.Settings) -> collections.abc.AsyncIterator[Environment]:
    """Yield real sockets, a client of the platform and the boot clock.

    :param cfg: the daemon's settings.
    """
    host, port = network.split_address(cfg.platform_address)
    connect, listen, client_tls, server_tls = _build_private_transport(cfg)
    async with (
        channel.open_channel(tls=client_tls) as control,
        remote.open_client(host=host, port=port, timeout_s=STORE_TIMEOUT_S) as store,
    ):
        yield Environment(
            connect_target=network.connect_tcp,
            connect_hop=connect,
            listen=network.listen_tcp,
            listen_private=listen,
            ask=control.ask,
            serve_control=functools.partial(control.serve, tls=server_tls),
            platform=store,
            clock=timer.read_boot_clock,
            random=random.Random(secrets.randbits(128)),
        )


def _build_private_transport(
    cfg: settings.Settings,
) -> tuple[network.Connect, network.Listen, ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return functions that connect to other nodes and listen on private ports, and TLS contexts.

    The contexts are the client's and the server's of the control channel. With ``tls`` in the
    settings, both sides of every connection present certificates (mutual TLS). Without it, the
    contexts are ``None`` and the functions use plain TCP.
    """
    if cfg.tls is None:
        return network.connect_tcp, network.listen_tcp, None, None
    files = channel.TlsFiles(
        certificate=cfg.tls.certificate, key=cfg.tls.key, authority=cfg.tls.authority
    )
    client_tls = channel.load_client_tls(files)
    server_tls = channel.load_server_tls(files)
    hop_files = (cfg.tls.certificate, cfg.tls.key, cfg.tls.authority)
    hop_client = network.build_context(*hop_files, is_server=False)
    # VMs are replaced at any time, so certificates need not name the addresses of their nodes.
    hop_client.check_hostname = False
    hop_server = network.build_context(*hop_files, is_server=True)
    return (
        network.build_tls_connect(hop_client),
        network.build_tls_listen(hop_server),
        client_tls,
        server_tls,
    )


async def run_program(cfg: settings.Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop gracefully.

    :param cfg: checked settings.
    """
    async with (
        signals.open_receiver() as received,
        open_environment(cfg) as environment,
        trio.open_nursery() as nursery,
    ):
        node = assemble(cfg, environment)
        nursery.start_soon(run, node)
        await received.stop.wait()
        await stop(node)
        decision.record(log, logging.INFO, "stopped")
        nursery.cancel_scope.cancel()


def serve(settings_file: pathlib.Path) -> int:
    """Run the daemon beside a target until SIGTERM, which stops it gracefully.

    :param settings_file: JSON file with the settings; see docs/configuration.md.
    """
    return_code = 0
    try:
        cfg = settings.load(settings_file)
        decision.configure(cfg.log_form, cfg.log_level)
        trio.run(run_program, cfg)
    except* errors.SettingsError as group:
        for exc in group.exceptions:
            print(exc, file=sys.stderr)
        return_code = 2
    return return_code


def main() -> None:
    """Run ``ebonyvalved`` and exit with its status."""
    if "--version" in sys.argv[1:]:
        print(f"ebonyvalved {ebonyvalve.__version__}")
        sys.exit(0)
    sys.exit(defopt.run(serve, argparse_kwargs={"prog": "ebonyvalved"}))


if __name__ == "__main__":
    main()
