"""A status report from before an instance's leave arrives late, after its router was restarted."""

import json
import pathlib
import signal
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))

import fleet as fleet_module  # noqa: E402

from ebonyvalve.process import http, network  # noqa: E402

ORDERS = "ordenes"
# How late the status report arrives.
LATE_S = 5.0
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
        "holds": [],
        "released": [],
    }
    path = f"/instances/{instance.name}"
    return http.Request(method="PUT", path=path, body=json.dumps(body).encode())


async def deliver_late(instance: fleet_module.Instance, report: http.Request, at: float) -> None:
    """Deliver a status report that was held up on its way."""
    await trio.sleep_until(at)
    answer = await http.fetch(network.connect_tcp, instance.control, report, timeout_s=1.0)
    reply = answer.value_or(None)
    status = None if reply is None else reply.status
    instance.record.write(f"late report of {instance.name} arrives, answered with {status}")


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
    leaving = fleet.machines[0]

    leaving.instance.is_reporting = False
    report = build_report(leaving.instance)
    sent_at = trio.current_time()
    leaving.instance.record.write(f"a report of {leaving.instance.name} is sent")
    if is_troubled:
        nursery.start_soon(deliver_late, leaving.instance, report, sent_at + LATE_S)
    else:
        await deliver_late(leaving.instance, report, sent_at)
    await trio.sleep(0.3)
    acked_at = await fleet_module.delete_instance(leaving.instance)
    if acked_at is None:
        raise fleet_module.CannotRunError("the leave was not acknowledged")
    await trio.sleep(0.5)
    fleet_module.send_signal(fleet, leaving, signal.SIGTERM)
    await trio.sleep_until(acked_at + STAY_S)
    if not leaving.exits:
        raise fleet_module.CannotRunError("the router was not restarted")
    in_touch_at = leaving.started_at + fleet_module.CONTACT_S
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
