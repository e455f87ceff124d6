"""Routes, services and limits of one accepted configuration, indexed for use on every request."""

import collections.abc
import dataclasses
import enum

from ebonyvalve.process import identity
from ebonyvalve.process.load import policy


class Repeatability(enum.Enum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A service of a route with its part of the route's requests."""

    service: identity.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    ``timeout_s`` bounds the whole request, ``objective_s`` is the latency objective, ``attempts``
    the most targets one request may be sent to. ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeatability: Repeatability
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What callers may send, and how long they may take, in bytes and seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficConfig:
    """One accepted configuration. It is replaced as a whole, never changed."""

    version: identity.ConfigVersion
    routes: tuple[Route, ...]
    services: dict[identity.ServiceId, policy.ServicePolicy]
    limits: Limits
    by_host: dict[str, dict[str, Route]]


@dataclasses.dataclass(kw_only=True)
class CurrentTraffic:
    """The configuration in force, or ``None`` before the first one."""

    traffic: TrafficConfig | None = None


def build(
    *,
    version: identity.ConfigVersion,
    routes: collections.abc.Iterable[Route],
    services: collections.abc.Iterable[policy.ServicePolicy],
    limits: Limits,
) -> TrafficConfig:
    """Index a configuration.

    :param version: its version.
    :param routes: its routes.
    :param services: its services.
    :param limits: its limits.
    """
    listed = tuple(routes)
    by_host: dict[str, dict[str, Route]] = {}
    for route in listed:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return TrafficConfig(
        version=version,
        routes=listed,
        services={service.name: service for service in services},
        limits=limits,
        by_host=by_host,
    )


def find_route(traffic: TrafficConfig, host: str, target: str) -> Route | None:
    """Return the route with the longest prefix of a path, in time linear in the path's depth.

    :param traffic: the configuration.
    :param host: the host without its port.
    :param target: the path, perhaps with a query.
    """
    prefixes = traffic.by_host.get(host)
    if prefixes is None:
        return None
    path = target.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def find_matching_route(traffic: TrafficConfig, route: Route) -> Route | None:
    """Return the route that has the same host and prefix as one of another configuration.

    :param traffic: the configuration to look in.
    :param route: the other configuration's route.
    """
    return traffic.by_host.get(route.host, {}).get(route.prefix)


def pick_service(route: Route, draw: float) -> identity.ServiceId:
    """Return the service of one request, by the weights of the route.

    :param route: the route.
    :param draw: a random number from 0 up to but not including 1.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    left = draw * sum(share.weight for share in route.shares)
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service


def check(traffic: TrafficConfig) -> list[str]:
    """Return every reason for which a configuration can't be applied.

    :param traffic: the configuration.
    """
    found: list[str] = []
    seen: dict[tuple[str, str], str] = {}
    for route in traffic.routes:
        found.extend(f'route "{route.name}": {text}' for text in _check_route(traffic, route))
        place = (route.host, route.prefix)
        if place in seen:
            found.append(
                f'route "{route.name}": can never match, because route "{seen[place]}" has the '
                f"same host and prefix"
            )
        seen.setdefault(place, route.name)
    for service in traffic.services.values():
        if service.max_connections < 1:
            found.append(f'service "{service.name}": max_connections must be at least 1')
        if service.cold_s < 0 or service.cold_rate < 0 or service.warm_up_s < 0:
            found.append(f'service "{service.name}": cold and warm-up figures must not be negative')
    return found


def _check_route(traffic: TrafficConfig, route: Route) -> collections.abc.Iterator[str]:
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield f'prefix "{route.prefix}" must begin and end with a slash'
    for share in route.shares:
        if share.service not in traffic.services:
            yield f'service "{share.service}" does not exist'
        if share.weight < 0:
            yield f'weight {share.weight} of service "{share.service}" is negative'
    if not route.shares or sum(share.weight for share in route.shares) <= 0:
        yield "the weights of its services sum to nothing"
    if route.timeout_s <= 0:
        yield f"time-out of {route.timeout_s} s can't be met"
    if route.attempts < 1:
        yield f"attempts must be at least 1, not {route.attempts}"


def list_changes(before: TrafficConfig, after: TrafficConfig) -> list[str]:
    """Return what callers and targets would notice of a new configuration, a line each.

    :param before: the configuration in force.
    :param after: the one that would replace it.
    """
    lines = [
        f"{route.host}{route.prefix}: its callers would be told 404; route {route.name!r} goes"
        for route in before.routes
        if find_matching_route(after, route) is None
    ]
    for route in after.routes:
        place = f"{route.host}{route.prefix}"
        known = find_matching_route(before, route)
        if known is None:
            lines.append(f"{place}: new, to {_describe_shares(route)}")
            continue
        lines.extend(f"{place}: {text}" for text in _list_route_changes(known, route))
    for name, service in after.services.items():
        was = before.services.get(name)
        if was is not None and was.is_keyed != service.is_keyed:
            kind = "by key" if service.is_keyed else "without keys"
            lines.append(f"service {name}: would be served {kind} from now on")
    return lines


def _list_route_changes(before: Route, after: Route) -> collections.abc.Iterator[str]:
    if before.shares != after.shares:
        yield f"from {_describe_shares(before)} to {_describe_shares(after)}"
    if before.repeatability is not after.repeatability:
        yield f"requests are {after.repeatability.value} instead of {before.repeatability.value}"
    if before.timeout_s != after.timeout_s:
        yield f"time-out {before.timeout_s:g} s -> {after.timeout_s:g} s"
    if before.attempts != after.attempts:
        yield f"attempts {before.attempts} -> {after.attempts}"
    if before.priority != after.priority:
        yield f"priority {before.priority} -> {after.priority}"


def compute_fractions(route: Route) -> dict[identity.ServiceId, float]:
    """Return the part of a route's requests that each service gets, from 0 to 1.

    :param route: the route.
    """
    total = sum(share.weight for share in route.shares)
    parts: dict[identity.ServiceId, float] = {}
    for share in route.shares:
        parts[share.service] = parts.get(share.service, 0.0) + share.weight / total
    return parts


def _describe_shares(route: Route) -> str:
    parts = compute_fractions(route)
    return ", ".join(f"{service} {100 * part:.0f}%" for service, part in parts.items())
