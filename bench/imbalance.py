"""Measures the imbalance over time after the hottest keys change all at once.

Requests are drawn one by one and recorded by the owners' real accounting, so that loads have its
delays and errors.
"""

import itertools
import math
import random

import defopt

from bench import model, policies, table
from ebonyvalve.process import accounting, assignment, identity
from ebonyvalve.version import placement

# Mean service time of a request; service times have an exponential distribution.
MEAN_SERVICE_S = 0.005
CHANGES = 5
SETTLE_S = 60.0
OBSERVATION_S = 60.0
BOUND = 1.25
REPORTED_TIMES_S = [0.0, 5.0, 10.0, 15.0, 20.0, 30.0, 60.0]


def run_requests(
    cell: model.Cell,
    accounts: dict[identity.NodeId, accounting.Account],
    cumulative_rates: list[float],
    shards: list[identity.ShardId],
    rng: random.Random,
) -> None:
    """Draw the requests of one round and record them in the accounts of their owners.

    :param cell: the cell.
    :param accounts: the account of each node; changed in place.
    :param cumulative_rates: the cumulative loads of the keys.
    :param shards: the shard of each key.
    :param rng: draws keys and service times.
    """
    count = round(cumulative_rates[-1] / MEAN_SERVICE_S * model.ROUND_S)
    indexes = rng.choices(range(len(cumulative_rates)), cum_weights=cumulative_rates, k=count)
    for position, index in enumerate(indexes):
        shard = shards[index]
        owner = cell.owners[shard]
        if owner is not None:
            now_s = cell.now_s + model.ROUND_S * position / count
            service_s = rng.expovariate(1.0 / MEAN_SERVICE_S)
            accounting.record(accounts[owner], shard, cell.keys[index], service_s, now_s)


def advance(
    cell: model.Cell,
    place: assignment.PlaceShards,
    accounts: dict[identity.NodeId, accounting.Account],
    rng: random.Random,
    seconds: float,
) -> list[float]:
    """Run rounds and return the imbalance at the start of each.

    :param cell: changed in place.
    :param place: the placement policy.
    :param accounts: the account of each node; changed in place.
    :param rng: draws the requests.
    :param seconds: how long, in seconds of simulated time.
    """
    imbalances: list[float] = []
    cumulative_rates = list(itertools.accumulate(cell.rates))
    shards: list[identity.ShardId] = []
    known_shards: set[identity.ShardId] = set()
    for _ in range(round(seconds / model.ROUND_S)):
        if known_shards != cell.owners.keys():
            known_shards = set(cell.owners)
            shards = model.find_shards(cell)
            exact_loads = model.sum_loads(cell)
        imbalances.append(model.find_imbalance(cell, exact_loads, set(cell.members)))
        run_requests(cell, accounts, cumulative_rates, shards, rng)
        end_s = cell.now_s + model.ROUND_S
        loads = {
            entry.shard: entry.load
            for account in accounts.values()
            for entry in accounting.list_loads(account, end_s)
        }
        hot_keys = {
            identity.name_key(service, key): share
            for account in accounts.values()
            for service, key, share in accounting.list_hot_keys(account, end_s)
        }
        owners_before = dict(cell.owners)
        plan = model.run_round(cell, place, loads, hot_keys)
        for move in plan.moves:
            if move.source is not None:
                accounting.forget(accounts[move.source], move.shard)
        for shard in plan.split:
            service, _, key = identity.split_shard(shard)
            parent = placement.find_parent(shard, {service: cell.service})
            owner = owners_before[parent] if parent is not None else None
            if owner is not None and parent is not None and key is not None:
                accounting.forget_key(accounts[owner], parent, key)
        for shard in plan.merge:
            owner = owners_before[shard]
            if owner is not None:
                accounting.forget(accounts[owner], shard)
    return imbalances


def find_recovery_s(imbalances: list[float]) -> float:
    """Return after how many seconds the imbalance stays within the bound; infinite if never.

    :param imbalances: the imbalance at the start of each round.
    """
    rounds_above = [number for number, value in enumerate(imbalances) if value > BOUND]
    if not rounds_above:
        return 0.0
    return (
        (rounds_above[-1] + 1) * model.ROUND_S
        if rounds_above[-1] + 1 < len(imbalances)
        else math.inf
    )


def measure(deployment: model.Deployment, policy: str, seed: int) -> list[list[str]]:
    """Return a table row for each change of the hot keys.

    :param deployment: the deployment.
    :param policy: ``ebonyvalve`` or the name of a baseline.
    :param seed: seeds keys, changes and requests.
    """
    cell = model.build_cell(deployment, random.Random(seed))
    changes = random.Random(seed + 1)
    rng = random.Random(seed + 2)
    snapshot = model.build_snapshot(cell)
    if policy in policies.BASELINES:
        place = policies.build_place(snapshot, policies.BASELINES[policy])
    else:
        place = placement.build_place(snapshot, placement.State())
    accounts = {node: accounting.Account(landmark_s=0.0) for node in cell.members}
    # Assign owners before the first requests.
    model.run_round(cell, place, {}, {})
    advance(cell, place, accounts, rng, SETTLE_S)
    rows = []
    for number in range(1, CHANGES + 1):
        model.change_hot_keys(cell, changes)
        moves_before = len(cell.moves)
        imbalances = advance(cell, place, accounts, rng, OBSERVATION_S + model.ROUND_S)
        shown = [f"{imbalances[round(at_s / model.ROUND_S)]:.2f}" for at_s in REPORTED_TIMES_S]
        recovery_s = find_recovery_s(imbalances)
        recovery = "never" if math.isinf(recovery_s) else f"{recovery_s:.1f}"
        split_keys = sum(identity.split_shard(shard)[2] is not None for shard in cell.owners)
        rows.append(
            [
                policy,
                str(number),
                *shown,
                recovery,
                str(len(cell.moves) - moves_before),
                str(split_keys),
            ]
        )
    return rows


def main(*, seed: int = 1) -> None:
    """Print the tables.

    :param seed: seeds keys, changes and requests.
    """
    heads = ["policy", "change", *(f"{at_s:.0f} s" for at_s in REPORTED_TIMES_S)]
    heads += [f"within {BOUND} after s", "shards moved", "keys apart"]
    for deployment in model.DEPLOYMENTS:
        print(
            f"{deployment.name}: busiest over mean after the hottest {model.HOT_CHANGED} of "
            f"{model.KEYS} keys change at once"
        )
        names = ["ebonyvalve", *policies.BASELINES]
        table.show(heads, [row for name in names for row in measure(deployment, name, seed)])


if __name__ == "__main__":
    defopt.run(main)
