"""Simulates the load on a cold target with and without slow start, and the time to full load."""

import collections.abc
import dataclasses
import random

import defopt

from bench import events
from ebonyvalve.process import limit

MEAN_S = 0.005
DEADLINE_S = 0.4
WARM_UP_S = 20.0
LOAD = 0.7
END_S = 120.0
# Service times of a cold target are five times those of a warm one.
COLD_SLOWDOWN = 5.0
POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """How the target behaves. Times are in seconds.

    ``real_warm_up_s`` is the time that the target must work to become warm. With ``turns_cold_s``
    it is warm at first and turns cold at that time, without announcing it.
    """

    name: str
    real_warm_up_s: float
    is_thrashing: bool = False
    turns_cold_s: float | None = None


@dataclasses.dataclass(kw_only=True)
class Trial:
    """One target with its admission control, and counts since the target is cold.

    ``noticed_at`` is when slow start began, and ``full_at`` when it ended with the full limit.
    """

    loop: events.EventLoop
    server: events.Server
    target: limit.Target
    cold_at: float
    has_slow_start: bool
    scenario: Scenario
    cold_busy_s: float = 0.0
    requests: int = 0
    refused: int = 0
    failed: int = 0
    noticed_at: float | None = None
    full_at: float | None = None
    queued: dict[limit.Ticket, collections.abc.Callable[[bool], None]] = dataclasses.field(
        default_factory=dict
    )


SCENARIOS = [
    Scenario(name="new, warms as configured", real_warm_up_s=20.0),
    Scenario(name="new, takes twice as long", real_warm_up_s=40.0),
    Scenario(name="same, slows, sheds not", real_warm_up_s=40.0, is_thrashing=True),
    Scenario(name="turns cold, sheds", real_warm_up_s=20.0, turns_cold_s=10.0),
    Scenario(
        name="turns cold, sheds not", real_warm_up_s=20.0, turns_cold_s=10.0, is_thrashing=True
    ),
]


def submit(trial: Trial) -> None:
    """Pass one request through admission control to the target.

    :param trial: the target.
    """
    loop, target = trial.loop, trial.target
    if not trial.has_slow_start and target.phase is limit.Phase.WARMING:
        target.phase, target.limit = limit.Phase.STEADY, float(target.slots)
    is_counted = loop.now >= trial.cold_at
    trial.requests += is_counted
    answer = limit.admit(target, now=loop.now, deadline=loop.now + DEADLINE_S)
    ticket = answer.ticket
    if ticket is None:
        trial.refused += is_counted
        return
    started_at = loop.now

    def finish(has_run: bool) -> None:
        trial.failed += is_counted and not has_run
        wake = limit.release(
            target,
            ticket,
            now=loop.now,
            latency_s=loop.now - started_at,
            reply=limit.Reply.OK if has_run else limit.Reply.SHED,
        )
        for queued_ticket in wake.expired:
            trial.queued.pop(queued_ticket)(False)
        for queued_ticket in wake.run:
            trial.queued.pop(queued_ticket)(True)

    def start(is_admitted: bool) -> None:
        nonlocal started_at
        started_at = loop.now
        if is_admitted:
            warm_up(trial)
            events.serve(loop, trial.server, finish)
        else:
            trial.refused += is_counted

    if answer.admission is limit.Admission.RUN:
        start(True)
    else:
        trial.queued[ticket] = start


def warm_up(trial: Trial) -> None:
    """Set capacity and slowdown of the target from the time that it has worked since it was cold.

    :param trial: the target.
    """
    if trial.loop.now < trial.cold_at:
        return
    server = trial.server
    worked_s = events.read_busy(trial.loop, server) - trial.cold_busy_s
    warmth = min(1.0, worked_s / trial.scenario.real_warm_up_s)
    # The tolerance covers rounding, as the same times may be added up in a different order.
    capacity = 1.0 + (server.slots - 1) * warmth + 1e-6
    server.capacity = capacity if warmth < 1 else float("inf")
    server.slowdown = 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warmth)


def poll_slow_start(trial: Trial) -> None:
    """Check at intervals whether slow start has begun and whether it has ended.

    :param trial: the target.
    """
    loop, target = trial.loop, trial.target
    warm_up(trial)
    if loop.now >= trial.cold_at and trial.has_slow_start:
        if trial.noticed_at is None and target.phase is limit.Phase.WARMING:
            trial.noticed_at = loop.now
        is_full = target.phase is limit.Phase.STEADY and target.limit >= target.slots
        if trial.noticed_at is not None and trial.full_at is None and is_full:
            trial.full_at = loop.now
    events.call_at(loop, loop.now + POLL_INTERVAL_S, lambda: poll_slow_start(trial))


def reset_counts(trial: Trial) -> None:
    """Start the counts anew when the target turns cold.

    :param trial: the target.
    """
    server = trial.server
    trial.cold_busy_s = events.read_busy(trial.loop, server)
    server.received = server.overload_count = 0
    server.worst_ratio = 0.0


def measure(scenario: Scenario, slots: int, has_slow_start: bool, seed: int) -> Trial:
    """Simulate one target and return it with its counts.

    :param scenario: how the target behaves.
    :param slots: the slots of the target.
    :param has_slow_start: otherwise the limit of a cold target begins at its slots.
    :param seed: seeds the random numbers.
    """
    target = limit.create(slots=slots, warm_up_s=WARM_UP_S)
    if scenario.turns_cold_s is not None or not has_slow_start:
        target.phase, target.limit = limit.Phase.STEADY, float(slots)
    trial = Trial(
        loop=events.EventLoop(rng=random.Random(seed)),
        server=events.Server(slots=slots, mean_s=MEAN_S, is_thrashing=scenario.is_thrashing),
        target=target,
        cold_at=scenario.turns_cold_s or 0.0,
        has_slow_start=has_slow_start,
        scenario=scenario,
    )
    events.call_at(trial.loop, trial.cold_at, lambda: reset_counts(trial))
    poll_slow_start(trial)
    events.schedule_arrivals(trial.loop, slots / MEAN_S * LOAD, END_S, lambda: submit(trial))
    events.run_until(trial.loop, END_S)
    return trial


def show(value: float | None, since: float) -> str:
    """Format a time for the table.

    :param value: seconds of simulated time, or ``None`` if it was not reached.
    :param since: start of the printed duration, in seconds of simulated time.
    """
    return "-" if value is None else f"{value - since:.2f}"


def run(*, seed: int = 1) -> None:
    """Print the load of cold targets beyond their capacity, and the time to full load.

    :param seed: seeds the random numbers.
    """
    print(f"seed {seed}, load {LOAD:.0%} of the warm target, warm-up configured {WARM_UP_S:.0f} s,")
    print(f"{END_S:.0f} s simulated; bound: never above the bearable load")
    print(
        f"{'slots':<6}{'target':<26}{'slow start':<11}{'requests':>9}{'sent over':>10}"
        f"{'worst':>7}{'shed':>7}{'refused':>9}{'noticed':>9}{'full load':>10}"
    )
    print(f"{'':<52}{'bearable':>10}{'load':>7}{'':>7}{'':>9}{'after s':>9}{'after s':>10}")
    for slots in (10, 6):
        for scenario in SCENARIOS:
            for has_slow_start in (False, True):
                trial = measure(scenario, slots, has_slow_start, seed)
                print(
                    f"{slots:<6}{scenario.name:<26}{'yes' if has_slow_start else 'no':<11}"
                    f"{trial.requests:>9}{trial.server.overload_count:>10}{trial.server.worst_ratio:>7.1f}"
                    f"{trial.failed / trial.requests:>7.1%}{trial.refused / trial.requests:>9.1%}"
                    f"{show(trial.noticed_at, trial.cold_at):>9}"
                    f"{show(trial.full_at, trial.cold_at):>10}"
                )


if __name__ == "__main__":
    defopt.run(run)
