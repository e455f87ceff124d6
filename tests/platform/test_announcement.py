"""Tests of the status reports' codec, also with invalid reports."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from ebonyvalve.platform import announcement
from ebonyvalve.process import member
from ebonyvalve.process.keyspace import grant, ledger
from tests.process.keyspace import test_records

REPORT = {
    "address": "10.0.0.9:8080",
    "born": 1786528994000,
    "info": {"backend": "orders", "version": "v1", "zone": "z1", "slots": 6},
    "status": {"state": "draining", "seq": 4, "cold_left_s": 1.5},
    "holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e"]],
}


def test_report_is_decoded() -> None:
    """Guards against taking a restarted target with the same id for its former lifetime."""
    decoded = announcement.decode("i-1", msgspec.json.encode(REPORT))
    assert isinstance(decoded, announcement.Announcement)
    assert decoded.report.lifetime == "i-1@1786528994000"
    assert member.read_target_id(decoded.report.lifetime) == "i-1"
    assert decoded.state is member.TargetState.LEAVING
    assert decoded.report.holds == ((0, 4095, 7),)
    assert decoded.report.released == ((4096, 8191, "5c0e"),)


@pytest.mark.parametrize(
    "change",
    [
        {"status": {"state": "asleep", "seq": 4}},
        {"status": {"state": "ready"}},
        {"info": {"backend": 3, "slots": 6}},
        {"holds": "all"},
        {"address": None},
    ],
)
def test_malformed_report_is_refused(change: dict[str, object]) -> None:
    """Guards against using a malformed report, and against a reason without the target's name."""
    decoded = announcement.decode("i-1", msgspec.json.encode({**REPORT, **change}))
    assert isinstance(decoded, str) and "i-1" in decoded


def test_unreadable_report() -> None:
    """Guards against bytes that aren't a report and stop the node."""
    assert isinstance(announcement.decode("i-1", b"\x00\x01"), str)


def test_answers() -> None:
    """Guards against revoking all keys of a target by an empty list of holds.

    An answer without ``holds`` renews nothing, while an empty list revokes everything.
    """
    assert announcement.encode(None) == b"{}"
    assert announcement.encode(grant.Grant(spans=None, hold_s=0.0)) == b"{}"
    span = ledger.Span(first=0, last=9, fence=3, node="n", holder="i-1@1", handover="ab")
    answer = msgspec.json.decode(announcement.encode(grant.Grant(spans=(span,), hold_s=4.0)))
    assert answer == {"holds": [[0, 9, 3, "ab"]], "hold_s": 4.0}


DIGITS = b"9" * 30
ODD_REPORTS = {
    "nested": b'{"x":' + test_records.DEEP + b"}",
    "number-too-large": b'{"status":{"seq":1e400}}',
    **{
        name: msgspec.json.encode({**REPORT, **change}).replace(b'"huge"', DIGITS)
        for name, change in {
            "slots-huge": {"info": {"backend": "orders", "slots": "huge"}},
            "slots-negative": {"info": {"backend": "orders", "slots": -1}},
            "sequence-huge": {"status": {"state": "ready", "seq": "huge"}},
            "sequence-negative": {"status": {"state": "ready", "seq": -1}},
            "cold-for-ages": {"status": {"state": "ready", "seq": 4, "cold_left_s": 1e300}},
            "cold-negative": {"status": {"state": "ready", "seq": 4, "cold_left_s": -1e300}},
            "born-huge": {"born": "huge"},
            "born-in-ages": {"born": 10**15},
            "born-negative": {"born": -5},
            "key-beyond-last": {"holds": [[0, 65_536, 7]]},
            "key-negative": {"holds": [[-1, 5, 7]]},
            "fence-huge": {"holds": [[0, 5, "huge"]]},
            "handover-huge": {"released": [[0, 5, "x" * 10_000]]},
            "released-beyond-last": {"released": [[0, 10**9, "x"]]},
            "address-nothing": {"address": ""},
        }.items()
    },
}


@pytest.mark.parametrize("body", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_odd_report_is_refused(body: bytes) -> None:
    """Guards against accepting invalid values in a report.

    They stopped the node at once, or made divisions and headers fail later.
    """
    decoded = announcement.decode("i-1", body)
    assert isinstance(decoded, str) and "i-1" in decoded and len(decoded) < 400


@pytest.mark.parametrize("name", ["", "i-1\r\nx", " i", "i" * 10_000, "\ud800"])
def test_odd_name_of_a_target_is_refused(name: str) -> None:
    """Guards against a name that isn't valid in a header, as every request to the target has it."""
    assert isinstance(announcement.decode(name, msgspec.json.encode(REPORT)), str)


@hypothesis.given(
    strategies.binary()
    | test_records.TREES.map(msgspec.json.encode)
    | strategies.fixed_dictionaries({}, optional=dict.fromkeys(REPORT, test_records.TREES)).map(
        lambda change: msgspec.json.encode({**REPORT, **change})
    )
)
def test_any_bytes_are_a_usable_report_or_a_reason(body: bytes) -> None:
    """Guards against a report that raises an exception, which stopped the process."""
    decoded = announcement.decode("i-1", body)
    if isinstance(decoded, announcement.Announcement):
        assert 0 < 1 / decoded.slots <= 1
        assert 0 <= decoded.cold_left_s < 1e6
