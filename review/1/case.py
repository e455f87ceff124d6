"""A node takes the keys of its silent target; the store performs that write seconds later."""

import asyncio
import pathlib
import time

from review.harness import installation, ownership

HEARTBEAT_S = 1.5
# Limit of the pages: 10 s. It ends between two reports, so that none of them is held up.
REPORTS_CUT_S = 7.1
# Grants that arrive sooner after a link has healed don't count.
THAW_S = 0.3
# From then on the store loses answers.
LOST_AFTER_S = 5.5
# "done 1 to 6 s later"
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0


class LateWrite:
    """The ledger write that is lost. ``done`` makes the store perform it."""

    def __init__(self, site: installation.Installation, machine: str) -> None:
        self.site, self.machine = site, machine
        self.is_armed = False
        self.sent_at: float | None = None
        self.done = asyncio.Event()

    def find_loss(self, machine: str, transaction: dict) -> asyncio.Event | None:
        """Return the event that performs a transaction if it is the one that is lost."""
        keys = [entry["key"] for entry in transaction.get("puts", [])]
        is_ledger = any(key.startswith("book/") for key in keys)
        if not self.is_armed or not is_ledger or machine != self.machine:
            return None
        self.is_armed = False
        self.sent_at = time.monotonic()
        self.site.record("write-lost", keys=keys)
        return self.done


async def case(site: installation.Installation) -> bool:
    """Return whether two instances hold the same keys."""
    config = installation.build_config(
        version=1,
        services={"calendar": {"sharded": True, "cold_s": 0, "warmup_s": 0}},
        routes={"/calendar/": "calendar"},
    )
    site.publish(config)
    machines = [await site.add_machine(zone="z1", service="calendar") for _ in range(6)]
    for machine in machines:
        target = site.build_instance(machine, is_keyed=True, work_s=0.1)
        await target.start()
        site.start_router(machine)
        # Instances report at different times.
        await asyncio.sleep(HEARTBEAT_S / len(machines))
    for machine in machines:
        await site.wait_ready(machine)
    await ownership.wait_for_all_keys(site)
    for machine in machines:
        keys = [(97 * number * 271) % 65_536 for number in range(200)]
        site.start_callers(machine, "/calendar/1", rate=5, keys=keys)
    watch = ownership.Watch(site)
    await asyncio.sleep(4.0)
    silent, reports = site.instances[0], machines[0].control_path
    assert reports is not None
    reports.forgets_closed = True
    late = LateWrite(site, machines[0].name)
    site.store.find_loss = late.find_loss

    await silent.wait_acked()
    reports.holds_requests = site.has_trouble
    site.record("reports-cut", held=site.has_trouble)
    await asyncio.sleep(LOST_AFTER_S)
    late.is_armed = site.has_trouble
    await asyncio.sleep(REPORTS_CUT_S - LOST_AFTER_S)
    reports.holds_requests = False
    healed_at = time.monotonic()
    site.record("reports-healed")
    await silent.wait_acked()
    if site.has_trouble and silent.acked_at < healed_at + THAW_S:
        raise installation.CaseError("the report after the cut came too soon to count")
    # The node has given up the write by then and has read the ledger again.
    await silent.wait_acked()
    if late.sent_at is not None:
        await asyncio.sleep(max(0.05, late.sent_at + MIN_LATE_S - time.monotonic()))
        late_s = time.monotonic() - late.sent_at
        if late_s > MAX_LATE_S:
            raise installation.CaseError(f"the write would be {late_s} s late")
        site.record("write-performed", late_s=round(late_s, 3))
        late.done.set()
    elif site.has_trouble:
        raise installation.CaseError("the node wrote no ledger")
    await asyncio.sleep(6.0)
    return watch.is_broken()


if __name__ == "__main__":
    installation.run(case, pathlib.Path(__file__).parent, heartbeat_s=HEARTBEAT_S)
