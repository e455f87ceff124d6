"""A report that arrives after the instance's DELETE: does work still go to the instance?"""

import asyncio
import pathlib
import time

from review.harness import installation

DRAIN_S = 2.0
HEARTBEAT_S = 1.5
# The usual work of a slot-browse request.
WORK_S = 0.16


async def case(site: installation.Installation) -> bool:
    """Return whether requests reach an instance later than ``drain_s`` after its exit's ack."""
    config = installation.build_config(
        version=1,
        services={"catalog": {}, "web": {}},
        routes={"/catalog/": "catalog"},
        route_type="non_idempotent",
    )
    site.publish(config)
    machines = [
        await site.add_machine(zone="z1", service=service)
        for service in ("catalog", "catalog", "web")
    ]
    instances = [site.build_instance(machine, work_s=WORK_S) for machine in machines]
    for machine, target in zip(machines, instances, strict=True):
        await target.start()
        site.start_router(machine)
    for machine in machines:
        await site.wait_ready(machine)
    await asyncio.sleep(4.0)
    # Only the third machine, on which nothing is disturbed, has callers.
    site.start_callers(machines[2], "/catalog/1", rate=30, method="POST")
    await asyncio.sleep(4.0)
    leaving, path = instances[0], machines[0].control_path
    assert path is not None
    if not any(at > time.monotonic() - 2 for at, _, _ in leaving.runs):
        raise installation.CaseError("the instance got no requests before it left")

    # One last report is under way when the instance leaves.
    leaving.stop_reports()
    await asyncio.sleep(HEARTBEAT_S)
    path.holds_requests = site.has_trouble
    site.record("last-report-held", held=site.has_trouble)
    await leaving.report()
    # Later messages of the instance take a connection of their own, which is not held up.
    leaving.reports_to = (machines[0].ip, machines[0].ports["control"])
    await asyncio.sleep(0.3)
    if not await leaving.leave_unannounced():
        raise installation.CaseError("DELETE was not acknowledged")
    acked_at = time.monotonic()
    await asyncio.sleep(1.0)
    path.holds_requests = False
    site.record("last-report-arrives")
    await asyncio.sleep(6.0)
    # The instance exits, whatever it is working on.
    leaving.crash()
    await asyncio.sleep(2.0)
    late = [run for run in leaving.runs if run[0] > acked_at + DRAIN_S]
    site.record("late-requests", count=len(late), lost=site.count_lost(late))
    return bool(late)


if __name__ == "__main__":
    installation.run(case, pathlib.Path(__file__).parent, heartbeat_s=HEARTBEAT_S)
