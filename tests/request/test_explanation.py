"""Tests of the explanation that operators get of how a request would be routed."""

import pytest

from ebonyvalve.platform import configuration
from ebonyvalve.process import identity, member
from ebonyvalve.process import node as node_module
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.request import explanation, origin
from ebonyvalve.version import traffic
from tests.platform import mesh
from tests.request import test_origin


def build_origin() -> origin.Origin:
    """Return an origin with one target for each service; the first node owns the keys."""
    entry = test_origin.build_origin(1.0)
    found = configuration.decode(mesh.build_config(5))
    assert isinstance(found, traffic.TrafficConfig)
    entry.current.traffic = found
    entry.node.members.clear()
    for number, service in enumerate((mesh.KEYED, mesh.ORDERS)):
        name = test_origin.NAMES[number]
        entry.node.members[name] = member.Member(
            node=name,
            address=identity.Address(f"{name}:1"),
            zone=identity.ZoneId(f"z{number}"),
            service=identity.ServiceId(service),
            lifetime=identity.Lifetime(f"i-{number}"),
            slots=4,
            state=member.TargetState.READY,
        )
    holder = ledger.Candidate(
        node=test_origin.NAMES[0], lifetime=identity.Lifetime("i-0"), weight=1
    )
    entry.node.ledgers[identity.ServiceId(mesh.KEYED)] = node_module.VersionedLedger(
        ledger=ledger.create([holder]), version=12
    )
    return entry


async def test_owner_of_a_key_is_explained() -> None:
    """Guards against an explanation without the route, range, fence, holder or target state."""
    text = "\n".join(explanation.explain(build_origin(), mesh.HOST, "/lookup/7", 300))
    assert "route 'r/lookup/' of configuration 5" in text
    assert "key 300 is in 0 to 65535 of ledger 12" in text
    assert "held by target i-0 beside n0" in text
    assert "load not told yet" in text
    assert "repeats that this node may make now: 1" in text


async def test_reasons_for_avoiding_a_target_are_explained() -> None:
    """Guards against an explanation that does not say why a target is avoided."""
    entry = build_origin()
    entry.node.evacuated = frozenset({identity.ZoneId("z1")})
    view = node_module.read_view(entry.node, test_origin.NAMES[1])
    view.avoid_until, view.failures = entry.node.now() + 1.0, 2
    text = "\n".join(explanation.explain(entry, mesh.HOST, "/orders/7", None))
    assert "its zone is evacuated" in text
    assert "after 2 failures" in text


@pytest.mark.parametrize(
    ("path", "key_slot", "expected"),
    [("/none/", None, "404"), ("/lookup/", None, "need a key: 400")],
)
def test_refusals_are_explained(path: str, key_slot: int | None, expected: str) -> None:
    """Guards against an explanation without the status that callers would get."""
    assert expected in "\n".join(explanation.explain(build_origin(), mesh.HOST, path, key_slot))


async def test_range_without_a_holder_is_explained() -> None:
    """Guards against a wrong owner when the holder is gone and its lease has not ended yet."""
    entry = build_origin()
    del entry.node.members[test_origin.NAMES[0]]
    text = "\n".join(explanation.explain(entry, mesh.HOST, "/lookup/7", 300))
    assert "n0 is not announced" in text
