"""Latency of services without keys while one target takes ten times as long."""

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
MEAN_S = 0.005
LOAD = 0.5
START_S = 3.0
END_S = 13.0
SLOWDOWN = 10.0
DEADLINE_S = 0.4
BOUND = 1.5
SAME_ZONE_S = 0.0003


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Sizes of section 1 of the design page."""

    name: str
    targets: int
    slots: int
    zones: int
    between_zones_s: float


@dataclasses.dataclass(kw_only=True)
class Node:
    """A node's own view, and the admission to the target beside it."""

    node: identity.NodeId
    zone: identity.ZoneId
    book: straggler.ServiceLatencies = dataclasses.field(default_factory=straggler.ServiceLatencies)
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
    """All nodes with the counts of one run."""

    loop: events.Loop
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
    """One request with its open attempts."""

    node: Node
    started_at: float
    attempts: int = 0
    is_done: bool = False
    tried: frozenset[identity.NodeId] = frozenset()
    open: dict[int, collections.abc.Callable[[], None]] = dataclasses.field(default_factory=dict)


DEPLOYMENTS = [
    # ordenes has the same sizes.
    Deployment(name="paquetes", targets=4, slots=10, zones=4, between_zones_s=0.0015),
    Deployment(name="reservations", targets=5, slots=6, zones=3, between_zones_s=0.0005),
    Deployment(name="archives", targets=3, slots=6, zones=3, between_zones_s=0.0005),
]


def list_others(mesh: Mesh, tried: frozenset[identity.NodeId]) -> list[identity.NodeId]:
    """Return the nodes with a target that was not tried, or all of them.

    :param mesh: the nodes.
    :param tried: nodes that the request was sent to.
    """
    return [name for name in mesh.members if name not in tried] or list(mesh.members)


def make_random() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy that draws any target."""
    return lambda mesh, node, tried: mesh.loop.draw.choice(list_others(mesh, tried))


def make_round_robin() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy by which each node takes the targets in turn."""
    turns: dict[identity.NodeId, collections.abc.Iterator[int]] = {}

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId:
        others = list_others(mesh, tried)
        turn = turns.setdefault(node.node, itertools.count(mesh.loop.draw.randrange(60)))
        return others[next(turn) % len(others)]

    return pick


def make_least_connections() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return a policy that takes the target with the fewest requests of this node."""

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId:
        others = list_others(mesh, tried)
        mesh.loop.draw.shuffle(others)
        return min(others, key=lambda name: node.in_flight.get(name, 0))

    return pick


def make_ebonyvalve() -> collections.abc.Callable[..., identity.NodeId | None]:
    """Return the policy of ``request.routing``."""

    def pick(mesh: Mesh, node: Node, tried: frozenset[identity.NodeId]) -> identity.NodeId | None:
        def find_load(name: identity.NodeId) -> routing.TargetLoad:
            latency = node.book.targets.get(name)
            return routing.TargetLoad(
                in_flight=node.in_flight.get(name, 0),
                latency_s=None if latency is None else latency.mean_s,
                is_bypassed=straggler.is_bypassed(node.book, name),
            )

        view = routing.View(
            node=node.node,
            zone=node.zone,
            find_owner=lambda shard: None,
            find_fence=lambda shard: None,
            find_load=find_load,
            members=mesh.members,
            draw=mesh.loop.draw.randrange,
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
    make: collections.abc.Callable[[], collections.abc.Callable[..., identity.NodeId | None]],
    is_hedged: bool,
    seed: int,
) -> Mesh:
    """Return the nodes of a deployment; the first ones have a target of the service beside them.

    :param deployment: its sizes.
    :param make: makes the policy.
    :param is_hedged: whether requests are hedged.
    :param seed: of the random numbers.
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
        loop=events.Loop(draw=random.Random(seed)),
        deployment=deployment,
        nodes=nodes,
        members=members,
        pick=make(),
        is_hedged=is_hedged,
    )


def submit(mesh: Mesh) -> None:
    """Send one idempotent request to a random node.

    :param mesh: the nodes.
    """
    node = mesh.nodes[mesh.loop.draw.choice(list(mesh.nodes))]
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
        p95_s=straggler.read_quantile(node.book, 0.95),
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
    number, sent_at, beside = request.attempts, loop.now, mesh.nodes[name]
    is_near = beside.zone == node.zone
    way_s = 0.0 if beside is node else SAME_ZONE_S if is_near else mesh.deployment.between_zones_s
    way_s /= 2
    node.in_flight[name] = node.in_flight.get(name, 0) + 1
    stop: list[collections.abc.Callable[[], None]] = []

    def close() -> None:
        node.in_flight[name] -= 1
        del request.open[number]

    def cancel() -> None:
        close()
        straggler.record(node.book, name, loop.now - sent_at, is_complete=False)
        events.call_at(loop, loop.now + way_s, lambda: run_all(stop))

    def reply(has_run: bool) -> None:
        if number not in request.open:
            return
        close()
        if has_run:
            straggler.record(node.book, name, loop.now - sent_at)
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
            stop.append(
                enter(
                    loop,
                    beside,
                    deadline,
                    lambda ran: events.call_at(loop, loop.now + way_s, lambda: reply(ran)),
                )
            )

    events.call_at(loop, loop.now + way_s, arrive)


def enter(
    loop: events.Loop,
    beside: Node,
    deadline: float,
    done: collections.abc.Callable[[bool], None],
) -> collections.abc.Callable[[], None]:
    """Pass a request through admission to the target and return a function that cancels it.

    :param loop: the event loop.
    :param beside: the node beside the target.
    :param deadline: seconds of simulated time.
    :param done: called with whether the request ran.
    """
    target, server = beside.target, beside.server
    assert target is not None and server is not None
    answer = limit.admit(target, now=loop.now, deadline=deadline)
    ticket = answer.ticket
    if ticket is None:
        done(False)
        return lambda: None
    started_at = loop.now
    stop: list[collections.abc.Callable[[], None]] = []

    def leave(reply: limit.Reply) -> None:
        wake = limit.release(
            target, ticket, now=loop.now, latency_s=loop.now - started_at, reply=reply
        )
        for other in wake.expired:
            beside.queued.pop(other)(False)
        for other in wake.run:
            beside.queued.pop(other)(True)

    def finish(has_run: bool) -> None:
        stop.clear()
        leave(limit.Reply.OK if has_run else limit.Reply.SHED)
        done(has_run)

    def start(is_admitted: bool) -> None:
        nonlocal started_at
        started_at = loop.now
        if is_admitted:
            stop.append(events.serve(loop, server, finish))
        else:
            done(False)

    def cancel() -> None:
        if ticket in beside.queued:
            limit.withdraw(target, ticket)
            del beside.queued[ticket]
        elif stop:
            stop.pop()()
            leave(limit.Reply.ABANDONED)

    if answer.admission is limit.Admission.RUN:
        start(True)
    else:
        beside.queued[ticket] = start
    return cancel


def measure(mesh: Mesh, has_straggler: bool) -> None:
    """Run a mesh; measurement and straggler start after a warm-up.

    :param mesh: the nodes.
    :param has_straggler: whether the first target slows down.
    """
    deployment = mesh.deployment
    first = mesh.nodes[next(iter(mesh.members))].server
    assert first is not None

    def slow_down() -> None:
        first.slow = SLOWDOWN

    if has_straggler:
        events.call_at(mesh.loop, START_S, slow_down)
    rate = deployment.targets * deployment.slots / MEAN_S * LOAD
    # Slow start needs lighter load first.
    events.arrive(mesh.loop, rate * 0.2, START_S / 2, lambda: submit(mesh))
    events.run_until(mesh.loop, START_S / 2)
    events.arrive(mesh.loop, rate, END_S, lambda: submit(mesh))
    events.run_until(mesh.loop, END_S + DEADLINE_S)


def run(*, seed: int = 1) -> None:
    """Print the 99th percentile for each policy, without and with a straggler.

    :param seed: of the random numbers.
    """
    print(f"seed {seed}, {NODES} nodes, load {LOAD:.0%}, mean service {MEAN_S * 1e3:.0f} ms,")
    print(f"straggler {SLOWDOWN:.0f}x, bound {BOUND} x the p99 without it")
    print(
        f"{'service':<13}{'policy':<24}{'p99 ms':>8}{'p99 ms':>10}{'ratio':>7}"
        f"{'failed':>9}{'failed':>10}{'hedged':>8}"
    )
    print(f"{'':<37}{'without':>8}{'straggler':>10}{'':>7}{'without':>9}{'straggler':>10}")
    for deployment in DEPLOYMENTS:
        for name, make, is_hedged in POLICIES:
            meshes = []
            for has_straggler in (False, True):
                mesh = build(deployment, make, is_hedged, seed)
                measure(mesh, has_straggler)
                meshes.append(mesh)
            without, with_one = (events.read_quantile(mesh.latencies, 0.99) for mesh in meshes)
            failed = [mesh.failed / mesh.requests for mesh in meshes]
            print(
                f"{deployment.name:<13}{name:<24}{without * 1e3:>8.1f}{with_one * 1e3:>10.1f}"
                f"{with_one / without:>7.2f}{failed[0]:>9.2%}{failed[1]:>10.2%}"
                f"{meshes[1].hedged / meshes[1].requests:>8.2%}"
            )


if __name__ == "__main__":
    defopt.run(run)
