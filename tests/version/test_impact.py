"""Tests of the predicted effect of an evacuation and of changed service weights."""

import collections.abc

import pytest

from ebonyvalve.platform import configuration
from ebonyvalve.process import identity, member, survey
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.version import impact, traffic
from tests.platform import mesh

SERVICE = identity.ServiceId("lookup")


def build_peer(name: str, zone: str, *, offered: float = 0.3, slots: int = 4) -> survey.Peer:
    return survey.Peer(
        member=member.Member(
            node=identity.NodeId(name),
            address=identity.Address(f"{name}:1"),
            zone=identity.ZoneId(zone),
            service=SERVICE,
            lifetime=identity.Lifetime(f"i-{name}"),
            slots=slots,
            state=member.TargetState.READY,
        ),
        offered=offered,
        load_age_s=0.1,
    )


def build_survey(peers: collections.abc.Sequence[survey.Peer], *, is_keyed: bool) -> survey.Survey:
    candidates = [
        ledger.Candidate(node=peer.member.node, lifetime=peer.member.lifetime, weight=1)
        for peer in peers
    ]
    return survey.Survey(
        node=identity.NodeId("a"),
        zone=identity.ZoneId("z1"),
        service=SERVICE,
        config=3,
        refused=(),
        evacuated=(),
        keyed=(SERVICE,) if is_keyed else (),
        peers=tuple(peers),
        ledgers={SERVICE: ledger.create(candidates)} if is_keyed else {},
        versions={SERVICE: 7} if is_keyed else {},
        gauges={},
    )


PEERS = [build_peer("a", "z1"), build_peer("b", "z1"), build_peer("c", "z2")]


def test_keys_that_would_move_are_named() -> None:
    """Guards against a prediction that omits a range of keys, its next owner or a target's gain."""
    prediction = impact.predict_evacuation(
        build_survey(PEERS, is_keyed=True), identity.ZoneId("z2")
    )
    assert prediction.reasons == []
    moves = [line for line in prediction.changes if " keys " in line and " from c " in line]
    assert moves
    gains = [line for line in prediction.changes if line.startswith("target")]
    assert sum(int(line.rpartition("-> ")[2]) for line in gains) == identity.LAST_KEY_SLOT + 1


def test_load_that_would_move_is_named() -> None:
    """Guards against a wrong prediction of the load that moves in a service without keys."""
    prediction = impact.predict_evacuation(
        build_survey(PEERS, is_keyed=False), identity.ZoneId("z2")
    )
    assert "target i-a (a): load 0.30 -> 0.45" in prediction.changes
    assert prediction.reasons == []


@pytest.mark.parametrize(
    ("peers", "zone", "reason"),
    [
        (PEERS, "z9", "no target is known there"),
        (PEERS[:2], "z1", "no target would be left"),
        ([*PEERS[:2], build_peer("c", "z2", offered=0.9)], "z1", "more than its other targets"),
    ],
)
def test_reasons_against_an_evacuation(peers: list[survey.Peer], zone: str, reason: str) -> None:
    """Guards against allowing an evacuation that leaves a service without enough capacity."""
    node_survey = build_survey(peers, is_keyed=True)
    prediction = impact.predict_evacuation(node_survey, identity.ZoneId(zone))
    assert any(reason in line for line in prediction.reasons), prediction


def read_traffic(version: int, shares: dict[str, float]) -> traffic.TrafficConfig:
    split = [{"backend": name, "weight": weight} for name, weight in shares.items()]
    config = configuration.decode(mesh.build_config(version, split=split))
    assert isinstance(config, traffic.TrafficConfig)
    return config


def test_other_weights() -> None:
    """Guards against a wrong share per target, and requests sent to a service without targets."""
    before = read_traffic(1, {"lookup": 1.0})
    after = read_traffic(2, {"lookup": 0.7, "orders": 0.3})
    prediction = impact.predict_split(build_survey(PEERS, is_keyed=False), before, after)
    assert any(
        "lookup: -30%" in line and "-10.0% for each of its 3" in line for line in prediction.changes
    )
    assert all("service orders: has no target" in line for line in prediction.reasons)
    assert prediction.reasons
