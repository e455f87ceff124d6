"""Invalid input to the product's own interface, which used to end the process that read it."""

import msgspec
import pytest

from ebonyvalve.process import cell, message, monitor, platform
from ebonyvalve.version import publish
from tests.process.keyspace import test_records

DEEP = test_records.DEEP
MEMBER = ["n1", "a", "z1", "lookup", "10.0.0.1:80", "10.0.0.1:81", 6]
INVALID_MEMBERS = {
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


@pytest.mark.parametrize("value", INVALID_MEMBERS.values(), ids=INVALID_MEMBERS)
def test_invalid_member_is_skipped(value: bytes) -> None:
    """A single invalid announcement ended the node that claimed a term or read the members."""
    valid = msgspec.json.encode(MEMBER)
    rows = {
        name: platform.Row(value=body, version=1)
        for name, body in {"node/n0": value, "node/n1": valid, "node/n2": value}.items()
    }
    assert cell.read_members(rows) == [msgspec.json.decode(valid, type=message.Member)]


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
def test_invalid_announcement_is_refused(body: bytes) -> None:
    """Slots below 1 violate an invariant that ends the process; other values fail in later use."""
    assert monitor.read_announcement(body).failure()


def test_invalid_entry_of_the_history_is_a_failure() -> None:
    """An invalid entry ended the command that was publishing a configuration."""
    assert publish._parse_entry("config/1", b'{"x":' + DEEP + b"}").failure()
