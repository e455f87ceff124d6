"""Tests of the check of objects, and of the example directories."""

import json
import pathlib

import pytest

from ebonyvalve.process import identity
from ebonyvalve.version import check, finding, load, objects

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
# Not covered by the examples: these need a large file, an unreadable file, or a set in force.
TESTED_ELSEWHERE = {
    finding.Code.OVERSIZED,
    finding.Code.UNREADABLE,
    finding.Code.UNSAFE_CHANGE,
}
WARNINGS = {
    finding.Code.NARROWED,
    finding.Code.SLOW_RECOVERY,
    finding.Code.SINGLE_ZONE,
    finding.Code.UNKNOWN_CAPACITY,
    finding.Code.UNUSUAL,
}
# The refusals that are expected for each directory of faulty examples.
REFUSALS: dict[str, list[str]] = json.loads(
    (pathlib.Path(__file__).parent / "refusals.json").read_text()
)


def check_directories(*directories: pathlib.Path) -> list[finding.Finding]:
    loaded = load.read_directories(directories)
    return loaded.swap().value_or([]) or check.check_objects(loaded.unwrap().objects)


def list_warnings(*entries: objects.AnyObject) -> list[str]:
    findings = check.check_objects(objects.sort_objects(entries))
    assert not finding.list_refusals(findings)
    return [f"{entry.code.value} {entry.name} {entry.field}" for entry in findings]


@pytest.mark.parametrize("name", sorted(REFUSALS))
def test_faulty_example_is_refused(name: str) -> None:
    """Guards against accepting a kind of fault, or explaining it with another cause."""
    directory = EXAMPLES / "faulty" / name
    lines = [finding.render(entry) for entry in finding.list_refusals(check_directories(directory))]
    shown_lines = [line.removeprefix("refused ").replace(f"{directory}/", "") for line in lines]
    assert [line.replace("] objects.json: ", "] ") for line in shown_lines] == REFUSALS[name]


def test_every_kind_of_refusal_has_an_example() -> None:
    """Guards against a kind of refusal without an example, and an example that no test reads."""
    assert {path.name for path in (EXAMPLES / "faulty").iterdir()} == set(REFUSALS)
    all_lines = " ".join(line for lines in REFUSALS.values() for line in lines)
    missing = [code for code in finding.Code if f"[{code.value}]" not in all_lines]
    assert set(missing) == TESTED_ELSEWHERE | WARNINGS


@pytest.mark.parametrize("name", ["andinaflota", "chambre-noire"])
def test_deployments_are_accepted(name: str) -> None:
    """Guards against refusals or warnings for valid deployments, with and without a drain."""
    assert check_directories(EXAMPLES / name) == []
    assert check_directories(EXAMPLES / name, EXAMPLES / f"{name}-drain") == []


SERVICE = objects.Service(name=identity.ServiceId("store"))
ZONES = [
    objects.AvailabilityZone(name=identity.ZoneId(name), targets={SERVICE.name: 1})
    for name in ("north", "south")
]


def test_warnings_for_legal_but_unusual_objects() -> None:
    """Guards against accepting a risky configuration without a warning."""
    slow = objects.Service(name=SERVICE.name, checks_fence=False, deadline_ms=600)
    assert list_warnings(slow, *ZONES) == ["slow-recovery store deadline_ms"]
    post = objects.Service(name=SERVICE.name, idempotent_methods=["GET", "POST"])
    assert list_warnings(post, *ZONES) == ["unusual store idempotent_methods"]
    few = objects.Service(name=SERVICE.name, partitions=1)
    assert list_warnings(few, *ZONES) == ["unusual store partitions"]
    pin = objects.AssignmentRule(name="pin", service=SERVICE.name, zones=[ZONES[0].name])
    assert list_warnings(SERVICE, *ZONES, pin) == ["single-zone pin zones"]
    drain = objects.DrainOrder(name="work", reason="", zone=ZONES[0].name)
    assert list_warnings(SERVICE, *ZONES, drain) == ["unknown-capacity store needed_slots"]


def test_announced_targets_count_before_stated_ones() -> None:
    """Guards against accepting a drain that relies on stated targets that are not in service."""
    drain = objects.DrainOrder(name="work", reason="", zone=ZONES[0].name)
    entries = objects.sort_objects([SERVICE, *ZONES, drain])
    target = check.Target(
        node=identity.NodeId("n1"), zone=ZONES[0].name, service=SERVICE.name, slots=10
    )
    refused = finding.list_refusals(check.check_objects(entries, [target]))
    assert [entry.code for entry in refused] == [finding.Code.STRANDED_CAPACITY]


def test_partitions_do_not_change_in_force() -> None:
    """Guards against a changed partition count, which gives a key an owner by each count."""
    before = objects.sort_objects([SERVICE, *ZONES])
    fewer = objects.Service(name=SERVICE.name, partitions=128)
    plain = objects.Service(name=SERVICE.name, is_keyed=False)
    for service, field in ((fewer, "partitions"), (plain, "is_keyed")):
        findings = check.check_transition(before, objects.sort_objects([service, *ZONES]))
        assert [(entry.code, entry.field) for entry in findings] == [
            (finding.Code.UNSAFE_CHANGE, field)
        ]


def test_zone_is_drained_before_it_is_removed() -> None:
    """Guards against keys without an owner after the object of a zone in service was deleted."""
    before = objects.sort_objects([SERVICE, *ZONES])
    after = objects.sort_objects([SERVICE, ZONES[1]])
    assert [entry.name for entry in check.check_transition(before, after)] == ["north"]
    drain = objects.DrainOrder(name="work", reason="", zone=ZONES[0].name)
    drained = objects.sort_objects([SERVICE, *ZONES, drain])
    assert check.check_transition(drained, after) == []
    target = check.Target(
        node=identity.NodeId("n1"), zone=ZONES[0].name, service=SERVICE.name, slots=10
    )
    assert [entry.name for entry in check.check_transition(drained, after, [target])] == ["north"]


def test_service_is_removed_only_without_targets() -> None:
    """Guards against refusing every request to a service because its file was deleted."""
    other = objects.Service(name=identity.ServiceId("other"))
    before = objects.sort_objects([SERVICE, other, *ZONES])
    after = objects.sort_objects([SERVICE, *ZONES])
    target = check.Target(
        node=identity.NodeId("n1"), zone=ZONES[0].name, service=other.name, slots=10
    )
    assert check.check_transition(before, after, []) == []
    for targets in (None, [target]):
        (found,) = check.check_transition(before, after, targets)
        assert (found.code, found.name) == (finding.Code.UNSAFE_CHANGE, "other")


def test_narrowed_service_is_warned_of() -> None:
    """Guards against publishing stricter limits for callers without a warning to the operator."""
    narrow = objects.Service(
        name=SERVICE.name, slots=4, deadline_ms=100, max_body_bytes=1, idempotent_methods=["GET"]
    )
    before = objects.sort_objects([SERVICE, *ZONES])
    findings = check.check_transition(before, objects.sort_objects([narrow, *ZONES]))
    assert {entry.code for entry in findings} == {finding.Code.NARROWED}
    fields = ["max_body_bytes", "slots", "deadline_ms", "idempotent_methods"]
    assert [entry.field for entry in findings] == fields
