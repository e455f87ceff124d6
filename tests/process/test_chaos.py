"""Random sequences of faults on several nodes: no two owners, and every shard recovers."""

import random

import pytest
import trio
import trio.testing

from ebonyvalve.process import assignment, identity, ownership, platform
from tests.process import mesh as meshes


def inject(mesh: meshes.Mesh, rng: random.Random) -> None:
    """Inject a random fault, or end one."""
    hosts = list(mesh.hosts.values())
    host = rng.choice(hosts)
    other = rng.choice(hosts)
    store = mesh.store
    kind = rng.randrange(14)
    if kind == 0 and sum(each.state is not None for each in hosts) > len(hosts) - 2:
        meshes.lose(host)
    elif kind in (1, 2):
        for each in hosts:
            if each.state is None:
                meshes.start(mesh, each.name, each.zone)
    elif kind == 3:
        meshes.pause(host)
    elif kind in (4, 5):
        for each in hosts:
            meshes.resume(each)
    elif kind == 6:
        mesh.lost_links.add((host.name, other.name))
    elif kind == 7:
        meshes.cut_off(mesh, host.name)
    elif kind in (8, 9):
        mesh.lost_links.clear()
        store.is_down, store.delay_s = False, 0.002
    elif kind == 10:
        store.is_down = True
    elif kind == 11:
        store.delay_s = rng.choice([0.05, 0.3, 2.0])
    elif kind == 12:
        store.lost_replies += rng.randrange(3)
    else:
        mesh.plans.append(make_plan(mesh, rng))


def make_plan(mesh: meshes.Mesh, rng: random.Random) -> assignment.Plan:
    keys = [identity.name_key(meshes.SERVICE, key) for key in meshes.HOT_KEYS]
    shards = [*meshes.list_shards(mesh), *keys]
    moves = [
        assignment.Move(
            shard=rng.choice(shards),
            source=None,
            target=rng.choice(list(mesh.hosts)),
            reason=assignment.MoveReason.REBALANCE,
        )
        for _ in range(4)
    ]
    return assignment.Plan(
        split=[key for key in keys if rng.random() < 0.6],
        merge=[key for key in keys if rng.random() < 0.3],
        moves=moves,
    )


async def run_chaos(mesh: meshes.Mesh, rng: random.Random, rounds: int) -> None:
    for number in range(4):
        meshes.start(mesh, "abcd"[number], f"z{number % 3}")
    meshes.write_config(mesh, 1, mesh.partitions)
    await meshes.watch(mesh, 1.5)
    for _ in range(rounds):
        for _ in range(rng.randrange(1, 3)):
            inject(mesh, rng)
        for host in mesh.hosts.values():
            host.release_s = rng.choice([0.0, 0.01, 0.2])
        await meshes.watch(mesh, rng.choice([0.05, 0.2, 0.4, 0.8]))
    mesh.lost_links.clear()
    mesh.store.is_down, mesh.store.delay_s, mesh.store.lost_replies = False, 0.002, 0
    for host in mesh.hosts.values():
        meshes.resume(host)
        if host.state is None:
            meshes.start(mesh, host.name, host.zone)
    await meshes.watch(mesh, 12.0)


# The first three seeds found faults: two owners after a new coordinator cancelled a release, and
# token memories lost because a release under an old fencing token was taken for one under the
# committed token, and because a restarted node accepted a grant for its previous process.
SEEDS = [582, 142, 174, 1, 2, 3]


@pytest.fixture
def ordered_tasks(monkeypatch: pytest.MonkeyPatch) -> random.Random:
    """Make the order in which trio runs tasks depend only on the seed."""
    rng = random.Random()
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio._core._run, "_r", rng)
    return rng


@pytest.mark.parametrize("seed", SEEDS)
async def test_chaos(
    seed: int, ordered_tasks: random.Random, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two owners of a shard, lost token memories, and a cell that stays down."""
    ordered_tasks.seed(seed)
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        mesh = meshes.Mesh(nursery=nursery, store=platform.Memory(delay_s=0.002), step_s=0.004)
        mesh.checks_fence = rng.random() < 0.5
        await run_chaos(mesh, rng, 30)
        served = [
            shard
            for host in mesh.hosts.values()
            for shard in meshes.list_served(host, meshes.list_shards(mesh))
        ]
        nursery.cancel_scope.cancel()
    assert not meshes.find_conflicts(mesh.history)
    assert not mesh.unknown_uses
    assert sorted(served) == sorted(meshes.list_shards(mesh))
    assert ownership.HEAD_ROW in mesh.store.rows
