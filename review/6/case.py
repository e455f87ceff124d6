"""Two late status reports make a restarted router take held keys for released."""

import collections.abc
import functools
import json
import pathlib
import signal
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))

import fleet as fleet_module  # noqa: E402

from ebonyvalve.process import http, network  # noqa: E402
from ebonyvalve.process.keyspace import ledger  # noqa: E402
from ebonyvalve.standin import metadata  # noqa: E402

KEYED = "calendrier"
HEARTBEAT_S = 1.5
# Two instances may hold the same keys for this long.
MAX_SHARED_S = 0.5
# After the restarted router listens, the first late report arrives, and the second one after it.
LATE_PAUSE_S = 0.5
LATE_GAP_S = 0.05
# The other instance reports this long after the one whose router is restarted.
NEWCOMER_PHASE_S = 0.75
# The router listens this long after a report of its instance that found none.
LISTEN_AFTER_S = 0.2
# The usual time from the start of a process until it listens.
START_S = 0.4


def build_report(instance: fleet_module.Instance) -> http.Request:
    """Return the status report that an instance sends now."""
    instance.sequence += 1
    body = {
        "address": instance.address,
        "born": instance.born_ms,
        "info": {
            "backend": instance.service,
            "version": "v1",
            "zone": "z1",
            "slots": instance.slots,
        },
        "status": {"state": "ready", "seq": instance.sequence, "cold_left_s": 0},
        "holds": instance.holds,
        "released": [],
    }
    path = f"/instances/{instance.name}"
    return http.Request(method="PUT", path=path, body=json.dumps(body).encode())


async def deliver(instance: fleet_module.Instance, report: http.Request, name: str) -> None:
    """Deliver a status report that was held up on its way; nobody waits for the answer."""
    answer = await http.fetch(network.connect_tcp, instance.control, report, timeout_s=1.0)
    reply = answer.value_or(None)
    status = None if reply is None else reply.status
    instance.record.write(f"{name} late report of {instance.name} answered with {status}")


def count_keys(instance: fleet_module.Instance) -> int:
    """Return how many keys an instance holds now."""
    if trio.current_time() >= instance.until:
        return 0
    return sum(last - first + 1 for first, last, _ in instance.holds)


def find_shared(
    one: fleet_module.Instance, other: fleet_module.Instance
) -> tuple[int, int] | None:
    """Return a range of keys that two instances hold now."""
    if trio.current_time() >= min(one.until, other.until):
        return None
    for first, last, _ in one.holds:
        for other_first, other_last, _ in other.holds:
            if first <= other_last and other_first <= last:
                return max(first, other_first), min(last, other_last)
    return None


async def report_in_step(instance: fleet_module.Instance, reported_at: list[float]) -> None:
    """Send the status reports of an instance, at a fixed phase."""
    due_at = trio.current_time()
    while True:
        reported_at.append(trio.current_time())
        is_pending = await fleet_module.send_report(instance)
        if is_pending:
            await trio.sleep(0.1)
            continue
        due_at = max(due_at + instance.heartbeat_s, trio.current_time())
        await trio.sleep_until(due_at)


async def wait_for(
    check: collections.abc.Callable[[], bool], timeout_s: float, text: str
) -> None:
    """Wait until a check returns true."""
    with trio.move_on_after(timeout_s):
        while not check():
            await trio.sleep(0.01)
        return
    raise fleet_module.CannotRunError(text)


async def play(fleet: fleet_module.Fleet, nursery: trio.Nursery, is_troubled: bool) -> int:
    """Play the case."""
    write = fleet.record.write
    for zone in ("z1", "z2", "z3"):
        instance = fleet_module.add_machine(fleet, KEYED, zone, is_keyed=True).instance
        instance.slots, instance.heartbeat_s, instance.work_s = 6, HEARTBEAT_S, 0.16
    first, restarted, newcomer = fleet.machines
    route = fleet_module.build_route("/slots/", KEYED, "idempotent")
    config = fleet_module.build_config(1, [route], {KEYED: True})
    metadata.put(fleet.state, "op", "config", config)
    reported_at: list[float] = []
    for machine in fleet.machines:
        respond = metadata.build_respond(fleet.state, machine.name)
        serve = functools.partial(http.serve, respond)
        nursery.start_soon(network.listen_tcp, machine.store, serve)
        serve = functools.partial(fleet_module.serve_instance, machine.instance)
        nursery.start_soon(network.listen_tcp, machine.instance.address, serve)
        fleet_module.start_process(fleet, machine)
    await fleet_module.wait_until_ready(fleet)
    shared: dict[tuple[str, str], list[float]] = {}
    nursery.start_soon(fleet_module.report, first.instance)
    await wait_for(lambda: count_keys(first.instance) == 65536, 15, "no first grant")

    # The first two reports of this instance are held up.
    late: list[http.Request] = []
    late_from = trio.current_time()
    for _ in range(2):
        late.append(build_report(restarted.instance))
        write(f"a report of {restarted.instance.name} is sent")
        if not is_troubled:
            await deliver(restarted.instance, late[-1], "no")
        await trio.sleep(HEARTBEAT_S)
    nursery.start_soon(report_in_step, restarted.instance, reported_at)
    await wait_for(lambda: count_keys(restarted.instance) == 32768, 20, "no keys moved")
    write(f"instance {restarted.instance.name} holds {restarted.instance.holds}")

    # Just after a report, another instance joins, and the router plans to move keys to it.
    reports = len(reported_at)
    await wait_for(lambda: len(reported_at) > reports, 3, "no report")
    await trio.sleep(NEWCOMER_PHASE_S)
    nursery.start_soon(fleet_module.report, newcomer.instance)

    def is_planned() -> bool:
        """Return whether the ledger plans a move away from the router's instance."""
        entry = fleet.state.rows.get(("mesh", "", f"book/{KEYED}"))
        if entry is None or entry.value is None:
            return False
        current = ledger.decode(entry.value).unwrap()
        return any(span.successor and span.node == restarted.name for span in current.spans)

    await wait_for(is_planned, 1.2, "no move was planned")
    write("a move of keys is planned")
    last_report_at = reported_at[-1]
    fleet_module.send_signal(fleet, restarted, signal.SIGKILL)
    assert restarted.process is not None
    restarted.process.wait()
    # The next report of the instance finds no router; the router listens soon after that.
    listen_at = last_report_at + HEARTBEAT_S + LISTEN_AFTER_S
    while listen_at < trio.current_time() + 0.2:
        listen_at += HEARTBEAT_S
    await trio.sleep_until(listen_at - START_S)
    fleet_module.start_process(fleet, restarted)
    await wait_until_listening(restarted)
    listens_at = trio.current_time()
    write(f"the router listens, {listens_at - reported_at[-1]:.2f} s after a report")

    async def watch() -> None:
        while True:
            for one, other in ((first, restarted), (first, newcomer), (restarted, newcomer)):
                found = find_shared(one.instance, other.instance)
                names = one.instance.name, other.instance.name
                if found is not None:
                    times = shared.setdefault(names, [])
                    if not times:
                        write(f"{names} share keys {found}")
                    times.append(trio.current_time())
            await trio.sleep(0.01)

    nursery.start_soon(watch)
    if is_troubled:
        await trio.sleep_until(listens_at + LATE_PAUSE_S)
        write(f"late reports arrive after {trio.current_time() - late_from:.1f} s")
        nursery.start_soon(deliver, restarted.instance, late[0], "first")
        await trio.sleep(LATE_GAP_S)
        nursery.start_soon(deliver, restarted.instance, late[1], "second")
    await trio.sleep(8.0)
    longest_s = 0.0
    for names, times in shared.items():
        write(f"{names} shared keys for {times[-1] - times[0]:.2f} s")
        longest_s = max(longest_s, times[-1] - times[0])
    return fleet_module.BROKEN if longest_s > MAX_SHARED_S else fleet_module.HELD


async def wait_until_listening(machine: fleet_module.Machine) -> None:
    """Wait until a router accepts connections for status reports."""
    while True:
        try:
            stream = await network.connect_tcp(machine.control)
        except OSError:
            await trio.sleep(0.005)
            continue
        await trio.aclose_forcefully(stream)
        return


if __name__ == "__main__":
    sys.exit(fleet_module.run(pathlib.Path(__file__).resolve().parent, play))
