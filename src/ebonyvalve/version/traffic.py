"""The accepted routing configuration: its index, its validation and the differences of versions."""

import collections.abc
import dataclasses
import enum

from ebonyvalve.process import identity
from ebonyvalve.process.load import policy
from ebonyvalve.version import accounts as accounts_module


class Repeatability(enum.Enum):
    """Whether a request may be sent again after it may have run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A service of a route and its weight in the distribution of the route's requests."""

    service: identity.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """How requests for one host and path prefix are forwarded.

    ``timeout_s`` is the time limit of the whole request and ``objective_s`` the latency objective.
    ``attempts`` is the maximum number of attempts that may have run; attempts that were refused
    don't count. ``priority`` 0 is the highest. ``is_public`` routes need no API key.
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
    is_public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on requests and connections of callers: sizes in bytes, times in seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficConfig:
    """One accepted configuration. A new version replaces the object; it is never modified.

    ``requires_keys`` says whether routes that are not public need the key of an account. It is set
    by any entry of an account, so that an unreadable one doesn't open the routes to everybody.
    """

    version: identity.ConfigVersion
    routes: tuple[Route, ...]
    services: dict[identity.ServiceId, policy.ServicePolicy]
    limits: Limits
    by_host: dict[str, dict[str, Route]]
    accounts: dict[identity.AccountId, accounts_module.Account]
    accounts_by_key: dict[accounts_module.KeyDigest, accounts_module.Account]
    requires_keys: bool


@dataclasses.dataclass(kw_only=True)
class CurrentTraffic:
    """Holds the configuration in force; ``None`` until the first one has been accepted."""

    traffic: TrafficConfig | None = None


def build(
    *,
    version: identity.ConfigVersion,
    routes: collections.abc.Iterable[Route],
    services: collections.abc.Iterable[policy.ServicePolicy],
    limits: Limits,
    accounts: collections.abc.Iterable[accounts_module.Account] = (),
    requires_keys: bool = False,
) -> TrafficConfig:
    """Build a configuration with its index of routes by host and prefix.

    :param version: its version.
    :param routes: its routes.
    :param services: its services.
    :param limits: its limits.
    :param accounts: its accounts, with different names.
    :param requires_keys: whether it has entries of accounts, also unreadable ones.
    """
    listed = tuple(routes)
    accounts_by_name = {account.name: account for account in accounts}
    by_host: dict[str, dict[str, Route]] = {}
    for route in listed:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return TrafficConfig(
        version=version,
        routes=listed,
        services={service.name: service for service in services},
        limits=limits,
        by_host=by_host,
        accounts=accounts_by_name,
        accounts_by_key=accounts_module.index_keys(accounts_by_name.values()),
        requires_keys=requires_keys,
    )


def find_route(traffic: TrafficConfig, host: str, target: str) -> Route | None:
    """Return the route with the longest matching prefix; the time is linear in the path's depth.

    :param traffic: the configuration.
    :param host: the host without its port.
    :param target: the request target: the path, optionally with a query.
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
    """Return the route of a configuration that has the same host and prefix as another route.

    :param traffic: the configuration to search.
    :param route: a route of another configuration.
    """
    return traffic.by_host.get(route.host, {}).get(route.prefix)


def pick_service(route: Route, draw: float) -> identity.ServiceId:
    """Choose the service for one request at random, by the weights of the route.

    :param route: the route.
    :param draw: a random number from 0 up to but not including 1.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    remaining = draw * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service


def find_service_faults(service: policy.ServicePolicy) -> list[str]:
    """Return every reason why a service can't be used; empty when it is valid.

    :param service: the service.
    """
    reasons: list[str] = []
    if service.max_connections < 1:
        reasons.append(f'service "{service.name}": max_connections must be at least 1')
    if service.cold_s < 0 or service.cold_rate < 0 or service.warm_up_s < 0:
        reasons.append(f'service "{service.name}": cold and warm-up figures must not be negative')
    return reasons


def select_routes(
    routes: collections.abc.Iterable[Route],
    services: collections.abc.Container[identity.ServiceId],
) -> tuple[list[Route], list[str]]:
    """Return the routes that can be used, and every reason why others can't.

    Of routes with the same host and prefix, the first one is used.

    :param routes: all routes.
    :param services: the names of the services that can be used.
    """
    usable: list[Route] = []
    reasons: list[str] = []
    names_by_location: dict[tuple[str, str], str] = {}
    for route in routes:
        faults = list(_find_route_faults(route, services))
        location = (route.host, route.prefix)
        if location in names_by_location:
            faults.append(
                f'can never match, because route "{names_by_location[location]}" has the same '
                "host and prefix"
            )
        reasons.extend(f'route "{route.name}": {text}' for text in faults)
        if not faults:
            usable.append(route)
            names_by_location[location] = route.name
    return usable, reasons


def _find_route_faults(
    route: Route, services: collections.abc.Container[identity.ServiceId]
) -> collections.abc.Iterator[str]:
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield f'prefix "{route.prefix}" must begin and end with a slash'
    for share in route.shares:
        if share.service not in services:
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
    """Return the changes that callers and targets would notice, one line for each.

    :param before: the configuration in force.
    :param after: the configuration that would replace it.
    """
    lines = [
        f"{route.host}{route.prefix}: its callers would be told 404; route {route.name!r} goes"
        for route in before.routes
        if find_matching_route(after, route) is None
    ]
    for route in after.routes:
        location = f"{route.host}{route.prefix}"
        old_route = find_matching_route(before, route)
        if old_route is None:
            lines.append(f"{location}: new, to {_describe_shares(route)}")
            continue
        lines.extend(f"{location}: {text}" for text in _list_route_changes(old_route, route))
    for name, service in after.services.items():
        old_service = before.services.get(name)
        if old_service is not None and old_service.is_keyed != service.is_keyed:
            kind = "by key" if service.is_keyed else "without keys"
            lines.append(f"service {name}: would be served {kind} from now on")
    return [*lines, *list_access_changes(before, after)]


def list_access_changes(before: TrafficConfig, after: TrafficConfig) -> list[str]:
    """Return the changes of accounts and of the routes that need a key, one line for each.

    :param before: the configuration in force.
    :param after: the configuration that would replace it.
    """
    lines = list(accounts_module.list_changes(before.accounts, after.accounts))
    for route in after.routes:
        old_route = find_matching_route(before, route)
        needed = old_route is not None and before.requires_keys and not old_route.is_public
        needs = after.requires_keys and not route.is_public
        if old_route is not None and needed is not needs:
            change = "would need the key of an account" if needs else "would need no key"
            lines.append(f"{route.host}{route.prefix}: its requests {change}")
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
    """Return the fraction of a route's requests that each service receives, from 0 to 1.

    :param route: the route.
    """
    total = sum(share.weight for share in route.shares)
    fractions: dict[identity.ServiceId, float] = {}
    for share in route.shares:
        fractions[share.service] = fractions.get(share.service, 0.0) + share.weight / total
    return fractions


def _describe_shares(route: Route) -> str:
    fractions = compute_fractions(route)
    return ", ".join(f"{service} {100 * fraction:.0f}%" for service, fraction in fractions.items())
