"""What members and ledgers cost the store and the links, at several numbers of machines.

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
from tests.process.keyspace import test_steward

GATHER_S = 10.0
REST_S = 20.0
MOVES_S = 10.0
MOVE_PERIOD_S = 1.0
Kind = tuple[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Calls, bytes of answers and messages between nodes in a while."""

    seconds: float
    calls: collections.Counter[Kind]
    told: collections.Counter[Kind]
    pushes: int
    writes: int


async def build_world(nursery: trio.Nursery, count: int) -> test_steward.World:
    world = test_steward.World(
        state=metadata.Metadata(now=trio.current_time, delay_s=0.004),
        nursery=nursery,
        machines=[],
        births=itertools.count(1),
        is_connected=True,
    )
    for number in range(count):
        machine = test_steward.Machine(name=identity.NodeId(f"sidecar-{number}"), number=number)
        world.machines.append(machine)
        nursery.start_soon(test_steward.run_node, world, machine)
        test_steward.start_target(world, machine)
        # Machines don't start at one moment.
        await trio.sleep(0.3 / count)
    await trio.sleep(GATHER_S)
    return world


async def move_keys(world: test_steward.World, number: int) -> None:
    """Let a node order a move of a few of its keys, as one does that relieves its target."""
    machine = world.machines[number % len(world.machines)]
    other = world.machines[(number * 7 + 3) % len(world.machines)]
    keeper = machine.keeper
    assert keeper is not None and machine.target is not None and other.target is not None
    while True:
        book = keeper.node.ledgers[test_steward.SERVICE]
        own = test_steward.name_lifetime(machine.target)
        span = ledger.list_held(book.ledger, own)[0]
        heir = ledger.Candidate(
            node=other.name, lifetime=test_steward.name_lifetime(other.target), weight=1
        )
        moved = ledger.plan_move(book.ledger, span.first, span.first + 4, heir)
        name = records.name_ledger_row(test_steward.SERVICE)
        if await reconciliation._write_ledger(keeper, name, book.version, moved, {}) and (
            test_steward.SERVICE in keeper.node.ledgers
            and any(
                one.successor == heir.lifetime and one.holder == own
                for one in keeper.node.ledgers[test_steward.SERVICE].ledger.spans
            )
        ):
            return


async def measure_phase(world: test_steward.World, seconds: float, *, moves: bool) -> Cost:
    state = world.state
    calls, told = state.asked.copy(), state.told.copy()
    pushes, writes = len(world.pushed_to), test_steward.count_ledgers(world)
    started_at = trio.current_time()
    for number in itertools.count():
        if trio.current_time() >= started_at + seconds:
            break
        if moves:
            world.nursery.start_soon(move_keys, world, number)
        await trio.sleep(MOVE_PERIOD_S)
    return Cost(
        seconds=trio.current_time() - started_at,
        calls=state.asked - calls,
        told=state.told - told,
        pushes=len(world.pushed_to) - pushes,
        writes=test_steward.count_ledgers(world) - writes,
    )


async def measure(count: int) -> tuple[Cost, Cost]:
    """Return the cost at rest, and that while a move is ordered each second."""
    found: list[Cost] = []
    async with trio.open_nursery() as nursery:
        world = await build_world(nursery, count)
        found.append(await measure_phase(world, REST_S, moves=False))
        found.append(await measure_phase(world, MOVES_S, moves=True))
        nursery.cancel_scope.cancel()
    return found[0], found[1]


def measure_alone(count: int) -> tuple[Cost, Cost]:
    test_steward.fix_schedule(1)
    return trio.run(measure, count, clock=trio.testing.MockClock(autojump_threshold=0))


def test_calls_grow_no_faster_than_the_machines() -> None:
    """Grown sites: the calls of each write of a ledger were a fifth of the day's worth.

    A write costs each node one call at most, its writers one each, and the nodes of a move a
    message each.
    """
    few, many = measure_alone(8), measure_alone(24)
    for one, count in ((few[0], 8), (many[0], 24)):
        assert one.calls.total() / one.seconds < 0.75 * count
        assert one.pushes == 0 and one.writes == 0
    for (rest, busy), count in ((few, 8), (many, 24)):
        added = busy.calls.total() / busy.seconds - rest.calls.total() / rest.seconds
        follows = count / records.DEBOUNCE_S
        assert added < follows + 3 * busy.writes / busy.seconds
        assert busy.pushes <= 2 * busy.writes


def render(count: int, name: str, cost: Cost) -> str:
    parts = [
        f"{path.removeprefix('/rows-')} {table} {calls / cost.seconds:.1f}/s"
        f" {cost.told[path, table] / cost.seconds / 1000:.1f} KB/s"
        for (path, table), calls in sorted(cost.calls.items())
    ]
    return (
        f"{count} {name}: {cost.calls.total() / cost.seconds:.1f} calls/s,"
        f" {cost.told.total() / cost.seconds / 1000:.0f} KB/s, {cost.writes / cost.seconds:.1f}"
        f" ledgers/s, {cost.pushes / cost.seconds:.1f} messages/s: {'; '.join(parts)}"
    )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    for text in sys.argv[1:]:
        for name, cost in zip(("rest", "moves"), measure_alone(int(text)), strict=True):
            print(render(int(text), name, cost), flush=True)
