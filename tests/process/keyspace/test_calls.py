"""The cost of members and ledgers in calls and bytes, by the number of machines.

``python -m tests.process.keyspace.test_calls 14 88`` prints the table of docs/CAPACITY.md.
"""

import collections
import dataclasses
import itertools
import logging
import sys

import trio
import trio.testing

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger, reconciliation, records
from ebonyvalve.standin import metadata
from tests.process.keyspace import test_reconciliation

DISCOVERY_S = 10.0
REST_S = 20.0
MOVES_S = 10.0
MOVE_PERIOD_S = 1.0
CallKind = tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """The cost over a period: calls and answer bytes of the store, pushes and ledger writes."""

    seconds: float
    calls: collections.Counter[CallKind]
    answer_bytes: collections.Counter[CallKind]
    pushes: int
    writes: int


async def build_world(nursery: trio.Nursery, count: int) -> test_reconciliation.World:
    world = test_reconciliation.World(
        state=metadata.Metadata(now=trio.current_time, delay_s=0.004),
        nursery=nursery,
        machines=[],
        start_numbers=itertools.count(1),
        is_connected=True,
    )
    for number in range(count):
        machine = test_reconciliation.Machine(
            name=identity.NodeId(f"sidecar-{number}"), number=number
        )
        world.machines.append(machine)
        nursery.start_soon(test_reconciliation.run_node, world, machine)
        test_reconciliation.start_target(world, machine)
        # Machines don't all start at the same moment.
        await trio.sleep(0.3 / count)
    await trio.sleep(DISCOVERY_S)
    return world


async def move_keys(world: test_reconciliation.World, number: int) -> None:
    """Let a node plan a move of a few of its keys, as it does when it rebalances."""
    machine = world.machines[number % len(world.machines)]
    other = world.machines[(number * 7 + 3) % len(world.machines)]
    reconciler = machine.reconciler
    assert reconciler is not None and machine.target is not None and other.target is not None
    while True:
        versioned_ledger = reconciler.node.ledgers[test_reconciliation.SERVICE]
        own_lifetime = test_reconciliation.name_lifetime(machine.target)
        span = ledger.list_held(versioned_ledger.ledger, own_lifetime)[0]
        successor = ledger.Candidate(
            node=other.name, lifetime=test_reconciliation.name_lifetime(other.target), weight=1
        )
        moved = ledger.plan_move(versioned_ledger.ledger, span.first, span.first + 4, successor)
        name = records.name_ledger_row(test_reconciliation.SERVICE)
        written = await reconciliation._write_ledger(
            reconciler, name, versioned_ledger.version, moved, {}
        )
        if written is not reconciliation.Written.FAILED and (
            test_reconciliation.SERVICE in reconciler.node.ledgers
            and any(
                planned.successor == successor.lifetime and planned.holder == own_lifetime
                for planned in reconciler.node.ledgers[test_reconciliation.SERVICE].ledger.spans
            )
        ):
            return


async def measure_phase(world: test_reconciliation.World, seconds: float, *, moves: bool) -> Cost:
    state = world.state
    calls, answer_bytes = state.calls_by_table.copy(), state.reply_bytes_by_table.copy()
    pushes, writes = len(world.pushed_to), test_reconciliation.count_ledgers(world)
    started_at = trio.current_time()
    for number in itertools.count():
        if trio.current_time() >= started_at + seconds:
            break
        if moves:
            world.nursery.start_soon(move_keys, world, number)
        await trio.sleep(MOVE_PERIOD_S)
    return Cost(
        seconds=trio.current_time() - started_at,
        calls=state.calls_by_table - calls,
        answer_bytes=state.reply_bytes_by_table - answer_bytes,
        pushes=len(world.pushed_to) - pushes,
        writes=test_reconciliation.count_ledgers(world) - writes,
    )


async def measure(count: int) -> tuple[Cost, Cost]:
    """Return the cost at rest, and the cost while one move is planned per second."""
    found: list[Cost] = []
    async with trio.open_nursery() as nursery:
        world = await build_world(nursery, count)
        found.append(await measure_phase(world, REST_S, moves=False))
        found.append(await measure_phase(world, MOVES_S, moves=True))
        nursery.cancel_scope.cancel()
    return found[0], found[1]


def measure_alone(count: int) -> tuple[Cost, Cost]:
    test_reconciliation.fix_schedule(1)
    return trio.run(measure, count, clock=trio.testing.MockClock(autojump_threshold=0))


def test_calls_grow_no_faster_than_the_machines() -> None:
    """At large sites, the calls caused by ledger writes were a fifth of all calls of a day.

    A write may cost each node at most one call, each writer one more, and each of the two nodes of
    a move one message.
    """
    few, many = measure_alone(8), measure_alone(24)
    for cost, count in ((few[0], 8), (many[0], 24)):
        assert cost.calls.total() / cost.seconds < 0.75 * count
        assert cost.pushes == 0 and cost.writes == 0
    for (rest, busy), count in ((few, 8), (many, 24)):
        added = busy.calls.total() / busy.seconds - rest.calls.total() / rest.seconds
        follows = count / records.DEBOUNCE_S
        assert added < follows + 3 * busy.writes / busy.seconds
        assert busy.pushes <= 2 * busy.writes


def render(count: int, name: str, cost: Cost) -> str:
    parts = [
        f"{path.removeprefix('/rows-')} {table} {calls / cost.seconds:.1f}/s"
        f" {cost.answer_bytes[path, table] / cost.seconds / 1000:.1f} KB/s"
        for (path, table), calls in sorted(cost.calls.items())
    ]
    return (
        f"{count} {name}: {cost.calls.total() / cost.seconds:.1f} calls/s,"
        f" {cost.answer_bytes.total() / cost.seconds / 1000:.0f} KB/s,"
        f" {cost.writes / cost.seconds:.1f} ledgers/s,"
        f" {cost.pushes / cost.seconds:.1f} messages/s: {'; '.join(parts)}"
    )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    for text in sys.argv[1:]:
        for name, cost in zip(("rest", "moves"), measure_alone(int(text)), strict=True):
            print(render(int(text), name, cost), flush=True)
