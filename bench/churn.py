"""Measures how many shards each placement policy moves when nodes and zones leave and return."""

import dataclasses
import math
import random

import defopt
import msgspec

from bench import model, policies, table
from ebonyvalve.process import assignment, identity
from ebonyvalve.version import objects, placement, route

# Reported loads are wrong by a factor exp(x). x is random with this standard deviation and decays
# with this time constant in seconds, as the owners' accounting averages over time.
NOISE = 0.3
NOISE_S = 3.0
STEADY_S = 600.0
# A node counts as fully loaded at this share of the mean load.
FULL_LOAD_SHARE = 0.9


@dataclasses.dataclass(kw_only=True)
class PolicyRun:
    """The state of one policy on one deployment."""

    cell: model.Cell
    rng: random.Random
    place: assignment.PlaceShards
    # Exact loads and shares of hot keys, for the current set of shards.
    loads: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    hot_keys: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # Logarithm of reported over exact load.
    errors: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)


def advance(run: PolicyRun, seconds: float, noise: float = NOISE) -> list[assignment.Move]:
    """Run rounds and return the moves.

    :param run: changed in place.
    :param seconds: how long, in seconds of simulated time.
    :param noise: standard deviation of the logarithm of reported over exact load.
    """
    cell = run.cell
    start = len(cell.moves)
    decay = math.exp(-model.ROUND_S / NOISE_S)
    for _ in range(round(seconds / model.ROUND_S)):
        if run.loads.keys() != cell.owners.keys():
            run.loads = model.sum_loads(cell)
            run.hot_keys = model.list_hot_shares(cell, run.loads)
        for shard in run.loads:
            innovation = run.rng.gauss(0.0, noise) * math.sqrt(1.0 - decay * decay)
            run.errors[shard] = decay * run.errors.get(shard, 0.0) + innovation
        reported = {shard: load * math.exp(run.errors[shard]) for shard, load in run.loads.items()}
        model.run_round(cell, run.place, reported, run.hot_keys)
    return cell.moves[start:]


def measure(deployment: model.Deployment, policy: str, seed: int) -> tuple[list[str], list[str]]:
    """Return the rows of a policy in the tables of lost nodes and of drained zones.

    :param deployment: the deployment.
    :param policy: ``ebonyvalve`` or the name of a baseline.
    :param seed: seeds the keys and the errors of loads.
    """
    cell = model.build_cell(deployment, random.Random(seed))
    state = placement.State()

    def build(snapshot: route.Snapshot) -> assignment.PlaceShards:
        if policy in policies.BASELINES:
            return policies.build_place(snapshot, policies.BASELINES[policy])
        return placement.build_place(snapshot, state)

    undrained = model.build_snapshot(cell)
    run = PolicyRun(cell=cell, rng=random.Random(seed), place=build(undrained))
    all_nodes = set(cell.members)

    def imbalance(nodes: set[identity.NodeId]) -> str:
        return f"{model.find_imbalance(cell, model.sum_loads(cell), set(nodes)):.2f}"

    advance(run, 120.0)
    start_imbalance = imbalance(all_nodes)
    steady_moves = len(advance(run, STEADY_S))
    lost = sorted(cell.members)[1]
    owned = {shard for shard, owner in cell.owners.items() if owner == lost}
    member = cell.members.pop(lost)
    moves = advance(run, 60.0)
    moves_of_others = sum(move.shard not in owned for move in moves)
    after_loss = imbalance(all_nodes - {lost})
    cell.members[lost] = member
    moves_at_return = len(advance(run, 120.0))
    after_return = imbalance(all_nodes)
    churn = [
        policy,
        start_imbalance,
        str(steady_moves),
        str(len(owned)),
        str(len(moves)),
        str(moves_of_others),
    ]
    churn += [
        after_loss,
        f"{len(cell.owners) / len(all_nodes):.0f}",
        str(moves_at_return),
        after_return,
    ]

    zone = member.zone
    zone_nodes = {node for node, other in cell.members.items() if other.zone == zone}
    in_zone = model.count_owned(cell, zone_nodes)
    drain = objects.DrainOrder(name="out", reason="maintenance", zone=zone)
    run.place = build(model.build_snapshot(cell, [drain]))
    moved_out, empty_s = 0, 0.0
    for _ in range(round(60.0 / model.ROUND_S)):
        if model.count_owned(cell, zone_nodes):
            empty_s += model.ROUND_S
        moved_out += len(advance(run, model.ROUND_S))
    after_drain = imbalance(all_nodes - zone_nodes)
    run.place = build(undrained)
    moved_back = len(advance(run, 120.0))
    fair_share = len(cell.owners) * len(zone_nodes) / len(all_nodes)
    zones = [
        policy,
        str(len(zone_nodes)),
        str(in_zone),
        str(moved_out),
        f"{empty_s:.1f}",
        after_drain,
    ]
    zones += [f"{fair_share:.0f}", str(moved_back), imbalance(all_nodes)]
    return churn, zones


def measure_cold(deployment: model.Deployment, seed: int) -> list[str]:
    """Return a row with the highest load of a warming target over its slow start limit.

    :param deployment: the deployment.
    :param seed: seeds the keys and the errors of loads.
    """
    cell = model.build_cell(deployment, random.Random(seed))
    state = placement.State()
    place = placement.build_place(model.build_snapshot(cell), state)
    run = PolicyRun(cell=cell, rng=random.Random(seed), place=place)
    advance(run, 120.0)
    node = sorted(cell.members)[1]
    member = cell.members.pop(node)
    advance(run, 30.0)
    cell.members[node] = msgspec.structs.replace(member, is_cold=True)
    start_s = cell.now_s
    highest_ratio, full_after_s = 0.0, math.nan
    while cell.now_s < start_s + 60.0:
        if cell.now_s >= start_s + cell.service.warm_up_s:
            cell.members[node] = member
        advance(run, model.ROUND_S)
        loads = model.sum_loads(cell)
        load = sum(loads[shard] for shard, owner in cell.owners.items() if owner == node)
        cold_since_s = start_s if cell.members[node].is_cold else None
        limit = placement.find_capacity(member, cell.service, cold_since_s, cell.now_s)
        highest_ratio = max(highest_ratio, load / limit)
        mean = sum(loads.values()) / len(cell.members)
        if load >= FULL_LOAD_SHARE * mean:
            full_after_s = cell.now_s - start_s if math.isnan(full_after_s) else full_after_s
    return [
        deployment.name,
        f"{cell.service.warm_up_s:.0f}",
        f"{highest_ratio:.2f}",
        "never" if math.isnan(full_after_s) else f"{full_after_s:.1f}",
    ]


def main(*, seed: int = 1) -> None:
    """Print the tables.

    :param seed: seeds the keys and the errors of loads.
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
