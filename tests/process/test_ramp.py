"""Tests of when a node limits the load of its target: after starts and evacuations only."""

import pytest

from ebonyvalve.process import identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import policy
from tests.request import test_origin

SLOTS = 9
SERVICE = identity.ServiceId("lookup")


def build_node(cold_s: float = 3.0) -> node_module.Node:
    node = test_origin.build_origin(0.0).node
    set_config(node, cold_s)
    return node


def set_config(node: node_module.Node, cold_s: float) -> None:
    service_policy = policy.ServicePolicy(
        name=SERVICE,
        is_keyed=False,
        max_connections=100,
        cold_s=cold_s,
        cold_rate=8.0 if cold_s else 0.0,
        warm_up_s=0.0,
        health_path="/",
    )
    node_module.set_config(node, identity.ConfigVersion(1), {SERVICE: service_policy})


def report(node: node_module.Node, start: int, cold_left_s: float) -> None:
    target = node_module.Target(
        lifetime=identity.Lifetime(f"t@{start}"),
        started_at_ms=start,
        slots=SLOTS,
        state=member.TargetState.READY,
        reported_at=node.now(),
    )
    node_module.set_target(node, target, cold_left_s)


def read_allowed(node: node_module.Node) -> float:
    return node_module.list_gauges(node)["allowed_slots"]


@pytest.mark.parametrize("is_config_first", [True, False])
async def test_started_target_is_limited_after_its_cold_time(is_config_first: bool) -> None:
    """Guards against full load as soon as the cold time is over."""
    node = build_node() if is_config_first else test_origin.build_origin(0.0).node
    report(node, 1, 3.0)
    if not is_config_first:
        set_config(node, 3.0)
    report(node, 1, 2.0)
    report(node, 1, 0.0)
    assert read_allowed(node) == 1


@pytest.mark.parametrize("cold_left_s", [0.0, 3.0])
async def test_targets_that_never_start_cold_are_not_limited(cold_left_s: float) -> None:
    """Guards against a limit at services without a cold time."""
    node = build_node(cold_s=0.0)
    report(node, 1, cold_left_s)
    report(node, 1, 0.0)
    assert read_allowed(node) == SLOTS


async def test_restart_of_the_node_does_not_limit_a_warm_target() -> None:
    """Guards against less capacity each time that a node's process is restarted."""
    node = build_node()
    report(node, 1, 0.0)
    own = node_module.build_member(node)
    assert own is not None
    node_module.record_own_row(node, own)
    report(node, 1, 0.0)
    assert read_allowed(node) == SLOTS


async def test_zone_that_is_taken_back_into_service_is_raised_step_by_step() -> None:
    """Guards against full load at once for the targets of a zone that was evacuated."""
    node = build_node()
    report(node, 1, 0.0)
    node_module.set_evacuated(node, frozenset({node.place.zone}))
    node_module.set_evacuated(node, frozenset())
    report(node, 1, 0.0)
    assert read_allowed(node) == 1


async def test_target_that_is_started_again_while_its_load_rises_is_raised_more_slowly() -> None:
    """Guards against crashing a target by the same rise again and again."""
    node = build_node()
    for start in (1, 2):
        report(node, start, 3.0)
        report(node, start, 0.0)
    assert node.admission.ramp.growth < 1.0
