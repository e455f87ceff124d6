"""Prints how many shards each policy moves when nodes and zones come and go."""

import dataclasses
import math
import random

import defopt
import msgspec

from bench import model, policies, table
from ebonyvalve.process import assignment, identity
from ebonyvalve.version import objects, placement, route

# Reported loads are off by a factor exp(x); x has this deviation and is forgotten with this time
# constant, as the owners' accounting has one of its own.
NOISE = 0.3
NOISE_S = 3.0
STEADY_S = 600.0
# A node that carries this part of the mean has its full load.
FULL = 0.9


@dataclasses.dataclass(kw_only=True)
class Run:
    """One policy on one deployment."""

    cell: model.Cell
    rng: random.Random
    place: assignment.PlaceShards
    # Exact loads and shares of hot keys for the present set of shards.
    loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    hot_keys: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    errors: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)


def advance(run: Run, seconds: float, noise: float = NOISE) -> list[assignment.Move]:
    """Run rounds and return the moves.

    :param run: changed in place.
    :param seconds: how long.
    :param noise: the deviation of the reported loads.
    """
    cell = run.cell
    start = len(cell.moves)
    keep = math.exp(-model.ROUND_S / NOISE_S)
    for _ in range(round(seconds / model.ROUND_S)):
        if run.loads.keys() != cell.owners.keys():
            run.loads = model.sum_loads(cell)
            run.hot_keys = model.list_hot_shares(cell, run.loads)
        for shard in run.loads:
            drawn = run.rng.gauss(0.0, noise) * math.sqrt(1.0 - keep * keep)
            run.errors[shard] = keep * run.errors.get(shard, 0.0) + drawn
        reported = {shard: load * math.exp(run.errors[shard]) for shard, load in run.loads.items()}
        model.run_round(cell, run.place, reported, run.hot_keys)
    return cell.moves[start:]


def measure(deployment: model.Deployment, policy: str, seed: int) -> tuple[list[str], list[str]]:
    """Return the rows of the two tables for a policy.

    :param deployment: the deployment.
    :param policy: ``ebonyvalve`` or the name of a baseline.
    :param seed: the seed of keys and noise.
    """
    cell = model.build_cell(deployment, random.Random(seed))
    state = placement.State()

    def build(snapshot: route.Snapshot) -> assignment.PlaceShards:
        if policy in policies.BASELINES:
            return policies.build_place(snapshot, policies.BASELINES[policy])
        return placement.build_place(snapshot, state)

    plain = model.build_snapshot(cell)
    run = Run(cell=cell, rng=random.Random(seed), place=build(plain))
    everyone = set(cell.members)

    def imbalance(nodes: set[identity.NodeId]) -> str:
        return f"{model.find_imbalance(cell, model.sum_loads(cell), set(nodes)):.2f}"

    advance(run, 120.0)
    start = imbalance(everyone)
    steady = len(advance(run, STEADY_S))
    lost = sorted(cell.members)[1]
    owned = {shard for shard, owner in cell.owners.items() if owner == lost}
    member = cell.members.pop(lost)
    moves = advance(run, 60.0)
    others = sum(move.shard not in owned for move in moves)
    after_loss = imbalance(everyone - {lost})
    cell.members[lost] = member
    returned = len(advance(run, 120.0))
    after_return = imbalance(everyone)
    churn = [policy, start, str(steady), str(len(owned)), str(len(moves)), str(others)]
    churn += [after_loss, f"{len(cell.owners) / len(everyone):.0f}", str(returned), after_return]

    zone = member.zone
    inside = {node for node, other in cell.members.items() if other.zone == zone}
    in_zone = model.count_owned(cell, inside)
    order = objects.DrainOrder(name="out", reason="maintenance", zone=zone)
    run.place = build(model.build_snapshot(cell, [order]))
    out, empty_s = 0, 0.0
    for _ in range(round(60.0 / model.ROUND_S)):
        if model.count_owned(cell, inside):
            empty_s += model.ROUND_S
        out += len(advance(run, model.ROUND_S))
    after_out = imbalance(everyone - inside)
    run.place = build(plain)
    back = len(advance(run, 120.0))
    fair = len(cell.owners) * len(inside) / len(everyone)
    zones = [policy, str(len(inside)), str(in_zone), str(out), f"{empty_s:.1f}", after_out]
    zones += [f"{fair:.0f}", str(back), imbalance(everyone)]
    return churn, zones


def measure_cold(deployment: model.Deployment, seed: int) -> list[str]:
    """Return the highest load of a cold target over what its slow start bears, while it warms up.

    :param deployment: the deployment.
    :param seed: the seed of keys and noise.
    """
    cell = model.build_cell(deployment, random.Random(seed))
    state = placement.State()
    place = placement.build_place(model.build_snapshot(cell), state)
    run = Run(cell=cell, rng=random.Random(seed), place=place)
    advance(run, 120.0)
    node = sorted(cell.members)[1]
    member = cell.members.pop(node)
    advance(run, 30.0)
    cell.members[node] = msgspec.structs.replace(member, is_cold=True)
    start_s = cell.now_s
    worst, full_s = 0.0, math.nan
    while cell.now_s < start_s + 60.0:
        if cell.now_s >= start_s + cell.service.warm_up_s:
            cell.members[node] = member
        advance(run, model.ROUND_S)
        loads = model.sum_loads(cell)
        load = sum(loads[shard] for shard, owner in cell.owners.items() if owner == node)
        since_s = start_s if cell.members[node].is_cold else None
        limit = placement.find_capacity(member, cell.service, since_s, cell.now_s)
        worst = max(worst, load / limit)
        mean = sum(loads.values()) / len(cell.members)
        if load >= FULL * mean:
            full_s = cell.now_s - start_s if math.isnan(full_s) else full_s
    return [
        deployment.name,
        f"{cell.service.warm_up_s:.0f}",
        f"{worst:.2f}",
        "never" if math.isnan(full_s) else f"{full_s:.1f}",
    ]


def main(*, seed: int = 1) -> None:
    """Print the tables.

    :param seed: the seed of keys and noise.
    """
    names = ["ebonyvalve", *policies.BASELINES]
    for deployment in model.DEPLOYMENTS:
        results = [measure(deployment, policy, seed) for policy in names]
        print(f"{deployment.name}: one node lost for 60 s, noise for {STEADY_S:.0f} s before")
        heads = ["policy", "imbalance", "moved in noise", "owned by lost", "moved at loss"]
        heads += ["of others", "imbalance", "fair share", "moved at return", "imbalance"]
        table.show(heads, [churn for churn, _ in results])
        print(f"{deployment.name}: the lost node's zone out for 60 s and back")
        heads = ["policy", "nodes in zone", "owned in zone", "moved out", "empty after s"]
        heads += ["imbalance", "fair share", "moved back", "imbalance"]
        table.show(heads, [zones for _, zones in results])
    print("Cold target of ebonyvalve: highest load over what its slow start bears")
    heads = ["deployment", "warm-up s", "highest load / limit", "full load after s"]
    table.show(heads, [measure_cold(deployment, seed) for deployment in model.DEPLOYMENTS])


if __name__ == "__main__":
    defopt.run(main)
