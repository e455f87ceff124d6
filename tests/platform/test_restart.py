"""Tests of nodes whose process is restarted beside a running target."""

import dataclasses

import msgspec
import pytest
from returns import result
import trio

from ebonyvalve.platform import daemon
from ebonyvalve.process import http, memory, network, push
from ebonyvalve.process import node as node_module
from ebonyvalve.process.load import crashes
from ebonyvalve.request import crash
from ebonyvalve.standin import metadata
from ebonyvalve.standin import target as target_module
from tests.platform import mesh as mesh_module
from tests.request import test_crash


async def restart(mesh: mesh_module.Mesh, nursery: trio.Nursery, number: int) -> daemon.Daemon:
    """End a node without notice, and start it again with the same settings."""
    mesh.scopes[number].cancel()
    # Its listeners are closed by then.
    await trio.sleep(0.1)
    mesh.scopes[number] = trio.CancelScope()
    place = mesh.daemons[number].node.place
    started: daemon.Daemon = await nursery.start(mesh_module.run_daemon, place, mesh.scopes[number])
    mesh.daemons[number] = started
    return started


async def wait_open(mesh: mesh_module.Mesh) -> None:
    """Wait until each node knows all nodes, and its target takes work."""

    async def check() -> bool:
        return all(
            len(running.node.members) == len(mesh.daemons) and running.node.target is not None
            for running in mesh.daemons
        )

    await mesh_module.poll(check)


async def stop_reports(mesh: mesh_module.Mesh) -> target_module.Target:
    """Wait until all nodes are open, and let the first target send no further report by itself."""
    await wait_open(mesh)
    silenced = mesh.targets[0]
    silenced.heartbeat_s = 1000.0
    # A report that is under way is answered by then.
    await trio.sleep(0.3)
    return silenced


async def tell(mesh: mesh_module.Mesh, request: http.Request, *, status: int = 200) -> float:
    """Send a message of the first target to its node; return after how many seconds it answered."""
    started_at = trio.current_time()
    address = mesh.targets[0].reports_address
    reply = (await http.fetch(network.connect_tcp, address, request, timeout_s=1.0)).unwrap()
    assert reply.status == status
    return trio.current_time() - started_at


@pytest.mark.parametrize("state", ["draining", "gone"])
async def test_target_that_left_while_the_store_was_down(state: str) -> None:
    """Guards against new work for a target whose leave only an ended process has received.

    The row in the store still says that it is ready, so that the leave is not acknowledged.
    """
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        await wait_open(mesh)
        leaving = mesh.targets[0]
        client = await mesh_module.open_client(mesh.outbound[1])
        await mesh_module.wait_status(client, 200, "/orders/warm")
        mesh.state.faults[""] = metadata.Fault.BUSY
        # No further report follows.
        leaving.heartbeat_s = 1000.0
        await trio.sleep(0.3)
        assert await tell(mesh, build_leave(leaving, state), status=503) < 1.0
        await restart(mesh, nursery, 0)
        mesh.state.faults.clear()
        await wait_settled(mesh, nodes=1)
        leaving.received_ids.clear()
        await ask_all(mesh)
        assert leaving.received_ids == []
        nursery.cancel_scope.cancel()


async def deliver(target: target_module.Target, report: http.Request) -> None:
    """Deliver a late report once the node listens; its answer reaches nobody."""

    async def is_answered() -> bool:
        address = target.reports_address
        fetched = await http.fetch(network.connect_tcp, address, report, timeout_s=1.0)
        return isinstance(fetched, result.Success)

    await mesh_module.poll(is_answered)


def build_leave(target: target_module.Target, state: str) -> http.Request:
    """Return the message by which a target says that it leaves, or that it is gone."""
    if state == "draining":
        target.state = "draining"
        return target_module.build_report(target)
    body = msgspec.json.encode({"born": target.born_ms})
    return http.Request(method="DELETE", path=f"/instances/{target.name}", body=body)


@pytest.mark.parametrize("state", ["draining", "gone"])
@pytest.mark.parametrize("restarted", [[0], [1, 0], [0, 0]], ids=str)
async def test_late_reports_after_a_restart_do_not_revive_a_target_that_left(
    state: str, restarted: list[int]
) -> None:
    """Guards against new work for a target whose leave was acknowledged before a restart."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        leaving = await stop_reports(mesh)
        late = [target_module.build_report(leaving) for _ in range(3)]
        await tell(mesh, build_leave(leaving, state))
        for number in restarted:
            await restart(mesh, nursery, number)
        for report in late:
            await deliver(leaving, report)
        # The nodes read what has been announced meanwhile.
        await trio.sleep(1.0)
        leaving.received_ids.clear()
        await ask_all(mesh)
        assert leaving.received_ids == []
        nursery.cancel_scope.cancel()


async def test_leave_at_a_node_that_starts_while_the_store_is_down() -> None:
    """Guards against new work for a target that left before its node has read the row."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        leaving = await stop_reports(mesh)
        mesh.state.faults[""] = metadata.Fault.BUSY
        await restart(mesh, nursery, 0)
        await deliver(leaving, build_leave(leaving, "gone"))
        await trio.sleep(1.0)
        mesh.state.faults.clear()
        await wait_settled(mesh, nodes=1)
        leaving.received_ids.clear()
        await ask_all(mesh)
        assert leaving.received_ids == []
        nursery.cancel_scope.cancel()


async def wait_settled(mesh: mesh_module.Mesh, *, nodes: int) -> None:
    """Wait until all nodes know the store's rows, and that this many targets take work."""

    async def check() -> bool:
        return all(
            running.node.is_mesh_known
            and len(node_module.list_open_members(running.node, running.node.place.service))
            == nodes
            for running in mesh.daemons
        )

    await mesh_module.poll(check)


async def test_leave_is_not_undone_by_an_earlier_write_that_the_store_applies_late() -> None:
    """Guards against a row that says ready again when only an ended process knew of the leave."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        await wait_open(mesh)
        leaving = mesh.targets[0]
        key = ("mesh", "", "member/n0")
        mesh.state.late_s = 8.0
        mesh.state.faults[""] = metadata.Fault.LATE
        # The node announces the change by a write that is applied 8 s later.
        leaving.slots += 1
        await trio.sleep(1.0)
        applied_at = trio.current_time() + 8.0
        mesh.state.faults.clear()
        leaving.heartbeat_s = 1000.0

        async def is_recorded() -> bool:
            value = mesh.state.rows[key].value
            return value is None or b'"ready"' not in value

        leave = build_leave(leaving, "gone")
        await http.fetch(network.connect_tcp, leaving.reports_address, leave, timeout_s=1.0)
        await mesh_module.poll(is_recorded)
        await restart(mesh, nursery, 0)
        await trio.sleep_until(applied_at + 0.5)
        assert await is_recorded()
        nursery.cancel_scope.cancel()


async def ask_all(mesh: mesh_module.Mesh) -> None:
    """Send requests to all nodes once each of them serves some."""
    for address in mesh.outbound:
        client = await mesh_module.open_client(address)
        await mesh_module.wait_status(client, 200, "/orders/x")
        for _ in range(20):
            assert (await mesh_module.ask(client, "GET", "/orders/x"))[0] == 200


@pytest.mark.parametrize("state", ["draining", "gone"])
async def test_leave_is_acknowledged_once_the_store_has_it(state: str) -> None:
    """Guards against an acknowledgement that ends with the processes that know of the leave."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh:
        leaving = await stop_reports(mesh)
        mesh.state.faults[""] = metadata.Fault.BUSY
        for _ in range(2):
            assert await tell(mesh, build_leave(leaving, state), status=503) < 1.0
            assert not node_module.is_open(mesh.daemons[0].node)
        mesh.state.faults.clear()

        async def is_recorded() -> bool:
            return b'"ready"' not in (mesh.state.rows["mesh", "", "member/n0"].value or b"")

        await mesh_module.poll(is_recorded)
        await tell(mesh, build_leave(leaving, state))


@pytest.mark.parametrize("state", ["draining", "gone"])
@pytest.mark.parametrize("restarted", [[1, 0], [0, 1], [0, 1, 0]], ids=str)
async def test_target_that_left_before_all_nodes_restarted_without_the_store(
    state: str, restarted: list[int]
) -> None:
    """Guards against callers that meet a target about to exit, of whose leave nobody knows."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        leaving = await stop_reports(mesh)
        mesh.state.faults[""] = metadata.Fault.BUSY
        await deliver(leaving, build_leave(leaving, state))
        for number in restarted:
            await restart(mesh, nursery, number)
        mesh.state.faults.clear()

        async def is_informed() -> bool:
            return all(running.node.is_informed for running in mesh.daemons)

        await mesh_module.poll(is_informed)
        leaving.received_ids.clear()
        await ask_all(mesh)
        assert leaving.received_ids == []
        # The nodes do not try it for ever either.
        await wait_settled(mesh, nodes=1)
        nursery.cancel_scope.cancel()


async def test_sound_target_is_served_right_after_a_restart() -> None:
    """Guards against refusing requests until the first report has arrived."""
    async with mesh_module.open_mesh(["orders"]) as mesh, trio.open_nursery() as nursery:
        await stop_reports(mesh)
        place = mesh.daemons[0].node.place
        mesh.daemons[0].node.place = dataclasses.replace(place, heartbeat_s=4.0)
        restarted = await restart(mesh, nursery, 0)

        async def is_informed() -> bool:
            return restarted.node.is_informed and restarted.node.target is not None

        await mesh_module.poll(is_informed)
        # There is no other target that could serve them.
        client = await mesh_module.open_client(mesh.outbound[0])
        for _ in range(10):
            assert (await mesh_module.ask(client, "GET", "/orders/x"))[0] == 200
        assert restarted.node.target is not None and restarted.node.target.is_assumed
        nursery.cancel_scope.cancel()


async def test_acknowledged_leave_needs_no_messages_while_the_store_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against telling every node of each leave, which the store tells them."""
    pushed: list[str] = []

    async def send(*args: object) -> None:
        pushed.append(str(args[3]))

    monkeypatch.setattr(push, "send", send)
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh:
        await wait_open(mesh)
        leave = http.Request(method="DELETE", path=f"/instances/{mesh.targets[0].name}")
        assert await tell(mesh, leave) < memory.RECORD_WAIT_S
        assert pushed == []


async def test_request_that_crashes_targets_is_refused_after_a_restart() -> None:
    """Guards against letting a request that crashes targets through again after each restart."""
    async with mesh_module.open_mesh(["orders", "orders"]) as mesh, trio.open_nursery() as nursery:
        await wait_open(mesh)
        call = test_crash.build_call("/poison")
        for _ in range(crashes.QUARANTINE_CRASHES):
            for running in mesh.daemons:
                quarantine = running.origin.delivery.crash_detector.quarantine
                crashes.record_crash(quarantine, [crash.fingerprint(call)], running.node.now())
            await trio.sleep(2 * crashes.SAME_CRASH_S)
        restarted = await restart(mesh, nursery, 0)

        async def check() -> bool:
            return crash.is_quarantined(restarted.origin.delivery.crash_detector, call)

        await mesh_module.poll(check)
        nursery.cancel_scope.cancel()
