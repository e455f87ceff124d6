"""Leases that another writer has left, and what a node may grant after its own was lost."""

import math

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import trio.testing

from ebonyvalve.process import identity, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import lease, ledger, reconciliation, records, renewal
from ebonyvalve.process.store import table
from tests.process.keyspace import test_records, test_steward

SERVICE = identity.ServiceId("lookup")
LIFETIME = identity.Lifetime("t@1")
GOOD = {"until_s": 20.0, "incarnation": "b", "offered": 0.5, "request_load": 0.01}
SPANS = [[0, 65_535, 3, "me", LIFETIME]]
DEEP = test_records.DEEP
ODD_LEASES = {
    "empty": b"",
    "not-json": b"\xff",
    "nested": b'{"x":' + DEEP + b"}",
    "until-too-large": b'{"until_s":1e400,"incarnation":"b"}',
    "until-digits": b'{"until_s":' + b"9" * 400 + b',"incarnation":"b"}',
    "until-in-years": b'{"until_s":1e9,"incarnation":"b"}',
    "until-negative": msgspec.json.encode({**GOOD, "until_s": -5.0}),
    "until-missing": b'{"incarnation":"b"}',
    "load-too-large": msgspec.json.encode({**GOOD, "offered": 1e300}),
    "load-negative": msgspec.json.encode({**GOOD, "request_load": -1.0}),
}


class Script:
    """A store whose rows a test sets; ``None`` instead of a table's rows is an outage."""

    def __init__(self) -> None:
        self.leases: list[table.Row] | None = []
        self.mesh: list[table.Row] | None = []
        self.is_writable = True
        self.version = 9

    def open(self) -> table.Store:
        async def read(name: table.TableName) -> table.Rows | table.Failure:
            rows = self.leases if name == records.LEASES else self.mesh
            now = trio.current_time()
            clock = lease.StoreClock(asked_at=now, answered_at=now, read_s=now)
            if rows is None:
                return table.Failure.UNAVAILABLE
            return table.Rows(rows=tuple(rows), version=self.version, clock=clock)

        async def follow(*_: object) -> table.Failure:
            return table.Failure.UNAVAILABLE

        async def commit(
            expected: dict[table.Name, int], writes: dict[table.Name, bytes | None]
        ) -> table.Committed | table.Conflict | table.Failure:
            present = {row.name: row.version for row in self.leases or []}
            if not self.is_writable:
                return table.Failure.UNAVAILABLE
            if any(present.get(name, 0) != version for name, version in expected.items()):
                return table.Conflict(rows=())
            self.version += 1
            self.leases = [
                table.Row(name=name, value=value, version=self.version)
                for name, value in writes.items()
                if value is not None
            ]
            return table.Committed(version=self.version, clock=None)

        return table.Store(read=read, follow=follow, commit=commit)


def build_steward(script: Script) -> records.Reconciler:
    """Return a node whose target holds all keys by a ledger of version 5."""
    keeper = test_records.build_steward()
    keeper.store = script.open()
    node = keeper.node
    node.policies = {SERVICE: test_steward.POLICY}
    node.grantor.lifetime = LIFETIME
    node.target = node_module.Target(
        lifetime=LIFETIME,
        started_at_ms=1,
        slots=6,
        state=node_module.member.TargetState.READY,
        reported_at=trio.current_time(),
    )
    now = trio.current_time()
    node.store_clock = lease.StoreClock(asked_at=now, answered_at=now, read_s=now)
    span = ledger.Span(first=0, last=65_535, fence=3, node="me", holder=LIFETIME)
    node.ledgers[SERVICE] = node_module.VersionedLedger(
        ledger=ledger.Ledger(spans=(span,)), version=5
    )
    keeper.lease_row = lease.LeaseRow(until_s=now + lease.LEASE_S, incarnation="a")
    keeper.lease_version = 4
    return keeper


def grants(keeper: records.Reconciler) -> bool:
    given = reconciliation.answer_report(keeper)
    return given is not None and bool(given.spans)


def build_lease(name: str, value: bytes, version: int) -> table.Row:
    return table.Row(
        name=records.name_lease_row(identity.NodeId(name)), value=value, version=version
    )


@pytest.mark.parametrize("value", ODD_LEASES.values(), ids=ODD_LEASES)
async def test_own_lease_that_turns_odd_is_lost_and_written_anew(
    value: bytes, autojump_clock: trio.testing.MockClock
) -> None:
    """A node that met its own row in another writer's form ended at its next renewal."""
    script = Script()
    keeper = build_steward(script)
    if value == ODD_LEASES["until-in-years"]:
        value = value.replace(b'"b"', b'"a"')
    script.leases = [build_lease("me", value, 8)]
    script.mesh = [
        test_records.build_row(
            "book/lookup", msgspec.json.encode({"spans": [[0, 65_535, 3, "me", LIFETIME]]}), 5
        )
    ]
    assert not await renewal._renew(keeper)
    assert not grants(keeper)
    assert await renewal._renew(keeper)
    assert grants(keeper)
    decoded = msgspec.json.decode(script.leases[0].value)
    assert decoded["until_s"] < trio.current_time() + lease.LEASE_S + 1


@pytest.mark.parametrize("value", ODD_LEASES.values(), ids=ODD_LEASES)
async def test_odd_lease_of_another_node_counts_as_just_renewed(
    value: bytes,
    autojump_clock: trio.testing.MockClock,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its node may have renewed just before; when passed over, it kept its keys for good."""
    script = Script()
    keeper = build_steward(script)
    script.leases = [
        build_lease("n1", msgspec.json.encode(GOOD), 2),
        build_lease("n2", value, 3),
        build_lease("n3", msgspec.json.encode(GOOD), 4),
    ]
    await renewal.read_leases(keeper)
    node = keeper.node
    first = node.leases[identity.NodeId("n2")]
    assert set(node.leases) == {"n1", "n2", "n3"}
    assert first.version == 3
    for at, is_over in ((2 * lease.LEASE_S, False), (4 * lease.LEASE_S, True)):
        await trio.sleep(at - trio.current_time())
        await renewal.read_leases(keeper)
        held = node.leases[identity.NodeId("n2")]
        assert held == first
        assert node.store_clock is not None
        assert lease.is_expired(held.row, node.store_clock, node.now()) is is_over
    logged = [entry for entry in caplog.records if entry.message == "row-unreadable"]
    assert len(logged) <= 1


@pytest.mark.parametrize("is_odd", [True, False])
async def test_lost_lease_and_a_ledger_that_cannot_be_read(
    is_odd: bool, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """The keys may have been given away meanwhile, so that the known ledger grants nothing.

    Otherwise a node whose lease was ended would grant by its old ledger what another holds now.
    """
    script = Script()
    keeper = build_steward(script)
    nursery.start_soon(timer.run, keeper.node.wakeups)
    assert grants(keeper)
    odd = [test_records.build_row("book/lookup", b"{}", 7)]
    script.mesh = odd if is_odd else None
    for _ in range(3):
        await renewal._renew(keeper)
        await renewal._renew(keeper)
        assert not grants(keeper)
    spans = [[0, 65_535, 4, "me", LIFETIME]]
    script.mesh = [test_records.build_row("book/lookup", msgspec.json.encode({"spans": spans}), 8)]
    await renewal._renew(keeper)
    await records.reload_mesh(keeper)
    await renewal._renew(keeper)
    assert grants(keeper)


async def test_odd_ledger_beside_a_lease_that_lasts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """What a target holds changes only by its own node or after the node's lease has been ended."""
    script = Script()
    keeper = build_steward(script)
    script.leases = [build_lease("me", msgspec.json.encode({**GOOD, "incarnation": "a"}), 4)]
    script.mesh = [test_records.build_row("book/lookup", b"{}", 7)]
    await records.reload_mesh(keeper)
    assert await renewal._renew(keeper)
    assert grants(keeper)


@hypothesis.given(
    strategies.binary()
    | strategies.fixed_dictionaries({}, optional=dict.fromkeys(GOOD, test_records.TREES)).map(
        lambda change: msgspec.json.encode({**GOOD, **change})
    )
)
def test_any_bytes_are_a_usable_lease_or_a_reason(value: bytes) -> None:
    """The end of a lease goes into sums with clocks, its loads into those of the plan."""
    found = lease.decode(value).value_or(None)
    if found is not None:
        assert all(math.isfinite(part) and part >= 0 for part in (found.until_s, found.offered))


async def test_conflicts_do_not_renew_a_lease_that_cannot_be_read(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Each write that failed for another reason put off the end of an odd lease once more."""
    script = Script()
    keeper = build_steward(script)
    row = table.Row(name=records.name_lease_row(identity.NodeId("other")), value=b"odd", version=7)
    script.leases = [row]
    await renewal.read_leases(keeper)
    until_s = keeper.node.leases[identity.NodeId("other")].row.until_s
    await trio.sleep(5.0)
    renewal.apply_conflict(keeper, (row,))
    assert keeper.node.leases[identity.NodeId("other")].row.until_s == until_s
