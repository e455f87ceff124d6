"""An instance's leave is acknowledged while the store is away, and forgotten by a rolling restart."""

import pathlib
import signal
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))

import fleet as fleet_module  # noqa: E402

from ebonyvalve.standin import metadata  # noqa: E402

ORDERS = "ordenes"
# The machines are stopped and started in turn, this far apart.
GAP_S = 1.0
# The store answers 503 for this long.
OUTAGE_S = 5.5
# How long the instance serves after the acknowledgement.
STAY_S = 15.0


# Requests of the clients of each machine in a second, and the work time of each in seconds.
REQUESTS_PER_S = 10
WORK_S = 0.12


async def send_requests(
    fleet: fleet_module.Fleet, nursery: trio.Nursery, machine: fleet_module.Machine
) -> None:
    """Send requests of the clients of one machine while the platform counts it as ready."""
    misses = 0
    while True:
        misses = 0 if await fleet_module.is_ready(machine) else misses + 1
        for count in range(REQUESTS_PER_S):
            if misses < 2:
                method, path = ("GET", "/read/x") if count % 2 else ("POST", "/order/x")
                nursery.start_soon(fleet_module.send, fleet, machine, method, path)
            await trio.sleep(1 / REQUESTS_PER_S)


async def play(fleet: fleet_module.Fleet, nursery: trio.Nursery, is_troubled: bool) -> int:
    """Play the case."""
    for zone in ("z1", "z2", "z3"):
        instance = fleet_module.add_machine(fleet, ORDERS, zone).instance
        instance.slots, instance.work_s = 9, WORK_S
    routes = [
        fleet_module.build_route("/read/", ORDERS, "idempotent"),
        fleet_module.build_route("/order/", ORDERS, "non_idempotent"),
    ]
    await fleet_module.start(fleet, nursery, routes, {ORDERS: False})
    for machine in fleet.machines:
        nursery.start_soon(send_requests, fleet, nursery, machine)
    await trio.sleep(5.0)
    if not all(machine.instance.arrivals for machine in fleet.machines):
        raise fleet_module.CannotRunError("an instance gets no requests in calm")
    leaving, *others = fleet.machines

    if is_troubled:
        fleet.state.faults = {"": metadata.Fault.BUSY}
        fleet.record.write("the store answers 503 from now on")
    outage_ends_at = trio.current_time() + OUTAGE_S
    for machine in (*others, leaving):
        fleet_module.send_signal(fleet, machine, signal.SIGTERM)
        await trio.sleep(GAP_S if machine is not leaving else 0.5)
    leaving.instance.is_reporting = False
    acked_at = await fleet_module.delete_instance(leaving.instance)
    if acked_at is None:
        fleet.record.write("the leave was not acknowledged")
        return fleet_module.HELD
    await trio.sleep_until(outage_ends_at)
    fleet.state.faults = {}
    fleet.record.write("the store answers again")
    up_at = trio.current_time()
    await trio.sleep_until(acked_at + STAY_S)
    in_touch_at = max([up_at, *(machine.started_at for machine in fleet.machines)])
    in_touch_at += fleet_module.CONTACT_S
    late = [
        arrival
        for arrival in leaving.instance.arrivals
        if arrival.at > max(in_touch_at + 1.2, acked_at + fleet_module.DRAIN_S)
        and arrival.status != 421
    ]
    fleet.record.write(
        f"requests at {leaving.instance.name} from machines in touch, later than "
        f"{fleet_module.DRAIN_S} s after its leave was acknowledged: {len(late)}; first and last "
        f"{[round(arrival.at - acked_at, 2) for arrival in (late[:1] + late[-1:])]} s after it"
    )
    return fleet_module.BROKEN if late else fleet_module.HELD


if __name__ == "__main__":
    sys.exit(fleet_module.run(pathlib.Path(__file__).resolve().parent, play))
