"""Tests of status reports that arrive late, after the node or the target has moved on."""

import dataclasses

import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve.platform import reports
from ebonyvalve.process import identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import records
from ebonyvalve.standin import metadata
from tests.process.keyspace import test_reconciliation, test_records

NAME = "i-1"


def build_reconciler() -> records.Reconciler:
    """Return a node that knows no target yet."""
    reconciler = test_records.build_reconciler()
    reconciler.node.target = None
    return reconciler


def send(
    reconciler: records.Reconciler,
    sequence: int,
    *,
    born: int = 5,
    state: str = "ready",
    cold_left_s: float = 0.0,
) -> bool:
    """Send a report of the target; return whether the node has accepted it."""
    place = reconciler.node.place
    body = {
        "address": place.target_address,
        "born": born,
        "info": {"backend": place.service, "slots": 6},
        "status": {"state": state, "seq": sequence, "cold_left_s": cold_left_s},
    }
    return reports.apply_report(reconciler, NAME, msgspec.json.encode(body)) is None


def read_state(reconciler: records.Reconciler) -> member.TargetState:
    assert reconciler.node.target is not None
    return reconciler.node.target.state


@pytest.mark.parametrize("late_state", ["ready", "draining"])
async def test_late_report_of_a_target_that_has_left(
    autojump_clock: trio.testing.MockClock, late_state: str
) -> None:
    """Guards against new work for a target whose last report arrives after it has left."""
    reconciler = build_reconciler()
    assert send(reconciler, 1)
    reports.apply_leave(reconciler, NAME, b"")
    send(reconciler, 2, state=late_state)
    assert read_state(reconciler) is member.TargetState.GONE
    assert not node_module.is_open(reconciler.node)
    announced = node_module.build_member(reconciler.node)
    assert announced is not None and announced.state is member.TargetState.GONE
    # Its next lifetime is another matter, also under the same id.
    assert send(reconciler, 1, born=6)
    assert read_state(reconciler) is member.TargetState.READY


@pytest.mark.parametrize("leaves_first", [True, False])
async def test_late_report_of_a_target_that_has_left_and_refuses_connections(
    autojump_clock: trio.testing.MockClock, leaves_first: bool
) -> None:
    """Guards against forgetting that a target has left when its process has ended as well."""
    reconciler = build_reconciler()
    assert send(reconciler, 1)
    if leaves_first:
        reports.apply_leave(reconciler, NAME, b"")
    node_module.set_target_gone(reconciler.node, "refuses connections", is_dead=True)
    reports.apply_leave(reconciler, NAME, b"")
    assert reconciler.node.target is not None and reconciler.node.target.is_dead
    send(reconciler, 2)
    assert not node_module.is_open(reconciler.node)


async def test_target_that_refused_connections_for_a_while_works_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against shutting out a target that was only taken for dead."""
    reconciler = build_reconciler()
    assert send(reconciler, 1)
    node_module.set_target_gone(reconciler.node, "refuses connections", is_dead=True)
    assert send(reconciler, 2)
    assert node_module.is_open(reconciler.node)


def build_restarted(*, born: int, state: member.TargetState) -> records.Reconciler:
    """Return a node that has just read its own row and has had no report yet."""
    reconciler = build_reconciler()
    read_own_row(reconciler, born=born, state=state)
    return reconciler


def read_own_row(reconciler: records.Reconciler, *, born: int, state: member.TargetState) -> None:
    """Let a node read the row that the process before it has written."""
    place = reconciler.node.place
    row = member.Member(
        node=place.node,
        address=place.peers_address,
        zone=place.zone,
        service=place.service,
        lifetime=identity.Lifetime(f"{NAME}@{born}"),
        slots=6,
        state=state,
        has_left=state is member.TargetState.GONE or msgspec.UNSET,
    )
    test_records.take(
        reconciler, test_records.build_row(f"member/{place.node}", member.encode(row), 5)
    )


async def test_restarted_node_refuses_a_late_report_of_an_earlier_lifetime(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against giving a target's keys away on a report of the lifetime before it."""
    reconciler = build_restarted(born=9, state=member.TargetState.READY)
    assert not send(reconciler, 40, born=5)
    assert reconciler.node.target is not None
    assert reconciler.node.target.lifetime == f"{NAME}@9"
    assert send(reconciler, 3, born=9)
    assert send(reconciler, 1, born=12)


async def test_restarted_node_keeps_its_leaving_target_leaving(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against new work on a late report from before the target said that it leaves."""
    reconciler = build_restarted(born=9, state=member.TargetState.LEAVING)
    assert send(reconciler, 3, born=9)
    assert read_state(reconciler) is member.TargetState.LEAVING
    assert send(reconciler, 4, born=9, state="draining")
    assert read_state(reconciler) is member.TargetState.LEAVING


@pytest.mark.parametrize("state", [member.TargetState.LEAVING, member.TargetState.GONE])
@pytest.mark.parametrize("is_read_first", [True, False])
async def test_late_reports_of_a_target_that_left_before_the_restart(
    autojump_clock: trio.testing.MockClock, state: member.TargetState, is_read_first: bool
) -> None:
    """Guards against new work for a target whose leave only the ended process has seen."""
    reconciler = build_reconciler()
    if not is_read_first:
        # The store answers after the report has arrived.
        assert send(reconciler, 3, born=9)
    read_own_row(reconciler, born=9, state=state)
    for sequence in (4, 5, 6):
        assert send(reconciler, sequence, born=9)
        assert not node_module.is_open(reconciler.node)
    announced = node_module.build_member(reconciler.node)
    assert announced is not None and announced.state is state
    is_member = reconciler.node.place.node in reconciler.node.members
    assert is_member is (state is member.TargetState.LEAVING)
    # Earlier lifetimes under the same id are over, and the next one is another matter.
    assert not send(reconciler, 90, born=5)
    assert send(reconciler, 1, born=12)
    assert node_module.is_open(reconciler.node)


async def test_late_report_of_an_earlier_lifetime_before_the_own_row_is_read(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against freeing the keys of the present lifetime, which the row names."""
    reconciler = build_reconciler()
    assert send(reconciler, 40, born=5)
    read_own_row(reconciler, born=9, state=member.TargetState.READY)
    assert reconciler.node.target is not None
    assert reconciler.node.target.lifetime == f"{NAME}@9"
    assert not send(reconciler, 41, born=5)
    assert send(reconciler, 3, born=9)


async def test_leaving_target_that_refuses_connections_stays_gone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against removing the row of a target that has said that it leaves."""
    reconciler = build_reconciler()
    assert send(reconciler, 1, state="draining")
    node_module.set_target_gone(reconciler.node, "refuses connections", is_dead=True)
    announced = node_module.build_member(reconciler.node)
    assert announced is not None and announced.has_left is True


def leave(reconciler: records.Reconciler, *, born: int) -> int:
    """Send the leave of a target; return the status of the answer."""
    body = msgspec.json.encode({"born": born})
    return reports.apply_leave(reconciler, NAME, body).status


async def test_leave_of_a_target_that_the_node_does_not_know(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against forgetting a leave that arrives before the node has read its row."""
    reconciler = build_reconciler()
    leave(reconciler, born=9)
    read_own_row(reconciler, born=9, state=member.TargetState.READY)
    assert not node_module.is_open(reconciler.node)
    send(reconciler, 4, born=9)
    assert not node_module.is_open(reconciler.node)
    announced = node_module.build_member(reconciler.node)
    assert announced is not None
    assert announced.lifetime == f"{NAME}@9" and member.has_left(announced)


async def test_late_leave_of_an_earlier_lifetime(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against ending the work of a target that started under the id of the last one."""
    reconciler = build_reconciler()
    assert send(reconciler, 1, born=9)
    assert leave(reconciler, born=5) == 200
    assert node_module.is_open(reconciler.node)
    # The node may also hear of it before it reads its row.
    restarted = build_reconciler()
    leave(restarted, born=5)
    read_own_row(restarted, born=9, state=member.TargetState.READY)
    assert node_module.is_open(restarted.node)


async def test_leave_of_a_later_lifetime_than_the_last_report(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against work for a target that leaves before its first report has arrived."""
    reconciler = build_reconciler()
    assert send(reconciler, 1, born=5)
    leave(reconciler, born=9)
    assert not node_module.is_open(reconciler.node)
    assert not send(reconciler, 2, born=5)
    send(reconciler, 1, born=9)
    assert not node_module.is_open(reconciler.node)


@pytest.mark.parametrize(
    "body", [b"{", b"[]", b'{"born":"x"}', b'{"born":-1}', b'{"born":1e400}', b"[" * 100_000]
)
async def test_unreadable_leave(autojump_clock: trio.testing.MockClock, body: bytes) -> None:
    """Guards against a message that ends the process, or the work of a sound target."""
    reconciler = build_reconciler()
    assert send(reconciler, 1)
    assert reports.apply_leave(reconciler, NAME, body).status == 400
    assert node_module.is_open(reconciler.node)


async def test_leave_that_names_no_lifetime(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against acknowledging a leave of which the node can record nothing."""
    reconciler = build_reconciler()
    assert reports.apply_leave(reconciler, NAME, b"").status == 503
    assert send(reconciler, 1)
    assert reports.apply_leave(reconciler, NAME, b"").status == 200
    assert not node_module.is_open(reconciler.node)


async def test_target_that_does_not_report_after_a_restart(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against work for a target that left unheard, and against refusing a sound one."""
    reconciler = build_restarted(born=9, state=member.TargetState.READY)
    node = reconciler.node
    node.started_at = node.now()
    node.is_informed = True
    node.place = dataclasses.replace(node.place, heartbeat_s=1.0)
    # One report may be lost.
    await trio.sleep(2.4)
    assert node_module.is_trusted(node)
    await trio.sleep(0.2)
    assert not node_module.is_trusted(node)
    # The other nodes learn of it, and that it is back.
    await trio.sleep(5.0)
    node_module.record_silence(node)
    announced = node_module.build_member(node)
    assert announced is not None and announced.state is member.TargetState.SILENT
    assert send(reconciler, 3, born=9)
    assert node_module.is_trusted(node)
    announced = node_module.build_member(node)
    assert announced is not None and announced.state is member.TargetState.READY


async def test_own_row_that_another_node_removed_is_written_again(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an announcement whose condition never holds again."""
    world = await test_reconciliation.build_world(nursery)
    key = ("mesh", "", "member/n1")
    machine = world.machines[1]
    assert machine.reconciler is not None and machine.target is not None
    world.state.faults["n1"] = metadata.Fault.BUSY
    metadata.put(world.state, "mesh", "member/n1", None)
    machine.target.state = member.TargetState.LEAVING
    await trio.sleep(2.0)
    world.state.faults.clear()
    await trio.sleep(3.0)
    value = world.state.rows[key].value
    assert value is not None
    assert member.decode(value).unwrap().state is member.TargetState.LEAVING
