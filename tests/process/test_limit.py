"""Tests of admission: the limit, slow start, detection of cold targets and the bounded queue."""

import hypothesis
from hypothesis import strategies
import pytest

from ebonyvalve.process import limit

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=200, database=None)


def make_steady(slots: int = 10, latency_s: float = 0.01) -> limit.Target:
    """Return a warm target that answered 200 requests at a steady rate before time 0."""
    target = limit.create(slots=slots, warm_up_s=20.0)
    target.phase, target.limit = limit.Phase.STEADY, float(slots)
    for index in range(200):
        run(target, now=(index - 200) * latency_s, latency_s=latency_s)
    return target


def run(
    target: limit.Target, *, now: float, latency_s: float, reply: limit.Reply = limit.Reply.OK
) -> limit.Dequeued:
    ticket = admit(target, now - latency_s).ticket
    assert ticket is not None
    return limit.release(target, ticket, now=now, latency_s=latency_s, reply=reply)


def admit(target: limit.Target, now: float, deadline: float | None = None) -> limit.Decision:
    return limit.admit(target, now=now, deadline=now + 0.4 if deadline is None else deadline)


@PROFILE
@hypothesis.given(
    slots=strategies.integers(1, 12),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["admit", "release", "withdraw", "cold", "pause", "resume"]),
            strategies.sampled_from(list(limit.Reply)),
            strategies.floats(0.0, 0.3),
        ),
        max_size=60,
    ),
)
def test_limit_and_queue_are_never_exceeded(
    slots: int, steps: list[tuple[str, limit.Reply, float]]
) -> None:
    """Guards against requests above the limit, and tickets that run twice or get lost."""
    target = limit.create(slots=slots, warm_up_s=1.0)
    now = 0.0
    running: list[limit.Ticket] = []
    waiting: list[limit.Ticket] = []
    for step, reply, seconds in steps:
        now += seconds / 10
        before = len(running)
        wake = limit.Dequeued(run=[], expired=[])
        if step == "admit":
            answer = admit(target, now)
            assert (answer.ticket is None) == (answer.admission is limit.Admission.REFUSE)
            if answer.ticket is not None:
                is_run = answer.admission is limit.Admission.RUN
                (running if is_run else waiting).append(answer.ticket)
        elif step == "release" and running:
            wake = limit.release(target, running.pop(0), now=now, latency_s=seconds, reply=reply)
        elif step == "withdraw" and waiting:
            limit.withdraw(target, waiting.pop())
        elif step == "cold":
            limit.enter_slow_start(target)
        elif step == "pause":
            limit.pause(target)
        elif step == "resume":
            wake = limit.resume(target, now)
        for ticket in wake.run:
            waiting.remove(ticket)
            running.append(ticket)
        for ticket in wake.expired:
            waiting.remove(ticket)
        assert list(target.running) == running
        assert list(target.waiting) == waiting
        assert len(running) <= max(before, 1, int(target.limit))
        assert len(waiting) <= slots * limit.QUEUE_PER_SLOT
        assert 1.0 <= target.limit <= max(1.0, slots * limit.MAX_LIMIT_PER_SLOT)


@pytest.mark.parametrize("slots", [6, 10])
def test_slow_start_grows_with_work_only(slots: int) -> None:
    """Guards against a cold target that gets full load too early or merely because time passed."""
    target = limit.create(slots=slots, warm_up_s=20.0)
    now = 0.0
    while target.phase is limit.Phase.WARMING:
        now += 0.01
        run(target, now=now, latency_s=0.01)
        assert limit.read_limit(target) <= 1 + (slots - 1) * now / 20.0 + 1e-9
    assert now == pytest.approx(20.0, abs=0.1)
    limit.enter_slow_start(target)
    run(target, now=now + 1000.0, latency_s=0.01)
    assert limit.read_limit(target) == 1


def answer(target: limit.Target, count: int, gap_s: float, latency_s: float = 0.05) -> None:
    for index in range(count):
        run(target, now=1.0 + index * gap_s, latency_s=latency_s)


def delay(target: limit.Target) -> None:
    for _ in range(8):
        admit(target, 1.0)
    admit(target, 1.05)


def shed(target: limit.Target) -> None:
    for index in range(3):
        run(target, now=1.0 + index * 0.001, latency_s=0.001, reply=limit.Reply.SHED)


def hiccup(target: limit.Target) -> None:
    answer(target, 7, 0.05)
    run(target, now=2.0, latency_s=0.01)
    run(target, now=2.1, latency_s=0.05)


def repeat_report(target: limit.Target) -> None:
    target.is_reported_cold = True
    limit.record_report(target, is_cold=True)


def slow_down(target: limit.Target) -> None:
    answer(target, 8, 0.05)


@pytest.mark.parametrize(
    ("event", "phase"),
    [
        (slow_down, limit.Phase.WARMING),
        (delay, limit.Phase.WARMING),
        (shed, limit.Phase.WARMING),
        (lambda target: limit.record_report(target, is_cold=True), limit.Phase.WARMING),
        (hiccup, limit.Phase.STEADY),
        # Replies arrive at shorter intervals: the load has risen, and the target is not cold.
        (lambda target: answer(target, 16, 0.001), limit.Phase.STEADY),
        (repeat_report, limit.Phase.STEADY),
    ],
)
def test_cold_turns(event: object, phase: limit.Phase) -> None:
    """Guards against a cold target that is not detected, and a warm one that is taken for cold."""
    target = make_steady()
    event(target)  # type: ignore[operator]
    assert target.phase is phase


def test_overload_lowers_the_limit_once_per_reply_time() -> None:
    """Guards against a burst of shed requests that lowers the limit to 1."""
    target = make_steady()
    tickets = [admit(target, 1.0).ticket for _ in range(10)]
    for ticket in tickets[:2]:
        assert ticket is not None
        limit.release(target, ticket, now=1.001, latency_s=0.001, reply=limit.Reply.SHED)
    assert target.limit == pytest.approx(7.0)


def test_queue_sheds_before_the_deadline() -> None:
    """Guards against queuing requests that can't run before their deadline.

    They must be refused at once, before their body is read.
    """
    target = make_steady(slots=1, latency_s=0.05)
    target.limit = 1.0
    answers = [admit(target, 1.0, deadline=1.12) for _ in range(4)]
    assert [answer.admission.value for answer in answers] == ["run", "wait", "refuse", "refuse"]
    assert answers[2].cause is limit.Cause.DEADLINE
    assert answers[2].retry_after_s >= 0.05
    assert admit(target, 1.0, deadline=1.0).cause is limit.Cause.DEADLINE
    patient = [admit(target, 1.0, deadline=9.0) for _ in range(3)]
    assert patient[-1].cause is limit.Cause.QUEUE_FULL
    late = limit.dequeue(target, 1.2)
    assert late.expired == [answers[1].ticket]


def test_handover_waits_in_order_within_deadlines() -> None:
    """Guards against refusals of a burst of 50 requests during a planned move."""
    target = make_steady()
    limit.pause(target)
    answers = [admit(target, 1.0, deadline=1.05 if index == 0 else 1.4) for index in range(50)]
    assert {answer.cause for answer in answers} == {limit.Cause.PAUSED}
    wake = limit.resume(target, 1.1)
    assert wake.expired == [answers[0].ticket]
    assert wake.run == [answer.ticket for answer in answers[1:11]]


def decrease_always(target: limit.Target, now: float, factor: float) -> None:
    target.limit = max(1.0, target.limit * factor)


@pytest.mark.parametrize(
    ("name", "value", "check"),
    [
        ("MIN_SLOW_REPLIES", 10**9, lambda: test_cold_turns(slow_down, limit.Phase.WARMING)),
        ("MIN_SHED_REPLIES", 10**9, lambda: test_cold_turns(shed, limit.Phase.WARMING)),
        ("MIN_SLOW_REPLIES", 3, lambda: test_cold_turns(hiccup, limit.Phase.STEADY)),
        ("_find_max_limit", lambda target: 99.0, lambda: test_slow_start_grows_with_work_only(10)),
        ("read_limit", lambda target: 99, test_limit_and_queue_are_never_exceeded),
        ("withdraw", lambda target, ticket: None, test_limit_and_queue_are_never_exceeded),
        ("_decrease_limit", decrease_always, test_overload_lowers_the_limit_once_per_reply_time),
        ("QUEUE_PER_SLOT", 1, test_handover_waits_in_order_within_deadlines),
        ("predict_wait", lambda target: 0.0, test_queue_sheds_before_the_deadline),
    ],
)
def test_broken_admission_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, value: object, check: object
) -> None:
    """Guards against checks above that pass although the admission is broken."""
    monkeypatch.setattr(limit, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
