"""Invalid input to the product's own interface, which used to end the process that read it."""

import collections.abc

import msgspec
import pytest
import trio
import trio.testing

from ebonyvalve.process import cell, http, message, monitor, network, operator, platform
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


@pytest.mark.parametrize("build", [monitor.build_server, operator.build_server])
async def test_endless_body_is_read_to_a_limit(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    build: collections.abc.Callable[[object], network.Serve],
) -> None:
    """Guards against bodies without end that fill the memory of a node.

    The servers for announcements and operators read up to 32 MiB on each connection.
    """
    client_side, server_side = trio.testing.lockstep_stream_pair()
    nursery.start_soon(build(None), server_side)
    nursery.start_soon(client_side.receive_some, http.READ_BYTES)
    sent = 0
    with pytest.raises(trio.BrokenResourceError):
        await client_side.send_all(b"PUT /announce HTTP/1.1\r\nHost: x\r\n")
        await client_side.send_all(b"Content-Length: 99999999999\r\n\r\n")
        while sent < http.MAX_BODY_BYTES:
            await client_side.send_all(b"a" * http.READ_BYTES)
            sent += http.READ_BYTES
    assert sent <= http.MAX_HEAD_BYTES + 2 * monitor.MAX_ANNOUNCEMENT_BYTES + http.READ_BYTES
