"""Checks a complete set of objects and reports all refusals and warnings at once."""

import collections
import collections.abc
import dataclasses
import itertools

from ebonyvalve.process import identity
from ebonyvalve.version import finding, objects, route

# A hop crosses a zone boundary twice at up to 1.5 ms each and may need a new connection, which
# takes 1 ms; one more millisecond is for parsing at both nodes.
MIN_DEADLINE_MS = 5
# The platform's limit on connections to one target.
MAX_CONNECTIONS = 130
# The concurrency limit of a target may rise to this multiple of its slots.
MAX_LIMIT_PER_SLOT = 1.5
# The shards of a lost node are free when its lease of 450 ms has expired; about 50 ms later they
# are granted to other nodes.
RECOVERY_MS = 500
MAX_RECOVERY_MS = 1000
# A drained zone receives no new work after this time, so a shorter limit cannot be met.
MIN_DRAIN_S = 3.0
# The idempotent methods of RFC 9110.
IDEMPOTENT_METHODS = {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

Zones = frozenset[identity.ZoneId]
Drains = list[objects.DrainOrder]
Findings = collections.abc.Iterator[finding.Finding]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A target that is in service, or that a zone is expected to have."""

    node: identity.NodeId
    zone: identity.ZoneId
    service: identity.ServiceId
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Context:
    """The objects to check and their targets.

    ``targets`` has no entry for a service whose targets are not known. ``has_live_targets`` says
    whether targets were announced by nodes, instead of only listed by the zones.
    """

    snapshot: route.Snapshot
    targets: dict[identity.ServiceId, list[Target]]
    has_live_targets: bool


def check_objects(
    entries: objects.ObjectSet, targets: collections.abc.Iterable[Target] | None = None
) -> list[finding.Finding]:
    """Return every refusal and warning for a set of objects.

    :param entries: the whole set.
    :param targets: the targets in service. A service that has none among them uses the targets that
        the AvailabilityZone objects list.
    """
    snapshot = route.build_snapshot(identity.ConfigVersion(0), entries.objects)
    context = _Context(
        snapshot=snapshot,
        targets=_group_targets(snapshot, targets),
        has_live_targets=targets is not None,
    )
    findings = itertools.chain(
        _check_not_empty(context),
        _check_references(context),
        _check_inheritance(context),
        *(_check_limits(service) for service in snapshot.services.values()),
        *(_check_recovery(service) for service in snapshot.services.values()),
        _check_targets(context),
        _check_keys(context),
        _check_rule_pairs(context),
        *(_check_rule(context, rule) for rule in snapshot.rules.values()),
        *(_check_drain(context, drain) for drain in snapshot.drains.values()),
        _check_stranding(context),
    )
    return sorted(findings, key=lambda entry: entry.severity is finding.Severity.WARNING)


def check_transition(
    before: objects.ObjectSet,
    after: objects.ObjectSet,
    targets: collections.abc.Iterable[Target] | None = None,
) -> list[finding.Finding]:
    """Return every refusal and warning for the replacement of one set by another.

    :param before: the set in force.
    :param after: the set to replace it.
    :param targets: the targets in service, if known.
    """
    old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
    new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
    present = None if targets is None else list(targets)
    return [
        *_check_service_changes(old, new),
        *_check_service_removals(old, new, present),
        *_check_zone_removals(old, new, present or []),
        *_check_narrowing_changes(old, new),
    ]


def list_stated_targets(entries: objects.ObjectSet) -> list[Target]:
    """Return the targets that the AvailabilityZone objects list, with generated node names.

    :param entries: the whole set.
    """
    snapshot = route.build_snapshot(identity.ConfigVersion(0), entries.objects)
    return [
        Target(
            node=identity.NodeId(f"{zone.name}/{service}/{index}"),
            zone=zone.name,
            service=service,
            slots=snapshot.services[service].slots,
        )
        for zone in snapshot.zones.values()
        for service, count in zone.targets.items()
        if service in snapshot.services
        for index in range(count)
    ]


def remove_drained(
    targets: collections.abc.Iterable[Target], drains: collections.abc.Iterable[objects.DrainOrder]
) -> list[Target]:
    """Return the targets that remain in service under a set of drain orders.

    :param targets: the targets.
    :param drains: the drain orders that are in force together.
    """
    orders = list(drains)
    zones = {order.zone for order in orders}
    nodes = {node for order in orders for node in order.nodes}
    return [entry for entry in targets if entry.zone not in zones and entry.node not in nodes]


def list_owner_zones(
    snapshot: route.Snapshot, service: identity.ServiceId
) -> tuple[Zones, dict[str, Zones]]:
    """Return the zones that may own a service's keys, and the zones of each key with its own rule.

    :param snapshot: the objects.
    :param service: the service.
    """
    service_zones = frozenset(snapshot.zones)
    rules = [rule for rule in snapshot.rules.values() if rule.service == service]
    for rule in rules:
        if not rule.keys:
            service_zones &= frozenset(rule.zones)
    key_zones: dict[str, Zones] = {}
    for rule in rules:
        for name in rule.keys:
            key_zones[name] = key_zones.get(name, service_zones) & frozenset(rule.zones)
    return service_zones, key_zones


def _group_targets(
    snapshot: route.Snapshot, announced: collections.abc.Iterable[Target] | None
) -> dict[identity.ServiceId, list[Target]]:
    grouped: dict[identity.ServiceId, list[Target]] = collections.defaultdict(list)
    for entry in announced or ():
        if entry.service in snapshot.services and entry.zone in snapshot.zones:
            grouped[entry.service].append(entry)
    # No target of a new service has been announced yet; those that the zones list are used.
    announced_services = set(grouped)
    stated = list_stated_targets(objects.ObjectSet(objects=_list_entries(snapshot)))
    for entry in stated:
        if entry.service not in announced_services:
            grouped[entry.service].append(entry)
    return dict(grouped)


def _list_entries(snapshot: route.Snapshot) -> list[objects.AnyObject]:
    return [*snapshot.services.values(), *snapshot.zones.values()]


def _refuse(
    code: finding.Code, entry: objects.AnyObject, field: str, cause: str
) -> finding.Finding:
    kind = objects.name_kind(entry)
    return finding.refuse(code, cause, kind=kind, name=entry.name, field=field)


def _warn(code: finding.Code, entry: objects.AnyObject, field: str, cause: str) -> finding.Finding:
    kind = objects.name_kind(entry)
    return finding.warn(code, cause, kind=kind, name=entry.name, field=field)


def _join(names: collections.abc.Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"


def _check_not_empty(context: _Context) -> Findings:
    if not context.snapshot.services:
        yield finding.refuse(
            finding.Code.EMPTY, "there is no Service; every request would be refused"
        )
    if not context.snapshot.zones:
        yield finding.refuse(
            finding.Code.EMPTY, "there is no AvailabilityZone; no target could own a key"
        )


def _check_references(context: _Context) -> Findings:
    snapshot = context.snapshot
    known: dict[str, set[str]] = {
        "Service": set(snapshot.services),
        "AvailabilityZone": set(snapshot.zones),
        "Key": set(snapshot.keys),
    }
    for entry, field, kind, name in _list_references(snapshot):
        if name not in known[kind]:
            cause = f"there is no {kind} named {name}"
            yield _refuse(finding.Code.MISSING_REFERENCE, entry, field, cause)


def _list_references(
    snapshot: route.Snapshot,
) -> collections.abc.Iterator[tuple[objects.AnyObject, str, str, str]]:
    for service in snapshot.services.values():
        if service.like is not None:
            yield service, "like", "Service", service.like
    for zone in snapshot.zones.values():
        for name in zone.targets:
            yield zone, f"targets.{name}", "Service", name
    for key in snapshot.keys.values():
        yield key, "service", "Service", key.service
    for rule in snapshot.rules.values():
        yield rule, "service", "Service", rule.service
        for index, place in enumerate(rule.zones):
            yield rule, f"zones[{index}]", "AvailabilityZone", place
        for index, item in enumerate(rule.keys):
            yield rule, f"keys[{index}]", "Key", item
    for drain in snapshot.drains.values():
        if drain.zone is not None:
            yield drain, "zone", "AvailabilityZone", drain.zone


def _check_inheritance(context: _Context) -> Findings:
    services = context.snapshot.services
    for service in services.values():
        chain = [service.name]
        like = service.like
        while like in services and like not in chain:
            chain.append(like)
            like = services[like].like
        # Every service of a cycle finds it; only the first one by name reports it.
        if like == service.name and service.name == min(chain):
            path = " -> ".join([*chain, service.name])
            yield _refuse(
                finding.Code.CIRCULAR, service, "like", f"the services form a circle: {path}"
            )


def _check_limits(service: objects.Service) -> Findings:
    code = finding.Code.IMPOSSIBLE_LIMIT
    if service.slots == 0:
        yield _refuse(code, service, "slots", "with 0 slots no request could ever run")
    if service.connections < service.slots:
        cause = (
            f"{service.slots} slots cannot be used over {service.connections} connections: a "
            "connection carries one request at a time"
        )
        yield _refuse(code, service, "connections", cause)
    if service.connections > MAX_CONNECTIONS:
        cause = f"the platform allows at most {MAX_CONNECTIONS} connections per target"
        yield _refuse(code, service, "connections", cause)
    if service.deadline_ms < MIN_DEADLINE_MS:
        cause = (
            f"{service.deadline_ms} ms is shorter than one hop between nodes ({MIN_DEADLINE_MS} "
            "ms): requests that arrive at another node than the owner's would always fail"
        )
        yield _refuse(code, service, "deadline_ms", cause)
    if service.is_keyed and service.partitions == 0:
        yield _refuse(code, service, "partitions", "with 0 partitions no key could have an owner")
    if service.token_life_s * 1000 < service.deadline_ms:
        cause = (
            f"one-time tokens would expire after {service.token_life_s:g} s, before a request may "
            f"end ({service.deadline_ms} ms); a resend could run twice"
        )
        yield _refuse(code, service, "token_life_s", cause)
    for method in service.idempotent_methods:
        if method not in IDEMPOTENT_METHODS:
            cause = (
                f"{method} is declared idempotent: the router may run such a request more than once"
            )
            yield _warn(finding.Code.UNUSUAL, service, "idempotent_methods", cause)
    usable = service.slots * MAX_LIMIT_PER_SLOT
    if service.slots <= service.connections < usable:
        cause = (
            f"{service.connections} connections keep the concurrency limit below the "
            f"{usable:g} requests that it may otherwise reach"
        )
        yield _warn(finding.Code.UNUSUAL, service, "connections", cause)


def _check_recovery(service: objects.Service) -> Findings:
    recovery_ms = RECOVERY_MS + service.deadline_ms
    if service.is_keyed and not service.checks_fence and recovery_ms > MAX_RECOVERY_MS:
        cause = (
            "its targets do not check fencing tokens, so after the loss of a node its keys stay "
            f"without an owner until the last request it started has passed its deadline: about "
            f"{recovery_ms} ms, above the {MAX_RECOVERY_MS} ms that are aimed at; a deadline of "
            f"{MAX_RECOVERY_MS - RECOVERY_MS} ms or less avoids this"
        )
        yield _warn(finding.Code.SLOW_RECOVERY, service, "deadline_ms", cause)


def _check_targets(context: _Context) -> Findings:
    snapshot = context.snapshot
    states_any = any(zone.targets for zone in snapshot.zones.values())
    for service in snapshot.services.values():
        targets = context.targets.get(service.name, [])
        if not targets:
            if states_any or context.has_live_targets:
                cause = "no zone has a target of this service; every request to it would be refused"
                yield _refuse(finding.Code.UNREACHABLE, service, "name", cause)
            continue
        slots = sum(entry.slots for entry in targets)
        if slots < service.needed_slots:
            cause = f"{service.needed_slots} slots are needed, but all its targets have {slots}"
            yield _refuse(finding.Code.IMPOSSIBLE_LIMIT, service, "needed_slots", cause)
        if service.is_keyed and 0 < service.partitions < len(targets):
            cause = (
                f"{service.partitions} partitions are fewer than its {len(targets)} targets; some "
                "would own nothing"
            )
            yield _warn(finding.Code.UNUSUAL, service, "partitions", cause)
    drained = {drain.zone for drain in snapshot.drains.values()}
    occupied = {entry.zone for targets in context.targets.values() for entry in targets}
    for zone in snapshot.zones.values():
        if occupied and zone.name not in occupied | drained:
            cause = "no target is in this zone, so it can take over nothing"
            yield _warn(finding.Code.UNUSUAL, zone, "targets", cause)
    if not context.has_live_targets:
        return
    for zone in snapshot.zones.values():
        for name, count in zone.targets.items():
            present = sum(entry.zone == zone.name for entry in context.targets.get(name, []))
            if present != count:
                cause = f"{count} targets of {name} are expected here, {present} are in service"
                yield _warn(finding.Code.UNUSUAL, zone, f"targets.{name}", cause)


def _check_keys(context: _Context) -> Findings:
    snapshot = context.snapshot
    first_by_key: dict[tuple[str, str], objects.Key] = {}
    for key in snapshot.keys.values():
        service = snapshot.services.get(key.service)
        if service is not None and not service.is_keyed:
            cause = f"{key.service} is a service without keys, so this object is never used"
            yield _refuse(finding.Code.UNREACHABLE, key, "service", cause)
        other = first_by_key.setdefault((key.service, key.key), key)
        if other is not key:
            cause = (
                f"Key {other.name} names the same key {key.key!r} of {key.service}; each would "
                "give it an owner of its own"
            )
            yield _refuse(finding.Code.TWO_OWNERS, key, "key", cause)


def _check_rule_pairs(context: _Context) -> Findings:
    rules = sorted(context.snapshot.rules.values(), key=lambda rule: rule.name)
    # Rules are compared only within a scope, because thousands of keys with one rule each are
    # common.
    by_scope: dict[tuple[str, str], list[objects.AssignmentRule]] = collections.defaultdict(list)
    for rule in rules:
        for key in dict.fromkeys(rule.keys or [""]):
            by_scope[rule.service, key].append(rule)
    keys_by_pair: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
    for (_, key), scope_rules in by_scope.items():
        for first_rule, second_rule in itertools.combinations(scope_rules, 2):
            keys_by_pair[first_rule.name, second_rule.name].append(key)
    rules_by_name = context.snapshot.rules
    for (first_name, second_name), keys in sorted(keys_by_pair.items()):
        first_rule, second_rule = rules_by_name[first_name], rules_by_name[second_name]
        scope = f"key {_join(keys)}" if first_rule.keys else f"every key of {first_rule.service}"
        yield _compare_rules(first_rule, second_rule, scope)
    for rule in rules:
        for wide in by_scope.get((rule.service, ""), []) if rule.keys else []:
            yield from _check_narrowing(wide, rule)


def _compare_rules(
    first: objects.AssignmentRule, second: objects.AssignmentRule, scope: str
) -> finding.Finding:
    second_zones, first_zones = set(second.zones), set(first.zones)
    if not second_zones & first_zones:
        cause = (
            f"would leave {scope} with two owners: rule {first.name} assigns it to "
            f"{_join(first_zones)}, this rule to {_join(second_zones)}"
        )
        return _refuse(finding.Code.TWO_OWNERS, second, "zones", cause)
    if second_zones <= first_zones or first_zones <= second_zones:
        shadowed = first if second_zones <= first_zones else second
        other = second if shadowed is first else first
        cause = f"has no effect on {scope}: rule {other.name} already decides it more narrowly"
        return _refuse(finding.Code.SHADOWED, shadowed, "zones", cause)
    cause = (
        f"contradicts rule {first.name} on {scope}: that rule permits {_join(first_zones)}, this "
        f"one {_join(second_zones)}"
    )
    return _refuse(finding.Code.CONTRADICTION, second, "zones", cause)


def _check_narrowing(
    service_rule: objects.AssignmentRule, key_rule: objects.AssignmentRule
) -> Findings:
    key_zones, service_zones = set(key_rule.zones), set(service_rule.zones)
    keys = _join(key_rule.keys)
    if not key_zones or not service_zones:
        return
    if not key_zones & service_zones:
        cause = (
            f"would leave key {keys} without an owner: rule {service_rule.name} permits only "
            f"{_join(service_zones)} for every key of {service_rule.service}, this rule only "
            f"{_join(key_zones)}"
        )
        yield _refuse(finding.Code.NO_OWNER, key_rule, "zones", cause)
    elif key_zones >= service_zones:
        cause = (
            f"has no effect on key {keys}: rule {service_rule.name} already restricts every key of "
            f"{service_rule.service} to {_join(service_zones)}"
        )
        yield _refuse(finding.Code.SHADOWED, key_rule, "zones", cause)
    elif not key_zones <= service_zones:
        cause = (
            f"contradicts rule {service_rule.name}, which excludes "
            f"{_join(key_zones - service_zones)} for every key of {service_rule.service}"
        )
        yield _refuse(finding.Code.CONTRADICTION, key_rule, "zones", cause)


def _check_rule(context: _Context, rule: objects.AssignmentRule) -> Findings:
    snapshot = context.snapshot
    service = snapshot.services.get(rule.service)
    if service is not None and not service.is_keyed:
        cause = f"{rule.service} is a service without keys, so this rule is never used"
        yield _refuse(finding.Code.UNREACHABLE, rule, "service", cause)
    for name in rule.keys:
        key = snapshot.keys.get(name)
        if key is not None and key.service != rule.service:
            cause = f"key {name} belongs to {key.service}, the rule to {rule.service}"
            yield _refuse(finding.Code.CONTRADICTION, rule, "keys", cause)
    scope = f"key {_join(rule.keys)}" if rule.keys else f"every key of {rule.service}"
    zones = frozenset(rule.zones) & frozenset(snapshot.zones)
    if not rule.zones:
        cause = f"names no zone, which would leave {scope} without an owner"
        yield _refuse(finding.Code.NO_OWNER, rule, "zones", cause)
    targets = context.targets.get(rule.service)
    if zones and targets and not zones & {entry.zone for entry in targets}:
        cause = (
            f"would leave {scope} without an owner: no target of {rule.service} is in "
            f"{_join(zones)}"
        )
        yield _refuse(finding.Code.NO_OWNER, rule, "zones", cause)
    if len(rule.zones) == 1 and len(snapshot.zones) > 1:
        cause = f"only {rule.zones[0]} may own {scope}; its loss makes them unavailable"
        yield _warn(finding.Code.SINGLE_ZONE, rule, "zones", cause)
    if len(zones) == len(snapshot.zones) > 1:
        yield _warn(
            finding.Code.UNUSUAL, rule, "zones", "names every zone and so restricts nothing"
        )


def _check_drain(context: _Context, drain: objects.DrainOrder) -> Findings:
    snapshot = context.snapshot
    if drain.zone is None and not drain.nodes:
        yield _refuse(finding.Code.EMPTY, drain, "zone", "names neither a zone nor a node")
    longest_ms = max((service.deadline_ms for service in snapshot.services.values()), default=0)
    if drain.within_s < max(MIN_DRAIN_S, longest_ms / 1000):
        cause = (
            f"{drain.within_s:g} s cannot be met: the order takes up to {MIN_DRAIN_S:g} s to "
            f"arrive, and requests in flight may run {longest_ms} ms"
        )
        yield _refuse(finding.Code.IMPOSSIBLE_LIMIT, drain, "within_s", cause)
    known = {entry.node for targets in context.targets.values() for entry in targets}
    if context.has_live_targets:
        for node in drain.nodes:
            if node not in known:
                cause = f"node {node} is not in service at present; its drain has no effect"
                yield _warn(finding.Code.UNUSUAL, drain, "nodes", cause)
    elif drain.nodes:
        cause = "the zones and services of single nodes are not known without a view of the targets"
        yield _warn(finding.Code.UNKNOWN_CAPACITY, drain, "nodes", cause)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Effect:
    """Capacity or keys that drains would leave without a target.

    Effects of different drains with the same ``subject`` describe the same loss.
    """

    code: finding.Code
    subject: str
    cause: str


def _check_stranding(context: _Context) -> Findings:
    drains = list(context.snapshot.drains.values())
    if not drains:
        return
    subjects_by_drain = {
        drain.name: {effect.subject for effect in _list_effects(context, [drain])}
        for drain in drains
    }
    for effect in _list_effects(context, drains):
        sufficient = [drain for drain in drains if effect.subject in subjects_by_drain[drain.name]]
        for drain in sufficient:
            field = "nodes" if drain.zone is None else "zone"
            yield _refuse(effect.code, drain, field, effect.cause)
        if not sufficient:
            involved = _find_minimal_drains(context, drains, effect.subject)
            names = _join(drain.name for drain in involved)
            cause = f"together the drains {names} go too far: {effect.cause}"
            is_total = effect.code is finding.Code.EVERY_ZONE
            code = effect.code if is_total else finding.Code.OVERLAPPING_DRAINS
            yield _refuse(code, involved[0], "zone", cause)
    yield from _check_needed_slots(context, drains)


def _find_minimal_drains(context: _Context, drains: Drains, subject: str) -> Drains:
    """Return a minimal subset of the drains that still has the effect, so that only it is named."""
    involved = list(drains)
    for drain in drains:
        rest = [entry for entry in involved if entry is not drain]
        if subject in {effect.subject for effect in _list_effects(context, rest)}:
            involved = rest
    return involved


def _list_effects(context: _Context, drains: Drains) -> list[_Effect]:
    snapshot = context.snapshot
    zones = frozenset(snapshot.zones)
    open_zones = zones - {drain.zone for drain in drains}
    if zones and not open_zones:
        cause = "every zone would be out of service; no request could run"
        return [_Effect(code=finding.Code.EVERY_ZONE, subject="every-zone", cause=cause)]
    effects: list[_Effect] = []
    for service in snapshot.services.values():
        targets = context.targets.get(service.name)
        usable = open_zones
        if targets:
            remaining = remove_drained(targets, drains)
            lost = _find_lost_capacity(service, targets, remaining)
            if lost is not None:
                effects.append(lost)
            if not remaining:
                continue
            usable = frozenset(entry.zone for entry in remaining)
        if service.is_keyed:
            effects.extend(_list_stranded_keys(snapshot, service, usable))
    return effects


def _find_lost_capacity(
    service: objects.Service, targets: list[Target], remaining: list[Target]
) -> _Effect | None:
    if not remaining:
        cause = f"no target of {service.name} would remain in service"
    else:
        slots = sum(entry.slots for entry in remaining)
        if slots >= service.needed_slots:
            return None
        total = sum(entry.slots for entry in targets)
        cause = (
            f"only {slots} of {total} slots of {service.name} would remain, "
            f"{service.needed_slots} are needed"
        )
    return _Effect(
        code=finding.Code.STRANDED_CAPACITY, subject=f"slots/{service.name}", cause=cause
    )


def _list_stranded_keys(
    snapshot: route.Snapshot, service: objects.Service, usable: Zones
) -> collections.abc.Iterator[_Effect]:
    service_zones, key_zones = list_owner_zones(snapshot, service.name)
    scopes = [("", f"every key of {service.name}", service_zones)]
    scopes += [
        (name, f"key {name} of {service.name}", zones) for name, zones in sorted(key_zones.items())
    ]
    for name, scope, allowed in scopes:
        if allowed and not allowed & usable:
            cause = (
                f"{scope} may be owned only in {_join(allowed)}, where no target would remain in "
                "service"
            )
            subject = f"keys/{service.name}/{name}"
            yield _Effect(code=finding.Code.STRANDED_KEYS, subject=subject, cause=cause)
            if not name:
                return


def _check_needed_slots(context: _Context, drains: Drains) -> Findings:
    for service in context.snapshot.services.values():
        targets = context.targets.get(service.name)
        if not targets:
            cause = "no zone states its targets; whether enough slots would remain is not known"
            yield _warn(finding.Code.UNKNOWN_CAPACITY, service, "name", cause)
            continue
        remaining = remove_drained(targets, drains)
        if service.needed_slots == 0 and 0 < len(remaining) < len(targets):
            slots, total = (sum(entry.slots for entry in part) for part in (remaining, targets))
            cause = (
                f"needed_slots is not stated; {slots} of {total} slots would remain, and whether "
                "that suffices is not known"
            )
            yield _warn(finding.Code.UNKNOWN_CAPACITY, service, "needed_slots", cause)


def _check_service_changes(old: route.Snapshot, new: route.Snapshot) -> Findings:
    code = finding.Code.UNSAFE_CHANGE
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is None:
            continue
        if before.is_keyed != service.is_keyed:
            cause = (
                "cannot change while the service is in force: requests would run with and without "
                "an owner at the same time; add a service under a new name instead"
            )
            yield _refuse(code, service, "is_keyed", cause)
        elif service.is_keyed and before.partitions != service.partitions:
            cause = (
                f"cannot change from {before.partitions} to {service.partitions} while the service "
                "is in force: a key could have an owner by its old partition and another by its "
                "new one; add a service under a new name instead"
            )
            yield _refuse(code, service, "partitions", cause)


def _check_service_removals(
    old: route.Snapshot, new: route.Snapshot, targets: list[Target] | None
) -> Findings:
    for name, service in old.services.items():
        if name in new.services:
            continue
        if targets is None:
            cause = (
                "cannot be removed without a view of the targets: whether it still serves requests "
                "is not known"
            )
            yield _refuse(finding.Code.UNSAFE_CHANGE, service, "name", cause)
            continue
        present = sum(entry.service == name for entry in targets)
        if present:
            cause = (
                f"cannot be removed while {present} targets of it are in service; every request to "
                "it would be refused; stop them first"
            )
            yield _refuse(finding.Code.UNSAFE_CHANGE, service, "name", cause)


def _check_narrowing_changes(old: route.Snapshot, new: route.Snapshot) -> Findings:
    """Warn of changes after which more requests of callers are refused than before."""
    for name in sorted(old.services.keys() & new.services.keys()):
        before, after = old.services[name], new.services[name]
        removed = set(before.idempotent_methods) - set(after.idempotent_methods)
        for field, is_narrowed, cause in (
            (
                "max_body_bytes",
                after.max_body_bytes < before.max_body_bytes,
                f"{name} refuses bodies above {after.max_body_bytes} bytes",
            ),
            (
                "slots",
                after.slots < before.slots,
                f"{name} sheds load above {after.slots} slots per target",
            ),
            (
                "deadline_ms",
                after.deadline_ms < before.deadline_ms,
                f"{name} ends requests after {after.deadline_ms} ms",
            ),
            (
                "idempotent_methods",
                bool(removed),
                f"{name} refuses {_join(removed)} without a one-time token (not-run)",
            ),
        ):
            if is_narrowed:
                yield _warn(finding.Code.NARROWED, after, field, cause)


def _check_zone_removals(
    old: route.Snapshot, new: route.Snapshot, targets: list[Target]
) -> Findings:
    for name, zone in old.zones.items():
        if name in new.zones:
            continue
        present = sum(entry.zone == name for entry in targets)
        if present:
            cause = f"cannot be removed while {present} targets are in it; stop them first"
            yield _refuse(finding.Code.UNSAFE_CHANGE, zone, "name", cause)
        elif not any(drain.zone == name for drain in old.drains.values()):
            cause = (
                "cannot be removed while it is in service; publish a DrainOrder for it first, and "
                "remove both once no target of the zone is left"
            )
            yield _refuse(finding.Code.UNSAFE_CHANGE, zone, "name", cause)
