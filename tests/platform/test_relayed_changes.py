"""Configurations and evacuations reach nodes that follow the store through others, in time."""

import random

import pytest
import trio
import trio.testing

from ebonyvalve.platform import gossip, operator
from ebonyvalve.process.store import relay
from ebonyvalve.request import hop_headers
from ebonyvalve.standin import metadata
from ebonyvalve.version import traffic
from tests.platform import mesh
from tests.process.keyspace import test_calls, test_reconciliation
from tests.process.store import test_relay

APPLY_S = 3.0
EVACUATE_S = 5.0
# Each node exchanges a request with another one this often.
REQUEST_INTERVAL_S = 0.3


def start_following(world: test_reconciliation.World, machine: test_reconciliation.Machine) -> None:
    """Follow the operator's rows, and advertise their version in requests to other nodes."""
    reconciler = machine.reconciler
    assert reconciler is not None
    node, current = reconciler.node, traffic.CurrentTraffic()
    rng = random.Random(machine.number)

    async def send_requests() -> None:
        while True:
            await trio.sleep(REQUEST_INTERVAL_S * (0.5 + rng.random()))
            other = rng.choice(world.machines)
            is_lost = {machine.is_frozen, other.is_frozen} != {False} or world.cut & {
                f"{machine.name}:1",
                f"{other.name}:1",
            }
            if other.reconciler is not None and machine.reconciler is not None and not is_lost:
                headers = hop_headers.build_version_header(node)
                hop_headers.record_version(other.reconciler.node, headers, machine.name)

    world.nursery.start_soon(operator.follow, node, current, reconciler.store)
    world.nursery.start_soon(gossip.pull_updates, node, current, reconciler.connect)
    world.nursery.start_soon(send_requests)


@pytest.mark.parametrize(
    "trouble",
    [
        test_relay.kill,
        test_relay.refuse,
        test_relay.freeze,
        test_relay.cut_off,
        test_relay.silence,
    ],
)
async def test_operators_changes_arrive_in_time(
    trouble: test_relay.Trouble, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a zone that applies a configuration late because its sources are in trouble.

    One source of the zone is in trouble and the other one is not, as after the loss of a machine.
    """
    test_reconciliation.fix_schedule(1)
    world = await test_calls.build_world(nursery, 24)
    metadata.put(world.state, "op", "config", mesh.build_config(2))
    for machine in world.machines:
        start_following(world, machine)
    await trio.sleep(3.0)
    names = [machine.name for machine in world.machines]
    troubled = relay.choose_sources(names[0], names)[0]
    for machine in world.machines:
        if machine.name == troubled:
            trouble(world, machine)
    await trio.sleep(0.1)
    nodes = [
        machine.reconciler.node
        for machine in world.machines
        if machine.name != troubled and machine.reconciler is not None
    ]
    assert {node.config for node in nodes} == {2}
    metadata.put(world.state, "op", "config", mesh.build_config(7))
    metadata.put(world.state, "op", "evacuate/z2", b"{}")
    await trio.sleep(APPLY_S)
    assert {node.config for node in nodes} == {7}
    await trio.sleep(EVACUATE_S - APPLY_S)
    assert {node.evacuated for node in nodes} == {frozenset({"z2"})}


async def test_waiting_for_the_first_configuration_costs_one_read(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against polling an empty table until the operator writes the first configuration.

    195 nodes read it four times each in the first second of their start.
    """
    world = await test_reconciliation.build_world(nursery)
    before = world.state.calls_by_table.copy()
    for machine in world.machines:
        assert machine.reconciler is not None
        machine.reconciler.node.config = None
        start_following(world, machine)
    await trio.sleep(2.0)
    metadata.put(world.state, "op", "config", mesh.build_config(2))
    await trio.sleep(0.2)
    assert all(
        machine.reconciler is not None and machine.reconciler.node.config == 2
        for machine in world.machines
    )
    calls = world.state.calls_by_table - before
    assert calls["/rows-get", "op"] == len(world.machines)
    # One that waits for the configuration and one that waits for the next.
    assert calls["/rows-feed", "op"] <= 2 * len(world.machines)
