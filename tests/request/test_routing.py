"""Tests of the choice of the node that runs a request."""

import collections
import random
import typing

import msgspec
import pytest

from ebonyvalve.process import identity, message, straggler
from ebonyvalve.request import outcome, routing

SERVICE = identity.ServiceId("inventario")
SHARD = identity.name_partition(SERVICE, identity.Partition(1))
NODES = [identity.NodeId(f"n{index}") for index in range(5)]
Choice: typing.TypeAlias = routing.Choice
Reason: typing.TypeAlias = outcome.Reason


def make_view(
    owner: int | None = None,
    fence: int | None = None,
    loads: dict[int, routing.TargetLoad] | None = None,
    **down: set[int],
) -> routing.View:
    """Return the view of node 0. Nodes 0 to 3 have targets; 0 and 1 are in its zone."""
    plain = message.Member(
        node=NODES[0],
        incarnation=identity.Incarnation("x"),
        zone=identity.ZoneId("near"),
        service=SERVICE,
        peer_address=identity.Address(""),
        hop_address=identity.Address(""),
        slots=10,
    )
    members = {
        NODES[index]: msgspec.structs.replace(
            plain,
            node=NODES[index],
            zone="near" if index < 2 else "far",
            is_target_up=index not in down.get("down", ()),
            is_leaving=index in down.get("leaving", ()),
            is_cold=index in down.get("cold", ()),
        )
        for index in range(4)
    }
    known_loads = {NODES[index]: load for index, load in (loads or {}).items()}
    return routing.View(
        node=NODES[0],
        zone=identity.ZoneId("near"),
        find_owner=lambda shard: None if owner is None else NODES[owner],
        find_fence=lambda shard: None if fence is None else identity.Fence(fence),
        find_load=lambda node: known_loads.get(node, routing.TargetLoad(latency_s=0.005)),
        members=members,
        draw=random.Random(1).randrange,
    )


CORRECTED_TO_3 = {"corrected": NODES[3], "corrections": 1}
TWICE_CORRECTED = (
    make_view(owner=2),
    CORRECTED_TO_3 | {"corrections": 2},
    Choice.REFUSE,
    Reason.MOVED,
    None,
)


@pytest.mark.parametrize(
    ("view", "details", "choice", "reason", "node"),
    [
        (make_view(owner=0, fence=3), {}, Choice.LOCAL, Reason.NONE, None),
        # The owner in the routes is out of date: this node holds the grant.
        (make_view(owner=2, fence=3), {}, Choice.LOCAL, Reason.NONE, None),
        (make_view(owner=2, fence=3), {"is_hop": True}, Choice.LOCAL, Reason.NONE, None),
        (make_view(owner=0, fence=3, down={0}), {}, Choice.WAIT, Reason.NO_TARGET, None),
        (make_view(owner=0), {}, Choice.WAIT, Reason.LEASE_LAPSED, None),
        (make_view(owner=0), {"is_hop": True}, Choice.WAIT, Reason.LEASE_LAPSED, None),
        (make_view(), {}, Choice.WAIT, Reason.NO_OWNER, None),
        (make_view(), {"is_hop": True}, Choice.WAIT, Reason.NO_OWNER, None),
        (make_view(owner=2), {}, Choice.HOP, Reason.NONE, 2),
        (make_view(owner=2, leaving={2}), {}, Choice.HOP, Reason.NONE, 2),
        (make_view(owner=2, down={2}), {}, Choice.WAIT, Reason.NO_TARGET, None),
        (make_view(owner=4), {}, Choice.WAIT, Reason.NO_OWNER, None),
        (make_view(owner=2), {"is_hop": True}, Choice.REFUSE, Reason.MOVED, 2),
        (make_view(owner=2), CORRECTED_TO_3, Choice.HOP, Reason.NONE, 3),
        TWICE_CORRECTED,
    ],
)
def test_choice_for_a_key(
    view: routing.View,
    details: dict[str, object],
    choice: Choice,
    reason: Reason,
    node: int | None,
) -> None:
    """Guards against a second hop, a second correction, and a refusal during a handover."""
    route = routing.choose(view, SERVICE, shard=SHARD, **details)  # type: ignore[arg-type]
    assert (route.choice, route.reason) == (choice, reason)
    assert route.node == (None if node is None else NODES[node])


@pytest.mark.parametrize(
    ("issuer", "is_hop", "choice", "reason"),
    [
        (0, False, Choice.LOCAL, Reason.NONE),
        (0, True, Choice.LOCAL, Reason.NONE),
        (2, False, Choice.HOP, Reason.NONE),
        (2, True, Choice.REFUSE, Reason.MOVED),
        (4, False, Choice.REFUSE, Reason.TOKEN_EPOCH_LOST),
    ],
)
def test_token_leads_to_its_issuer(
    issuer: int, is_hop: bool, choice: Choice, reason: Reason
) -> None:
    """Guards against a token that a node other than its issuer takes for unused."""
    view = make_view(leaving={2})
    route = routing.choose(view, SERVICE, shard=None, issuer=NODES[issuer], is_hop=is_hop)
    assert (route.choice, route.reason) == (choice, reason)


def count_targets(view: routing.View, **details: object) -> dict[int, int]:
    """Return how many of 2000 requests each node gets."""
    counts: collections.Counter[int] = collections.Counter()
    for _ in range(2000):
        route = routing.choose(view, SERVICE, shard=None, **details)  # type: ignore[arg-type]
        if route.choice is Choice.REFUSE:
            counts[-1] += 1
        else:
            counts[NODES.index(route.node or NODES[0])] += 1
    return dict(counts)


def test_own_zone_comes_first_until_it_is_slower() -> None:
    """Guards against needless traffic between zones, and against overload of the own zone."""
    assert set(count_targets(make_view())) == {0, 1}
    busy = routing.TargetLoad(in_flight=9, latency_s=0.005)
    assert set(count_targets(make_view(loads={0: busy, 1: busy}))) == {2, 3}
    assert set(count_targets(make_view(cold={0, 1}))) == {2, 3}


def test_stragglers_get_probes_only() -> None:
    """Guards against a straggler that gets its full share, or no request to show its recovery."""
    slow = routing.TargetLoad(latency_s=0.05, is_bypassed=True)
    counts = count_targets(make_view(loads={1: slow}))
    expected = 2000 / (50 * 4)
    assert expected / 3 < counts.get(1, 0) < expected * 3
    alone = make_view(loads={0: slow}, down={1, 2, 3})
    assert count_targets(alone) == {0: 2000}


def test_unusable_targets_get_nothing() -> None:
    """Guards against requests to a leaving target, a second hop, and a hedge to the same target."""
    assert set(count_targets(make_view(leaving={0}, down={1}))) == {2, 3}
    assert set(count_targets(make_view(), tried={NODES[0], NODES[1]})) == {2, 3}
    assert set(count_targets(make_view(), is_hop=True)) == {0}
    assert set(count_targets(make_view(leaving={0}), is_hop=True)) == {-1}
    assert set(count_targets(make_view(down={0, 1, 2, 3}))) == {-1}


@pytest.mark.parametrize(
    ("module", "name", "value", "check"),
    [
        (straggler, "PROBE_ONE_IN", 1, test_stragglers_get_probes_only),
        (routing, "ZONE_FACTOR", 0.5, test_own_zone_comes_first_until_it_is_slower),
        (routing, "ZONE_FACTOR", 99.0, test_own_zone_comes_first_until_it_is_slower),
        (routing, "COLD_FACTOR", 1.0, test_own_zone_comes_first_until_it_is_slower),
        (routing, "_is_usable", lambda member: True, test_unusable_targets_get_nothing),
        (routing, "MAX_CORRECTIONS", 2, lambda: test_choice_for_a_key(*TWICE_CORRECTED)),
    ],
)
def test_broken_routing_is_found(
    monkeypatch: pytest.MonkeyPatch, module: object, name: str, value: object, check: object
) -> None:
    """Guards against checks that pass whatever the code does."""
    monkeypatch.setattr(module, name, value)
    with pytest.raises(AssertionError):
        check()  # type: ignore[operator]
