"""Logging must neither slow a node down nor hide changes of its state."""

import logging
import os

from ebonyvalve.process import decision
from ebonyvalve.process.observation import counters, output


def read_all(descriptor: int) -> str:
    os.set_blocking(descriptor, False)
    return os.read(descriptor, 1_000_000).decode()


def test_storm_of_refusals_is_cut_and_counted() -> None:
    """Thousands of refusals per second must not flood the log, and omitted lines are counted."""
    now = [0.0]
    reader, writer = os.pipe()
    out = output.open_output(writer, lambda: now[0])
    output.configure(out, decision.LogForm.KEY_VALUE, "INFO")
    log = logging.getLogger("ebonyvalve.test")
    for _ in range(700):
        decision.record(log, logging.INFO, "request", id="r1", reason="queue-full")
    decision.record(log, logging.WARNING, "store-lost", cause="unavailable")
    lines = read_all(reader).splitlines()
    assert len(lines) == output.BURST_LINES + 1
    assert "event=store-lost" in lines[-1]
    assert "omitted_before=200" in lines[-1]
    now[0] = 1.0
    decision.record(log, logging.INFO, "request", id="r2")
    assert "id=r2" in read_all(reader)


def test_storm_of_refusals_omits_no_line_of_a_request_that_may_have_run() -> None:
    """Guards against a log without the few requests that were lost among thousands of refusals."""
    reader, writer = os.pipe()
    out = output.open_output(writer, lambda: 0.0)
    output.configure(out, decision.LogForm.KEY_VALUE, "INFO")
    log = logging.getLogger("ebonyvalve.test")
    for _ in range(int(output.BURST_LINES) + 100):
        decision.record(log, logging.INFO, "request", id="r1", reason="queue-full")
    decision.record(log, logging.WARNING, "request", id="r2", outcome="unknown")
    assert "id=r2" in read_all(reader)
    for _ in range(int(output.BURST_LINES) + 100):
        decision.record(log, logging.WARNING, "request", id="r3", outcome="unknown")
    assert len(read_all(reader).splitlines()) < output.BURST_LINES


def test_storm_of_callers_that_leave_is_cut() -> None:
    """Guards against a log that callers flood by closing connections."""
    reader, writer = os.pipe()
    out = output.open_output(writer, lambda: 0.0)
    output.configure(out, decision.LogForm.KEY_VALUE, "INFO")
    log = logging.getLogger("ebonyvalve.test")
    for _ in range(int(output.BURST_LINES) + 100):
        decision.record(log, logging.INFO, "caller-left", requests=1)
    assert len(read_all(reader).splitlines()) == output.BURST_LINES


def test_full_pipe_is_never_waited_for() -> None:
    """A reader that has stopped reading must not block the node."""
    reader, writer = os.pipe()
    out = output.open_output(writer, lambda: 0.0)
    for _ in range(5000):
        output.write(out, "x" * 100)
    assert out.blocked > 0
    assert read_all(reader).startswith("x" * 100)


def test_metrics_in_the_usual_text_format() -> None:
    """Operators rely on counters by outcome and reason, and on latencies by service."""
    request_counters = counters.Counters()
    counters.count(request_counters, "orders", "answered", "none", 0.15)
    counters.count(request_counters, "orders", "not-run", "queue-full", 0.001)
    text = counters.render(request_counters, {"queue_length": 3}).decode()
    assert (
        'ebonyvalve_requests_total{outcome="not-run",reason="queue-full",service="orders"} 1.0'
        in text
    )
    assert 'ebonyvalve_request_seconds_bucket{le="0.2",service="orders"} 2.0' in text
    assert "ebonyvalve_queue_length 3.0" in text
