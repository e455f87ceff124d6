"""Measures the time and memory of one placement round, for cells of several sizes."""

import random
import statistics
import time
import tracemalloc

import defopt

from bench import model, table
from ebonyvalve.process import assignment, identity
from ebonyvalve.version import placement

ROUNDS = 100
CELL_NODES = 24
# As many partitions per node as a service with 256 partitions and 6 instances has.
CELL_PARTITIONS = 1024


def build_view(
    cell: model.Cell, loads: dict[identity.ShardId, float], rng: random.Random
) -> assignment.PlacementView:
    """Return a placement view whose loads have a random error of up to 10%.

    :param cell: the cell.
    :param loads: the exact loads.
    :param rng: draws the errors.
    """
    cell.now_s += model.ROUND_S
    return assignment.PlacementView(
        members=dict(cell.members),
        owners=dict(cell.owners),
        loads={shard: load * rng.uniform(0.9, 1.1) for shard, load in loads.items()},
        hot_keys=model.list_hot_shares(cell, loads),
        now_s=cell.now_s,
    )


def measure(deployment: model.Deployment, seed: int) -> list[str]:
    """Return the table row of a cell.

    :param deployment: the size of the cell.
    :param seed: seeds the keys and the errors of loads.
    """
    rng = random.Random(seed)
    cell = model.build_cell(deployment, rng, keys=20_000)
    state = placement.State()
    place = placement.build_place(model.build_snapshot(cell), state)
    for _ in range(40):
        loads = model.sum_loads(cell)
        model.run_round(cell, place, loads, model.list_hot_shares(cell, loads))
    quiet_times = []
    for _ in range(ROUNDS):
        view = build_view(cell, loads, rng)
        start_s = time.perf_counter()
        place(view)
        quiet_times.append(time.perf_counter() - start_s)
    tracemalloc.start()
    view = build_view(cell, loads, rng)
    before, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    place(view)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Remove the node with the most shards; other nodes may own only one hot key.
    lost_node = max(cell.members, key=lambda node: model.count_owned(cell, [node]))
    del cell.members[lost_node]
    for shard, owner in cell.owners.items():
        cell.owners[shard] = None if owner == lost_node else owner
    view = build_view(cell, loads, rng)
    start_s = time.perf_counter()
    moves = len(place(view).moves)
    loss_round_s = time.perf_counter() - start_s
    quiet_ms = statistics.median(quiet_times) * 1000.0
    return [
        str(len(deployment.zones)),
        str(len(cell.owners)),
        f"{quiet_ms:.1f}",
        f"{max(quiet_times) * 1000.0:.1f}",
        str(moves),
        f"{loss_round_s * 1000.0:.1f}",
        f"{(peak - before) / 1024.0:.0f}",
        f"{quiet_ms / 1000.0 / model.ROUND_S * 100.0:.1f}",
    ]


def main(*, seed: int = 1) -> None:
    """Print the table.

    :param seed: seeds the keys and the errors of loads.
    """
    service = identity.ServiceId("stock")
    zones = [identity.ZoneId(zone) for zone in ("a", "b", "c", "d")]
    sizes = [(6, 256), (CELL_NODES, 256), (CELL_NODES, CELL_PARTITIONS), (CELL_NODES, 4096)]
    rows = []
    for nodes, partitions in sizes:
        deployment = model.Deployment(
            name="cell",
            service=service,
            zones=(zones * nodes)[:nodes],
            slots=10,
            partitions=partitions,
        )
        rows.append(measure(deployment, seed))
    heads = ["nodes", "shards", "quiet round ms", "longest ms", "moves at loss", "loss round ms"]
    heads += ["peak KiB of a round", f"% of a core at one round in {model.ROUND_S} s"]
    table.show(heads, rows)


if __name__ == "__main__":
    defopt.run(main)
