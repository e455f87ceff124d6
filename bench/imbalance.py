"""Prints the imbalance over time when the hottest keys change at once.

Requests are drawn one by one and go through the owners' accounting, so that the delays and errors
of the measurement are those of the program.
"""

import itertools
import math
import random

import defopt

from bench import model, policies, table
from ebonyvalve.process import accounting, assignment, identity
from ebonyvalve.version import placement

# Mean target time of a request; the time is drawn from an exponential distribution.
REQUEST_S = 0.005
CHANGES = 5
SETTLE_S = 60.0
WATCH_S = 60.0
BOUND = 1.25
SHOWN_S = [0.0, 5.0, 10.0, 15.0, 20.0, 30.0, 60.0]


def run_requests(
    cell: model.Cell,
    accounts: dict[identity.NodeId, accounting.Account],
    sums: list[float],
    shards: list[identity.ShardId],
    rng: random.Random,
) -> None:
    """Account for the requests of one round at their owners.

    :param cell: the cell.
    :param accounts: the account of each node; changed in place.
    :param sums: the accumulated loads of the keys.
    :param shards: the shard of each key.
    :param rng: draws keys and times.
    """
    number = round(sums[-1] / REQUEST_S * model.ROUND_S)
    indexes = rng.choices(range(len(sums)), cum_weights=sums, k=number)
    for turn, index in enumerate(indexes):
        shard = shards[index]
        owner = cell.owners[shard]
        if owner is not None:
            now_s = cell.now_s + model.ROUND_S * turn / number
            used_s = rng.expovariate(1.0 / REQUEST_S)
            accounting.record(accounts[owner], shard, cell.keys[index], used_s, now_s)


def advance(
    cell: model.Cell,
    place: assignment.PlaceShards,
    accounts: dict[identity.NodeId, accounting.Account],
    rng: random.Random,
    seconds: float,
) -> list[float]:
    """Run rounds and return the imbalance at the start of each.

    :param cell: changed in place.
    :param place: the policy.
    :param accounts: the account of each node; changed in place.
    :param rng: draws the requests.
    :param seconds: how long.
    """
    series: list[float] = []
    sums = list(itertools.accumulate(cell.rates))
    shards: list[identity.ShardId] = []
    known: set[identity.ShardId] = set()
    for _ in range(round(seconds / model.ROUND_S)):
        if known != cell.owners.keys():
            known = set(cell.owners)
            shards = model.find_shards(cell)
            exact = model.sum_loads(cell)
        series.append(model.find_imbalance(cell, exact, set(cell.members)))
        run_requests(cell, accounts, sums, shards, rng)
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
        before = dict(cell.owners)
        plan = model.run_round(cell, place, loads, hot_keys)
        for move in plan.moves:
            if move.source is not None:
                accounting.forget(accounts[move.source], move.shard)
        for shard in plan.split:
            service, _, key = identity.split_shard(shard)
            parent = placement.find_parent(shard, {service: cell.service})
            owner = before[parent] if parent is not None else None
            if owner is not None and parent is not None and key is not None:
                accounting.forget_key(accounts[owner], parent, key)
        for shard in plan.merge:
            owner = before[shard]
            if owner is not None:
                accounting.forget(accounts[owner], shard)
    return series


def find_return_s(series: list[float]) -> float:
    """Return after which time the imbalance stays within the bound.

    :param series: the imbalance in each round.
    """
    above = [number for number, value in enumerate(series) if value > BOUND]
    if not above:
        return 0.0
    return (above[-1] + 1) * model.ROUND_S if above[-1] + 1 < len(series) else math.inf


def measure(deployment: model.Deployment, policy: str, seed: int) -> list[list[str]]:
    """Return a row for each change of the hot keys.

    :param deployment: the deployment.
    :param policy: ``ebonyvalve`` or the name of a baseline.
    :param seed: the seed of keys, changes and requests.
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
    # The owners must be known before the first requests.
    model.run_round(cell, place, {}, {})
    advance(cell, place, accounts, rng, SETTLE_S)
    rows = []
    for number in range(1, CHANGES + 1):
        model.change_hot_keys(cell, changes)
        done = len(cell.moves)
        series = advance(cell, place, accounts, rng, WATCH_S + model.ROUND_S)
        shown = [f"{series[round(at_s / model.ROUND_S)]:.2f}" for at_s in SHOWN_S]
        returned_s = find_return_s(series)
        back = "never" if math.isinf(returned_s) else f"{returned_s:.1f}"
        apart = sum(identity.split_shard(shard)[2] is not None for shard in cell.owners)
        rows.append([policy, str(number), *shown, back, str(len(cell.moves) - done), str(apart)])
    return rows


def main(*, seed: int = 1) -> None:
    """Print the tables.

    :param seed: the seed of keys, changes and requests.
    """
    heads = ["policy", "change", *(f"{at_s:.0f} s" for at_s in SHOWN_S)]
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
