"""A node is killed and started again beside an instance that is cold."""

import asyncio
import pathlib
import time

from review.harness import installation

HEARTBEAT_S = 1.5
SLOTS = 6
COLD_S = 3.0
COLD_PER_S = 7.2
COLD_EXCESS = 1.5
COLD_SLACK = 5.0
# "crashes at a rate well above that"
CRASH_PER_S = 20.0
# The mean of the kinds of request for the service, and a second's requests for two instances.
WORK_S = 0.1
RATE = 60.0
# Instances differ in speed; these are the ends of the site's range.
SPEEDS = (0.6, 1.4, 1.0)
# Limit of the pages: 2.0
COLD_X = 2.0
AFTER_REPORT_S = 0.05


async def case(site: installation.Installation) -> bool:
    """Return whether the cold instance gets more requests in a second than it may."""
    config = installation.build_config(
        version=1,
        services={"orders": {"cold_s": COLD_S, "cold_per_s": COLD_PER_S}, "web": {}},
        routes={"/orders/": "orders"},
        route_type="non_idempotent",
    )
    site.publish(config)
    machines = [
        await site.add_machine(zone="z1", service=service)
        for service in ("orders", "orders", "web")
    ]
    for machine, speed in zip(machines, SPEEDS, strict=True):
        target = site.build_instance(machine, slots=SLOTS, work_s=speed * WORK_S)
        await target.start()
        site.start_router(machine)
    for machine in machines:
        await site.wait_ready(machine)
    await asyncio.sleep(4.0)
    for one in machines[1:]:
        site.start_callers(one, "/orders/1", rate=RATE / 2, method="POST")
    await asyncio.sleep(4.0)

    # The instance comes back cold, and says so in its first report.
    machine, before = machines[0], site.instances[0]
    before.crash()
    await asyncio.sleep(1.0)
    work_s = COLD_X * SPEEDS[0] * WORK_S
    cold = site.build_instance(machine, slots=SLOTS, work_s=work_s, cold_s=COLD_S)
    cold.max_cold_rate = CRASH_PER_S
    await cold.start()
    await cold.wait_acked()
    next_report_at = time.monotonic() + HEARTBEAT_S
    await asyncio.sleep(0.3)
    if site.has_trouble:
        # The instance continues to run while the router is killed and started again, which happens
        # to be after a report that nobody has received.
        site.kill_router(machine)
        await asyncio.sleep(next_report_at + AFTER_REPORT_S - time.monotonic())
        site.start_router(machine)
    await asyncio.sleep(max(0.0, cold.cold_until - time.monotonic()))
    most = count_most(cold.runs, cold.cold_until)
    await asyncio.sleep(2.0)
    lost = site.count_lost([run for run in cold.runs if run[0] <= cold.cold_until])
    limit = COLD_PER_S * COLD_EXCESS + COLD_SLACK
    site.record("cold-requests", most_in_a_second=most, limit=limit, lost=lost)
    return most > limit


def count_most(runs: list[tuple[float, str, str | None]], until: float) -> int:
    """Return the most requests that began within one second, up to a time."""
    times = [at for at, _, _ in runs if at <= until]
    return max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)


if __name__ == "__main__":
    installation.run(case, pathlib.Path(__file__).parent, heartbeat_s=HEARTBEAT_S)
