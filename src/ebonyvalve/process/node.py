"""The state of one node, and the functions that read and update it."""

import collections.abc
import dataclasses
import logging
import math

import msgspec
import trio

from ebonyvalve.process import budget, decision, decoding, identity, member, place, timer
from ebonyvalve.process.keyspace import grant, lease, ledger
from ebonyvalve.process.load import (
    admission,
    body_memory,
    calls,
    lag,
    link,
    policy,
    rates,
    selection,
)
from ebonyvalve.process.observation import counters
from ebonyvalve.process.store import era, table

log = logging.getLogger(__name__)

# One lifetime for each machine of a large mesh, several times over.
MAX_DEPARTURES = 4096
# A target whose node has restarted reports within one interval; one of its reports may be lost.
FIRST_REPORT_INTERVALS = 2.5


@dataclasses.dataclass(kw_only=True)
class Target:
    """The target beside this node, as it last reported itself.

    ``started_at_ms`` is the Unix time of its start in milliseconds, 0 if not known yet.
    ``reported_at`` is in seconds on the node's clock. ``is_assumed`` is set for a target that is
    known only from the node's row in the store and has not reported yet. ``has_left`` means that it
    is gone and has announced its end, for the rest of its lifetime. ``is_dead`` means that its
    process has ended; a target that is gone but not dead may still run and hold keys.
    ``is_silent`` means that it has sent no report for so long that all of its holds have expired.
    """

    lifetime: identity.Lifetime
    started_at_ms: int
    slots: int
    state: member.TargetState
    reported_at: float
    is_assumed: bool = False
    has_left: bool = False
    is_dead: bool = False
    is_silent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedLedger:
    """The ledger of a service and the version of its row in the store.

    After a restore the row may be older than the ledger. ``written_at`` is the store's own version
    at which the ledger was written, without the era.
    """

    ledger: ledger.Ledger
    version: int
    written_at: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedLease:
    """The lease of a node and the version of its row in the store."""

    row: lease.LeaseRow
    version: int


@dataclasses.dataclass(kw_only=True)
class Node:
    """The state that lives as long as the process, since ``started_at`` in seconds on its clock.

    ``is_mesh_known`` is set once members and ledgers, and ``is_operator_state_known`` once the
    operator's rows have been read. ``is_informed`` is set once the process has asked the others
    what they remember. ``departures`` has the targets that were leaving while the store could not
    record it, and the one beside this node if its row says so. ``is_stopping`` means that callers
    are sent to other nodes, ``is_ending`` that this process sends no more work to the target.
    ``closed_at`` is when the target last stopped taking new work, in seconds on the node's clock.
    ``changed`` is set and replaced by a new event on every state change that other tasks may wait
    for. ``draw`` returns random numbers from 0 to 1.
    """

    place: place.Place
    incarnation: identity.Incarnation
    wakeups: timer.Timer
    now: collections.abc.Callable[[], float]
    started_at: float
    draw: collections.abc.Callable[[], float]
    admission: admission.Controller
    grantor: grant.Grantor
    budget: budget.ServiceBudgets
    key_rates: rates.KeyRates
    surge: rates.Surge = dataclasses.field(default_factory=lambda: rates.start_surge(0.0))
    call_history: calls.CallHistory = dataclasses.field(default_factory=calls.CallHistory)
    loop_lag: lag.LoopLag = dataclasses.field(default_factory=lag.LoopLag)
    bodies: body_memory.BodyMemory = dataclasses.field(default_factory=body_memory.BodyMemory)
    request_counters: counters.Counters = dataclasses.field(default_factory=counters.Counters)
    config: identity.ConfigVersion | None = None
    # Why the newest configuration was refused; empty if it was applied.
    refusal_reasons: tuple[str, ...] = ()
    # Why entries of the configuration in force were skipped or changed, one reason for each.
    skipped_entries: tuple[str, ...] = ()
    policies: dict[identity.ServiceId, policy.ServicePolicy] = dataclasses.field(
        default_factory=dict
    )
    evacuated: frozenset[identity.ZoneId] = frozenset()
    members: dict[identity.NodeId, member.Member] = dataclasses.field(default_factory=dict)
    ledgers: dict[identity.ServiceId, VersionedLedger] = dataclasses.field(default_factory=dict)
    departures: dict[identity.Lifetime, member.TargetState] = dataclasses.field(
        default_factory=dict
    )
    target_views: dict[identity.NodeId, selection.TargetView] = dataclasses.field(
        default_factory=dict
    )
    leases: dict[identity.NodeId, VersionedLease] = dataclasses.field(default_factory=dict)
    unreadable_rows: decoding.UnreadableRows = dataclasses.field(
        default_factory=decoding.UnreadableRows
    )
    store_clock: lease.StoreClock | None = None
    eras: era.Tracker = dataclasses.field(default_factory=era.Tracker)
    target: Target | None = None
    is_mesh_known: bool = False
    is_operator_state_known: bool = False
    is_informed: bool = False
    is_stopping: bool = False
    is_ending: bool = False
    closed_at: float = float("-inf")
    was_open: bool = False
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    # The operator's rows: the newest version that was applied, and the newest row of each key.
    operator_version: int = 0
    operator_rows: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    # Rows that were removed before this version are not in ``operator_rows``.
    operator_removals_since: int = 0
    # The version of the last full snapshot; a row that is missing from it was removed earlier.
    operator_snapshot_version: int = 0
    # The store has sent all of the operator's rows up to this version of its counter.
    operator_read_version: int = 0
    # The newest version that another node has advertised, and that node. The event is set when it
    # rises.
    advertised_version: int = 0
    advertised_by: identity.NodeId | None = None
    advertised: trio.Event = dataclasses.field(default_factory=trio.Event)
    # Set to restart a pending follow of the operator's rows, or of the other rows: the store may
    # have changes that the follow has missed, or its answer is no longer needed.
    operator_follow_restart: trio.Event = dataclasses.field(default_factory=trio.Event)
    follow_restart: trio.Event = dataclasses.field(default_factory=trio.Event)


def notify_changed(node: Node) -> None:
    """Wake all tasks that wait for a change of the node's state.

    :param node: the node.
    """
    is_open_now = is_open(node)
    if node.was_open and not is_open_now:
        node.closed_at = node.now()
    node.was_open = is_open_now
    node.changed.set()
    node.changed = trio.Event()


def restart_follows(node: Node) -> None:
    """Restart the pending follows of the store.

    A connection on which the store has lost an answer stays silent after the store has returned.

    :param node: the node.
    """
    restart_mesh_follow(node)
    restart_operator_follow(node)


def restart_mesh_follow(node: Node) -> None:
    """Restart the pending follow of the members and ledgers.

    :param node: the node.
    """
    node.follow_restart.set()
    node.follow_restart = trio.Event()


def restart_operator_follow(node: Node) -> None:
    """Restart the pending follow of the operator's rows.

    :param node: the node.
    """
    node.operator_follow_restart.set()
    node.operator_follow_restart = trio.Event()


def is_operator_stale(node: Node) -> bool:
    """Return whether another node has applied newer operator rows than this one has.

    :param node: the node.
    """
    return not knows_operator_version(node, node.advertised_version)


def knows_operator_version(node: Node, version: int) -> bool:
    """Return whether the operator's rows up to a version are known.

    After a restore, a read of the store tells nothing of what earlier eras had in addition, and not
    which of its rows come from the copy.

    :param node: the node.
    :param version: the version.
    """
    is_read = era.find_base(node.eras) < version <= node.operator_read_version
    return version <= node.operator_version or is_read


def record_advertised(node: Node, version: int, by: identity.NodeId | None = None) -> None:
    """Record the version of the newest operator row that another node has applied.

    :param node: the node.
    :param version: the row's version in the store.
    :param by: the other node, if known.
    """
    if knows_operator_version(node, version) or version < node.advertised_version:
        return
    if version > node.advertised_version:
        node.advertised_version, node.advertised_by = version, by
        node.advertised.set()
        node.advertised = trio.Event()
    elif node.advertised_by is None:
        node.advertised_by = by


async def pause(node: Node, seconds: float) -> None:
    """Sleep by the node's timer.

    :param node: the node.
    :param seconds: how long to sleep.
    """
    await timer.wait_until(node.wakeups, node.now() + seconds)


def is_ready(node: Node) -> bool:
    """Return whether the node is ready for requests of callers.

    :param node: the node.
    """
    return node.config is not None and node.is_mesh_known and not node.is_stopping


def find_policy(node: Node, service: identity.ServiceId) -> policy.ServicePolicy | None:
    """Return the policy of a service, or ``None`` if it is not configured.

    :param node: the node.
    :param service: the service.
    """
    return node.policies.get(service)


def is_keyed(node: Node) -> bool:
    """Return whether the service of this node's target assigns keys to its targets.

    :param node: the node.
    """
    service_policy = find_policy(node, node.place.service)
    return service_policy is not None and service_policy.is_keyed


def is_open(node: Node) -> bool:
    """Return whether the target beside this node takes new work.

    :param node: the node.
    """
    target = node.target
    return (
        target is not None
        and target.state is member.TargetState.READY
        and node.place.zone not in node.evacuated
    )


def read_view(node: Node, name: identity.NodeId) -> selection.TargetView:
    """Return what is known of another node's target, starting with defaults.

    :param node: the node.
    :param name: the other node.
    """
    view = node.target_views.get(name)
    if view is None:
        other = node.members.get(name)
        slots = other.slots if other else 1
        view = node.target_views[name] = selection.TargetView(
            slots=slots, request_load=selection.INITIAL_WORK_S / slots
        )
    return view


def measure_load(node: Node) -> selection.LoadReport:
    """Return the load of the target beside this node.

    :param node: the node.
    """
    rate = rates.read_total(node.key_rates, node.now())
    request_load = node.admission.usual_work_s / node.admission.slots
    backlog_s = link.predict_backlog(node.admission.uplink, 0.0, node.now())
    return selection.LoadReport(
        busy=len(node.admission.running) + len(node.admission.waiting),
        slots=node.admission.slots,
        work_s=node.admission.work_s + backlog_s,
        offered=rate * request_load,
        request_load=request_load,
    )


def list_gauges(node: Node) -> dict[str, float]:
    """Return the current values of the gauge metrics by name.

    :param node: the node.
    """
    load_report = measure_load(node)
    return {
        "running": len(node.admission.running),
        "allowed_slots": admission.find_allowed(node.admission, node.now()),
        "ramp_halvings": node.admission.ramp.halvings,
        "reserved_slots": node.admission.slots
        - min([node.admission.slots, *node.admission.reserved.limits.values()]),
        "queue_length": len(node.admission.waiting),
        "link_backlog_seconds": link.predict_backlog(node.admission.uplink, 0.0, node.now()),
        "work_seconds": load_report.work_s,
        "late_seconds": node.loop_lag.late_s,
        "calls_made": node.call_history.made,
        "calls_refused": node.call_history.refused,
        "requests_throttled": node.call_history.throttled,
        "throttled_routes": calls.count_throttled_routes(node.call_history, node.now()),
        "offered_load": load_report.offered,
        "body_bytes": float(body_memory.measure_committed(node.bodies)),
        "body_limit_bytes": _find_body_limit(node),
        "config_version": node.config or 0,
        "config_refused": float(bool(node.refusal_reasons)),
        "configuration_skipped": float(len(node.skipped_entries)),
        "members": len(node.members),
        "unreadable_rows": len(node.unreadable_rows.versions),
        "target_open": float(is_open(node)),
        "granted_ranges": len(node.grantor.granted),
        "store_era": node.eras.current,
        "store_restores": node.eras.restores,
    }


def _find_body_limit(node: Node) -> float:
    limit = node.bodies.limit
    return 0.0 if math.isinf(limit) else limit


def record_crash(node: Node) -> None:
    """Lower the limit of the bodies at the target if they may have caused its crash.

    :param node: the node.
    """
    before = node.bodies.limit
    if body_memory.record_crash(node.bodies, node.now()):
        decision.record(
            log,
            logging.WARNING,
            "body-limit-lowered",
            held=int(node.bodies.crashed),
            before=int(before),
            limit=int(node.bodies.limit),
        )


def list_open_members(node: Node, service: identity.ServiceId) -> list[member.Member]:
    """Return the members whose targets take new work of a service.

    :param node: the node.
    :param service: the service.
    """
    return [
        other
        for other in node.members.values()
        if other.service == service
        and other.state is member.TargetState.READY
        and other.zone not in node.evacuated
    ]


def record_silence(node: Node) -> None:
    """Update whether the target has been silent until its last hold expired.

    :param node: the node.
    """
    target = node.target
    if target is None:
        return
    now = node.now()
    report_expires_at = target.reported_at + grant.choose_hold(node.place.heartbeat_s)
    is_silent = now > node.grantor.ends_at and now > report_expires_at
    if is_silent is target.is_silent:
        return
    node.target = dataclasses.replace(target, is_silent=is_silent)
    decision.record(
        log, logging.INFO, "target-silent" if is_silent else "target-heard", target=target.lifetime
    )
    notify_changed(node)


def is_trusted(node: Node) -> bool:
    """Return whether the node knows well enough that its target has not left.

    A target that is known from the node's row only may have left before the restart of the process.
    Another node says so within milliseconds, and a target that has not left sends reports.

    :param node: the node.
    """
    target = node.target
    if target is None or not target.is_assumed:
        return target is not None
    due_at = node.started_at + FIRST_REPORT_INTERVALS * node.place.heartbeat_s
    return node.is_informed and node.now() <= due_at


def build_member(node: Node) -> member.Member | None:
    """Return this node's announcement, or ``None`` before its target has reported or is silent.

    :param node: the node.
    """
    target = node.target
    if target is None:
        return None
    is_ready = target.state is member.TargetState.READY
    if target.is_assumed and not (target.is_silent and is_ready):
        return None
    # A target whose reports do not come through holds no keys, but still does work without keys if
    # it has reported to this process.
    is_silent = target.is_silent and is_ready and (is_keyed(node) or target.is_assumed)
    return member.Member(
        node=node.place.node,
        address=node.place.peers_address,
        zone=node.place.zone,
        service=node.place.service,
        lifetime=target.lifetime,
        slots=target.slots,
        state=member.TargetState.SILENT if is_silent else target.state,
        era=era.stamp(node.eras),
        has_left=target.has_left or msgspec.UNSET,
    )


def set_target(node: Node, target: Target, cold_left_s: float) -> None:
    """Update the target from one of its reports.

    :param node: the node.
    :param target: the target as of a report that is newer than the last one.
    :param cold_left_s: for how many more seconds it is cold.
    """
    before = node.target
    final_state = _find_final_state(node, target.lifetime)
    if final_state is not None and final_state is not target.state:
        # The report was sent before, or the target still reports while it completes its work.
        decision.record(log, logging.INFO, "report-after-leave", target=target.lifetime)
        has_left = final_state is member.TargetState.GONE
        target = dataclasses.replace(target, state=final_state, has_left=has_left)
    if before is None or before.lifetime != target.lifetime:
        service_policy = find_policy(node, node.place.service)
        rate = service_policy.cold_rate if service_policy is not None else 0.0
        node.admission.cold_rate = rate
        admission.reset_work_times(node.admission)
        # A target that restarts quickly is not seen to refuse connections.
        record_crash(node)
        decision.record(log, logging.INFO, "target-started", target=target.lifetime)
    elif before.state is not target.state:
        decision.record(
            log, logging.INFO, "target-state", target=target.lifetime, state=target.state
        )
    node.target = target
    node.admission.slots = target.slots
    is_started = before is None or before.lifetime != target.lifetime or before.is_assumed
    if cold_left_s > 0 and (is_started or not admission.is_cold(node.admission, node.now())):
        _begin_ramp(node)
    admission.record_cold(node.admission, node.now() + cold_left_s)
    notify_changed(node)


def _find_final_state(node: Node, lifetime: identity.Lifetime) -> member.TargetState | None:
    """Return the state of a target that its reports can't change any more, or ``None``.

    A restarted process does not know how late the first report is that it gets.
    """
    target = node.target
    if target is not None and target.lifetime == lifetime and target.has_left:
        return member.TargetState.GONE
    return node.departures.get(lifetime)


def read_started_at(target: Target) -> int:
    """Return the Unix time of a target's start in milliseconds, 0 if it is not known.

    A restarted node knows only the name of its target's lifetime.

    :param target: the target.
    """
    return target.started_at_ms or member.read_started_at(target.lifetime)


def record_own_row(node: Node, announced: member.Member) -> None:
    """Update the target from the node's own row, which an ended process may have written.

    A report may have arrived before the row: one of an earlier lifetime was late, and so was one of
    a lifetime that has left since.

    :param node: the node.
    :param announced: the row.
    """
    target = node.target
    if target is None:
        _assume_target(node, announced)
        return
    if target.lifetime == announced.lifetime:
        if member.is_departing(announced) and target.state is member.TargetState.READY:
            departure = member.Departure(lifetime=announced.lifetime, state=announced.state)
            record_departure(node, departure)
        return
    if member.read_started_at(announced.lifetime) > read_started_at(target):
        decision.record(
            log,
            logging.INFO,
            "report-late",
            target=target.lifetime,
            sequence=node.grantor.sequence,
            lifetime=announced.lifetime,
        )
        _assume_target(node, announced)


def _assume_target(node: Node, announced: member.Member) -> None:
    """Take the target from the node's own row until it reports, after a restart of the process.

    It counts as cold meanwhile, since the row does not say whether it is.
    """
    node.target = Target(
        lifetime=announced.lifetime,
        started_at_ms=0,
        slots=announced.slots,
        state=announced.state,
        reported_at=node.now(),
        is_assumed=True,
        has_left=member.has_left(announced),
    )
    if member.is_departing(announced):
        _remember_departure(node, announced.lifetime, announced.state)
    node.admission.slots = announced.slots
    _assume_cold(node)


def _assume_cold(node: Node) -> None:
    """Let the target count as cold until its report says otherwise."""
    service_policy = find_policy(node, node.place.service)
    if service_policy is not None:
        node.admission.cold_rate = service_policy.cold_rate
        admission.record_cold(node.admission, node.now() + service_policy.cold_s)


def _begin_ramp(node: Node) -> None:
    """Raise the load of the target step by step, if its service says that targets start cold."""
    service_policy = find_policy(node, node.place.service)
    if service_policy is not None and service_policy.cold_s > 0:
        admission.begin_ramp(node.admission, node.now())


def record_departure(node: Node, departure: member.Departure) -> None:
    """Record that a target is leaving, as the node beside it has told this one.

    :param node: the node.
    :param departure: the lifetime of the target, and whether it is gone already.
    """
    lifetime, state = departure.lifetime, departure.state
    if node.departures.get(lifetime) in (state, member.TargetState.GONE):
        return
    _remember_departure(node, lifetime, state)
    for name, other in node.members.items():
        node.members[name] = apply_departure(node, other)
    target = node.target
    if target is not None and target.lifetime == lifetime:
        if state is member.TargetState.GONE:
            set_target_gone(node, "had left before the restart", is_dead=False)
        elif target.state is member.TargetState.READY:
            node.target = dataclasses.replace(target, state=state)
    decision.record(log, logging.INFO, "departure", target=lifetime, state=state)
    notify_changed(node)


def _remember_departure(node: Node, lifetime: identity.Lifetime, state: member.TargetState) -> None:
    node.departures[lifetime] = state
    while len(node.departures) > MAX_DEPARTURES:
        del node.departures[next(iter(node.departures))]


def is_removal(announced: member.Member) -> bool:
    """Return whether an announcement is the removal of the node's row.

    The row of a target that has left is kept: a restarted process knows by it that reports of this
    lifetime are late.

    :param announced: the announcement.
    """
    return announced.state is member.TargetState.GONE and not member.has_left(announced)


def apply_departure(node: Node, announced: member.Member) -> member.Member:
    """Return an announcement with the state of which this node was told, if that is newer.

    :param node: the node.
    :param announced: the announcement, which may be older than the departure of its target.
    """
    state = node.departures.get(announced.lifetime)
    if state is None or announced.state is member.TargetState.GONE:
        return announced
    return msgspec.structs.replace(announced, state=state)


def record_leave(node: Node, lifetime: identity.Lifetime) -> None:
    """Record that a target has said that it leaves, whether the process knows it or not.

    :param node: the node.
    :param lifetime: of the present target or of a later one.
    """
    target = node.target
    if target is None or target.lifetime != lifetime:
        node.target = Target(
            lifetime=lifetime,
            started_at_ms=member.read_started_at(lifetime),
            slots=1 if target is None else target.slots,
            state=member.TargetState.LEAVING,
            reported_at=node.now(),
        )
    set_target_gone(node, "has left", is_dead=False)


def set_target_gone(node: Node, reason: str, *, is_dead: bool) -> None:
    """Record that the target is gone.

    :param node: the node.
    :param reason: how the node learned of it, for the log.
    :param is_dead: whether its process has ended, so that it no longer holds keys. If not, the
        target itself has said that it leaves.
    """
    target = node.target
    if target is None:
        return
    gone = dataclasses.replace(
        target,
        state=member.TargetState.GONE,
        is_assumed=False,
        has_left=target.has_left or not is_dead or target.state is member.TargetState.LEAVING,
        is_dead=target.is_dead or is_dead,
    )
    if gone == target:
        return
    node.target = gone
    decision.record(
        log, logging.INFO, "target-gone", target=target.lifetime, reason=reason, is_dead=is_dead
    )
    notify_changed(node)


def set_config(
    node: Node,
    version: identity.ConfigVersion,
    policies: dict[identity.ServiceId, policy.ServicePolicy],
) -> None:
    """Apply the service policies of a configuration.

    :param node: the node.
    :param version: the version of the configuration, higher than the current one.
    :param policies: the policies by service.
    """
    is_first = node.config is None
    node.config, node.policies, node.refusal_reasons = version, policies, ()
    service_policy = find_policy(node, node.place.service)
    if service_policy is not None:
        node.admission.cold_rate = service_policy.cold_rate
    if is_first and node.target is not None and node.target.is_assumed:
        _assume_cold(node)
    elif is_first and admission.is_cold(node.admission, node.now()):
        # The target has reported before the configuration was known.
        _begin_ramp(node)
    notify_changed(node)


def set_evacuated(node: Node, zones: frozenset[identity.ZoneId]) -> None:
    """Set the zones that are evacuated, whose targets get no work.

    After an evacuation ends, the zone's targets count as cold until their reports say otherwise,
    and their load is raised step by step after that.

    :param node: the node.
    :param zones: all evacuated zones.
    """
    zone = node.place.zone
    if zone in node.evacuated and zone not in zones:
        _assume_cold(node)
        _begin_ramp(node)
    node.evacuated = zones
    notify_changed(node)
