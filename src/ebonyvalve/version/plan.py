"""Says what publishing a set of objects would change, and whether it is safe."""

import collections.abc
import enum
import itertools
import math

import msgspec

from ebonyvalve.process import identity
from ebonyvalve.version import check, finding, objects, route

# The coordinator reads the head every 500 ms, and every node needs the version within one lease
# period of 450 ms after that.
IN_FORCE_S = 1.0
# Assumed rate of planned moves. A commit moves up to a page of 64 partitions; the rest is reserve
# for a slow store.
MOVES_PER_S = 64.0
# Shards named in the text output; hundreds would hide the verdict.
MAX_SHOWN = 8


class Action(enum.Enum):
    """What happens to an object."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, kw_only=True, frozen=True):
    """The old and the new value of a field, as JSON."""

    field: str
    before: str
    after: str


class Change(msgspec.Struct, kw_only=True, frozen=True):
    """An object that differs between two sets. ``fields`` is empty unless it is changed."""

    action: Action
    kind: str
    name: str
    fields: list[FieldChange] = []


class LoadChange(msgspec.Struct, kw_only=True, frozen=True):
    """The share of its service's load that a target carries, before and after, in percent."""

    node: identity.NodeId
    zone: identity.ZoneId
    before_percent: float
    after_percent: float


class Impact(msgspec.Struct, kw_only=True, frozen=True):
    """The effect on one service.

    ``moving`` counts the shards that move. An estimate from the number of targets neither names
    them in ``shards``, nor says in ``takes_s`` how long their moves take.
    """

    service: identity.ServiceId
    shard_count: int
    moving: int
    shards: list[identity.ShardId] = []
    loads: list[LoadChange] = []
    is_estimate: bool = True
    takes_s: float | None = None


PreviewFunction = collections.abc.Callable[[objects.ObjectSet, objects.ObjectSet], list[Impact]]


class Plan(msgspec.Struct, kw_only=True, frozen=True):
    """What publishing would do. ``base`` is the version in force that it was compared with."""

    base: identity.ConfigVersion
    is_safe: bool
    verdict: str
    changes: list[Change]
    impacts: list[Impact]
    takes_s: float
    refused_meanwhile: list[str]
    findings: list[finding.Finding]


def diff_objects(before: objects.ObjectSet, after: objects.ObjectSet) -> list[Change]:
    """Return the objects that differ, ordered by kind and name.

    :param before: the old set.
    :param after: the new set.
    """
    old = {(objects.name_kind(entry), entry.name): entry for entry in before.objects}
    new = {(objects.name_kind(entry), entry.name): entry for entry in after.objects}
    changes: list[Change] = []
    for kind, name in sorted(old.keys() | new.keys()):
        left, right = old.get((kind, name)), new.get((kind, name))
        if left == right:
            continue
        if left is None or right is None:
            action = Action.ADDED if left is None else Action.REMOVED
            changes.append(Change(action=action, kind=kind, name=name))
        else:
            fields = _diff_fields(left, right)
            changes.append(Change(action=Action.CHANGED, kind=kind, name=name, fields=fields))
    return changes


def build_plan(
    *,
    base: identity.ConfigVersion,
    before: objects.ObjectSet,
    after: objects.ObjectSet,
    targets: collections.abc.Sequence[check.Target] | None = None,
    preview: PreviewFunction | None = None,
) -> Plan:
    """Return what publishing a set would do.

    :param base: the version in force, 0 for none.
    :param before: the objects in force; empty for none.
    :param after: the objects that shall be published.
    :param targets: the targets in service, where known.
    :param preview: the effect on placement; without it, an estimate from the number of targets.
    """
    found = [
        *check.check_objects(after, targets),
        *check.check_transition(before, after, targets),
    ]
    changes = diff_objects(before, after)
    refusals = finding.list_refusals(found)
    impacts: list[Impact] = []
    if not refusals and changes:
        impacts = (preview or build_estimate(targets))(before, after)
    takes_s = _estimate_duration(after, impacts)
    found += _check_drain_times(after, impacts, takes_s)
    return Plan(
        base=base,
        is_safe=not refusals,
        verdict=_judge(changes, found),
        changes=changes,
        impacts=impacts,
        takes_s=takes_s,
        refused_meanwhile=_list_refused(before, after, found),
        findings=found,
    )


def build_estimate(targets: collections.abc.Sequence[check.Target] | None) -> PreviewFunction:
    """Return a preview that assumes an even spread of shards by slots.

    :param targets: the targets in service; without them, those that the zones state.
    """

    def preview(before: objects.ObjectSet, after: objects.ObjectSet) -> list[Impact]:
        old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
        new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
        left = check.list_stated_targets(before) if targets is None else targets
        right = check.list_stated_targets(after) if targets is None else targets
        return [
            _estimate_impact(old, new, service, left, right)
            for service in new.services.values()
            if service.name in old.services
        ]

    return preview


def render_plan(plan: Plan) -> list[str]:
    """Return a plan as lines of text; the last one is the verdict.

    :param plan: the plan.
    """
    lines = [f"compared with version {plan.base}" if plan.base else "no version is in force yet"]
    lines += [render_change(change) for change in plan.changes]
    for impact in plan.impacts:
        lines += _render_impact(impact)
    if plan.changes and plan.is_safe:
        lines.append(f"in force everywhere and all moves done after about {plan.takes_s:.1f} s")
    if plan.changes:
        lines += [f"meanwhile: {text}" for text in plan.refused_meanwhile]
    # What is narrowed is part of the lines above.
    shown = [entry for entry in plan.findings if entry.code is not finding.Code.NARROWED]
    lines += [finding.render(entry) for entry in shown]
    return [*lines, plan.verdict]


def render_change(change: Change) -> str:
    """Return a changed object as one line of text.

    :param change: the change.
    """
    parts = [f"{entry.field} {entry.before} -> {entry.after}" for entry in change.fields]
    detail = f": {', '.join(parts)}" if parts else ""
    return f"{change.action.value} {change.kind} {change.name}{detail}"


def _diff_fields(left: objects.AnyObject, right: objects.AnyObject) -> list[FieldChange]:
    return [
        FieldChange(
            field=name, before=_show(getattr(left, name)), after=_show(getattr(right, name))
        )
        for name in left.__struct_fields__
        if getattr(left, name) != getattr(right, name)
    ]


def _show(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _judge(changes: list[Change], found: list[finding.Finding]) -> str:
    refusals = finding.list_refusals(found)
    if refusals:
        first = msgspec.structs.replace(refusals[0], file="")
        place = " ".join(part for part in (first.kind, first.name, first.field) if part)
        rest = len(refusals) - 1
        more = f" (and {rest} more reason{'s' if rest > 1 else ''})" if rest else ""
        return f"not safe to publish: {place}{': ' if place else ''}{first.cause}{more}"
    if not changes:
        return "nothing to publish: these objects are in force"
    warnings = len(found)
    noted = f", with {warnings} warning{'s' if warnings > 1 else ''} above" if warnings else ""
    return f"safe to publish{noted}"


def _estimate_impact(
    old: route.Snapshot,
    new: route.Snapshot,
    service: objects.Service,
    left: collections.abc.Sequence[check.Target],
    right: collections.abc.Sequence[check.Target],
) -> Impact:
    before = _spread(old, old.services[service.name], left)
    after = _spread(new, service, right)
    zones = {entry.node: entry.zone for entry in [*left, *right]}
    loads = [
        LoadChange(
            node=node,
            zone=zones[node],
            before_percent=round(100 * before.get(node, 0.0), 1),
            after_percent=round(100 * after.get(node, 0.0), 1),
        )
        for node in sorted(before.keys() | after.keys())
        if not math.isclose(before.get(node, 0.0), after.get(node, 0.0))
    ]
    # Only what a target loses moves; without targets before, nothing had an owner.
    lost = sum(max(share - after.get(node, 0.0), 0.0) for node, share in before.items())
    keys = {key.name for key in new.keys.values() if key.service == service.name}
    old_zones, old_single = check.list_owner_zones(old, service.name)
    new_zones, new_single = check.list_owner_zones(new, service.name)
    rehomed = {
        name for name in keys if old_single.get(name, old_zones) != new_single.get(name, new_zones)
    }
    return Impact(
        service=service.name,
        shard_count=(service.partitions + len(keys)) if service.is_keyed else 0,
        moving=(math.ceil(lost * service.partitions) + len(rehomed)) if service.is_keyed else 0,
        loads=loads,
    )


def _spread(
    snapshot: route.Snapshot,
    service: objects.Service,
    targets: collections.abc.Sequence[check.Target],
) -> dict[identity.NodeId, float]:
    """Return the share of the service that each target carries when shards are spread by slots."""
    zones, _ = check.list_owner_zones(snapshot, service.name)
    open_targets = [
        entry
        for entry in check.remove_drained(targets, snapshot.drains.values())
        if entry.service == service.name and entry.zone in zones
    ]
    total = sum(entry.slots for entry in open_targets)
    return {entry.node: entry.slots / total for entry in open_targets} if total else {}


def _estimate_duration(after: objects.ObjectSet, impacts: list[Impact]) -> float:
    """Return seconds until the version is in force and every move is done."""
    if not any(impact.moving for impact in impacts):
        return IN_FORCE_S
    affected = {impact.service for impact in impacts if impact.moving}
    # An owner releases a shard once the requests in flight have ended.
    flight_ms = max(
        entry.deadline_ms
        for entry in after.objects
        if isinstance(entry, objects.Service) and entry.name in affected
    )
    moves_s = max(
        impact.moving / MOVES_PER_S if impact.takes_s is None else impact.takes_s
        for impact in impacts
    )
    return round(IN_FORCE_S + flight_ms / 1000 + moves_s, 1)


def _check_drain_times(
    after: objects.ObjectSet, impacts: list[Impact], takes_s: float
) -> list[finding.Finding]:
    if not any(impact.moving for impact in impacts):
        return []
    return [
        finding.warn(
            finding.Code.UNUSUAL,
            f"its moves are estimated to take {takes_s:g} s, longer than the {entry.within_s:g} s "
            "that it allows",
            kind=objects.name_kind(entry),
            name=entry.name,
            field="within_s",
        )
        for entry in after.objects
        if isinstance(entry, objects.DrainOrder) and entry.within_s < takes_s
    ]


def _list_refused(
    before: objects.ObjectSet, after: objects.ObjectSet, found: list[finding.Finding]
) -> list[str]:
    old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
    new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
    lines = [
        f"every request to {name} is refused once the version is in force"
        for name in sorted(old.services.keys() - new.services.keys())
    ]
    lines += [entry.cause for entry in found if entry.code is finding.Code.NARROWED]
    lines += [
        f"{_name_places(new.drains[name])} receives no new work; requests in flight end normally"
        for name in sorted(new.drains.keys() - old.drains.keys())
    ]
    warm_up_s = max((entry.warm_up_s for entry in new.services.values()), default=0.0)
    lines += [
        f"{_name_places(old.drains[name])} takes load gradually for {warm_up_s:g} s or longer"
        for name in sorted(old.drains.keys() - new.drains.keys())
    ]
    return lines or ["nothing is refused that is answered now"]


def _name_places(drain: objects.DrainOrder) -> str:
    places = [f"zone {drain.zone}"] if drain.zone else []
    return " and ".join([*places, *(f"node {node}" for node in drain.nodes)])


def _render_impact(impact: Impact) -> list[str]:
    lines = []
    about = "about " if impact.is_estimate else ""
    if impact.moving:
        lines.append(
            f"{impact.service}: {about}{impact.moving} of {impact.shard_count} shards move; "
            "requests for them wait for the new owner, within their deadlines"
        )
        if impact.shards:
            shown = ", ".join(impact.shards[:MAX_SHOWN])
            rest = len(impact.shards) - MAX_SHOWN
            more = f" and {rest} more (all with --json)" if rest > 0 else ""
            lines.append(f"{impact.service}: moving: {shown}{more}")
    ordered = sorted(
        impact.loads, key=lambda load: (load.zone, load.before_percent, load.after_percent)
    )
    for (zone, before, after), group in itertools.groupby(
        ordered, key=lambda load: (load.zone, load.before_percent, load.after_percent)
    ):
        count = len(list(group))
        lines.append(
            f"{impact.service}: {count} target{'s' if count > 1 else ''} in {zone}: "
            f"{before:g}% -> {after:g}% of its load each"
        )
    return lines
