"""Watches which instances hold the same keys at the same time."""

import asyncio
import itertools
import time

from review.harness import installation, instance

SAMPLE_S = 0.02
# "... for over half a second, with requests or without"
MAX_SHARED_S = 0.5


class Watch:
    """Samples what the instances hold. ``longest_s`` is the longest time of a shared hold.

    ``shared_runs`` counts requests on shared keys by pair and instance while both held them.
    """

    def __init__(self, site: installation.Installation) -> None:
        self.site = site
        self.longest_s = 0.0
        self.is_run_by_both = False
        self._since: dict[tuple[str, str], float] = {}
        self._runs: dict[tuple[str, str], dict[str, int]] = {}
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = time.monotonic()
            for left, right in itertools.combinations(self.site.instances, 2):
                self._check(left, right, before, now)
            before = now

    def _check(
        self, left: instance.Instance, right: instance.Instance, before: float, now: float
    ) -> None:
        pair = (left.name, right.name)
        shared = instance.intersect(left.list_held(), right.list_held())
        if not shared:
            if pair in self._since:
                lasted_s = now - self._since.pop(pair)
                self.site.record("shared-hold-ends", pair=pair, lasted_s=round(lasted_s, 3))
            return
        if pair not in self._since:
            self._since[pair] = now
            self._runs[pair] = {left.name: 0, right.name: 0}
            self.site.record("shared-hold", pair=pair, ranges=shared)
        self.longest_s = max(self.longest_s, now - self._since[pair])
        for one in (left, right):
            for at, _, key in reversed(one.runs):
                if at < before:
                    break
                if key is not None and any(a <= int(key) <= b for a, b in shared):
                    self._runs[pair][one.name] += 1
        if all(self._runs[pair].values()) and not self.is_run_by_both:
            self.is_run_by_both = True
            self.site.record("both-run", pair=pair, runs=self._runs[pair])

    def is_broken(self) -> bool:
        """Return whether the rule was broken, and record the figures."""
        self.site.record(
            "shared", longest_s=round(self.longest_s, 3), run_by_both=self.is_run_by_both
        )
        return self.longest_s > MAX_SHARED_S or self.is_run_by_both


async def wait_for_all_keys(site: installation.Installation, *, within_s: float = 30.0) -> None:
    """Wait until the instances hold all keys between them, and each of them some."""
    ends_at = time.monotonic() + within_s
    while time.monotonic() < ends_at:
        held = [one.list_held() for one in site.instances]
        if all(held) and sum(b - a + 1 for ranges in held for a, b in ranges) == 65_536:
            return
        await asyncio.sleep(0.05)
    raise installation.CaseError("the instances do not hold all keys")
