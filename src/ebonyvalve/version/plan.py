"""Builds the plan of a publication: what it would change, and whether it is safe."""

import collections.abc
import enum
import itertools
import math

import msgspec

from ebonyvalve.process import identity
from ebonyvalve.version import check, finding, objects, route

# The coordinator reads the head row every 500 ms, and every node must have the version within the
# lease period of 450 ms after that.
IN_FORCE_S = 1.0
# Assumed rate of planned moves. One commit moves up to a page of 64 partitions, so one commit per
# second is assumed, which leaves a reserve for a slow store.
MOVES_PER_S = 64.0
# Maximum number of shards named in the text output; with hundreds, the verdict is hard to find.
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
    """An object that differs between two sets. ``fields`` is empty if it was added or removed."""

    action: Action
    kind: str
    name: str
    fields: list[FieldChange] = []


class LoadChange(msgspec.Struct, kw_only=True, frozen=True):
    """The percentage of its service's load that a target carries before and after the change."""

    node: identity.NodeId
    zone: identity.ZoneId
    before_percent: float
    after_percent: float


class Impact(msgspec.Struct, kw_only=True, frozen=True):
    """The effect of a change on one service.

    ``moving`` is the number of shards that move. An estimate from the number of targets leaves
    ``shards``, which names them, empty and ``takes_s``, the duration of the moves, ``None``.
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
    """The effects of a publication, compared with version ``base``, which is in force.

    ``takes_s`` is the estimated time in seconds until the version is in force and all moves are
    done. ``refused_meanwhile`` describes, a line each, which requests are refused and which targets
    get no load or less load.
    """

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
        old_entry, new_entry = old.get((kind, name)), new.get((kind, name))
        if old_entry == new_entry:
            continue
        if old_entry is None or new_entry is None:
            action = Action.ADDED if old_entry is None else Action.REMOVED
            changes.append(Change(action=action, kind=kind, name=name))
        else:
            fields = _diff_fields(old_entry, new_entry)
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
    """Return the plan of a publication.

    :param base: the version in force, 0 for none.
    :param before: the objects in force; empty for none.
    :param after: the objects to publish.
    :param targets: the targets in service, if known.
    :param preview: predicts the moves; without it, they are estimated from the number of targets.
    """
    all_findings = [
        *check.check_objects(after, targets),
        *check.check_transition(before, after, targets),
    ]
    changes = diff_objects(before, after)
    refusals = finding.list_refusals(all_findings)
    impacts: list[Impact] = []
    if not refusals and changes:
        impacts = (preview or build_estimate(targets))(before, after)
    takes_s = _estimate_duration(after, impacts)
    all_findings += _check_drain_times(after, impacts, takes_s)
    return Plan(
        base=base,
        is_safe=not refusals,
        verdict=_build_verdict(changes, all_findings),
        changes=changes,
        impacts=impacts,
        takes_s=takes_s,
        refused_meanwhile=_describe_side_effects(before, after, all_findings),
        findings=all_findings,
    )


def build_estimate(targets: collections.abc.Sequence[check.Target] | None) -> PreviewFunction:
    """Return a preview function that assumes that shards are spread evenly by slots.

    :param targets: the targets in service; ``None`` uses those listed in the
        AvailabilityZone objects.
    """

    def preview(before: objects.ObjectSet, after: objects.ObjectSet) -> list[Impact]:
        old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
        new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
        old_targets = check.list_stated_targets(before) if targets is None else targets
        new_targets = check.list_stated_targets(after) if targets is None else targets
        return [
            _estimate_impact(old, new, service, old_targets, new_targets)
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
    # Findings of this code are among the lines about refused requests above.
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


def _diff_fields(old_entry: objects.AnyObject, new_entry: objects.AnyObject) -> list[FieldChange]:
    return [
        FieldChange(
            field=name,
            before=_encode(getattr(old_entry, name)),
            after=_encode(getattr(new_entry, name)),
        )
        for name in old_entry.__struct_fields__
        if getattr(old_entry, name) != getattr(new_entry, name)
    ]


def _encode(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _build_verdict(changes: list[Change], findings: list[finding.Finding]) -> str:
    refusals = finding.list_refusals(findings)
    if refusals:
        first = msgspec.structs.replace(refusals[0], file="")
        place = " ".join(part for part in (first.kind, first.name, first.field) if part)
        rest = len(refusals) - 1
        more = f" (and {rest} more reason{'s' if rest > 1 else ''})" if rest else ""
        return f"not safe to publish: {place}{': ' if place else ''}{first.cause}{more}"
    if not changes:
        return "nothing to publish: these objects are in force"
    warnings = len(findings)
    noted = f", with {warnings} warning{'s' if warnings > 1 else ''} above" if warnings else ""
    return f"safe to publish{noted}"


def _estimate_impact(
    old: route.Snapshot,
    new: route.Snapshot,
    service: objects.Service,
    old_targets: collections.abc.Sequence[check.Target],
    new_targets: collections.abc.Sequence[check.Target],
) -> Impact:
    before = _compute_fractions(old, old.services[service.name], old_targets)
    after = _compute_fractions(new, service, new_targets)
    zones = {entry.node: entry.zone for entry in [*old_targets, *new_targets]}
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
    # A shard moves only from a target whose fraction decreases. Without targets before, no shard
    # had an owner that it could move from.
    lost_fraction = sum(
        max(fraction - after.get(node, 0.0), 0.0) for node, fraction in before.items()
    )
    keys = {key.name for key in new.keys.values() if key.service == service.name}
    old_zones, old_key_zones = check.list_owner_zones(old, service.name)
    new_zones, new_key_zones = check.list_owner_zones(new, service.name)
    keys_with_new_zones = {
        name
        for name in keys
        if old_key_zones.get(name, old_zones) != new_key_zones.get(name, new_zones)
    }
    return Impact(
        service=service.name,
        shard_count=(service.partitions + len(keys)) if service.is_keyed else 0,
        moving=(
            (math.ceil(lost_fraction * service.partitions) + len(keys_with_new_zones))
            if service.is_keyed
            else 0
        ),
        loads=loads,
    )


def _compute_fractions(
    snapshot: route.Snapshot,
    service: objects.Service,
    targets: collections.abc.Sequence[check.Target],
) -> dict[identity.NodeId, float]:
    """Return the fraction of the service that each target carries if shards are spread by slots."""
    zones, _ = check.list_owner_zones(snapshot, service.name)
    open_targets = [
        entry
        for entry in check.remove_drained(targets, snapshot.drains.values())
        if entry.service == service.name and entry.zone in zones
    ]
    total = sum(entry.slots for entry in open_targets)
    return {entry.node: entry.slots / total for entry in open_targets} if total else {}


def _estimate_duration(after: objects.ObjectSet, impacts: list[Impact]) -> float:
    """Return the estimated seconds until the version is in force and all moves are done."""
    if not any(impact.moving for impact in impacts):
        return IN_FORCE_S
    affected = {impact.service for impact in impacts if impact.moving}
    # An owner releases a shard only when its requests in flight have ended.
    longest_deadline_ms = max(
        entry.deadline_ms
        for entry in after.objects
        if isinstance(entry, objects.Service) and entry.name in affected
    )
    moves_s = max(
        impact.moving / MOVES_PER_S if impact.takes_s is None else impact.takes_s
        for impact in impacts
    )
    return round(IN_FORCE_S + longest_deadline_ms / 1000 + moves_s, 1)


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


def _describe_side_effects(
    before: objects.ObjectSet, after: objects.ObjectSet, findings: list[finding.Finding]
) -> list[str]:
    old = route.build_snapshot(identity.ConfigVersion(0), before.objects)
    new = route.build_snapshot(identity.ConfigVersion(0), after.objects)
    lines = [
        f"every request to {name} is refused once the version is in force"
        for name in sorted(old.services.keys() - new.services.keys())
    ]
    lines += [entry.cause for entry in findings if entry.code is finding.Code.NARROWED]
    lines += [
        f"{_name_drained(new.drains[name])} receives no new work; requests in flight end normally"
        for name in sorted(new.drains.keys() - old.drains.keys())
    ]
    warm_up_s = max((entry.warm_up_s for entry in new.services.values()), default=0.0)
    lines += [
        f"{_name_drained(old.drains[name])} takes load gradually for {warm_up_s:g} s or longer"
        for name in sorted(old.drains.keys() - new.drains.keys())
    ]
    return lines or ["nothing is refused that is answered now"]


def _name_drained(drain: objects.DrainOrder) -> str:
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
