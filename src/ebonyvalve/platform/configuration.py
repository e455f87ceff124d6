"""Decodes the operator's configuration into routes, service policies and limits.

The field names of the structs are the platform's.
"""

import re
import typing

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity
from ebonyvalve.process.load import policy
from ebonyvalve.version import traffic

NON_IDEMPOTENT = "non_idempotent"
VERSION_PATTERN = re.compile(r"[0-9A-Fa-f]{1,8}\Z")
MAX_DURATION_S = 1e6
Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
Weight = typing.Annotated[float, msgspec.Meta(ge=-decoding.MAX_LOAD, le=decoding.MAX_LOAD)]
ROUTE_TYPES = {
    "idempotent": traffic.Repeatability.IDEMPOTENT,
    "download": traffic.Repeatability.IDEMPOTENT,
    NON_IDEMPOTENT: traffic.Repeatability.AT_MOST_ONCE,
}


class SplitEntry(msgspec.Struct, kw_only=True):
    """One service of a split route, with its share of the requests."""

    backend: str
    weight: Weight


class RouteSpec(msgspec.Struct, kw_only=True):
    """A route. ``goal_s`` is the latency objective; ``type`` says if requests may be repeated."""

    hostname: str
    prefix: str
    type: str
    timeout_s: Duration
    goal_s: Duration = 0.0
    attempts: decoding.Count = 1
    priority: decoding.Count = 0
    backend: str = ""
    split: list[SplitEntry] = []


class ServiceSpec(msgspec.Struct, kw_only=True):
    """A service. With ``sharded``, each key has one owner.

    For ``cold_s`` seconds after its start, a target can take only ``cold_per_s`` requests a second.
    Keys that arrive without a handover are slow for ``warmup_s`` seconds.
    """

    health_path: str = "/"
    max_conns: decoding.Count = 100
    cold_s: Duration = 0.0
    cold_per_s: decoding.Load = 0.0
    sharded: bool = False
    warmup_s: Duration = 0.0


class LimitsSpec(msgspec.Struct, kw_only=True):
    """Limits on what callers may send."""

    max_header_bytes: decoding.Count = 16_384
    max_body_bytes: decoding.Count = 67_108_864
    header_timeout_s: Duration = 3.0
    idle_timeout_s: Duration = 15.0


class Meta(msgspec.Struct, kw_only=True):
    """The name of a resource."""

    name: str = ""


class Resource(msgspec.Struct, kw_only=True):
    """One entry of the configuration; ``res_type`` determines the type of ``spec``."""

    res_type: str
    metadata: Meta = msgspec.field(default_factory=Meta)
    spec: msgspec.Raw = msgspec.Raw(b"{}")


class Document(msgspec.Struct, kw_only=True):
    """The whole configuration. ``version`` is hexadecimal."""

    version: str
    resources: list[Resource]


def decode(body: bytes) -> traffic.TrafficConfig | list[str]:
    """Decode a configuration; return every reason why it can't be applied otherwise.

    :param body: the operator's JSON document.
    """
    decoded = decoding.decode(body, Document, find_fault)
    if not isinstance(decoded, result.Success):
        return [f"configuration: {decoded.failure()}"]
    document = decoded.unwrap()
    version = identity.ConfigVersion(int(document.version, 16))
    problems: list[str] = []
    routes, services, limits = [], [], traffic.Limits()
    for resource in document.resources:
        name = resource.metadata.name
        try:
            if resource.res_type == "routes":
                routes.append(_decode_route(name, resource.spec))
            elif resource.res_type == "services":
                services.append(_decode_service(name, resource.spec))
            elif resource.res_type == "limits":
                limits = _decode_limits(resource.spec)
        except decoding.DECODE_ERRORS as exc:
            problems.append(f'{resource.res_type} "{name}": {decoding.describe_error(exc)}')
    accepted = traffic.build(version=version, routes=routes, services=services, limits=limits)
    return problems or traffic.check(accepted) or accepted


def find_fault(document: Document) -> str:
    """Return which text field of a configuration is invalid, or an empty string.

    :param document: the configuration.
    """
    if not VERSION_PATTERN.match(document.version):
        return f"version {document.version!r} is not 1 to 8 hexadecimal digits"
    for resource in document.resources:
        # Nodes send names of routes and services in HTTP headers.
        name = resource.metadata.name
        if resource.res_type in ("routes", "services") and not decoding.is_name(name):
            return f"{resource.res_type} {name!r}: the name is not valid"
    return ""


def _decode_route(name: str, spec: msgspec.Raw) -> traffic.Route:
    wire = msgspec.json.decode(spec, type=RouteSpec)
    if wire.type not in ROUTE_TYPES:
        raise msgspec.ValidationError(f'type "{wire.type}" is unknown')
    parts = wire.split or [SplitEntry(backend=wire.backend, weight=1)]
    return traffic.Route(
        name=name,
        host=wire.hostname.lower(),
        prefix=wire.prefix,
        shares=tuple(
            traffic.Share(service=identity.ServiceId(part.backend), weight=part.weight)
            for part in parts
        ),
        repeatability=ROUTE_TYPES[wire.type],
        timeout_s=wire.timeout_s,
        objective_s=wire.goal_s or wire.timeout_s,
        attempts=wire.attempts,
        priority=wire.priority,
    )


def _decode_service(name: str, spec: msgspec.Raw) -> policy.ServicePolicy:
    wire = msgspec.json.decode(spec, type=ServiceSpec)
    return policy.ServicePolicy(
        name=identity.ServiceId(name),
        is_keyed=wire.sharded,
        max_connections=wire.max_conns,
        cold_s=wire.cold_s,
        cold_rate=wire.cold_per_s,
        warm_up_s=wire.warmup_s,
        health_path=wire.health_path,
    )


def _decode_limits(spec: msgspec.Raw) -> traffic.Limits:
    wire = msgspec.json.decode(spec, type=LimitsSpec)
    return traffic.Limits(
        max_head_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        head_timeout_s=wire.header_timeout_s,
        idle_timeout_s=wire.idle_timeout_s,
    )
