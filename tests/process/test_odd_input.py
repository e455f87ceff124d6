"""Input of other writers on the product's own interface: it ended the process that read it."""

import msgspec
import pytest

from ebonyvalve.process import cell, message, monitor, platform
from ebonyvalve.version import publish
from tests.process.keyspace import test_records

DEEP = test_records.DEEP
MEMBER = ["n1", "a", "z1", "lookup", "10.0.0.1:80", "10.0.0.1:81", 6]
ODD_MEMBERS = {
    "empty": b"",
    "nested": msgspec.json.encode(MEMBER)[:-1] + b",false,false,false," + DEEP + b"]",
    "number-too-large": b'["n1","a","z1","lookup","10.0.0.1:80","10.0.0.1:81",1e400]',
    "slots-negative": msgspec.json.encode([*MEMBER[:6], -1]),
    "slots-huge": msgspec.json.encode(MEMBER)[:-2] + b"9" * 30 + b"]",
    "port-out-of-range": msgspec.json.encode([*MEMBER[:4], "10.0.0.1:70000", *MEMBER[5:]]),
    "hop-port-out-of-range": msgspec.json.encode([*MEMBER[:5], "10.0.0.1:70000", 6]),
    "not-json": b"\xff",
    "of-another-node": msgspec.json.encode(MEMBER),
}


@pytest.mark.parametrize("value", ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_is_passed_over(value: bytes) -> None:
    """One odd announcement ended the node that claimed a term or gathered its members."""
    good = msgspec.json.encode(MEMBER)
    rows = {
        name: platform.Row(value=body, version=1)
        for name, body in {"node/n0": value, "node/n1": good, "node/n2": value}.items()
    }
    assert cell.read_members(rows) == [msgspec.json.decode(good, type=message.Member)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        DEEP,
        b'{"address":' + DEEP + b"}",
        b'{"address":"10.0.0.1:70000","incarnation":"a","slots":4}',
        b'{"address":"nowhere","incarnation":"a","slots":4}',
        b'{"address":"10.0.0.1:80","incarnation":"a","slots":0}',
        b'{"address":"10.0.0.1:80","incarnation":"a","slots":-3}',
        b'{"address":"10.0.0.1:80","incarnation":"a","slots":' + b"9" * 30 + b"}",
        b'{"address":"10.0.0.1:80","incarnation":"a","slots":1e400}',
    ],
    ids=range(9),
)
def test_odd_announcement_is_refused(body: bytes) -> None:
    """Slots below 1 end the process by an invariant, other figures where they are used."""
    assert monitor.read_announcement(body).failure()


def test_odd_entry_of_the_history_is_a_failure() -> None:
    """It ended the command that published."""
    assert publish._parse_entry("config/1", b'{"x":' + DEEP + b"}").failure()
