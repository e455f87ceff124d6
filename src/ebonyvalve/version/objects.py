"""The configuration objects that operators edit, and the encoding of a set of them.

The limits in the annotations apply whenever an object is decoded. They reject values that are
invalid in any deployment; ``version.check`` checks values against each other.
"""

import hashlib
import typing

import msgspec
from returns import result

from ebonyvalve.process import identity

# Names appear in paths, shard names and table keys, where "/" separates the parts.
NAME_PATTERN = r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
METHOD_PATTERN = r"\A[A-Z][A-Z-]{0,31}\Z"
PATTERNS = {
    NAME_PATTERN: "a name of up to 63 letters, digits, '.', '_' or '-', beginning with a letter or "
    "digit",
    METHOD_PATTERN: "an HTTP method in capital letters",
}
_NAME = msgspec.Meta(pattern=NAME_PATTERN)
_TEXT = msgspec.Meta(max_length=1000)
Name = typing.Annotated[str, _NAME]
ServiceName = typing.Annotated[identity.ServiceId, _NAME]
ZoneName = typing.Annotated[identity.ZoneId, _NAME]
NodeName = typing.Annotated[identity.NodeId, _NAME]
KeyText = typing.Annotated[identity.KeyId, msgspec.Meta(min_length=1, max_length=1024)]
Text = typing.Annotated[str, _TEXT]
Method = typing.Annotated[str, msgspec.Meta(pattern=METHOD_PATTERN)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Partitions = typing.Annotated[int, msgspec.Meta(ge=0, le=65_536)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class Service(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag="Service",
    tag_field="kind",
):
    """A service and how its targets behave."""

    name: ServiceName
    is_keyed: bool = True
    partitions: Partitions = 256
    slots: Count = 10
    connections: Count = 130
    idempotent_methods: list[Method] = msgspec.field(default_factory=lambda: ["GET", "HEAD"])
    deadline_ms: Milliseconds = 400
    checks_fence: bool = True
    checks_sender: bool = False
    warm_up_s: Seconds = 20.0
    token_life_s: Seconds = 300.0
    max_body_bytes: Bytes = 256 * 1024 * 1024
    # Slots that must remain in service while zones or nodes are drained; 0 if not stated.
    needed_slots: Count = 0
    # The service from which fields that this object's file omits are inherited. The loader fills
    # them in.
    like: ServiceName | None = None


class AvailabilityZone(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag="AvailabilityZone",
    tag_field="kind",
):
    """An availability zone in which targets run."""

    name: ZoneName
    region: Text = ""
    # Expected number of targets of each service; used while no target has announced itself.
    targets: dict[ServiceName, Count] = {}


class Key(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag="Key",
    tag_field="kind",
):
    """A key that has its own shard instead of belonging to a partition."""

    name: Name
    service: ServiceName
    key: KeyText
    reason: Text


class AssignmentRule(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag="AssignmentRule",
    tag_field="kind",
):
    """Restricts the zones whose targets may own keys of a service.

    The check accepts one rule for all keys of a service, and one rule for each key. The zones of a
    key's rule must be a subset of those of the service's rule, so that no precedence is needed.
    """

    name: Name
    service: ServiceName
    zones: list[ZoneName]
    # The names of Key objects; empty for every key of the service.
    keys: list[Name] = []


class DrainOrder(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag="DrainOrder",
    tag_field="kind",
):
    """Takes a zone, or single targets, out of service."""

    name: Name
    reason: Text
    zone: ZoneName | None = None
    nodes: list[NodeName] = []
    # Seconds within which the last shard must have been moved away once the order is in force.
    within_s: Seconds = 60.0


AnyObject = Service | AvailabilityZone | Key | AssignmentRule | DrainOrder


class ObjectSet(msgspec.Struct, kw_only=True, frozen=True):
    """All objects of one configuration."""

    objects: list[AnyObject]


def name_kind(entry: AnyObject) -> str:
    """Return the kind of an object, as written in files.

    :param entry: the object.
    """
    return type(entry).__name__


def sort_objects(entries: typing.Iterable[AnyObject]) -> ObjectSet:
    """Return the objects ordered by kind and name, so that equal sets have equal bodies.

    :param entries: the objects in any order.
    """
    return ObjectSet(objects=sorted(entries, key=lambda entry: (name_kind(entry), entry.name)))


def encode_body(entries: ObjectSet) -> bytes:
    """Return the canonical JSON of a set.

    Default values are included, so that a release with other defaults does not change the
    configuration in force.

    :param entries: the whole set.
    """
    return msgspec.json.encode(sort_objects(entries.objects), order="sorted")


def decode_body(body: bytes) -> result.Result[ObjectSet, str]:
    """Return the set that a canonical JSON body contains, or why it cannot be read.

    :param body: made by :func:`encode_body`.
    """
    try:
        return result.Success(msgspec.json.decode(body, type=ObjectSet))
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Failure(str(error))


def digest_body(body: bytes) -> str:
    """Return the name of a body in the object store, which contains its digest.

    :param body: made by :func:`encode_body`.
    """
    return f"config-sha256-{hashlib.sha256(body).hexdigest()}"
