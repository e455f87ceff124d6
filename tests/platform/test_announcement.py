"""Status reports of targets, and those of other writers."""

import msgspec
import pytest

from ebonyvalve.platform import announcement
from ebonyvalve.process import member
from ebonyvalve.process.keyspace import grant, ledger

REPORT = {
    "address": "10.0.0.9:8080",
    "born": 1786528994000,
    "info": {"backend": "orders", "version": "v1", "zone": "z1", "slots": 6},
    "status": {"state": "draining", "seq": 4, "cold_left_s": 1.5},
    "holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e"]],
}


def test_report_is_decoded() -> None:
    """A restart under the same id is another lifetime."""
    decoded = announcement.decode("i-1", msgspec.json.encode(REPORT))
    assert isinstance(decoded, announcement.Announcement)
    assert decoded.report.lifetime == "i-1@1786528994000"
    assert announcement.read_target(decoded.report.lifetime) == "i-1"
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
def test_report_of_another_writer_is_refused(change: dict[str, object]) -> None:
    """It names no target to use, and the reason names it."""
    decoded = announcement.decode("i-1", msgspec.json.encode({**REPORT, **change}))
    assert isinstance(decoded, str) and "i-1" in decoded


def test_unreadable_report() -> None:
    """Bytes that are no report must not stop the node."""
    assert isinstance(announcement.decode("i-1", b"\x00\x01"), str)


def test_answers() -> None:
    """An answer without holds renews nothing; one with none takes everything away."""
    assert announcement.encode(None) == b"{}"
    assert announcement.encode(grant.Grant(spans=None, hold_s=0.0)) == b"{}"
    span = ledger.Span(first=0, last=9, fence=3, node="n", holder="i-1@1", handover="ab")
    given = msgspec.json.decode(announcement.encode(grant.Grant(spans=(span,), hold_s=4.0)))
    assert given == {"holds": [[0, 9, 3, "ab"]], "hold_s": 4.0}
