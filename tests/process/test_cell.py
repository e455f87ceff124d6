"""Tests of which process may claim a cell, and when all leases under its row have expired."""

import dataclasses

import pytest

from ebonyvalve.process import cell, identity, lease


def make_instance(name: str, start: int = 1) -> cell.NodeInstance:
    return cell.NodeInstance(
        node=identity.NodeId(name),
        incarnation=identity.Incarnation(f"{name}{start}"),
        address=identity.Address(f"{name}:1"),
    )


ROW = cell.CellRow(
    term=identity.Term(4),
    coordinator=make_instance("a"),
    standbys=[make_instance("b"), make_instance("c")],
)
NOW = 100.0
READ = 99.9
AFTER_CONSENT = lease.compute_lease_end(lease.compute_promise_end(NOW))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """A claimant, and the time until which leases may be valid; ``None`` if it must not claim."""

    name: str
    instance: cell.NodeInstance
    bound_s: float | None
    row: cell.CellRow | None = ROW
    promised_s: float = NOW - 0.1
    announced: dict[str, str] = dataclasses.field(default_factory=dict)


CASES = [
    Case(name="no row", instance=make_instance("x"), row=None, bound_s=NOW),
    Case(name="standby", instance=make_instance("b"), bound_s=lease.compute_lease_end(READ)),
    Case(
        name="standby in its promise",
        instance=make_instance("b"),
        promised_s=NOW + 0.1,
        bound_s=None,
    ),
    Case(name="no role", instance=make_instance("x"), bound_s=None),
    Case(
        name="coordinator again", instance=make_instance("a"), bound_s=lease.compute_lease_end(NOW)
    ),
    Case(name="restarted standby", instance=make_instance("c", 2), bound_s=AFTER_CONSENT),
    Case(
        name="announced anew",
        instance=make_instance("x"),
        announced={"b": "b2"},
        bound_s=AFTER_CONSENT,
    ),
    Case(
        name="announced as named", instance=make_instance("x"), announced={"b": "b1"}, bound_s=None
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_find_lease_bound(case: Case) -> None:
    """Guards against a claim while leases may still be renewed, and a bound before their expiry."""
    announced = {
        identity.NodeId(node): identity.Incarnation(start) for node, start in case.announced.items()
    }
    bound = cell.find_lease_bound(
        case.row,
        instance=case.instance,
        standby=cell.Standby(promised_until_s=case.promised_s),
        announced=announced,
        read_at_s=READ,
        now=NOW,
    )
    assert bound == case.bound_s


def test_no_consent_during_a_claim() -> None:
    """Guards against a standby that gives consent while its own claim may have taken effect."""
    term = identity.Term(4)
    assert (
        cell.give_consent(cell.Standby(), followed_term=term, requested_term=term, now=NOW)
        is not None
    )
    claiming = cell.Standby(is_claiming=True)
    assert cell.give_consent(claiming, followed_term=term, requested_term=term, now=NOW) is None
    lower = identity.Term(3)
    assert (
        cell.give_consent(cell.Standby(), followed_term=term, requested_term=lower, now=NOW) is None
    )


def test_proposed_standbys_count_with_the_old_ones() -> None:
    """Guards against renewals that ignore a standby before its replacement is committed."""
    state = cell.open_coordinator(
        ROW,
        cell=identity.CellId("main"),
        instance=make_instance("a"),
        zone=identity.ZoneId("z1"),
        version=1,
        unknown_until_s=NOW,
        now=NOW,
    )
    state, _ = cell.propose_standbys(state, [make_instance("d")])
    state = cell.record_consent(state, identity.NodeId("d"), NOW)
    assert not cell.may_renew(state, identity.NodeId("a"), NOW)
    for name in "bc":
        state = cell.record_consent(state, identity.NodeId(name), NOW)
    assert cell.may_renew(state, identity.NodeId("a"), NOW)
