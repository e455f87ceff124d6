"""Tests of the routing configuration: route lookup, weighted services and refusals."""

import collections
import random

import msgspec
import pytest

from ebonyvalve.platform import configuration
from ebonyvalve.version import traffic
from tests.platform import mesh as mesh_module


def build(**changes: object) -> traffic.TrafficConfig | list[str]:
    return configuration.decode(mesh_module.build_config(3, **changes))


def edit(index: int, **changes: object) -> traffic.TrafficConfig | list[str]:
    document = msgspec.json.decode(mesh_module.build_config(3))
    document["resources"][index]["spec"].update(changes)
    return configuration.decode(msgspec.json.encode(document))


def test_longest_prefix_wins() -> None:
    """Guards against a route that matches part of a path segment, or a shorter prefix that wins."""
    accepted = edit(0, prefix="/orders/urgent/")
    assert isinstance(accepted, traffic.TrafficConfig)

    def find(path: str, host: str = mesh_module.HOST) -> str | None:
        route = traffic.find_route(accepted, host, path)
        return None if route is None else route.prefix

    assert find("/orders/urgent/7?x=/a/") == "/orders/urgent/"
    assert find("/orders/urgent") == "/orders/"
    assert find("/orders/urgently/7") == "/orders/"
    assert find("/ordersx") is None
    assert find("/orders/7", "other.example") is None


def test_shares_follow_their_weights() -> None:
    """Guards against a distribution of requests that differs from the configured weights."""
    parts = [{"backend": "lookup", "weight": 90}, {"backend": "orders", "weight": 10}]
    accepted = edit(0, split=parts)
    assert isinstance(accepted, traffic.TrafficConfig)
    rng = random.Random(2)
    route = accepted.routes[0]
    counts = collections.Counter(traffic.pick_service(route, rng.random()) for _ in range(5000))
    assert counts[route.shares[0].service] / 5000 == pytest.approx(0.9, abs=0.02)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"prefix": "/lookup"}, "must begin and end with a slash"),
        ({"backend": "nowhere"}, '"nowhere" does not exist'),
        ({"split": [{"backend": "lookup", "weight": 0}]}, "sum to nothing"),
        ({"split": [{"backend": "lookup", "weight": -1}]}, "is negative"),
        ({"type": "sometimes"}, '"sometimes" is unknown'),
        ({"timeout_s": 0}, "can't be met"),
        ({"attempts": 0}, "at least 1"),
        ({"prefix": "/orders/"}, "can never match"),
        ({"timeout_s": "soon"}, "timeout_s"),
    ],
)
def test_refusals_name_the_object_and_the_cause(changes: dict[str, object], reason: str) -> None:
    """Guards against accepting an invalid route, or refusing it without its name and the cause."""
    refused = edit(0, **changes)
    assert isinstance(refused, list)
    assert any(reason in text and "route" in text for text in refused), refused


def test_cut_document_is_refused() -> None:
    """Guards against applying part of a truncated document."""
    assert isinstance(configuration.decode(mesh_module.build_config(3)[:-20]), list)
