"""Updates the metrics that show the node's state, once a second."""

import collections

from ebonyvalve.process import identity, lease, limit, metrics, ownership, report, site

PERIOD_S = 1.0


def refresh(
    node_metrics: metrics.Metrics, here: site.Site, owned: ownership.State, *, elapsed_s: float
) -> None:
    """Set the metrics that show a state; those that count events are set where the events occur.

    :param node_metrics: the metrics.
    :param here: the node's state.
    :param owned: the node's ownership state.
    :param elapsed_s: seconds since the previous call.
    """
    node = here.read_node()
    metrics.set_retry_budget(node_metrics, here.retries.level)
    metrics.set_target(
        node_metrics,
        metrics.TargetState(
            limit=limit.read_limit(here.admission),
            in_flight=here.in_flight[here.node],
            queued=len(here.admission.waiting),
            is_slow_start=here.admission.phase is limit.Phase.WARMING,
        ),
    )
    metrics.set_lease(node_metrics, max(0.0, node.lease_end_s - here.now()))
    metrics.set_config_version(node_metrics, node.config_version)
    metrics.set_role(node_metrics, find_role(owned, here.now()))
    held_counts: collections.Counter[identity.ServiceId] = collections.Counter(
        identity.split_shard(shard)[0] for shard in node.holdings
    )
    for service in node_metrics.services:
        metrics.set_held_shards(node_metrics, service, held_counts[service])
    if owned.leadership is not None:
        _refresh_cell(node_metrics, owned.leadership, elapsed_s)


def find_role(owned: ownership.State, now_s: float) -> report.Role:
    """Return the role of a node in its cell.

    :param owned: the node's ownership state.
    :param now_s: the time in seconds.
    """
    if owned.leadership is not None:
        return report.Role.COORDINATOR
    is_standby = owned.standby.promised_until_s > now_s
    return report.Role.STANDBY if is_standby else report.Role.MEMBER


def _refresh_cell(
    node_metrics: metrics.Metrics, leadership: ownership.Leadership, elapsed_s: float
) -> None:
    """Set the metrics that only the coordinator knows: loads and shards without an owner."""
    unowned: collections.Counter[identity.ServiceId] = collections.Counter(
        identity.split_shard(shard)[0]
        for shard, entry in leadership.rules.assignments.items()
        if entry.owner == lease.NOBODY and not entry.is_merged
    )
    loads: dict[identity.ServiceId, list[float]] = collections.defaultdict(list)
    for node_lease in leadership.rules.leases.values():
        loads[node_lease.member.service].append(sum(entry.load for entry in node_lease.loads))
    for service in node_metrics.services:
        metrics.count_unowned(node_metrics, service, shards=unowned[service], seconds=elapsed_s)
        metrics.set_loads(node_metrics, service, loads[service])
