"""Runs seeded fault schedules against the simulated mesh and checks every rule.

``python -m bench.faults --schedules 200 --seed 1`` prints the number of violations of each
rule; all must be 0.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import enum
import logging
import os
import random
import sys
import time

import defopt
import trio
import trio.testing

from bench import history, load
from bench import world as worlds
from ebonyvalve.process import identity, toy
from ebonyvalve.version import objects
from ebonyvalve.version import publish as publishing


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Timing and traffic of a schedule.

    After ``warm_up_s`` of traffic, each fault begins within ``max_onset_s`` and lasts between
    ``min_fault_s`` and ``max_fault_s``; ``recovery_s`` is left for the recovery. The defaults leave
    room for two faults of a few seconds and the recovery from both.
    """

    warm_up_s: float = 1.0
    max_onset_s: float = 1.0
    min_fault_s: float = 0.7
    max_fault_s: float = 4.0
    recovery_s: float = 4.0
    callers: int = 6
    keys: int = 40
    pause_s: float = 0.1
    service_time_s: float = 0.001
    checks_fence: bool = True


DEFAULT_SCENARIO = Scenario()
# For tests: each fault outlasts a lease, and recovery has more than its bound of 1 s.
SHORT_SCENARIO = Scenario(
    warm_up_s=0.3,
    max_onset_s=0.3,
    max_fault_s=1.0,
    recovery_s=1.2,
    callers=2,
    keys=20,
    pause_s=0.06,
)


class Fault(enum.Enum):
    """The kinds of fault that a schedule injects."""

    NODE_LOST = "node-lost"
    NODE_PAUSED = "node-paused"
    TARGET_FROZEN = "target-frozen"
    TARGET_LOST = "target-lost"
    TARGET_COLD = "target-cold"
    COORDINATOR_LOST = "coordinator-lost"
    COORDINATOR_PAUSED = "coordinator-paused"
    STANDBY_LOST = "standby-lost"
    COORDINATOR_CUT_FROM_NODES = "coordinator-cut-from-nodes"
    COORDINATOR_CUT_FROM_STORE = "coordinator-cut-from-store"
    OWNER_CUT_FROM_COORDINATOR = "owner-cut-from-coordinator"
    ONE_WAY = "one-way-partition"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    REPLY_LOST = "commit-reply-lost"
    TWO_PUBLISHES = "two-publishes"
    CRASHING_REQUEST = "crashing-request"
    SILENT_CONNECTIONS = "silent-connections"
    STRAGGLER = "straggler"
    ZONE_OUT = "zone-out"


@dataclasses.dataclass(kw_only=True)
class Schedule:
    """The state of one schedule while it runs."""

    world: worlds.World
    load: load.Load
    random: random.Random
    scenario: Scenario
    drains: list[history.Drain] = dataclasses.field(default_factory=list)


async def lose_node(schedule: Schedule, duration_s: float, name: str | None = None) -> None:
    """Kill a node and its target, and start both again at the end."""
    host = pick_host(schedule) if name is None else schedule.world.hosts[identity.NodeId(name)]
    worlds.kill_node(schedule.world, host)
    worlds.kill_target(schedule.world, host)
    await trio.sleep(duration_s)
    host.toy.state = toy.ToyState.UP
    host.toy.fences.clear()
    host.toy.grant_end_s = 0.0
    worlds.start_target(schedule.world, host)
    await worlds.start_node(schedule.world, host)


async def pause_node(schedule: Schedule, duration_s: float, name: str | None = None) -> None:
    """Pause a node for longer than its lease, and resume it."""
    host = pick_host(schedule) if name is None else schedule.world.hosts[identity.NodeId(name)]
    worlds.pause_node(host)
    await trio.sleep(duration_s)
    worlds.resume_node(host)


async def freeze_target(schedule: Schedule, duration_s: float) -> None:
    """Freeze a target, which continues with its old state at the end."""
    host = pick_host(schedule)
    toy.freeze(host.toy)
    await trio.sleep(duration_s)
    if host.toy.state is toy.ToyState.FROZEN:
        toy.thaw(host.toy)


async def lose_target(schedule: Schedule, duration_s: float) -> None:
    """Kill a target whose node keeps running, and start a new one at the end."""
    host = pick_host(schedule)
    worlds.kill_target(schedule.world, host)
    await trio.sleep(duration_s)
    await _restart_target(schedule, host)


async def slow_cold_target(schedule: Schedule, duration_s: float) -> None:
    """Make a target eight times slower, as a cold one that does not announce it."""
    host = pick_host(schedule)
    service_time_s = host.toy.service_time_s
    host.toy.service_time_s = service_time_s * 8
    await trio.sleep(duration_s)
    host.toy.service_time_s = service_time_s


async def lose_coordinator(schedule: Schedule, duration_s: float) -> None:
    """Lose the VM of the coordinator, which may own shards as well."""
    await lose_node(schedule, duration_s, worlds.find_coordinator(schedule.world))


async def pause_coordinator(schedule: Schedule, duration_s: float) -> None:
    """Pause the coordinator until the consents of its standbys have expired."""
    await pause_node(schedule, duration_s, worlds.find_coordinator(schedule.world))


async def lose_standby(schedule: Schedule, duration_s: float) -> None:
    """Lose the VM of a standby."""
    leadership = worlds.read_leadership(schedule.world)
    standbys = [] if leadership is None else leadership.rules.row.standbys
    await lose_node(schedule, duration_s, standbys[0].node if standbys else None)


async def cut_coordinator_from_nodes(schedule: Schedule, duration_s: float) -> None:
    """Cut all links between the coordinator and the other nodes, but not those to the store."""
    name = worlds.find_coordinator(schedule.world) or pick_host(schedule).cfg.node
    links: set[worlds.Link] = {(name, other) for other in schedule.world.hosts if other != name}
    await cut_links(
        schedule, links | {(destination, source) for source, destination in links}, duration_s
    )


async def cut_coordinator_from_store(schedule: Schedule, duration_s: float) -> None:
    """Cut the links between the coordinator and the store, but not those to other nodes."""
    name = worlds.find_coordinator(schedule.world) or pick_host(schedule).cfg.node
    await cut_links(schedule, {(name, worlds.STORE), (worlds.STORE, name)}, duration_s)


async def cut_owner_from_coordinator(schedule: Schedule, duration_s: float) -> None:
    """Cut the links between a node and the coordinator; callers still reach both."""
    coordinator = worlds.find_coordinator(schedule.world)
    host = pick_host(schedule)
    if coordinator is not None:
        links: set[worlds.Link] = {(coordinator, host.cfg.node), (host.cfg.node, coordinator)}
        await cut_links(schedule, links, duration_s)


async def cut_one_way(schedule: Schedule, duration_s: float) -> None:
    """Lose all data that one node sends to other nodes, but none that it receives."""
    name = pick_host(schedule).cfg.node
    links: set[worlds.Link] = {(name, other) for other in schedule.world.hosts if other != name}
    await cut_links(schedule, links, duration_s)


async def cut_links(schedule: Schedule, links: set[worlds.Link], duration_s: float) -> None:
    """Cut links for a while.

    :param schedule: the schedule.
    :param links: one-way links.
    :param duration_s: seconds until they are restored.
    """
    schedule.world.cut_links |= links
    await trio.sleep(duration_s)
    schedule.world.cut_links -= links


async def stop_store(schedule: Schedule, duration_s: float) -> None:
    """Take the table service and the object store down."""
    schedule.world.memory.is_down = True
    await trio.sleep(duration_s)
    schedule.world.memory.is_down = False


async def slow_store(schedule: Schedule, duration_s: float) -> None:
    """Delay each reply of the store by 2 s."""
    schedule.world.memory.delay_s = 2.0
    await trio.sleep(duration_s)
    schedule.world.memory.delay_s = 0.0


async def lose_replies(schedule: Schedule, duration_s: float) -> None:
    """Lose the replies to the next three commits, which are applied nevertheless."""
    schedule.world.memory.lost_replies += 3
    await trio.sleep(duration_s)
    schedule.world.memory.lost_replies = 0


async def publish_twice(schedule: Schedule, duration_s: float) -> None:
    """Publish two configurations at the same time, as two operators may."""
    async with trio.open_nursery() as nursery:
        for number in range(2):
            entries = list_objects(schedule, token_life_s=300.0 + number)
            nursery.start_soon(publish, schedule, entries, f"operator-{number}")
    await trio.sleep(duration_s)


async def publish(schedule: Schedule, entries: list[objects.AnyObject], author: str) -> None:
    """Publish a configuration; the outcome is recorded in the world.

    :param schedule: the schedule.
    :param entries: the objects.
    :param author: who publishes.
    """
    await worlds.publish_objects(schedule.world, entries, author=author)


async def send_crashing(schedule: Schedule, duration_s: float) -> None:
    """Send a request that crashes its target, and resend it as a caller would."""
    service = schedule.random.choice(sorted(schedule.world.shape.keyed))
    key = f"key-{schedule.random.randrange(schedule.load.keys)}"
    states_before = {name: host.toy.state for name, host in schedule.world.hosts.items()}
    if schedule.random.random() < 0.5:
        await load.run_operation(schedule.load, service, key, "crash")
    else:
        # An idempotent request has no token, so only quarantine keeps it from a second target.
        operation = f"crash-{next(schedule.load.numbers)}"
        for _ in range(load.RESENDS):
            await load.send(schedule.load, "GET", service, key, operation)
            await trio.sleep(load.RESEND_PAUSE_S)
    for name, host in schedule.world.hosts.items():
        if host.toy.state is toy.ToyState.DOWN and states_before[name] is toy.ToyState.UP:
            worlds.kill_target(schedule.world, host)
            await trio.sleep(duration_s)
            await _restart_target(schedule, host)


async def silence_connections(schedule: Schedule, duration_s: float) -> None:
    """Make half of the open connections lose all later data."""
    worlds.silence(schedule.world, 0.5)
    await trio.sleep(duration_s)


async def slow_target(schedule: Schedule, duration_s: float) -> None:
    """Make a target ten times slower."""
    host = pick_host(schedule)
    host.toy.service_time_s *= 10
    await trio.sleep(duration_s)
    host.toy.service_time_s /= 10


async def drain_zone(schedule: Schedule, duration_s: float) -> None:
    """Drain a zone and end the drain."""
    zone = schedule.random.choice(schedule.world.shape.zones)
    published = await worlds.publish_objects(schedule.world, list_objects(schedule, drained=zone))
    start_s = trio.current_time()
    # History checks a drain only after DRAIN_S, 3 s, so a shorter one would check nothing.
    await trio.sleep(max(duration_s, 4.0))
    end_s = trio.current_time()
    await worlds.publish_objects(schedule.world, list_objects(schedule))
    if published.state is publishing.State.ACCEPTED:
        schedule.drains.append(history.Drain(zone=zone, start_s=start_s, end_s=end_s))


async def _restart_target(schedule: Schedule, host: worlds.Host) -> None:
    host.toy.state = toy.ToyState.UP
    host.toy.fences.clear()
    host.incarnation += 1
    worlds.start_target(schedule.world, host)
    await worlds.announce(schedule.world, host)


def list_objects(
    schedule: Schedule, *, drained: str | None = None, token_life_s: float = 300.0
) -> list[objects.AnyObject]:
    """Return the configuration of a schedule.

    :param schedule: the schedule.
    :param drained: the zone to drain, if any.
    :param token_life_s: seconds for which a one-time token is valid.
    """
    return worlds.list_objects(
        schedule.world.shape,
        drained=drained,
        token_life_s=token_life_s,
        checks_fence=schedule.scenario.checks_fence,
    )


def pick_host(schedule: Schedule) -> worlds.Host:
    """Return a VM drawn at random.

    :param schedule: the schedule.
    """
    return schedule.world.hosts[schedule.random.choice(sorted(schedule.world.hosts))]


Injector = collections.abc.Callable[[Schedule, float], collections.abc.Awaitable[None]]
INJECTORS: dict[Fault, Injector] = {
    Fault.NODE_LOST: lose_node,
    Fault.NODE_PAUSED: pause_node,
    Fault.TARGET_FROZEN: freeze_target,
    Fault.TARGET_LOST: lose_target,
    Fault.TARGET_COLD: slow_cold_target,
    Fault.COORDINATOR_LOST: lose_coordinator,
    Fault.COORDINATOR_PAUSED: pause_coordinator,
    Fault.STANDBY_LOST: lose_standby,
    Fault.COORDINATOR_CUT_FROM_NODES: cut_coordinator_from_nodes,
    Fault.COORDINATOR_CUT_FROM_STORE: cut_coordinator_from_store,
    Fault.OWNER_CUT_FROM_COORDINATOR: cut_owner_from_coordinator,
    Fault.ONE_WAY: cut_one_way,
    Fault.STORE_DOWN: stop_store,
    Fault.STORE_SLOW: slow_store,
    Fault.REPLY_LOST: lose_replies,
    Fault.TWO_PUBLISHES: publish_twice,
    Fault.CRASHING_REQUEST: send_crashing,
    Fault.SILENT_CONNECTIONS: silence_connections,
    Fault.STRAGGLER: slow_target,
    Fault.ZONE_OUT: drain_zone,
}


def draw_faults(seed: int) -> list[Fault]:
    """Return the faults of a schedule: one, or a pair.

    Of every thousand seeds, the first ones go through the single faults; the others draw pairs.

    :param seed: the schedule's seed.
    """
    kinds = list(Fault)
    if seed % 1000 < len(kinds):
        return [kinds[seed % 1000]]
    return random.Random(seed).choices(kinds, k=2)


async def simulate(
    seed: int, faults: list[Fault], scenario: Scenario = DEFAULT_SCENARIO
) -> history.History:
    """Run one schedule in the current trio run and return its history.

    :param seed: seeds every random choice.
    :param faults: the faults to inject.
    :param scenario: timing and traffic.
    """
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        world = worlds.build_world(worlds.SMALL, seed, nursery)
        for host in world.hosts.values():
            host.toy.service_time_s = scenario.service_time_s
            host.toy.checks_fence = scenario.checks_fence
        callers = load.Load(world=world, random=rng, keys=scenario.keys, pause_s=scenario.pause_s)
        schedule = Schedule(world=world, load=callers, random=rng, scenario=scenario)
        await worlds.start(world, list_objects(schedule))
        async with trio.open_nursery() as caller_nursery:
            for _ in range(scenario.callers):
                caller_nursery.start_soon(load.run_caller, schedule.load)
            await trio.sleep(scenario.warm_up_s)
            async with trio.open_nursery() as injections:
                for fault in faults:
                    injections.start_soon(_inject, schedule, fault)
            await trio.sleep(scenario.recovery_s)
            schedule.load.is_ended = True
        collected = history.collect(world, schedule.load.sent, schedule.drains)
        nursery.cancel_scope.cancel()
    return collected


async def _inject(schedule: Schedule, fault: Fault) -> None:
    scenario = schedule.scenario
    await trio.sleep(schedule.random.random() * scenario.max_onset_s)
    range_s = scenario.max_fault_s - scenario.min_fault_s
    await INJECTORS[fault](schedule, scenario.min_fault_s + schedule.random.random() * range_s)


def run_schedule(seed: int, faults: list[Fault] | None = None) -> list[history.Violation]:
    """Run one schedule on a mock clock and return the violations.

    :param seed: seeds every random choice.
    :param faults: the faults to inject; drawn from the seed if not given.
    """
    return history.check(record_schedule(seed, faults or draw_faults(seed)))


def record_schedule(
    seed: int, faults: list[Fault], scenario: Scenario = DEFAULT_SCENARIO
) -> history.History:
    """Run one schedule on a mock clock and return its history.

    :param seed: seeds every random choice.
    :param faults: the faults to inject.
    :param scenario: timing and traffic.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    # trio runs the tasks of a batch, which is a set, in random order. For a schedule to repeat in
    # another process, it has to sort the batch first and draw from a seeded generator.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio._core._run._r.seed(seed)
    disabled_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        return trio.run(simulate, seed, faults, scenario, clock=clock)
    finally:
        logging.disable(disabled_level)


def run_many(first: int, count: int, workers: int) -> dict[int, list[history.Violation]]:
    """Run schedules in several processes and return the violations by seed.

    :param first: the first seed.
    :param count: number of schedules.
    :param workers: number of processes.
    """
    seeds = range(first, first + count)
    with concurrent.futures.ProcessPoolExecutor(max_workers=workers) as executor:
        results = executor.map(run_schedule, seeds, chunksize=4)
        return {
            seed: violations for seed, violations in zip(seeds, results, strict=True) if violations
        }


def main(*, schedules: int = 200, seed: int = 0, workers: int = 0) -> None:
    """Run fault schedules and print the violations by kind.

    :param schedules: number of schedules.
    :param seed: the first seed.
    :param workers: number of processes; 0 for half of the cores.
    """
    start_s = time.monotonic()
    violations_by_seed = run_many(seed, schedules, workers or max(1, (os.cpu_count() or 2) // 2))
    counts = collections.Counter(
        violation.rule.value
        for violations in violations_by_seed.values()
        for violation in violations
    )
    print(f"schedules {schedules} from seed {seed}, {time.monotonic() - start_s:.0f} s")
    for rule in history.Rule:
        print(f"{counts[rule.value]:6d}  {rule.value}")
    for number, violations in sorted(violations_by_seed.items())[:20]:
        names = "+".join(fault.value for fault in draw_faults(number))
        print(f"seed {number} ({names}): {violations[0].rule.value}: {violations[0].text}")
    sys.exit(1 if violations_by_seed else 0)


if __name__ == "__main__":
    defopt.run(main)
