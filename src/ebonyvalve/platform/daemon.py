"""The daemon on the users' platform: connects the core modules to the platform's interfaces."""

import collections.abc
import dataclasses
import functools
import logging
import os
import pathlib
import random
import secrets
import sys

from returns import result
import trio

from ebonyvalve import errors
from ebonyvalve.connection import message, pool
from ebonyvalve.platform import (
    dialect,
    gossip,
    operator,
    quotas,
    reload,
    reports,
    settings,
    sockets,
    store,
)
from ebonyvalve.process import budget, decision, http, identity, memory, network, signals, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process import place as place_module
from ebonyvalve.process.keyspace import (
    grant,
    reconciliation,
    records,
    recovery,
    registration,
    renewal,
)
from ebonyvalve.process.load import admission, body_memory, crashes, link, rates
from ebonyvalve.process.observation import output
from ebonyvalve.process.quota import exchange as quota_exchange
from ebonyvalve.process.store import relay
from ebonyvalve.request import (
    attempt,
    buffering,
    crash,
    delivery,
    exchange,
    front,
    hop_headers,
    origin,
    outcome,
    reachability,
    unanswered,
)
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "EBONYVALVE_BOOT"
LEVEL_VARIABLE = "EBONYVALVE_LOG"
METRICS_VARIABLE = "EBONYVALVE_METRICS_PORT"
READY_PATH = "/readyz"
LAST_PORT = 65_535
# The platform probes once a second and removes a node after two failures; until then requests may
# still arrive.
UNREADY_S = 2.3
# The part of the grace period that is kept for the last answers and the exit of the process.
EXIT_MARGIN_S = 0.5
# The part of that margin in which the last answers are written.
LAST_ANSWERS_S = 0.25
SWEEP_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
# Requests are refused for at least this long, so that the other nodes hear of the end before it.
MIN_REFUSING_S = 0.3
# Other nodes send nothing for ``selection.ENDING_PAUSE_S`` after each announcement.
ANNOUNCE_END_INTERVAL_S = 0.7
MAX_CONNECTIONS = 2000
# Probes and requests of operators need no body.
MAX_PROBE_BYTES = 1024
# Limits of a message from another node, which itself gives up sooner. The longest one is a ledger,
# which is a row of the store, and the store limits rows to 64 KiB.
MAX_PUSH_BYTES = 65_536
PUSH_TIMEOUT_S = 2.0


@dataclasses.dataclass(kw_only=True)
class Daemon:
    """The parts that the process runs."""

    node: node_module.Node
    reconciler: records.Reconciler
    memory: memory.Memory
    origin: origin.Origin
    callers: front.Front
    peers: front.Front
    client: store.Client
    relay: relay.Relay
    watch: reachability.Monitor
    timer: timer.Timer
    quotas: quota_exchange.Exchange


def main() -> None:
    """Run the daemon until a signal stops it."""
    out = output.open_output(sys.stdout.fileno(), timer.read_boot_clock)
    output.configure(out, decision.LogForm.KEY_VALUE, os.environ.get(LEVEL_VARIABLE, "INFO"))
    path = os.environ.get(SETTINGS_VARIABLE, "")
    read_settings = pathlib.Path(path).read_bytes
    try:
        place = settings.decode(read_settings())
    except (OSError, errors.SettingsError) as exc:
        decision.record(log, logging.CRITICAL, "start-failed", settings=path, cause=str(exc))
        sys.exit(2)
    trio.run(run, place, read_settings)


async def run(
    place: place_module.Place,
    read_settings: collections.abc.Callable[[], bytes] | None = None,
    *,
    task_status: trio.TaskStatus[Daemon] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run the daemon.

    :param place: from the settings.
    :param read_settings: returns the content of the settings file, if that may change.
    :param task_status: receives the daemon when its tasks have been started.
    """
    daemon = build(place)
    async with signals.open_receiver() as received, trio.open_nursery() as nursery:
        decision.record(log, logging.INFO, "start", node=place.node, service=place.service)
        for task in (
            functools.partial(records.follow_mesh, daemon.reconciler),
            functools.partial(registration.announce, daemon.reconciler),
            functools.partial(renewal.keep_lease, daemon.reconciler),
            functools.partial(reconciliation.reconcile, daemon.reconciler),
            functools.partial(records.push_ledger, daemon.reconciler),
            functools.partial(
                operator.follow, daemon.node, daemon.origin.current, daemon.reconciler.store
            ),
            functools.partial(
                gossip.pull_updates, daemon.node, daemon.origin.current, sockets.connect
            ),
            functools.partial(delivery.run_queue, daemon.origin.delivery),
            functools.partial(crash.run, daemon.origin.delivery.crash_detector),
            functools.partial(memory.load, daemon.memory),
            functools.partial(
                quotas.follow_limits, daemon.node, daemon.origin.current, daemon.quotas
            ),
            functools.partial(quota_exchange.run, daemon.quotas),
            functools.partial(sweep, daemon),
            functools.partial(timer.run, daemon.timer),
        ):
            nursery.start_soon(task)
        nursery.start_soon(
            sockets.listen,
            place.reports_address,
            reports.build_report_server(daemon.reconciler, daemon.memory),
        )
        ready = build_ready_server(daemon)
        nursery.start_soon(sockets.listen, place.ready_address, ready)
        metrics = find_metrics_address(place, os.environ.get(METRICS_VARIABLE, ""))
        if metrics is not None:
            nursery.start_soon(listen_for_metrics, metrics, ready)
        nursery.start_soon(
            sockets.listen, place.peers_address, functools.partial(front.serve, daemon.peers)
        )
        daemon.callers.nursery = nursery
        nursery.start_soon(
            sockets.listen, place.callers_address, functools.partial(front.serve, daemon.callers)
        )
        if read_settings is not None:
            nursery.start_soon(reload.follow, daemon.node, daemon.client, received, read_settings)
        task_status.started(daemon)
        try:
            await received.stop.wait()
            await stop(daemon)
        finally:
            # Also if a task has failed: nobody is served then.
            buffering.end_deliveries(daemon.origin.buffer_usage)
        nursery.cancel_scope.cancel()
    decision.record(log, logging.INFO, "stop", node=place.node)


def build(place: place_module.Place) -> Daemon:
    """Build all parts.

    :param place: from the settings.
    """
    clock = timer.Timer(clock=timer.read_boot_clock)
    now = functools.partial(timer.now, clock)
    node = node_module.Node(
        place=place,
        incarnation=identity.Incarnation(secrets.token_hex(4)),
        wakeups=clock,
        now=now,
        started_at=now(),
        draw=random.random,
        admission=admission.Controller(
            slots=1, cold_rate=0.0, uplink=link.Link(rate=place.link_rate)
        ),
        grantor=grant.start(now=now(), max_hold_s=grant.choose_hold(place.heartbeat_s)),
        budget=budget.ServiceBudgets(share=budget.compute_share(place.retries.ratio)),
        key_rates=rates.KeyRates(updated_at=now()),
        bodies=body_memory.build(place.memory_bytes),
    )
    client = store.Client(
        address=place.store_address,
        connect=sockets.connect,
        now=now,
        on_recovery=functools.partial(node_module.restart_follows, node),
        eras=node.eras,
    )
    peer_pool = pool.Pool(connect=sockets.connect, now=now, max_connections=512)
    watch = reachability.Monitor(node=node, peers=peer_pool, connect=sockets.connect)
    feeds = relay.Relay(
        address=place.peers_address,
        store=store.open_store(client),
        connect=sockets.connect,
        now=now,
        pause=functools.partial(node_module.pause, node),
        find_sources=functools.partial(find_sources, watch),
        eras=node.eras,
    )
    exchanged = quota_exchange.build(node, functools.partial(message.post, peer_pool))
    reconciler = records.Reconciler(
        node=node,
        store=relay.open_store(feeds),
        connect=sockets.connect,
        on_rows=functools.partial(quota_exchange.record_rows, exchanged, records.MEMBER_PREFIX),
        find_follow_s=functools.partial(quota_exchange.find_follow_s, exchanged, records.FOLLOW_S),
    )
    node.eras.on_restore = functools.partial(recovery.handle_restore, reconciler)
    target_pool = pool.Pool(connect=sockets.connect, now=now)
    remembered = memory.Memory(node=node, connect=sockets.connect, quarantine=crashes.Quarantine())
    local = delivery.Delivery(
        node=node,
        pool=target_pool,
        dialect=dialect.build_dialect(),
        crash_detector=crash.Detector(
            node=node,
            pool=target_pool,
            connect=sockets.connect,
            quarantine=remembered.quarantine,
            ask_others=functools.partial(memory.ask, remembered),
        ),
    )
    entry = origin.Origin(
        node=node,
        delivery=local,
        peers=peer_pool,
        current=traffic.CurrentTraffic(),
        admit=functools.partial(quota_exchange.admit, exchanged),
    )
    serve_caller = functools.partial(handle_caller, entry)
    serve_peer = functools.partial(handle_peer, entry, reconciler, feeds, remembered, exchanged)
    callers = front.Front(
        now=now,
        handle=serve_caller,
        refuse=serve_caller,
        find_limits=functools.partial(find_limits, entry.current),
        is_hop=False,
        parse=dialect.build_parse(now),
        read_timeouts=functools.partial(read_timeouts, entry.current),
        coalesces_head=True,
        max_connections=MAX_CONNECTIONS,
        may_overlap=functools.partial(may_overlap, entry.current),
        pipelining=entry.pipelining,
        usage=entry.buffer_usage,
        tracker=unanswered.Tracker(counts=node.request_counters.unanswered),
    )
    peers = front.Front(
        now=now,
        handle=serve_peer,
        refuse=serve_peer,
        find_limits=functools.partial(find_limits, entry.current),
        is_hop=True,
        parse=dialect.build_parse(now),
        coalesces_head=True,
        max_connections=MAX_CONNECTIONS,
        tracker=unanswered.Tracker(counts=node.request_counters.unanswered),
    )
    return Daemon(
        node=node,
        reconciler=reconciler,
        memory=remembered,
        origin=entry,
        callers=callers,
        peers=peers,
        client=client,
        relay=feeds,
        watch=watch,
        timer=clock,
        quotas=exchanged,
    )


async def handle_caller(
    entry: origin.Origin, call: exchange.Call, caller: exchange.Caller
) -> outcome.Outcome:
    """Answer a request of a caller on this VM.

    :param entry: the state.
    :param call: the request.
    :param caller: the connection that gets the answer.
    """
    head = dialect.read_head(call, uses_accounts=uses_accounts(entry.current))
    return await origin.handle(entry, call, caller, head)


async def handle_peer(
    entry: origin.Origin,
    reconciler: records.Reconciler,
    feeds: relay.Relay,
    remembered: memory.Memory,
    exchanged: quota_exchange.Exchange,
    call: exchange.Call,
    caller: exchange.Caller,
) -> outcome.Outcome:
    """Answer a request from another node: a forwarded request (hop) or a message.

    :param entry: the state.
    :param reconciler: receives the ledgers that other nodes push.
    :param feeds: what this node has followed of the store.
    :param remembered: what this node remembers for others.
    :param exchanged: the quotas of accounts.
    :param call: the request.
    :param caller: the other node.
    """
    # A hop has the path of the original request, which may look like that of a message.
    if not hop_headers.is_hop(call.headers):
        handled = await handle_message(
            entry, reconciler, feeds, remembered, exchanged, call, caller
        )
        if handled is not None:
            return handled
    hop_headers.record_version(entry.node, call.headers)
    if not hop_headers.parse_headers(call, call.headers):
        refusal = outcome.refuse(outcome.Reason.BAD_REQUEST)
        await origin.send_refusal(caller, refusal, 0.0)
        return refusal
    assert call.rules is not None
    # An entry node may have a newer configuration with accounts, or be of an earlier release, which
    # passes these headers on.
    is_of_account = bool(call.rules.account)
    dialect.read_head(call, uses_accounts=is_of_account or uses_accounts(entry.current))
    return await origin.serve_hop(entry, call, caller)


async def handle_message(
    entry: origin.Origin,
    reconciler: records.Reconciler,
    feeds: relay.Relay,
    remembered: memory.Memory,
    exchanged: quota_exchange.Exchange,
    call: exchange.Call,
    caller: exchange.Caller,
) -> outcome.Outcome | None:
    """Answer a message from another node; return ``None`` if the request isn't a message.

    :param entry: the state.
    :param reconciler: receives the ledgers that other nodes push.
    :param feeds: what this node has followed of the store.
    :param remembered: what this node remembers for others.
    :param exchanged: the quotas of accounts.
    :param call: the message.
    :param caller: the other node.
    """
    if call.path.startswith(reachability.PING_PATH):
        return await acknowledge(caller, reachability.answer_ping(entry.node, call.path))
    if call.path.startswith(reachability.ENDING_PATH):
        is_known = reachability.receive_end(entry.node, call.path)
        return await acknowledge(caller, 204 if is_known else 404)
    if call.path.startswith(gossip.GOSSIP_PATH):
        update = gossip.encode_update(entry.node, call.path)
        return await acknowledge(caller, 400 if update is None else 200, update or b"")
    if call.path.startswith(relay.FEED_PATH):
        changes = await relay.answer(feeds, call.path)
        return await acknowledge(caller, 503 if changes is None else 200, changes or b"")
    if call.path == memory.MEMORY_PATH:
        entries = memory.encode_entries(remembered)
        return await acknowledge(caller, 503 if entries is None else 200, entries or b"")
    if call.path.startswith(quota_exchange.QUOTA_PATH):
        body = await receive_body(call, caller)
        if body is None:
            return outcome.refuse(outcome.Reason.BODY_BROKEN)
        answer = quota_exchange.answer(exchanged, call.path, body)
        return await acknowledge(caller, 400 if answer is None else 200, answer or b"")
    if call.path.startswith(records.LEDGER_PATH) or call.path in (
        crash.CRASH_PATH,
        memory.DEPARTURE_PATH,
    ):
        return await handle_push(entry, reconciler, remembered, call, caller)
    return None


async def handle_push(
    entry: origin.Origin,
    reconciler: records.Reconciler,
    remembered: memory.Memory,
    call: exchange.Call,
    caller: exchange.Caller,
) -> outcome.Outcome:
    """Apply a pushed message: a ledger, a crash or the departure of a target.

    :param entry: the state.
    :param reconciler: receives ledgers.
    :param remembered: receives departures.
    :param call: the message.
    :param caller: the other node.
    """
    body = await receive_body(call, caller)
    if body is None:
        return outcome.refuse(outcome.Reason.BODY_BROKEN)
    if call.path == crash.CRASH_PATH:
        is_applied = crash.receive_push(entry.delivery.crash_detector, body)
    elif call.path == memory.DEPARTURE_PATH:
        is_applied = memory.receive_departure(remembered, body)
    else:
        is_applied = records.apply_push(reconciler, call.path, body)
    return await acknowledge(caller, 204 if is_applied else 400)


async def receive_body(call: exchange.Call, caller: exchange.Caller) -> bytes | None:
    """Return the whole body of a message, or ``None`` if it does not arrive or is too long.

    :param call: the message.
    :param caller: the other node.
    """
    body = bytearray(call.prefix)
    with trio.move_on_after(PUSH_TIMEOUT_S):
        while not call.is_body_buffered and len(body) <= MAX_PUSH_BYTES:
            chunk = await caller.receive()
            if not isinstance(chunk, result.Success):
                break
            data = chunk.unwrap()
            body += data
            call.is_body_buffered = not data
    return bytes(body) if call.is_body_buffered else None


async def acknowledge(caller: exchange.Caller, status: int, body: bytes = b"") -> outcome.Outcome:
    """Answer a message from another node.

    :param caller: the other node.
    :param status: the status code.
    :param body: the body of the answer, empty for none.
    """
    headers = [(b"content-length", str(len(body)).encode())] if body else []
    if await caller.reply(status, headers) and (not body or await caller.write(body)):
        await caller.finish()
    return outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=status)


def uses_accounts(current: traffic.CurrentTraffic) -> bool:
    """Return whether the configuration in force has client accounts.

    :param current: the configuration in force.
    """
    return current.traffic is not None and current.traffic.requires_keys


def find_limits(current: traffic.CurrentTraffic, _: identity.ServiceId) -> tuple[float, int]:
    """Return the default deadline in seconds and the maximum body size in bytes.

    :param current: the configuration in force.
    """
    if current.traffic is None:
        return 60.0, 67_108_864
    return 60.0, current.traffic.limits.max_body_bytes


def may_overlap(current: traffic.CurrentTraffic, call: exchange.Call) -> bool:
    """Return whether a request may run before those ahead of it on its connection are answered.

    A request without a route is refused, which keeps no other one waiting.

    :param current: the configuration in force.
    :param call: the request, as parsed.
    """
    if current.traffic is None:
        return False
    route = traffic.find_route(current.traffic, dialect.read_host(call), call.path)
    return route is not None and route.repeatability is traffic.Repeatability.IDEMPOTENT


def read_timeouts(current: traffic.CurrentTraffic) -> front.Timeouts:
    """Return the time-outs of callers' connections.

    :param current: the configuration in force.
    """
    if current.traffic is None:
        return front.Timeouts()
    limits = current.traffic.limits
    # Callers that are slower than they should be are given some time more.
    head_s = max(front.HEAD_TIMEOUT_S, limits.head_timeout_s)
    return front.Timeouts(idle_s=limits.idle_timeout_s, head_s=head_s)


def find_sources(watch: reachability.Monitor) -> list[identity.Address]:
    """Return the addresses of the nodes of this zone that follow the store for the others.

    :param watch: the reachability of the other nodes.
    """
    node = watch.node
    zone = [
        other.node
        for other in node.members.values()
        if other.zone == node.place.zone and other.node not in watch.unreachable
    ]
    names = relay.choose_sources(node.place.node, zone)
    # A node that has not been announced yet may be among them itself.
    return [
        node.members[name].address if name in node.members else node.place.peers_address
        for name in names
    ]


def build_ready_server(daemon: Daemon) -> network.Serve:
    """Return the server of the readiness probe and of the pages for operators.

    :param daemon: the daemon.
    """

    async def respond(request: http.Request) -> http.Reply:
        if request.path != READY_PATH:
            # Imported on demand, as most processes never serve these pages, and the memory of the
            # process is charged for.
            from ebonyvalve.platform import admin

            return admin.answer(daemon.origin, request.path)
        is_ready = node_module.is_ready(daemon.node)
        return http.Reply(status=200 if is_ready else 503, body=b"{}")

    return functools.partial(http.serve, respond, max_bytes=MAX_PROBE_BYTES)


def find_metrics_address(place: place_module.Place, port: str) -> identity.Address | None:
    """Return the second address for metrics, or ``None`` if no valid port is set.

    :param place: from the settings.
    :param port: the value of the environment variable, or empty.
    """
    if not port.isdecimal() or int(port) > LAST_PORT:
        return None
    host, _ = network.split_address(place.ready_address)
    return identity.Address(f"{host}:{port}")


async def listen_for_metrics(address: identity.Address, serve: network.Serve) -> None:
    """Serve the metrics on a port of their own; if that fails, the node runs without it.

    :param address: the address to listen on.
    :param serve: answers requests.
    """
    try:
        await sockets.listen(address, serve)
    except OSError as exc:
        decision.record(log, logging.ERROR, "metrics-failed", address=address, cause=str(exc))


async def sweep(daemon: Daemon) -> None:
    """Check connections to targets and nodes periodically, until cancelled.

    :param daemon: the daemon.
    """
    ticks = timer.subscribe(daemon.timer, period_s=SWEEP_INTERVAL_S)
    while True:
        await timer.tick(daemon.timer, ticks)
        await reachability.check_peers(daemon.watch)
        await pool.sweep(daemon.origin.peers, p99_s=attempt.TYPICAL_P99_S)
        await pool.sweep(daemon.origin.delivery.pool, p99_s=attempt.TYPICAL_P99_S)


async def stop(daemon: Daemon) -> None:
    """Shut down gracefully: callers leave first, then requests in flight complete.

    The target keeps running and can only be reached through this node, so it gets requests until
    callers have moved to other nodes. After that, new requests are refused and those in flight are
    completed within the grace period. What is left at its end gets an answer of this node.

    :param daemon: the daemon.
    """
    ends_at = trio.current_time() + daemon.node.place.grace_s - EXIT_MARGIN_S
    daemon.node.is_stopping = True
    front.announce_close(daemon.callers)
    with trio.move_on_at(ends_at):
        await node_module.pause(daemon.node, UNREADY_S)
    # Also if the grace period is over by now: it may be short, or the process was paused.
    refuse_requests(daemon)
    with trio.move_on_at(ends_at):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(announce_end, daemon)
            await node_module.pause(daemon.node, MIN_REFUSING_S)
            await wait_until_quiet(daemon)
            nursery.cancel_scope.cancel()
        return
    decision.record(log, logging.INFO, "cut-off", requests=len(daemon.origin.scopes))
    origin.cut_off(daemon.origin)
    front.cut_off(daemon.callers)
    front.cut_off(daemon.peers)
    with trio.move_on_after(LAST_ANSWERS_S):
        await wait_until_quiet(daemon)


def refuse_requests(daemon: Daemon) -> None:
    """Refuse requests from now on, and those that are arriving or waiting.

    :param daemon: a daemon whose process is about to end.
    """
    daemon.node.is_ending = True
    front.stop(daemon.callers)
    front.stop(daemon.peers)
    relay.stop(daemon.relay)
    decision.record(log, logging.INFO, "refusing", requests=len(daemon.origin.scopes))
    delivery.refuse_waiting(daemon.origin.delivery)


async def announce_end(daemon: Daemon) -> None:
    """Tell the other nodes periodically that this process is about to end, until cancelled.

    :param daemon: the daemon.
    """
    ticks = timer.subscribe(daemon.timer, period_s=ANNOUNCE_END_INTERVAL_S)
    while True:
        await reachability.announce_end(daemon.watch)
        await timer.tick(daemon.timer, ticks)


async def wait_until_quiet(daemon: Daemon) -> None:
    """Wait for a moment in which no request is in any phase.

    :param daemon: a daemon that refuses new requests.
    """
    poll_ticks = timer.subscribe(daemon.timer, period_s=DRAIN_POLL_INTERVAL_S)
    while not (front.is_quiet(daemon.callers) and front.is_quiet(daemon.peers)):
        await timer.tick(daemon.timer, poll_ticks)


if __name__ == "__main__":
    main()
