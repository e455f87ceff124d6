"""Simulates the latency of services without keys while one target is ten times slower."""

import collections.abc
import dataclasses
import itertools
import random

import defopt

from bench import events
from ebonyvalve.process import budget, identity, limit, message, straggler
from ebonyvalve.request import outcome, retry, routing

SERVICE = identity.ServiceId("service")
NODES = 14
# Mean service time.
MEAN_S = 0.005
# Share of the capacity of all targets.
LOAD = 0.5
START_S = 3.0
END_S = 13.0
SLOWDOWN = 10.0
DEADLINE_S = 0.4
# The 99th percentile with a straggler may be at most this multiple of the one without.
BOUND = 1.5
# Round-trip time between nodes of one zone.
WITHIN_ZONE_S = 0.0003


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A service, with the sizes given in section 1 of the design page.

    ``between_zones_s`` is the round-trip time between zones in seconds.
    """

    name: str
    targets: int
    slots: int
    zones: int
    between_zones_s: float


@dataclasses.dataclass(kw_only=True)
class Node:
    """The state of a node, and its target if it has one.

    ``in_flight`` and ``target_latencies`` hold its open requests and latencies for each target.
    ``queued`` holds the requests that wait for admission to its own target, each with a function
    that is called with whether the request was admitted.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    target_latencies: straggler.ServiceLatencies = dataclasses.field(
        default_factory=straggler.ServiceLatencies
    )
    in_flight: dict[identity.NodeId, int] = dataclasses.field(default_factory=dict)
    retries: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.RETRY_SHARE)
    )
    hedges: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.HEDGE_SHARE)
    )
    server: events.Server | None = None
    target: limit.Target | None = None
    queued: dict[limit.Ticket, collections.abc.Callable[[bool], None]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True)
class Mesh:
    """All nodes and the counts of one run. ``latencies`` are in seconds."""

    loop: events.EventLoop
    deployment: Deployment
    nodes: dict[identity.NodeId, Node]
    members: dict[identity.NodeId, message.Member]
    pick: collections.abc.Callable[
        ["Mesh", Node, frozenset[identity.NodeId]], identity.NodeId | None
    ]
    is_hedged: bool
    latencies: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    failed: int = 0
    hedged: int = 0


@dataclasses.dataclass(kw_only=True)
class Request:
    """One request; ``open`` holds a function that cancels each open attempt."""

    node: Node
    started_at: float
    attempts: int = 0
    is_done: bool = False
    tried: frozenset[identity.NodeId] = frozenset()
    open: dict[int, collections.abc.Callable[[], None]] = dataclasses.field(default_factory=dict)


DEPLOYMENTS = [
    # The service ordenes has the same sizes.
    Deployment(name="paquetes", targets=4, slots=10, zones=4, between_zones_s=0.0015),
    Deployment(name="reservations", targets=5, slots=6, zones=3, between_zones_s=0.0005),
    Deployment(name="archives", targets=3, slots=6, zones=3, between_zones_s=0.0005),
]


def list_candidates(mesh: Mesh, tried: frozenset[identity.NodeId]) -> list[identity.NodeId]:
    """Return the nodes whose targets were not tried yet, or all with a target if none is left.

    :param mesh: the nodes.
    :param tried: nodes that the request was sent to.
    """
    return [name for name in mesh.members if name not in tried] or list(mesh.members)


def make_random() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy that picks a random target."""
    return lambda mesh, node, tried: mesh.loop.rng.choice(list_candidates(mesh, tried))


def make_round_robin() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy by which each node picks the targets in turn."""
    turns: dict[identity.NodeId, collections.abc.Iterator[int]] = {}

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId:
        candidates = list_candidates(mesh, tried)
        turn = turns.setdefault(node.node, itertools.count(mesh.loop.rng.randrange(60)))
        return candidates[next(turn) % len(candidates)]

    return pick


def make_least_connections() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy that picks the target with the fewest open requests of the node."""

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId:
        candidates = list_candidates(mesh, tried)
        mesh.loop.rng.shuffle(candidates)
        return min(candidates, key=lambda name: node.in_flight.get(name, 0))

    return pick


def make_ebonyvalve() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return the policy of ``request.routing``."""

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId | None:
        def find_load(name: identity.NodeId) -> routing.TargetLoad:
            latency = node.target_latencies.targets.get(name)
            return routing.TargetLoad(
                in_flight=node.in_flight.get(name, 0),
                latency_s=None if latency is None else latency.mean_s,
                is_bypassed=straggler.is_bypassed(node.target_latencies, name),
            )

        view = routing.View(
            node=node.node,
            zone=node.zone,
            find_owner=lambda shard: None,
            find_fence=lambda shard: None,
            find_load=find_load,
            members=mesh.members,
            draw=mesh.loop.rng.randrange,
        )
        route = routing.choose(view, SERVICE, shard=None, tried=tried)
        return node.node if route.choice is routing.Choice.LOCAL else route.node

    return pick


POLICIES = [
    ("random", make_random, False),
    ("round robin", make_round_robin, False),
    ("least connections", make_least_connections, False),
    ("ebonyvalve, no hedging", make_ebonyvalve, False),
    ("ebonyvalve", make_ebonyvalve, True),
]


def build(
    deployment: Deployment,
    make_policy: collections.abc.Callable[
        [], collections.abc.Callable[..., identity.NodeId | None]
    ],
    is_hedged: bool,
    seed: int,
) -> Mesh:
    """Return the nodes of a deployment; the first ones have a target of the service.

    :param deployment: its sizes.
    :param make_policy: returns the policy.
    :param is_hedged: whether requests are hedged.
    :param seed: seeds the random numbers.
    """
    nodes = {}
    members = {}
    for index in range(NODES):
        name = identity.NodeId(f"n{index}")
        zone = identity.ZoneId(f"z{index % deployment.zones}")
        nodes[name] = Node(node=name, zone=zone)
        if index < deployment.targets:
            nodes[name].server = events.Server(slots=deployment.slots, mean_s=MEAN_S)
            nodes[name].target = limit.create(slots=deployment.slots, warm_up_s=1.0)
            members[name] = message.Member(
                node=name,
                incarnation=identity.Incarnation("first"),
                zone=zone,
                service=SERVICE,
                peer_address=identity.Address(""),
                hop_address=identity.Address(""),
                slots=deployment.slots,
                is_target_up=True,
            )
    return Mesh(
        loop=events.EventLoop(rng=random.Random(seed)),
        deployment=deployment,
        nodes=nodes,
        members=members,
        pick=make_policy(),
        is_hedged=is_hedged,
    )


def submit(mesh: Mesh) -> None:
    """Send one idempotent request to a random node.

    :param mesh: the nodes.
    """
    node = mesh.nodes[mesh.loop.rng.choice(list(mesh.nodes))]
    request = Request(node=node, started_at=mesh.loop.now)
    budget.credit(node.retries)
    budget.credit(node.hedges)
    if mesh.loop.now >= START_S:
        mesh.requests += 1
    attempt(mesh, request)
    hedge_s = retry.hedge_after(
        is_keyed=False,
        is_idempotent=True,
        is_body_held=True,
        has_other_target=True,
        p95_s=straggler.read_quantile(node.target_latencies, 0.95),
        remaining_s=DEADLINE_S,
    )
    if mesh.is_hedged and hedge_s is not None:
        events.call_at(mesh.loop, mesh.loop.now + hedge_s, lambda: hedge(mesh, request))
    events.call_at(mesh.loop, mesh.loop.now + DEADLINE_S, lambda: end(mesh, request, False))


def hedge(mesh: Mesh, request: Request) -> None:
    """Start a second attempt if the first one has not answered and the budget allows it.

    :param mesh: the nodes.
    :param request: the request.
    """
    if not request.is_done and request.open and budget.spend(request.node.hedges):
        mesh.hedged += request.started_at >= START_S
        attempt(mesh, request)


def end(mesh: Mesh, request: Request, is_answered: bool) -> None:
    """End a request and cancel its open attempts.

    :param mesh: the nodes.
    :param request: the request.
    :param is_answered: whether an attempt answered.
    """
    if request.is_done:
        return
    request.is_done = True
    for cancel in list(request.open.values()):
        cancel()
    if request.started_at < START_S:
        return
    if is_answered:
        mesh.latencies.append(mesh.loop.now - request.started_at)
    else:
        mesh.failed += 1


def run_all(actions: list[collections.abc.Callable[[], None]]) -> None:
    """Run actions in order.

    :param actions: the actions.
    """
    for action in actions:
        action()


def attempt(mesh: Mesh, request: Request) -> None:
    """Send a request to the target that the policy picks.

    :param mesh: the nodes.
    :param request: the request.
    """
    loop, node = mesh.loop, request.node
    name = mesh.pick(mesh, node, request.tried)
    if name is None:
        end(mesh, request, False)
        return
    request.attempts += 1
    request.tried |= {name}
    number, sent_at, target_node = request.attempts, loop.now, mesh.nodes[name]
    is_same_zone = target_node.zone == node.zone
    hop_s = (
        0.0
        if target_node is node
        else WITHIN_ZONE_S if is_same_zone else mesh.deployment.between_zones_s
    )
    hop_s /= 2
    node.in_flight[name] = node.in_flight.get(name, 0) + 1
    cancel_actions: list[collections.abc.Callable[[], None]] = []

    def close() -> None:
        node.in_flight[name] -= 1
        del request.open[number]

    def cancel() -> None:
        close()
        straggler.record(node.target_latencies, name, loop.now - sent_at, is_complete=False)
        events.call_at(loop, loop.now + hop_s, lambda: run_all(cancel_actions))

    def reply(has_run: bool) -> None:
        if number not in request.open:
            return
        close()
        if has_run:
            straggler.record(node.target_latencies, name, loop.now - sent_at)
            end(mesh, request, True)
            return
        decision = retry.decide(
            outcome.refuse(outcome.Reason.QUEUE_FULL),
            is_idempotent=True,
            is_body_held=True,
            is_reply_started=False,
            has_other_target=len(request.tried) < len(mesh.members),
            attempts=request.attempts,
            remaining_s=request.started_at + DEADLINE_S - loop.now,
            bucket=node.retries,
        )
        if decision is retry.Retry.RETRY:
            attempt(mesh, request)
        elif not request.open:
            end(mesh, request, False)

    request.open[number] = cancel
    deadline = request.started_at + DEADLINE_S

    def arrive() -> None:
        if number in request.open:
            cancel_actions.append(
                admit(
                    loop,
                    target_node,
                    deadline,
                    lambda has_run: events.call_at(loop, loop.now + hop_s, lambda: reply(has_run)),
                )
            )

    events.call_at(loop, loop.now + hop_s, arrive)


def admit(
    loop: events.EventLoop,
    target_node: Node,
    deadline: float,
    done: collections.abc.Callable[[bool], None],
) -> collections.abc.Callable[[], None]:
    """Pass a request through admission control to a target; return a function that cancels it.

    :param loop: the event loop.
    :param target_node: the node of the target.
    :param deadline: in seconds of simulated time.
    :param done: called at the end, with whether the request ran.
    """
    target, server = target_node.target, target_node.server
    assert target is not None and server is not None
    answer = limit.admit(target, now=loop.now, deadline=deadline)
    ticket = answer.ticket
    if ticket is None:
        done(False)
        return lambda: None
    started_at = loop.now
    cancel_actions: list[collections.abc.Callable[[], None]] = []

    def release(reply: limit.Reply) -> None:
        dequeued = limit.release(
            target, ticket, now=loop.now, latency_s=loop.now - started_at, reply=reply
        )
        for queued_ticket in dequeued.expired:
            target_node.queued.pop(queued_ticket)(False)
        for queued_ticket in dequeued.run:
            target_node.queued.pop(queued_ticket)(True)

    def finish(has_run: bool) -> None:
        cancel_actions.clear()
        release(limit.Reply.OK if has_run else limit.Reply.SHED)
        done(has_run)

    def start(is_admitted: bool) -> None:
        nonlocal started_at
        started_at = loop.now
        if is_admitted:
            cancel_actions.append(events.serve(loop, server, finish))
        else:
            done(False)

    def cancel() -> None:
        if ticket in target_node.queued:
            limit.withdraw(target, ticket)
            del target_node.queued[ticket]
        elif cancel_actions:
            cancel_actions.pop()()
            release(limit.Reply.ABANDONED)

    if answer.admission is limit.Admission.RUN:
        start(True)
    else:
        target_node.queued[ticket] = start
    return cancel


def measure(mesh: Mesh, has_straggler: bool) -> None:
    """Run a mesh; requests count, and the straggler slows down, after a warm-up of ``START_S``.

    :param mesh: the nodes.
    :param has_straggler: whether the first target slows down.
    """
    deployment = mesh.deployment
    server = mesh.nodes[next(iter(mesh.members))].server
    assert server is not None

    def slow_down() -> None:
        server.slowdown = SLOWDOWN

    if has_straggler:
        events.call_at(mesh.loop, START_S, slow_down)
    rate = deployment.targets * deployment.slots / MEAN_S * LOAD
    # During slow start, the targets can take only a lighter load.
    events.schedule_arrivals(mesh.loop, rate * 0.2, START_S / 2, lambda: submit(mesh))
    events.run_until(mesh.loop, START_S / 2)
    events.schedule_arrivals(mesh.loop, rate, END_S, lambda: submit(mesh))
    events.run_until(mesh.loop, END_S + DEADLINE_S)


def run(*, seed: int = 1) -> None:
    """Print the 99th percentile for each policy, without and with a straggler.

    :param seed: seeds the random numbers.
    """
    print(f"seed {seed}, {NODES} nodes, load {LOAD:.0%}, mean service {MEAN_S * 1e3:.0f} ms,")
    print(f"straggler {SLOWDOWN:.0f}x, bound {BOUND} x the p99 without it")
    print(
        f"{'service':<13}{'policy':<24}{'p99 ms':>8}{'p99 ms':>10}{'ratio':>7}"
        f"{'failed':>9}{'failed':>10}{'hedged':>8}"
    )
    print(f"{'':<37}{'without':>8}{'straggler':>10}{'':>7}{'without':>9}{'straggler':>10}")
    for deployment in DEPLOYMENTS:
        for name, make_policy, is_hedged in POLICIES:
            meshes = []
            for has_straggler in (False, True):
                mesh = build(deployment, make_policy, is_hedged, seed)
                measure(mesh, has_straggler)
                meshes.append(mesh)
            without, with_straggler = (
                events.read_quantile(mesh.latencies, 0.99) for mesh in meshes
            )
            failed = [mesh.failed / mesh.requests for mesh in meshes]
            print(
                f"{deployment.name:<13}{name:<24}{without * 1e3:>8.1f}{with_straggler * 1e3:>10.1f}"
                f"{with_straggler / without:>7.2f}{failed[0]:>9.2%}{failed[1]:>10.2%}"
                f"{meshes[1].hedged / meshes[1].requests:>8.2%}"
            )


if __name__ == "__main__":
    defopt.run(run)
