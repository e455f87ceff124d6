"""A request that crashes instances comes again after the routers were stopped and started."""

import asyncio
import pathlib
import time

from review.harness import installation, instance

HEARTBEAT_S = 1.5
CONTACT_S = 3.0
RETURN_S = 2.0
POISON = "/catalog/poison"
MAX_RETRIES = 3
GAP_S = 4.0


class Crashes:
    """The runs of the poisonous request, and the instances that come back after it."""

    def __init__(self, site: installation.Installation) -> None:
        self.site = site
        # Time, and machine on which it ran.
        self.runs: list[tuple[float, installation.Machine]] = []
        self.attempts: set[str] = set()

    async def start(self, machine: installation.Machine) -> None:
        """Start a lifetime of the instance of a machine, which the request crashes."""
        one: instance.Instance = self.site.build_instance(machine, work_s=0.1)
        one.crashing_paths[POISON] = lambda: self._record_crash(machine, one.runs[-1][1])
        await one.start()

    def _record_crash(self, machine: installation.Machine, attempt: str) -> None:
        self.attempts.add(attempt)
        self.runs.append((time.monotonic(), machine))
        self.site.record("crash", machine=machine.name, number=len(self.runs))
        asyncio.create_task(self._come_back(machine))

    async def _come_back(self, machine: installation.Machine) -> None:
        await asyncio.sleep(RETURN_S)
        await self.start(machine)


async def case(site: installation.Installation) -> bool:
    """Return whether the request reaches instances in more than three retries after its third crash."""
    config = installation.build_config(
        version=1,
        services={"catalog": {}, "web": {}},
        routes={"/catalog/": "catalog"},
    )
    site.publish(config)
    machines = [
        await site.add_machine(zone="z1", service=service) for service in ["catalog"] * 5 + ["web"]
    ]
    crashes = Crashes(site)
    for machine in machines:
        await crashes.start(machine)
        site.start_router(machine)
    for machine in machines:
        await site.wait_ready(machine)
    await asyncio.sleep(4.0)
    # Only the last machine, on which nothing is disturbed, has callers.
    site.start_callers(machines[-1], "/catalog/1", rate=20)
    site.start_callers(machines[-1], POISON, rate=2)
    await asyncio.sleep(15.0)
    if len(crashes.runs) < MAX_RETRIES:
        raise installation.CaseError(f"only {len(crashes.runs)} instances were crashed")
    third_at = crashes.runs[MAX_RETRIES - 1][0]

    started_at: dict[str, float] = {}
    for machine in machines[:-1]:
        if site.has_trouble:
            await site.stop_router(machine)
            await asyncio.sleep(1.0)
            site.start_router(machine)
            await site.wait_ready(machine)
            started_at[machine.name] = time.monotonic()
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(20.0)
    late = [
        at
        for at, machine in crashes.runs
        if at > max(third_at, started_at.get(machine.name, 0.0)) + CONTACT_S
    ]
    others = [run for one in site.instances for run in one.runs if run[1] not in crashes.attempts]
    lost = site.count_lost([run for run in others if third_at < run[0] < time.monotonic() - 2.0])
    site.record("late-retries", count=len(late), limit=MAX_RETRIES, others_lost=lost)
    return len(late) > MAX_RETRIES


if __name__ == "__main__":
    installation.run(case, pathlib.Path(__file__).parent, heartbeat_s=HEARTBEAT_S)
