"""Tests of the headers between nodes, with valid and with invalid content."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies
import pytest
import trio.testing

from ebonyvalve.process import identity
from ebonyvalve.process.load import selection
from ebonyvalve.request import crash, delivery, exchange, hop_headers, outcome
from tests.platform import test_odd_input
from tests.request import test_origin

DIGITS = b"9" * 400


def build_call() -> exchange.Call:
    return exchange.Call(
        request_id="a",
        service=identity.ServiceId(""),
        key=identity.KeyId(""),
        method="GET",
        path="/",
        headers=[],
        length=0,
        deadline_at_s=5.0,
        arrived_at_s=3.0,
        is_hop=True,
    )


@pytest.mark.parametrize("key_slot", [None, 0, 65_535])
def test_headers_of_a_hop_are_parsed_back(key_slot: int | None) -> None:
    """Guards against limits that reject the headers that a node itself writes."""
    call = build_call()
    call.service = identity.ServiceId("lookup")
    call.rules = exchange.Rules(
        is_repeatable=True,
        max_attempts=2,
        priority=0,
        objective_s=0.3,
        origin_service=identity.ServiceId("órdenes"),
        key_slot=key_slot,
        route="r, with a comma",
    )
    read = build_call()
    assert hop_headers.parse_headers(read, hop_headers.build_headers(call, 3.0))
    assert read.rules == call.rules
    assert (read.service, read.deadline_at_s) == ("lookup", pytest.approx(5.0, abs=0.002))


def test_hop_is_distinguished_from_a_message_of_a_node() -> None:
    """Guards against taking a forwarded request for a message between nodes.

    Callers choose the path, and one of the paths of the nodes' own messages was mistaken for one.
    """
    assert hop_headers.is_hop(hop_headers.build_headers(fill_call(), 3.0))
    assert not hop_headers.is_hop([(b"host", b"x")])


INVALID_REFUSALS = [
    (b"not-run:queue-full", b"nan", None),
    (b"not-run:queue-full", b"-1", None),
    (b"not-run:queue-full", DIGITS, None),
    (b"not-run:queue-full", b"\xff", None),
    (b"not-run:moved", b"1", b"\xff"),
    (b"not-run:of-a-later-release", b"1", None),
    (b"ran:queue-full", b"1", None),
    (b"", b"1", None),
    (b"\xff:\xff", b"1", None),
]


@pytest.mark.parametrize(("value", "retry_after", "owner"), INVALID_REFUSALS)
def test_invalid_refusals_of_other_nodes(
    value: bytes, retry_after: bytes, owner: bytes | None
) -> None:
    """Guards against an invalid header that ends the node's process or is taken for "not run"."""
    headers = [(b"retry-after", retry_after)]
    if owner is not None:
        headers.append((hop_headers.OWNER_HEADER, owner))
    completion = hop_headers.read_refusal(value, headers)
    assert completion.result.verdict is outcome.Verdict.UNKNOWN
    assert math.isfinite(completion.retry_after_s) and completion.retry_after_s >= 0
    assert completion.owner is None


INVALID_LOADS = [
    b"",
    b"1,2,3",
    b"\xff,6,100,0.5,0.01",
    b"1,6,100,nan,0.01",
    b"1,6,100,0.5,inf",
    b"1,6,100,-0.5,0.01",
    b"1,6,100,1e400,0.01",
    b"-1,6,100,0.5,0.01",
    b"1,0,100,0.5,0.01",
    b"1,6,0,0.5,0.01",
    b"1,6," + DIGITS + b",0.5,0.01",
    DIGITS + b",6,100,0.5,0.01",
    b"1," + DIGITS + b",100,0.5,0.01",
]


@pytest.mark.parametrize("value", INVALID_LOADS)
def test_invalid_loads_of_other_nodes(value: bytes) -> None:
    """Guards against an invalid load that ends the node's process or breaks later comparisons."""
    view = selection.TargetView(slots=4)
    before = dataclasses.replace(view)
    hop_headers.record_load(view, [(hop_headers.LOAD_HEADER, value)], 3.0)
    assert view == before
    assert math.isfinite(selection.estimate_answer(view, 4.0, is_near=True))


@hypothesis.given(strategies.binary(max_size=60), strategies.binary(max_size=20))
def test_arbitrary_bytes_in_headers_raise_nothing(value: bytes, other: bytes) -> None:
    """Guards against exceptions from header parsing, which end all tasks of the process."""
    view = selection.TargetView(slots=4)
    hop_headers.record_load(view, [(hop_headers.LOAD_HEADER, value)], 3.0)
    assert isinstance(
        hop_headers.read_refusal(value, [(b"retry-after", other)]), delivery.Completion
    )
    names = (
        hop_headers.RULES_HEADER,
        hop_headers.SERVICE_HEADER,
        hop_headers.ORIGIN_HEADER,
        hop_headers.DEADLINE_HEADER,
    )
    for name in names:
        headers = [*hop_headers.build_headers(fill_call(), 3.0), (name, value)]
        hop_headers.parse_headers(build_call(), headers)


def fill_call() -> exchange.Call:
    call = build_call()
    hop_headers.parse_headers(
        call,
        [
            (hop_headers.SERVICE_HEADER, b"orders"),
            (hop_headers.DEADLINE_HEADER, b"100"),
            (hop_headers.ORIGIN_HEADER, b"lookup"),
            (hop_headers.RULES_HEADER, b"1,2,1,300,,r"),
        ],
    )
    return call


INVALID_CRASH_REPORTS = [b"", b"\xff", b"[1e400]", b'{"x":1}', b'["a",3]', test_odd_input.DEEP]


@pytest.mark.parametrize("body", INVALID_CRASH_REPORTS, ids=range(len(INVALID_CRASH_REPORTS)))
async def test_invalid_crash_reports_are_refused(
    body: bytes, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against quarantining requests on an invalid crash report."""
    detector = test_origin.build_origin(0.0).delivery.crash_detector
    assert not crash.receive_push(detector, body)
    assert not detector.quarantine.crashes
