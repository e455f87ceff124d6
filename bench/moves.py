"""Measures what planned moves and a store outage cost callers.

``python -m bench.moves --seed 1`` prints one row per deployment and move: a node that stops, a zone
that is drained, and the end of its drain. The added latency is relative to runs with the same seeds
without a move. ``--store-down-s 600`` takes the store down instead and sends a request every 2 s.
"""

import concurrent.futures
import dataclasses
import enum
import logging
import random

import defopt
import trio
import trio.testing

from bench import history, load, table
from bench import world as worlds
from ebonyvalve.process import daemon, identity

DEPLOYMENTS = {"Andinaflota": worlds.ANDINAFLOTA, "Chambre Noire": worlds.CHAMBRE_NOIRE}
CALLERS = 8
PAUSE_S = 0.08
WARM_S = 1.5
OBSERVATION_S = 4.0
REQUEST_INTERVAL_S = 2.0
# The refusal of a request without a one-time token is part of the protocol, which then sends one.
EXPECTED_REASON = "token-required"


class Move(enum.Enum):
    """The planned moves; NONE is the reference without one."""

    NONE = "none"
    STOP = "node stops"
    OUT = "zone out"
    BACK = "zone back"


@dataclasses.dataclass(kw_only=True)
class CallerResults:
    """The results of requests that ended after a move began. Times are in seconds.

    ``unknown`` counts requests that may or may not have run; ``last_work_s`` is how long after the
    move a target that is to be free of work last began a request.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    last_work_s: float | None = None


async def simulate(shape: worlds.Shape, move: Move, seed: int) -> CallerResults:
    """Make one move under traffic and return the results of the callers' requests.

    :param shape: the size of the mesh.
    :param move: the move.
    :param seed: seeds every random choice.
    """
    rng = random.Random(seed)
    zone = shape.zones[0]
    async with trio.open_nursery() as nursery:
        world = worlds.build_world(shape, seed, nursery)
        drained = zone if move is Move.BACK else None
        await worlds.start(world, worlds.list_objects(shape, drained=drained))
        await trio.sleep(WARM_S)
        owned = worlds.count_owned(world)
        busiest = world.hosts[max(sorted(owned), key=lambda node: owned[node])]
        # Callers are told to use other nodes before a planned stop.
        nodes = [str(name) for name in sorted(world.hosts) if name != busiest.cfg.node]
        caller_load = load.Load(world=world, random=rng, pause_s=PAUSE_S, nodes=nodes)
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(load.run_caller, caller_load)
            await trio.sleep(WARM_S)
            began_s = trio.current_time()
            if move is Move.STOP and busiest.node is not None:
                await daemon.stop(busiest.node)
                worlds.kill_node(world, busiest)
                worlds.kill_target(world, busiest)
            elif move is not Move.NONE:
                drained_after = zone if move is Move.OUT else None
                await worlds.publish_objects(
                    world, worlds.list_objects(shape, drained=drained_after)
                )
            completed_s = trio.current_time()
            await trio.sleep(began_s + OBSERVATION_S - trio.current_time())
            caller_load.is_ended = True
        results = summarise(caller_load.sent, began_s)
        work_times = [
            run.start_s - completed_s
            for host in world.hosts.values()
            if (host.cfg.zone == zone if move is Move.OUT else host is busiest)
            for run in host.toy.runs
        ]
        results.last_work_s = (
            max(work_times, default=0.0) if move in (Move.OUT, Move.STOP) else None
        )
        nursery.cancel_scope.cancel()
    return results


def summarise(sent: list[history.SentRequest], began_s: float) -> CallerResults:
    """Return the results of the requests that ended after a time.

    :param sent: the requests of the callers.
    :param began_s: the time, in seconds of simulated time.
    """
    results = CallerResults()
    for entry in sent:
        if entry.end_s < began_s or entry.reason == EXPECTED_REASON:
            continue
        results.latencies.append(entry.end_s - entry.start_s)
        results.answered += entry.verdict == "answered"
        results.refused += entry.verdict == "not-run"
        results.unknown += entry.verdict not in ("answered", "not-run")
    return results


def run_case(case: tuple[str, Move, int]) -> CallerResults:
    """Run one case on a mock clock; see :func:`simulate`.

    :param case: deployment, move and seed.
    """
    name, move, seed = case
    prepare(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(simulate, DEPLOYMENTS[name], move, seed, clock=clock)


def prepare(seed: int) -> None:
    """Make trio's scheduler deterministic and disable logging.

    :param seed: seeds the scheduler.
    """
    logging.disable(logging.CRITICAL)
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio._core._run._r.seed(seed)


async def measure_store_outage(seconds: float, seed: int) -> tuple[int, int, float]:
    """Send requests while the store is down.

    Returns the number of requests, the number that failed, and the longest latency in seconds.

    :param seconds: how long the store is down.
    :param seed: seeds every random choice.
    """
    async with trio.open_nursery() as nursery:
        world = worlds.build_world(worlds.SMALL, seed, nursery)
        await worlds.start(world, worlds.list_objects(worlds.SMALL))
        await trio.sleep(WARM_S)
        world.memory.is_down = True
        end_s = trio.current_time() + seconds
        requests, failures, longest_s = 0, 0, 0.0
        while trio.current_time() < end_s:
            node = identity.NodeId(world.random.choice(sorted(world.hosts)))
            start_s = trio.current_time()
            answer = await worlds.call(world, node, "GET", f"/calendrier/k{requests}/look")
            requests += 1
            failures += answer.status != 200
            longest_s = max(longest_s, trio.current_time() - start_s)
            await trio.sleep(REQUEST_INTERVAL_S)
        nursery.cancel_scope.cancel()
    return requests, failures, longest_s


def main(*, seed: int = 1, seeds: int = 2, workers: int = 3, store_down_s: float = 0.0) -> None:
    """Print what moves, or a store outage, cost callers.

    :param seed: the first seed.
    :param seeds: number of runs of each case.
    :param workers: number of processes.
    :param store_down_s: seconds for which the store is down; 0 for the moves.
    """
    if store_down_s:
        prepare(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        requests, failures, longest_s = trio.run(
            measure_store_outage, store_down_s, seed, clock=clock
        )
        print(
            f"store down {store_down_s:.0f} s: {requests} requests, {failures} not answered, ",
            end="",
        )
        print(f"longest wait {1000 * longest_s:.1f} ms")
        return
    runs = range(seed, seed + seeds)
    cases = [(name, move, number) for name in DEPLOYMENTS for move in Move for number in runs]
    with concurrent.futures.ProcessPoolExecutor(max_workers=workers) as executor:
        results = dict(zip(cases, executor.map(run_case, cases), strict=True))
    rows = []
    for name in DEPLOYMENTS:
        reference_p99_s = find_p99([results[name, Move.NONE, number] for number in runs])
        for move in Move:
            rows.append(
                build_row(name, move, [results[name, move, n] for n in runs], reference_p99_s)
            )
    heads = ["deployment", "move", "requests", "refused", "cut", "success %"]
    table.show([*heads, "p99 ms", "added ms", "last new work s"], rows)


def find_p99(results: list[CallerResults]) -> float:
    """Return the 99th percentile of the latency in seconds.

    :param results: the results of the runs of one case.
    """
    latencies = sorted(value for entry in results for value in entry.latencies)
    return latencies[int(0.99 * (len(latencies) - 1))]


def build_row(
    name: str, move: Move, results: list[CallerResults], reference_p99_s: float
) -> list[str]:
    """Return the cells of one row.

    :param name: the deployment.
    :param move: the move.
    :param results: the results of its runs.
    :param reference_p99_s: 99th percentile of the latency without a move, in seconds.
    """
    count = sum(len(entry.latencies) for entry in results)
    last_work_times = [entry.last_work_s for entry in results if entry.last_work_s is not None]
    p99_s = find_p99(results)
    return [
        name,
        move.value,
        str(count),
        str(sum(entry.refused for entry in results)),
        str(sum(entry.unknown for entry in results)),
        f"{100 * sum(entry.answered for entry in results) / count:.2f}",
        f"{1000 * p99_s:.1f}",
        f"{1000 * (p99_s - reference_p99_s):.1f}",
        f"{max(last_work_times):.2f}" if last_work_times else "-",
    ]


if __name__ == "__main__":
    defopt.run(main)
