"""Decodes the operator's configuration into routes, service policies and limits.

The field names of the structs are the platform's. An entry that can't be used is skipped, so that
the rest of the configuration comes into force.
"""

import collections.abc
import contextlib
import dataclasses
import re
import typing

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity
from ebonyvalve.process.load import policy
from ebonyvalve.version import accounts as accounts_module
from ebonyvalve.version import traffic

NON_IDEMPOTENT = "non_idempotent"
UPLOAD = "upload"
VERSION_PATTERN = re.compile(r"[0-9A-Fa-f]{1,8}\Z")
MAX_DURATION_S = 1e6
Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
Weight = typing.Annotated[float, msgspec.Meta(ge=-decoding.MAX_LOAD, le=decoding.MAX_LOAD)]
ROUTE_TYPES = {
    "idempotent": traffic.Repeatability.IDEMPOTENT,
    "download": traffic.Repeatability.IDEMPOTENT,
    NON_IDEMPOTENT: traffic.Repeatability.AT_MOST_ONCE,
    UPLOAD: traffic.Repeatability.AT_MOST_ONCE,
}
# Deeper than any known entry is nested. The parser refuses a whole document for one deep entry.
MAX_DEPTH = 16
ACCOUNTS_TYPE = "tenants"
# Nodes send names of routes, services and accounts in HTTP headers.
NAMED_TYPES = frozenset({"routes", "services", ACCOUNTS_TYPE})
# Names are quoted in reasons before they have been checked.
MAX_QUOTED_CHARS = 64


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
    public: bool = False


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


class AccountSpec(msgspec.Struct, kw_only=True):
    """A client account. A rate or burst of 0 means no limit. Each key is decoded on its own."""

    api_keys: list[msgspec.Raw] = []
    priority: decoding.Count | None = None
    rate_per_s: decoding.Load = 0.0
    burst: decoding.Load = 0.0


class Meta(msgspec.Struct, kw_only=True):
    """The name of a resource."""

    name: str = ""


class ResourceType(msgspec.Struct, kw_only=True):
    """The type of an entry that is otherwise unreadable."""

    res_type: str


class Resource(msgspec.Struct, kw_only=True):
    """One entry of the configuration; ``res_type`` determines the type of ``spec``."""

    res_type: str
    metadata: Meta = msgspec.field(default_factory=Meta)
    spec: msgspec.Raw = msgspec.Raw(b"{}")


class Document(msgspec.Struct, kw_only=True):
    """The whole configuration. ``version`` is hexadecimal."""

    version: str
    resources: list[msgspec.Raw]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loaded:
    """A configuration, and why entries of it were skipped or changed, one reason for each."""

    traffic: traffic.TrafficConfig
    skipped: tuple[str, ...]


def decode(body: bytes) -> traffic.TrafficConfig | list[str]:
    """Decode a configuration strictly; return every reason why not all of it can be used otherwise.

    :param body: the operator's JSON document.
    """
    loaded = load(body)
    if isinstance(loaded, list):
        return loaded
    return list(loaded.skipped) or loaded.traffic


def load(body: bytes) -> Loaded | list[str]:
    """Decode a configuration without the entries that can't be used.

    :param body: the operator's JSON document.
    :return: the configuration, or the reasons if the document can't be read at all.
    """
    decoded = decoding.decode(body, Document, find_fault)
    if not isinstance(decoded, result.Success):
        decoded = decoding.decode(decoding.prune(body, MAX_DEPTH), Document, find_fault)
    if not isinstance(decoded, result.Success):
        return [f"configuration: {decoded.failure()}"]
    document = decoded.unwrap()
    skipped: list[str] = []
    routes: list[traffic.Route] = []
    services: dict[identity.ServiceId, policy.ServicePolicy] = {}
    limits = traffic.Limits()
    accounts: dict[identity.AccountId, accounts_module.Account] = {}
    resources, unreadable = _decode_resources(document, skipped)
    for resource in resources:
        name = resource.metadata.name
        with _skip_unreadable(resource, skipped):
            if resource.res_type in NAMED_TYPES and not decoding.is_name(name):
                raise msgspec.ValidationError("the name is not valid")
            if resource.res_type == "routes":
                routes.append(_decode_route(name, resource.spec, skipped))
            elif resource.res_type == "services":
                service = _decode_service(name, resource.spec)
                services[service.name] = service
            elif resource.res_type == "limits":
                limits = _decode_limits(resource.spec)
            elif resource.res_type == ACCOUNTS_TYPE:
                account = _decode_account(name, resource.spec, skipped)
                if account.name in accounts:
                    raise msgspec.ValidationError("another account has the same name")
                accounts[account.name] = account
            else:
                raise msgspec.ValidationError("the resource type is unknown")
    skipped.extend(_find_shared_keys(accounts.values()))
    usable_services = {}
    for name, service in services.items():
        faults = traffic.find_service_faults(service)
        skipped.extend(faults)
        if not faults:
            usable_services[name] = service
    usable_routes, route_faults = traffic.select_routes(routes, usable_services)
    skipped.extend(route_faults)
    has_routes = any(resource.res_type == "routes" for resource in resources)
    if has_routes and not usable_routes:
        return ["configuration: none of its routes can be used", *skipped]
    accepted = traffic.build(
        version=identity.ConfigVersion(int(document.version, 16)),
        routes=usable_routes,
        services=usable_services.values(),
        limits=limits,
        accounts=accounts.values(),
        requires_keys=any(resource.res_type == ACCOUNTS_TYPE for resource in resources)
        or any(_is_account(raw) for raw in unreadable),
    )
    return Loaded(traffic=accepted, skipped=tuple(skipped))


def find_fault(document: Document) -> str:
    """Return why a configuration is invalid as a whole, or an empty string.

    :param document: the configuration.
    """
    if not VERSION_PATTERN.match(document.version):
        return f"version {document.version!r} is not 1 to 8 hexadecimal digits"
    return ""


def _decode_resources(
    document: Document, skipped: list[str]
) -> tuple[list[Resource], list[msgspec.Raw]]:
    """Return the readable and the unreadable resources; add the reasons against the latter."""
    resources: list[Resource] = []
    unreadable: list[msgspec.Raw] = []
    for number, raw in enumerate(document.resources):
        decoded = decoding.decode(raw, Resource)
        if isinstance(decoded, result.Success):
            resources.append(decoded.unwrap())
        else:
            unreadable.append(raw)
            skipped.append(f"resource {number}: {decoded.failure()}")
    return resources, unreadable


@contextlib.contextmanager
def _skip_unreadable(resource: Resource, skipped: list[str]) -> collections.abc.Iterator[None]:
    """Skip a resource whose decoding fails, and add the reason."""
    name = resource.metadata.name
    try:
        yield
    except decoding.DECODE_ERRORS as exc:
        cause = decoding.describe_error(exc)
        skipped.append(f'{_quote(resource.res_type)} "{_quote(name)}": {cause}')


def _is_account(raw: msgspec.Raw) -> bool:
    decoded = decoding.decode(raw, ResourceType)
    return isinstance(decoded, result.Success) and decoded.unwrap().res_type == ACCOUNTS_TYPE


def _quote(text: str) -> str:
    return text[:MAX_QUOTED_CHARS].encode("ascii", "backslashreplace").decode()


def _decode_route(name: str, spec: msgspec.Raw, skipped: list[str]) -> traffic.Route:
    wire = msgspec.json.decode(spec, type=RouteSpec)
    repeatability = ROUTE_TYPES.get(wire.type)
    if repeatability is None:
        # Its requests may have effects, so that they must not be sent again.
        repeatability = traffic.Repeatability.AT_MOST_ONCE
        kind = _quote(wire.type)
        skipped.append(f'route "{name}": type "{kind}" is unknown, handled as {NON_IDEMPOTENT}')
    parts = wire.split or [SplitEntry(backend=wire.backend, weight=1)]
    return traffic.Route(
        name=name,
        host=wire.hostname.lower(),
        prefix=wire.prefix,
        shares=tuple(
            traffic.Share(service=identity.ServiceId(part.backend), weight=part.weight)
            for part in parts
        ),
        repeatability=repeatability,
        timeout_s=wire.timeout_s,
        objective_s=wire.goal_s or wire.timeout_s,
        attempts=wire.attempts,
        priority=wire.priority,
        is_public=wire.public,
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


def _decode_account(name: str, spec: msgspec.Raw, skipped: list[str]) -> accounts_module.Account:
    """Return an account with its readable keys; add the reasons against the others."""
    wire = msgspec.json.decode(spec, type=AccountSpec)
    key_digests = set()
    for number, raw in enumerate(wire.api_keys, start=1):
        decoded = decoding.decode(raw, str)
        key = decoded.value_or("")
        if accounts_module.is_key(key):
            key_digests.add(accounts_module.digest(key.encode()))
        else:
            skipped.append(f'account "{name}": key {number} is not a text of visible ASCII')
    return accounts_module.Account(
        name=identity.AccountId(name),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
        key_digests=frozenset(key_digests),
    )


def _find_shared_keys(
    accounts: collections.abc.Iterable[accounts_module.Account],
) -> collections.abc.Iterator[str]:
    """Yield the accounts some of whose keys identify an earlier account."""
    owners: dict[accounts_module.KeyDigest, identity.AccountId] = {}
    for account in accounts:
        names = {owners.setdefault(key, account.name) for key in account.key_digests}
        for name in sorted(names - {account.name}):
            yield f'account "{account.name}": has a key of account "{name}", which keeps it'


def _decode_limits(spec: msgspec.Raw) -> traffic.Limits:
    wire = msgspec.json.decode(spec, type=LimitsSpec)
    return traffic.Limits(
        max_head_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        head_timeout_s=wire.header_timeout_s,
        idle_timeout_s=wire.idle_timeout_s,
    )
