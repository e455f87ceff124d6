"""Random restarts, outages and late messages, in search of an acknowledged leave that is undone."""

import collections.abc
import dataclasses
import functools
import itertools
import random

import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve.platform import reports, store
from ebonyvalve.process import http, identity, member, memory, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import reconciliation, records, registration, renewal
from ebonyvalve.process.load import crashes
from ebonyvalve.standin import metadata
from tests.process.keyspace import test_reconciliation

STEPS = 60
MACHINES = 3
FAULTS = [
    metadata.Fault.BUSY,
    metadata.Fault.SILENT,
    metadata.Fault.LOST,
    metadata.Fault.LATE,
    metadata.Fault.HELD,
]
# A follow whose connection went silent ends within this time, and then the rows are read.
CALM_S = records.FOLLOW_S + store.FOLLOW_SLACK_S + 3.0


@dataclasses.dataclass(kw_only=True)
class Target:
    """One lifetime of a target."""

    name: str
    born: int
    sequence: int = 0
    state: str = "ready"
    is_reporting: bool = True


@dataclasses.dataclass(kw_only=True)
class Site:
    """The machines, their present targets, and the messages that are held up on their way.

    ``left`` has the lifetimes whose leave was acknowledged.
    """

    world: test_reconciliation.World
    rng: random.Random
    births: collections.abc.Iterator[int]
    targets: list[Target] = dataclasses.field(default_factory=list)
    late: list[tuple[int, http.Request]] = dataclasses.field(default_factory=list)
    left: set[identity.Lifetime] = dataclasses.field(default_factory=set)
    servers: dict[int, http.Respond] = dataclasses.field(default_factory=dict)


def build_report(site: Site, number: int) -> http.Request:
    target = site.targets[number]
    target.sequence += 1
    body = {
        "address": "10.0.0.1:80",
        "born": target.born,
        "info": {"backend": test_reconciliation.SERVICE, "slots": 6},
        "status": {"state": target.state, "seq": target.sequence, "cold_left_s": 0},
    }
    return http.Request(
        method="PUT", path=f"/instances/{target.name}", body=msgspec.json.encode(body)
    )


def build_leave(target: Target) -> http.Request:
    body = msgspec.json.encode({"born": target.born})
    return http.Request(method="DELETE", path=f"/instances/{target.name}", body=body)


async def run_node(
    site: Site, number: int, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Run the process of a node until it is killed."""
    machine = site.world.machines[number]
    with trio.CancelScope() as machine.scope:
        reconciler = test_reconciliation.build_reconciler(site.world, machine)
        node = reconciler.node
        node.place = dataclasses.replace(node.place, target_address=identity.Address("10.0.0.1:80"))
        remembered = memory.Memory(
            node=node, connect=reconciler.connect, quarantine=crashes.Quarantine()
        )
        serve = reports.build_report_server(reconciler, remembered)
        assert isinstance(serve, functools.partial)
        site.servers[number] = serve.args[0]
        machine.reconciler = reconciler
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timer.run, node.wakeups)
            nursery.start_soon(memory.load, remembered)
            for task in (
                records.follow_mesh,
                registration.announce,
                renewal.keep_lease,
                reconciliation.reconcile,
            ):
                nursery.start_soon(task, reconciler)
    machine.reconciler = None
    site.servers.pop(number, None)


async def deliver(site: Site, number: int, request: http.Request) -> bool:
    """Deliver a message to the present process of a node; return whether it was acknowledged."""
    respond = site.servers.get(number)
    reply = None
    with trio.move_on_after(1.0):
        reply = None if respond is None else await respond(request)
    # An answer that comes from a process that has ended meanwhile is lost.
    return reply is not None and reply.status == 200 and site.servers.get(number) is respond


async def run_target(site: Site, number: int) -> None:
    """Send the status reports of the present target of a machine."""
    while True:
        target = site.targets[number]
        if target.is_reporting:
            is_leaving = target.state == "draining"
            is_acked = await deliver(site, number, build_report(site, number))
            if is_acked and is_leaving:
                record_ack(site, target)
        await trio.sleep(test_reconciliation.HEARTBEAT_S)


def record_ack(site: Site, target: Target) -> None:
    site.left.add(member.name_lifetime(target.name, target.born))


async def restart(site: Site, numbers: collections.abc.Iterable[int]) -> None:
    """Kill nodes at once, and start them again."""
    for number in numbers:
        test_reconciliation.stop_node(site.world.machines[number])
    await trio.sleep(site.rng.uniform(0.1, 1.0))
    for number in numbers:
        await site.world.nursery.start(run_node, site, number)


async def do_step(site: Site) -> None:
    """Let one thing happen."""
    rng = site.rng
    number = rng.randrange(MACHINES)
    target = site.targets[number]
    kind = rng.choice(
        ["restart", "restart-all", "roll", "store", "hold", "hold", "late", "late", "leave", "next"]
    )
    if kind == "restart":
        await restart(site, [number])
    elif kind == "restart-all":
        await restart(site, range(MACHINES))
    elif kind == "roll":
        for other in range(MACHINES):
            await restart(site, [other])
    elif kind == "store":
        site.world.state.faults = rng.choice([{}, {}, {"": rng.choice(FAULTS)}])
    elif kind == "hold" and target.is_reporting:
        site.late.append((number, build_report(site, number)))
    elif kind == "late" and site.late:
        where, request = site.late.pop(rng.randrange(len(site.late)))
        await deliver(site, where, request)
    elif kind == "leave" and target.state == "ready":
        site.late.append((number, build_leave(target)))
        target.state = "draining"
        if rng.random() < 0.5:
            target.is_reporting = False
            if await deliver(site, number, build_leave(target)):
                record_ack(site, target)
    elif kind == "next" and target.state == "draining":
        site.targets[number] = Target(name=target.name, born=next(site.births))


async def watch(site: Site) -> None:
    """Check at all times that no node gives work to a target whose leave was acknowledged."""
    while True:
        for machine in site.world.machines:
            if machine.reconciler is not None:
                node = machine.reconciler.node
                target = node.target
                if target is not None and target.lifetime in site.left and node.is_mesh_known:
                    assert not node_module.is_open(node), (machine.name, target)
        await trio.sleep(0.05)


def check_calm(site: Site) -> None:
    """Check what all nodes believe after a calm time."""
    for number, machine in enumerate(site.world.machines):
        assert machine.reconciler is not None
        node = machine.reconciler.node
        present = site.targets[number]
        lifetime = member.name_lifetime(present.name, present.born)
        if present.state == "ready":
            assert node.target is not None and node.target.lifetime == lifetime, machine.name
            assert node_module.is_open(node) and node_module.is_trusted(node), machine.name
        announced = {other.lifetime: other.state for other in node.members.values()}
        for other in site.targets:
            name = member.name_lifetime(other.name, other.born)
            is_ready = announced.get(name) is member.TargetState.READY
            if other.state == "ready":
                assert is_ready, (machine.name, name)
            elif name in site.left:
                assert not is_ready, (machine.name, name)
        assert not any(
            announced.get(gone) is member.TargetState.READY for gone in site.left
        ), machine.name


@pytest.mark.parametrize("seed", range(12))
async def test_acknowledged_leaves_outlive_all_processes(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, seed: int
) -> None:
    """Guards against work for a target that has left, and against refusing one that has not."""
    world = test_reconciliation.World(
        state=metadata.Metadata(now=trio.current_time, delay_s=0.004),
        nursery=nursery,
        machines=[],
        start_numbers=itertools.count(1),
    )
    site = Site(world=world, rng=random.Random(seed), births=itertools.count(100))
    for number in range(MACHINES):
        name = identity.NodeId(f"n{number}")
        world.machines.append(test_reconciliation.Machine(name=name, number=number))
        site.targets.append(Target(name=f"i-{number}", born=next(site.births)))
        await nursery.start(run_node, site, number)
        nursery.start_soon(run_target, site, number)
    nursery.start_soon(watch, site)
    await trio.sleep(6.0)
    for _ in range(STEPS):
        await do_step(site)
        await trio.sleep(site.rng.choice([0.0, 0.1, 0.7, 2.0]))
        if site.rng.random() < 0.1:
            world.state.faults = {}
            await trio.sleep(CALM_S)
            check_calm(site)
    world.state.faults = {}
    await trio.sleep(CALM_S)
    check_calm(site)
    # All nodes restart at once after a leave that the store has.
    last = site.targets[0] = Target(name="i-0", born=next(site.births))
    await trio.sleep(3.0)
    last.is_reporting, last.state = False, "draining"
    assert await deliver(site, 0, build_leave(last))
    record_ack(site, last)
    late = [build_report(site, 0), build_report(site, 0)]
    await restart(site, range(MACHINES))
    for report in late:
        await deliver(site, 0, report)
    await trio.sleep(CALM_S)
    check_calm(site)
    nursery.cancel_scope.cancel()
